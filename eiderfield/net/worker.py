"""The worker side: pools of connections to workers, the legs they carry, and probes.

Theory of operation. A connection carries one leg or probe at a time.

    DIALLING ──(up, and the leg may still begin)──> BUSY ──(its outcome is known)──> TAIL
       │                                              └──(it breaks, or cannot be read)──> CLOSED
       └──(refused, too late, or its worker is elsewhere by now)──> CLOSED
    TAIL ──(the answer's end)──> IDLE ──(the next leg)──> BUSY

The side moves it to BUSY and CLOSED, the worker's bytes to TAIL and IDLE. Whatever is given up is closed.

What must never happen: a first byte for a leg that may not begin any more (`Exchange.may_write` is asked
then); an answer that is not about the request served as its own; a leg told to have never run of which the
last byte had left; one dialled at a place that the list has left.
"""

from __future__ import annotations

import asyncio
import json
from collections import OrderedDict
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from enum import Enum
from math import inf
from typing import Protocol

from eiderfield.exchange import Exchange, Leg, Timer, Timers
from eiderfield.interface import AWAY, STARTED, Outcome
from eiderfield.net.faults import Cause, cause_of_loss
from eiderfield.net.http import Head, Malformed, Parser, request_bytes
from eiderfield.net.reports import from_body, from_object, from_text

PROGRESS = 2  # Noted.what: a share of the job is done
MAX_LINE = 4 * 65536  # a result of 64 KiB, with every character escaped
IDLE_MARGIN = 1000.0  # ms before workers close an idle connection: none is used nearer to that
IDLE_SHARE = 0.5  # of that time, used at least, where it is short
STALE = 10_000.0  # ms for which a worker's idle connections are not used after one proved dead under a leg
# What a worker is told is left of the client's time may be 150 ms too much, all of which being held up before
# the write may take. Reading the request took time too, for which sockets are allowed 50 ms (protocol page).
DEADLINE_MARGIN = 50.0  # ms
LEAST_DEADLINE = 1  # ms
TAIL = 1000.0  # ms that a worker may take to end an answer whose last line has come

Address = tuple[str, int]
_SCRATCH = memoryview(bytearray(65536))  # one for all connections: it is read out as soon as it is filled


class Dialling(Protocol):
    """A connection that is coming up and may be called off."""

    def cancel(self) -> object: ...


class Dial(Protocol):
    """Connects a protocol to an address, or calls `failed`; neither within the call itself. Each time that a
    fault of this host holds the connection up, `delayed` is called and the dial goes on."""

    def __call__(
        self,
        protocol: asyncio.BufferedProtocol,
        address: Address,
        failed: Callable[[], None],
        delayed: Callable[[Cause], None] = ...,
    ) -> Dialling: ...


class Phase(Enum):
    """What a connection to a worker is doing."""

    DIALLING = 0
    BUSY = 1
    TAIL = 2  # the outcome is known, the answer's end has not come yet
    IDLE = 3
    CLOSED = 4


@dataclass(slots=True, eq=False)
class Probing:
    """A probe that is out."""

    worker: int
    sent: float
    load: bool
    body: bytearray = field(default_factory=bytearray)
    status: int = 0


