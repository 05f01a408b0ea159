"""Datagrams between the dispatchers of a tier, where the settings allow them.

A port sends what the policy tells its peers and hands in what they tell. It lives by four rules:

- A message is at most 256 bytes, envelope included; a longer one is neither sent nor read.
- Who speaks is known by the address alone, which must be one of `peers`; strangers are counted, not heard.
- What a peer says is heard in its order, and at a bounded rate (`peer_filter`).
- Nothing here is needed to serve. A port that is taken or refused is named once in the log; a message that
  cannot be sent is lost, as the network may lose any.

In an upgrade both processes are one dispatcher to its peers: the next one takes the port over with the socket
(`sock`), and the one before is paused until it ends, or until the next one is lost.
"""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from collections.abc import Callable, Iterable, Sequence

from eiderfield.config.address import Address
from eiderfield.net.faults import Cause, cause_of_loss
from eiderfield.net.peer_filter import MAX_MESSAGE, PeerFilter, Reception, first_envelope, fits

MAX_READS_PER_TURN = 64  # messages read in a turn of the loop
ALL_PEERS = -1


class PeerPort:
    """The port of one dispatcher. `on_message` gets a peer's number and what it said."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        listen: Address,
        peers: Sequence[Address],
        everyone: Address | None,
        me: int,
        clock: Callable[[], float],
        on_message: Callable[[int, bytes], None],
        log: Callable[[str], None],
        unix: Callable[[], float] | None = None,
    ) -> None:
        """`everyone` is an address that reaches all peers; `unix` tells Unix time, in ms."""
        self._loop = loop
        self._listen = listen
        self._peers = list(peers)
        self._numbers = {address: number for number, address in enumerate(peers) if number != me}
        self._everyone = everyone
        self._on_message = on_message
        self._log = log
        self._filter = PeerFilter(clock)
        self._envelope = first_envelope((unix or clock)())
        self._paused = True
        self.sock: socket.socket | None = None  # what the next process takes over
        self.figures: Counter[str] = Counter()  # sent, heard, and by cause what was not

    def open(self, sock: socket.socket | None = None) -> None:
        """Opens the port, or goes on with that of the process before."""
        try:
            if sock is None:
                sock = _bound(self._listen)
            sock.setblocking(False)
        except (OSError, OverflowError) as error:
            host, port = self._listen
            self._log(f"peer_listen: {host}:{port} cannot be opened, peers are not heard ({error})")
            return
        self.sock = sock
        self.resume()

    def pause(self) -> None:
        """Leaves the port to the dispatcher's other process."""
        if self.sock is not None and not self._paused:
            self._paused = True
            self._loop.remove_reader(self.sock)

    def resume(self) -> None:
        """Takes the port back."""
        if self.sock is not None and self._paused:
            self._paused = False
            self._loop.add_reader(self.sock, self._read)

    def close(self) -> None:
        """Closes the port."""
        self.pause()
        if self.sock is not None:
            self.sock.close()
            self.sock = None

    def send_report(self, peer: int, data: bytes) -> None:
        """Sends bytes to one peer, or to `ALL_PEERS`."""
        if self.sock is None or self._paused:
            return
        if not fits(data):
            self.figures["too_long"] += 1
            return
        self._envelope = self._envelope.next()
        message = self._envelope.pack(data)
        for address in self._addresses(peer):
            try:
                self.sock.sendto(message, address)
                self.figures["sent"] += 1
            except OSError:  # the buffer is full, or nobody is there: lost
                self.figures["unsent"] += 1

    def _addresses(self, peer: int) -> Iterable[Address]:
        if peer >= 0:
            return self._peers[peer : peer + 1]
        return [self._everyone] if self._everyone is not None else list(self._numbers)

    def _read(self) -> None:
        for _ in range(MAX_READS_PER_TURN):
            if self.sock is None:
                return
            try:
                message, address = self.sock.recvfrom(MAX_MESSAGE + 1)
            except BlockingIOError:
                return
            except OSError as error:
                if cause_of_loss(error) is Cause.LOCAL:
                    return
                continue  # a message of ours found nobody
            reception = self._receive(message, (address[0], address[1]))
            self.figures[reception.value] += 1

    def _receive(self, message: bytes, address: Address) -> Reception:
        peer = self._numbers.get(address)
        if peer is None:
            return Reception.STRANGER
        received = self._filter.receive(peer, message)
        if received.reception is Reception.HEARD:
            self._on_message(peer, received.data)
        return received.reception


def _bound(address: Address) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        sock.bind(address)
    except OSError:
        sock.close()
        raise
    return sock
