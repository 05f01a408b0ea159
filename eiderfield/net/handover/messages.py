"""The messages between two processes of one dispatcher.

All times are of the clock of the process that holds the message."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from eiderfield.net.table_state import RoutingTableState


class HandoverError(ValueError):
    """The other process cannot be understood, or speaks another form: each goes on by itself."""


class MalformedMessageError(HandoverError):
    """A message lacks a field, or holds something else there than the form says."""


class UnsupportedFormError(HandoverError):
    """The other process speaks another form of the messages."""


@dataclass(slots=True, frozen=True)
class PacerState:
    """What a class's release was at."""

    run: float  # mean running time
    rate: float | None  # requests a second, None while nothing limits it
    uncut_rate: float  # the rate before it was cut
    next_at: float  # when the next request may be released


@dataclass(slots=True, frozen=True)
class RecentWork:
    """The work that a worker in slow start was sent, each piece with its time."""

    worker: int
    sent: tuple[tuple[float, float], ...]


@dataclass(slots=True, frozen=True)
class OutlierState:
    """A worker that fails requests."""

    worker: int
    faults: float
    strikes: int


@dataclass(slots=True, frozen=True)
class LearntState:
    """What the policy has learnt and spent."""

    pacers: tuple[PacerState, ...]
    retry_tokens: float
    served_rate: float  # work served in a ms, averaged
    served_at: float  # until when
    recent_work: tuple[RecentWork, ...]
    keys: tuple[tuple[int, int], ...]  # requests by key
    slots: tuple[tuple[int, float], ...]  # most slots seen by kind of worker
    outliers: tuple[OutlierState, ...]


@dataclass(slots=True, frozen=True)
class TakeoverRequest:
    """The new process asks the old one to hand over."""

    form: int
    with_peers: bool  # whether it wants the port to other dispatchers


@dataclass(slots=True, frozen=True)
class TakeoverDelayed:
    """The old process is itself in the midst of a handover."""


@dataclass(slots=True, frozen=True)
class AttemptsOut:
    """How many attempts a process has out at a worker, and the work it has sent there since it last told."""

    worker: str
    out: int
    work: float = 0.0


@dataclass(slots=True, frozen=True)
class DispatcherState:
    """The old process's state. The descriptors of its listeners come along, then that of the peers' port."""

    listeners: tuple[str, ...]
    table: RoutingTableState
    bans: Mapping[str, float]
    request_ids: tuple[str, ...]
    attempts: tuple[AttemptsOut, ...]
    learnt: LearntState | None  # None if it cannot be read
    with_peers: bool


@dataclass(slots=True, frozen=True)
class TakeoverAccepted:
    """The new process has taken these listeners."""

    listeners: tuple[str, ...]
    takes_parked: bool  # whether it takes parked connections in batches


@dataclass(slots=True, frozen=True)
class ListenersReleased:
    """The old process accepts no more. It has so many connections at each listener."""

    connections: Mapping[str, int]


@dataclass(slots=True, frozen=True)
class LoadChanged:
    """What changed at a process: ids taken (True) or free again, and attempts out."""

    request_ids: Mapping[str, bool]
    attempts: tuple[AttemptsOut, ...]


@dataclass(slots=True, frozen=True)
class BanChanged:
    """An operator has banned a worker, or lifted the ban (None)."""

    worker: str
    since: float | None


@dataclass(slots=True, frozen=True)
class ConnectionPassed:
    """A client's connection, whose descriptor comes along, belongs to the new process."""

    listener: str
    proven: bool  # whether it has brought a request
    since: float  # when it was last answered, or when the message that has begun began
    begun: bytes  # of that message, read already
    connections: Mapping[str, int]  # that the old process still has


@dataclass(slots=True, frozen=True)
class ParkedBatch:
    """Parked connections, whose descriptors come along."""

    listener: str
    since: tuple[float, ...]  # when each was last answered
    keys: tuple[int, ...]  # their names at the old process, if that keeps copies
    connections: Mapping[str, int]


@dataclass(slots=True, frozen=True)
class ParkedBatchTaken:
    """The new process has taken a batch but for some, by their names."""

    listener: str
    refused: tuple[int, ...]


@dataclass(slots=True, frozen=True)
class ParkedDeparted:
    """Parked connections, by their names, that only the new process has from now on."""

    listener: str
    keys: tuple[int, ...]


Message = (
    TakeoverRequest
    | TakeoverDelayed
    | DispatcherState
    | TakeoverAccepted
    | ListenersReleased
    | LoadChanged
    | BanChanged
    | ConnectionPassed
    | ParkedBatch
    | ParkedBatchTaken
    | ParkedDeparted
)
