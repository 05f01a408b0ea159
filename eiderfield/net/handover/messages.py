"""Messages between the two processes of a handover.

All times are in ms on the clock of the process that holds the message. `codec` converts them when a message
is sent and received.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from eiderfield.model.learned_state import LearnedState
from eiderfield.net.handover.learned_names import LearnedNames
from eiderfield.net.table_state import RoutingTableState

PROTOCOL_VERSION = 1


@dataclass(slots=True, frozen=True)
class TakeoverRequest:
    """The new process requests that the old process hands over."""

    version: int  # protocol version of the new process
    with_peers: bool  # whether the new process can use the socket for messages of other dispatchers


@dataclass(slots=True, frozen=True)
class TakeoverDelayed:
    """The old process answers later: it is still in the handover from its own predecessor."""


@dataclass(slots=True, frozen=True)
class OpenAttempts:
    """The open attempts of one process at one worker."""

    worker: str
    count: int
    work: float = 0.0  # work sent to the worker since the last message


@dataclass(slots=True, frozen=True)
class DispatcherState:
    """The state of the old process.

    The message is sent with the descriptors of the listeners, in the order of `listeners`, and then, if
    `with_peers` is true, that of the socket for messages of other dispatchers.
    """

    listeners: tuple[str, ...]
    table: RoutingTableState
    bans: Mapping[str, float]  # start of each ban, by worker
    request_ids: tuple[str, ...]
    attempts: tuple[OpenAttempts, ...]
    learned: LearnedState | None  # None if the received one was malformed
    with_peers: bool
    names: LearnedNames | None = None  # None if an earlier revision sent the message


@dataclass(slots=True, frozen=True)
class TakeoverAccepted:
    """The new process has adopted these listeners."""

    listeners: tuple[str, ...]
    accepts_parked_batches: bool  # whether the new process accepts parked connections in batches


@dataclass(slots=True, frozen=True)
class ListenersReleased:
    """The old process has stopped accepting connections at the listeners."""

    connection_counts: Mapping[str, int]  # open connections of the old process, by listener


@dataclass(slots=True, frozen=True)
class LoadChanged:
    """Request ids in use or open attempts of the sender have changed."""

    request_ids: Mapping[str, bool]  # True if the id was taken, False if it was released
    attempts: tuple[OpenAttempts, ...]


@dataclass(slots=True, frozen=True)
class BanChanged:
    """An operator has banned a worker or lifted its ban."""

    worker: str
    since: float | None  # start of the ban, None if it was lifted


@dataclass(slots=True, frozen=True)
class ConnectionPassed:
    """A client connection that the new process serves from now on. Sent with its descriptor."""

    listener: str
    proven: bool  # whether a request was received on the connection
    since: float  # when the last response was sent, or when the first byte of `buffered` was read
    buffered: bytes  # the part of the next request that the old process has read
    connection_counts: Mapping[str, int]  # connections that remain at the old process, by listener


@dataclass(slots=True, frozen=True)
class ParkedBatch:
    """Parked connections for the new process. Sent with their descriptors."""

    listener: str
    since: tuple[float, ...]  # when the last response was sent, for each connection
    keys: tuple[int, ...]  # the old process's key of each connection; empty if it keeps no copies
    connection_counts: Mapping[str, int]  # connections that remain at the old process, by listener


@dataclass(slots=True, frozen=True)
class ParkedBatchResult:
    """The new process has processed a batch of parked connections."""

    listener: str
    refused: tuple[int, ...]  # keys of the connections for which it had no capacity


@dataclass(slots=True, frozen=True)
class ConnectionsUnparked:
    """The new process has closed connections or is about to read them; the old process closes its copies."""

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
    | ParkedBatchResult
    | ConnectionsUnparked
)
