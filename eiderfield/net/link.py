"""The Unix socket between the two processes of an upgrade.

Packets carry JSON and, with it, descriptors. asyncio has no transport that carries descriptors, so these
sockets are read with the loop's plain readers.
"""

from __future__ import annotations

import asyncio
import json
import os
import socket
import struct
from collections import deque
from collections.abc import Callable, Iterator, Mapping, Sequence
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Any

from eiderfield.net.faults import RETRY_MS, Cause, cause_of_accept, cause_of_loss

PIECE = 60_000  # bytes of a packet: well within a socket's buffer
MOST = 8 * 1024 * 1024  # bytes of a message, and of what may wait to leave
FDS_MOST = 250  # descriptors of a message: the kernel takes 253 with a packet
PATH_MOST = 100  # bytes of a path that a Unix address holds

_MORE, _LAST = b"+", b"."


class Link:
    """One end. Messages and their descriptors arrive whole and in order, or the link is lost."""

    def __init__(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
        self.receive: Callable[[dict[str, Any], list[int]], None] = lambda told, fds: None
        self.lost: Callable[[], None] = lambda: None
        self._loop = loop
        self._sock = sock
        self._open = True
        self._text = bytearray()
        self._waiting: deque[tuple[bytes, list[int]]] = deque()  # packets, with descriptors that are ours
        self._bytes = 0
        sock.setblocking(False)
        loop.add_reader(sock, self._read)

    @property
    def flushed(self) -> bool:
        """Whether all that was sent has left."""
        return not self._waiting

    def send(self, told: Mapping[str, Any], fds: Sequence[int] = ()) -> None:
        """Sends a message with copies of some descriptors. Raises `OSError` if there is no room for these."""
        if not self._open:
            return
        copies: list[int] = []
        try:
            for fd in fds:
                copies.append(os.dup(fd))
        except OSError:
            close_all(copies)
            raise
        text = json.dumps(told).encode()
        for start in range(0, len(text), PIECE):
            last = start + PIECE >= len(text)
            piece = (_LAST if last else _MORE) + text[start : start + PIECE]
            self._waiting.append((piece, copies if last else []))
            self._bytes += len(piece)
        self._write()
        if self._bytes > MOST:  # the other process stands still: it is of no use as a peer
            self._end()

    def close(self) -> None:
        """Ends the link; nothing is reported after that."""
        if self._open:
            self._open = False
            self._loop.remove_reader(self._sock)
            self._loop.remove_writer(self._sock)
            self._sock.close()
            for _, fds in self._waiting:
                close_all(fds)
            self._waiting.clear()

    def _write(self) -> None:
        if not self._open:
            return
        while self._waiting:
            piece, fds = self._waiting[0]
            try:
                socket.send_fds(self._sock, [piece], fds)
            except (BlockingIOError, InterruptedError):
                self._loop.add_writer(self._sock, self._write)
                return
            except OSError as error:
                if cause_of_loss(error) is not Cause.LOCAL:
                    self._end()
                    return
                # Too many descriptors are on their way, say: the socket is writable and tells no end of it.
                self._loop.remove_writer(self._sock)
                self._loop.call_later(RETRY_MS / 1000.0, self._write)
                return
            self._waiting.popleft()
            self._bytes -= len(piece)
            close_all(fds)
        self._loop.remove_writer(self._sock)

    def _read(self) -> None:
        while self._open:
            try:
                flag = socket.MSG_CMSG_CLOEXEC
                piece, fds, flags, _ = socket.recv_fds(self._sock, PIECE + 1, FDS_MOST, flag)
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                if cause_of_loss(error) is not Cause.LOCAL:
                    self._end()
                    return
                self._loop.remove_reader(self._sock)
                self._loop.call_later(RETRY_MS / 1000.0, self._read_again)
                return
            if not piece or flags & (socket.MSG_TRUNC | socket.MSG_CTRUNC):
                close_all(fds)
                self._end()
                return
            self._text += piece[1:]
            if piece[:1] == _MORE and len(self._text) <= MOST:
                continue
            text, self._text = bytes(self._text), bytearray()
            try:
                told = json.loads(text)
                if not isinstance(told, dict):
                    raise ValueError("a message is not an object")
            except (ValueError, RecursionError):
                close_all(fds)
                self._end()
                return
            self.receive(told, fds)

    def _read_again(self) -> None:
        if self._open:
            self._loop.add_reader(self._sock, self._read)

    def _end(self) -> None:
        if self._open:
            self.close()
            self.lost()


class Ear:
    """Listens for the process that is to take over."""

    def __init__(self, loop: asyncio.AbstractEventLoop, path: Path, heard: Callable[[Link], None]) -> None:
        self._loop = loop
        self._path = path
        self._heard = heard
        self._listener: socket.socket | None = None

    def open(self) -> None:
        """Puts the socket in the place of an earlier process's; raises `OSError` if that fails."""
        listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        draft = self._path.with_name(f"{self._path.name}.{os.getpid()}")
        try:
            with suppress(FileNotFoundError):
                draft.unlink()
            with _reachable(draft) as address:
                listener.bind(address)
            draft.chmod(0o600)
            listener.listen(2)
            listener.setblocking(False)
            draft.replace(self._path)
        except OSError:
            listener.close()
            raise
        self._listener = listener
        self._loop.add_reader(listener, self._accept)

    def close(self, unlink: bool) -> None:
        """Listens no more; `unlink` where no other process's socket stands in its place."""
        if self._listener is not None:
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
                self._loop.call_later(RETRY_MS / 1000.0, self._accept_again, self._listener)
            return
        if _ours(sock):
            self._heard(Link(self._loop, sock))
        else:
            sock.close()

    def _accept_again(self, listener: socket.socket) -> None:
        if listener is self._listener:  # it may have been closed, or opened anew
            self._loop.add_reader(listener, self._accept)


def reach(loop: asyncio.AbstractEventLoop, path: Path) -> Link | None:
    """The link to the process that listens there, None if there is none or the system has no such sockets."""
    try:
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    except OSError:  # refused outright: who can't be reached can't hand over, and the start goes on
        return None
    sock.setblocking(False)  # a peer that stands still must not block the start
    try:
        with _reachable(path) as address:
            sock.connect(address)
    except OSError:
        sock.close()
        return None
    if not _ours(sock):
        sock.close()
        return None
    return Link(loop, sock)


def close_all(fds: Sequence[int]) -> None:
    """Closes descriptors."""
    for fd in fds:
        with suppress(OSError):
            os.close(fd)


def _ours(sock: socket.socket) -> bool:
    """Whether the other end belongs to this user: a directory for temporary files may be open to others."""
    told = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, struct.calcsize("3i"))
    _, user, _ = struct.unpack("3i", told)
    return bool(user == os.getuid())


@contextmanager
def _reachable(path: Path) -> Iterator[str]:
    """The path, by way of its directory's descriptor where it is too long for a Unix address."""
    if len(os.fsencode(path)) <= PATH_MOST:
        yield str(path)
        return
    folder = os.open(path.parent, os.O_PATH | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        yield f"/proc/self/fd/{folder}/{path.name}"
    finally:
        os.close(folder)
