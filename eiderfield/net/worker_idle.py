"""The idle connections to workers, and the rules for reusing them.

Workers close a connection that has been idle for some time. A connection is reused only well before that
time, so that no request is written to a connection that the worker is closing.
"""

from __future__ import annotations

from collections import OrderedDict

from eiderfield.net.worker_connection import WorkerConnection

IDLE_MARGIN_MS = 1000.0  # a connection is not reused during this time before the worker closes it
MIN_REUSE_FRACTION = 0.5  # of the idle timeout; a connection is reused at least that long
REUSE_DISABLED_MS = 10_000.0  # after a reused connection to the worker failed


class IdleWorkerConnections:
    """The idle connections to all workers, in order from the longest idle one. Times are in ms."""

    def __init__(self, idle_timeout: float) -> None:
        """Create an empty set. Workers close idle connections after `idle_timeout`."""
        self.set_idle_timeout(idle_timeout)
        self._idle_since: OrderedDict[WorkerConnection, float] = OrderedDict()
        self._reuse_disabled_until: dict[int, float] = {}

    def __len__(self) -> int:
        """Return the number of idle connections."""
        return len(self._idle_since)

    def set_idle_timeout(self, idle_timeout: float) -> None:
        """Set the time after which workers close an idle connection."""
        self.reuse_period = max(idle_timeout - IDLE_MARGIN_MS, MIN_REUSE_FRACTION * idle_timeout)

    def add(self, connection: WorkerConnection, now: float) -> bool:
        """Add a connection. Returns False, and does not add it, if reuse is disabled for its worker."""
        if now < self._reuse_disabled_until.get(connection.worker, 0.0):
            return False
        self._idle_since[connection] = now
        return True

    def discard(self, connection: WorkerConnection) -> None:
        """Remove a connection if it is idle."""
        self._idle_since.pop(connection, None)

    def take_reusable(self, worker: int, now: float) -> WorkerConnection | None:
        """Remove and return the longest idle reusable connection to a worker; None if there is none.

        Using the connections in turn keeps all of them open. Each new connection would cost a handshake.
        """
        earliest = now - self.reuse_period
        for connection, idle_since in self._idle_since.items():
            if connection.worker == worker and idle_since > earliest:
                del self._idle_since[connection]
                return connection
        return None

    def longest_idle(self) -> WorkerConnection:
        """Return the connection that has been idle for longest; raises `StopIteration` if there is none."""
        return next(iter(self._idle_since))

    def connections_to(self, worker: int) -> list[WorkerConnection]:
        """Return the idle connections to a worker."""
        return [connection for connection in self._idle_since if connection.worker == worker]

    def disable_reuse(self, worker: int, now: float) -> None:
        """Disable the reuse of connections to a worker for `REUSE_DISABLED_MS`."""
        self._reuse_disabled_until[worker] = now + REUSE_DISABLED_MS

    def is_reuse_disabled(self, worker: int, now: float) -> bool:
        """Return whether the reuse of connections to a worker is disabled."""
        return now < self._reuse_disabled_until.get(worker, 0.0)

    def remove_worker(self, worker: int) -> None:
        """Remove a worker that is no longer in the routing table, which enables reuse for it."""
        self._reuse_disabled_until.pop(worker, None)
