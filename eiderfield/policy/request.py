"""Requests that this dispatcher has accepted, and the records of their attempts.

Until it is answered, a request waits in a queue of its class, has an open attempt at a worker, or both
where hedging is allowed. What may be done with it follows from the records of its attempts alone
(`retry_rules.py`): an attempt counts as one that may have run until an outcome proves that it did not, and
its record is kept after its end. Times are in milliseconds of the caller's clock.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import NamedTuple

from eiderfield.interface import Endpoint, RequestClass
from eiderfield.policy.rate_control import Pacer


class QueueId(NamedTuple):
    """The queue of a request: its class, its tenant, and whether the tenant was above its quota."""

    class_index: int
    tenant_index: int
    over_quota: bool


@dataclass(slots=True, eq=False)
class AttemptRecord:
    """One attempt of a request: where it was sent, and its progress."""

    request: QueuedRequest
    number: int
    entry: Endpoint  # as listed when the attempt was sent: a worker may come back in another zone or cell
    sent_at: float
    last_activity_at: float  # of this attempt alone: its connection can break while its worker is healthy
    started_at: float | None = None
    open: bool = True
    superseded: bool = False  # cancelled, or hedged by a further attempt
    may_have_run: bool = True  # until an outcome proves that it did not


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """A request with the records of its attempts."""

    id: int
    key: int
    deadline: float
    expected_work: float  # as the client states it, 0 if it does not
    queue_id: QueueId
    pacer: Pacer  # the rate control of its class
    request_class: RequestClass
    budget_cost: float  # work that is charged to the slow start budget of a worker
    expected_duration_ms: float
    slack_ms: float  # how long it could wait on arrival and still be answered in time
    latest_useful_start: float  # an attempt that is sent later can only give a late answer
    slots: float = 1.0  # slots that it takes at a worker while it runs
    attempts: list[AttemptRecord] = field(default_factory=list)
    released_attempts: int = 0  # of a failed dispatcher, proven never to have run
    queue: OrderedDict[int, QueuedRequest] | None = None  # the buffer in which it waits, None if in none
    answered: bool = False
    streaming: bool = False  # the stream of its response has started

    def first_possible_run(self) -> AttemptRecord | None:
        """Return the first attempt that may have run or may still run, or None."""
        return next((attempt for attempt in self.attempts if attempt.may_have_run), None)

    @property
    def attempt_count(self) -> int:
        """The number of attempts, those of a failed dispatcher among them."""
        return len(self.attempts) + self.released_attempts

    def has_open_attempt(self) -> bool:
        """Return whether an attempt is in progress at a worker."""
        return any(attempt.open for attempt in self.attempts)
