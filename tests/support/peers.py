"""Dispatchers of one tier whose datagrams a test reads and writes."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from struct import Struct
from typing import cast

from eiderfield.config.address import Address
from eiderfield.net.peer_filter import ENVELOPE_VERSION
from eiderfield.net.peer_settings import PeerSettings
from eiderfield.net.peers import PeerPort

ENVELOPE = Struct("<BIH")


class Loop:
    """Readers that the test calls itself."""

    def __init__(self) -> None:
        self.readers: dict[object, Callable[[], object]] = {}

    def add_reader(self, sock: object, call: Callable[[], object]) -> None:
        self.readers[sock] = call

    def remove_reader(self, sock: object) -> None:
        self.readers.pop(sock, None)


class Tier:
    """Ports of some dispatchers, the first of which is the program's."""

    def __init__(self, count: int = 3) -> None:
        self.now = 5_000_000.0
        self.logged: list[str] = []
        self.heard: list[tuple[int, bytes]] = []
        self.ends = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
        for end in self.ends:
            end.bind(("127.0.0.1", 0))
            end.settimeout(10.0)
        self.addresses = [end.getsockname() for end in self.ends]
        self.ends[0].close()
        self.loop = Loop()
        self.port = self.new()
        self.port.open()

    def new(self, everyone: Address | None = None) -> PeerPort:
        return PeerPort(
            cast(asyncio.AbstractEventLoop, self.loop),
            PeerSettings(self.addresses[0], tuple(self.addresses), everyone),
            0,
            lambda: self.now,
            lambda peer, data: self.heard.append((peer, data)),
            self.logged.append,
        )

    def say(
        self, peer: int, incarnation: int, sequence: int, data: bytes = b"x", version: int = ENVELOPE_VERSION
    ) -> None:
        self.ends[peer].sendto(ENVELOPE.pack(version, incarnation, sequence) + data, self.addresses[0])

    def read(self) -> None:
        for call in list(self.loop.readers.values()):
            call()

    def close(self) -> None:
        self.port.close()
        for end in self.ends[1:]:
            end.close()
