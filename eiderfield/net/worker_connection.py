"""One connection to a worker: its states, the request that it carries and the answer to that.

A connection carries one attempt or health check at a time.

    DIALLING ──(up, and the attempt may still begin)──> BUSY ──(its outcome is known)──> TAIL
       │                                                  └──(it breaks, or cannot be read)──> CLOSED
       └──(refused, too late, or its worker is elsewhere by now)──> CLOSED
    TAIL ──(the answer's end)──> IDLE ──(the next attempt)──> BUSY

The pool moves it to BUSY and CLOSED, the worker's bytes to TAIL and IDLE. Whatever is given up is closed.

What must never happen: a first byte for an attempt that may not begin any more (`Exchange.may_write` is asked
then); an answer that is not about the request served as its own; an attempt reported to have never run of
which the last byte had left.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from eiderfield.exchange.request import Attempt
from eiderfield.exchange.timers import Timer
from eiderfield.interface import AWAY, STARTED, Outcome
from eiderfield.net.dialing import PendingDial
from eiderfield.net.faults import Cause, cause_of_loss
from eiderfield.net.http import Head, MalformedMessageError, Parser
from eiderfield.net.reports import from_object, from_text
from eiderfield.net.worker_messages import (
    MAX_LINE,
    Failure,
    Progress,
    Result,
    Started,
    Update,
    Verdict,
    parse_update,
    verdict_of,
)

if TYPE_CHECKING:
    from eiderfield.net.worker_pool import WorkerPool

PROGRESS = 2  # the kind of note that tells a share of the work done
TAIL_TIMEOUT = 1000.0  # ms that a worker may take to end an answer whose last line has come

_READ_BUFFER = memoryview(bytearray(65536))  # shared: it is read out as soon as it is filled


class Phase(Enum):
    """What a connection to a worker is doing."""

    DIALLING = 0
    BUSY = 1
    TAIL = 2  # the outcome is known, the answer's end has not come yet
    IDLE = 3
    CLOSED = 4


@dataclass(slots=True, eq=False)
class HealthCheck:
    """A health check that is out."""

    worker: int
    sent: float
    wants_report: bool
    body: bytearray = field(default_factory=bytearray)


Load = Attempt | HealthCheck  # what a connection carries


class WorkerConnection(asyncio.BufferedProtocol):
    """A connection to a worker."""

    def __init__(self, pool: WorkerPool, worker: int, load: Load) -> None:
        """It is to carry `load` once it is up."""
        self.pool = pool
        self.worker = worker
        self.phase = Phase.DIALLING
        self.load: Load | None = load
        self.pending_dial: PendingDial | None = None
        self.timer: Timer | None = None
        self.last_read = 0  # the pool's count of reads when bytes came here last
        self._head: Head | None = None
        self._transport: asyncio.Transport | None = None
        self._parser = Parser(answers=True, max_body=0)
        self._line = bytearray()  # of an attempt's answer, as far as it has come
        self._flushed = True  # whether all that was written has left
        self._reused = False  # whether it carried something before
        self._delayed = False  # whether a fault of this host held the connection up
        self._reads_before = pool.reads

    # What asyncio calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """It is up, unless it was given up meanwhile."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if self.phase == Phase.CLOSED:
            transport.abort()
            return
        transport.set_write_buffer_limits(0)
        self.pool.cancel_timer(self)
        self.send_load()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Where the next bytes are read to."""
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Bytes have come."""
        if self.phase == Phase.CLOSED:
            return
        self.last_read = self.pool.count_read()
        if self.phase == Phase.IDLE:  # nothing was asked: what comes now would pass for the next answer
            self.close()
            return
        self._parser.feed(_READ_BUFFER[:nbytes])
        self._read_answer()

    def eof_received(self) -> bool:
        """The worker has ended its sending. The transport is lost only at the loop's next turn: until then no
        attempt must be put on it, for its failed write would count against a healthy worker."""
        if self.phase == Phase.IDLE:
            self.close()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """It has ended, which may be the answer's end as well."""
        if self.phase == Phase.BUSY:
            with suppress(ValueError, RecursionError):
                if self._parser.finish() is not None:
                    self._end_of_answer()
            self._break_off(cause_of_loss(exc))
        self.close()

    def pause_writing(self) -> None:
        """Not all that was written has left."""
        self._flushed = False

    def resume_writing(self) -> None:
        """All that was written has left."""
        self._flushed = True
        if isinstance(self.load, Attempt) and self.phase == Phase.BUSY:
            self.pool.exchange.request_written(self.load)

    # What the pool calls.

    def send_load(self) -> None:
        """Writes the request that it is to carry; it is up."""
        load, transport = self.load, self._transport
        assert load is not None and transport is not None
        if isinstance(load, Attempt) and not self.pool.may_write(load):
            # While the connection came up a drain may have been told, the request ended or its client left.
            self.load = None
            self.pool.put_back(self)
            self.pool.exchange.attempt_ended(load, Outcome.MOOT)
            return
        self.phase = Phase.BUSY
        self._head = None
        self._line.clear()
        self._flushed = True
        transport.write(self.pool.request_for(load))
        if transport.is_closing():  # the write itself failed: nothing has left whole
            self._flushed = False
        elif self._flushed and isinstance(load, Attempt):
            self.pool.exchange.request_written(load)

    def close(self) -> None:
        """Closes the connection; nothing more is reported of what it carried."""
        if self.phase == Phase.CLOSED:
            return
        self.phase = Phase.CLOSED
        self.load = None
        self.pool.cancel_timer(self)
        self.pool.forget(self)
        if self._transport is not None:
            self._transport.abort()
        elif self.pending_dial is not None:
            self.pending_dial.cancel()

    def on_dial_failed(self) -> None:
        """The connection was refused or did not come up in time. A worker that this host kept from having the
        whole time has not failed."""
        if self.phase == Phase.DIALLING:
            load = self.load
            self.close()
            self.pool.report_failure(load, Outcome.MOOT if self._delayed else Outcome.CONNECT_FAILED)

    def on_dial_delayed(self, cause: Cause) -> None:
        """A fault of this host held the connection up; it is tried again until the dial's time is over."""
        if self.phase != Phase.DIALLING:
            return
        if cause is Cause.ROUTE and self.pool.heard_others(self.worker, self._reads_before):
            self._delayed = False  # the same host reaches the others: the fault is this address's
            self.on_dial_failed()
            return
        self._delayed = True
        if isinstance(self.load, Attempt):  # the worker's silence tells nothing meanwhile
            self.pool.exchange.record_progress(self.load, AWAY)

    # Answers.

    def _read_answer(self) -> None:
        try:
            while self.phase in (Phase.BUSY, Phase.TAIL):
                part = self._parser.poll()
                if part is None:
                    return
                self._read_part(part)
        except (ValueError, RecursionError) as error:  # an answer that cannot be read is none
            if self.load is not None:
                self.pool.exchange.record_malformed_response(self.worker, str(error))
            self._break_off()

    def _read_part(self, part: object) -> None:
        if isinstance(part, Head):
            if part.status >= 200:
                self._read_head(part)
        elif isinstance(part, bytes):
            self._read_body(part)
        elif self._head is not None:
            self._end_of_answer()

    def _read_head(self, head: Head) -> None:
        self._head = head
        attempt = self.load
        if not isinstance(attempt, Attempt):
            return
        verdict = verdict_of(head)
        if verdict is Verdict.REJECTED:
            self._await_end()
            self.pool.exchange.record_rejection(attempt)
        elif verdict is not Verdict.ACCEPTED:
            outcome = Outcome.FULL if verdict is Verdict.NOT_RUN else Outcome.ERROR
            self._end_attempt(attempt, outcome, self._load_report(None))

    def _read_body(self, data: bytes) -> None:
        if isinstance(self.load, HealthCheck):
            self.load.body += data
            if len(self.load.body) > MAX_LINE:
                raise MalformedMessageError("a load report is too long")
        elif self.load is not None:  # else the rest of an answer whose outcome is known
            self._read_lines(data)

    def _read_lines(self, data: bytes) -> None:
        self._line += data
        while (end := self._line.find(b"\n")) >= 0:
            line = bytes(self._line[:end])
            del self._line[: end + 1]
            self._read_line(line)
        if len(self._line) > MAX_LINE:
            raise MalformedMessageError("a line is too long")

    def _read_line(self, line: bytes) -> None:
        attempt = self.load
        if not isinstance(attempt, Attempt) or not line.strip():
            return
        update = parse_update(line, attempt.pending.request.id)
        if update is not None:
            self._apply_update(attempt, update)

    def _apply_update(self, attempt: Attempt, update: Update) -> None:
        match update:
            case Started():
                self.pool.exchange.record_progress(attempt, STARTED)
            case Progress(share):
                self.pool.exchange.record_progress(attempt, PROGRESS, share)
            case Result(body, report):
                self._await_end()
                self.pool.exchange.record_result(attempt, body, self._load_report(report))
            case Failure(outcome, report):
                self._end_attempt(attempt, outcome, self._load_report(report))

    def _load_report(self, report: object) -> tuple[float, ...]:
        """The load report in an attempt's last object, or else in its answer's head."""
        fields = self.pool.exchange.settings.load_report_fields
        if not fields or self._head is None:
            return ()
        return from_object(report, fields) or from_text(self._head.get("x-load"), fields)

    def _end_attempt(self, attempt: Attempt, outcome: Outcome, load_report: tuple[float, ...]) -> None:
        self._await_end()
        self.pool.exchange.attempt_ended(attempt, outcome, load_report)

    def _await_end(self) -> None:
        """The outcome is known; the answer's end makes the connection usable again."""
        self.load = None
        self.phase = Phase.TAIL
        self.pool.set_timer(self, TAIL_TIMEOUT, self.close)

    def _end_of_answer(self) -> None:
        if self._line.strip():
            self._read_line(bytes(self._line))  # a last line may lack its line feed
            self._line.clear()
        load = self.load
        if isinstance(load, Attempt):
            self.pool.exchange.record_malformed_response(self.worker, "it ended before its last line")
            self._break_off()
            return
        self.load = None
        self._reused = True
        self.pool.cancel_timer(self)
        if self._reusable:
            self.pool.put_back(self)
        else:
            self.close()
        if load is not None and self._head is not None:
            self.pool.report_health(load, self._head.status)

    @property
    def _reusable(self) -> bool:
        """Whether the worker keeps the connection, and nothing more has come on it."""
        keeps = self._head is not None and self._head.keeps
        return keeps and not self._parser.buffered and self._parser.between

    def _break_off(self, cause: Cause = Cause.CONNECTION) -> None:
        """The answer broke off or cannot be read. Only a request whose last byte never left is sure not to
        have run."""
        load, flushed = self.load, self._flushed
        if self._reused and self._head is None and not self._parser.buffered:
            self.pool.distrust_idle(self.worker)
        self.close()
        if load is None:
            return
        if cause is Cause.LOCAL:
            self.pool.report_failure(load, Outcome.CANCELLED if flushed else Outcome.MOOT)
        else:
            self.pool.report_failure(load, Outcome.RESET if flushed else Outcome.CONNECT_FAILED)
