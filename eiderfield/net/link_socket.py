"""The Unix socket at which the next process of a dispatcher connects for a handover.

Only processes of the same user can connect.
"""

from __future__ import annotations

import asyncio
import os
import socket
import struct
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from pathlib import Path

from eiderfield.net.faults import RETRY_DELAY_MS, Cause, classify_accept_error
from eiderfield.net.link import Link

MAX_PATH_BYTES = 100  # limit for a path that is used as a Unix address
LISTEN_BACKLOG = 2
SOCKET_MODE = 0o600

_PEER_CREDENTIALS = struct.Struct("3i")  # process, user, group


class LinkListener:
    """Listens for the next process of this dispatcher, which takes over from this one."""

    def __init__(self, loop: asyncio.AbstractEventLoop, path: Path, on_link: Callable[[Link], None]) -> None:
        """Create a listener that is not open yet; `on_link` is called with each established link."""
        self._loop = loop
        self._path = path
        self._on_link = on_link
        self._listener: socket.socket | None = None

    def open(self) -> None:
        """Listen at the path, in place of an earlier process; raises `OSError` if that fails."""
        listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        temporary_path = self._path.with_name(f"{self._path.name}.{os.getpid()}")
        try:
            with suppress(FileNotFoundError):
                temporary_path.unlink()
            with _socket_address(temporary_path) as address:
                listener.bind(address)
            temporary_path.chmod(SOCKET_MODE)
            listener.listen(LISTEN_BACKLOG)
            listener.setblocking(False)
            temporary_path.replace(self._path)
        except OSError:
            listener.close()
            raise
        self._listener = listener
        self._loop.add_reader(listener, self._accept)

    def close(self, unlink: bool) -> None:
        """Stop listening; `unlink` removes the path. Pass False if another process listens there already."""
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
            if classify_accept_error(error) is Cause.LOCAL:  # an immediate retry would run in a busy loop
                self._loop.remove_reader(self._listener)
                self._loop.call_later(RETRY_DELAY_MS / 1000.0, self._resume_accepting, self._listener)
            return
        if _belongs_to_this_user(sock):
            self._on_link(Link(self._loop, sock))
        else:
            sock.close()

    def _resume_accepting(self, listener: socket.socket) -> None:
        if listener is self._listener:  # it may have been closed or replaced meanwhile
            self._loop.add_reader(listener, self._accept)


def connect_link(loop: asyncio.AbstractEventLoop, path: Path) -> Link | None:
    """Connect to the process that listens at `path`; return None if no process can be reached there."""
    try:
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    except OSError:  # the system does not provide such sockets: the process starts without a handover
        return None
    sock.setblocking(False)  # a peer that does not respond must not block the start
    try:
        with _socket_address(path) as address:
            sock.connect(address)
    except OSError:
        sock.close()
        return None
    if not _belongs_to_this_user(sock):
        sock.close()
        return None
    return Link(loop, sock)


def _belongs_to_this_user(sock: socket.socket) -> bool:
    """Return whether the peer runs as this user.

    The socket may be in a directory for temporary files, to which other users have access.
    """
    credentials = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, _PEER_CREDENTIALS.size)
    _, user, _ = _PEER_CREDENTIALS.unpack(credentials)
    return bool(user == os.getuid())


@contextmanager
def _socket_address(path: Path) -> Iterator[str]:
    """Yield a Unix address for `path`.

    A path that is too long for an address is expressed by a descriptor of its directory.
    """
    if len(os.fsencode(path)) <= MAX_PATH_BYTES:
        yield str(path)
        return
    directory = os.open(path.parent, os.O_PATH | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        yield f"/proc/self/fd/{directory}/{path.name}"
    finally:
        os.close(directory)
