"""A whole program on real sockets, with a worker, clients and a clock that the test advances."""

from __future__ import annotations

import asyncio
import json
import socket
from contextlib import suppress

from eiderfield.config.loader import read
from eiderfield.lab.ports import free_port
from eiderfield.net.http import END, Head, Parser
from eiderfield.program.program import Program
from support.processes import endpoint_list, program_config
from support.real_sockets import message

STEP_MS = 10.0  # by which one step advances the clock
TURNS_PER_STEP = 6  # turns of the loop in a step: reading, the exchange's turn, and writing


class Worker:
    """A worker that accepts connections and responds to a request only when the test says so."""

    def __init__(self) -> None:
        self.listening_socket = socket.create_server(("127.0.0.1", 0))
        self.listening_socket.setblocking(False)
        self.port: int = self.listening_socket.getsockname()[1]
        self.connections: list[socket.socket] = []
        self.received: dict[str, socket.socket] = {}  # by request id, the requests without a response
        self._parsers: dict[socket.socket, Parser] = {}

    def accept(self) -> None:
        """Accept all connections that wait."""
        with suppress(OSError):
            while True:
                self.connections.append(self.listening_socket.accept()[0])
                self.connections[-1].setblocking(False)

    def read(self) -> None:
        """Read the requests that have arrived."""
        for sock in self.connections:
            parser = self._parsers.setdefault(sock, Parser())
            with suppress(OSError):
                while data := sock.recv(65536):
                    parser.feed(data)
            while (got := parser.poll()) is not None:
                if isinstance(got, Head):
                    self.received[str(got.get("x-request-id"))] = sock

    def serve(self, id_: str) -> None:
        """Respond to a request with its id as the result."""
        line = json.dumps({"id": id_, "from": "w", "state": "done", "result": id_}).encode() + b"\n"
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.received.pop(id_).sendall(head + b"%x\r\n%s\r\n0\r\n\r\n" % (len(line), line))

    def close(self) -> None:
        """Close all sockets."""
        for sock in (self.listening_socket, *self.connections):
            sock.close()


class Client:
    """A client's connection, on which one request is sent at a time."""

    def __init__(self, port: int) -> None:
        self.sock = socket.create_connection(("127.0.0.1", port))
        self.sock.setblocking(False)
        self.parser = Parser(responses=True)
        self.statuses: list[int] = []
        self.bodies: list[bytes] = []
        self.sent_at: list[float] = []
        self.open = True
        self._body = b""
        self._status = 0

    def read(self) -> None:
        """Read the responses that have arrived. Close the connection once the program has closed it."""
        with suppress(BlockingIOError):
            while self.open:
                try:
                    data = self.sock.recv(65536)
                except ConnectionResetError:
                    data = b""
                self.open = data != b""
                self.parser.feed(data)
        if not self.open:
            self.sock.close()
        while (got := self.parser.poll()) is not None:
            if isinstance(got, Head):
                self._status, self._body = got.status, b""
            elif isinstance(got, bytes):
                self._body += got
            elif got is END:
                self.statuses.append(self._status)
                self.bodies.append(self._body)

    @property
    def awaits_response(self) -> bool:
        """Whether a request has no response yet."""
        return len(self.statuses) < len(self.sent_at)

    def close(self) -> None:
        """Leave."""
        self.sock.close()
        self.open = False

    def send(self, now: float, data: bytes) -> None:
        """Send a request."""
        self.sock.send(data)
        self.sent_at.append(now)


class RunningProgram:
    """A program with open listeners, its clock and its clients."""

    def __init__(self, longest_deadline: float, has_batch: bool = False) -> None:
        self.now = 1_000_000.0
        self.worker = Worker()
        config = program_config(free_port(), "127.0.0.1:9", known=endpoint_list(self.worker.port))
        if has_batch:
            config["batch"] = {"enabled": True, "listen": f"127.0.0.1:{free_port()}"}
        settings = config["settings"]
        assert isinstance(settings, dict)
        [request_class] = settings["classes"]
        config["settings"] = {**settings, "classes": [{**request_class, "give_up": longest_deadline}]}
        self.loop = asyncio.new_event_loop()
        self.program = Program(read(config, {}), self.loop, lambda: self.now)
        bound_listeners = self.program._clients._bound
        self.listeners = [bound.listener for bound in bound_listeners]
        self.ports = [bound.address[1] for bound in bound_listeners]
        for bound in bound_listeners:
            bound.listener.listen(self.loop, bound.address)
        self.listener, self.port = self.listeners[0], self.ports[0]
        self.clients: list[Client] = []
        self.count = 0

    def turn(self) -> None:
        """Take some turns of the loop, and let worker and clients read."""
        for _ in range(TURNS_PER_STEP):
            self.loop.call_soon(self.loop.stop)
            self.loop.run_forever()
        self.worker.accept()
        self.worker.read()
        for client in self.clients:
            client.read()

    def step(self) -> None:
        """Advance the clock by a step."""
        self.now += STEP_MS
        self.program.core.driver.wheel.advance(self.now)
        self.turn()

    def run(self, span: float) -> None:
        """Advance the clock by `span` ms."""
        for _ in range(int(span / STEP_MS)):
            self.step()

    def connect(self, port: int = 0) -> Client:
        """Return a new client, of the listener for requests unless `port` is given."""
        self.clients.append(Client(port or self.port))
        self.turn()
        return self.clients[-1]

    def request(self, client: Client, wait: float) -> None:
        """Send a request."""
        self.count += 1
        data = message(f"r{self.count}", "/echo/a")
        client.send(self.now, data.replace(b"Host: h", b"Host: h\r\nX-Deadline-Ms: %d" % wait))

    def call(self, client: Client, method: str, path: str, content: object = None) -> None:
        """Send a message of a batch client."""
        body = b"" if content is None else json.dumps(content).encode()
        head = f"{method} {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {len(body)}\r\n\r\n"
        client.send(self.now, head.encode() + body)
        self.turn()

    def close(self) -> None:
        """Close all sockets and the loop."""
        for client in self.clients:
            client.sock.close()
        self.program.core.workers.close()
        for listener in self.listeners:
            listener.close()
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        for _ in range(TURNS_PER_STEP):
            self.loop.call_soon(self.loop.stop)
            self.loop.run_forever()
        self.worker.close()
        self.loop.close()
