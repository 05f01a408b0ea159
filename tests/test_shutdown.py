"""The end of the whole program on real sockets, its clock driven: all is answered before a kill may come."""

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

STEP = 10.0  # ms of the driven clock in one step
ROUNDS = 6  # turns of the loop in a step: what comes in, its turn, and what that writes
COMING = 400.0  # ms after SIGTERM for which new connections come (protocol page)
BAD_CLIENT = 3000.0  # ms in which a bad client is owed its error or a close


class Worker:
    """A worker that hangs, or answers all that it has read when it is told to."""

    def __init__(self):
        self.port_socket = socket.create_server(("127.0.0.1", 0))
        self.port_socket.setblocking(False)
        self.port = self.port_socket.getsockname()[1]
        self.connections = []

    def accept(self):
        with suppress(BlockingIOError):
            while True:
                self.connections.append(self.port_socket.accept()[0])
                self.connections[-1].setblocking(False)

    def close(self):
        for sock in (self.port_socket, *self.connections):
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
    def waits(self):
        return len(self.statuses) < len(self.sent_at)

    def send(self, now, data):
        self.sock.send(data)
        self.sent_at.append(now)


class Running:
    """A program with its listener open, and the time since its start."""

    def __init__(self, longest):
        self.now = 1_000_000.0
        self.worker = Worker()
        config = program_config(free_port(), "127.0.0.1:9", known=endpoint_list(self.worker.port))
        [cls] = config["settings"]["classes"]
        config["settings"] = {**config["settings"], "classes": [{**cls, "give_up": longest}]}
        self.loop = asyncio.new_event_loop()
        self.program = Program(read(config, {}), self.loop, lambda: self.now)
        [bound] = self.program._clients._bound
        self.listener, self.port = bound.listener, bound.address[1]
        self.listener.listen(self.loop, bound.address)
        self.clients = []
        self.count = 0

    def turn(self):
        for _ in range(ROUNDS):
            self.loop.call_soon(self.loop.stop)
            self.loop.run_forever()
        self.worker.accept()
        for client in self.clients:
            client.read()

    def step(self):
        self.now += STEP
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
        for _ in range(ROUNDS):
            self.loop.call_soon(self.loop.stop)
            self.loop.run_forever()
        self.worker.close()
        self.loop.close()


@pytest.fixture
def running():
    made = []

    def make(longest):
        made.append(Running(longest))
        return made[-1]

    yield make
    for each in made:
        each.close()


@pytest.mark.parametrize("longest", [300, 900, 2000, 3000, 12_000])
def test_clients_that_send_up_to_the_kill_are_answered_though_all_workers_hang(running, longest):
    """On every open connection, as soon as the answer before has come, with all of the class's time."""
    running = running(longest)
    for _ in range(4):
        running.connect()
    told_at = running.now
    kill = told_at + min(longest, MAX_DEADLINE_MS) + KILL_DELAY_MS
    running.program.stop()
    while running.now < kill:
        if running.now < told_at + min(COMING, ACCEPT_TIME_MS) and running.listener.listening:
            running.connect()
        for client in running.clients:
            if client.open and not client.waits:
                running.request(client, longest)
        running.turn()
        running.step()
    for client in running.clients:
        asked, answered = len(client.sent_at), len(client.statuses)
        assert asked, "each had its turn"
        late = asked > answered and client.sent_at[-1] > told_at + 700.0
        assert not late, "it came long after SIGTERM and SIGKILL finds it unanswered"
        assert asked == answered or (client.open and longest > MAX_DEADLINE_MS), "closed without an answer"
    assert not running.program.core.exchange.pending_request_count or longest > MAX_DEADLINE_MS


@pytest.mark.parametrize(
    "sent", [b"POST /echo/a HT", b"POST /echo/a HTTP/1.1\r\nX-Request-Id: h\r\nContent-Length: 9\r\n\r\nabc"]
)
@pytest.mark.parametrize("begins", [0.0, 300.0, 1400.0])
def test_who_stops_in_the_middle_of_a_request_during_the_end_has_an_error_or_a_close(running, sent, begins):
    running = running(3000)
    client = running.connect()
    running.request(client, 50)
    until = running.now + 100.0
    while running.now < until:
        running.step()
    assert client.statuses in ([502], [503])
    told_at = running.now
    running.program.stop()
    while running.now < told_at + begins:
        running.step()
    client.sock.send(sent)
    begun_at = running.now
    while running.now < begun_at + BAD_CLIENT and len(client.statuses) < 2 and client.open:
        running.step()
    assert client.statuses[1:] == [408] or not client.open


def test_a_program_whose_clients_have_all_gone_ends_before_a_kill(running):
    running = running(3000)
    clients = [running.connect() for _ in range(3)]
    for client in clients:
        running.request(client, 3000)
    running.turn()
    told_at = running.now
    running.program.stop()
    for client in clients:
        client.sock.close()
        client.open = False
    while not running.program.ended.is_set() and running.now < told_at + MAX_DEADLINE_MS + KILL_DELAY_MS:
        running.step()
    assert running.program.ended.is_set()
    assert all(gone(sock) for sock in running.worker.connections), "their attempts were given up"


def gone(sock):
    """Whether the other end has closed."""
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return bool(poll.poll(0))
