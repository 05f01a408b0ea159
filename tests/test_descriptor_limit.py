"""A process at its limit of descriptors: who waits gets answers, and it recovers when descriptors are free.

The limit is set in the dispatcher's process alone.
"""

from __future__ import annotations

import json
import resource
import socket
import sys
import threading
from contextlib import contextmanager, suppress
from math import inf
from pathlib import Path

import pytest
from support.processes import (
    CONFIG,
    AnsweringWorker,
    ask,
    endpoint_list,
    log_until_listening,
    post,
    running_program,
)

from eiderfield.config.limits import BASE_DESCRIPTORS
from eiderfield.config.loader import read
from eiderfield.lab.ports import free_port
from eiderfield.lab.processes import wait_for
from eiderfield.net.descriptors import ConnectionLimits

LIMIT = BASE_DESCRIPTORS + 24
ROOM = ConnectionLimits.of(read(CONFIG, {}), LIMIT)
START = """
import os, resource, sys
resource.setrlimit(resource.RLIMIT_NOFILE, ({limit}, resource.getrlimit(resource.RLIMIT_NOFILE)[1]))
os.execv(sys.executable, [sys.executable, "-m", "eiderfield"])
"""


class Dispatcher:
    """A dispatcher process with one worker."""

    def __init__(self, process, port):
        self.process = process
        self.port = port

    def connect(self):
        return socket.create_connection(("127.0.0.1", self.port), timeout=10)

    @property
    def descriptors(self):
        return len(list(Path(f"/proc/{self.process.pid}/fd").iterdir()))

    def allow(self, count):
        _, hard = resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE)
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (count, hard))


@contextmanager
def dispatcher(path, worker, limit):
    port = free_port()
    config = {
        **CONFIG,
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{free_port()}",
        "known": endpoint_list(*[worker.port] * 4),
        "connections": {"park_after_ms": 10},
    }
    (path / "config.json").write_text(json.dumps(config))
    command = [sys.executable, "-c", START.format(limit=limit)]
    with running_program(path / "config.json", command, wait=False) as process:
        lines = log_until_listening(process)
        target = Dispatcher(process, port)
        target.shrunk = any("system limit is below limits.sockets" in line for line in lines)
        yield target
        assert process.poll() is None


class Worker(AnsweringWorker):
    """A worker that can close all its connections, and answer only once several requests are there."""

    def __init__(self):
        self.barrier = threading.Barrier(1)
        self.connections = []
        super().__init__()

    def serve(self, sock):
        self.connections.append(sock)
        super().serve(sock)

    def hold(self):
        self.barrier.wait(20)

    def close_all(self):
        for sock in self.connections:
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)


def test_clients_that_fill_every_descriptor_leave_some_for_workers(tmp_path):
    """They took all that the system allowed, and no connection to a worker came up for those who waited."""
    worker = Worker()
    with dispatcher(tmp_path, worker, LIMIT) as target:
        assert target.shrunk, "the log says so"
        before = target.descriptors
        served = [target.connect() for _ in range(4)]
        for number, sock in enumerate(served):  # who was never served gives way to others
            assert ask(sock, post(f"first-{number}"))[0] == 200
        worker.close_all()
        wait_for("no worker is connected", lambda: target.descriptors <= before + len(served))
        worker.barrier = threading.Barrier(4)
        idle = [target.connect() for _ in range(2 * LIMIT)]
        wait_for("it is full", lambda: target.descriptors >= before + ROOM.clients)
        statuses = []

        def serve(sock, number):
            statuses.append(ask(sock, post(str(number)))[0])

        threads = [threading.Thread(target=serve, args=pair) for pair in zip(served, range(4), strict=True)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(20)
        assert statuses == [200] * 4
        for sock in idle:
            sock.close()
        worker.barrier = threading.Barrier(1)
        with target.connect() as late:
            assert ask(late, post("late"))[0] == 200
        for sock in served:
            sock.close()


def test_a_dial_at_the_limit_goes_on_when_a_descriptor_is_free(tmp_path):
    worker = AnsweringWorker()
    with dispatcher(tmp_path, worker, 1024) as target:
        assert not target.shrunk
        before = target.descriptors
        client, other = target.connect(), target.connect()
        wait_for("both are accepted", lambda: target.descriptors == before + 2)
        target.allow(before + 2)
        waiting = [target.connect() for _ in range(8)]  # in the port's queue: nobody can be accepted
        client.sendall(post("1"))
        client.settimeout(0.3)
        with pytest.raises(TimeoutError):  # held up and not failed
            client.recv(1)
        client.settimeout(10)
        other.close()
        for sock in waiting:
            sock.close()
        assert ask(client, b"")[0] == 200
        target.allow(1024)
        for number in range(2, 6):
            with target.connect() as late:
                assert ask(late, post(str(number)))[0] == 200
        client.close()


@pytest.mark.parametrize(
    ("allowed", "clients", "workers"),
    [
        (inf, 591, 393),
        (1024, 591, 393),
        (540, 301, 199),
        (BASE_DESCRIPTORS + 2, 1, 1),
        (8, 1, 1),
    ],
)
def test_both_kinds_of_connections_shrink_where_the_system_allows_less(allowed, clients, workers):
    config = read(CONFIG, {})
    assert ConnectionLimits.of(config, allowed) == ConnectionLimits(clients, workers)
