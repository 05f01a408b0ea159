"""Tests of a dispatcher at its limit of descriptors.

Clients with a pending request get answers, and the dispatcher recovers once descriptors are free. The limit
is set only in the process of the dispatcher.
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

DESCRIPTOR_LIMIT = BASE_DESCRIPTORS + 24
CONNECTION_LIMITS = ConnectionLimits.of(read(CONFIG, {}), DESCRIPTOR_LIMIT)
LAUNCHER = """
import os, resource, sys
resource.setrlimit(resource.RLIMIT_NOFILE, ({limit}, resource.getrlimit(resource.RLIMIT_NOFILE)[1]))
os.execv(sys.executable, [sys.executable, "-m", "eiderfield"])
"""


class DispatcherProcess:
    """A dispatcher process with one worker."""

    def __init__(self, process, port):
        self.process = process
        self.port = port

    def connect(self):
        return socket.create_connection(("127.0.0.1", self.port), timeout=10)

    @property
    def descriptor_count(self):
        return len(list(Path(f"/proc/{self.process.pid}/fd").iterdir()))

    def set_descriptor_limit(self, count):
        _, hard = resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE)
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (count, hard))


@contextmanager
def running_dispatcher(path, worker, limit):
    port = free_port()
    config = {
        **CONFIG,
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{free_port()}",
        "known": endpoint_list(*[worker.port] * 4),
        "connections": {"park_after_ms": 10},
    }
    (path / "config.json").write_text(json.dumps(config))
    command = [sys.executable, "-c", LAUNCHER.format(limit=limit)]
    with running_program(path / "config.json", command, wait=False) as process:
        lines = log_until_listening(process)
        dispatcher = DispatcherProcess(process, port)
        dispatcher.logged_reduced_limit = any(
            "system limit is below limits.sockets" in line for line in lines
        )
        yield dispatcher
        assert process.poll() is None


class Worker(AnsweringWorker):
    """A worker that can close its connections, and delay responses until several requests have arrived."""

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
    """Guards against client connections that use every descriptor.

    No connection to a worker could then be opened for the clients with a pending request.
    """
    worker = Worker()
    with running_dispatcher(tmp_path, worker, DESCRIPTOR_LIMIT) as dispatcher:
        assert dispatcher.logged_reduced_limit, "the log must report the reduced limit"
        initial_count = dispatcher.descriptor_count
        served_clients = [dispatcher.connect() for _ in range(4)]
        for number, sock in enumerate(served_clients):  # clients that were never served may be evicted
            assert ask(sock, post(f"first-{number}"))[0] == 200
        worker.close_all()
        wait_for(
            "no worker is connected",
            lambda: dispatcher.descriptor_count <= initial_count + len(served_clients),
        )
        worker.barrier = threading.Barrier(4)
        idle_clients = [dispatcher.connect() for _ in range(2 * DESCRIPTOR_LIMIT)]
        wait_for(
            "every descriptor for clients is used",
            lambda: dispatcher.descriptor_count >= initial_count + CONNECTION_LIMITS.clients,
        )
        statuses = []

        def send_request(sock, number):
            statuses.append(ask(sock, post(str(number)))[0])

        threads = [
            threading.Thread(target=send_request, args=pair)
            for pair in zip(served_clients, range(4), strict=True)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(20)
        assert statuses == [200] * 4
        for sock in idle_clients:
            sock.close()
        worker.barrier = threading.Barrier(1)
        with dispatcher.connect() as later_client:
            assert ask(later_client, post("last"))[0] == 200
        for sock in served_clients:
            sock.close()


def test_dial_at_the_descriptor_limit_continues_when_a_descriptor_is_free(tmp_path):
    worker = AnsweringWorker()
    with running_dispatcher(tmp_path, worker, 1024) as dispatcher:
        assert not dispatcher.logged_reduced_limit
        initial_count = dispatcher.descriptor_count
        client, other = dispatcher.connect(), dispatcher.connect()
        wait_for("both are accepted", lambda: dispatcher.descriptor_count == initial_count + 2)
        dispatcher.set_descriptor_limit(initial_count + 2)
        queued_clients = [
            dispatcher.connect() for _ in range(8)
        ]  # they stay in the port's queue: no descriptor is free to accept them
        client.sendall(post("1"))
        client.settimeout(0.3)
        with pytest.raises(TimeoutError):  # the request is delayed but not failed
            client.recv(1)
        client.settimeout(10)
        other.close()
        for sock in queued_clients:
            sock.close()
        assert ask(client, b"")[0] == 200
        dispatcher.set_descriptor_limit(1024)
        for number in range(2, 6):
            with dispatcher.connect() as later_client:
                assert ask(later_client, post(str(number)))[0] == 200
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
def test_connection_limits_of_clients_and_workers_shrink_with_the_descriptor_limit(allowed, clients, workers):
    config = read(CONFIG, {})
    assert ConnectionLimits.of(config, allowed) == ConnectionLimits(clients, workers)