class WorkerConnection(asyncio.BufferedProtocol):
    """A connection to a worker. It carries one leg or probe at a time."""

    def __init__(self, side: WorkerSide, worker: int, load: Leg | Probing) -> None:
        self.side = side
        self.worker = worker
        self.phase = Phase.DIALLING
        self.load: Leg | Probing | None = load
        self.dialling: Dialling | None = None
        self.timer: Timer | None = None
        self.head: Head | None = None
        self._transport: asyncio.Transport | None = None
        self._parser = Parser(answers=True, max_body=0)
        self._text = bytearray()
        self._flushed = True  # whether all that was written has left
        self._kept = False  # whether it carried something before
        self._delayed = False  # whether a fault of this host held the connection up
        self._dialled_at = side.now()
        self.heard_at = -inf  # when the worker's bytes came last

    # What asyncio calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if self.phase == Phase.CLOSED:  # given up while it was being dialled
            transport.abort()
            return
        transport.set_write_buffer_limits(0)
        self.side.disarm(self)
        self.carry()

    def get_buffer(self, sizehint: int) -> memoryview:
        return _SCRATCH

    def buffer_updated(self, nbytes: int) -> None:
        if self.phase == Phase.CLOSED:
            return
        self.heard_at = self.side.now()
        if self.phase == Phase.IDLE:  # nothing was asked: what comes now would pass for the next answer
            self.close()
            return
        self._parser.feed(_SCRATCH[:nbytes])
        self._take()

    def eof_received(self) -> bool:
        # The transport is lost only at the loop's next turn: until then a leg must not be put on it, for its
        # failed write would count against a healthy worker.
        if self.phase == Phase.IDLE:
            self.close()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        if self.phase == Phase.BUSY:
            with suppress(ValueError, RecursionError):
                if self._parser.finish() is not None:
                    self._finished()
            self._broke(cause_of_loss(exc))
        self.close()

    def pause_writing(self) -> None:
        self._flushed = False

    def resume_writing(self) -> None:
        self._flushed = True
        if isinstance(self.load, Leg) and self.phase == Phase.BUSY:
            self.side.exchange.wrote(self.load)

    # What the side calls.

    def carry(self) -> None:
        """Writes what it is to carry; it is up."""
        load, transport = self.load, self._transport
        assert load is not None and transport is not None
        if isinstance(load, Leg) and not self.side.may_write(load):
            # A drain may have been told while the connection came up, the job have ended or its client left.
            self.load = None
            self.side.pool(self)
            self.side.exchange.ended(load, Outcome.MOOT)
            return
        self.phase = Phase.BUSY
        self.head = None
        self._text.clear()
        self._flushed = True
        transport.write(self.side.message(load))
        if transport.is_closing():  # the write itself failed: nothing has left whole
            self._flushed = False
        elif self._flushed and isinstance(load, Leg):
            self.side.exchange.wrote(load)

    def close(self) -> None:
        """Closes the connection; whatever it carried is not spoken of any more."""
        if self.phase != Phase.CLOSED:
            self.phase = Phase.CLOSED
            self.load = None
            self.side.disarm(self)
            self.side.forget(self)
            if self._transport is not None:
                self._transport.abort()
            elif self.dialling is not None:
                self.dialling.cancel()

    def never_up(self) -> None:
        """The connection was refused or did not come up in time. A worker that this host kept from having the
        whole time has not failed."""
        if self.phase == Phase.DIALLING:
            load = self.load
            self.close()
            self.side.report(load, Outcome.MOOT if self._delayed else Outcome.CONNECT_FAILED)

    def delayed(self, cause: Cause) -> None:
        """A fault of this host held the connection up; it is tried again until the dial's time is over."""
        if self.phase != Phase.DIALLING:
            return
        if cause is Cause.ROUTE and self.side.heard_others(self.worker, self._dialled_at):
            self._delayed = False  # the others are reached by the same host: the fault is this address's
            self.never_up()
            return
        self._delayed = True
        if isinstance(self.load, Leg):  # the worker's silence tells nothing meanwhile
            self.side.exchange.noted(self.load, AWAY)

    # Answers.

    def _take(self) -> None:
        try:
            while self.phase in (Phase.BUSY, Phase.TAIL):
                got = self._parser.poll()
                if got is None:
                    return
                if isinstance(got, Head):
                    self._start(got)
                elif isinstance(got, bytes):
                    self._body(got)
                elif self.head is not None:
                    self._finished()
        except (ValueError, RecursionError) as error:  # an answer that cannot be read is none
            if self.load is not None:
                self.side.exchange.spoilt(self.worker, str(error))
            self._broke()

    def _broke(self, cause: Cause = Cause.CONNECTION) -> None:
        """The answer broke off or cannot be read."""
        load, flushed = self.load, self._flushed
        if self._kept and self.head is None and not self._parser.buffered:
            self.side.stale(self.worker)
        self.close()
        if load is not None:
            # Only a request whose last byte never left is sure not to have run.
            if cause is Cause.LOCAL:
                self.side.report(load, Outcome.CANCELLED if flushed else Outcome.MOOT)
            else:
                self.side.report(load, Outcome.RESET if flushed else Outcome.CONNECT_FAILED)

    def _start(self, head: Head) -> None:
        if head.status < 200:
            return
        self.head = head
        if isinstance(self.load, Leg) and head.status != 200:
            if 400 <= head.status < 500 and head.status not in _NOT_THE_JOBS:
                leg = self.load
                self._tail()
                self.side.exchange.rejected(leg)
                return
            unstarted = head.status in (503, 504) and head.get("x-not-run") == "1"
            self._end(Outcome.FULL if unstarted else Outcome.ERROR, self._report({}))

    def _body(self, data: bytes) -> None:
        if isinstance(self.load, Probing):
            self.load.body += data
            if len(self.load.body) > MAX_LINE:
                raise Malformed("a load report is too long")
            return
        if self.load is None:
            return  # the rest of an answer whose outcome is known
        self._text += data
        while (end := self._text.find(b"\n")) >= 0:
            line = bytes(self._text[:end])
            del self._text[: end + 1]
            self._line(line)
        if len(self._text) > MAX_LINE:
            raise Malformed("a line is too long")

    def _line(self, line: bytes) -> None:
        leg = self.load
        if not isinstance(leg, Leg) or not line.strip():
            return
        told = json.loads(line)
        # Another request's line must never be served as this one's answer.
        if not isinstance(told, dict) or told.get("id") != leg.job.request.id:
            raise Malformed("a line is not about this request")
        state = told.get("state")
        if state == "started":
            self.side.exchange.noted(leg, STARTED)
        elif state == "running":
            share = told.get("share", 0.0)
            if not isinstance(share, int | float):
                raise Malformed("a share is not a number")
            self.side.exchange.noted(leg, PROGRESS, float(share))
        elif state == "done":
            result = told.get("result")
            if not isinstance(result, str):
                raise Malformed("a result is not a text")
            data = result.encode()
            self._tail()
            self.side.exchange.served(leg, data, self._report(told))
        elif state in _ENDS:
            self._end(_ENDS[state], self._report(told))

    def _report(self, told: dict[str, object]) -> tuple[float, ...]:
        """The load report in an attempt's last object, or else in its answer's head."""
        fields = self.side.exchange.site.report_fields
        if not fields or self.head is None:
            return ()
        return from_object(told.get("load"), fields) or from_text(self.head.get("x-load"), fields)

    def _end(self, outcome: Outcome, load: tuple[float, ...]) -> None:
        leg = self.load
        self._tail()
        if isinstance(leg, Leg):
            self.side.exchange.ended(leg, outcome, load)

    def _tail(self) -> None:
        self.load = None
        self.phase = Phase.TAIL
        self.side.arm(self, TAIL, self.close)

    def _finished(self) -> None:
        """The answer's end."""
        head, load = self.head, self.load
        if self._text.strip():
            self._line(bytes(self._text))  # a last line may lack its line feed
            self._text.clear()
            load = self.load
        if isinstance(load, Leg):  # it ended before the last line
            self.side.exchange.spoilt(self.worker, "it ended before its last line")
            self._broke()
            return
        self.load = None
        self._kept = True
        self.side.disarm(self)
        if head is not None and head.keeps and not self._parser.buffered and self._parser.between:
            self.side.pool(self)
        else:
            self.close()
        if isinstance(load, Probing) and head is not None:
            self.side.probed(load, head.status)


