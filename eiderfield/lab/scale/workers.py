"""Stand-in workers, all in one process and each at a loopback address of its own.

Every worker has its own listening socket at 127.20.x.y with a port that the system picks. One socket on
the wildcard address would need fewer descriptors, but it would be reachable from other machines, and could
not refuse connections for one worker alone. 3,200 workers take 3,200 of the process's descriptors.
"""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass

from eiderfield.lab.scale.plan import SERVICE_MS
from eiderfield.lab.wire import Reader
from eiderfield.net.http import MalformedMessageError

FIRST_OCTETS = "127.20"
ADDRESSES = 1 << 16  # below FIRST_OCTETS
BACKLOG = 16


@dataclass
class WorkerCounts:
    """What all workers together have seen."""

    connections: int = 0
    requests: int = 0
    malformed: int = 0


def address_of_worker(number: int) -> str:
    """The loopback address of a worker."""
    if not 0 <= number < ADDRESSES:
        raise ValueError(f"worker {number} has no address below {FIRST_OCTETS}.0.0")
    return f"{FIRST_OCTETS}.{number >> 8}.{number & 255}"


def chunk(state: dict[str, str]) -> bytes:
    """One line of a worker's answer as an HTTP chunk."""
    line = json.dumps(state).encode() + b"\n"
    return b"%x\r\n%s\r\n" % (len(line), line)


class WorkerConnection(asyncio.Protocol):
    """A dispatcher's connection to a worker; it carries one request at a time."""

    def __init__(self, worker: StandInWorker) -> None:
        """Serves requests to this worker."""
        self._worker = worker
        self._reader = Reader(answers=False)
        self._transport: asyncio.Transport | None = None
        self._pending: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Counts the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._worker.counts.connections += 1
        self._worker.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Begins the requests that are complete."""
        try:
            heads = self._reader.feed(data)
        except MalformedMessageError:
            self._worker.counts.malformed += 1
            self.abort()
            return
        for head in heads:
            self._begin(head.get("x-request-id"))

    def connection_lost(self, _exc: Exception | None) -> None:
        """Drops the request that is running, if there is one."""
        self._worker.connections.discard(self)
        if self._pending is not None:
            self._pending.cancel()

    def close_when_idle(self) -> None:
        """Closes the connection now, or after the answer that is due on it."""
        if self._pending is None:
            self.abort()

    def abort(self) -> None:
        """Closes the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def _begin(self, request_id: str) -> None:
        self._worker.counts.requests += 1
        started = {"id": request_id, "from": self._worker.name, "state": "started"}
        self._write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(started))
        loop = asyncio.get_running_loop()
        self._pending = loop.call_later(SERVICE_MS / 1000.0, self._finish, request_id)

    def _finish(self, request_id: str) -> None:
        self._pending = None
        done = {"id": request_id, "from": self._worker.name, "state": "done", "result": request_id}
        self._write(chunk(done) + b"0\r\n\r\n")
        if self._worker.retired and self._transport is not None:
            self._transport.close()

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)


class StandInWorker:
    """A worker that serves every request after the same time."""

    def __init__(self, name: str, number: int, counts: WorkerCounts) -> None:
        """Counts into `counts`; the number decides the address."""
        self.name = name
        self.number = number
        self.counts = counts
        self.connections: set[WorkerConnection] = set()
        self.retired = False
        self.address = ""
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listens at the worker's address."""
        loop = asyncio.get_running_loop()
        host = address_of_worker(self.number)
        self._server = await loop.create_server(lambda: WorkerConnection(self), host, 0, backlog=BACKLOG)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    def retire(self) -> None:
        """Refuses new connections and closes the open ones, each after its last answer."""
        self.retired = True
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.close_when_idle()

    def stop(self) -> None:
        """Ends the worker at once."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.abort()
