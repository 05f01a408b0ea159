"""The workers of a fleet and the source that lists them, in a process of their own, with the workers' book.

    python -m eiderfield.lab.fleet.estate FOLDER        the script and commands come as JSON lines

Theory of operation. A worker has slots and a queue of bounded length, served in order. Each dispatcher
reaches it at a port of its own, so that the book says who sent a leg. A leg goes from `came` to `began` to
`ended`, or from `came` to `dropped` when its connection broke before it began, or is `full` and never comes
in. One whose connection breaks while it runs (`parted`) goes on to its end, `unread`. The repeat of a keyed
job within its group's window is no second run: it waits for the first one's end (`repeated`). A worker that
restarts loses what it has (`lost`), and comes back cold: jobs run 1 / share as long, where the share rises
evenly.

What must never happen here: two ends of one leg; a result given twice under different names. A result is
made here and nowhere else, so that the clients' book shows any that no worker made.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from collections import deque
from contextlib import suppress
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

from eiderfield.config import address_of
from eiderfield.lab.fleet.book import Book
from eiderfield.lab.fleet.stage import obey, say
from eiderfield.net.http import END, Head, MalformedMessageError, Parser


@dataclass(eq=False)
class Leg:
    """One request at a worker."""

    id: str
    job: str
    kind: str
    key: str
    run: float  # ms
    by: str  # the dispatcher
    connection: Connection | None
    slots: int = 1
    number: int = 0


@dataclass
class Group:
    """What the workers of a group remember of keyed jobs."""

    runs: dict[str, tuple[float, str | None]] = field(default_factory=dict)  # by key: begun when, result
    waiting: dict[str, list[Leg]] = field(default_factory=dict)


class Connection(asyncio.Protocol):
    """A dispatcher's connection to a worker."""

    def __init__(self, worker: Worker, by: str) -> None:
        self.worker, self.by = worker, by
        self.transport: asyncio.Transport | None = None
        self.leg: Leg | None = None
        self._parser = Parser()
        self._head: Head | None = None
        self._body = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if self.worker.away:
            transport.abort()
            return
        self.worker.connections.add(self)

    def data_received(self, data: bytes) -> None:
        if self.worker.mute:
            return
        try:
            self._parser.feed(data)
            while (got := self._parser.poll()) is not None:
                if isinstance(got, Head):
                    self._head, self._body = got, b""
                elif got is END and self._head is not None:
                    self.worker.take(self, self._head, self._body)
                elif isinstance(got, bytes):
                    self._body += got
        except (MalformedMessageError, ValueError, KeyError) as error:
            self.worker.book.write("malformed", by=self.by, worker=self.worker.name, why=repr(error))
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self.worker.connections.discard(self)
        if self.leg is not None:
            self.worker.broke(self.leg)

    def eof_received(self) -> bool:
        return False

    def send(self, data: bytes) -> None:
        """Writes, if there is still somebody to read."""
        if self.transport is not None and not self.transport.is_closing() and not self.worker.mute:
            self.transport.write(data)

    def tell(self, leg: Leg, last: bool = False, **told: Any) -> None:
        """One line of an answer."""
        line = json.dumps({"id": leg.id, "from": self.worker.name, **told}).encode() + b"\n"
        self.send(b"%x\r\n%s\r\n" % (len(line), line) + (b"0\r\n\r\n" if last else b""))

    def close(self) -> None:
        """Breaks the connection."""
        if self.transport is not None:
            self.transport.abort()


