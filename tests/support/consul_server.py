"""A stand-in for Consul's health API on a real socket, and workers that record when requests arrive."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

from support.consul import instance
from support.crowd import Dispatcher, SoundClient, TimedWorker, running_dispatcher

GRACE_S = 0.5 + 0.05  # of the rule, on sockets
SERVICE = "claim-workers"
FIRST_INDEX = 10


class RecordingWorker(TimedWorker):
    """A worker that records when each request arrived."""

    def __init__(self, name: str, work_s: float) -> None:
        super().__init__(work_s)
        self.name = name
        self.received_at: list[float] = []

    async def _answer(self, id_: str, writer: asyncio.StreamWriter) -> None:
        self.received_at.append(time.monotonic())
        await super()._answer(id_, writer)


class ConsulServer:
    """Answers blocking queries for the listed workers.

    Attributes:
        index: The index of the present list.
        has_leader: Whether answers say that the cluster has a leader.
        extra_entries: Entries that answers hold beside those of the workers.
        statuses: Checks' statuses by worker; a worker without one is passing.
        answers: The time and the workers of each answer, written so far.
    """

    def __init__(self, workers: Sequence[RecordingWorker]) -> None:
        self.listed = list(workers)
        self.index = FIRST_INDEX
        self.has_leader = True
        self.extra_entries: list[object] = []
        self.statuses: dict[str, str] = {}
        self.answers: list[tuple[float, frozenset[str]]] = []
        self.port = 0
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Listen, at the same port as before."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Refuse connections, and break off those that are open."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.break_connections()

    def break_connections(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def set_listed(self, workers: Sequence[RecordingWorker], index: int | None = None) -> None:
        """Change the list, and wake the queries that wait for a change; the index rises by default."""
        self.listed = list(workers)
        self.index = self.index + 1 if index is None else index
        async with self._changed:
            self._changed.notify_all()

    async def wait_for_answer(self, since: float) -> float:
        """Return when an answer after `since` was written, once there is one."""
        async with asyncio.timeout(30.0):
            while not self.answers or self.answers[-1][0] <= since:
                async with self._changed:
                    await self._changed.wait()
        return next(at for at, _ in self.answers if at > since)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                query = parse_qs(urlsplit(head.split(b" ", 2)[1].decode()).query)
                index = int(query.get("index", ["0"])[0])
                await self._wait_for_other_index(index)
                await self._answer(writer)
        self._writers.discard(writer)
        writer.close()

    async def _wait_for_other_index(self, index: int) -> None:
        async with self._changed:
            await self._changed.wait_for(lambda: index != self.index)

    async def _answer(self, writer: asyncio.StreamWriter) -> None:
        body = json.dumps([*map(self._entry, self.listed), *self.extra_entries]).encode()
        head = f"HTTP/1.1 200 OK\r\nX-Consul-Index: {self.index}\r\n"
        head += f"X-Consul-KnownLeader: {str(self.has_leader).lower()}\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        self.answers.append((time.monotonic(), frozenset(worker.name for worker in self.listed)))
        async with self._changed:
            self._changed.notify_all()

    def _entry(self, worker: RecordingWorker) -> dict[str, object]:
        return {
            **instance(worker.name, worker.port, self.statuses.get(worker.name, "passing")),
            "Node": {"Node": "n", "Address": "127.0.0.1", "Datacenter": "dc1"},
        }


class ConsulPlay:
    """A dispatcher's process that follows Consul, its workers and clients that send all the time."""

    def __init__(
        self, consul: ConsulServer, dispatcher: Dispatcher, workers: Sequence[RecordingWorker]
    ) -> None:
        self.consul = consul
        self.dispatcher = dispatcher
        self.workers = workers
        self.clients = [SoundClient(dispatcher) for _ in range(4)]

    async def send_until(self, end: float) -> None:
        """Let all clients send one request after another until the time `end`."""
        async with asyncio.TaskGroup() as group:
            for client in self.clients:
                group.create_task(self._send(client, end))

    async def _send(self, client: SoundClient, end: float) -> None:
        while time.monotonic() < end:
            await client.request()

    def late_requests(self, gone: Sequence[RecordingWorker], answered_at: float) -> list[float]:
        """Return the times after `answered_at`, in s, of requests that reached workers after the grace."""
        limit = answered_at + GRACE_S
        return [round(at - answered_at, 2) for worker in gone for at in worker.received_at if at > limit]


@asynccontextmanager
async def consul_play(folder: Path, workers: int = 12, **config: Any) -> AsyncIterator[ConsulPlay]:
    """A play in which all workers are listed; `config` adds tables to the dispatcher's configuration."""
    fleet = [RecordingWorker(f"w{number}", 0.02) for number in range(workers)]
    consul = ConsulServer(fleet)
    await consul.open()
    table = {"kind": "consul", "address": f"127.0.0.1:{consul.port}", "service": SERVICE}
    no_list = {"index": 0, "snapshot": True, "endpoints": []}
    try:
        async with running_dispatcher(folder, fleet, discovery=table, known=no_list, **config) as dispatcher:
            yield ConsulPlay(consul, dispatcher, fleet)
    finally:
        await consul.close()
