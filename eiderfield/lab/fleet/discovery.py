"""A simulation of the platform's discovery, with one agent for each dispatcher.

The addresses that an agent lists are those of the dispatcher's own links to the workers.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterable
from contextlib import suppress
from typing import Any

from eiderfield.lab.fleet.event_log import EventLogWriter
from eiderfield.lab.fleet.workers import RESPONSE_HEAD, Worker

KEEPALIVE_S = 2.0  # between two keepalive lines on a watch
SILENCE_POLL_S = 0.05
RETRY_INTERVAL_S = 0.1  # until an announcement is tried again while discovery is silent

Addresses = dict[str, dict[str, str]]  # by dispatcher and worker


class Discovery:
    """Lists the workers to the dispatchers on watches, which are responses that stay open."""

    def __init__(self, workers: dict[str, Worker], addresses: Addresses, log: EventLogWriter) -> None:
        self.workers = workers
        self.index = 1
        self.delay = 0.0  # s by which announcements are delayed
        self.is_silent = False
        self._addresses = addresses
        self._log = log
        self._watches: set[tuple[asyncio.StreamWriter, str]] = set()

    async def serve(
        self, dispatcher: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve a dispatcher's watch until its connection ends."""
        with suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            await self._wait_while_silent()
            writer.write(RESPONSE_HEAD)
            self._send_entries(writer, dispatcher, self.workers, snapshot=True)
            self._watches.add((writer, dispatcher))
            while not reader.at_eof():
                with suppress(TimeoutError):
                    async with asyncio.timeout(KEEPALIVE_S):
                        await reader.read(1)
                if not self.is_silent:
                    writer.write(b"1\r\n\n\r\n")
        self._watches.discard((writer, dispatcher))
        writer.close()

    def worker_changed(self, name: str) -> None:
        """Announce the state of a worker after the delay."""
        asyncio.get_running_loop().call_later(self.delay, self._announce_change, name)

    def entries(self, dispatcher: str, names: Iterable[str]) -> list[dict[str, Any]]:
        """Return the entries of the named workers in a dispatcher's endpoint list."""
        return [self._entry(dispatcher, self.workers[name]) for name in names]

    def log_announcement(self, dispatcher: str, statuses: dict[str, str]) -> None:
        """Log which states were announced to a dispatcher."""
        self._log.write("told", to=dispatcher, workers=statuses)

    async def _wait_while_silent(self) -> None:
        while self.is_silent:
            await asyncio.sleep(SILENCE_POLL_S)

    def _announce_change(self, name: str) -> None:
        if self.is_silent:
            asyncio.get_running_loop().call_later(RETRY_INTERVAL_S, self._announce_change, name)
            return
        self.index += 1
        self._send_change(name)

    def _send_change(self, name: str) -> None:
        for writer, dispatcher in list(self._watches):
            self._send_entries(writer, dispatcher, [name], snapshot=False)

    def _send_entries(
        self, writer: asyncio.StreamWriter, dispatcher: str, names: Iterable[str], snapshot: bool
    ) -> None:
        endpoints = self.entries(dispatcher, names)
        message = {"index": self.index, "snapshot": snapshot, "endpoints": endpoints}
        line = json.dumps(message).encode() + b"\n"
        with suppress(OSError, RuntimeError):
            writer.write(b"%x\r\n%s\r\n" % (len(line), line))
        self.log_announcement(dispatcher, {entry["name"]: entry["status"] for entry in endpoints})

    def _entry(self, dispatcher: str, worker: Worker) -> dict[str, Any]:
        return {
            "name": worker.name,
            "address": self._addresses[dispatcher][worker.name],
            "zone": worker.zone,
            "type": "std",
            "group": worker.group.number,
            "status": worker.status,
            "weight": 1.0,
            "since_ms": worker.started_at,
        }
