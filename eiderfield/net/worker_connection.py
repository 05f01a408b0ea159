"""A connection to a worker, and the effect of responses on the call that the connection carries.

A connection carries one call at a time, which is an attempt of a request or a health check.

    DIALLING ──(established, and the call may still be written)──> BUSY
       ├──(established, but the call may not be written any more)──> IDLE
       └──(refused, timed out, or the worker's address has changed)──> CLOSED
    BUSY ──(the outcome of an attempt is known)──> FINISHING ──(the response ends)──> IDLE
       ├──(the response to a health check ends)──> IDLE
       └──(connection lost, or malformed response)──> CLOSED
    IDLE ──(the next call)──> BUSY

Aborting a call closes its connection. Invariants:

- The first byte of an attempt is written only if `WorkerReports.may_write` allows it at that moment.
- The result of a request is only taken from a response that names this request.
- An attempt whose last byte has been sent is reported as not run only if the worker's response says so.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from enum import Enum
from typing import Protocol

from eiderfield.config.address import Address
from eiderfield.exchange.request import Attempt
from eiderfield.exchange.timers import Timer, Timers
from eiderfield.interface import Outcome, ProgressKind
from eiderfield.net.dialing import Dial, PendingDial
from eiderfield.net.faults import Cause, classify_loss
from eiderfield.net.http import End, Head
from eiderfield.net.memory_budget import MemoryBudget, MemoryPart
from eiderfield.net.worker_calls import CallReporter
from eiderfield.net.worker_messages import (
    AttemptStatus,
    Failure,
    Progress,
    Result,
    Started,
    Update,
    WorkerCall,
    attempt_status,
)
from eiderfield.net.worker_response import ResponseEvent, ResponseReader

RESPONSE_END_TIMEOUT_MS = 1000.0  # for the rest of a response whose outcome is known

_READ_BUFFER = memoryview(bytearray(65536))  # shared by all connections: received bytes are processed at once


class ConnectionState(Enum):
    """The state of a connection to a worker."""

    DIALLING = 0
    BUSY = 1
    FINISHING = 2  # the outcome of the attempt is known, but the response has not ended
    IDLE = 3
    CLOSED = 4


_READING = (ConnectionState.BUSY, ConnectionState.FINISHING)


class ConnectionOwner(Protocol):
    """The interface of the pool that opens connections.

    Attributes:
        calls: Encodes the requests of calls and reports their outcomes.
        timers: Schedules the time limits of connections.
        clock: Returns the current time, in ms.
        read_count: How many times any connection has received bytes.
        memory: Counts the bytes that connections hold.
    """

    calls: CallReporter
    timers: Timers
    clock: Callable[[], float]
    read_count: int
    memory: MemoryBudget

    def received_from_others(self, worker: int, since: int) -> bool:
        """Return whether a connection to another worker has received bytes since `read_count` was `since`."""

    def add_idle(self, connection: WorkerConnection) -> None:
        """Accept a connection that carries no call any longer."""

    def disable_reuse(self, worker: int) -> None:
        """Close the idle connections to a worker after a reused one failed before any response."""

    def remove(self, connection: WorkerConnection) -> None:
        """Remove a closed connection from the pool."""


class WorkerConnection(asyncio.BufferedProtocol):
    """A connection to a worker."""

    def __init__(self, owner: ConnectionOwner, worker: int, call: WorkerCall) -> None:
        """Create a connection that writes `call` once it is established."""
        self.worker = worker
        self.state = ConnectionState.DIALLING
        self.call: WorkerCall | None = call
        self.last_read_count = 0  # the owner's `read_count` when this connection last received bytes
        self._owner = owner
        self._calls = owner.calls
        self._worker_reports = owner.calls.exchange.worker_reports
        self._reader = ResponseReader()
        self._memory = owner.memory.open_account(MemoryPart.WORKERS)
        self._transport: asyncio.Transport | None = None
        self._pending_dial: PendingDial | None = None
        self._timer: Timer | None = None
        self._flushed = True  # whether every written byte has left the process
        self._reused = False  # whether the connection has completed an earlier call
        self._delayed_locally = False  # whether a fault of this host delays the dial
        self._read_count_at_dial = owner.read_count

    # Called by asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Write the call, unless the connection was closed during the dial."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if self.state == ConnectionState.CLOSED:
            transport.abort()
            return
        transport.set_write_buffer_limits(0)
        assert self.call is not None
        self.send_call(self.call)

    def get_buffer(self, _sizehint: int) -> memoryview:
        """Return the buffer for the next received bytes."""
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Process received bytes."""
        if self.state == ConnectionState.CLOSED:
            return
        self._owner.read_count += 1
        self.last_read_count = self._owner.read_count
        if self.state == ConnectionState.IDLE:  # unsolicited bytes would be read as the next response
            self.close()
            return
        self._reader.feed(_READ_BUFFER[:nbytes])
        self._process_received_bytes()
        self._update_held_bytes()
        self._wait_for_memory()

    def eof_received(self) -> bool:
        """Close an idle connection that the worker has shut down for sending.

        asyncio calls `connection_lost` only in the next iteration of the loop. An attempt written before that
        would fail and count against a healthy worker.
        """
        if self.state == ConnectionState.IDLE:
            self.close()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle the end of the connection, which may also be the regular end of a response."""
        if self.state == ConnectionState.BUSY:
            with suppress(ValueError, RecursionError):
                for event in self._reader.feed_eof():
                    self._handle(event)
            self._abort(classify_loss(exc))
        self.close()

    def pause_writing(self) -> None:
        """Record that written bytes are still buffered."""
        self._flushed = False

    def resume_writing(self) -> None:
        """Record that every written byte has left the process."""
        self._flushed = True
        self._update_held_bytes()
        if isinstance(self.call, Attempt) and self.state == ConnectionState.BUSY:
            self._worker_reports.request_written(self.call)

    # Called by the owner.

    def start_dial(self, dial: Dial, address: Address, timeout: float) -> None:
        """Start to dial the worker. The dial fails after `timeout` ms."""
        self._start_timer(timeout, self._dial_failed)
        self._pending_dial = dial(self, address, self._dial_failed, self._dial_delayed)

    def send_call(self, call: WorkerCall) -> None:
        """Write the request of `call` to the connection, which is established and carries no other call."""
        transport = self._transport
        assert transport is not None
        self._cancel_timer()
        self.call = call
        if isinstance(call, Attempt) and not self._calls.may_write(call):
            # During the dial the worker may have started to drain, or the request may have ended.
            self.call = None
            self._owner.add_idle(self)
            self._worker_reports.attempt_ended(call, Outcome.NOT_SENT)
            return
        self.state = ConnectionState.BUSY
        self._reader.start(call.pending.request.id if isinstance(call, Attempt) else None)
        self._flushed = True
        if isinstance(call, Attempt):
            self._worker_reports.request_begins(call)
        transport.write(self._calls.request_for(call))
        self._update_held_bytes()
        if transport.is_closing():  # the write failed: not every byte of the request has been sent
            self._flushed = False
        elif self._flushed and isinstance(call, Attempt):
            self._worker_reports.request_written(call)

    def become_idle(self, timeout: float) -> None:
        """Wait for the next call. The connection closes after `timeout` ms without one."""
        self.state = ConnectionState.IDLE
        self._start_timer(timeout, self.close)

    def close(self) -> None:
        """Close the connection. Nothing is reported about its call after that."""
        if self.state == ConnectionState.CLOSED:
            return
        self.state = ConnectionState.CLOSED
        self.call = None
        self._cancel_timer()
        self._owner.remove(self)
        if self._transport is not None:
            self._transport.abort()
        elif self._pending_dial is not None:
            self._pending_dial.cancel()
        self._update_held_bytes()

    def _wait_for_memory(self) -> None:
        """Stop reading a response while more bytes are held than the process may."""
        memory = self._owner.memory
        memory.check()
        if memory.exceeded and self.state in _READING and self._transport is not None:
            self._transport.pause_reading()
            memory.call_when_available(self._resume_reading)

    def _resume_reading(self) -> None:
        if self.state != ConnectionState.CLOSED and self._transport is not None:
            self._transport.resume_reading()

    def _update_held_bytes(self) -> None:
        """Report to the memory budget how many bytes the connection holds now."""
        if self.state == ConnectionState.CLOSED or self._transport is None:
            self._memory.update(0)
        else:
            self._memory.update(self._reader.held_bytes + self._transport.get_write_buffer_size())

    # Time limits.

    def _start_timer(self, delay: float, callback: Callable[[], None]) -> None:
        """Replace the only timer of the connection."""
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._owner.timers.call_at(self._owner.clock() + delay, callback)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    # Dialling.

    def _dial_failed(self) -> None:
        """Report that the dial was refused or timed out.

        A dial that faults of this host delayed until its time-out does not count against the worker.
        """
        if self.state == ConnectionState.DIALLING:
            call = self.call
            self.close()
            outcome = Outcome.NOT_SENT if self._delayed_locally else Outcome.CONNECT_FAILED
            self._calls.report_failure(call, outcome)

    def _dial_delayed(self, cause: Cause) -> None:
        """Record that a fault of this host delays the dial, which is retried until it times out."""
        if self.state != ConnectionState.DIALLING:
            return
        if cause is Cause.ROUTE and self._owner.received_from_others(self.worker, self._read_count_at_dial):
            self._delayed_locally = False  # only this worker's address is affected
            self._dial_failed()
            return
        self._delayed_locally = True
        if isinstance(self.call, Attempt):  # the worker does not count as silent
            self._worker_reports.record_progress(self.call, ProgressKind.UNKNOWN)

    # Responses.

    def _process_received_bytes(self) -> None:
        try:
            for event in self._reader.events():
                self._handle(event)
                if self.state not in _READING:
                    return
        except (ValueError, RecursionError) as error:
            if self.call is not None:
                self._worker_reports.record_malformed_response(self.worker, str(error))
            self._abort()

    def _handle(self, event: ResponseEvent) -> None:
        if isinstance(event, End):
            self._response_ended()
        elif isinstance(self.call, Attempt):
            if isinstance(event, Head):
                self._apply_status(self.call, event)
            else:
                self._apply_update(self.call, event)

    def _apply_status(self, attempt: Attempt, head: Head) -> None:
        status = attempt_status(head)
        if status is AttemptStatus.REJECTED:
            self._await_response_end()
            self._worker_reports.record_rejection(attempt)
        elif status is not AttemptStatus.ACCEPTED:
            outcome = Outcome.FULL if status is AttemptStatus.NOT_RUN else Outcome.ERROR
            self._end_attempt(attempt, outcome)

    def _apply_update(self, attempt: Attempt, update: Update) -> None:
        match update:
            case Started():
                self._worker_reports.record_progress(attempt, ProgressKind.STARTED)
            case Progress(share):
                self._worker_reports.record_progress(attempt, ProgressKind.SHARE_DONE, share)
            case Result(body, report):
                self._await_response_end()
                self._worker_reports.record_result(
                    attempt, body, self._calls.load_report(self._reader.head, report)
                )
            case Failure(outcome, report):
                self._end_attempt(attempt, outcome, report)

    def _end_attempt(self, attempt: Attempt, outcome: Outcome, report: object = None) -> None:
        self._await_response_end()
        load_report = self._calls.load_report(self._reader.head, report)
        self._worker_reports.attempt_ended(attempt, outcome, load_report)

    def _await_response_end(self) -> None:
        """Wait for the end of a response whose outcome is known, so that the connection can be reused."""
        self.call = None
        self.state = ConnectionState.FINISHING
        self._reader.ignore_updates()
        self._start_timer(RESPONSE_END_TIMEOUT_MS, self.close)

    def _response_ended(self) -> None:
        call = self.call
        if isinstance(call, Attempt):
            self._worker_reports.record_malformed_response(self.worker, "it ended before its last line")
            self._abort()
            return
        self.call = None
        self._reused = True
        self._cancel_timer()
        if self._reader.is_connection_reusable:
            self._owner.add_idle(self)
        else:
            self.close()
        head = self._reader.head
        if call is not None and head is not None:
            self._calls.report_health(call, head.status, bytes(self._reader.body))

    def _abort(self, cause: Cause = Cause.CONNECTION) -> None:
        """Close a connection that was lost or whose response is malformed, and report its call as failed.

        The request is known not to have run only if its last byte has not been sent.
        """
        call, flushed = self.call, self._flushed
        if self._reused and self._reader.received_nothing:
            self._owner.disable_reuse(self.worker)
        self.close()
        if call is None:
            return
        if cause is Cause.LOCAL:
            self._calls.report_failure(call, Outcome.CANCELLED if flushed else Outcome.NOT_SENT)
        else:
            self._calls.report_failure(call, Outcome.RESET if flushed else Outcome.CONNECT_FAILED)
