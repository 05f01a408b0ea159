"""A client's connection: from the bytes of its messages to the front, and answers back.

A connection takes one message at a time.

    READING ──(a whole message)──> WAITING ──(its answer, kept open)──> READING
       │                              ├──(the last answer, or an error)──> LINGERING
       │                              └──(the client leaves: its request is withdrawn)──> CLOSED
       ├──(it has to end, and was answered before)──> LINGERING ──(1 s, or the client closes)──> CLOSED
       └──(it has to end, and never was)──> CLOSED

Messages move it from READING, fronts from WAITING, the client's departure from anywhere. LINGERING has ended
its sending and discards what it reads, within bounds. There is one way to close a connection that was ever
answered (`close`, by LINGERING), one at once (`abort`).

What must never happen: an answer twice or to another message; a message that is read after the end of sending
passed on; a connection that is not read while something is owed on it and whose client's departure would go
unnoticed (`net/departures.py`); a close over unread bytes behind an answer that is still on its way.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress
from enum import Enum
from functools import partial
from typing import Protocol

from eiderfield.connections.admission import AdmissionControl, Limit, Rejection
from eiderfield.connections.idle_connections import unread_bytes, unsent_bytes
from eiderfield.connections.settings import IdleSettings
from eiderfield.exchange.timers import Timer
from eiderfield.net.clients.arrivals import Arrivals
from eiderfield.net.clients.detached import ConnectionHandover, Detach, DetachedConnection
from eiderfield.net.clients.front import ClientDeparted, Front, ListenerStatus
from eiderfield.net.departures import DepartureWatch, has_left
from eiderfield.net.http import Head, MalformedMessageError, Parser, answer_bytes

LINGER_TIME = 1000.0  # ms for which input is discarded after a last answer, so that it gets through
LINGER_BYTES = 262_144  # input discarded meanwhile; more stays unread, for 60 MB of it cost a core
PIPELINED_BYTES = 16384  # bytes that may come in while an answer is awaited
MESSAGES_PER_TURN = 16  # messages of one connection taken in a turn of the loop
EVICTION_GRACE = 500.0  # ms without a byte for which a half-sent message, or a last answer, evicts nobody

_SCRATCH = memoryview(bytearray(65536))


class Phase(Enum):
    """What a client's connection is doing."""

    READING = 0
    WAITING = 1  # a message has been taken and its answer is owed
    LINGERING = 2  # the last answer is out; input is discarded
    CLOSED = 3


class ConnectionOwner(ListenerStatus, Protocol):
    """The listener of a connection: its settings, and what the connection reports to it."""

    @property
    def front(self) -> Front:
        """Handles the messages."""

    @property
    def idling(self) -> IdleSettings:
        """How long a connection may idle between requests."""

    @property
    def message_timeout(self) -> float:
        """Ms for a message from its first byte, where there is no admission control."""

    @property
    def admission(self) -> AdmissionControl | None:
        """Limits messages that have begun, None if nothing does."""

    @property
    def departures(self) -> DepartureWatch | None:
        """Watches connections that are not read; None before the listener is open."""

    @property
    def keep_alive_disabled(self) -> bool:
        """Whether each response closes its connection."""

    @property
    def successor(self) -> Callable[[Detach], bool] | None:
        """Takes connections over between requests while the process hands over, else None."""

    def mark_active(self, connection: ClientConnection) -> None:
        """Record that more of a message has come."""

    def mark_busy(self, connection: ClientConnection) -> None:
        """Record that a message waits for its response."""

    def mark_idle(self, connection: ClientConnection) -> None:
        """Record that a response was written."""

    def remove(self, connection: ClientConnection) -> None:
        """Release what a closed connection holds."""

    def park(self, connection: ClientConnection) -> bool:
        """Park an idle connection; return whether it was possible."""

    def hand_over(self, connection: ClientConnection) -> bool:
        """Pass a connection to the next process; return whether it was possible."""

    def count_departure(self) -> None:
        """Count a client that disconnected before its response."""

    def count_discarded_input(self) -> None:
        """Count a connection of whose input some was discarded after its last response."""

    def report_fault(self, error: Exception) -> None:
        """Log an error that a front raised."""


