"""A simulation of discovery through Consul's health API, with one agent for each dispatcher.

The index rises with each announced change. A blocking query names an index and is answered once there is a
higher one or its wait is over. Deleted workers are not listed; a draining worker has a critical check.
"""

from __future__ import annotations

import asyncio
import json
from contextlib import suppress
from typing import Any
from urllib.parse import parse_qs, urlsplit

from eiderfield.config.address import parse_address
from eiderfield.lab.fleet.discovery import Addresses, Discovery
from eiderfield.lab.fleet.event_log import EventLogWriter
from eiderfield.lab.fleet.workers import DELETED, SERVING, Worker

DEFAULT_WAIT = "300s"  # of a query without `wait`


class ConsulDiscovery(Discovery):
    """Lists the workers to the dispatchers in response to blocking queries."""

    def __init__(self, workers: dict[str, Worker], addresses: Addresses, log: EventLogWriter) -> None:
        super().__init__(workers, addresses, log)
        self._index_changed = asyncio.Condition()
        self._tasks: set[asyncio.Task[None]] = set()

    async def serve(
        self, dispatcher: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer a dispatcher's queries until its connection ends."""
        with suppress(OSError, asyncio.IncompleteReadError, ValueError, IndexError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                index, wait = read_query(head)
                await self._wait_for_newer(index, wait)
                self._answer(dispatcher, writer)
        writer.close()

    def _answer(self, dispatcher: str, writer: asyncio.StreamWriter) -> None:
        listed = [name for name, worker in self.workers.items() if worker.status != DELETED]
        instances = [health_instance(entry) for entry in self.entries(dispatcher, listed)]
        body = json.dumps(instances).encode()
        writer.write(
            b"HTTP/1.1 200 OK\r\nX-Consul-Index: %d\r\nX-Consul-KnownLeader: true\r\n"
            b"Content-Length: %d\r\n\r\n%s" % (self.index, len(body), body)
        )
        self.log_announcement(dispatcher, {name: worker.status for name, worker in self.workers.items()})

    async def _wait_for_newer(self, index: int, wait: float) -> None:
        with suppress(TimeoutError):
            async with asyncio.timeout(wait), self._index_changed:
                await self._index_changed.wait_for(lambda: self.index > index)
        await self._wait_while_silent()

    def _send_change(self, _name: str) -> None:
        task = asyncio.get_running_loop().create_task(self._wake_queries())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _wake_queries(self) -> None:
        async with self._index_changed:
            self._index_changed.notify_all()


def read_query(head: bytes) -> tuple[int, float]:
    """Return the index of a query, 0 without one, and its wait in s."""
    target = head.split(b" ", 2)[1].decode()
    parameters = parse_qs(urlsplit(target).query)
    index = int(parameters.get("index", ["0"])[0])
    wait = float(parameters.get("wait", [DEFAULT_WAIT])[0].rstrip("s"))
    return index, wait


def health_instance(entry: dict[str, Any]) -> dict[str, Any]:
    """Return the instance of the health API for an entry of the endpoint list."""
    host, port = parse_address(entry["address"], entry["name"])
    status = "passing" if entry["status"] == SERVING else "critical"
    meta = {"zone": entry["zone"], "type": entry["type"], "group": str(entry["group"])}
    if entry["since_ms"]:
        meta["since_ms"] = str(entry["since_ms"])
    return {
        "Node": {"Node": "rig", "Address": host, "Datacenter": "dc"},
        "Service": {
            "ID": entry["name"],
            "Address": host,
            "Port": port,
            "Meta": meta,
            "Weights": {"Passing": 1, "Warning": 1},
        },
        "Checks": [{"Status": status}],
    }
