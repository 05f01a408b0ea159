"""Where quiet connections are parked: a poll set that holds their descriptors and nothing else of them.

Theory of operation. A lot is a poll set of its own. Its descriptor is readable when one of those that it
holds is, so whoever turns a loop (the dispatcher's, or a holder's) watches one descriptor, however many are
parked.

    parked ──(bytes)──> woken: out of the set, handed to the owner as it is
      │  └──(closed by the client, nothing unread)──> closed here
      └──(its time has ended, or it gives way)──> closed here

In an upgrade parked connections go to the next process in batches. The old one may keep its copy of each
descriptor, outside its poll set: lent, so that a next process that dies has lost nobody. The next one tells
of each that departs from its lot, before a byte of it is read, and the old one closes its copy; as long as
that is open, a connection that the next one closes is not over for its client.

    parked ──(lend)──> lent ──(the next process has seen it depart)──> closed here, for it is that one's alone
       ^                 └──(the next process is gone)──┐
       └────────────────────────────────────────────────┘

The poll set tells levels, not edges: bytes that came before a connection was parked, or between two looks,
are told of at the next look, so there is no moment at which a message is missed. A look hands over a
bounded number.
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

from eiderfield.crowd.roster import Roster

WAKE_AT_ONCE = 8  # connections that wake in one look: about 1 ms of building them anew
END_AT_ONCE = 4  # closed in one look because their time has ended: about 0.1 ms, and 1,000 a second in all
LOOKED_AT = 32  # looked at for one that may give way

_WATCHED = select.EPOLLIN | select.EPOLLRDHUP


@dataclass(slots=True, frozen=True)
class Woken:
    """A connection on which something came. Its descriptor is the owner's again."""

    fd: int
    since: float  # ms; when it was last answered
    mark: int


def unread(fd: int) -> int:
    """How many bytes lie unread in a socket; 0 for one that is broken."""
    return _asked(fd, FIONREAD)


def unsent(fd: int) -> int:
    """How many bytes written to a socket have not arrived at the other end; 0 for one that is broken."""
    return _asked(fd, TIOCOUTQ)


def _asked(fd: int, request: int) -> int:
    count = array("i", [0])
    with suppress(OSError, ValueError):
        ioctl(fd, request, count)
    return count[0]


class Lot:
    """Parked connections by descriptor. It closes what ends here; what wakes belongs to the caller again."""

    def __init__(self, gone: Callable[[int], None] = lambda mark: None) -> None:
        self.woken = self.expired = self.left = self.gave_way = 0  # how parked connections went, so far
        self._gone = gone  # told the mark of each one that is closed here
        self._poll = select.epoll()
        self._roster = Roster()
        self._lent = Roster()
        self._lender = array("i")  # by descriptor, the lender's name for it plus 1, 0 for our own
        self.departed: list[int] = []  # the lender's names of those that left this lot, until it is told

    @property
    def lent(self) -> int:
        """How many the next process has, of which this one keeps copies."""
        return len(self._lent)

    def __len__(self) -> int:
        return len(self._roster)

    def __contains__(self, fd: int) -> bool:
        return fd in self._roster

    def fileno(self) -> int:
        """What to watch: readable when a parked connection is."""
        return self._poll.fileno()

    def park(self, fd: int, since: float, mark: int = 0, lender: int | None = None) -> None:
        """Takes a descriptor that was last answered at `since` (ms); `lender` is its name at the process that
        lends it. Raises `OSError` if it cannot be polled: the descriptor is the caller's then."""
        self._poll.register(fd, _WATCHED)
        self._roster.join(fd, since, mark)
        if lender is not None:
            self._lender.extend([0] * (fd + 1 - len(self._lender)))
            self._lender[fd] = lender + 1

    def look(self, most: int = WAKE_AT_ONCE) -> list[Woken]:
        """Those on which something came, a bounded number. Who has merely closed is closed."""
        woken = []
        for fd, _ in self._poll.poll(0, most):
            if unread(fd):
                self.woken += 1
                woken.append(self.take(fd))
            else:  # closed or reset: it is not worth a connection of the program's
                self.left += 1
                self._close(fd)
        return woken

    def take(self, fd: int) -> Woken:
        """Gives a descriptor back to the caller."""
        since, mark = self._roster.leave(fd)
        self._poll.unregister(fd)
        if fd < len(self._lender) and self._lender[fd]:
            self.departed.append(self._lender[fd] - 1)
            self._lender[fd] = 0
        return Woken(fd, since, mark)

    def lend(self, most: int) -> list[tuple[int, float]]:
        """Up to so many go to the next process: their descriptors, which stay open here as copies, and since
        when they are quiet. The longest quiet go first."""
        found = []
        for fd in self._roster.some(most):
            woken = self.take(fd)
            self._lent.join(fd, woken.since, woken.mark)
            found.append((fd, woken.since))
        return found

    def lent_departs(self, fd: int) -> None:
        """The next process has seen it depart, or keeps it for good: this one's copy is closed."""
        if fd in self._lent:
            _, mark = self._lent.leave(fd)
            os.close(fd)
            self._gone(mark)

    def lent_returns(self, most: int) -> int:
        """The next process is gone: up to so many are parked here again. Gives how many are still lent."""
        for fd in self._lent.some(most):
            since, mark = self._lent.leave(fd)
            try:
                self.park(fd, since, mark)
            except OSError:  # the kernel has no room for it in a poll set
                os.close(fd)
                self._gone(mark)
        return len(self._lent)

    def lent_is_refused(self, fd: int) -> None:
        """The next process has no room for it."""
        if fd in self._lent:
            since, mark = self._lent.leave(fd)
            self.park(fd, since, mark)

    def own(self) -> None:
        """The lender is gone: what it lent is this process's alone."""
        self._lender = array("i")
        self.departed.clear()

    def some(self, most: int) -> list[int]:
        """Up to so many of the parked descriptors, the longest quiet first. They stay parked."""
        return self._roster.some(most)

    def ends_at(self, keep: float) -> float:
        """When `end` has something to do, for an idle time of `keep` ms; infinity if nobody is parked."""
        return self._roster.ends_at(keep)

    def end(self, now: float, keep: float, most: int = END_AT_ONCE) -> None:
        """Closes those that were quiet for `keep` ms, a bounded number. One on which something came at this
        very moment stays, and wakes."""
        for fd in self._roster.ended(now, keep, most):
            if unread(fd):
                since, mark = self._roster.leave(fd)
                self._roster.join(fd, max(since, now), mark)  # or it would be found here again and again
            else:
                self.expired += 1
                self._close(fd)

    def give_way(self) -> bool:
        """Closes the one that was quiet for longest, if there is one that may go."""
        for fd in self._roster.some(LOOKED_AT):
            if not unread(fd):
                self.gave_way += 1
                self._close(fd)
                return True
        return False

    def close_quiet(self, most: int) -> None:
        """Closes those on which nothing can cross, a bounded number. The others wake."""
        for fd in self._roster.some(most):
            if not unread(fd):
                self._close(fd)

    def close(self) -> None:
        """Closes everything."""
        for fd in self._roster.some(len(self._roster)):
            self._close(fd)
        for fd in self._lent.some(len(self._lent)):
            self.lent_departs(fd)
        self._poll.close()

    def _close(self, fd: int) -> None:
        mark = self.take(fd).mark
        os.close(fd)
        self._gone(mark)
