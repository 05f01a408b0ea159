"""What the loop asks of the member of its process, and what it hears in return."""

from __future__ import annotations

from dataclasses import dataclass

from eiderfield.durable_requests.record import AttemptRecord, Record
from eiderfield.exchange.request import Answer

# Operations.


@dataclass(frozen=True, slots=True)
class Accept:
    """Accept a request."""

    record: Record


@dataclass(frozen=True, slots=True)
class Claim:
    """Record an attempt that is about to begin."""

    id: str
    attempt: AttemptRecord


@dataclass(frozen=True, slots=True)
class ReleaseClaim:
    """Take off an attempt that never ran."""

    id: str
    number: int


@dataclass(frozen=True, slots=True)
class Finish:
    """Record the final answer."""

    id: str
    answer: Answer
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Find:
    """Find a request's record, wherever it is. Nothing is written."""

    id: str


@dataclass(frozen=True, slots=True)
class RequestEnd:
    """Request the end of a request, wherever it is."""

    id: str


Change = Accept | Claim | ReleaseClaim | Finish  # what is written into the own store
Query = Find | RequestEnd  # what needs no store of one's own
Operation = Change | Query

# Outcomes.


@dataclass(frozen=True, slots=True)
class Accepted:
    """Of `Accept`: the request is this incarnation's."""


@dataclass(frozen=True, slots=True)
class AlreadyAccepted:
    """Of `Accept`: the request is recorded already, under this id, and its answer is waited for."""

    id: str


@dataclass(frozen=True, slots=True)
class AlreadyFinal:
    """Of `Accept`: the request has its answer."""

    record: Record


@dataclass(frozen=True, slots=True)
class Conflict:
    """Of `Accept`: the id, or the key, is that of another request."""


@dataclass(frozen=True, slots=True)
class Claimed:
    """Of `Claim`: recorded by this incarnation, which alone may send the attempt."""

    incarnation: str


@dataclass(frozen=True, slots=True)
class EndRequested:
    """Of `Claim`: not recorded, for somebody has requested the end of the request."""


@dataclass(frozen=True, slots=True)
class Found:
    """Of `Find`: the record, None if there is none."""

    record: Record | None


@dataclass(frozen=True, slots=True)
class Written:
    """It is written."""


@dataclass(frozen=True, slots=True)
class NotOwned:
    """The request is not this incarnation's, or not any more: nothing may follow from what was asked."""


@dataclass(frozen=True, slots=True)
class NotWritten:
    """The system refused to write it."""

    reason: str


Outcome = (
    Accepted
    | AlreadyAccepted
    | AlreadyFinal
    | Conflict
    | Claimed
    | EndRequested
    | Found
    | Written
    | NotOwned
    | NotWritten
)