class ClientConnection(asyncio.BufferedProtocol):
    """A client's connection. It takes one message at a time."""

    def __init__(
        self,
        listener: ConnectionOwner,
        sock: socket.socket | None = None,
        handover: ConnectionHandover | None = None,
        ticket: int | None = None,
        rejection: Rejection | None = None,
    ) -> None:
        """`handover` is its state where it was parked or at another process, `ticket` that of admission
        control, and `rejection` why it is not admitted."""
        self.listener = listener
        self.ticket = ticket
        self.rejection = rejection
        self.phase = Phase.READING
        self.proven = handover is not None and handover.proven  # whether it has brought a request
        # When it connected, or when its last message was answered.
        self.since = listener.clock() if handover is None else min(handover.since, listener.clock())
        self._last_byte_at = self.since
        self._limited_since = self.since  # when what the timer limits now began
        self._sock = sock
        self._transport: asyncio.Transport | None = None
        self._parser = Parser()
        self._head: Head | None = None
        self._body = bytearray()
        self._on_departure: ClientDeparted | None = None
        self._timer: Timer | None = None
        self._message_begun = (
            False  # whether the timer is that of a message, which further bytes do not extend
        )
        self._message_counted = False  # whether admission control counts that message
        self._head_at = self.since  # when the head of the message was whole
        self._reading = False  # whether messages are being taken
        self._reading_paused = False
        self._arrivals = Arrivals()
        self._throttled = False  # whether no more messages are taken for now
        self._discarded_bytes = 0
        self._answered = handover is not None  # whether it was ever answered
        if handover is not None:
            self._arrivals.came(len(handover.begun), self.since)
            self._parser.feed(handover.begun)
        self._set_time_limit(self.since)

    # What asyncio calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begins to read, or answers a connection that is not admitted."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if self.phase == Phase.CLOSED:  # evicted before it was up: left open, its descriptor would leak
            transport.abort()
        elif self.rejection is not None:
            self._reject_message(MalformedMessageError("come again later", 503), self.rejection.retry_after)
        elif self._parser.buffered:  # what another process had read already
            self._read_messages()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Gives the buffer that all connections share: it is emptied at once."""
        return _SCRATCH

    def buffer_updated(self, nbytes: int) -> None:
        """Takes bytes that have come."""
        if self.phase == Phase.LINGERING:
            if not self._discarded_bytes:
                self.listener.count_discarded_input()
            self._discarded_bytes += nbytes
            if self._discarded_bytes > LINGER_BYTES and self._transport is not None:
                self._transport.pause_reading()
            return
        if self.phase == Phase.CLOSED:
            return
        self._last_byte_at = self.listener.clock()
        self._arrivals.came(nbytes, self._last_byte_at)
        self._parser.feed(_SCRATCH[:nbytes])
        if self.phase == Phase.READING:
            self.listener.mark_active(self)
            self._read_messages()
        elif self._parser.buffered > PIPELINED_BYTES:
            self._pause_reading()

    def eof_received(self) -> bool:
        """Takes the end of sending for a departure."""
        self._client_left()
        return False

    def _client_left(self) -> None:
        """The client has closed, or has ended its sending: it waits for no answer any more."""
        self.connection_lost(None)
        if self._transport is not None:
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Withdraws what is owed on this connection."""
        if self.phase == Phase.CLOSED:
            return
        self.phase = Phase.CLOSED
        self._cancel_timer()
        self._count_message_over()
        self._watch_for_departure(False)
        self.listener.remove(self)
        on_departure, self._on_departure = self._on_departure, None
        if on_departure is not None:
            self.listener.count_departure()
            on_departure()

    def pause_writing(self) -> None:
        """Throttles a client that leaves its answers unread."""
        self._throttle(True)

    def resume_writing(self) -> None:
        """Takes messages again once answers are read."""
        self._throttle(False)

    # What fronts and the listener call.

    def answer(self, status: int, body: bytes = b"", **headers: str) -> None:
        """The whole answer to the message that was taken."""
        self._write_answer(status, body, True, headers)

    def reject(self, status: int, text: str, **headers: str) -> None:
        """Answers what cannot be taken and closes, for such a client would otherwise keep a descriptor."""
        self.finish(status, f"{text}\n".encode(), Content_Type="text/plain", **headers)

    def finish(self, status: int, body: bytes, **headers: str) -> None:
        """The whole answer to the message that was taken, and the last one on this connection."""
        self._write_answer(status, body, False, headers)

    def _write_answer(self, status: int, body: bytes, keep: bool, headers: dict[str, str]) -> None:
        if self.phase != Phase.WAITING or self._transport is None or self._head is None:
            return
        self._on_departure = None
        # During a shutdown each answer asks the client to connect elsewhere, unless more has come meanwhile.
        keep = (
            keep and self._head.keeps and (not self.listener.keep_alive_disabled or self._parser.buffered > 0)
        )
        self._transport.write(answer_bytes(status, body, keep, **headers))
        self._head = None
        self._answered = True
        if not keep:
            self._start_lingering()
            return
        self.phase = Phase.READING
        self.since = self.listener.clock()
        self.listener.mark_idle(self)
        if not self._throttled:
            self._resume_reading()
        self._set_time_limit(self._message_began_at())
        if self.listener.successor is not None:  # the next process serves it once this call is over
            self.listener.timers.at(self.since, partial(self.listener.hand_over, self))
        if not self._reading:  # else its loop goes on: thousands of pipelined messages must not nest
            self._read_messages()

    @property
    def client_connected(self) -> bool:
        """Whether the client is connected, asked of its socket: a close that is not read yet counts."""
        if self.phase == Phase.CLOSED:
            return False
        return self._sock is None or not has_left(self._sock.fileno())

    @property
    def is_idle(self) -> bool:
        """Whether nothing is owed on this connection and nothing lies unread in its socket."""
        if self.phase != Phase.READING or self._head is not None or not self._parser.between:
            return False
        return self._sock is None or not unread_bytes(self._sock.fileno())

    @property
    def evictable(self) -> bool:
        """Whether this connection may be closed for another."""
        if self.phase == Phase.LINGERING:
            return self._last_answer_arrived()
        if self.is_idle:
            return self._last_answer_arrived()
        # Half a message has come: the rest may lie in the socket, and a request that was read is answered.
        slow = not self.proven and self.listener.clock() >= self._last_byte_at + EVICTION_GRACE
        return slow and (self._sock is None or not unread_bytes(self._sock.fileno()))

    def _last_answer_arrived(self) -> bool:
        """Whether the last answer has reached the client, or has had time to: a reset would take it along."""
        late = self.listener.clock() >= self._limited_since + EVICTION_GRACE
        return late or not self._answered or self._sock is None or not unsent_bytes(self._sock.fileno())

    def detach(self) -> DetachedConnection | None:
        """Give the connection away between two requests; return None if that is not possible now.

        The descriptor stays open, with what lies unread in the socket. The state includes the part of the
        next message that was read already.
        """
        if self.phase != Phase.READING or self._reading or self._throttled or self._head is not None:
            return None
        begun = self._parser.begun
        if begun is None or self._sock is None or self._transport is None:
            return None
        if self._transport.is_closing() or self._transport.get_write_buffer_size():
            return None
        handover = ConnectionHandover(self.proven, self._limited_since if begun else self.since, begun)
        self.abort()  # the loop forgets the descriptor now and would close it in its next turn
        return DetachedConnection(self._sock.detach(), handover)

    def close(self) -> None:
        """Ends a connection on which nothing is owed.

        A request may cross this, and a close over unread bytes is a reset, which takes answers along that the
        client has not read yet: so whoever was ever answered is ended as after a last answer."""
        if self.phase in (Phase.CLOSED, Phase.LINGERING):
            return
        if self._answered or (self._transport is not None and self._transport.get_write_buffer_size()):
            self._start_lingering()
        else:
            self.abort()

    def abort(self) -> None:
        """Closes the connection at once."""
        if self.phase != Phase.CLOSED:
            self._cancel_timer()
            self._count_message_over()
            self.phase = Phase.CLOSED
            self._watch_for_departure(False)
            self.listener.remove(self)
            if self._transport is not None:
                self._transport.abort()

    def _start_lingering(self) -> None:
        """Ends the sending and throws input away, for closing on unread input would take the answer back."""
        self.phase = Phase.LINGERING
        self._limited_since = self.listener.clock()
        self._cancel_timer()
        self._count_message_over()
        self.listener.mark_idle(self)
        if self._transport is not None and not self._transport.is_closing():
            with suppress(OSError):
                self._transport.write_eof()
            if not self._throttled:
                self._resume_reading()
        self._timer = self.listener.timers.at(self.listener.clock() + LINGER_TIME, self.abort)

    def _reject_message(self, error: MalformedMessageError, retry_after: float = 0.0) -> None:
        self.phase = Phase.WAITING
        self._head = Head()
        advice = {"Retry_After": f"{retry_after / 1000.0:.3f}"} if retry_after > 0.0 else {}
        self.reject(error.status, str(error), **advice)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _set_time_limit(self, start: float | None = None) -> None:
        """Sets how long the connection may stay as it is, from now on if not from an earlier start."""
        self._message_begun = self._head is not None or not self._parser.between
        self._cancel_timer()
        self._limited_since = self.listener.clock() if start is None else start
        if self.proven and not self._message_begun:
            idling = self.listener.idling
            at = min(self.since + idling.idle_timeout, self.listener.clock() + idling.park_after)
            self._timer = self.listener.timers.at(at, self._time_is_up, patient=True)
        else:
            self._timer = self.listener.timers.at(self._time_limit().at, self._time_is_up)

    def _message_began_at(self) -> float:
        """When the first byte came of what is not taken yet, which may have waited behind a request."""
        return self._arrivals.first_at(self._parser.buffered, self.listener.clock())

    def _time_limit(self) -> Limit:
        """Until when what has begun, or has yet to begin on a new connection, may take."""
        admission = self.listener.admission
        if admission is None:
            return Limit(self._limited_since + self.listener.message_timeout)
        if self._head is None:
            return admission.head_limit(self._limited_since)
        return admission.body_limit(self._limited_since, self._head_at, len(self._body))

    def _count_message_begun(self) -> None:
        """A message has begun that is not whole yet."""
        self._message_begun = True
        admission = self.listener.admission
        if admission is None or self.ticket is None or self._message_counted:
            return
        rejection = admission.begin_message(self.ticket)
        if rejection is None:
            self._message_counted = True
        else:
            self._reject_message(
                MalformedMessageError("too many half-sent messages", 503), rejection.retry_after
            )

    def _count_message_over(self) -> None:
        """What had begun is whole, or its connection is over."""
        if self._message_counted and self.listener.admission is not None and self.ticket is not None:
            self.listener.admission.end_message(self.ticket)
        self._message_counted = False

    def apply_limits(self) -> None:
        """Limits have changed: they count for what this connection is doing."""
        if self.phase == Phase.READING and not self._reading and not self._throttled:
            self._set_time_limit(self._limited_since)

    def _time_is_up(self) -> None:
        if self.phase == Phase.READING and self._message_begun:
            limit = self._time_limit()
            if limit.at > self.listener.clock():  # a body that comes in fast enough
                self._timer = self.listener.timers.at(limit.at, self._time_is_up)
                return
            if self.listener.admission is not None:
                self.listener.admission.count_slow_message(limit)
            self._reject_message(MalformedMessageError("the message took too long", 408))
        elif self.is_idle:
            if not self.proven or self.listener.clock() >= self.since + self.listener.idling.idle_timeout:
                self.close()
            elif not self.listener.park(self):
                self._set_time_limit()
        elif self.phase == Phase.READING:  # something came at this very moment
            self._set_time_limit()

    def _read_messages(self) -> None:
        """Takes what has come, a bounded number of messages at a time."""
        if self._reading or self.phase != Phase.READING or self._throttled:
            return
        self._reading = True
        try:
            taken = self._take_messages()
        except MalformedMessageError as error:
            self._reject_message(error)
            return
        finally:
            self._reading = False
        if self.phase != Phase.READING:
            return
        if taken == MESSAGES_PER_TURN:  # the other connections' turn
            self._cancel_timer()
            self._throttle(True)
            self._timer = self.listener.timers.at(self.listener.clock(), self._read_more_messages)
        elif not self._message_begun and (self._head is not None or not self._parser.between):
            if self.proven:  # a new connection's time runs from its start, whatever it drips
                self._set_time_limit(self._message_began_at())
            self._count_message_begun()

    def _take_messages(self) -> int:
        """Takes what the parser holds; gives the number of complete messages."""
        taken = 0
        while self.phase == Phase.READING and not self._throttled and taken < MESSAGES_PER_TURN:
            part = self._parser.poll()
            if part is None:
                break
            if isinstance(part, Head):
                self._begin_body(part)
            elif isinstance(part, bytes):
                self._body += part
            elif self._head is not None:
                taken += 1
                self._pass_to_front(self._head)
        return taken

    def _begin_body(self, head: Head) -> None:
        self._head = head
        self._head_at = self.listener.clock()
        self._body.clear()
        if head.get("expect").lower() == "100-continue" and self._transport is not None:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _pass_to_front(self, head: Head) -> None:
        self._cancel_timer()
        self._count_message_over()
        self.phase = Phase.WAITING
        try:
            on_departure = self.listener.front.handle_message(self.listener, self, head, bytes(self._body))
        except MalformedMessageError:
            raise
        except Exception as error:  # raised on, it would close the connection, and the request had no answer
            self.listener.report_fault(error)
            self.finish(500, b"failed\n", Content_Type="text/plain")
            return
        if self._head is not None:  # else it was answered at once
            self._on_departure = on_departure
            self.listener.mark_busy(self)

    def _read_more_messages(self) -> None:
        if self._transport is not None and self._transport.get_write_buffer_size():
            # The client does not read its answers.
            self._timer = self.listener.timers.at(self.listener.clock(), self._read_more_messages)
            return
        self._set_time_limit()
        self._throttle(False)

    def _throttle(self, throttled: bool) -> None:
        """Takes no more messages from this client, or takes them again."""
        self._throttled = throttled
        if self._transport is None:
            return
        if throttled:
            self._pause_reading()
        elif self.phase in (Phase.READING, Phase.LINGERING):
            self._resume_reading()
            self._read_messages()

    def _pause_reading(self) -> None:
        """Reads no more for now. A transport that is not read tells of no departure, so it is watched."""
        if self._transport is not None:
            self._transport.pause_reading()
            self._reading_paused = True
            self._watch_for_departure(True)

    def _resume_reading(self) -> None:
        if self._transport is None:
            return
        if self._reading_paused:  # the client could not send the rest meanwhile
            self._reading_paused = False
            self._arrivals.restart(self.listener.clock())
        self._watch_for_departure(False)
        self._transport.resume_reading()

    def _watch_for_departure(self, watched: bool) -> None:
        departures = self.listener.departures
        if departures is None or self._sock is None or (fd := self._sock.fileno()) < 0:
            return
        if watched and self.phase != Phase.CLOSED:
            departures.watch(fd, self._client_left)
        else:
            departures.forget(fd)
