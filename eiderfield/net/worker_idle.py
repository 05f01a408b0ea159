"""The idle connections to workers, and whether they may be reused.

Workers close a connection that has been idle for some time. A connection is reused only well before that, so
that no request is written to one that the worker is closing.
"""

from __future__ import annotations

from collections import OrderedDict

from eiderfield.net.worker_connection import WorkerConnection

IDLE_MARGIN_MS = 1000.0  # a connection is not reused during this time before the worker closes it
MIN_REUSE_FRACTION = (
    0.5  # of a worker's idle timeout, during which a connection is reused even if that is short
)
REUSE_DISABLED_MS = (
    10_000.0  # after a reused connection failed, in which the worker's connections are used once
)


class IdleWorkerConnections:
    """Idle connections of all workers, the longest idle first. Times are in ms."""

    def __init__(self, idle_timeout: float) -> None:
        """Create an empty set; workers close idle connections after `idle_timeout`."""
        self.set_idle_timeout(idle_timeout)
        self._idle_since: OrderedDict[WorkerConnection, float] = OrderedDict()
        self._reuse_disabled_until: dict[int, float] = {}

    def __len__(self) -> int:
        """Return the number of idle connections."""
        return len(self._idle_since)

    def set_idle_timeout(self, idle_timeout: float) -> None:
        """Set after how long workers close an idle connection."""
        self.reuse_period = max(idle_timeout - IDLE_MARGIN_MS, MIN_REUSE_FRACTION * idle_timeout)

    def add(self, connection: WorkerConnection, now: float) -> bool:
        """Add a connection; return False if its worker is distrusted, so that it is to be closed."""
        if now < self._reuse_disabled_until.get(connection.worker, 0.0):
            return False
        self._idle_since[connection] = now
        return True

    def discard(self, connection: WorkerConnection) -> None:
        """Remove a connection if it is idle."""
        self._idle_since.pop(connection, None)

    def take_reusable(self, worker: int, now: float) -> WorkerConnection | None:
        """Remove and return the worker's longest idle connection that may be reused, None without one.

        Taking turns keeps all of them open: each new connection costs a handshake.
        """
        earliest = now - self.reuse_period
        for connection, idle_since in self._idle_since.items():
            if connection.worker == worker and idle_since > earliest:
                del self._idle_since[connection]
                return connection
        return None

    def longest_idle(self) -> WorkerConnection:
        """Return the connection that has been idle for longest; raises `StopIteration` without one."""
        return next(iter(self._idle_since))

    def connections_to(self, worker: int) -> list[WorkerConnection]:
        """Return the idle connections to a worker."""
        return [connection for connection in self._idle_since if connection.worker == worker]

    def disable_reuse(self, worker: int, now: float) -> None:
        """Accept no connection to the worker for `REUSE_DISABLED_MS`."""
        self._reuse_disabled_until[worker] = now + REUSE_DISABLED_MS

    def is_reuse_disabled(self, worker: int, now: float) -> bool:
        """Return whether connections to the worker are not reused."""
        return now < self._reuse_disabled_until.get(worker, 0.0)

    def remove_worker(self, worker: int) -> None:
        """Forget that a worker's connections are distrusted."""
        self._reuse_disabled_until.pop(worker, None)
