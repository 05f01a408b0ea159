"""A dispatcher with sockets and a clock in memory; tests act as its clients and workers, byte by byte."""

from __future__ import annotations

import asyncio
import json
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

from eiderfield.config.address import Address
from eiderfield.exchange.exchange import Exchange
from eiderfield.idmap import IdMap
from eiderfield.interface import Settings
from eiderfield.net.bans import Bans
from eiderfield.net.clients import ClientConnection, Listener, RequestFront
from eiderfield.net.clients.detached import ConnectionHandover
from eiderfield.net.clock import WallClock
from eiderfield.net.discovery.routing_table import RoutingTable
from eiderfield.net.faults import Cause
from eiderfield.net.http import END, Head, Parser
from eiderfield.net.wheel import Wheel
from eiderfield.net.worker_pool import WorkerPool
from support.policy import BASE, KEYED, SAFE, UNSAFE

SITE = replace(BASE, classes=(SAFE, UNSAFE, KEYED), hedging_allowed=False)


def ignore_delay(_cause: Cause) -> None:
    """Ignore that a dial is delayed."""


class Pipe(asyncio.Transport):
    """A transport in memory: keeps what the program writes, and passes on what the peer sends."""

    def __init__(self, protocol: Any, stuck: bool = False) -> None:
        super().__init__()
        self.protocol = protocol
        self.stuck = stuck  # whether what is written stays in this process
        self.written = bytearray()
        self.open = True
        self.ended = False
        self.paused = False

    def write(self, data: Any) -> None:
        assert not self.ended, "written after the end of sending"
        if self.open:
            self.written += data
            if self.stuck:
                self.protocol.pause_writing()

    def write_eof(self) -> None:
        self.ended = True

    def get_write_buffer_size(self) -> int:
        return len(self.written) if self.stuck else 0

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass

    def is_closing(self) -> bool:
        return not self.open

    def pause_reading(self) -> None:
        self.paused = True

    def resume_reading(self) -> None:
        self.paused = False

    def abort(self) -> None:
        self.open = False

    close = abort

    def unstick(self) -> None:
        if self.stuck:
            self.stuck = False
            self.protocol.resume_writing()

    def send(self, data: bytes) -> None:
        """Pass data of the peer to the protocol."""
        while data and self.open:
            buffer = self.protocol.get_buffer(-1)
            piece, data = data[: len(buffer)], data[len(buffer) :]
            buffer[: len(piece)] = piece
            self.protocol.buffer_updated(len(piece))

    def break_off(self) -> None:
        """Reset the connection by the peer."""
        if self.open:
            self.open = False
            self.protocol.connection_lost(ConnectionResetError())


