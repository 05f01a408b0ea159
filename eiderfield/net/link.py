"""The Unix socket between the two processes of an upgrade, as messages with descriptors.

Packets carry JSON and, with it, descriptors. asyncio has no transport that carries descriptors, so these
sockets are read and written with the loop's plain readers and writers.

    open ──(the system lacks room for a packet)──> waiting ──(RETRY_MS)──> open
    open or waiting ──(the other end closes, breaks or says what is no message)──> closed, and reported once
                 └──(`close`)──> closed

What must never happen: a message that is not whole or out of order; a descriptor that comes and that nobody
closes.
"""

from __future__ import annotations

import asyncio
import json
import os
import socket
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

from eiderfield.net.faults import RETRY_MS, Cause, cause_of_loss

MAX_PIECE = 60_000  # bytes of a message in a packet: well within a socket's buffer
MAX_MESSAGE = 8 * 1024 * 1024  # bytes of a message, and of what may wait to leave
MAX_DESCRIPTORS = 250  # of a message: the kernel takes 253 with a packet

_RETRY_S = RETRY_MS / 1000.0
_MORE, _LAST = b"+", b"."  # the first byte of a packet: whether the message goes on


@dataclass(slots=True, frozen=True)
class _Packet:
    """What leaves in one piece. The descriptors are copies of the link's own."""

    data: bytes
    descriptors: list[int]


class Link:
    """One end. Messages and their descriptors arrive whole and in order, or the link is lost."""

    def __init__(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
        """Takes over the socket; `receive` and `lost` are set by whoever uses the link."""
        self.receive: Callable[[dict[str, Any], list[int]], None] = lambda fields, descriptors: None
        self.lost: Callable[[], None] = lambda: None
        self._loop = loop
        self._sock = sock
        self._open = True
        self._received = bytearray()  # of a message that is not whole
        self._waiting: deque[_Packet] = deque()
        self._waiting_bytes = 0
        sock.setblocking(False)
        loop.add_reader(sock, self._read)

    @property
    def flushed(self) -> bool:
        """Whether all that was sent has left."""
        return not self._waiting

    def send(self, fields: Mapping[str, Any], descriptors: Sequence[int] = ()) -> None:
        """Sends a message with copies of some descriptors. Raises `OSError` if there is no room for these."""
        if not self._open:
            return
        copies = _copies(descriptors)
        for packet in _packets(json.dumps(fields).encode(), copies):
            self._waiting.append(packet)
            self._waiting_bytes += len(packet.data)
        self._write()
        if self._waiting_bytes > MAX_MESSAGE:  # the other process stands still: it is of no use as a peer
            self._lose()

    def close(self) -> None:
        """Ends the link; nothing is reported after that."""
        if not self._open:
            return
        self._open = False
        self._loop.remove_reader(self._sock)
        self._loop.remove_writer(self._sock)
        self._sock.close()
        for packet in self._waiting:
            close_all(packet.descriptors)
        self._waiting.clear()

    def _lose(self) -> None:
        if self._open:
            self.close()
            self.lost()

    # Writing.

    def _write(self) -> None:
        if not self._open:
            return
        while self._waiting:
            packet = self._waiting[0]
            try:
                socket.send_fds(self._sock, [packet.data], packet.descriptors)
            except (BlockingIOError, InterruptedError):
                self._loop.add_writer(self._sock, self._write)
                return
            except OSError as error:
                self._write_failed(error)
                return
            self._waiting.popleft()
            self._waiting_bytes -= len(packet.data)
            close_all(packet.descriptors)
        self._loop.remove_writer(self._sock)

    def _write_failed(self, error: OSError) -> None:
        if cause_of_loss(error) is not Cause.LOCAL:
            self._lose()
            return
        # Too many descriptors are on their way, say: the socket is writable and tells no end of it.
        self._loop.remove_writer(self._sock)
        self._loop.call_later(_RETRY_S, self._write)

    # Reading.

    def _read(self) -> None:
        while self._open:
            try:
                data, descriptors, flags, _ = socket.recv_fds(
                    self._sock, MAX_PIECE + 1, MAX_DESCRIPTORS, socket.MSG_CMSG_CLOEXEC
                )
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                self._read_failed(error)
                return
            if not data or flags & (socket.MSG_TRUNC | socket.MSG_CTRUNC):
                close_all(descriptors)
                self._lose()
                return
            self._take_packet(data, descriptors)

    def _read_failed(self, error: OSError) -> None:
        if cause_of_loss(error) is not Cause.LOCAL:
            self._lose()
            return
        self._loop.remove_reader(self._sock)
        self._loop.call_later(_RETRY_S, self._resume_reading)

    def _resume_reading(self) -> None:
        if self._open:
            self._loop.add_reader(self._sock, self._read)

    def _take_packet(self, data: bytes, descriptors: list[int]) -> None:
        self._received += data[1:]
        if data[:1] == _MORE and len(self._received) <= MAX_MESSAGE:
            return
        message, self._received = bytes(self._received), bytearray()
        try:
            fields = json.loads(message)
            if not isinstance(fields, dict):
                raise ValueError("a message is not an object")
        except (ValueError, RecursionError):
            close_all(descriptors)
            self._lose()
            return
        self.receive(fields, descriptors)


def close_all(descriptors: Sequence[int]) -> None:
    """Closes descriptors."""
    for descriptor in descriptors:
        with suppress(OSError):
            os.close(descriptor)


def _copies(descriptors: Sequence[int]) -> list[int]:
    copies: list[int] = []
    try:
        for descriptor in descriptors:
            copies.append(os.dup(descriptor))
    except OSError:
        close_all(copies)
        raise
    return copies


def _packets(message: bytes, descriptors: list[int]) -> list[_Packet]:
    """A message in pieces, the last of which carries the descriptors."""
    pieces = [message[start : start + MAX_PIECE] for start in range(0, len(message), MAX_PIECE)]
    packets = [_Packet(_MORE + piece, []) for piece in pieces[:-1]]
    return [*packets, _Packet(_LAST + pieces[-1], descriptors)]
