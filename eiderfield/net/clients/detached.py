"""Client connections that are detached between two requests, with their state."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class ConnectionHandover:
    """The state of a client's connection that is parked, or handed over to the next process."""

    proven: bool  # whether the client has sent a request
    since: float  # ms; when the first byte of `buffered` arrived, or the last response was written
    buffered: bytes = b""  # the part of the next message that is already read


@dataclass(slots=True, frozen=True)
class DetachedConnection:
    """An open connection that no protocol object or poll set of this process holds any more."""

    descriptor: int  # the caller of `detach` has to pass it on or close it
    state: ConnectionHandover


Detach = Callable[[], DetachedConnection | None]  # detaches one connection; None if that is not possible now