class Worker:
    """A worker."""

    def __init__(self, name: str, number: int, script: dict[str, Any], group: Group, book: Book) -> None:
        self.name, self.script, self.group, self.book = name, script, group, book
        self.group_number = number // script["cell"]
        self.zone = "here" if script["zones"] == 1 else f"z{self.group_number % script['zones']}"
        self.connections: set[Connection] = set()
        self.queue: deque[Leg] = deque()
        self.running: dict[Leg, asyncio.Task[None]] = {}
        self.since = 0.0  # its last start, as Unix time in ms
        self.status = "SERVING"
        self.away = self.mute = self.fails = False
        self.slow = 1.0
        self._begun = 0

    def share(self) -> float:
        """The part of its capacity that it has."""
        age = time.time() * 1000.0 - self.since
        least, cold = self.script["cold_share"], self.script["cold"]
        return float(min(1.0, least + (1.0 - least) * age / cold)) if self.since else 1.0

    def take(self, connection: Connection, head: Head, body: bytes) -> None:
        """A whole request."""
        told = json.loads(body)
        leg = Leg(
            head.get("x-request-id"), told["job"], head.target.split("/")[1], head.get("idempotency-key"),
            told["run"], connection.by, connection, told["slots"],
        )  # fmt: skip
        where = {"worker": self.name, "by": leg.by, "id": leg.id, "job": leg.job, "kind": leg.kind}
        if self.fails:
            self.book.write("failed", **where)
            connection.send(b"HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n")
            return
        known = self.group.runs.get(leg.key) if leg.key else None
        if known is not None and time.monotonic() - known[0] < self.script["window"] / 1000.0:
            self.book.write("repeated", group=self.group_number, **where)
            self._answer_begins(leg)
            if known[1] is None:
                self.group.waiting.setdefault(leg.key, []).append(leg)
                connection.leg = leg
            else:
                connection.tell(leg, state="done", result=known[1], last=True)
            return
        if not self._fits(leg) and len(self.queue) >= self.script["queue"]:
            self.book.write("full", **where)
            connection.send(b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
            return
        connection.leg = leg
        self.book.write("came", run=leg.run, slots=leg.slots, share=self.share(), **where)
        self.queue.append(leg)
        self._next()

    def _answer_begins(self, leg: Leg) -> None:
        if leg.connection is not None:
            leg.connection.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")

    def _fits(self, leg: Leg) -> bool:
        """Whether a job's slots are free: the first in the queue waits until they are."""
        return bool(sum(other.slots for other in self.running) + leg.slots <= self.script["slots"])

    def _next(self) -> None:
        while self.queue and self._fits(self.queue[0]):
            leg = self.queue.popleft()
            self._begun += 1
            leg.number = self._begun
            if leg.key:
                self.group.runs[leg.key] = (time.monotonic(), None)
            self.book.write(
                "began", worker=self.name, by=leg.by, id=leg.id, job=leg.job, kind=leg.kind, key=leg.key,
                group=self.group_number,
            )  # fmt: skip
            self._answer_begins(leg)
            if leg.connection is not None:
                leg.connection.tell(leg, state="started")
            self.running[leg] = asyncio.get_running_loop().create_task(self._run(leg))

    async def _run(self, leg: Leg) -> None:
        left, every = leg.run, self.script["progress"]
        while left > 0.0:
            step = min(left, every)
            await asyncio.sleep(step * self.slow / self.share() / 1000.0)
            left -= step
            if left > 0.0 and leg.connection is not None:
                leg.connection.tell(leg, state="running", share=1.0 - left / leg.run)
        result = f"{self.name}:{leg.number}:{leg.job}"
        del self.running[leg]
        if leg.key:
            self.group.runs[leg.key] = (self.group.runs[leg.key][0], result)
        read = leg.connection is not None and not self.mute
        what = "ended" if read else "unread"
        self.book.write(what, worker=self.name, by=leg.by, id=leg.id, job=leg.job, result=result)
        for each in [leg, *self.group.waiting.pop(leg.key, [])]:
            if each.connection is not None:
                each.connection.leg = None
                each.connection.tell(each, state="done", result=result, last=True)
        self._next()

    def broke(self, leg: Leg) -> None:
        """The connection of a leg broke."""
        leg.connection = None
        if leg in self.queue:
            self.queue.remove(leg)
            self.book.write("dropped", worker=self.name, by=leg.by, id=leg.id, job=leg.job)
        else:
            self.book.write("parted", worker=self.name, by=leg.by, id=leg.id, job=leg.job)

    def leave(self) -> None:
        """Its process ends: what it has is lost, and connections are refused."""
        self.away = True
        for leg, task in list(self.running.items()):
            task.cancel()
            self.book.write("lost", worker=self.name, by=leg.by, id=leg.id, job=leg.job)
            if leg.key:
                self.group.runs.pop(leg.key, None)
        for leg in self.queue:
            self.book.write("dropped", worker=self.name, by=leg.by, id=leg.id, job=leg.job)
        self.running.clear()
        self.queue.clear()
        for connection in list(self.connections):
            connection.leg = None
            connection.close()

    def come_back(self) -> None:
        """Its process starts again, cold."""
        self.away, self.since = False, time.time() * 1000.0


class Source:
    """Discovery: each dispatcher has an agent of its own, which tells it the addresses of its own links."""

    def __init__(self, workers: dict[str, Worker], addresses: dict[str, dict[str, str]], book: Book) -> None:
        self.workers, self.addresses, self.book = workers, addresses, book
        self.index = 1
        self.delay = 0.0  # s
        self.silent = False
        self._watches: set[tuple[asyncio.StreamWriter, str]] = set()

    async def accept(self, by: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """A dispatcher's call."""
        with suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            while self.silent:
                await asyncio.sleep(0.05)
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._line(writer, self._list(by, list(self.workers), True), by)
            self._watches.add((writer, by))
            while not reader.at_eof():
                with suppress(TimeoutError):
                    async with asyncio.timeout(2.0):
                        await reader.read(1)
                if not self.silent:  # a sign of life
                    writer.write(b"1\r\n\n\r\n")
        self._watches.discard((writer, by))
        writer.close()

    def _list(self, by: str, names: list[str], whole: bool) -> dict[str, Any]:
        return {
            "index": self.index, "snapshot": whole,
            "endpoints": [
                {"name": name, "address": self.addresses[by][name], "zone": worker.zone, "type": "std",
                 "group": worker.group_number, "status": worker.status, "weight": 1.0,
                 "since_ms": worker.since}
                for name in names if (worker := self.workers[name])
            ],
        }  # fmt: skip

    def _line(self, writer: asyncio.StreamWriter, told: dict[str, Any], by: str) -> None:
        line = json.dumps(told).encode() + b"\n"
        with suppress(OSError, RuntimeError):
            writer.write(b"%x\r\n%s\r\n" % (len(line), line))
        self.book.write("told", to=by, workers={e["name"]: e["status"] for e in told["endpoints"]})

    def changed(self, name: str) -> None:
        """A worker's state has changed."""
        asyncio.get_running_loop().call_later(self.delay, self._tell, name)

    def _tell(self, name: str) -> None:
        if self.silent:
            asyncio.get_running_loop().call_later(0.1, self._tell, name)
            return
        self.index += 1
        for writer, by in list(self._watches):
            self._line(writer, self._list(by, [name], False), by)


class Consul(Source):
    """Discovery as Consul's health API: blocking queries, an index, one agent for each dispatcher.

    An index is any that is above the last one answered; a query with it waits until there is a newer one or
    its time is over. Instances that are gone are not listed; draining is a critical check."""

    def __init__(self, workers: dict[str, Worker], addresses: dict[str, dict[str, str]], book: Book) -> None:
        super().__init__(workers, addresses, book)
        self._news = asyncio.Condition()
        self._tasks: set[asyncio.Task[None]] = set()

    async def accept(self, by: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """A dispatcher's queries."""
        with suppress(OSError, asyncio.IncompleteReadError, ValueError, IndexError):
            while True:
                line = (await reader.readuntil(b"\r\n\r\n")).split(b" ", 2)[1].decode()
                asked = parse_qs(urlsplit(line).query)
                index = int(asked.get("index", ["0"])[0])
                wait = float(asked.get("wait", ["300s"])[0].rstrip("s"))
                await self._newer(index, wait)
                body = json.dumps(self._instances(by)).encode()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nX-Consul-Index: %d\r\nX-Consul-KnownLeader: true\r\n"
                    b"Content-Length: %d\r\n\r\n%s" % (self.index, len(body), body)
                )
                states = {name: worker.status for name, worker in self.workers.items()}
                self.book.write("told", to=by, workers=states)
        writer.close()

    async def _newer(self, index: int, wait: float) -> None:
        with suppress(TimeoutError):
            async with asyncio.timeout(wait), self._news:
                await self._news.wait_for(lambda: self.index > index)
        while self.silent:
            await asyncio.sleep(0.05)

    def _instances(self, by: str) -> list[dict[str, Any]]:
        found = []
        for entry in self._list(by, [n for n, w in self.workers.items() if w.status != "DELETED"], True)[
            "endpoints"
        ]:
            host, port = address_of(entry["address"], entry["name"])
            state = "passing" if entry["status"] == "SERVING" else "critical"
            meta = {"zone": entry["zone"], "type": "std", "group": str(entry["group"])}
            if entry["since_ms"]:
                meta["since_ms"] = str(entry["since_ms"])
            found.append({
                "Node": {"Node": "rig", "Address": host, "Datacenter": "dc"},
                "Service": {"ID": entry["name"], "Address": host, "Port": port, "Meta": meta,
                            "Weights": {"Passing": 1, "Warning": 1}},
                "Checks": [{"Status": state}],
            })  # fmt: skip
        return found

    def _tell(self, name: str) -> None:
        super()._tell(name)
        task = asyncio.get_running_loop().create_task(self._wake())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _wake(self) -> None:
        async with self._news:
            self._news.notify_all()


class Estate:
    """All workers, and the source."""

    def __init__(self, folder: Path) -> None:
        self._book = Book(folder / "workers.jsonl")
        self.workers: dict[str, Worker] = {}
        self.source = Source({}, {}, self._book)
        self._tasks: set[asyncio.Task[Any]] = set()

    async def open(self, told: dict[str, Any]) -> None:
        """Opens the ports that the run has chosen."""
        script, loop = told["script"], asyncio.get_running_loop()
        groups: dict[int, Group] = {}
        for number, name in enumerate(told["workers"]):
            group = groups.setdefault(number // script["cell"], Group())
            self.workers[name] = Worker(name, number, script, group, self._book)
        kind = Consul if script["source"] == "consul" else Source
        self.source = kind(self.workers, told["addresses"], self._book)
        for by, ports in told["ports"].items():
            for name, port in ports.items():
                worker = self.workers[name]
                host, number = address_of(port, name)
                await loop.create_server(partial(Connection, worker, by), host, number, backlog=256)
        for by, port in told["sources"].items():
            host, number = address_of(port, by)
            await asyncio.start_server(partial(self.source.accept, by), host, number)
        say("open")

    def take(self, told: dict[str, Any]) -> None:
        """Carries out a command."""
        if told["do"] == "open":
            task = asyncio.get_running_loop().create_task(self.open(told))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            return
        on = bool(told["on"])
        if told["who"] == "source":
            if told["do"] == "late":
                self.source.delay = told["value"] / 1000.0 if on else 0.0
            else:
                self.source.silent = on
            return
        worker = self.workers[told["who"]]
        self._book.write("fault" if on else "mended", fault=told["do"], worker=worker.name)
        match told["do"]:
            case "drain":
                worker.status = "DRAINING" if on else "SERVING"
                self.source.changed(worker.name)
            case "gone":
                worker.status = "DELETED" if on else "SERVING"
                worker.leave() if on else worker.come_back()
                self.source.changed(worker.name)
            case "restart":
                worker.leave() if on else worker.come_back()
                if not on:
                    self.source.changed(worker.name)
            case "fail":
                worker.fails = on
            case "silent":
                worker.mute = on
                if not on:  # what was open when the machine vanished is reset once it is back
                    for connection in list(worker.connections):
                        connection.close()
            case "slow":
                worker.slow = told["value"] if on else 1.0


async def serve(folder: Path) -> None:
    """Plays the estate until the input ends."""
    estate = Estate(folder)
    say("ready")
    await obey(estate.take)


if __name__ == "__main__":
    asyncio.run(serve(Path(sys.argv[1])))
