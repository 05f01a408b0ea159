"""Shutdown of the whole program on real sockets, with a clock that the test advances.

Every request must be answered before the process may be killed.
"""

import asyncio
import select
import socket
from contextlib import suppress

import pytest
from support.processes import endpoint_list, program_config
from support.real_sockets import message

from eiderfield.__main__ import Program
from eiderfield.config.loader import read
from eiderfield.lab.ports import free_port
from eiderfield.net.http import END, Head, Parser
from eiderfield.net.shutdown_times import ACCEPT_TIME_MS, KILL_DELAY_MS, MAX_DEADLINE_MS

STEP_MS = 10.0  # by which one step advances the clock
TURNS_PER_STEP = 6  # turns of the loop in a step: reading, the exchange's turn, and writing
CONNECTING_TIME_MS = 400.0  # after SIGTERM, for which clients still connect (protocol page)
ERROR_DEADLINE_MS = 3000.0  # within which a misbehaving client must have an error or a close


class Worker:
    """A worker that accepts connections and never responds."""

    def __init__(self):
        self.listening_socket = socket.create_server(("127.0.0.1", 0))
        self.listening_socket.setblocking(False)
        self.port = self.listening_socket.getsockname()[1]
        self.connections = []

    def accept(self):
        with suppress(BlockingIOError):
            while True:
                self.connections.append(self.listening_socket.accept()[0])
                self.connections[-1].setblocking(False)

    def close(self):
        for sock in (self.listening_socket, *self.connections):
            sock.close()


class Client:
    """A client's connection, on which one request is sent at a time."""

    def __init__(self, port):
        self.sock = socket.create_connection(("127.0.0.1", port))
        self.sock.setblocking(False)
        self.parser = Parser(responses=True)
        self.statuses = []
        self.sent_at = []
        self.open = True

    def read(self):
        with suppress(BlockingIOError):
            while self.open:
                try:
                    data = self.sock.recv(65536)
                except ConnectionResetError:
                    data = b""
                self.open = data != b""
                self.parser.feed(data)
        while (got := self.parser.poll()) is not None:
            if isinstance(got, Head):
                self.status = got.status
            elif got is END:
                self.statuses.append(self.status)

    @property
    def awaits_response(self):
        return len(self.statuses) < len(self.sent_at)

    def send(self, now, data):
        self.sock.send(data)
        self.sent_at.append(now)


class RunningProgram:
    """A program with an open listener, its clock and its clients."""

    def __init__(self, longest_deadline):
        self.now = 1_000_000.0
        self.worker = Worker()
        config = program_config(free_port(), "127.0.0.1:9", known=endpoint_list(self.worker.port))
        [cls] = config["settings"]["classes"]
        config["settings"] = {**config["settings"], "classes": [{**cls, "give_up": longest_deadline}]}
        self.loop = asyncio.new_event_loop()
        self.program = Program(read(config, {}), self.loop, lambda: self.now)
        [bound] = self.program._clients._bound
        self.listener, self.port = bound.listener, bound.address[1]
        self.listener.listen(self.loop, bound.address)
        self.clients = []
        self.count = 0

    def turn(self):
        for _ in range(TURNS_PER_STEP):
            self.loop.call_soon(self.loop.stop)
            self.loop.run_forever()
        self.worker.accept()
        for client in self.clients:
            client.read()

    def step(self):
        self.now += STEP_MS
        self.program.core.driver.wheel.advance(self.now)
        self.turn()

    def connect(self):
        self.clients.append(Client(self.port))
        self.turn()
        return self.clients[-1]

    def request(self, client, wait):
        self.count += 1
        data = message(f"r{self.count}", "/echo/a")
        client.send(self.now, data.replace(b"Host: h", b"Host: h\r\nX-Deadline-Ms: %d" % wait))

    def close(self):
        for client in self.clients:
            client.sock.close()
        self.program.core.workers.close()
        self.listener.close()
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        for _ in range(TURNS_PER_STEP):
            self.loop.call_soon(self.loop.stop)
            self.loop.run_forever()
        self.worker.close()
        self.loop.close()


@pytest.fixture
def start_program():
    programs = []

    def make(longest_deadline):
        programs.append(RunningProgram(longest_deadline))
        return programs[-1]

    yield make
    for each in programs:
        each.close()


@pytest.mark.parametrize("longest_deadline", [300, 900, 2000, 3000, 12_000])
def test_requests_sent_until_the_kill_are_answered_while_all_workers_hang(start_program, longest_deadline):
    """Each client sends a request with the longest deadline as soon as the previous one is answered."""
    running = start_program(longest_deadline)
    for _ in range(4):
        running.connect()
    sigterm_at = running.now
    kill_at = sigterm_at + min(longest_deadline, MAX_DEADLINE_MS) + KILL_DELAY_MS
    running.program.stop()
    while running.now < kill_at:
        if running.now < sigterm_at + min(CONNECTING_TIME_MS, ACCEPT_TIME_MS) and running.listener.listening:
            running.connect()
        for client in running.clients:
            if client.open and not client.awaits_response:
                running.request(client, longest_deadline)
        running.turn()
        running.step()
    for client in running.clients:
        sent, answered = len(client.sent_at), len(client.statuses)
        assert sent, "the client sent no request"
        late = sent > answered and client.sent_at[-1] > sigterm_at + 700.0
        assert not late, "sent long after SIGTERM and unanswered at SIGKILL"
        assert sent == answered or (client.open and longest_deadline > MAX_DEADLINE_MS), (
            "closed without a response"
        )
    assert not running.program.core.exchange.pending_request_count or longest_deadline > MAX_DEADLINE_MS


@pytest.mark.parametrize(
    "sent", [b"POST /echo/a HT", b"POST /echo/a HTTP/1.1\r\nX-Request-Id: h\r\nContent-Length: 9\r\n\r\nabc"]
)
@pytest.mark.parametrize("delay", [0.0, 300.0, 1400.0])
def test_client_that_stops_within_a_request_during_shutdown_has_an_error_or_a_close(
    start_program, sent, delay
):
    running = start_program(3000)
    client = running.connect()
    running.request(client, 50)
    until = running.now + 100.0
    while running.now < until:
        running.step()
    assert client.statuses in ([502], [503])
    sigterm_at = running.now
    running.program.stop()
    while running.now < sigterm_at + delay:
        running.step()
    client.sock.send(sent)
    started_at = running.now
    while running.now < started_at + ERROR_DEADLINE_MS and len(client.statuses) < 2 and client.open:
        running.step()
    assert client.statuses[1:] == [408] or not client.open


def test_program_whose_clients_have_all_disconnected_ends_before_a_kill(start_program):
    running = start_program(3000)
    clients = [running.connect() for _ in range(3)]
    for client in clients:
        running.request(client, 3000)
    running.turn()
    sigterm_at = running.now
    running.program.stop()
    for client in clients:
        client.sock.close()
        client.open = False
    while not running.program.ended.is_set() and running.now < sigterm_at + MAX_DEADLINE_MS + KILL_DELAY_MS:
        running.step()
    assert running.program.ended.is_set()
    assert all(peer_has_closed(sock) for sock in running.worker.connections), "an attempt was not cancelled"


def peer_has_closed(sock):
    """Return whether the other end has closed the connection."""
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return bool(poll.poll(0))
