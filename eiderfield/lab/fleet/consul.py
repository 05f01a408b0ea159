"""Discovery as Consul's health API: blocking queries, an index, one agent for each dispatcher.

An index is any that is above the last one answered; a query with it waits until there is a newer one or its
time is over. Instances that are gone are not listed; draining is a critical check.
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

LONGEST_WAIT = "300s"  # of a query that names none


class ConsulDiscovery(Discovery):
    """What lists the workers to dispatchers, in answer to their queries."""

    def __init__(self, workers: dict[str, Worker], addresses: Addresses, log: EventLogWriter) -> None:
        super().__init__(workers, addresses, log)
        self._index_rose = asyncio.Condition()
        self._tasks: set[asyncio.Task[None]] = set()

    async def serve(
        self, dispatcher: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answers a dispatcher's queries until its connection ends."""
        with suppress(OSError, asyncio.IncompleteReadError, ValueError, IndexError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                index, wait = read_query(head)
                await self._wait_for_newer(index, wait)
                self._answer(dispatcher, writer)
        writer.close()

    def _answer(self, dispatcher: str, writer: asyncio.StreamWriter) -> None:
        listed = [name for name, worker in self.workers.items() if worker.status != DELETED]
        instances = [instance_of(entry) for entry in self.entries(dispatcher, listed)]
        body = json.dumps(instances).encode()
        writer.write(
            b"HTTP/1.1 200 OK\r\nX-Consul-Index: %d\r\nX-Consul-KnownLeader: true\r\n"
            b"Content-Length: %d\r\n\r\n%s" % (self.index, len(body), body)
        )
        self.log_told(dispatcher, {name: worker.status for name, worker in self.workers.items()})

    async def _wait_for_newer(self, index: int, wait: float) -> None:
        with suppress(TimeoutError):
            async with asyncio.timeout(wait), self._index_rose:
                await self._index_rose.wait_for(lambda: self.index > index)
        await self._wait_while_silent()

    def _change_told(self, _name: str) -> None:
        task = asyncio.get_running_loop().create_task(self._wake_queries())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _wake_queries(self) -> None:
        async with self._index_rose:
            self._index_rose.notify_all()


def read_query(head: bytes) -> tuple[int, float]:
    """The index that a query has, and for how many s it waits for a newer one."""
    target = head.split(b" ", 2)[1].decode()
    parameters = parse_qs(urlsplit(target).query)
    index = int(parameters.get("index", ["0"])[0])
    wait = float(parameters.get("wait", [LONGEST_WAIT])[0].rstrip("s"))
    return index, wait


def instance_of(entry: dict[str, Any]) -> dict[str, Any]:
    """An entry of the endpoint list as Consul's health API names it."""
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
