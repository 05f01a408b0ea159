"""A watch of a source of workers, kept open for as long as the source is followed.

A watch has one connection at a time, and one timer that decides what comes next.

    dialling ──(up)──> asked ──(a whole list, or an empty line)──> alive ──┐
       │                 │                                           ^──────┘
       │                 └──(no whole line for `silence`)──> dialling again, at once
       ├──(DIAL_TIMEOUT passes)──> dialling again, at once
       └──(refused; from any state: broken off, ended, unreadable)──> waiting ──(`Backoff`)──> dialling

What must never happen: a table changed by a list that is not whole or not understood; a source that is silent
with no call waiting at it; a wait longer than `Backoff` bounds.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum
from functools import partial

from eiderfield.config.address import Address
from eiderfield.exchange.timers import Timer, Timers
from eiderfield.net.backoff import DIAL_TIMEOUT, Backoff
from eiderfield.net.dialing import Dial, PendingDial
from eiderfield.net.discovery.routing_table import RoutingTable
from eiderfield.net.http import Head, MalformedMessageError, Parser

SILENCE = 2600.0  # ms without even an empty line, which comes every 2 s, until the watch is opened anew
MAX_LIST = 4 * 1024 * 1024  # bytes of one list: thousands of workers

_READ_BUFFER = memoryview(bytearray(65536))  # shared: it is read out as soon as it is filled


class Loss(Enum):
    """Why a watch's connection was of no use any more, as the console counts it."""

    SILENT = "silent"
    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    BROKEN = "broken"
    MALFORMED = "malformed"


# The source said nothing, good or bad: the next call waits at it already when it is back.
_AT_ONCE = (Loss.SILENT, Loss.UNREACHABLE)


class WatchConnection(asyncio.BufferedProtocol):
    """One connection to a source of workers."""

    def __init__(self, watch: Watch) -> None:
        """It reports to `watch` until it is closed."""
        self._watch = watch
        self._parser = Parser(responses=True, max_body=0)
        self._transport: asyncio.Transport | None = None
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Asks at once."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if self.closed:
            transport.abort()
            return
        self._watch.on_connected(self)
        self.send_request()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Where the next bytes are read to."""
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Reads on. A source that sends nonsense must not end the program: the table stays as it is, and the
        watch is opened anew."""
        if self.closed:
            return
        self._parser.feed(_READ_BUFFER[:nbytes])
        try:
            while not self.closed and (part := self._parser.poll()) is not None:
                self._hand_over(part)
        except (ValueError, RecursionError) as error:
            self._watch.on_lost(self, Loss.MALFORMED, str(error))

    def _hand_over(self, part: object) -> None:
        if isinstance(part, Head):
            if part.status >= 200:
                self._watch.on_head(part)
        elif isinstance(part, bytes):
            self._watch.on_body(part)
        else:
            self._watch.on_end()

    def connection_lost(self, exc: Exception | None) -> None:
        """The source, or the network, has ended it."""
        if not self.closed:
            self._watch.on_lost(self, Loss.BROKEN, "the connection is lost")

    def send_request(self) -> None:
        """Writes the watch's next request."""
        if self._transport is not None:
            self._transport.write(self._watch.next_request())

    def close(self) -> None:
        """Closes the connection; nothing is reported after that."""
        self.closed = True
        if self._transport is not None:
            self._transport.abort()


class Watch:
    """Follows one source. While that is silent or cut off, the table stays as it was."""

    silence = SILENCE  # ms without a sign of life after which the source is taken for silent

    def __init__(
        self,
        table: RoutingTable,
        timers: Timers,
        clock: Callable[[], float],
        dial: Dial,
        address: Address,
        log: Callable[[str], None],
    ) -> None:
        """`start_in_turn` begins it."""
        self.backoff = Backoff()  # the program puts in its own, where others share the source
        self.on_first_list: Callable[[], None] = lambda: None
        self.table = table
        self.address = address
        self.clock = clock
        self.log = log
        self.body = bytearray()  # of the answer, as far as it has come
        self.connection: WatchConnection | None = None
        self._timers = timers
        self._dial = dial
        self._pending_dial: PendingDial | None = None
        self._timer: Timer | None = None

    # What a kind of source does its own way.

    def next_request(self) -> bytes:
        """The next request."""
        raise NotImplementedError

    def on_head(self, head: Head) -> None:
        """An answer's head has come."""
        if head.status != 200:
            raise MalformedMessageError(f"the answer is {head.status}")

    def on_body(self, data: bytes) -> None:
        """A piece of an answer's body has come."""
        self.body += data
        if len(self.body) > MAX_LIST:
            raise MalformedMessageError("a list is too long")

    def on_end(self) -> None:
        """An answer has ended."""
        raise NotImplementedError

    # What all do alike.

    def start_in_turn(self) -> None:
        """Opens the first connection, when it is this dispatcher's turn."""
        if wait := self.backoff.first_wait(self.table.index is not None):
            self.set_timer(wait, self.connect)
        else:
            self.connect()

    def connect(self) -> None:
        """Opens a connection."""
        connection = self.connection = WatchConnection(self)
        self.body.clear()
        lost = partial(self.on_lost, connection)
        self.set_timer(DIAL_TIMEOUT, partial(lost, Loss.UNREACHABLE, "it cannot be reached in time"))
        refused = partial(lost, Loss.REFUSED, "it cannot be reached")
        self._pending_dial = self._dial(connection, self.address, refused)

    def stop(self) -> None:
        """Ends the watch for good."""
        self._close_connection()
        if self._timer is not None:
            self._timer.cancel()

    def on_connected(self, connection: WatchConnection) -> None:
        """A connection has come up."""
        if connection is self.connection:
            self._wait_for_sign_of_life(connection)

    def on_lost(self, connection: WatchConnection, loss: Loss, reason: str) -> None:
        """A connection is of no use any more: another is opened after a wait, which the loss decides."""
        if connection.closed or connection is not self.connection:
            return
        self._close_connection()
        self.table.watches_reopened[loss.value] += 1
        wait = 0.0 if loss in _AT_ONCE else self.backoff.next_wait(self.clock())
        self.log(f"discovery: {reason}; watch reopened after index {self.table.index} in {wait:.0f} ms")
        self.set_timer(wait, self.connect)

    def source_alive(self) -> None:
        """The source has given a sign of life."""
        self.backoff.reset()
        if self.connection is not None:
            self._wait_for_sign_of_life(self.connection)

    def list_applied(self) -> None:
        """The source has told a list, and the table has it."""
        on_first_list, self.on_first_list = self.on_first_list, lambda: None
        on_first_list()

    def set_timer(self, wait: float, call: Callable[[], None]) -> None:
        """Sets the one timer."""
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._timers.at(self.clock() + wait, call)

    def _wait_for_sign_of_life(self, connection: WatchConnection) -> None:
        self.set_timer(self.silence, partial(self.on_lost, connection, Loss.SILENT, "it is silent"))

    def _close_connection(self) -> None:
        if self.connection is not None:
            self.connection.close()
        if self._pending_dial is not None:
            self._pending_dial.cancel()
            self._pending_dial = None
