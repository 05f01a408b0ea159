"""The first moments of a process: what its agent holds, and signals that come before it is up."""

import asyncio
import json
import os
import signal
import socket
import sys
import threading
import tomllib
from contextlib import suppress

import pytest
from support.processes import (
    ROOT,
    AnsweringWorker,
    DiscoveryServer,
    ask,
    endpoint_list,
    program_config,
    running_program,
)

from eiderfield.config.loader import read
from eiderfield.lab.ports import free_port
from eiderfield.program.discovery import FIRST_LIST_TIMEOUT_MS
from eiderfield.program.program import Program

JOB = b"POST /echo/a HTTP/1.1\r\nX-Request-Id: 1\r\nContent-Length: 3\r\n\r\nabc"
LONG = 30_000.0  # ms: a grace that no test waits for


class CountingWorker(AnsweringWorker):
    """A worker that knows whether it was asked."""

    def __init__(self):
        self.asked = threading.Event()
        super().__init__()

    def hold(self):
        self.asked.set()


class HeldDiscoveryServer(DiscoveryServer):
    """A discovery that tells its list once it is let; the first of its workers drains."""

    def __init__(self, worker, *others):
        self.let = threading.Event()
        super().__init__(worker, *others)

    def serve(self, sock):
        with sock, suppress(OSError):  # the program may be gone by now
            self.asked.put(sock.recv(65536))
            self.let.wait(30)
            endpoints = [
                {"name": name, "address": f"127.0.0.1:{port}", "status": "SERVING" if n else "DRAINING"}
                for n, (name, port) in enumerate(self.workers.items())
            ]
            told = json.dumps({"index": 9, "snapshot": True, "endpoints": endpoints}).encode() + b"\n"
            sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            sock.sendall(b"%x\r\n%s\r\n" % (len(told), told))
            self.ended.put(sock.recv(65536) == b"")


def test_nobody_is_served_from_a_known_list_before_the_agent_was_asked(tmp_path):
    """What the agent holds counts as told from the first moment; the list in the configuration is older."""
    draining, ready, port = CountingWorker(), CountingWorker(), free_port()
    source, path = HeldDiscoveryServer(draining.port, ready.port), tmp_path / "config.json"
    path.write_text(
        json.dumps(program_config(port, f"127.0.0.1:{source.port}", known=endpoint_list(draining.port)))
    )
    with running_program(path, wait=False) as process:
        assert b"watch=1" in source.asked.get(timeout=30)
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(("127.0.0.1", port)).close()
        source.let.set()
        assert "listens on" in process.stderr.readline()
        with socket.create_connection(("127.0.0.1", port)) as sock:
            assert ask(sock, JOB) == (200, b"cba")
    assert ready.asked.is_set()
    assert not draining.asked.is_set()


def test_a_silent_agent_delays_a_start_for_the_grace_of_a_drain_and_no_longer(tmp_path):
    worker, port, path = CountingWorker(), free_port(), tmp_path / "config.json"
    source = HeldDiscoveryServer(worker.port)
    config = program_config(port, f"127.0.0.1:{source.port}", grace=200.0, known=endpoint_list(worker.port))
    path.write_text(json.dumps(config))
    with running_program(path), socket.create_connection(("127.0.0.1", port)) as sock:
        assert ask(sock, JOB) == (200, b"cba")
    assert not source.let.is_set()


def test_a_long_grace_does_not_keep_a_process_from_being_ready(monkeypatch):
    """A grace of 30 s and a silent agent made a start of 30 s, which counts as a crash."""
    config = read(program_config(free_port(), "127.0.0.1:9", known=endpoint_list(8080)), {})
    waits, loop = [], asyncio.new_event_loop()
    program = Program(config, loop, lambda: 1e6)
    wheel = program.core.driver.wheel
    monkeypatch.setattr(wheel, "call_at", lambda when, call: waits.append(when) or call())
    loop.run_until_complete(program.discovery.first_list())
    loop.close()
    assert config.policy_settings.drain_grace_ms == LONG
    assert waits == [1e6 + FIRST_LIST_TIMEOUT_MS]


