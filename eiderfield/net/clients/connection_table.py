"""The open connections of a listener, and the order in which they may be evicted."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable, Iterator
from itertools import islice
from typing import Generic, Protocol, TypeVar

EVICTION_CANDIDATES = 16  # connections examined to find one: a full listener cannot scan all each time


class EvictableConnection(Hashable, Protocol):
    """A connection that can be closed for another."""

    @property
    def evictable(self) -> bool:
        """Whether it may be closed for another now."""


ConnectionT = TypeVar("ConnectionT", bound=EvictableConnection)


class ConnectionTable(Generic[ConnectionT]):
    """Open connections. Each is busy, unproven or idle; busy ones are not evicted.

    Unproven connections have sent no request yet, or their last response is written. Idle ones are kept open
    between requests. Both kinds are ordered by how long they have been in this state, the longest first.
    """

    def __init__(self) -> None:
        """Create an empty table."""
        self._connections: set[ConnectionT] = set()
        self._unproven: OrderedDict[ConnectionT, None] = OrderedDict()
        self._idle: OrderedDict[ConnectionT, None] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of connections."""
        return len(self._connections)

    def __iter__(self) -> Iterator[ConnectionT]:
        """Iterate over a copy, so that connections may close meanwhile."""
        return iter(tuple(self._connections))

    def between_requests(self) -> list[ConnectionT]:
        """Return the connections that are not busy, idle ones first."""
        return [*self._idle, *self._unproven]

    def add(self, connection: ConnectionT) -> None:
        """Add a new connection, as unproven."""
        self._connections.add(connection)
        self._unproven[connection] = None

    def remove(self, connection: ConnectionT) -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)
        self.mark_busy(connection)

    def mark_busy(self, connection: ConnectionT) -> None:
        """Record that a connection waits for a response: it may not be evicted."""
        self._unproven.pop(connection, None)
        self._idle.pop(connection, None)

    def mark_active(self, connection: ConnectionT) -> None:
        """Record that more of a message has arrived: slow senders are evicted after silent ones."""
        if connection in self._unproven:
            self._unproven.move_to_end(connection)

    def mark_idle(self, connection: ConnectionT, proven: bool) -> None:
        """Record that a response was written.

        Args:
            connection: the connection that wrote it.
            proven: whether the client has sent a request, and the connection is kept open.
        """
        self._unproven.pop(connection, None)
        self._idle.pop(connection, None)
        (self._idle if proven else self._unproven)[connection] = None

    def first_unproven(self) -> ConnectionT | None:
        """Return the first unproven connection that may be evicted, None if there is none."""
        return _first_evictable(self._unproven)

    def first_idle(self) -> ConnectionT | None:
        """Return the first idle connection that may be evicted, None if there is none."""
        return _first_evictable(self._idle)


def _first_evictable(candidates: OrderedDict[ConnectionT, None]) -> ConnectionT | None:
    for connection in islice(candidates, EVICTION_CANDIDATES):
        if connection.evictable:
            return connection
    return None
