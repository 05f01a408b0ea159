"""Messages between the two processes of a handover.

All times are in ms of the clock of the process that holds the message; `codec` converts them.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from eiderfield.model.learned_state import LearnedState
from eiderfield.net.table_state import RoutingTableState

PROTOCOL_VERSION = 1


@dataclass(slots=True, frozen=True)
class TakeoverRequest:
    """The new process asks the old process to hand over."""

    version: int  # of the protocol
    with_peers: bool  # whether the new process wants the socket for other dispatchers


@dataclass(slots=True, frozen=True)
class TakeoverDelayed:
    """The old process first has to finish the handover from its own predecessor."""


@dataclass(slots=True, frozen=True)
class OpenAttempts:
    """The open attempts of a process at one worker."""

    worker: str
    count: int
    work: float = 0.0  # sent there since the last message


@dataclass(slots=True, frozen=True)
class DispatcherState:
    """The state of the old process.

    Carries the descriptors of the listeners, in their order, then that of the peers' socket.
    """

    listeners: tuple[str, ...]
    table: RoutingTableState
    bans: Mapping[str, float]  # by worker: when the ban began
    request_ids: tuple[str, ...]
    attempts: tuple[OpenAttempts, ...]
    learned: LearnedState | None  # None if it is malformed
    with_peers: bool


@dataclass(slots=True, frozen=True)
class TakeoverAccepted:
    """The new process has adopted these listeners."""

    listeners: tuple[str, ...]
    takes_parked: bool  # whether it takes parked connections in batches


@dataclass(slots=True, frozen=True)
class ListenersReleased:
    """The old process has stopped accepting."""

    connection_counts: Mapping[str, int]  # by listener: the connections of the old process


@dataclass(slots=True, frozen=True)
class LoadChanged:
    """Request ids were taken (True) or released (False), or open attempts changed."""

    request_ids: Mapping[str, bool]
    attempts: tuple[OpenAttempts, ...]


@dataclass(slots=True, frozen=True)
class BanChanged:
    """An operator has banned a worker or lifted its ban."""

    worker: str
    since: float | None  # when the ban began, None if it was lifted


@dataclass(slots=True, frozen=True)
class ConnectionPassed:
    """A client connection belongs to the new process. Carries its descriptor."""

    listener: str
    proven: bool  # whether a request has come on it
    since: float  # when the last response was sent, or when the first of `buffered` was read
    buffered: bytes  # the part of the next request that was read
    connection_counts: Mapping[str, int]  # by listener: the connections that the old process keeps


@dataclass(slots=True, frozen=True)
class ParkedBatch:
    """Parked connections for the new process. Carries their descriptors."""

    listener: str
    since: tuple[float, ...]  # when the last response was sent on each
    keys: tuple[int, ...]  # of each connection at the old process, empty if that keeps no copies
    connection_counts: Mapping[str, int]  # by listener: the connections that the old process keeps


@dataclass(slots=True, frozen=True)
class ParkedBatchTaken:
    """The new process has taken a batch of parked connections."""

    listener: str
    refused: tuple[int, ...]  # keys of the connections that it did not take


@dataclass(slots=True, frozen=True)
class ConnectionsUnparked:
    """The old process has to close its copies of some parked connections."""

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
    | ConnectionsUnparked
)