def test_a_process_that_is_told_to_end_before_it_is_up_ends(tmp_path):
    worker, port, path = CountingWorker(), free_port(), tmp_path / "config.json"
    source = HeldDiscoveryServer(worker.port)
    path.write_text(
        json.dumps(program_config(port, f"127.0.0.1:{source.port}", known=endpoint_list(worker.port)))
    )
    with running_program(path, wait=False) as process:
        source.asked.get(timeout=30)
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGTERM)
        source.let.set()
        assert process.wait(30) == 0


def test_a_hang_up_while_the_file_is_read_ends_nothing_and_is_heeded(tmp_path):
    """It came before its handler was there, and ended the process: a crash. The file is a pipe here, so that
    the process stands at reading it."""
    worker, port, path = CountingWorker(), free_port(), tmp_path / "config.json"
    old, new = DiscoveryServer(worker.port), DiscoveryServer(worker.port)
    anew = tmp_path / "anew.json"
    os.mkfifo(path)
    with running_program(path, wait=False, LB_DISCOVERY=f"127.0.0.1:{old.port}") as process:
        with path.open("w") as file:  # it stands at reading it now, and until this is closed
            process.send_signal(signal.SIGHUP)
            file.write(json.dumps(program_config(port, f"127.0.0.1:{old.port}")))
            anew.write_text(json.dumps(program_config(port, f"127.0.0.1:{new.port}")))
            anew.replace(path)
        assert b"watch=1" in new.asked.get(timeout=30)
        assert "configuration: reloaded" in process.stderr.readline()
        assert "listens on" in process.stderr.readline()


def test_a_process_begun_as_deployed_survives_hang_ups_from_its_first_moment(tmp_path):
    with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
        run = tomllib.load(file)["run"]
    command = run.replace(".venv/bin/python", sys.executable)
    assert command != run
    assert "exec " in run
    worker, port, path = CountingWorker(), free_port(), tmp_path / "config.json"
    source = DiscoveryServer(worker.port)
    path.write_text(json.dumps(program_config(port, f"127.0.0.1:{source.port}")))
    with running_program(path, ["sh", "-c", f"kill -HUP $$; {command}"], wait=False) as dead:
        assert dead.wait(30) == -signal.SIGHUP, "without the trap it is the end"
    trap, _, rest = command.partition(";")
    up = threading.Event()

    def read(stream):
        for line in stream:
            if "listens on" in line:
                up.set()

    with running_program(path, ["sh", "-c", f"{trap}; echo begun >&2;{rest}"], wait=False) as process:
        assert process.stderr.readline() == "begun\n"
        reader = threading.Thread(target=read, args=(process.stderr,), daemon=True)
        reader.start()
        while not up.wait(0.002):  # one after another, wherever it is in its start
            assert process.poll() is None
            process.send_signal(signal.SIGHUP)
        assert process.poll() is None
        process.kill()
        reader.join(30)


def test_hang_ups_while_a_start_waits_for_its_list_are_heeded_or_refused(tmp_path):
    """The source it waits for is silent; a faulty file changes nothing, and one that names another source is
    followed there."""
    worker, port, path = CountingWorker(), free_port(), tmp_path / "config.json"
    silent, other = HeldDiscoveryServer(worker.port), DiscoveryServer(worker.port)
    config = program_config(port, f"127.0.0.1:{silent.port}", known=endpoint_list(worker.port))
    path.write_text(json.dumps(config))
    with running_program(path, wait=False) as process:
        assert b"watch=1" in silent.asked.get(timeout=30)
        path.write_text("{")
        process.send_signal(signal.SIGHUP)
        assert "configuration: rejected (error=LB_CONFIG" in process.stderr.readline()
        path.write_text(json.dumps({**config, "discovery": f"127.0.0.1:{other.port}"}))
        process.send_signal(signal.SIGHUP)
        assert "configuration: reloaded" in process.stderr.readline()
        assert b"watch=1" in other.asked.get(timeout=30)
        assert "listens on" in process.stderr.readline()
        with socket.create_connection(("127.0.0.1", port)) as sock:
            assert ask(sock, JOB) == (200, b"cba")
    assert not silent.let.is_set()
