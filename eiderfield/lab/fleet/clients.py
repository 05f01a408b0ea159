"""The clients of a run and their front end, in a process of their own that writes the clients' event log.

    python -m eiderfield.lab.fleet.clients FOLDER        reads commands as JSON lines

The schedule is open-loop: the send time of every job is fixed before the run, and no job waits for the
response to an earlier one. Each attempt goes to a dispatcher that the front end chooses in rotation among
those that it considers healthy; a command tells it which ones these are. Each attempt is logged as `asked`
once it has a connection, and ends with one of these events:

    answered   a complete response arrived
    broke      the connection failed, or the response was invalid, after the request was written
    shut       no connection could be opened, so that no dispatcher has received the request
    left       no complete response arrived within the job's deadline and `GRACE_S`

An attempt that is open when the run ends has no such event.

After `shut` the job goes to the next dispatcher, which does not count as a retry. After `broke` a client
retries if its class allows it, at the next dispatcher and within what remains of the deadline. After a
rejection every client retries, once the time of Retry-After has passed. Each attempt opens its own
connection, so that no request can race with a dispatcher's close of an idle one. Each attempt has its own
request id, or that of its job with `one_id`; the idempotency key of a job is the same in all attempts.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

from eiderfield.lab.fleet.commands import (
    OVER,
    READY,
    Command,
    PlannedJob,
    SetHealthyDispatchers,
    StartClients,
    StopClients,
    announce,
    serve_commands,
)
from eiderfield.lab.fleet.event_log import CLIENT_EVENTS, EventLogWriter

GRACE_S = 0.5  # time past its deadline that a client still reads; a later response is lost
CONNECT_TIMEOUT_S = 0.5  # for a connection to a dispatcher
MIN_REMAINING_S = 0.05  # of a job's deadline, below which no further attempt is made
RECONNECT_DELAY_S = 0.02
SAME_ID_RETRY_DELAY_S = 0.1  # before a retry with the same id, by which the dispatchers know the job
MIN_RETRY_AFTER_S = 0.02
REJECTION_STATUSES = (429, 503)


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """The end of an attempt: its event and, for `answered`, the status and the Retry-After value in s."""

    outcome: str
    status: int = 0
    retry_after: float = 0.0

    @property
    def is_rejection(self) -> bool:
        """Return whether the response states that the job did not run."""
        return self.outcome == "answered" and self.status in REJECTION_STATUSES


@dataclass(frozen=True, slots=True)
class AttemptPlan:
    """One attempt of a job, with the dispatcher that it goes to and its request id."""

    job: PlannedJob
    id: str
    dispatcher: str
    remaining: float  # s until the job's deadline
    name: str  # unique among the attempts of the job


class FrontEnd:
    """A front end that rotates over the dispatchers that it considers healthy."""

    def __init__(self) -> None:
        self.addresses: dict[str, tuple[str, int]] = {}
        self.healthy: list[str] = []
        self._turn = 0

    def next(self) -> str:
        """Return the next dispatcher; if none is considered healthy, rotate over all."""
        names = self.healthy or list(self.addresses)
        self._turn += 1
        return names[self._turn % len(names)]


class Clients:
    """All clients of a run."""

    def __init__(self, folder: Path) -> None:
        self._log = EventLogWriter(folder / CLIENT_EVENTS)
        self._front_end = FrontEnd()
        self._stopped = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()

    def execute(self, command: Command) -> None:
        """Execute a command."""
        if isinstance(command, StopClients):
            self._stopped.set()
        elif isinstance(command, SetHealthyDispatchers):
            self._front_end.healthy = command.names
        elif isinstance(command, StartClients):
            self._front_end.addresses = command.addresses
            self._front_end.healthy = list(command.addresses)
            self._tasks.add(asyncio.get_running_loop().create_task(self._run(command)))

    async def _run(self, command: StartClients) -> None:
        tasks = []
        for job in command.jobs:
            with suppress(TimeoutError):
                wait = max(0.0, command.start + job.at - time.monotonic())
                await asyncio.wait_for(self._stopped.wait(), wait)
            if self._stopped.is_set():
                break
            tasks.append(asyncio.create_task(self._run_job(job, command)))
        await asyncio.gather(*tasks)
        announce(OVER)

    async def _run_job(self, job: PlannedJob, command: StartClients) -> None:
        deadline = time.monotonic() + job.deadline / 1000.0
        number = reconnects = 0
        while (remaining := deadline - time.monotonic()) > MIN_REMAINING_S:
            result = await self._send_job(job, command, remaining, number, reconnects)
            if result.outcome == "shut":
                reconnects += 1
                await asyncio.sleep(RECONNECT_DELAY_S)
                continue
            if number >= command.retries or not may_retry(job, result):
                return
            if result.is_rejection:
                remaining = max(0.0, deadline - time.monotonic())
                await asyncio.sleep(min(max(result.retry_after, MIN_RETRY_AFTER_S), remaining))
            elif command.one_id:
                await asyncio.sleep(SAME_ID_RETRY_DELAY_S)
            number += 1

    async def _send_job(
        self, job: PlannedJob, command: StartClients, remaining: float, number: int, reconnects: int
    ) -> AttemptEnd:
        """Send the job to one dispatcher, or to two at once, and return the end of the first attempt."""
        id_ = job.job if command.one_id else f"{job.job}.{number}.{reconnects}"
        plans = [AttemptPlan(job, id_, self._front_end.next(), remaining, f"{number}.{reconnects}")]
        if command.asks_both and number:
            plans.append(AttemptPlan(job, id_, self._front_end.next(), remaining, f"{number}.{reconnects}b"))
        ends = await asyncio.gather(*[self._attempt(plan) for plan in plans])
        return ends[0]

    async def _attempt(self, plan: AttemptPlan) -> AttemptEnd:
        fields = {
            "id": plan.id,
            "job": plan.job.job,
            "kind": plan.job.kind,
            "at": plan.dispatcher,
            "try": plan.name,
        }
        writer = None
        written = False
        try:
            async with asyncio.timeout(min(CONNECT_TIMEOUT_S, plan.remaining)):
                address = self._front_end.addresses[plan.dispatcher]
                reader, writer = await asyncio.open_connection(*address)
            self._log.write("asked", left=plan.remaining, **fields)
            writer.write(request_bytes(plan))
            written = True
            async with asyncio.timeout(plan.remaining + GRACE_S):
                status, headers, body = await read_response(reader)
        except (OSError, asyncio.IncompleteReadError, ValueError, TimeoutError) as error:
            if writer is not None:
                writer.transport.abort()
            outcome = "shut" if not written else "left" if isinstance(error, TimeoutError) else "broke"
            self._log.write(outcome, why=type(error).__name__, **fields)
            return AttemptEnd(outcome)
        retry_after = float(headers.get("retry-after", 0))
        self._log.write("answered", status=status, result=body.decode("latin-1"), after=retry_after, **fields)
        writer.close()
        return AttemptEnd("answered", status, retry_after)


def may_retry(job: PlannedJob, result: AttemptEnd) -> bool:
    """Return whether the client may retry: after a rejection always, after `broke` if its class allows it."""
    return result.is_rejection or (result.outcome == "broke" and job.asks_again)


def request_bytes(plan: AttemptPlan) -> bytes:
    """Return the HTTP request of an attempt."""
    job = plan.job
    body = json.dumps({"job": job.job, "run": job.run, "slots": job.slots}).encode()
    lines = [
        f"POST /{job.kind}/{job.job} HTTP/1.1",
        "Host: lab",
        f"X-Request-Id: {plan.id}",
        f"X-Deadline-Ms: {int(plan.remaining * 1000)}",
        f"Content-Length: {len(body)}",
        "Connection: close",
    ]
    if job.slots > 1:
        lines.append(f"X-Extras: slots={job.slots}")
    if job.key:
        lines.append(f"Idempotency-Key: {job.key}")
    return "\r\n".join([*lines, "", ""]).encode() + body


async def read_response(reader: asyncio.StreamReader) -> tuple[int, dict[str, str], bytes]:
    """Read a complete response and return its status, headers and body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return int(head[0].split()[1]), headers, body


async def serve(folder: Path) -> None:
    """Run the clients until the end of the input."""
    clients = Clients(folder)
    announce(READY)
    with suppress(asyncio.CancelledError):
        await serve_commands(clients.execute)


if __name__ == "__main__":
    asyncio.run(serve(Path(sys.argv[1])))
