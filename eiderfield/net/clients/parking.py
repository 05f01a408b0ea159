"""The idle connections of a listener: parked without a protocol object, and lent to the next process.

    connected ──(park: idle for `park_after`)──> parked ──(bytes)──> connected again, in the same state
                                                   ├──(expired, or evicted)──> closed
                                                   └──(lend, hand_over)──> at the next process

The states of a parked connection itself are those of `eiderfield/connections/idle_connections.py`; this
module connects them to the loop, the clock and the listener's admission control.

Invariants: no byte of a borrowed connection is read before its removal is reported to the lender; each ticket
of admission control is released exactly once.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from functools import partial
from math import inf
from typing import Protocol

from eiderfield.connections.idle_connections import IdleConnections, LentConnection, WokenConnection
from eiderfield.exchange.timers import Timer, Timers
from eiderfield.net.clients.connection import ClientConnection
from eiderfield.net.clients.detached import ConnectionHandover, Detach, DetachedConnection

CLOSED_PER_PASS = 1024  # parked connections closed or taken back in one pass, which takes about 10 ms


def _tag_of(ticket: int | None) -> int:
    """Return a ticket as the tag of an idle connection; 0 for none."""
    return 0 if ticket is None else ticket + 1


def _ticket_of(tag: int) -> int | None:
    """Return the ticket in the tag of an idle connection."""
    return tag - 1 if tag else None


def _ignore(*_arguments: object) -> None:
    """Do nothing."""


class ParkingOwner(Protocol):
    """The listener whose idle connections are parked."""

    @property
    def timers(self) -> Timers:
        """Timers on the listener's clock."""

    @property
    def may_park(self) -> bool:
        """Whether idle connections are to be parked."""

    @property
    def has_capacity(self) -> bool:
        """Whether one more connection is within the listener's limit."""

    def clock(self) -> float:
        """Return the current time in ms."""

    def idle_limit(self) -> float:
        """Return for how many ms a connection may idle now."""

    def register(self, sock: socket.socket) -> int | None:
        """Return the ticket of a connection that is already open, None without admission control."""

    def release_ticket(self, ticket: int) -> None:
        """Release the admission ticket of a parked connection that is closed."""

    def resume(self, sock: socket.socket, handover: ConnectionHandover, ticket: int | None) -> None:
        """Read from a connection that was parked."""

    def adopt_connection(self, sock: socket.socket, handover: ConnectionHandover) -> None:
        """Adopt a client's connection that another process handed over."""

    def resume_accepting(self) -> None:
        """Accept again if accepting was paused: a connection may have closed."""


