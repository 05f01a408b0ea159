"""Requests and attempts, and what may be done with them.

Rule 2 follows from the ledger of a request's attempts alone: a request is sent again only as its class
allows, and refused only where the client may safely come again.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from eiderfield.interface import HELD_UP, Effect, Entry, JobClass, Scope

if TYPE_CHECKING:
    from eiderfield.policy.endpoint import Worker
    from eiderfield.policy.queues import Lane


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a job, as far as this node knows it."""

    job: Job
    number: int
    worker: Worker
    entry: Entry  # the worker's as it was at the send: an id may come back in another zone or cell
    sent: float
    heard: float  # its own last sign of life, for a connection can fall silent under a worker that is well
    started: float | None = None
    open: bool = True
    given_up: bool = False
    may_have_run: bool = True  # until an outcome proves that it did not


@dataclass(slots=True, eq=False)
class Job:
    """A request with the ledger of its attempts, from which alone it follows what may be done with it."""

    id: int
    key: int
    due: float
    hint: float
    lane: Lane
    cls: JobClass
    cost: float  # expected work, for the cold budget
    run: float  # expected running time
    timely: float  # when it must be sent at the latest to be worth anything
    slots: float = 1.0  # that it takes while it runs
    attempts: list[Attempt] = field(default_factory=list)
    queue: OrderedDict[int, Job] | None = None
    answered: bool = False
    bound: bool = False  # its stream has started

    def first_run(self) -> Attempt | None:
        """The first attempt that may have run or may still do so."""
        return next((attempt for attempt in self.attempts if attempt.may_have_run), None)

    def out(self) -> bool:
        """Whether an attempt is out."""
        return any(attempt.open for attempt in self.attempts)


def may_resend(job: Job, worker: Worker, now: float, copies: bool, limit: int) -> bool:
    """Rule 2 for a send: whether this job may (again) go to this worker. A cancel proves nothing."""
    if len(job.attempts) >= limit or job.bound or (job.out() and not copies):
        return False
    first = job.first_run()
    if first is None or job.cls.effect == Effect.SAFE:
        return True
    if job.cls.effect == Effect.UNSAFE or now > first.sent + job.cls.window - HELD_UP:
        return False
    zone, cell = worker.entry.zone == first.entry.zone, worker.entry.cell == first.entry.cell
    return {Scope.ALL: True, Scope.ZONE: zone, Scope.CELL: cell}[job.cls.scope]


def may_refuse(job: Job) -> bool:
    """Rule 2 for a refusal, which tells the client that it may safely come again."""
    keyed = job.cls.effect == Effect.KEYED and job.cls.scope == Scope.ALL
    return keyed or job.cls.effect == Effect.SAFE or job.first_run() is None
