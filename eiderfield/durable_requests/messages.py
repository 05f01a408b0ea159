"""Operations that the event loop queues for its member, and their outcomes."""

from __future__ import annotations

from dataclasses import dataclass

from eiderfield.durable_requests.record import AttemptRecord, Record
from eiderfield.durable_requests.remote_clients import Presence
from eiderfield.exchange.request import Answer

# Operations.


@dataclass(frozen=True, slots=True)
class Accept:
    """Record a request, which makes this incarnation its owner."""

    record: Record


@dataclass(frozen=True, slots=True)
class Claim:
    """Record an attempt that is about to start."""

    id: str
    attempt: AttemptRecord
    has_client: bool = True  # whether a client of this process waits


@dataclass(frozen=True, slots=True)
class ReleaseClaim:
    """Remove an attempt that never ran."""

    id: str
    number: int


@dataclass(frozen=True, slots=True)
class Finish:
    """Record the final answer. `reason` is stored for operators."""

    id: str
    answer: Answer
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Find:
    """Find the record of a request, in any store. Nothing is written."""

    id: str


@dataclass(frozen=True, slots=True)
class RequestEnd:
    """Request the end of a request, whichever incarnation owns it."""

    id: str


@dataclass(frozen=True, slots=True)
class FindRemoteClients:
    """Find whether clients of other processes wait for a request. Nothing is written."""

    id: str


Change = Accept | Claim | ReleaseClaim | Finish  # written into the store of this incarnation
Query = Find | RequestEnd | FindRemoteClients  # also answered without an incarnation
Operation = Change | Query

# Outcomes.


@dataclass(frozen=True, slots=True)
class Accepted:
    """Outcome of `Accept`: this incarnation owns the request."""


@dataclass(frozen=True, slots=True)
class AlreadyAccepted:
    """Outcome of `Accept`: the request is recorded under this id and its answer can be awaited."""

    id: str


@dataclass(frozen=True, slots=True)
class AlreadyFinal:
    """Outcome of `Accept`: the request has its answer."""

    record: Record


@dataclass(frozen=True, slots=True)
class Conflict:
    """Outcome of `Accept`: the id, or the idempotency key, belongs to another request."""


@dataclass(frozen=True, slots=True)
class Claimed:
    """Outcome of `Claim`: this incarnation has recorded the attempt, and only it may send the attempt."""

    incarnation: str


@dataclass(frozen=True, slots=True)
class EndRequested:
    """Outcome of `Claim`: not recorded, because the end of the request has been requested."""


@dataclass(frozen=True, slots=True)
class NoClient:
    """Outcome of `Claim`: not recorded, because no client of any process waits for the request."""


@dataclass(frozen=True, slots=True)
class RemoteClientsFound:
    """Outcome of `FindRemoteClients`."""

    presence: Presence


@dataclass(frozen=True, slots=True)
class Found:
    """Outcome of `Find`: the record, None if there is none."""

    record: Record | None


@dataclass(frozen=True, slots=True)
class Written:
    """Outcome of a change or of `RequestEnd`: it is written."""


@dataclass(frozen=True, slots=True)
class NotOwned:
    """Outcome of a change: this incarnation does not own the request, and must not act on the change."""


@dataclass(frozen=True, slots=True)
class NotWritten:
    """Outcome of any operation that writes: the system refused the write."""

    reason: str


Outcome = (
    Accepted
    | AlreadyAccepted
    | AlreadyFinal
    | Conflict
    | Claimed
    | EndRequested
    | NoClient
    | RemoteClientsFound
    | Found
    | Written
    | NotOwned
    | NotWritten
)
