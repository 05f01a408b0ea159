"""Simulated workers that log every attempt they receive.

A worker has a number of slots and a bounded FIFO queue. It listens on a separate port for each dispatcher, so
that the log can name the dispatcher that sent an attempt. The states of an attempt, and the events that log
them:

    came ──(enough slots are free)──> began ──(the run completes)──> ended; unread if nobody gets the result
     │                                  ├──(its connection closes)──> parted; the run continues to its end
     │                                  └──(the worker stops)──> lost
     └──(its connection closes, or the worker stops)──> dropped

An attempt that finds neither free slots nor room in the queue is rejected and logged as `full`, without
`came`. A repeat of a keyed job within its group's deduplication window is logged as `repeated`; it does not
run, but gets the result of the first run. A restarted worker starts cold: its jobs take 1 / share times as
long, where the share of its capacity rises linearly to 1.

Invariants: an attempt ends at most once, and a run has a single result text, which its repeats get as well.
Results are produced only here, so a result in the clients' log that no worker logged is a fault of a
dispatcher.
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

RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
FAILED_RESPONSE = b"HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n"
FULL_RESPONSE = b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"

SERVING = "SERVING"
DRAINING = "DRAINING"
DELETED = "DELETED"


@dataclass(eq=False)
class Attempt:
    """One attempt of a job, as a worker received it."""

    id: str
    job: str
    kind: str
    key: str
    run: float  # ms
    dispatcher: str
    connection: WorkerConnection | None  # None once it is closed
    slots: int = 1
    number: int = 0  # its position among the runs that this worker began, from 1


@dataclass
class KeyedRun:
    """A run of a keyed job, which a group remembers for the deduplication window."""

    began: float
    result: str | None = None  # None until the run completes


@dataclass
class WorkerGroup:
    """The runs of keyed jobs that the workers of a group share for deduplication."""

    number: int
    runs: dict[str, KeyedRun] = field(default_factory=dict)  # by key
    repeats: dict[str, list[Attempt]] = field(
        default_factory=dict
    )  # by key; repeats that wait for the first run to complete


class WorkerConnection(asyncio.Protocol):
    """The worker's end of a connection from a dispatcher."""

    def __init__(self, worker: Worker, dispatcher: str) -> None:
        self.attempt: Attempt | None = None  # the one that waits for its response on this connection
        self._worker = worker
        self._dispatcher = dispatcher
        self._transport: asyncio.Transport | None = None
        self._parser = Parser()
        self._head: Head | None = None
        self._body = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, or abort it if the worker's process is stopped."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if self._worker.is_stopped:
            transport.abort()
            return
        self._worker.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Pass complete requests to the worker; a silent worker discards the data."""
        if self._worker.is_silent:
            return
        try:
            self._parser.feed(data)
            while (part := self._parser.poll()) is not None:
                self._receive_part(part)
        except (MalformedMessageError, ValueError, KeyError) as error:
            self._worker.log_malformed(self._dispatcher, error)
            self.close()

    def connection_lost(self, _exc: Exception | None) -> None:
        """Report the open attempt on this connection to the worker."""
        self._worker.connections.discard(self)
        if self.attempt is not None:
            self._worker.handle_disconnect(self.attempt)

    def eof_received(self) -> bool:
        """Close the connection: a dispatcher that shuts down its sending side has abandoned its attempt."""
        return False

    def send(self, data: bytes) -> None:
        """Write to the connection, unless it is closing or the worker is silent."""
        if self._transport is None or self._transport.is_closing() or self._worker.is_silent:
            return
        self._transport.write(data)

    def send_state(self, attempt: Attempt, last: bool = False, **state: Any) -> None:
        """Send one state of an attempt as a chunk of the response; `last` also ends the response."""
        message = {"id": attempt.id, "from": self._worker.name, **state}
        line = json.dumps(message).encode() + b"\n"
        self.send(b"%x\r\n%s\r\n" % (len(line), line) + (b"0\r\n\r\n" if last else b""))

    def close(self) -> None:
        """Abort the connection."""
        if self._transport is not None:
            self._transport.abort()

    def _receive_part(self, part: object) -> None:
        if isinstance(part, Head):
            self._head, self._body = part, b""
        elif part is END and self._head is not None:
            self._worker.receive_request(self, self._dispatcher, self._head, self._body)
        elif isinstance(part, bytes):
            self._body += part


class Worker:
    """A simulated worker."""

    def __init__(
        self, name: str, zone: str, settings: WorkerSettings, group: WorkerGroup, log: EventLogWriter
    ) -> None:
        self.name = name
        self.zone = zone
        self.group = group
        self.connections: set[WorkerConnection] = set()
        self.started_at = 0.0  # Unix time in ms of its last restart; 0 if it was never restarted
        self.status = SERVING
        self.is_stopped = False  # whether its process is stopped, so that connections are aborted
        self.is_silent = False  # whether its machine neither reads nor sends
        self.is_failing = False  # whether it responds to every request with 500
        self.slowdown = 1.0  # factor by which its jobs take longer than their running time
        self._settings = settings
        self._log = log
        self._queue: deque[Attempt] = deque()
        self._running: dict[Attempt, asyncio.Task[None]] = {}
        self._began_count = 0

    def capacity_share(self) -> float:
        """Return the share of its full capacity that the worker has reached since its restart."""
        if not self.started_at:
            return 1.0
        age = time.time() * 1000.0 - self.started_at
        cold_share = self._settings.cold_share
        return min(1.0, cold_share + (1.0 - cold_share) * age / self._settings.cold)

    def receive_request(self, connection: WorkerConnection, dispatcher: str, head: Head, body: bytes) -> None:
        """Queue the attempt of a complete request, or reject it."""
        attempt = read_attempt(connection, dispatcher, head, body)
        if self.is_failing:
            self._log_attempt("failed", attempt, kind=attempt.kind)
            connection.send(FAILED_RESPONSE)
            return
        first_run = self._find_first_run(attempt)
        if first_run is not None:
            self._receive_repeat(attempt, first_run)
            return
        if not self._fits(attempt) and len(self._queue) >= self._settings.queue:
            self._log_attempt("full", attempt, kind=attempt.kind)
            connection.send(FULL_RESPONSE)
            return
        connection.attempt = attempt
        self._log_attempt(
            "came",
            attempt,
            kind=attempt.kind,
            run=attempt.run,
            slots=attempt.slots,
            share=self.capacity_share(),
        )
        self._queue.append(attempt)
        self._begin_next()

    def handle_disconnect(self, attempt: Attempt) -> None:
        """Remove an attempt whose connection closed from the queue; one that runs continues to its end."""
        attempt.connection = None
        if attempt in self._queue:
            self._queue.remove(attempt)
            self._log_attempt("dropped", attempt)
        else:
            self._log_attempt("parted", attempt)

    def log_malformed(self, dispatcher: str, error: Exception) -> None:
        """Log that a dispatcher sent a malformed request."""
        self._log.write("malformed", by=dispatcher, worker=self.name, why=repr(error))

    def stop_process(self) -> None:
        """Stop the process: running and queued attempts are lost, and new connections are aborted."""
        self.is_stopped = True
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
        """Start the process again, cold."""
        self.is_stopped = False
        self.started_at = time.time() * 1000.0

    def reset_connections(self) -> None:
        """Reset the connections that were open while the machine did not respond."""
        for connection in list(self.connections):
            connection.close()

    def _find_first_run(self, attempt: Attempt) -> KeyedRun | None:
        """Return the group's run of the same key within the deduplication window, or None."""
        run = self.group.runs.get(attempt.key) if attempt.key else None
        if run is None or time.monotonic() - run.began >= self._settings.window / 1000.0:
            return None
        return run

    def _receive_repeat(self, attempt: Attempt, first_run: KeyedRun) -> None:
        self._log_attempt("repeated", attempt, kind=attempt.kind, group=self.group.number)
        connection = attempt.connection
        assert connection is not None
        connection.send(RESPONSE_HEAD)
        if first_run.result is None:
            self.group.repeats.setdefault(attempt.key, []).append(attempt)
            connection.attempt = attempt
        else:
            connection.send_state(attempt, state="done", result=first_run.result, last=True)

    def _fits(self, attempt: Attempt) -> bool:
        """Return whether enough slots are free to run the attempt."""
        used_slots = sum(other.slots for other in self._running)
        return used_slots + attempt.slots <= self._settings.slots

    def _begin_next(self) -> None:
        while self._queue and self._fits(self._queue[0]):
            self._begin(self._queue.popleft())

    def _begin(self, attempt: Attempt) -> None:
        self._began_count += 1
        attempt.number = self._began_count
        if attempt.key:
            self.group.runs[attempt.key] = KeyedRun(time.monotonic())
        self._log_attempt("began", attempt, kind=attempt.kind, key=attempt.key, group=self.group.number)
        if attempt.connection is not None:
            attempt.connection.send(RESPONSE_HEAD)
            attempt.connection.send_state(attempt, state="started")
        self._running[attempt] = asyncio.get_running_loop().create_task(self._run(attempt))

    async def _run(self, attempt: Attempt) -> None:
        remaining = attempt.run
        while remaining > 0.0:
            step = min(remaining, self._settings.progress)
            await asyncio.sleep(step * self.slowdown / self.capacity_share() / 1000.0)
            remaining -= step
            if remaining > 0.0 and attempt.connection is not None:
                share = 1.0 - remaining / attempt.run
                attempt.connection.send_state(attempt, state="running", share=share)
        self._finish(attempt)

    def _finish(self, attempt: Attempt) -> None:
        result = f"{self.name}:{attempt.number}:{attempt.job}"
        del self._running[attempt]
        if attempt.key:
            self.group.runs[attempt.key].result = result
        is_read = attempt.connection is not None and not self.is_silent
        self._log_attempt("ended" if is_read else "unread", attempt, result=result)
        for receiver in [attempt, *self.group.repeats.pop(attempt.key, [])]:
            if receiver.connection is not None:
                receiver.connection.attempt = None
                receiver.connection.send_state(receiver, state="done", result=result, last=True)
        self._begin_next()

    def _log_attempt(self, event: str, attempt: Attempt, **fields: Any) -> None:
        self._log.write(
            event, worker=self.name, by=attempt.dispatcher, id=attempt.id, job=attempt.job, **fields
        )


def read_attempt(connection: WorkerConnection, dispatcher: str, head: Head, body: bytes) -> Attempt:
    """Return the attempt of a request.

    Raises `ValueError` or `KeyError` if the request was not made by a client of the run.
    """
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
