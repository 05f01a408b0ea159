"""A shim under sockets and poll sets that makes system calls fail: the n-th call of a kind, with an errno.

It wraps the methods of `socket.socket` that asyncio's transports call, and the epoll object below asyncio's
selector. Only calls of the thread that installs it count, and only on IPv4 sockets: the dispatcher's loop
runs in that thread; the clients, workers and discovery that a test plays run in others and are left alone.
"""

from __future__ import annotations

import errno
import os
import select
import selectors
import socket
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass
from enum import Enum
from typing import Any

import pytest


class Call(Enum):
    """A kind of system call."""

    ACCEPT = "accept"
    SOCKET = "socket"
    CONNECT = "connect"
    RECEIVE = "recv_into"
    SEND = "send"
    REGISTER = "epoll_ctl add"
    WAIT = "epoll_wait"


SHORT = 0  # in the place of an errno: the call moves one byte alone


@dataclass(frozen=True)
class Failure:
    """Calls that fail: those of a kind from the `first` (the first of all is 1), `count` in a row."""

    call: Call
    first: int
    error: int
    count: int = 1

    def __str__(self) -> str:
        how = errno.errorcode.get(self.error, "short")
        return f"{self.call.value}-{self.first}-{how}" + (f"-x{self.count}" if self.count > 1 else "")


class FailingCalls:
    """Counts the calls of one thread by kind and fails the chosen ones."""

    def __init__(self, failure: Failure | None) -> None:
        self.failure = failure
        self.calls = dict.fromkeys(Call, 0)
        self.failed: list[frozenset[int]] = []  # of each call that failed: the ports of its socket's two ends
        self._thread = threading.get_ident()
        self.start: Callable[[], None] = lambda: None  # begins to count, and to fail calls

    def due(self, call: Call, sock: socket.socket | None = None, address: object = None) -> bool:
        """Counts a call; whether it is to fail."""
        if threading.get_ident() != self._thread:
            return False
        if sock is not None and sock.family != socket.AF_INET:  # the loop's own pair of sockets
            return False
        self.calls[call] += 1
        failure = self.failure
        if failure is None or failure.call != call:
            return False
        if not failure.first <= self.calls[call] < failure.first + failure.count:
            return False
        self.failed.append(_ports(sock, address))
        return True

    def fails_with(self, error: int) -> bool:
        """Return whether the chosen calls fail with `error`."""
        return self.failure is not None and self.failure.error == error

    def error(self) -> OSError:
        """The error of a call that fails."""
        assert self.failure is not None
        return OSError(self.failure.error, os.strerror(self.failure.error))


def _ports(sock: socket.socket | None, address: object) -> frozenset[int]:
    found = {address[1]} if isinstance(address, tuple) else set()
    if sock is not None:
        with suppress(OSError):
            found.add(sock.getsockname()[1])
        with suppress(OSError):
            found.add(sock.getpeername()[1])
    return frozenset(found)


class _Epoll:
    """A poll set whose calls are counted and may fail."""

    def __init__(self, failing: FailingCalls) -> None:
        self._failing = failing
        self._epoll = select.epoll()

    def register(self, fd: int, events: int) -> None:
        if self._failing.due(Call.REGISTER):
            raise self._failing.error()
        self._epoll.register(fd, events)

    def poll(self, timeout: float = -1, maxevents: int = -1) -> list[tuple[int, int]]:
        if self._failing.due(Call.WAIT):
            raise self._failing.error()
        return self._epoll.poll(timeout, maxevents)

    def __getattr__(self, name: str) -> object:
        return getattr(self._epoll, name)


@contextmanager
def failing_calls(monkeypatch: pytest.MonkeyPatch, failure: Failure | None) -> Iterator[FailingCalls]:
    """Installs the shim for sockets, and for poll sets made from now on, and takes it away again.

    Counting begins with `start`: what a test does before that to set the scene is not touched.
    """
    failing = FailingCalls(None)
    with monkeypatch.context() as patch:
        _wrap_sockets(patch, failing)
        patch.setattr(selectors.EpollSelector, "_selector_cls", staticmethod(lambda: _Epoll(failing)))

        def start() -> None:
            failing.calls = dict.fromkeys(Call, 0)
            failing.failure = failure

        failing.start = start
        yield failing


def _wrap_sockets(patch: pytest.MonkeyPatch, failing: FailingCalls) -> None:
    kind = socket.socket
    init, accept, connect = kind.__init__, kind.accept, kind.connect
    receive, send = kind.recv_into, kind.send

    def failing_init(
        sock: socket.socket, family: int = -1, type: int = -1, proto: int = -1, fileno: int | None = None
    ) -> None:
        if fileno is None and family in (-1, socket.AF_INET) and failing.due(Call.SOCKET):
            raise failing.error()
        init(sock, family, type, proto, fileno)

    def failing_accept(sock: socket.socket) -> tuple[socket.socket, Any]:
        if failing.due(Call.ACCEPT, sock):
            raise failing.error()
        return accept(sock)

    def failing_connect(sock: socket.socket, address: Any) -> None:
        if failing.due(Call.CONNECT, sock, address):
            if failing.fails_with(errno.EINTR):  # the connection is made in the background then
                with suppress(BlockingIOError):
                    connect(sock, address)
            raise failing.error()
        return connect(sock, address)

    def failing_receive(sock: socket.socket, buffer: Any, size: int = 0, flags: int = 0) -> int:
        if failing.due(Call.RECEIVE, sock):
            if not failing.fails_with(SHORT):
                raise failing.error()
            size = 1
        return receive(sock, buffer, size, flags)

    def failing_send(sock: socket.socket, data: Any, flags: int = 0) -> int:
        if failing.due(Call.SEND, sock):
            if not failing.fails_with(SHORT):
                raise failing.error()
            data = memoryview(data)[:1]
        return send(sock, data, flags)

    patch.setattr(kind, "__init__", failing_init)
    patch.setattr(kind, "accept", failing_accept)
    patch.setattr(kind, "connect", failing_connect)
    patch.setattr(kind, "recv_into", failing_receive, raising=False)
    patch.setattr(kind, "send", failing_send, raising=False)
