"""Watch of a source of workers, kept open for as long as the source is followed.

A watch has one connection at a time, and one timer for the next step.

    dialing ──(connected)──> requested ──(a whole list, or a heartbeat)──> alive ──┐
       │                       │                                             ^─────┘
       │                       └──(heartbeat timeout, also in `alive`)──> dialing, at once
       ├──(dial timeout)──> dialing, at once
       └──(refused; in any state: closed, response ended or malformed)──> waiting ──(`Backoff`)──> dialing

Invariants:

- Only a response that is complete and well-formed changes the table; of its entries, only those that are.
- A connection attempt or a request is always pending at a source that does not answer.
- No wait exceeds the limits of `Backoff`.

A source that sends no first response within the heartbeat timeout may be silent or slow. Until it responds,
calls to it wait for `SLOW_RESPONSE_TIMEOUT_MS` and for the heartbeat timeout in turn.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from http import HTTPStatus

from eiderfield.config.address import Address
from eiderfield.exchange.timers import Timer, Timers
from eiderfield.net.backoff import MAX_WAIT_MS, SOURCE_DIAL_TIMEOUT_MS, Backoff
from eiderfield.net.dialing import Dial, PendingDial
from eiderfield.net.discovery.endpoint_list import EndpointList
from eiderfield.net.discovery.routing_table import RoutingTable
from eiderfield.net.discovery.watch_connection import LossReason, WatchConnection
from eiderfield.net.http import Head, MalformedMessageError

HEARTBEAT_TIMEOUT_MS = 2600.0  # the platform sends an empty line every 2 s
# Time for the first response of a slow source. A query that it has lost is repeated after this time, and its
# list is received within `NOTIFICATION_DEADLINE_MS` (`backoff`) all the same.
SLOW_RESPONSE_TIMEOUT_MS = MAX_WAIT_MS

# Losses after which the next call is made at once, so that it is pending when the source recovers.
_RECONNECT_AT_ONCE = (LossReason.SILENT, LossReason.UNREACHABLE)


class Watch:
    """Follows one source. While the source is unavailable, the table is unchanged.

    Attributes:
        heartbeat_timeout: The time without a list or heartbeat, in ms, after which the watch is reopened.
        backoff: Determines the waits between calls; the program replaces it if dispatchers share the source.
        on_first_list: Called once, after the first list was applied.
    """

    heartbeat_timeout = HEARTBEAT_TIMEOUT_MS

    def __init__(
        self,
        table: RoutingTable,
        timers: Timers,
        clock: Callable[[], float],
        dial: Dial,
        address: Address,
        log: Callable[[str], None],
    ) -> None:
        """Create a watch of the source at `address`; `start` opens it."""
        self.backoff = Backoff()
        self.on_first_list: Callable[[], None] = lambda: None
        self.table = table
        self.address = address
        self.clock = clock
        self.log = log
        self.connection: WatchConnection | None = None
        self.timers = timers
        self._dial = dial
        self._pending_dial: PendingDial | None = None
        self._timer: Timer | None = None
        self._is_slow = False  # whether the next call waits for `SLOW_RESPONSE_TIMEOUT_MS`
        self._has_responded = False  # on the present connection

    # Overridden by each kind of source.

    def next_request(self) -> bytes:
        """Return the next request."""
        raise NotImplementedError

    def on_head(self, head: Head) -> None:
        """Check the head of a response; raises `MalformedMessageError`."""
        if head.status != HTTPStatus.OK:
            raise MalformedMessageError(f"the answer is {head.status}")

    def on_body(self, data: bytes) -> None:
        """Handle a part of a response body; raises `ValueError` if it is malformed or too long."""
        raise NotImplementedError

    def on_end(self) -> None:
        """Handle the end of a response."""
        raise NotImplementedError

    # Common to all kinds of sources.

    def start(self) -> None:
        """Open the first connection, after a wait of this dispatcher if it shares the source with others."""
        if wait := self.backoff.first_wait(self.table.index is not None):
            self.set_timer(wait, self.connect)
        else:
            self.connect()

    def connect(self) -> None:
        """Open a connection."""
        self._has_responded = False
        connection = self.connection = WatchConnection(self)
        lost = partial(self.on_lost, connection)
        self.set_timer(SOURCE_DIAL_TIMEOUT_MS, partial(lost, LossReason.UNREACHABLE, "dial timed out"))
        refused = partial(lost, LossReason.REFUSED, "connection refused")
        self._pending_dial = self._dial(connection, self.address, refused)

    def stop(self) -> None:
        """Close the watch permanently."""
        self._close_connection()
        if self._timer is not None:
            self._timer.cancel()

    def on_connected(self, connection: WatchConnection) -> None:
        """Wait for the first heartbeat of an established connection."""
        if connection is self.connection:
            slow_timeout = max(self.heartbeat_timeout, SLOW_RESPONSE_TIMEOUT_MS)
            self._start_heartbeat_timer(connection, slow_timeout if self._is_slow else self.heartbeat_timeout)

    def on_lost(self, connection: WatchConnection, reason: LossReason, detail: str) -> None:
        """Close a lost connection; open the next one after a wait that depends on `reason`."""
        if connection.closed or connection is not self.connection:
            return
        self._close_connection()
        if reason == LossReason.SILENT and not self._has_responded:
            self._is_slow = not self._is_slow
        self.table.watches_reopened[reason.value] += 1
        wait = 0.0 if reason in _RECONNECT_AT_ONCE else self.backoff.next_wait(self.clock())
        self.log(
            f"discovery: watch reopened (reason={reason.value} detail={detail!r} "
            f"index={self.table.index} wait_ms={wait:.0f})"
        )
        self.set_timer(wait, self.connect)

    def record_heartbeat(self) -> None:
        """Record a list or a heartbeat of the source."""
        self.backoff.record_success()
        self._has_responded, self._is_slow = True, False
        if self.connection is not None:
            self._start_heartbeat_timer(self.connection, self.heartbeat_timeout)

    def apply_list(self, endpoint_list: EndpointList) -> None:
        """Apply a list to the table, and log its malformed entries unless they were malformed before."""
        self.table.apply(endpoint_list)
        if new := self.table.refused_entries.take_new():
            self.log(
                f"discovery: entries refused, the others are applied "
                f"(count={len(new)} first={new[0].problem!r} index={endpoint_list.index})"
            )

    def report_first_list(self) -> None:
        """Call `on_first_list` unless it was called before. The list must have been applied."""
        on_first_list, self.on_first_list = self.on_first_list, lambda: None
        on_first_list()

    def set_timer(self, wait: float, callback: Callable[[], None]) -> None:
        """Set the watch's one timer to `wait` ms from now."""
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self.timers.call_at(self.clock() + wait, callback)

    def _start_heartbeat_timer(self, connection: WatchConnection, timeout: float) -> None:
        silent = partial(self.on_lost, connection, LossReason.SILENT, "no heartbeat")
        self.set_timer(timeout, silent)

    def _close_connection(self) -> None:
        if self.connection is not None:
            self.connection.close()
        if self._pending_dial is not None:
            self._pending_dial.cancel()
            self._pending_dial = None
