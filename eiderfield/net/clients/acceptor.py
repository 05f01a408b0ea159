"""A listening socket and the loop that accepts from it.

    closed ──(open)──> accepting <──> paused (full, or the system lacks a resource)
                         │   ^
            (set_passive)│   │(the next process has ended)
                         v   │
                       passive ──(close)──> closed

While there is no capacity, clients wait in the backlog, unless a connection can be evicted for them.

Invariants: no connection is evicted while no client waits, and none that has just been accepted; an accept
that fails is not repeated in a busy loop.
"""

from __future__ import annotations

import asyncio
import select
import socket
from typing import Protocol

from eiderfield.exchange.timers import Timers
from eiderfield.net.faults import RETRY_DELAY_MS, Cause, classify_accept_error

ACCEPTED_PER_TURN = 16  # connections accepted, or handed over, in a turn of the loop
ACCEPT_RETRY_MS = RETRY_DELAY_MS  # before accepting again after a failure, or if nothing could be evicted
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

    @property
    def next_eviction_is_new(self) -> bool:
        """Whether the connection that would be evicted next has just been accepted."""

    def ensure_capacity(self) -> bool:
        """Evict a connection if one more needs it; return whether one more may be accepted."""

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
        poll = select.poll()  # `select.select` supports no descriptor above 1,023
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
        """Accept the connections in the backlog, unless another process does; then close the socket."""
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
            # A connection is evicted only for a client that is waiting in the backlog.
            if self._owner.full and not self.client_waits_in_backlog():
                return
            if self._owner.full and self._owner.next_eviction_is_new:
                # Its first request may be on its way: the client in the backlog waits until it is overdue.
                self._pause()
                return
            if not self._owner.ensure_capacity():
                # Closing a connection would lose its request: clients wait in the backlog until one ends.
                self._pause()
                return
            try:
                sock, address = self._accept_one()
            except BlockingIOError:
                self._lacks_resources = False
                return
            except OSError as error:
                if classify_accept_error(error) is Cause.CONNECTION:
                    continue  # this connection has left the backlog, and others may wait behind it
                self._lacks_resources = True
                self._pause()  # the socket stays readable, so accepting again at once would spin
                return
            self._lacks_resources = False
            accepted += 1
            self._owner.accept_connection(sock, address)
        if not accepted:  # every accept failed: without a pause, a lasting failure would spin
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
        share: whether to share the address with a process that does not hand its socket over.

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
        # Set after the bind: a program that is given a used address by mistake must fail to bind it.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock
