"""Idle client connections: a poll set that holds their descriptors, and a few bytes for each.

The poll set's own descriptor is readable when one of those that it holds is, so whoever runs the loop watches
one descriptor, however many connections are idle.

    idle ──(bytes)──> woken: out of the set, handed to the owner as it is
      │  └──(closed by the client, nothing unread)──> closed here
      └──(expired, or evicted)──> closed here

In an upgrade idle connections go to the next process in batches. The old process may keep its copy of each
descriptor outside its poll set: lent, so that a next process that dies loses no client. The next one reports
each that leaves its set, before a byte of it is read, and the old one closes its copy; as long as that is
open, a connection that the next one closes is not over for its client.

    idle ──(lend)──> lent ──(the next process has reported it)──> closed here, for it is that one's alone
      ^                └──(the next process is gone)──┐
      └───────────────────────────────────────────────┘

The poll set is level-triggered: bytes that came before a connection fell idle, or between two polls, are
reported at the next one, so no message is missed. A poll hands over a bounded number.
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

from eiderfield.connections.idle_table import IdleTable

WOKEN_PER_POLL = 8  # connections handed over in one poll: about 1 ms of building them anew
EXPIRED_PER_PASS = 4  # closed in one pass as expired: about 0.1 ms, and 1,000 a second in all
EVICTION_CANDIDATES = 32  # connections examined for one that may be evicted

_WATCHED = select.EPOLLIN | select.EPOLLRDHUP


@dataclass(slots=True, frozen=True)
class WokenConnection:
    """A connection on which something came. Its descriptor is the owner's again."""

    fd: int
    since: float  # ms; when it was last answered
    mark: int


def unread_bytes(fd: int) -> int:
    """How many bytes lie unread in a socket; 0 for one that is broken."""
    return _queued_bytes(fd, FIONREAD)


def unsent_bytes(fd: int) -> int:
    """How many bytes written to a socket have not arrived at the other end; 0 for one that is broken."""
    return _queued_bytes(fd, TIOCOUTQ)


def _queued_bytes(fd: int, request: int) -> int:
    count = array("i", [0])
    with suppress(OSError, ValueError):
        ioctl(fd, request, count)
    return count[0]


class IdleConnections:
    """Idle connections by descriptor. It closes what ends here; what wakes belongs to the caller again."""

    def __init__(self, on_close: Callable[[int], None] = lambda mark: None) -> None:
        """`on_close` is called with the mark of each connection that is closed here."""
        self.woken = self.expired = self.closed_by_client = self.evicted = 0  # how they went, so far
        self._on_close = on_close
        self._poll = select.epoll()
        self._table = IdleTable()
        self._lent = IdleTable()
        self._lender = array("i")  # by descriptor, the lender's name for it plus 1, 0 for our own
        self.unreported: list[int] = []  # the lender's names of those that left, until it is told

    @property
    def lent(self) -> int:
        """How many the next process has, of which this one keeps copies."""
        return len(self._lent)

    def __len__(self) -> int:
        """How many are idle here."""
        return len(self._table)

    def __contains__(self, fd: int) -> bool:
        """Whether a descriptor is idle here."""
        return fd in self._table

    def fileno(self) -> int:
        """What to watch: readable when an idle connection is."""
        return self._poll.fileno()

    def park(self, fd: int, since: float, mark: int = 0, lender: int | None = None) -> None:
        """Takes a descriptor that was last answered at `since` (ms); `lender` is its name at the process that
        lends it. Raises `OSError` if it cannot be polled: the descriptor is the caller's then."""
        self._poll.register(fd, _WATCHED)
        self._table.add(fd, since, mark)
        if lender is not None:
            self._lender.extend([0] * (fd + 1 - len(self._lender)))
            self._lender[fd] = lender + 1

    def poll_ready(self, most: int = WOKEN_PER_POLL) -> list[WokenConnection]:
        """Connections on which something came, a bounded number. Those that were merely closed are closed."""
        woken = []
        for fd, _ in self._poll.poll(0, most):
            if unread_bytes(fd):
                self.woken += 1
                woken.append(self.detach(fd))
            else:  # closed or reset: it is not worth a connection of the program's
                self.closed_by_client += 1
                self._close(fd)
        return woken

    def detach(self, fd: int) -> WokenConnection:
        """Gives a descriptor back to the caller."""
        since, mark = self._table.remove(fd)
        self._poll.unregister(fd)
        if fd < len(self._lender) and self._lender[fd]:
            self.unreported.append(self._lender[fd] - 1)
            self._lender[fd] = 0
        return WokenConnection(fd, since, mark)

    def lend(self, most: int) -> list[tuple[int, float]]:
        """Up to so many go to the next process: their descriptors, which stay open here as copies, and since
        when they idle. The longest idle go first."""
        found = []
        for fd in self._table.eldest(most):
            woken = self.detach(fd)
            self._lent.add(fd, woken.since, woken.mark)
            found.append((fd, woken.since))
        return found

    def close_lent(self, fd: int) -> None:
        """Closes the copy of a connection that the next process has for good."""
        if fd in self._lent:
            _, mark = self._lent.remove(fd)
            os.close(fd)
            self._on_close(mark)

    def take_back_lent(self, most: int) -> int:
        """Takes at most `most` back from a next process that is gone; gives how many remain lent."""
        for fd in self._lent.eldest(most):
            since, mark = self._lent.remove(fd)
            try:
                self.park(fd, since, mark)
            except OSError:  # the kernel has no room for it in a poll set
                os.close(fd)
                self._on_close(mark)
        return len(self._lent)

    def take_back(self, fd: int) -> None:
        """Takes one connection back, for which the next process has no capacity."""
        if fd in self._lent:
            since, mark = self._lent.remove(fd)
            self.park(fd, since, mark)

    def forget_lender(self) -> None:
        """Notes that the lender is gone: what it lent is this process's alone."""
        self._lender = array("i")
        self.unreported.clear()

    def longest_idle(self, most: int) -> list[int]:
        """At most `most` descriptors, the longest idle first. They stay."""
        return self._table.eldest(most)

    def next_expiry(self, keep: float) -> float:
        """When `expire` has something to do, for an idle time of `keep` ms; infinity if there is none."""
        return self._table.next_expiry(keep)

    def expire(self, now: float, keep: float, most: int = EXPIRED_PER_PASS) -> None:
        """Closes those that have idled for `keep` ms, a bounded number. One on which something came at this
        very moment stays, and wakes."""
        for fd in self._table.expired(now, keep, most):
            if unread_bytes(fd):
                since, mark = self._table.remove(fd)
                self._table.add(fd, max(since, now), mark)  # or it would be found here again and again
            else:
                self.expired += 1
                self._close(fd)

    def evict_one(self) -> bool:
        """Closes the longest idle connection on which nothing has come, if there is one."""
        for fd in self._table.eldest(EVICTION_CANDIDATES):
            if not unread_bytes(fd):
                self.evicted += 1
                self._close(fd)
                return True
        return False

    def close_idle(self, most: int) -> None:
        """Closes those on which nothing can cross, a bounded number. The others wake."""
        for fd in self._table.eldest(most):
            if not unread_bytes(fd):
                self._close(fd)

    def close(self) -> None:
        """Closes everything."""
        for fd in self._table.eldest(len(self._table)):
            self._close(fd)
        for fd in self._lent.eldest(len(self._lent)):
            self.close_lent(fd)
        self._poll.close()

    def _close(self, fd: int) -> None:
        mark = self.detach(fd).mark
        os.close(fd)
        self._on_close(mark)
