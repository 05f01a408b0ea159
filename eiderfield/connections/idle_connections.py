"""Idle client connections: a poll set that holds their descriptors, and a few bytes for each.

The poll set's own descriptor is readable when one of the connections is, so that the event loop watches a
single descriptor, however many connections are idle.

    idle ──(bytes received)──> woken: removed, and returned to the owner
      │  └──(closed by the client, nothing unread)──> closed
      └──(expired, or evicted)──> closed

During a handover, idle connections are passed to the next process in batches. The old process may keep a copy
of each descriptor outside its poll set. Such a connection is lent: if the next process dies, the old one
parks its copy again, and no client is disconnected. The next process reports each connection that it removes
from its poll set, before it reads a byte of it, and the old process then closes its copy. Until then the
client's connection stays open, even if the next process has closed its descriptor.

    idle ──(lend)──> lent ──(reported by the next process)──> copy closed
      ^                └──(the next process has ended)──┐
      └─────────────────────────────────────────────────┘

The poll set is level-triggered: bytes that arrived before a connection became idle, or between two polls, are
reported at the next poll, so no message is missed. A poll returns a bounded number of connections.
"""

from __future__ import annotations

import os
import select
from array import array
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from fcntl import ioctl
from termios import FIONREAD, TIOCOUTQ
from typing import NamedTuple

from eiderfield.connections.idle_table import IdleTable

WOKEN_PER_POLL = 8  # connections returned by one poll; it takes about 1 ms to resume them
EXPIRED_PER_PASS = 4  # expired connections closed in one pass, which takes about 0.1 ms; 1,000 per second
EVICTION_CANDIDATES = 32  # connections examined to find one that may be evicted

_WATCHED = select.EPOLLIN | select.EPOLLRDHUP


@dataclass(slots=True, frozen=True)
class WokenConnection:
    """A connection that is returned to its owner, with its descriptor.

    Attributes:
        fd: the descriptor, which the owner has to close.
        idle_since: when the connection became idle, in ms.
        tag: the number that the owner passed to `park`, of up to 32 bits.
    """

    fd: int
    idle_since: float
    tag: int


class LentConnection(NamedTuple):
    """A connection for the next process: the descriptor, and when the connection became idle, in ms."""

    fd: int
    idle_since: float


def unread_bytes(fd: int) -> int:
    """Return how many received bytes of a socket are unread; 0 for a broken one."""
    return _queued_bytes(fd, FIONREAD)


def unsent_bytes(fd: int) -> int:
    """Return how many bytes written to a socket are not acknowledged by the peer; 0 for a broken one."""
    return _queued_bytes(fd, TIOCOUTQ)


def _queued_bytes(fd: int, request: int) -> int:
    count = array("i", [0])
    with suppress(OSError, ValueError):
        ioctl(fd, request, count)
    return count[0]


