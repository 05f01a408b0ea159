"""A listening socket and the loop that accepts from it.

    closed ──(open)──> accepting <──> paused (full, or the system lacks a resource)
                         │   ^
            (set_passive)│   │(the next process is gone)
                         v   │
                       passive ──(close)──> closed

While there is no capacity, clients wait in the backlog, unless a connection can be evicted for them.

What must never happen: an eviction while no client waits; a loop that spins on an accept that fails.
"""

from __future__ import annotations

import asyncio
import select
import socket
from typing import Protocol

from eiderfield.exchange.timers import Timers
from eiderfield.net.faults import RETRY_DELAY_MS, Cause, classify_accept_error

ACCEPTED_PER_TURN = 16  # connections accepted, or handed over, in a turn of the loop
ACCEPT_RETRY_MS = RETRY_DELAY_MS  # ms until accepting is tried again when nothing could be evicted
BACKLOG = 512


class AcceptorOwner(Protocol):
    """The listener that accepted connections belong to."""

    @property
    def timers(self) -> Timers:
        """Timers on the listener's clock."""

    @property
    def full(self) -> bool:
        """Whether one more connection needs an eviction."""

    def clock(self) -> float:
        """Return the current time in ms."""

    def ensure_capacity(self) -> bool:
        """Return whether one more connection may be accepted, after an eviction if it needs one."""

    def accept_connection(self, sock: socket.socket, address: str) -> None:
        """Take an accepted connection; `address` is the client's, empty for a Unix socket."""


class Acceptor:
    """Accepts connections on one socket, a bounded number in a turn of the loop."""

    def __init__(self, owner: AcceptorOwner) -> None:
        """Create an acceptor without a socket."""
        self.passive = False  # whether another process accepts on the socket
        self._owner = owner
        self._loop: asyncio.AbstractEventLoop | None = None
        self._socket: socket.socket | None = None
        self._paused = False
        self._lacks_resources = False  # whether the system refused the last accept

    @property
    def listening_socket(self) -> socket.socket | None:
        """The listening socket, None while it is closed."""
        return self._socket

    @property
    def has_waiting_clients(self) -> bool:
        """Whether clients wait in the backlog for whom there is no capacity, or no descriptor."""
        return (self._owner.full or self._lacks_resources) and self.client_waits_in_backlog()

    def client_waits_in_backlog(self) -> bool:
        """Return whether the next accept would give a connection."""
        if self._socket is None:
            return False
        poll = select.poll()  # `select.select` knows no descriptor above 1,023
        poll.register(self._socket, select.POLLIN)
        return any(event & select.POLLIN for _, event in poll.poll(0))

    def open(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
        """Accept on a socket that listens already."""
        sock.setblocking(False)
        self._loop, self._socket = loop, sock
        loop.add_reader(sock, self.accept)

    def set_passive(self, passive: bool) -> None:
        """Leave accepting to another process that has the socket, or accept again."""
        if self._loop is not None and self._socket is not None:
            self._loop.remove_reader(self._socket)
            if not passive:
                self._loop.add_reader(self._socket, self.accept)
        self.passive, self._paused = passive, False

    def close(self) -> None:
        """Close the socket after accepting what the backlog holds, unless another process does."""
        if self._loop is None or self._socket is None:
            return
        if not self.passive:
            self.accept(BACKLOG)
        self._loop.remove_reader(self._socket)
        self._socket.close()
        self._socket = None

    def accept(self, limit: int = ACCEPTED_PER_TURN) -> None:
        """Accept at most `limit` connections."""
        accepted = 0
        for _ in range(limit):
            # Room is made for a client that waits: an eviction while nobody waits would be for nothing.
            if self._owner.full and not self.client_waits_in_backlog():
                return
            if not self._owner.ensure_capacity():
                # Clients wait in the backlog until a connection ends: closing one would lose its request.
                self._pause()
                return
            try:
                sock, address = self._accept_one()
            except BlockingIOError:
                self._lacks_resources = False
                return
            except OSError as error:
                if classify_accept_error(error) is Cause.CONNECTION:
                    continue  # it is off the queue, and others may wait behind it
                self._lacks_resources = True
                self._pause()  # the socket stays readable: accepting on would spin
                return
            self._lacks_resources = False
            accepted += 1
            self._owner.accept_connection(sock, address)
        if not accepted:  # a whole round of failures: one that goes on for ever must not spin either
            self._pause()

    def resume(self) -> None:
        """Accept again after a pause: a connection may have closed."""
        if self._paused and self._loop is not None and self._socket is not None:
            self._paused = False
            self._loop.add_reader(self._socket, self.accept)

    def _accept_one(self) -> tuple[socket.socket, str]:
        assert self._socket is not None
        sock, peer = self._socket.accept()
        sock.setblocking(False)
        return sock, peer[0] if peer else ""

    def _pause(self) -> None:
        if self._loop is not None and self._socket is not None and not self._paused:
            self._paused = True
            self._loop.remove_reader(self._socket)
            self._owner.timers.call_at(self._owner.clock() + ACCEPT_RETRY_MS, self.resume)


def open_socket(address: tuple[str, int], share: bool) -> socket.socket:
    """Return a socket that listens on an address.

    Args:
        address: host and port.
        share: whether a process may have the address already that does not hand its socket over.

    Raises:
        OSError: the system refuses.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if share:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind(address)
        # Set once the address is bound: a second program that is given it by mistake must still fail.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock
