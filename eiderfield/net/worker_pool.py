"""The pool of connections to workers, within a limit on their number.

An attempt or a health check is sent on an idle connection to its worker, or else on a new one. At the limit
the connection that has been idle for longest is closed first; if none is idle, the call ends unsent.

Invariants: no attempt is dialled at an address that the routing table has dropped, and none is written to a
connection that the worker may be closing.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from types import MappingProxyType

from eiderfield.config.address import Address
from eiderfield.exchange.exchange import Exchange
from eiderfield.exchange.request import Attempt
from eiderfield.exchange.timers import Timers
from eiderfield.interface import Outcome
from eiderfield.net.dialing import Dial
from eiderfield.net.worker_calls import CallReporter
from eiderfield.net.worker_connection import ConnectionState, WorkerConnection
from eiderfield.net.worker_idle import IdleWorkerConnections
from eiderfield.net.worker_messages import WorkerCall


class WorkerPool:
    """Connections to all workers. Implements `WorkerSide` and `ConnectionOwner`. Times are in ms."""

    def __init__(
        self,
        exchange: Exchange,
        timers: Timers,
        clock: Callable[[], float],
        dial: Dial,
        dial_timeout: float,
        idle_timeout: float,
        max_connections: int,
    ) -> None:
        """Attach an empty pool to `exchange`; workers close connections that are idle for `idle_timeout`."""
        self.calls = CallReporter(exchange, clock)
        self.timers = timers
        self.clock = clock
        self.read_count = 0  # how often any connection has received bytes
        self._dial = dial
        self._dial_timeout = dial_timeout
        self._configured_limit = max_connections
        self._connection_limit = max_connections
        self._addresses: dict[int, Address] = {}
        self._connections: set[WorkerConnection] = set()
        self._idle = IdleWorkerConnections(idle_timeout)
        exchange.attach_worker_side(self)

    # Limits.

    @property
    def connection_count(self) -> int:
        """The number of connections, including those that are being established."""
        return len(self._connections)

    @property
    def connection_limit(self) -> int:
        """The number of connections allowed now."""
        return self._connection_limit

    @property
    def configured_limit(self) -> int:
        """The number of connections allowed to the dispatcher, which two processes share in a handover."""
        return self._configured_limit

    def set_timeouts(self, dial_timeout: float, idle_timeout: float) -> None:
        """Set the limits for dials and for idle connections that begin from now on."""
        self._dial_timeout = dial_timeout
        self._idle.set_idle_timeout(idle_timeout)

    def share_connections(self, shared: bool) -> None:
        """Halve the connection limit while another process of this dispatcher uses the other half."""
        self._connection_limit = self._configured_limit // 2 if shared else self._configured_limit
        while len(self._connections) > self._connection_limit and self._idle:
            self._idle.longest_idle().close()

    def close(self) -> None:
        """Close every connection."""
        for connection in list(self._connections):
            connection.close()

    # Addresses.

    @property
    def addresses(self) -> Mapping[int, Address]:
        """Where each worker listens, by its number."""
        return MappingProxyType(self._addresses)

    def address(self, worker: int) -> Address | None:
        """Return where a worker listens, None if unknown."""
        return self._addresses.get(worker)

    def set_address(self, worker: int, address: Address | None) -> None:
        """Set where a worker listens, None once it is removed.

        Idle connections and dials to its former address end, since another process may listen there by now.
        """
        if self._addresses.get(worker) == address:
            return
        self.close_idle(worker)
        self._abort_dials(worker)
        if address is None:
            self._addresses.pop(worker, None)
            self._idle.remove_worker(worker)
        else:
            self._addresses[worker] = address

    def retain_workers(self, workers: set[int]) -> None:
        """Remove the addresses of all workers that are not in `workers`."""
        for worker in self._addresses.keys() - workers:
            self.set_address(worker, None)

    def _abort_dials(self, worker: int) -> None:
        dialling = [
            connection
            for connection in self._connections
            if connection.worker == worker and connection.state == ConnectionState.DIALLING
        ]
        for connection in dialling:
            call = connection.call
            connection.close()
            self.calls.report_failure(call, Outcome.NOT_SENT)

    # Calls by the exchange.

    def start(self, attempt: Attempt) -> None:
        """Send an attempt on an idle connection, or on a new one."""
        self._send(attempt.worker, attempt)

    def stop(self, attempt: Attempt) -> None:
        """Give an attempt up by closing its connection."""
        for connection in [connection for connection in self._connections if connection.call is attempt]:
            connection.close()

    def probe(self, worker: int) -> None:
        """Check a worker's health, and request a load report if the settings name its fields."""
        self._send(worker, self.calls.health_check(worker))

    def close_idle(self, worker: int) -> None:
        """Close the idle connections to a worker."""
        for connection in self._idle.connections_to(worker):
            connection.close()

    # Calls by connections.

    def received_from_others(self, worker: int, since: int) -> bool:
        """Return whether another worker's connection received bytes after `read_count` was `since`."""
        others = (connection for connection in self._connections if connection.worker != worker)
        return any(connection.last_read_count > since for connection in others)

    def add_idle(self, connection: WorkerConnection) -> None:
        """Keep a connection that carries nothing for reuse, unless its worker is distrusted."""
        if self._idle.add(connection, self.clock()):
            connection.become_idle(self._idle.reuse_period)
        else:
            connection.close()

    def disable_reuse(self, worker: int) -> None:
        """Close a worker's idle connections after a reused one failed before any response.

        Its other idle connections have probably failed as well, and an attempt lost on each costs far more
        than new connections.
        """
        self._idle.disable_reuse(worker, self.clock())
        self.close_idle(worker)

    def is_reuse_disabled(self, worker: int) -> bool:
        """Return whether the connections to a worker are closed after use."""
        return self._idle.is_reuse_disabled(worker, self.clock())

    def remove(self, connection: WorkerConnection) -> None:
        """Forget a closed connection."""
        self._connections.discard(connection)
        self._idle.discard(connection)

    # Choice of a connection.

    def _send(self, worker: int, call: WorkerCall) -> None:
        address = self._addresses.get(worker)
        if address is None:
            self.calls.report_failure(call, Outcome.NOT_SENT)
            return
        connection = self._idle.take_reusable(worker, self.clock())
        if connection is not None:
            connection.send_call(call)
        elif self._make_room():
            connection = WorkerConnection(self, worker, call)
            self._connections.add(connection)
            connection.start_dial(self._dial, address, self._dial_timeout)
        else:
            self.calls.report_failure(call, Outcome.NOT_SENT)

    def _make_room(self) -> bool:
        """Return whether another connection may be opened, after closing an idle one at the limit."""
        if len(self._connections) >= self._connection_limit and self._idle:
            self._idle.longest_idle().close()
        return len(self._connections) < self._connection_limit