class IdleConnections:
    """Idle connections by descriptor. Times are in ms.

    Attributes:
        woken: how many connections were returned because bytes had arrived.
        expired: how many connections were closed after their idle timeout.
        closed_by_client: how many connections the client closed.
        evicted: how many connections were closed for new ones.
        unreported_keys: keys, at the lender, of borrowed connections whose removal is not reported to it yet.
    """

    def __init__(self, on_close: Callable[[int], None] = lambda _tag: None) -> None:
        """Create an empty poll set; `on_close` is called with the tag of each connection closed here."""
        self.woken = self.expired = self.closed_by_client = self.evicted = 0
        self.unreported_keys: list[int] = []
        self._on_close = on_close
        self._poll = select.epoll()
        self._table = IdleTable()
        self._lent = IdleTable()
        self._lender_keys = array("i")  # by descriptor: the lender's key plus 1, 0 if it is not borrowed

    @property
    def lent(self) -> int:
        """The number of connections lent to the next process."""
        return len(self._lent)

    def __len__(self) -> int:
        """Return the number of idle connections."""
        return len(self._table)

    def __contains__(self, fd: int) -> bool:
        """Return whether a descriptor is idle here."""
        return fd in self._table

    def fileno(self) -> int:
        """Return the descriptor to watch: it is readable when an idle connection is."""
        return self._poll.fileno()

    def park(self, fd: int, idle_since: float, tag: int = 0, lender_key: int | None = None) -> None:
        """Take over a descriptor that has been idle since `idle_since`.

        Args:
            fd: the descriptor.
            idle_since: in ms.
            tag: a number of the caller's, of up to 32 bits.
            lender_key: the connection's key at the process that lends it, None if it is not borrowed.

        Raises:
            OSError: the kernel cannot poll the descriptor, which then stays the caller's.
        """
        self._poll.register(fd, _WATCHED)
        self._table.add(fd, idle_since, tag)
        if lender_key is not None:
            self._lender_keys.extend([0] * (fd + 1 - len(self._lender_keys)))
            self._lender_keys[fd] = lender_key + 1

    def poll_ready(self, limit: int = WOKEN_PER_POLL) -> list[WokenConnection]:
        """Remove and return at most `limit` connections with unread bytes.

        A connection that is ready without unread bytes was closed by its client, and is closed here.
        """
        woken = []
        for fd, _ in self._poll.poll(0, limit):
            if unread_bytes(fd):
                self.woken += 1
                woken.append(self.detach(fd))
            else:
                self.closed_by_client += 1
                self._close(fd)
        return woken

    def detach(self, fd: int) -> WokenConnection:
        """Remove a connection and return it to the caller."""
        entry = self._table.remove(fd)
        self._poll.unregister(fd)
        if fd < len(self._lender_keys) and self._lender_keys[fd]:
            self.unreported_keys.append(self._lender_keys[fd] - 1)
            self._lender_keys[fd] = 0
        return WokenConnection(fd, entry.idle_since, entry.tag)

    # Expiry and eviction.

    def longest_idle(self, limit: int) -> list[int]:
        """Return at most `limit` descriptors, the longest idle first, without removing them."""
        return self._table.longest_idle(limit)

    def next_expiry(self, idle_timeout: float) -> float:
        """Return when `expire` has a connection to close; infinity if there is none."""
        return self._table.next_expiry(idle_timeout)

    def expire(self, now: float, idle_timeout: float, limit: int = EXPIRED_PER_PASS) -> None:
        """Close at most `limit` connections that have been idle for `idle_timeout`.

        A connection with unread bytes stays, and the next poll returns it.
        """
        for fd in self._table.expired(now, idle_timeout, limit):
            if unread_bytes(fd):
                entry = self._table.remove(fd)
                self._table.add(fd, max(entry.idle_since, now), entry.tag)  # the next pass skips it
            else:
                self.expired += 1
                self._close(fd)

    def evict_one(self) -> bool:
        """Close the longest idle connection without unread bytes; return whether there was one."""
        for fd in self._table.longest_idle(EVICTION_CANDIDATES):
            if not unread_bytes(fd):
                self.evicted += 1
                self._close(fd)
                return True
        return False

    def close_idle(self, limit: int) -> None:
        """Close at most `limit` connections, except those with unread bytes, which the next poll returns."""
        for fd in self._table.longest_idle(limit):
            if not unread_bytes(fd):
                self._close(fd)

    def close(self) -> None:
        """Close all connections, copies of lent ones and the poll set."""
        for fd in self._table.longest_idle(len(self._table)):
            self._close(fd)
        for fd in self._lent.longest_idle(len(self._lent)):
            self.close_lent(fd)
        self._poll.close()

    # Handover.

    def lend(self, limit: int) -> list[LentConnection]:
        """Remove at most `limit` connections, the longest idle first; keep copies of their descriptors."""
        lent = []
        for fd in self._table.longest_idle(limit):
            connection = self.detach(fd)
            self._lent.add(fd, connection.idle_since, connection.tag)
            lent.append(LentConnection(fd, connection.idle_since))
        return lent

    def close_lent(self, fd: int) -> None:
        """Close the copy of a connection that now belongs to the next process alone."""
        if fd in self._lent:
            entry = self._lent.remove(fd)
            os.close(fd)
            self._on_close(entry.tag)

    def take_back(self, fd: int) -> None:
        """Take back a lent connection for which the next process has no capacity."""
        if fd in self._lent:
            entry = self._lent.remove(fd)
            self.park(fd, entry.idle_since, entry.tag)

    def take_back_lent(self, limit: int) -> int:
        """Take back at most `limit` connections after the next process has ended; return how many remain."""
        for fd in self._lent.longest_idle(limit):
            entry = self._lent.remove(fd)
            try:
                self.park(fd, entry.idle_since, entry.tag)
            except OSError:  # the kernel's limit of epoll watches is reached
                os.close(fd)
                self._on_close(entry.tag)
        return len(self._lent)

    def forget_lender(self) -> None:
        """Record that the lender has ended: borrowed connections belong to this process alone."""
        self._lender_keys = array("i")
        self.unreported_keys.clear()

    def _close(self, fd: int) -> None:
        connection = self.detach(fd)
        os.close(fd)
        self._on_close(connection.tag)
