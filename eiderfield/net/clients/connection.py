"""A client's connection: takes one message at a time from it, passes it to a front, and writes the response.

    READING ──(a whole message)──> WAITING ──(its response, kept open)──> READING
       │                              ├──(the last response, or an error)──> LINGERING
       │                              └──(the client disconnects: its request is cancelled)──> CLOSED
       ├──(closed, after any response)──> LINGERING ──(1 s, or the client closes)──> CLOSED
       └──(closed, before the first response)──> CLOSED

A complete message ends READING, the front's response ends WAITING, and the client's disconnection ends any
state. A LINGERING connection has shut down its sending side and discards a bounded amount of input. `close`
passes through LINGERING if any response was written; `abort` closes at once.

Invariants: a message has one response, and no response goes to another message; no message that is read after
the sending side is shut down is passed to the front; a connection with an open request is read, or watched
for its client's disconnection (`flow_control`); no socket with unread bytes is closed while a response is in
transit, since the reset would discard it.
"""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress
from enum import Enum
from functools import partial

from eiderfield.connections.admission import Reason, Rejection
from eiderfield.connections.idle_connections import unread_bytes, unsent_bytes
from eiderfield.net.clients.connection_admission import ConnectionAdmission
from eiderfield.net.clients.connection_memory import ConnectionMemory
from eiderfield.net.clients.connection_owner import ConnectionOwner
from eiderfield.net.clients.connection_timer import ConnectionTimer
from eiderfield.net.clients.detached import ConnectionHandover, DetachedConnection
from eiderfield.net.clients.flow_control import FlowControl
from eiderfield.net.clients.front import ClientDisconnectCallback
from eiderfield.net.clients.message_reader import MessageReader
from eiderfield.net.departures import has_peer_closed
from eiderfield.net.http import Head, MalformedMessageError, response_bytes

LINGER_TIME_MS = 1000.0  # time for which input is discarded, so that the last response arrives
MAX_DISCARDED_BYTES = 262_144  # meanwhile; more input stays unread, since 60 MB of it used a CPU core
MAX_PIPELINED_BYTES = 16384  # unparsed bytes while a response is due, above which reading pauses
ELEMENTS_PER_TURN = 64  # chunks and lines of one connection parsed in a turn of the loop
MESSAGES_PER_TURN = 16  # messages of one connection handled in a turn of the loop
MEMORY_RETRY_AFTER_MS = 1000.0  # advised to a client that is refused for lack of memory
STALLED_RESPONSE_MS = 500.0  # after which a response that the client does not read may be given up
EVICTION_GRACE_MS = 500.0  # an incomplete message or an undelivered response prevents eviction so long

REQUEST_TIMEOUT = 408
INTERNAL_SERVER_ERROR = 500
SERVICE_UNAVAILABLE = 503

_READ_BUFFER = memoryview(bytearray(65536))  # shared by all connections: copied as soon as it is filled


class Phase(Enum):
    """The state of a client's connection."""

    READING = 0
    WAITING = 1  # a message was passed to the front, and its response is due
    LINGERING = 2  # the last response is written; input is discarded
    CLOSED = 3


