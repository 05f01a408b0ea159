"""The link between the two processes of a handover: a Unix socket that transmits file descriptors.

A message is a JSON object, sent in one or more packets, of which the last one carries the descriptors.
asyncio has no transport for descriptors, so the link uses `add_reader` and `add_writer` of the event loop.

    open ──(the system lacks memory for a packet)──> waiting ──(RETRY_DELAY_MS)──> open
    open or waiting ──(the peer closes, fails, or sends a malformed message)──> closed, `on_lost` called
    open or waiting ──(`close`)──> closed

Invariants: messages are received complete and in order. Every received descriptor is passed to `on_message`
or closed.
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

from eiderfield.net.faults import RETRY_DELAY_MS, Cause, classify_loss

MAX_PACKET_BYTES = 60_000  # small enough for the socket's buffer
MAX_MESSAGE_BYTES = 8 * 1024 * 1024  # of one message, and of all unsent packets together
MAX_DESCRIPTORS = 250  # per message; the kernel allows 253 per packet

_RETRY_DELAY_S = RETRY_DELAY_MS / 1000.0
_CONTINUED, _FINAL = b"+", b"."  # first byte of a packet: more packets of the message follow, or none


@dataclass(slots=True, frozen=True)
class _Packet:
    """A packet that is not sent yet. The link owns its descriptors, which are copies."""

    data: bytes
    descriptors: list[int]


class Link:
    """One end of a link.

    Attributes:
        on_message: Called with the fields and the descriptors of each message. Set by the owner.
        on_lost: Called once if the link fails. Set by the owner.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
        """Create a link that owns the connected socket `sock`."""
        self.on_message: Callable[[dict[str, Any], list[int]], None] = _ignore_message
        self.on_lost: Callable[[], None] = lambda: None
        self._loop = loop
        self._sock = sock
        self._open = True
        self._received = bytearray()  # the received part of an incomplete message
        self._unsent_packets: deque[_Packet] = deque()
        self._unsent_bytes = 0
        sock.setblocking(False)
        loop.add_reader(sock, self._read)

    @property
    def flushed(self) -> bool:
        """Whether all packets have been written to the socket."""
        return not self._unsent_packets

    def send(self, fields: Mapping[str, Any], descriptors: Sequence[int] = ()) -> None:
        """Send a message with copies of `descriptors`; raises `OSError` if they cannot be copied."""
        if not self._open:
            return
        copies = _copies(descriptors)
        for packet in _packets(json.dumps(fields).encode(), copies):
            self._unsent_packets.append(packet)
            self._unsent_bytes += len(packet.data)
        self._write()
        if self._unsent_bytes > MAX_MESSAGE_BYTES:  # the peer does not read
            self._fail()

    def close(self) -> None:
        """Close the link. No callback is called after that."""
        if not self._open:
            return
        self._open = False
        self._loop.remove_reader(self._sock)
        self._loop.remove_writer(self._sock)
        self._sock.close()
        for packet in self._unsent_packets:
            close_descriptors(packet.descriptors)
        self._unsent_packets.clear()

    def _fail(self) -> None:
        if self._open:
            self.close()
            self.on_lost()

    # Writing.

    def _write(self) -> None:
        if not self._open:
            return
        while self._unsent_packets:
            packet = self._unsent_packets[0]
            try:
                socket.send_fds(self._sock, [packet.data], packet.descriptors)
            except (BlockingIOError, InterruptedError):
                self._loop.add_writer(self._sock, self._write)
                return
            except OSError as error:
                self._write_failed(error)
                return
            self._unsent_packets.popleft()
            self._unsent_bytes -= len(packet.data)
            close_descriptors(packet.descriptors)
        self._loop.remove_writer(self._sock)

    def _write_failed(self, error: OSError) -> None:
        if classify_loss(error) is not Cause.LOCAL:
            self._fail()
            return
        # The system lacks room, for example for descriptors in flight, although the socket is writable.
        self._loop.remove_writer(self._sock)
        self._loop.call_later(_RETRY_DELAY_S, self._write)

    # Reading.

    def _read(self) -> None:
        while self._open:
            try:
                data, descriptors, flags, _ = socket.recv_fds(
                    self._sock, MAX_PACKET_BYTES + 1, MAX_DESCRIPTORS, socket.MSG_CMSG_CLOEXEC
                )
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                self._read_failed(error)
                return
            if not data or flags & (socket.MSG_TRUNC | socket.MSG_CTRUNC):
                close_descriptors(descriptors)
                self._fail()
                return
            self._process_packet(data, descriptors)

    def _read_failed(self, error: OSError) -> None:
        if classify_loss(error) is not Cause.LOCAL:
            self._fail()
            return
        self._loop.remove_reader(self._sock)
        self._loop.call_later(_RETRY_DELAY_S, self._resume_reading)

    def _resume_reading(self) -> None:
        if self._open:
            self._loop.add_reader(self._sock, self._read)

    def _process_packet(self, data: bytes, descriptors: list[int]) -> None:
        """Append a packet to the message being received, and call `on_message` once that is complete."""
        self._received += data[1:]
        if data[:1] == _CONTINUED and len(self._received) <= MAX_MESSAGE_BYTES:
            return
        message, self._received = bytes(self._received), bytearray()
        try:
            fields = json.loads(message)
            if not isinstance(fields, dict):
                raise ValueError("a message is not an object")
        except (ValueError, RecursionError):
            close_descriptors(descriptors)
            self._fail()
            return
        self.on_message(fields, descriptors)


def close_descriptors(descriptors: Sequence[int]) -> None:
    """Close descriptors, ignoring errors."""
    for descriptor in descriptors:
        with suppress(OSError):
            os.close(descriptor)


def _ignore_message(_fields: dict[str, Any], descriptors: list[int]) -> None:
    close_descriptors(descriptors)


def _copies(descriptors: Sequence[int]) -> list[int]:
    copies: list[int] = []
    try:
        copies.extend(map(os.dup, descriptors))  # if one fails, `copies` holds the earlier ones
    except OSError:
        close_descriptors(copies)
        raise
    return copies


def _packets(message: bytes, descriptors: list[int]) -> list[_Packet]:
    """Split a message into packets. The last one carries the descriptors."""
    parts = [message[start : start + MAX_PACKET_BYTES] for start in range(0, len(message), MAX_PACKET_BYTES)]
    packets = [_Packet(_CONTINUED + part, []) for part in parts[:-1]]
    return [*packets, _Packet(_FINAL + parts[-1], descriptors)]
