"""A stand-in for discovery's agent: it pushes the endpoint list and its changes on watches."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Iterable
from contextlib import suppress
from typing import Any

from eiderfield.lab.scale.plan import ZONES
from eiderfield.lab.scale.workers import StandInWorker

KEEPALIVE_S = 2.0  # between two empty lines on a watch
SERVING = "SERVING"
DELETED = "DELETED"


class StandInDiscovery:
    """The endpoint list of a fleet and the watches that are open on it."""

    def __init__(self) -> None:
        """Begins with an empty list."""
        self.address = ""
        self.bytes_written = 0
        self._workers: dict[str, tuple[StandInWorker, int]] = {}  # by name, with the start as Unix time in ms
        self._index = 1
        self._watches: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listens on a loopback address."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def stop(self) -> None:
        """Ends all watches."""
        if self._server is not None:
            self._server.close()
        for writer in self._watches:
            writer.transport.abort()

    def add_running(self, workers: Iterable[StandInWorker]) -> None:
        """Lists workers that started long ago; no watch may be open yet."""
        self._workers.update({worker.name: (worker, 0) for worker in workers})

    def replace(self, old: StandInWorker, new: StandInWorker) -> None:
        """Pushes one change: a worker is deleted and another, which has just started, serves."""
        self._index += 1
        since_ms = int(time.time() * 1000.0)
        _, old_since_ms = self._workers.pop(old.name)
        self._workers[new.name] = (new, since_ms)
        endpoints = [entry(old, old_since_ms, DELETED), entry(new, since_ms, SERVING)]
        for writer in self._watches:
            self._push(writer, False, endpoints)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            self._write(writer, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._push(writer, True, [entry(*listed, SERVING) for listed in self._workers.values()])
            self._watches.add(writer)
            await self._keep_alive(reader, writer)
        self._watches.discard(writer)
        writer.close()

    async def _keep_alive(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while not reader.at_eof():
            with suppress(TimeoutError):
                async with asyncio.timeout(KEEPALIVE_S):
                    await reader.read(1)
            self._write(writer, b"1\r\n\n\r\n")

    def _push(self, writer: asyncio.StreamWriter, snapshot: bool, endpoints: list[dict[str, Any]]) -> None:
        listed = {"index": self._index, "snapshot": snapshot, "endpoints": endpoints}
        line = json.dumps(listed, separators=(",", ":")).encode() + b"\n"
        self._write(writer, b"%x\r\n%s\r\n" % (len(line), line))

    def _write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        if not writer.is_closing():
            self.bytes_written += len(data)
            writer.write(data)


def entry(worker: StandInWorker, since_ms: int, status: str) -> dict[str, Any]:
    """A worker as the endpoint list names it."""
    return {
        "name": worker.name,
        "address": worker.address,
        "zone": ZONES[worker.number % len(ZONES)],
        "type": "std",
        "group": 0,
        "status": status,
        "weight": 1.0,
        "since_ms": since_ms,
    }
