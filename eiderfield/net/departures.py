"""Notices that a peer has left a connection that is not being read.

A transport whose reading is paused reports nothing: neither an end nor a reset. A client that has sent too
much, or that leaves its answers unread, is not read for a while and may leave meanwhile. So a poll set of its
own watches such connections for their peers' departure alone (EPOLLRDHUP, which unread bytes before it do not
hide), and not for bytes.

    read ──(watch, when reading is paused)──> watched ──(forget, when it is read again or over)──> read
                                                 └──(the peer has left)──> forgotten, then reported, once

What must never happen: a descriptor in the set that its owner has closed, for its number may be somebody
else's by then. Owners forget before they close.
"""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable
from contextlib import suppress

REPORTED_PER_POLL = 64  # departures reported in one poll

_LEFT = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def has_left(fd: int) -> bool:
    """Whether a connection's peer has closed it, ended its sending or reset it, whatever lies unread."""
    if fd < 0:
        return True
    poll = select.poll()  # `select.select` knows no descriptor above 1,023
    poll.register(fd, select.POLLRDHUP)
    return any(event & _LEFT for _, event in poll.poll(0))


class DepartureWatch:
    """The connections of one loop that are not read at present."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Watches nothing yet."""
        self._loop = loop
        self._poll: select.epoll | None = None
        self._watched: dict[int, Callable[[], None]] = {}

    def watch(self, fd: int, on_departure: Callable[[], None]) -> None:
        """Calls `on_departure`, once, when the peer has closed, ended its sending or reset.

        Where the system refuses a poll set, a departure shows when the connection is read again."""
        with suppress(OSError):
            if self._poll is None:
                self._poll = select.epoll()
                self._loop.add_reader(self._poll.fileno(), self._report_departures)
            if fd not in self._watched:
                self._poll.register(fd, select.EPOLLRDHUP)
            self._watched[fd] = on_departure

    def forget(self, fd: int) -> None:
        """Stops watching a connection."""
        if self._watched.pop(fd, None) is not None and self._poll is not None:
            with suppress(OSError):
                self._poll.unregister(fd)

    def close(self) -> None:
        """Stops watching all connections."""
        if self._poll is not None:
            self._loop.remove_reader(self._poll.fileno())
            self._poll.close()
            self._poll = None
        self._watched.clear()

    def _report_departures(self) -> None:
        assert self._poll is not None
        for fd, _ in self._poll.poll(0, REPORTED_PER_POLL):
            on_departure = self._watched.get(fd)
            self.forget(fd)
            if on_departure is not None:
                on_departure()
