"""The program itself, as a process on loopback sockets, with a worker that the test plays."""

import json
import os
import signal
import socket
import subprocess
import sys
import threading
from pathlib import Path

import pytest

from eiderfield.batch.client import Session
from eiderfield.batch.drmaa import ControlAction, InvalidJobError, JobState
from eiderfield.batch.jobs import JobTemplate

ROOT = Path(__file__).parent.parent


class Answering(threading.Thread):
    """A worker: one connection at a time, each request answered with a result."""

    def __init__(self):
        super().__init__(daemon=True)
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        self.start()

    def run(self):
        while True:
            sock, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def hold(self):
        """Called before each answer."""

    def serve(self, sock):
        with sock, sock.makefile("rb") as lines:
            while True:
                headers = {}
                while (line := lines.readline()) not in (b"\r\n", b""):
                    name, _, value = line.decode().partition(":")
                    headers[name.lower()] = value.strip()
                if not headers:
                    return
                body = lines.read(int(headers.get("content-length", 0)))
                self.hold()
                told = {"id": headers["x-request-id"], "state": "done", "result": body.decode()[::-1]}
                text = json.dumps(told).encode() + b"\n"
                sock.sendall(
                    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n"
                    % (len(text), text)
                )


def free_port():
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return sock.getsockname()[1]


@pytest.fixture
def program(tmp_path):
    worker, port, batch = Answering(), free_port(), free_port()
    text = subprocess.run(
        [
            sys.executable,
            "-m",
            "eiderfield.tool",
            "init",
            "--name",
            "t",
            "--listen",
            f"127.0.0.1:{port}",
            "--worker",
            f"127.0.0.1:{worker.port}",
            "--batch",
            f"127.0.0.1:{batch}",
            "--class",
            "echo:safe",
        ],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    ).stdout
    (tmp_path / "t.toml").write_text(text)
    process = subprocess.Popen(
        [sys.executable, "-m", "eiderfield", "--config", str(tmp_path / "t.toml")],
        cwd=ROOT,
        stderr=subprocess.PIPE,
        text=True,
    )
    assert "listens on" in process.stderr.readline()
    yield process, port, batch
    process.kill()
    process.wait()
    process.stderr.close()


def ask(sock, data):
    sock.sendall(data)
    got = b""
    while b"\r\n\r\n" not in got:
        got += sock.recv(65536)
    head, _, body = got.partition(b"\r\n\r\n")
    length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
    while len(body) < length:
        body += sock.recv(65536)
    return int(head.split()[1]), body


JOB = b"POST /echo/a HTTP/1.1\r\nHost: h\r\nX-Request-Id: 1\r\nContent-Length: 3\r\n\r\nabc"


def test_it_serves_both_fronts_and_ends_on_sigterm(program):
    process, port, batch = program
    with socket.create_connection(("127.0.0.1", port)) as sock:
        assert ask(sock, b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")[0] == 200
        assert ask(sock, JOB) == (200, b"cba")
        with Session("127.0.0.1", batch) as session:
            jobs = session.runBulkJobs([JobTemplate("echo", "s", f"n{i}") for i in range(3)])
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
    assert done.returncode == 2 and done.stderr.startswith("eiderfield: LB_CONFIG")
    assert done.stderr.count("\n") == 1
