"""Requests that this dispatcher has accepted, and their attempts.

A request is held (in a queue of its class), out (an attempt is open), or both where hedging is allowed, until
it is answered. The ledger of its attempts alone says what may be done with it (`retry_rules.py`): an attempt
may have run until an outcome proves that it did not, and stays in the ledger after its end.
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
    """One attempt of a request, as far as this dispatcher knows it."""

    request: QueuedRequest
    number: int
    entry: Endpoint  # as it was listed at the send: a worker may come back in another zone or cell
    sent: float
    heard: float  # its own last sign of life, for a connection can fall silent under a worker that is well
    started: float | None = None
    open: bool = True
    given_up: bool = False
    may_have_run: bool = True  # until an outcome proves that it did not


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """A request with the ledger of its attempts."""

    id: int
    key: int
    due: float
    hint: float  # work that the client named, 0 if none
    queue_id: QueueId
    pacer: Pacer  # the rate control of its class
    cls: RequestClass
    cost: float  # expected work, for the slow start budget
    run: float  # expected running time, in ms
    timely: float  # when it must be sent at the latest to be worth anything
    slots: float = 1.0  # that it takes while it runs
    attempts: list[AttemptRecord] = field(default_factory=list)
    queue: OrderedDict[int, QueuedRequest] | None = None  # in which it waits
    answered: bool = False
    streaming: bool = False  # its stream has started

    def first_run(self) -> AttemptRecord | None:
        """The first attempt that may have run or may still do so."""
        return next((attempt for attempt in self.attempts if attempt.may_have_run), None)

    def out(self) -> bool:
        """Whether an attempt is out."""
        return any(attempt.open for attempt in self.attempts)
