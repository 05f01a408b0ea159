"""Detection of peers that close a connection while reading from it is paused.

A transport whose reading is paused reports neither the end of the stream nor a reset. The dispatcher pauses
reading from a client that has sent too much or does not read its responses, and the client may close the
connection meanwhile, which is called its departure. A separate epoll set watches such connections for
EPOLLRDHUP only, which is reported in spite of unread bytes, and not for readable bytes.

    not watched ──(watch, when reading pauses)──> watched ──(forget, on resumption or closing)──> not watched
                                                     └──(departure: reported once)──> not watched

Invariant: no closed descriptor is in the set, since its number may be reused. Owners call `forget`
before they close a descriptor.
"""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable
from contextlib import suppress

MAX_REPORTED_PER_POLL = 64  # departures

_CLOSE_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def has_peer_closed(fd: int) -> bool:
    """Return whether a connection's peer has closed, half-closed or reset it, in spite of unread bytes."""
    if fd < 0:
        return True
    poll = select.poll()  # `select.select` supports no descriptor above 1,023
    poll.register(fd, select.POLLRDHUP)
    return any(event & _CLOSE_EVENTS for _, event in poll.poll(0))


class DepartureWatch:
    """Watches the connections of one event loop that are not being read."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Create a watch without connections."""
        self._loop = loop
        self._poll: select.epoll | None = None
        self._watched: dict[int, Callable[[], None]] = {}

    def watch(self, fd: int, on_departure: Callable[[], None]) -> None:
        """Call `on_departure`, once, when the peer has closed, half-closed or reset the connection.

        If the system refuses an epoll set, a departure is detected when the connection is read again.
        """
        with suppress(OSError):
            if self._poll is None:
                self._poll = select.epoll()
                self._loop.add_reader(self._poll.fileno(), self._report_departures)
            if fd not in self._watched:
                self._poll.register(fd, select.EPOLLRDHUP)
            self._watched[fd] = on_departure

    def forget(self, fd: int) -> None:
        """Stop watching a connection."""
        if self._watched.pop(fd, None) is not None and self._poll is not None:
            with suppress(OSError):
                self._poll.unregister(fd)

    def close(self) -> None:
        """Stop watching all connections."""
        if self._poll is not None:
            self._loop.remove_reader(self._poll.fileno())
            self._poll.close()
            self._poll = None
        self._watched.clear()

    def _report_departures(self) -> None:
        assert self._poll is not None
        for fd, _ in self._poll.poll(0, MAX_REPORTED_PER_POLL):
            on_departure = self._watched.get(fd)
            self.forget(fd)
            if on_departure is not None:
                on_departure()