class Client:
    """A client's end of a connection."""

    def __init__(
        self,
        dispatcher: InMemoryDispatcher,
        listener: Listener | None = None,
        handover: ConnectionHandover | None = None,
        sock: socket.socket | None = None,
    ) -> None:
        self.dispatcher = dispatcher
        self.connection = ClientConnection(listener or dispatcher.listener, sock, handover=handover)
        (listener or dispatcher.listener).open_connections.add(self.connection)
        self.pipe = Pipe(self.connection)
        self.connection.connection_made(self.pipe)
        self._parser = Parser(responses=True)

    def post(
        self, path: str = "/safe/k1", id_: str = "r1", wait: int = 5000, body: bytes = b"b", **headers: str
    ) -> None:
        lines = [f"POST {path} HTTP/1.1", "Host: h", f"X-Request-Id: {id_}", f"X-Deadline-Ms: {wait}"]
        lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
        self.send("\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode() + body)

    def ask(self, method: str, path: str, told: object = None) -> list[tuple[int, Head, bytes]]:
        body = b"" if told is None else json.dumps(told).encode()
        head = f"{method} {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {len(body)}\r\n\r\n"
        self.send(head.encode() + body)
        return self.answers()

    def send(self, data: bytes) -> None:
        self.pipe.send(data)
        self.dispatcher.settle()

    def answers(self) -> list[tuple[int, Head, bytes]]:
        """Return the complete responses received since the last call, as status, head and body."""
        found: list[tuple[int, Head, bytes]] = []
        head, body = None, b""
        self._parser.feed(bytes(self.pipe.written))
        self.pipe.written.clear()
        while (got := self._parser.poll()) is not None:
            if isinstance(got, Head):
                head, body = got, b""
            elif isinstance(got, bytes):
                body += got
            else:
                assert head is not None
                found.append((head.status, head, body))
        return found


class WorkerEnd:
    """A worker's end of a connection."""

    def __init__(
        self, dispatcher: InMemoryDispatcher, connection: Any, worker: int, stuck: bool = False
    ) -> None:
        self.dispatcher = dispatcher
        self.connection = connection
        self.worker = worker
        self.pipe = Pipe(connection, stuck)
        self.requests: deque[Head] = deque()
        self.came: list[str | None] = []  # the ids of all whole requests so far
        self._parser = Parser()
        connection.connection_made(self.pipe)

    def take(self) -> list[str | None]:
        """Return the ids of the complete requests without a response; buffered writes are not received."""
        if self.pipe.stuck:
            return []
        self._parser.feed(bytes(self.pipe.written))
        self.pipe.written.clear()
        while (got := self._parser.poll()) is not None:
            if isinstance(got, Head):
                self.requests.append(got)
            elif got is END:
                self.came.append(self.requests[-1].get("x-request-id"))
        return [head.get("x-request-id") for head in self.requests]

    def say(self, *lines: object, head: bool = True, end: bool = False) -> None:
        data = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" if head else b""
        for line in lines:
            text = json.dumps(line).encode() + b"\n"
            data += b"%x\r\n%s\r\n" % (len(text), text)
        self.pipe.send(data + (b"0\r\n\r\n" if end else b""))
        self.dispatcher.settle()

    def finish(self, state: str = "done", result: str = "ok") -> None:
        """Respond to the oldest request."""
        self.take()
        id_ = self.requests.popleft().get("x-request-id")
        told = {"id": id_, "from": "w", "state": state}
        if state == "done":
            told["result"] = result
        self.say({"id": id_, "from": "w", "state": "started"}, told, end=True)

    def status(self, status: int, **headers: str) -> None:
        self.take()
        self.requests.popleft()
        lines = [f"HTTP/1.1 {status} X", "Content-Length: 0"]
        lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
        self.pipe.send("\r\n".join([*lines, "", ""]).encode())
        self.dispatcher.settle()


class PendingConnection:
    """A connection that is being dialled."""

    def __init__(
        self,
        dispatcher: InMemoryDispatcher,
        connection: Any,
        address: Address,
        on_failed: Callable[[], object],
        on_delayed: Callable[[Cause], None] | None,
    ) -> None:
        self.dispatcher, self.connection, self.address = dispatcher, connection, address
        self.on_failed, self.on_delayed = on_failed, on_delayed
        self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True
        if self in self.dispatcher.dials:
            self.dispatcher.dials.remove(self)

    def up(self, stuck: bool = False) -> WorkerEnd:
        self.dispatcher.dials.remove(self)
        end = WorkerEnd(self.dispatcher, self.connection, self.address[1], stuck)
        self.dispatcher.ends.append(end)
        self.dispatcher.settle()
        return end

    def refuse(self) -> None:
        self.dispatcher.dials.remove(self)
        self.on_failed()
        self.dispatcher.settle()


class InMemoryDispatcher:
    """The parts of a dispatcher, connected in memory. `unix` reads the wall clock; by default it is `now`."""

    START = 1_000_000.0  # ms

    def __init__(
        self,
        site: Settings = SITE,
        workers: int = 2,
        seed: int = 1,
        most: int = 64,
        worker_connections: int = 64,
        bans: Path | None = None,
        unix: Callable[[], float] | None = None,
        start: float = START,
    ) -> None:
        self.now = start
        self.wheel = Wheel(self.now)
        self.woken = False
        self.logged: list[str] = []
        self.dials: list[PendingConnection] = []
        self.ends: list[WorkerEnd] = []
        self.ids = IdMap()
        self.exchange = Exchange(site, seed, self.wheel, lambda: self.wake(), self.logged.append)
        self.side = WorkerPool(
            self.exchange, self.wheel, self.clock, self.dial, 100.0, 10_000.0, worker_connections
        )
        self.wall = None if unix is None else WallClock(self.clock, unix)
        ban_store = Bans(bans, self.logged.append, self.wheel, self.clock, wall=self.wall)
        ban_store.load()
        self.table = RoutingTable(self.exchange, self.side, self.ids, ban_store, self.clock, self.wall)
        front = RequestFront(self.exchange, self.ids, self.clock)
        self.listener = Listener(front, self.wheel, self.clock, most)
        self.index = 0
        self.tell(*[(w, "SERVING") for w in range(1, workers + 1)], snapshot=True)

    def clock(self) -> float:
        return self.now

    def wake(self) -> None:
        self.woken = True

    def dial(
        self,
        protocol: Any,
        address: Address,
        on_failed: Callable[[], object],
        on_delayed: Callable[[Cause], None] = ignore_delay,
    ) -> PendingConnection:
        self.dials.append(PendingConnection(self, protocol, address, on_failed, on_delayed))
        return self.dials[-1]

    def settle(self) -> None:
        """Take turns of the exchange until none is scheduled."""
        while self.woken:
            self.woken = False
            self.exchange.turn(self.now)

    def advance(self, span: float) -> None:
        """Advance the clock by `span` ms, calling each timer at its time."""
        end = self.now + span
        while (at := self.wheel.next_wakeup()) <= end:
            self.now = max(self.now, at)
            self.wheel.advance(self.now)
            self.settle()
        self.now = end

    def tell(self, *news: tuple[int, str], snapshot: bool = False, since: float = 0) -> None:
        """Update the endpoint list with pairs of a worker's number and its status."""
        self.index += 1
        endpoints = [
            {
                "name": f"w{w}",
                "address": f"127.0.0.1:{w}",
                "zone": f"z{w % 2}",
                "status": s,
                "since_ms": since,
            }
            for w, s in news
        ]
        self.table.load({"index": self.index, "snapshot": snapshot, "endpoints": endpoints})
        self.settle()

    def client(self, **message: Any) -> Client:
        """Return a client that has sent a request."""
        client = Client(self)
        client.post(**message)
        return client