class ClientConnection(asyncio.BufferedProtocol):
    """A client's connection. It takes one message at a time."""

    def __init__(
        self,
        listener: ConnectionOwner[ClientConnection],
        sock: socket.socket | None = None,
        handover: ConnectionHandover | None = None,
        ticket: int | None = None,
        rejection: Rejection | None = None,
    ) -> None:
        """Create a connection that is not attached to a transport yet.

        Args:
            listener: owns the connection.
            sock: the socket that the transport will use; None for a transport in memory.
            handover: its state if it was parked, or handed over by another process.
            ticket: its ticket of admission control.
            rejection: why it is not admitted, None if it is. A rejected connection receives a 503 response
                and is closed.
        """
        now = listener.clock()
        self.listener = listener
        self.rejection = rejection
        self.phase = Phase.READING
        self.proven = handover is not None and handover.proven  # whether the client has sent a request
        # When the client connected or the last response was written.
        self._idle_since = now if handover is None else min(handover.since, now)
        self.admission = ConnectionAdmission(listener.admission, ticket)
        self._sock = sock
        self._transport: asyncio.Transport | None = None
        buffered = None if handover is None else handover.buffered
        self._reader = MessageReader(listener.clock, self._idle_since, buffered)
        self._timer = ConnectionTimer(listener, self._reader, self.time_limit_reached, self._idle_since)
        self._flow = FlowControl(sock, listener.departures, self._handle_disconnect)
        self._on_disconnect: ClientDisconnectCallback | None = None
        self._keep_alive = False  # whether the client wants the connection kept open after the response
        self._reading_messages = False
        self._throttled = False  # whether no messages are handled for now
        self._discarded_bytes = 0
        self._response_written_at = now
        self._memory = ConnectionMemory(listener.memory, self._reader)
        # Whether any response was written; after a handover one may have been written before.
        self._response_written = handover is not None
        self._timer.restart(self.proven, self._idle_since, self._idle_since)

    # Called by asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start reading, or respond to a connection that is not admitted."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._flow.open(transport)
        self._memory.open(transport)
        if self.phase == Phase.CLOSED:  # evicted before it had a transport; its descriptor must not leak
            transport.abort()
        elif self.rejection is not None:
            self._reject_overload("come again later", self.rejection)
        elif self._reader.buffered:  # bytes that another process has read
            self._read_messages()

    def get_buffer(self, _sizehint: int) -> memoryview:
        """Return a part of the buffer that all connections share.

        It has room for the rest of the current body, and for a bounded number of bytes of later messages.
        """
        return _READ_BUFFER[: self._reader.expected_body_bytes + MAX_PIPELINED_BYTES]

    def buffer_updated(self, nbytes: int) -> None:
        """Take bytes that have arrived."""
        if self.phase == Phase.LINGERING:
            self._discard_input(nbytes)
            return
        if self.phase == Phase.CLOSED:
            return
        self._reader.feed(_READ_BUFFER[:nbytes], self.listener.clock())
        if self.phase == Phase.READING:
            self.listener.open_connections.mark_active(self)
            self._read_messages()
        elif self._reader.buffered > MAX_PIPELINED_BYTES:
            self._flow.pause()
        self.update_held_bytes()
        self.listener.memory.check()

    def eof_received(self) -> bool:
        """Treat a half-close by the client as a disconnection."""
        self._handle_disconnect()
        return False

    def connection_lost(self, _error: Exception | None) -> None:
        """Cancel the open request of this connection."""
        if self.phase == Phase.CLOSED:
            self._transport = None
            return
        self._release()
        on_disconnect, self._on_disconnect = self._on_disconnect, None
        if on_disconnect is not None:
            self.listener.count_disconnect()
            on_disconnect()

    def pause_writing(self) -> None:
        """Handle no more messages: the client does not read its responses."""
        self._set_throttled(True)

    def resume_writing(self) -> None:
        """Handle messages again: the client has read its responses."""
        self._set_throttled(False)

    # Responses.

    def answer(self, status: int, body: bytes = b"", **headers: str) -> None:
        """Write the response and keep the connection open if the client asks for that."""
        self._write_response(status, body, True, headers)

    def reject(self, status: int, text: str, **headers: str) -> None:
        """Write an error response in plain text and close: errors must not keep a descriptor in use."""
        self.finish(status, f"{text}\n".encode(), Content_Type="text/plain", **headers)

    def finish(self, status: int, body: bytes, **headers: str) -> None:
        """Write the response and close the connection."""
        self._write_response(status, body, False, headers)

    def _write_response(self, status: int, body: bytes, keep_alive: bool, headers: dict[str, str]) -> None:
        if self.phase != Phase.WAITING or self._transport is None:
            return
        self._on_disconnect = None
        # During a shutdown a response closes the connection, unless another message has begun to arrive.
        keep_alive = (
            keep_alive
            and self._keep_alive
            and (not self.listener.keep_alive_disabled or self._reader.buffered > 0)
        )
        self._transport.write(response_bytes(status, body, keep_alive, **headers))
        self._response_written = True
        self._response_written_at = self.listener.clock()
        self._memory.end_request()
        if not keep_alive:
            self._start_lingering()
            return
        self.phase = Phase.READING
        self._idle_since = self.listener.clock()
        self.listener.open_connections.mark_idle(self, self.proven)
        if self._flow.paused and not self._throttled:
            self._resume_reading()
        self._timer.restart(self.proven, self._idle_since, self._reader.first_byte_at())
        if self.listener.successor is not None:  # the next process takes the connection after this call
            self.listener.timers.call_at(self._idle_since, partial(self.listener.hand_over, self))
        if not self._reading_messages:  # else the caller's loop continues: no recursion by pipelining
            self._read_messages()

    def _reject_message(self, error: MalformedMessageError, **headers: str) -> None:
        """Respond to a message that is not passed to the front."""
        self.phase = Phase.WAITING
        self.reject(error.status, str(error), **headers)

    def _reject_overload(self, text: str, rejection: Rejection) -> None:
        headers = {}
        if rejection.retry_after > 0.0:
            headers["Retry_After"] = f"{rejection.retry_after / 1000.0:.3f}"
        self._reject_message(MalformedMessageError(text, SERVICE_UNAVAILABLE), **headers)

    # Memory is scarce.

    @property
    def message_weight(self) -> float:
        """How much an incomplete message burdens the process: its bytes times the ms since the last one.

        It is 0 if there is none, or if the connection has messages that may be complete.
        """
        if self.phase != Phase.READING or self._transport is None:
            return 0.0
        if self._throttled and self._reader.head is None:
            return 0.0
        if not self._reader.in_message:
            return 0.0
        return self.held_bytes * (1.0 + self.silent_ms)

    @property
    def stalls_response(self) -> bool:
        """Whether the client has not read its last response for some time."""
        if not self._memory.unsent_bytes:
            return False
        return self.listener.clock() >= self._response_written_at + STALLED_RESPONSE_MS

    @property
    def pipelined_bytes(self) -> int:
        """Bytes of later messages that have arrived while a response is due."""
        return self._reader.buffered if self.phase == Phase.WAITING else 0

    def end_message(self) -> None:
        """Refuse a message that is incomplete."""
        self._refuse_for_memory(Reason.MEMORY_MESSAGE)

    def give_up_response(self) -> None:
        """Close the connection without waiting until the client reads its response."""
        self.listener.report_cut_off(self, Reason.MEMORY_RESPONSE)
        self.abort()

    def drop_pipelined(self) -> None:
        """Drop the bytes of later messages, and close the connection after the response that is due."""
        self._keep_alive = False
        self._reader.clear()
        self._flow.pause()
        self.update_held_bytes()

    def _refuse_for_memory(self, reason: Reason) -> None:
        self.listener.report_cut_off(self, reason)
        self._reject_overload("too little memory", Rejection(reason, True, MEMORY_RETRY_AFTER_MS))

    # State that the listener and fronts read.

    @property
    def client_connected(self) -> bool:
        """Whether the client is connected. Its socket is polled, to detect a disconnection not read yet."""
        if self.phase == Phase.CLOSED:
            return False
        return self._sock is None or not has_peer_closed(self._sock.fileno())

    @property
    def is_idle(self) -> bool:
        """Whether no response is due and no part of a message has arrived, read or unread."""
        return self.phase == Phase.READING and not self._reader.in_message and not self._has_unread_bytes

    @property
    def evictable(self) -> bool:
        """Whether this connection may be closed for another."""
        if self.phase == Phase.LINGERING or self.is_idle:
            return self._last_response_arrived()
        # A part of a message was read. If the rest is unread in the socket, the request must be answered.
        slow = not self.proven and self.listener.clock() >= self._reader.last_byte_at + EVICTION_GRACE_MS
        return slow and not self._has_unread_bytes

    @property
    def is_new(self) -> bool:
        """Whether the client has just connected: its first request may be on its way."""
        return not self._response_written and self.listener.clock() < self._idle_since + EVICTION_GRACE_MS

    @property
    def held_bytes(self) -> int:
        """About how many bytes of memory the connection holds: received, requested, not yet sent."""
        return self._memory.held_bytes

    @property
    def silent_ms(self) -> float:
        """Time since the last byte arrived, in ms."""
        return self.listener.clock() - self._reader.last_byte_at

    @property
    def client_address(self) -> str:
        """The client's address, empty if it is not known any more."""
        if self._sock is None:
            return ""
        with suppress(OSError):
            return str(self._sock.getpeername()[0])
        return ""

    def update_held_bytes(self) -> None:
        """Report to the memory budget how many bytes the connection holds now."""
        self._memory.update()

    @property
    def _has_unread_bytes(self) -> bool:
        return self._sock is not None and unread_bytes(self._sock.fileno()) > 0

    def _last_response_arrived(self) -> bool:
        """Return whether the last response is delivered, or overdue: a reset before would discard it."""
        overdue = self.listener.clock() >= self._timer.started_at + EVICTION_GRACE_MS
        return (
            overdue
            or not self._response_written
            or self._sock is None
            or not unsent_bytes(self._sock.fileno())
        )

    # Ends of the connection in this process.

    def detach(self) -> DetachedConnection | None:
        """Detach the connection between two requests; return None if that is not possible now.

        The descriptor stays open, and unread bytes stay in the socket. The returned state includes the part
        of the next message that is already read.
        """
        if self.phase != Phase.READING or self._reading_messages or self._throttled:
            return None
        buffered = self._reader.partial_head
        if buffered is None or self._sock is None or self._transport is None:
            return None
        if self._transport.is_closing() or self._transport.get_write_buffer_size():
            return None
        since = self._timer.started_at if buffered else self._idle_since
        state = ConnectionHandover(self.proven, since, buffered)
        self.abort()  # the loop stops polling the descriptor; its next turn would close it
        return DetachedConnection(self._sock.detach(), state)

    def close(self) -> None:
        """Close a connection on which no response is due.

        A request may arrive immediately before the close. Closing a socket with unread bytes sends a reset,
        which discards responses that the client has not read. The connection therefore lingers if any
        response was written.
        """
        if self.phase in (Phase.CLOSED, Phase.LINGERING):
            return
        if self._response_written or (
            self._transport is not None and self._transport.get_write_buffer_size()
        ):
            self._start_lingering()
        else:
            self.abort()

    def abort(self) -> None:
        """Close the connection at once."""
        if self.phase == Phase.CLOSED:
            return
        self._release()
        if self._transport is not None:
            self._transport.abort()

    def _handle_disconnect(self) -> None:
        """Close the connection: the client has closed or half-closed it, and expects no response."""
        self.connection_lost(None)
        if self._transport is not None:
            self._transport.abort()

    def _release(self) -> None:
        self.phase = Phase.CLOSED
        self._timer.close()
        self.admission.end_message()
        self._flow.close()
        self._reader.clear()
        self._memory.close()
        self.listener.remove(self)

    def _start_lingering(self) -> None:
        """Shut down sending and discard input: closing with unread input would discard the response."""
        self.phase = Phase.LINGERING
        now = self.listener.clock()
        self._timer.started_at = now
        self.admission.end_message()
        self._reader.clear()
        self.update_held_bytes()
        self.listener.open_connections.mark_idle(self, proven=False)
        if self._transport is not None and not self._transport.is_closing():
            with suppress(OSError):
                self._transport.write_eof()
            if not self._throttled:
                self._resume_reading()
        self._timer.call_at(now + LINGER_TIME_MS, self.abort)

    def _discard_input(self, count: int) -> None:
        if not self._discarded_bytes:
            self.listener.count_discarded_input()
        self._discarded_bytes += count
        if self._discarded_bytes > MAX_DISCARDED_BYTES and self._transport is not None:
            self._transport.pause_reading()

    # Time limits.

    def apply_limits(self) -> None:
        """Apply changed limits to the current message or idle time."""
        if self.phase == Phase.READING and not self._reading_messages and not self._throttled:
            self._timer.restart(self.proven, self._idle_since, self._timer.started_at)

    def time_limit_reached(self) -> None:
        """End a slow message or the idle time; called by the timer."""
        if self.phase == Phase.READING and self._timer.limits_message:
            self._end_slow_message()
        elif self.is_idle:
            self._end_idle_time()
        elif self.phase == Phase.READING:  # bytes have arrived that are not parsed yet
            self._timer.restart(self.proven, self._idle_since)

    def _end_slow_message(self) -> None:
        limit = self._timer.message_limit()
        if limit.at > self.listener.clock():  # the limit has moved, since the body arrives fast enough
            self._timer.call_at(limit.at, self.time_limit_reached)
            return
        if limit.reason is not None:
            self.listener.report_cut_off(self, limit.reason)
        self._reject_message(MalformedMessageError("the message took too long", REQUEST_TIMEOUT))

    def _end_idle_time(self) -> None:
        if (
            not self.proven
            or self.listener.clock() >= self._idle_since + self.listener.idle_settings.idle_timeout
        ):
            self.close()
        elif not self.listener.park(self):
            self._timer.restart(self.proven, self._idle_since)

    # Reading.

    def _read_messages(self) -> None:
        """Handle the messages that have arrived, a bounded number at a time."""
        if self._reading_messages or self.phase != Phase.READING or self._throttled:
            return
        self._reading_messages = True
        handled, began_at, elements_before = 0, self.listener.clock(), self._reader.elements
        try:
            handled = self._handle_messages()
        except MalformedMessageError as error:
            self._reject_message(error)
            return
        finally:
            self._reading_messages = False
            elements = self._reader.elements - elements_before
            self.listener.turns.record(handled, elements, self.listener.clock() - began_at)
        if self.phase != Phase.READING:
            return
        if handled == MESSAGES_PER_TURN:  # the other connections are handled first
            self._set_throttled(True)
            self._timer.call_at(self.listener.clock(), self._read_more_messages)
            return
        if not self._timer.limits_message and self._reader.in_message:
            self._begin_message()
        if self._reader.interrupted and self.phase == Phase.READING:
            self._set_throttled(True)
            self.listener.deferred_reads.add(self._continue_message)

    def _handle_messages(self) -> int:
        """Pass the complete messages to the front; return their number."""
        handled = 0
        while self.phase == Phase.READING and not self._throttled and handled < MESSAGES_PER_TURN:
            head = self._reader.next_message(ELEMENTS_PER_TURN)
            if head is not None:
                handled += 1
                self._pass_to_front(head)
            elif self._reader.expects_continue:
                self._write_continue()
            else:
                break
        return handled

    def _write_continue(self) -> None:
        self._reader.expects_continue = False
        if self._transport is not None:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _pass_to_front(self, head: Head) -> None:
        self._timer.cancel()
        self.admission.end_message()
        self.phase = Phase.WAITING
        self._keep_alive = head.keep_alive
        body = self._reader.take_body()
        if not self._memory.has_room_for_request(len(body) + len(head.target)):
            self._refuse_for_memory(Reason.MEMORY_REQUEST)
            return
        try:
            on_disconnect = self.listener.front.handle_message(self.listener, self, head, body)
        except MalformedMessageError:
            raise
        except Exception as error:  # raised to asyncio, it would close the connection without a response
            self.listener.report_fault(error)
            self.finish(INTERNAL_SERVER_ERROR, b"failed\n", Content_Type="text/plain")
            return
        if self.phase == Phase.WAITING:  # else the response is written
            self._on_disconnect = on_disconnect
            self.listener.open_connections.mark_busy(self)

    def _begin_message(self) -> None:
        """Start the time limit of an incomplete message, and count it in admission control."""
        if self.proven:  # else the limit runs since the connection was accepted, however slowly bytes arrive
            self._timer.restart(self.proven, self._idle_since, self._reader.first_byte_at())
        self._timer.limits_message = True
        if (rejection := self.admission.begin_message()) is not None:
            self._reject_overload("too many half-sent messages", rejection)

    def _read_more_messages(self) -> None:
        """Handle the messages deferred to a later turn of the loop, once all responses are sent."""
        if self._transport is not None and self._transport.get_write_buffer_size():
            self._timer.call_at(self.listener.clock(), self._read_more_messages)
            return
        self._timer.restart(self.proven, self._idle_since)
        self._set_throttled(False)

    def _continue_message(self) -> int:
        """Parse more of a message that takes many turns; return the number of parsed elements."""
        elements = self._reader.elements
        if self._transport is not None and self._transport.get_write_buffer_size():
            self.listener.deferred_reads.add(self._continue_message)
        elif self.phase != Phase.CLOSED:
            self._set_throttled(False)
        return max(0, self._reader.elements - elements)

    def _set_throttled(self, throttled: bool) -> None:
        """Stop or resume handling this client's messages."""
        self._throttled = throttled
        if self._transport is None:
            return
        if throttled:
            self._flow.pause()
        elif self.phase in (Phase.READING, Phase.LINGERING):
            self._resume_reading()
            self._read_messages()

    def _resume_reading(self) -> None:
        if self._flow.resume():
            self._reader.restart_arrivals()
