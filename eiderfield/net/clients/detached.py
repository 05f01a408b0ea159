"""Client connections that are given away between two requests, with their state."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class ConnectionHandover:
    """The state of a client's connection that is parked, or handed over to the next process."""

    proven: bool  # whether the client has sent a request
    since: float  # ms; when the first of `buffered` arrived, else when the last response was written
    buffered: bytes = b""  # the part of the next message that was read already


@dataclass(slots=True, frozen=True)
class DetachedConnection:
    """An open connection that no protocol object or poll set of this process holds any more."""

    descriptor: int  # the caller of `detach` has to pass it on or close it
    state: ConnectionHandover


Detach = Callable[[], DetachedConnection | None]  # gives one connection away, None if it cannot be now