class ConnectionParking:
    """The parked connections of one listener, if the settings and the system allow any.

    Attributes:
        log: called once when the system refuses a poll set.
        on_park: called after each connection that is parked.
        on_borrowed_removed: called with the keys, at the lender, of borrowed connections that are no longer
            parked here.
    """

    def __init__(self, listener: ParkingOwner) -> None:
        """Park nothing until `open`."""
        self._listener = listener
        self._loop: asyncio.AbstractEventLoop | None = None
        self._idle: IdleConnections | None = None
        self._refusal_logged = False  # whether the refusal of a poll set is logged
        self._expiry: Timer | None = None
        self.log: Callable[[str], None] = _ignore
        self.on_park: Callable[[], None] = _ignore
        self.on_borrowed_removed: Callable[[list[int]], None] = _ignore

    def __len__(self) -> int:
        """Return the number of parked connections."""
        return 0 if self._idle is None else len(self._idle)

    def open(self, loop: asyncio.AbstractEventLoop) -> None:
        """Create the poll set. If the system refuses it, idle connections stay open and are not parked."""
        if self._idle is not None:
            return
        try:
            self._idle = IdleConnections(self._release_ticket)
        except OSError as error:
            if not self._refusal_logged:
                self._refusal_logged = True
                self.log(f"parking: poll set refused, idle connections are not parked (error={error})")
            return
        self._loop = loop
        loop.add_reader(self._idle.fileno(), self._wake)

    def close(self) -> None:
        """Close every parked connection and the poll set."""
        if self._idle is not None and self._loop is not None:
            self._loop.remove_reader(self._idle.fileno())
            self._idle.close()
            self._idle = None

    def figures(self) -> dict[str, int]:
        """Return the console's figures of parked connections, present ones and earlier ones."""
        idle = self._idle
        return {
            "parked": len(self),
            "woken": idle.woken if idle is not None else 0,
            "expired": idle.expired if idle is not None else 0,
            "left": idle.closed_by_client if idle is not None else 0,
            "gave_way": idle.evicted if idle is not None else 0,
            "lent": idle.lent if idle is not None else 0,
        }

    # Parking and waking.

    def park(self, connection: ClientConnection) -> bool:
        """Park an idle connection; return whether it was possible."""
        listener = self._listener
        if self._idle is None or not listener.may_park:
            return False
        ticket = connection.admission.take_ticket()  # the connection stays counted while it is parked
        if (detached := connection.detach()) is None:
            connection.admission.restore_ticket(ticket)
            return False
        try:
            self._idle.park(detached.descriptor, detached.state.since, _tag_of(ticket))
        except OSError:  # the kernel's limit of epoll watches is reached
            listener.resume(socket.socket(fileno=detached.descriptor), detached.state, ticket)
        self._arm_if_unarmed()
        self.on_park()
        return True

    def close_idle(self) -> None:
        """Close a bounded number of the parked connections without unread bytes."""
        if self._idle is not None:
            self._idle.close_idle(CLOSED_PER_PASS)
            self._report_removed_keys()

    def evict_one(self) -> bool:
        """Close the longest idle connection that may be evicted; return whether there was one."""
        if self._idle is None:
            return False
        evicted = self._idle.evict_one()
        self._report_removed_keys()
        return evicted

    def expire(self) -> None:
        """Close a bounded number of expired connections; a later call closes the others."""
        if self._idle is not None:
            self._idle.expire(self._listener.clock(), self._listener.idle_limit())
            self._report_removed_keys()
            self.arm()
            self._listener.resume_accepting()

    def arm(self) -> None:
        """Set the timer of the next expiry, after the idle limit or the parked connections have changed."""
        if self._expiry is not None:
            self._expiry.cancel()
            self._expiry = None
        if self._idle is None:
            return
        at = self._idle.next_expiry(self._listener.idle_limit())
        if at < inf:
            self._expiry = self._listener.timers.call_at(at, self.expire, deferrable=True)

    def _arm_if_unarmed(self) -> None:
        if self._expiry is None:
            self.arm()

    def _wake(self) -> None:
        """Resume parked connections on which bytes have arrived, in the state in which they were parked."""
        if self._idle is None:
            return
        woken = self._idle.poll_ready()
        self._report_removed_keys()
        for connection in woken:
            self._unpark(connection)
        self._listener.resume_accepting()  # `poll_ready` may have closed connections

    def _unpark(self, woken: WokenConnection) -> None:
        handover = ConnectionHandover(True, woken.idle_since)
        self._listener.resume(socket.socket(fileno=woken.fd), handover, _ticket_of(woken.tag))

    def _release_ticket(self, tag: int) -> None:
        """Release the admission ticket of a parked connection that is closed."""
        ticket = _ticket_of(tag)
        if ticket is not None:
            self._listener.release_ticket(ticket)

    # The next process, and the previous one.

    def detach_calls(self, limit: int) -> list[Detach]:
        """Return at most `limit` functions that detach one parked connection each, the longest idle first."""
        if self._idle is None:
            return []
        return [partial(self._detach, fd) for fd in self._idle.longest_idle(limit)]

    def _detach(self, fd: int) -> DetachedConnection | None:
        """Detach a connection, if it is still parked."""
        if self._idle is None or fd not in self._idle:
            return None
        woken = self._idle.detach(fd)
        self._report_removed_keys()
        self._release_ticket(woken.tag)
        return DetachedConnection(fd, ConnectionHandover(True, woken.idle_since))

    def lend(self, limit: int) -> list[LentConnection]:
        """Lend at most `limit` parked connections to the next process; keep copies of their descriptors."""
        return [] if self._idle is None else self._idle.lend(limit)

    def borrow(self, fd: int, idle_since: float, lender_key: int | None) -> bool:
        """Take a parked connection of the previous process.

        Args:
            fd: its descriptor.
            idle_since: when it became idle, in ms.
            lender_key: its key at the previous process if a copy stays there, else None.

        Returns:
            Whether it was taken. It always is if there is no copy, since this process alone has it then.
        """
        listener = self._listener
        if lender_key is not None and (self._idle is None or not listener.has_capacity):
            return False
        sock = socket.socket(fileno=fd)
        if self._idle is None:  # nothing is parked here, and no other process has this connection
            listener.adopt_connection(sock, ConnectionHandover(True, idle_since))
            return True
        ticket = listener.register(sock)
        try:
            self._idle.park(fd, min(idle_since, listener.clock()), _tag_of(ticket), lender_key)
        except OSError:  # the kernel's limit of epoll watches is reached
            if lender_key is None:
                listener.resume(sock, ConnectionHandover(True, idle_since), ticket)
                return True
            sock.detach()
            self._release_ticket(_tag_of(ticket))
            return False
        sock.detach()
        self._arm_if_unarmed()
        return True

    def close_lent(self, keys: list[int]) -> None:
        """Close the copies of connections that now belong to the next process alone."""
        if self._idle is not None:
            for key in keys:
                self._idle.close_lent(key)

    def take_back(self, keys: list[int]) -> None:
        """Park connections again for which the next process has no capacity."""
        if self._idle is not None:
            for key in keys:
                self._idle.take_back(key)
        self.arm()

    def take_back_all(self) -> None:
        """Park lent connections again after the next process has ended, a bounded number in a turn."""
        if self._idle is not None and self._idle.take_back_lent(CLOSED_PER_PASS):
            self._listener.timers.call_at(self._listener.clock(), self.take_back_all)
        self.arm()

    def forget_lender(self) -> None:
        """Keep the borrowed connections: the previous process has ended."""
        if self._idle is not None:
            self._idle.forget_lender()

    def _report_removed_keys(self) -> None:
        """Report removed connections to the lender, before a byte of them is read."""
        if self._idle is not None and self._idle.unreported_keys:
            keys, self._idle.unreported_keys = self._idle.unreported_keys, []
            self.on_borrowed_removed(keys)
