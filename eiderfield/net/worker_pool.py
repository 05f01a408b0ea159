"""The pool of connections to workers, with a limit on their number.

An attempt or a health check is sent on an idle connection to its worker, or on a new one if none is idle. At
the limit, the connection that has been idle for longest is closed to make room. If no connection is idle,
the call ends as not sent.

Invariants: an attempt is not dialled at an address that was removed from the routing table, and it is not
written to a connection that the worker may be closing.
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
from eiderfield.net.memory_budget import MemoryBudget
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
        memory: MemoryBudget | None = None,
    ) -> None:
        """Create an empty pool and attach it to `exchange`.

        Args:
            exchange: Starts and stops attempts, and receives reports of their ends.
            timers: Schedules the time limits of connections.
            clock: Returns the current time, in ms.
            dial: Opens connections.
            dial_timeout: The time limit of a dial, in ms.
            idle_timeout: The time after which workers close an idle connection, in ms.
            max_connections: The limit on the number of connections.
            memory: Counts the bytes that connections hold.
        """
        self.calls = CallReporter(exchange, clock)
        self.timers = timers
        self.clock = clock
        self.memory = memory or MemoryBudget()
        self.read_count = 0  # how many times any connection has received bytes
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
        """The current limit on the number of connections."""
        return self._connection_limit

    @property
    def configured_limit(self) -> int:
        """The limit of the whole dispatcher, which two processes share during a handover."""
        return self._configured_limit

    def set_timeouts(self, dial_timeout: float, idle_timeout: float) -> None:
        """Set the time limits of dials and idle connections. They apply to those that begin from now on."""
        self._dial_timeout = dial_timeout
        self._idle.set_idle_timeout(idle_timeout)

    def share_connections(self, shared: bool) -> None:
        """Halve the connection limit if `shared` with another process of this dispatcher, or restore it."""
        self._connection_limit = self._configured_limit // 2 if shared else self._configured_limit
        self.memory.set_shared(shared)
        while len(self._connections) > self._connection_limit and self._idle:
            self._idle.longest_idle().close()

    def close(self) -> None:
        """Close every connection."""
        for connection in list(self._connections):
            connection.close()

    # Addresses.

    @property
    def addresses(self) -> Mapping[int, Address]:
        """The address at which each worker listens, by the worker's number."""
        return MappingProxyType(self._addresses)

    def address(self, worker: int) -> Address | None:
        """Return the address at which a worker listens, or None if it is unknown."""
        return self._addresses.get(worker)

    def set_address(self, worker: int, address: Address | None) -> None:
        """Set the address at which a worker listens, or None to remove the worker.

        Idle connections and dials to the former address are closed: another process may listen there now.
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
        """Remove all workers that are not in `workers`."""
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

    # Called by the exchange.

    def start(self, attempt: Attempt) -> None:
        """Send an attempt on an idle connection to its worker, or on a new one."""
        self._send(attempt.worker, attempt)

    def stop(self, attempt: Attempt) -> None:
        """Abort an attempt by closing its connection."""
        for connection in [connection for connection in self._connections if connection.call is attempt]:
            connection.close()

    def probe(self, worker: int) -> None:
        """Check a worker's health, and request a load report if the settings name fields of one."""
        self._send(worker, self.calls.health_check(worker))

    def close_idle(self, worker: int) -> None:
        """Close the idle connections to a worker."""
        for connection in self._idle.connections_to(worker):
            connection.close()

    # Called by connections.

    def received_from_others(self, worker: int, since: int) -> bool:
        """Return whether a connection to another worker has received bytes since `read_count` was `since`."""
        others = (connection for connection in self._connections if connection.worker != worker)
        return any(connection.last_read_count > since for connection in others)

    def add_idle(self, connection: WorkerConnection) -> None:
        """Keep a connection that carries no call, or close it if reuse is disabled for its worker."""
        if self._idle.add(connection, self.clock()):
            connection.become_idle(self._idle.reuse_period)
        else:
            connection.close()

    def disable_reuse(self, worker: int) -> None:
        """Close the idle connections to a worker after a reused one failed before any response.

        The other idle connections to it have probably failed too. Losing an attempt on each of them would
        cost far more than opening new connections.
        """
        self._idle.disable_reuse(worker, self.clock())
        self.close_idle(worker)

    def is_reuse_disabled(self, worker: int) -> bool:
        """Return whether connections to a worker are closed after one use."""
        return self._idle.is_reuse_disabled(worker, self.clock())

    def remove(self, connection: WorkerConnection) -> None:
        """Remove a closed connection from the pool."""
        self._connections.discard(connection)
        self._idle.discard(connection)

    # Sending calls.

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
        """Close an idle connection if the limit is reached; return whether another one may be opened."""
        if len(self._connections) >= self._connection_limit and self._idle:
            self._idle.longest_idle().close()
        return len(self._connections) < self._connection_limit
