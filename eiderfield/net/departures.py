"""Notices that a peer has gone on a connection that is not being read.

A transport whose reading is paused tells of nothing: neither of an end nor of a reset. A client of which too
much has come, or which leaves its answers unread, is not read for that while, and it may go during it. So a
poll set of its own watches such connections for their peers' going alone (EPOLLRDHUP, which what lies unread
before it does not hide), and not for bytes.

    read ──(watch, when reading is paused)──> watched ──(forget, when it is read again or over)──> read
                                                 └──(the peer has gone)──> forgotten, then told, once

What must never happen: a descriptor in the set that its owner has closed, for its number may be somebody
else's by then. Owners forget before they close.
"""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable
from contextlib import suppress

AT_ONCE = 64  # departures told of in one look

_LEFT = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def has_left(fd: int) -> bool:
    """Whether a connection's peer has closed it, ended its sending or reset it, whatever lies unread."""
    if fd < 0:
        return True
    poll = select.poll()  # `select.select` knows no descriptor above 1,023
    poll.register(fd, select.POLLRDHUP)
    return any(event & _LEFT for _, event in poll.poll(0))


class Departures:
    """The connections of one loop that are not read at present."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Watches nothing yet."""
        self._loop = loop
        self._poll: select.epoll | None = None
        self._watched: dict[int, Callable[[], None]] = {}

    def watch(self, fd: int, gone: Callable[[], None]) -> None:
        """Calls `gone`, once, when the peer has closed, ended its sending or reset. Without a poll set the
        connection is as it was: its going shows when it is read again."""
        with suppress(OSError):
            if self._poll is None:
                self._poll = select.epoll()
                self._loop.add_reader(self._poll.fileno(), self._look)
            if fd not in self._watched:
                self._poll.register(fd, select.EPOLLRDHUP)
            self._watched[fd] = gone

    def forget(self, fd: int) -> None:
        """Watches a connection no more."""
        if self._watched.pop(fd, None) is not None and self._poll is not None:
            with suppress(OSError):
                self._poll.unregister(fd)

    def close(self) -> None:
        """Watches nothing any more."""
        if self._poll is not None:
            self._loop.remove_reader(self._poll.fileno())
            self._poll.close()
            self._poll = None
        self._watched.clear()

    def _look(self) -> None:
        assert self._poll is not None
        for fd, _ in self._poll.poll(0, AT_ONCE):
            gone = self._watched.get(fd)
            self.forget(fd)
            if gone is not None:
                gone()