_NOT_THE_JOBS = (408, 425, 429)  # which speak of time and of load
_ENDS = {"failed": Outcome.ERROR, "returned": Outcome.FULL, "lost": Outcome.RESET}


class WorkerSide:
    """All connections to workers, within the descriptors they may take."""

    def __init__(
        self,
        exchange: Exchange,
        timers: Timers,
        clock: Callable[[], float],
        dial: Dial,
        dial_timeout: float,
        conn_idle: float,
        most: int,
    ) -> None:
        self.exchange = exchange
        self._timers = timers
        self._clock = clock
        self._dial = dial
        self.timeouts(dial_timeout, conn_idle)
        self._most = self._whole = most
        self._addresses: dict[int, Address] = {}
        self._stale: dict[int, float] = {}  # until when a worker's connections carry one leg each
        self._connections: set[WorkerConnection] = set()
        # Those that carry nothing, with when each fell idle, oldest first.
        self._idle: OrderedDict[WorkerConnection, float] = OrderedDict()
        exchange.attach(self)

    def timeouts(self, dial_timeout: float, conn_idle: float) -> None:
        """How long a connection may take to come up, and stand idle, in ms; for what is begun from now on."""
        self._dial_timeout = dial_timeout
        self._reuse = max(conn_idle - IDLE_MARGIN, IDLE_SHARE * conn_idle)

    @property
    def connections(self) -> int:
        """How many connections there are."""
        return len(self._connections)

    def now(self) -> float:
        """The time, in ms of the clock that the side was given."""
        return self._clock()

    def heard_others(self, worker: int, since: float) -> bool:
        """Whether bytes have come from any other worker since a moment."""
        return any(one.worker != worker and one.heard_at > since for one in self._connections)

    def address(self, worker: int) -> Address | None:
        """Where a worker listens."""
        return self._addresses.get(worker)

    def readdress(self, worker: int, address: Address | None) -> None:
        """Where a worker listens, None once it is gone. Connections to another place that are idle or coming
        up are closed: whoever listens there by now is somebody else."""
        if self._addresses.get(worker) != address:
            self.close_idle(worker)
            to_it = [one for one in self._connections if one.worker == worker]
            for connection in [one for one in to_it if one.phase == Phase.DIALLING]:
                load = connection.load
                connection.close()
                self.report(load, Outcome.MOOT)
            if address is None:
                self._addresses.pop(worker, None)
                self._stale.pop(worker, None)
            else:
                self._addresses[worker] = address

    def keep_only(self, workers: set[int]) -> None:
        """A whole list has come: whoever it does not name is gone."""
        for worker in self._addresses.keys() - workers:
            self.readdress(worker, None)

    def share(self, shared: bool) -> None:
        """Lives on half of the connections while another process of this dispatcher has the other half."""
        self._most = self._whole // 2 if shared else self._whole
        while len(self._connections) > self._most and self._idle:
            next(iter(self._idle)).close()

    # What the exchange calls.

    def start(self, leg: Leg) -> None:
        """Carries a leg on an idle connection, or on a new one."""
        self._carry(leg.worker, leg)

    def stop(self, leg: Leg) -> None:
        """Gives a leg up by closing what carries it."""
        for connection in [connection for connection in self._connections if connection.load is leg]:
            connection.close()

    def probe(self, worker: int) -> None:
        """Asks for a worker's health, or for its load where the deployment has reports."""
        self._carry(worker, Probing(worker, self._clock(), bool(self.exchange.site.report_fields)))

    def close_idle(self, worker: int) -> None:
        """Closes the connections to a worker that carry nothing."""
        for connection in [connection for connection in self._idle if connection.worker == worker]:
            connection.close()

    def close(self) -> None:
        """Closes every connection."""
        for connection in list(self._connections):
            connection.close()

    # What connections call.

    def may_write(self, leg: Leg) -> bool:
        """Whether a leg whose connection is up may still begin."""
        return self.exchange.may_write(leg, self._clock())

    def message(self, load: Leg | Probing) -> bytes:
        """The request that a leg or a probe is."""
        if isinstance(load, Probing):
            return request_bytes("GET", "/status/load" if load.load else "/health", "backend.local")
        a = load.job.request
        left = int(a.due - self._clock() - DEADLINE_MARGIN)
        headers = {"X-Request-Id": a.id, "X-Deadline-Ms": str(max(LEAST_DEADLINE, left))}
        if a.idempotency_key:
            headers["Idempotency-Key"] = a.idempotency_key
        return request_bytes("POST", a.target, a.host, a.body, **headers)

    def report(self, load: Leg | Probing | None, outcome: Outcome) -> None:
        """A leg or a probe ended without a result."""
        if isinstance(load, Leg):
            self.exchange.ended(load, outcome)
        elif load is not None:
            self.exchange.probed(load.worker, outcome, self._clock() - load.sent)

    def probed(self, probing: Probing, status: int) -> None:
        """A probe was answered."""
        load: tuple[float, ...] = ()
        if probing.load and status == 200:
            load = from_body(bytes(probing.body), self.exchange.site.report_fields)
        outcome = Outcome.OK if status == 200 else Outcome.ERROR
        self.exchange.probed(probing.worker, outcome, self._clock() - probing.sent, load)

    def pool(self, connection: WorkerConnection) -> None:
        """A connection carries nothing any more and may be used again."""
        if self._clock() < self._stale.get(connection.worker, 0.0):
            connection.close()
            return
        connection.phase = Phase.IDLE
        self._idle[connection] = self._clock()
        self.arm(connection, self._reuse, connection.close)

    def stale(self, worker: int) -> None:
        """A kept connection broke before any answer. Where one is dead the others often are, and a leg on
        each would be lost, which costs far more than new connections."""
        self._stale[worker] = self._clock() + STALE
        self.close_idle(worker)

    def arm(self, connection: WorkerConnection, wait: float, call: Callable[[], None]) -> None:
        """Sets the one timer of a connection."""
        self.disarm(connection)
        connection.timer = self._timers.at(self._clock() + wait, call)

    def disarm(self, connection: WorkerConnection) -> None:
        """Calls the timer of a connection off."""
        if connection.timer is not None:
            connection.timer.cancel()
            connection.timer = None

    def forget(self, connection: WorkerConnection) -> None:
        """A connection is closed."""
        self._connections.discard(connection)
        self._idle.pop(connection, None)

    def _carry(self, worker: int, load: Leg | Probing) -> None:
        address = self._addresses.get(worker)
        if address is None:  # gone from the routing table: nothing was sent
            self.report(load, Outcome.MOOT)
            return
        connection = self._idle_connection(worker)
        if connection is not None:
            self.disarm(connection)
            connection.load = load
            connection.carry()
            return
        if len(self._connections) >= self._most and self._idle:
            next(iter(self._idle)).close()
        if len(self._connections) >= self._most:
            self.report(load, Outcome.MOOT)
            return
        connection = WorkerConnection(self, worker, load)
        self._connections.add(connection)
        self.arm(connection, self._dial_timeout, connection.never_up)
        connection.dialling = self._dial(connection, address, connection.never_up, connection.delayed)

    def _idle_connection(self, worker: int) -> WorkerConnection | None:
        """The connection idle for longest: turns keep all open, and each new one costs a handshake."""
        oldest = self._clock() - self._reuse
        to_it = ((one, since) for one, since in self._idle.items() if one.worker == worker)
        connection = next((one for one, since in to_it if since > oldest), None)
        if connection is not None:
            del self._idle[connection]
        return connection
