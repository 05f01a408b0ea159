"""The pool of connections to workers, within the descriptors that they may take.

An attempt or a health check goes out on an idle connection to its worker, or on a new one. Where the pool is
full the connection that has been idle for longest gives way; where none is idle, the attempt ends unsent.

What must never happen: an attempt dialled at an address that the list has left, or carried on a connection
that the worker may be closing just then.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

from eiderfield.config import Address
from eiderfield.exchange.exchange import Exchange
from eiderfield.exchange.request import Attempt
from eiderfield.exchange.timers import Timers
from eiderfield.interface import Outcome
from eiderfield.net.dialing import Dial
from eiderfield.net.reports import from_body
from eiderfield.net.worker_connection import HealthCheck, Load, Phase, WorkerConnection
from eiderfield.net.worker_messages import attempt_request, probe_request

IDLE_MARGIN = 1000.0  # ms before workers close an idle connection: none is used nearer to that
IDLE_SHARE = 0.5  # of that time, used at least, where it is short
DISTRUST = 10_000.0  # ms for which a worker's idle connections are not used after one proved dead


class WorkerPool:
    """All connections to workers."""

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
        """`idle_timeout` is after how long workers close an idle connection."""
        self.exchange = exchange
        self._timers = timers
        self._clock = clock
        self._dial = dial
        self.set_timeouts(dial_timeout, idle_timeout)
        self._max_connections = self._configured_connections = max_connections
        self.reads = 0  # how often bytes came on any connection
        self._addresses: dict[int, Address] = {}
        self._distrusted_until: dict[int, float] = {}  # until when a worker's connections are used once
        self._connections: set[WorkerConnection] = set()
        # Those that carry nothing, with when each fell idle, oldest first.
        self._idle: OrderedDict[WorkerConnection, float] = OrderedDict()
        exchange.attach_worker_side(self)

    def set_timeouts(self, dial_timeout: float, idle_timeout: float) -> None:
        """How long a connection may take to come up, and stand idle, in ms; for what is begun from now on."""
        self._dial_timeout = dial_timeout
        self._usable_for = max(idle_timeout - IDLE_MARGIN, IDLE_SHARE * idle_timeout)

    @property
    def connections(self) -> int:
        """How many connections there are."""
        return len(self._connections)

    def address(self, worker: int) -> Address | None:
        """Where a worker listens."""
        return self._addresses.get(worker)

    def set_address(self, worker: int, address: Address | None) -> None:
        """Where a worker listens, None once it is gone. Connections to another place that are idle or coming
        up are closed: whoever listens there by now is somebody else."""
        if self._addresses.get(worker) == address:
            return
        self.close_idle(worker)
        self._give_up_dials(worker)
        if address is None:
            self._addresses.pop(worker, None)
            self._distrusted_until.pop(worker, None)
        else:
            self._addresses[worker] = address

    def _give_up_dials(self, worker: int) -> None:
        to_it = [connection for connection in self._connections if connection.worker == worker]
        for connection in [connection for connection in to_it if connection.phase == Phase.DIALLING]:
            load = connection.load
            connection.close()
            self.report_failure(load, Outcome.MOOT)

    def keep_only(self, workers: set[int]) -> None:
        """A whole list has come: whoever it does not name is gone."""
        for worker in self._addresses.keys() - workers:
            self.set_address(worker, None)

    def share_connections(self, shared: bool) -> None:
        """Lives on half of the connections while another process of this dispatcher has the other half."""
        configured = self._configured_connections
        self._max_connections = configured // 2 if shared else configured
        while len(self._connections) > self._max_connections and self._idle:
            self._close_longest_idle()

    def close(self) -> None:
        """Closes every connection."""
        for connection in list(self._connections):
            connection.close()

    # What the exchange calls.

    def start(self, attempt: Attempt) -> None:
        """Carries an attempt on an idle connection, or on a new one."""
        self._send(attempt.worker, attempt)

    def stop(self, attempt: Attempt) -> None:
        """Gives an attempt up by closing what carries it."""
        for connection in [connection for connection in self._connections if connection.load is attempt]:
            connection.close()

    def probe(self, worker: int) -> None:
        """Checks a worker's health, and asks for its load where the deployment has reports."""
        wants_report = bool(self.exchange.settings.load_report_fields)
        self._send(worker, HealthCheck(worker, self._clock(), wants_report))

    def close_idle(self, worker: int) -> None:
        """Closes the connections to a worker that carry nothing."""
        for connection in [connection for connection in self._idle if connection.worker == worker]:
            connection.close()

    # What connections call.

    def count_read(self) -> int:
        """Bytes have come on a connection; how often that was so far."""
        self.reads += 1
        return self.reads

    def may_write(self, attempt: Attempt) -> bool:
        """Whether an attempt whose connection is up may still begin."""
        return self.exchange.may_write(attempt, self._clock())

    def request_for(self, load: Load) -> bytes:
        """The request of an attempt or a health check."""
        if isinstance(load, HealthCheck):
            return probe_request(load.wants_report)
        return attempt_request(load.pending.request, self._clock())

    def heard_others(self, worker: int, since: int) -> bool:
        """Whether bytes have come from any other worker since the pool's count of reads was `since`."""
        others = (connection for connection in self._connections if connection.worker != worker)
        return any(connection.last_read > since for connection in others)

    def report_failure(self, load: Load | None, outcome: Outcome) -> None:
        """An attempt or a health check ended without an answer."""
        if isinstance(load, Attempt):
            self.exchange.attempt_ended(load, outcome)
        elif load is not None:
            self.exchange.probe_completed(load.worker, outcome, self._clock() - load.sent)

    def report_health(self, check: HealthCheck, status: int) -> None:
        """A health check was answered."""
        report: tuple[float, ...] = ()
        if check.wants_report and status == 200:
            report = from_body(bytes(check.body), self.exchange.settings.load_report_fields)
        outcome = Outcome.OK if status == 200 else Outcome.ERROR
        self.exchange.probe_completed(check.worker, outcome, self._clock() - check.sent, report)

    def put_back(self, connection: WorkerConnection) -> None:
        """A connection carries nothing any more and may be used again."""
        if self._clock() < self._distrusted_until.get(connection.worker, 0.0):
            connection.close()
            return
        connection.phase = Phase.IDLE
        self._idle[connection] = self._clock()
        self.set_timer(connection, self._usable_for, connection.close)

    def distrust_idle(self, worker: int) -> None:
        """A reused connection broke before any answer. Where one is dead the others often are, and an attempt
        on each would be lost, which costs far more than new connections."""
        self._distrusted_until[worker] = self._clock() + DISTRUST
        self.close_idle(worker)

    def set_timer(self, connection: WorkerConnection, wait: float, call: Callable[[], None]) -> None:
        """Sets the one timer of a connection."""
        self.cancel_timer(connection)
        connection.timer = self._timers.at(self._clock() + wait, call)

    def cancel_timer(self, connection: WorkerConnection) -> None:
        """Calls the timer of a connection off."""
        if connection.timer is not None:
            connection.timer.cancel()
            connection.timer = None

    def forget(self, connection: WorkerConnection) -> None:
        """A connection is closed."""
        self._connections.discard(connection)
        self._idle.pop(connection, None)

    # Which connection carries what.

    def _send(self, worker: int, load: Load) -> None:
        address = self._addresses.get(worker)
        if address is None:  # gone from the routing table: nothing was sent
            self.report_failure(load, Outcome.MOOT)
            return
        connection = self._take_idle(worker)
        if connection is not None:
            self.cancel_timer(connection)
            connection.load = load
            connection.send_load()
        elif self._make_room():
            self._open(worker, address, load)
        else:
            self.report_failure(load, Outcome.MOOT)

    def _take_idle(self, worker: int) -> WorkerConnection | None:
        """The connection idle for longest: turns keep all open, and each new one costs a handshake."""
        oldest = self._clock() - self._usable_for
        to_it = ((one, since) for one, since in self._idle.items() if one.worker == worker)
        connection = next((one for one, since in to_it if since > oldest), None)
        if connection is not None:
            del self._idle[connection]
        return connection

    def _make_room(self) -> bool:
        """Whether one more connection may be opened; an idle one gives way if it must."""
        if len(self._connections) >= self._max_connections and self._idle:
            self._close_longest_idle()
        return len(self._connections) < self._max_connections

    def _close_longest_idle(self) -> None:
        next(iter(self._idle)).close()

    def _open(self, worker: int, address: Address, load: Load) -> None:
        connection = WorkerConnection(self, worker, load)
        self._connections.add(connection)
        self.set_timer(connection, self._dial_timeout, connection.on_dial_failed)
        connection.pending_dial = self._dial(
            connection, address, connection.on_dial_failed, connection.on_dial_delayed
        )
