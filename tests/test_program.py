"""The program itself, as a process on loopback sockets, with a worker that the test plays."""

import os
import signal
import socket
import subprocess
import sys

import pytest
from support.processes import DISPATCHER, JOB, ROOT, AnsweringWorker, ask, running_program

from eiderfield.batch.client import Session
from eiderfield.batch.drmaa import ControlAction, InvalidJobError, JobState
from eiderfield.batch.messages import JobTemplate
from eiderfield.lab.ports import free_port


@pytest.fixture
def program(tmp_path):
    worker, port, batch = AnsweringWorker(), free_port(), free_port()
    words = f"init --name t --listen 127.0.0.1:{port} --worker 127.0.0.1:{worker.port}"
    words += f" --batch 127.0.0.1:{batch} --class echo:safe"
    command = [sys.executable, "-m", "eiderfield.tool", *words.split()]
    text = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True).stdout
    (tmp_path / "t.toml").write_text(text)
    path = tmp_path / "t.toml"
    with running_program(path, [*DISPATCHER, "--config", str(path)]) as process:
        yield process, port, batch


def test_it_serves_both_fronts_and_ends_on_sigterm(program):
    process, port, batch = program
    with socket.create_connection(("127.0.0.1", port)) as sock:
        assert ask(sock, b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")[0] == 200
        assert ask(sock, JOB) == (200, b"cba")
        with Session("127.0.0.1", batch) as session:
            jobs = session.run_bulk_jobs([JobTemplate("echo", "s", f"n{i}") for i in range(3)])
            assert [info.result for info in session.synchronize(jobs)] == ["0n", "1n", "2n"]
            assert session.control(jobs[0], ControlAction.TERMINATE) == JobState.DONE
            with pytest.raises(InvalidJobError):
                session.wait("none", 1.0)
        process.send_signal(signal.SIGTERM)
        # Until the port closes, what comes in is still taken and answered.
        status, _ = ask(sock, JOB)
        assert status == 200
    assert process.wait(20) == 0


def test_a_faulty_configuration_is_one_plain_line():
    environ = {**os.environ, "LB_CONFIG": "/nowhere/config.json"}
    done = subprocess.run(
        [sys.executable, "-m", "eiderfield"], cwd=ROOT, env=environ, capture_output=True, text=True
    )
    assert done.returncode == 2
    assert done.stderr.startswith("eiderfield: LB_CONFIG")
    assert done.stderr.count("\n") == 1
