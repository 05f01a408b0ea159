"""The clients of a fleet and the front before it, in a process of their own, with the clients' event log.

    python -m eiderfield.lab.fleet.clients FOLDER        commands come as JSON lines

Theory of operation. Every job has its time before the run begins; nothing waits for an answer to an earlier
one. At its time a job becomes an attempt at a dispatcher, which the front chooses in turn among those that it
holds for healthy; it hears of a dead one only when it is told. An attempt ends in one of five ways:

    answered   with a whole answer
    broke      its connection ended without a whole answer after it was written
    shut       no connection, or none that took it
    left       its time is over
    unread     the run is over

A `shut` one goes to the next dispatcher at once, and is no repeat, for nobody took it. Each attempt has a
connection of its own, so that none can cross a dispatcher's close. After `broke`, a client that asks again
does so at the next dispatcher with the rest of the job's time; after a rejection everybody does so, once
the advised wait is over. Every attempt has an id of its own, or with `one_id` that of its job; a job's key
stays.
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

GRACE_S = 0.5  # beyond its time that a client reads on: what comes later, or never, is lost (fleet page)
CONNECT_TIMEOUT_S = 0.5  # in which a connection to a dispatcher has to come up
LEAST_LEFT_S = 0.05  # of a job's time, with which it is still worth asking
SHUT_PAUSE_S = 0.02
SAME_ID_PAUSE_S = 0.1  # before a client asks again that is sure to be known
LEAST_ADVICE_S = 0.02
REJECTED = (429, 503)


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """How an attempt ended; of an answer its status, and the wait in s that it advises."""

    how: str
    status: int = 0
    retry_after: float = 0.0

    @property
    def is_rejection(self) -> bool:
        """Whether the answer promises that the job did not run."""
        return self.how == "answered" and self.status in REJECTED


@dataclass(frozen=True, slots=True)
class AttemptPlan:
    """One attempt of a job: at which dispatcher, and by which id."""

    job: PlannedJob
    id: str
    dispatcher: str
    left: float  # s of the job's time
    name: str  # among the job's attempts


class Front:
    """Chooses dispatchers in turn, among those that it holds for healthy."""

    def __init__(self) -> None:
        self.addresses: dict[str, tuple[str, int]] = {}
        self.healthy: list[str] = []
        self._turn = 0

    def next(self) -> str:
        """The next dispatcher; any of them where none is held for healthy."""
        names = self.healthy or list(self.addresses)
        self._turn += 1
        return names[self._turn % len(names)]


class Clients:
    """All clients."""

    def __init__(self, folder: Path) -> None:
        self._log = EventLogWriter(folder / CLIENT_EVENTS)
        self._front = Front()
        self._stopped = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()

    def carry_out(self, command: Command) -> None:
        """Carries out a command."""
        if isinstance(command, StopClients):
            self._stopped.set()
        elif isinstance(command, SetHealthyDispatchers):
            self._front.healthy = command.names
        elif isinstance(command, StartClients):
            self._front.addresses = command.addresses
            self._front.healthy = list(command.addresses)
            self._tasks.add(asyncio.get_running_loop().create_task(self._run(command)))

    async def _run(self, command: StartClients) -> None:
        tasks = []
        for job in command.jobs:
            with suppress(TimeoutError):
                wait = max(0.0, command.start + job.at - time.monotonic())
                await asyncio.wait_for(self._stopped.wait(), wait)
            if self._stopped.is_set():
                break
            tasks.append(asyncio.create_task(self._play_job(job, command)))
        await asyncio.gather(*tasks)
        announce(OVER)

    async def _play_job(self, job: PlannedJob, command: StartClients) -> None:
        end = time.monotonic() + job.deadline / 1000.0
        number = shut = 0
        while (left := end - time.monotonic()) > LEAST_LEFT_S:
            result = await self._ask(job, command, left, number, shut)
            if result.how == "shut":
                shut += 1
                await asyncio.sleep(SHUT_PAUSE_S)
                continue
            if number >= command.retries or not asks_again(job, result):
                return
            if result.is_rejection:
                left = max(0.0, end - time.monotonic())
                await asyncio.sleep(min(max(result.retry_after, LEAST_ADVICE_S), left))
            elif command.one_id:
                await asyncio.sleep(SAME_ID_PAUSE_S)
            number += 1

    async def _ask(
        self, job: PlannedJob, command: StartClients, left: float, number: int, shut: int
    ) -> AttemptEnd:
        """Asks a dispatcher, or two at once, and gives the end of the first attempt."""
        id_ = job.job if command.one_id else f"{job.job}.{number}.{shut}"
        plans = [AttemptPlan(job, id_, self._front.next(), left, f"{number}.{shut}")]
        if command.asks_both and number:
            plans.append(AttemptPlan(job, id_, self._front.next(), left, f"{number}.{shut}b"))
        ends = await asyncio.gather(*[self._attempt(plan) for plan in plans])
        return ends[0]

    async def _attempt(self, plan: AttemptPlan) -> AttemptEnd:
        where = {
            "id": plan.id,
            "job": plan.job.job,
            "kind": plan.job.kind,
            "at": plan.dispatcher,
            "try": plan.name,
        }
        writer = None
        written = False
        try:
            async with asyncio.timeout(min(CONNECT_TIMEOUT_S, plan.left)):
                address = self._front.addresses[plan.dispatcher]
                reader, writer = await asyncio.open_connection(*address)
            self._log.write("asked", left=plan.left, **where)
            writer.write(request_bytes(plan))
            written = True
            async with asyncio.timeout(plan.left + GRACE_S):
                status, headers, body = await read_answer(reader)
        except (OSError, asyncio.IncompleteReadError, ValueError, TimeoutError) as error:
            if writer is not None:
                writer.transport.abort()
            how = "shut" if not written else "left" if isinstance(error, TimeoutError) else "broke"
            self._log.write(how, why=type(error).__name__, **where)
            return AttemptEnd(how)
        after = float(headers.get("retry-after", 0))
        self._log.write("answered", status=status, result=body.decode("latin-1"), after=after, **where)
        writer.close()
        return AttemptEnd("answered", status, after)


def asks_again(job: PlannedJob, result: AttemptEnd) -> bool:
    """Whether a client asks again after this end: after a rejection everybody does."""
    return result.is_rejection or (result.how == "broke" and job.asks_again)


def request_bytes(plan: AttemptPlan) -> bytes:
    """An attempt's message to a dispatcher."""
    job = plan.job
    body = json.dumps({"job": job.job, "run": job.run, "slots": job.slots}).encode()
    lines = [
        f"POST /{job.kind}/{job.job} HTTP/1.1",
        "Host: lab",
        f"X-Request-Id: {plan.id}",
        f"X-Deadline-Ms: {int(plan.left * 1000)}",
        f"Content-Length: {len(body)}",
        "Connection: close",
    ]
    if job.slots > 1:
        lines.append(f"X-Extras: slots={job.slots}")
    if job.key:
        lines.append(f"Idempotency-Key: {job.key}")
    return "\r\n".join([*lines, "", ""]).encode() + body


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, dict[str, str], bytes]:
    """Status, headers and body of a whole answer."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return int(head[0].split()[1]), headers, body


async def serve(folder: Path) -> None:
    """Plays the clients until the input ends."""
    clients = Clients(folder)
    announce(READY)
    with suppress(asyncio.CancelledError):
        await serve_commands(clients.carry_out)


if __name__ == "__main__":
    asyncio.run(serve(Path(sys.argv[1])))
