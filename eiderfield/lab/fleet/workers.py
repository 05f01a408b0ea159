"""Stand-in workers, with the log of what they saw.

A worker has slots and a queue of bounded length, served in order. Each dispatcher reaches it at a port of its
own, so that the log says who sent an attempt. An attempt's states, and the events that say so:

    came ──(its slots are free)──> began ──(it has run)──> ended, or unread where nobody listens any more
     │                              └──(its connection breaks)──> parted, and goes on to its end
     ├──(its connection breaks)──> dropped
     └──(the worker restarts)──> lost, as what runs is

One that finds no place is `full` and never comes in. The repeat of a keyed job within its group's window is
no second run: it waits for the first one's end (`repeated`). A worker that restarts comes back cold: jobs
run 1 / share as long, where the share rises evenly.

What must never happen here: two ends of one attempt; a result given twice under different names. A result is
made here and nowhere else, so that the clients' log shows any that no worker made.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections import deque
from dataclasses import dataclass, field
from typing import Any

from eiderfield.lab.fleet.commands import WorkerSettings
from eiderfield.lab.fleet.event_log import EventLogWriter
from eiderfield.net.http import END, Head, MalformedMessageError, Parser

ANSWER_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
FAILED_ANSWER = b"HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n"
FULL_ANSWER = b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"

SERVING = "SERVING"
DRAINING = "DRAINING"
DELETED = "DELETED"


@dataclass(eq=False)
class Attempt:
    """One request at a worker."""

    id: str
    job: str
    kind: str
    key: str
    run: float  # ms
    dispatcher: str
    connection: WorkerConnection | None  # None once it broke
    slots: int = 1
    number: int = 0  # among those that this worker began


@dataclass
class KeyedRun:
    """A run that a group remembers by its key."""

    began: float
    result: str | None = None  # None while it runs


@dataclass
class WorkerGroup:
    """What the workers of a group remember of keyed jobs."""

    number: int
    runs: dict[str, KeyedRun] = field(default_factory=dict)  # by key
    repeats: dict[str, list[Attempt]] = field(default_factory=dict)  # by key, which wait for a run's end


class WorkerConnection(asyncio.Protocol):
    """A dispatcher's connection to a worker."""

    def __init__(self, worker: Worker, dispatcher: str) -> None:
        self.attempt: Attempt | None = None  # that is out on it
        self._worker = worker
        self._dispatcher = dispatcher
        self._transport: asyncio.Transport | None = None
        self._parser = Parser()
        self._head: Head | None = None
        self._body = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the connection, if the worker's process is there."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if self._worker.is_away:
            transport.abort()
            return
        self._worker.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Hands whole requests to the worker; one that is silent reads none."""
        if self._worker.is_silent:
            return
        try:
            self._parser.feed(data)
            while (part := self._parser.poll()) is not None:
                self._take_part(part)
        except (MalformedMessageError, ValueError, KeyError) as error:
            self._worker.log_malformed(self._dispatcher, error)
            self.close()

    def connection_lost(self, _exc: Exception | None) -> None:
        """Report the open attempt on this connection to the worker."""
        self._worker.connections.discard(self)
        if self.attempt is not None:
            self._worker.connection_broke(self.attempt)

    def eof_received(self) -> bool:
        """Closes the connection: a dispatcher that ends its sending gives its attempt up."""
        return False

    def send(self, data: bytes) -> None:
        """Writes, if there is still somebody to read."""
        if self._transport is None or self._transport.is_closing() or self._worker.is_silent:
            return
        self._transport.write(data)

    def send_state(self, attempt: Attempt, last: bool = False, **state: Any) -> None:
        """One line of an answer."""
        message = {"id": attempt.id, "from": self._worker.name, **state}
        line = json.dumps(message).encode() + b"\n"
        self.send(b"%x\r\n%s\r\n" % (len(line), line) + (b"0\r\n\r\n" if last else b""))

    def close(self) -> None:
        """Breaks the connection."""
        if self._transport is not None:
            self._transport.abort()

    def _take_part(self, part: object) -> None:
        if isinstance(part, Head):
            self._head, self._body = part, b""
        elif part is END and self._head is not None:
            self._worker.take_request(self, self._dispatcher, self._head, self._body)
        elif isinstance(part, bytes):
            self._body += part


class Worker:
    """A stand-in worker."""

    def __init__(
        self, name: str, zone: str, settings: WorkerSettings, group: WorkerGroup, log: EventLogWriter
    ) -> None:
        self.name = name
        self.zone = zone
        self.group = group
        self.connections: set[WorkerConnection] = set()
        self.since = 0.0  # its last start, as Unix time in ms
        self.status = SERVING
        self.is_away = False  # its process is not there
        self.is_silent = False  # its machine does not respond
        self.fails = False  # it fails all that comes
        self.slowness = 1.0  # how many times longer jobs run
        self._settings = settings
        self._log = log
        self._queue: deque[Attempt] = deque()
        self._running: dict[Attempt, asyncio.Task[None]] = {}
        self._begun = 0

    def share(self) -> float:
        """The part of its capacity that it has."""
        if not self.since:
            return 1.0
        age = time.time() * 1000.0 - self.since
        least = self._settings.cold_share
        return min(1.0, least + (1.0 - least) * age / self._settings.cold)

    def take_request(self, connection: WorkerConnection, dispatcher: str, head: Head, body: bytes) -> None:
        """Takes a whole request in, or turns it away."""
        attempt = read_attempt(connection, dispatcher, head, body)
        if self.fails:
            self._log_attempt("failed", attempt, kind=attempt.kind)
            connection.send(FAILED_ANSWER)
            return
        known = self._known_run(attempt)
        if known is not None:
            self._take_repeat(attempt, known)
            return
        if not self._fits(attempt) and len(self._queue) >= self._settings.queue:
            self._log_attempt("full", attempt, kind=attempt.kind)
            connection.send(FULL_ANSWER)
            return
        connection.attempt = attempt
        self._log_attempt(
            "came", attempt, kind=attempt.kind, run=attempt.run, slots=attempt.slots, share=self.share()
        )
        self._queue.append(attempt)
        self._begin_next()

    def connection_broke(self, attempt: Attempt) -> None:
        """An attempt's connection broke: it leaves the queue, or runs on unread."""
        attempt.connection = None
        if attempt in self._queue:
            self._queue.remove(attempt)
            self._log_attempt("dropped", attempt)
        else:
            self._log_attempt("parted", attempt)

    def log_malformed(self, dispatcher: str, error: Exception) -> None:
        """Writes down that a dispatcher sent what is no request."""
        self._log.write("malformed", by=dispatcher, worker=self.name, why=repr(error))

    def stop_process(self) -> None:
        """Its process ends: what it has is lost, and connections are refused."""
        self.is_away = True
        for attempt, task in list(self._running.items()):
            task.cancel()
            self._log_attempt("lost", attempt)
            if attempt.key:
                self.group.runs.pop(attempt.key, None)
        for attempt in self._queue:
            self._log_attempt("dropped", attempt)
        self._running.clear()
        self._queue.clear()
        for connection in list(self.connections):
            connection.attempt = None
            connection.close()

    def start_process(self) -> None:
        """Its process starts again, cold."""
        self.is_away = False
        self.since = time.time() * 1000.0

    def reset_connections(self) -> None:
        """What was open when its machine vanished is reset once it is back."""
        for connection in list(self.connections):
            connection.close()

    def _known_run(self, attempt: Attempt) -> KeyedRun | None:
        """The run of which this attempt is a repeat, if the group remembers one."""
        run = self.group.runs.get(attempt.key) if attempt.key else None
        if run is None or time.monotonic() - run.began >= self._settings.window / 1000.0:
            return None
        return run

    def _take_repeat(self, attempt: Attempt, known: KeyedRun) -> None:
        self._log_attempt("repeated", attempt, kind=attempt.kind, group=self.group.number)
        connection = attempt.connection
        assert connection is not None
        connection.send(ANSWER_HEAD)
        if known.result is None:
            self.group.repeats.setdefault(attempt.key, []).append(attempt)
            connection.attempt = attempt
        else:
            connection.send_state(attempt, state="done", result=known.result, last=True)

    def _fits(self, attempt: Attempt) -> bool:
        """Whether a job's slots are free: the first in the queue waits until they are."""
        taken = sum(other.slots for other in self._running)
        return taken + attempt.slots <= self._settings.slots

    def _begin_next(self) -> None:
        while self._queue and self._fits(self._queue[0]):
            self._begin(self._queue.popleft())

    def _begin(self, attempt: Attempt) -> None:
        self._begun += 1
        attempt.number = self._begun
        if attempt.key:
            self.group.runs[attempt.key] = KeyedRun(time.monotonic())
        self._log_attempt("began", attempt, kind=attempt.kind, key=attempt.key, group=self.group.number)
        if attempt.connection is not None:
            attempt.connection.send(ANSWER_HEAD)
            attempt.connection.send_state(attempt, state="started")
        self._running[attempt] = asyncio.get_running_loop().create_task(self._run(attempt))

    async def _run(self, attempt: Attempt) -> None:
        left = attempt.run
        while left > 0.0:
            step = min(left, self._settings.progress)
            await asyncio.sleep(step * self.slowness / self.share() / 1000.0)
            left -= step
            if left > 0.0 and attempt.connection is not None:
                share = 1.0 - left / attempt.run
                attempt.connection.send_state(attempt, state="running", share=share)
        self._finish(attempt)

    def _finish(self, attempt: Attempt) -> None:
        result = f"{self.name}:{attempt.number}:{attempt.job}"
        del self._running[attempt]
        if attempt.key:
            self.group.runs[attempt.key].result = result
        is_read = attempt.connection is not None and not self.is_silent
        self._log_attempt("ended" if is_read else "unread", attempt, result=result)
        for each in [attempt, *self.group.repeats.pop(attempt.key, [])]:
            if each.connection is not None:
                each.connection.attempt = None
                each.connection.send_state(each, state="done", result=result, last=True)
        self._begin_next()

    def _log_attempt(self, what: str, attempt: Attempt, **more: Any) -> None:
        self._log.write(what, worker=self.name, by=attempt.dispatcher, id=attempt.id, job=attempt.job, **more)


def read_attempt(connection: WorkerConnection, dispatcher: str, head: Head, body: bytes) -> Attempt:
    """The attempt of a request; raises `ValueError` or `KeyError` if it is not one of the run's clients."""
    message = json.loads(body)
    return Attempt(
        id=head.get("x-request-id"),
        job=message["job"],
        kind=head.target.split("/")[1],
        key=head.get("idempotency-key"),
        run=message["run"],
        dispatcher=dispatcher,
        connection=connection,
        slots=message["slots"],
    )
