"""How the two processes of an upgrade find each other: a Unix socket at a path, for one user alone."""

from __future__ import annotations

import asyncio
import os
import socket
import struct
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from pathlib import Path

from eiderfield.net.faults import RETRY_MS, Cause, cause_of_accept
from eiderfield.net.link import Link

MAX_PATH = 100  # bytes of a path that a Unix address holds
BACKLOG = 2
OWNER_ONLY = 0o600

_PEER_CREDENTIALS = struct.Struct("3i")  # process, user, group


class LinkListener:
    """Listens for the process that is to take over."""

    def __init__(self, loop: asyncio.AbstractEventLoop, path: Path, on_link: Callable[[Link], None]) -> None:
        """`on_link` gets each link that comes up."""
        self._loop = loop
        self._path = path
        self._on_link = on_link
        self._listener: socket.socket | None = None

    def open(self) -> None:
        """Puts the socket in the place of an earlier process's; raises `OSError` if that fails."""
        listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        draft = self._path.with_name(f"{self._path.name}.{os.getpid()}")
        try:
            with suppress(FileNotFoundError):
                draft.unlink()
            with _short_path(draft) as address:
                listener.bind(address)
            draft.chmod(OWNER_ONLY)
            listener.listen(BACKLOG)
            listener.setblocking(False)
            draft.replace(self._path)
        except OSError:
            listener.close()
            raise
        self._listener = listener
        self._loop.add_reader(listener, self._accept)

    def close(self, unlink: bool) -> None:
        """Listens no more; `unlink` where no other process's socket stands in its place."""
        if self._listener is None:
            return
        self._loop.remove_reader(self._listener)
        self._listener.close()
        self._listener = None
        if unlink:
            with suppress(OSError):
                self._path.unlink()

    def _accept(self) -> None:
        assert self._listener is not None
        try:
            sock, _ = self._listener.accept()
        except BlockingIOError:
            return
        except OSError as error:
            if cause_of_accept(error) is Cause.LOCAL:  # asked again at once it would spin
                self._loop.remove_reader(self._listener)
                self._loop.call_later(RETRY_MS / 1000.0, self._resume_accepting, self._listener)
            return
        if _belongs_to_this_user(sock):
            self._on_link(Link(self._loop, sock))
        else:
            sock.close()

    def _resume_accepting(self, listener: socket.socket) -> None:
        if listener is self._listener:  # it may have been closed, or opened anew
            self._loop.add_reader(listener, self._accept)


def connect_link(loop: asyncio.AbstractEventLoop, path: Path) -> Link | None:
    """The link to the process that listens there, None if there is none or the system has no such sockets."""
    try:
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    except OSError:  # refused outright: who can't be reached can't hand over, and the start goes on
        return None
    sock.setblocking(False)  # a peer that stands still must not block the start
    try:
        with _short_path(path) as address:
            sock.connect(address)
    except OSError:
        sock.close()
        return None
    if not _belongs_to_this_user(sock):
        sock.close()
        return None
    return Link(loop, sock)


def _belongs_to_this_user(sock: socket.socket) -> bool:
    """Whether the other end does: a directory for temporary files may be open to others."""
    credentials = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, _PEER_CREDENTIALS.size)
    _, user, _ = _PEER_CREDENTIALS.unpack(credentials)
    return bool(user == os.getuid())


@contextmanager
def _short_path(path: Path) -> Iterator[str]:
    """The path, by way of its directory's descriptor where it is too long for a Unix address."""
    if len(os.fsencode(path)) <= MAX_PATH:
        yield str(path)
        return
    folder = os.open(path.parent, os.O_PATH | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        yield f"/proc/self/fd/{folder}/{path.name}"
    finally:
        os.close(folder)
