"""Datagrams between the dispatchers of a tier, if the settings allow them.

A port sends the policy's reports to its peers and passes received reports to the policy. Its rules:

- A message has at most 256 bytes including the envelope; a longer one is neither sent nor accepted.
- A sender is identified by its address, which must be in `peers`; messages of other senders are only counted.
- The messages of a peer are accepted in order and at a limited rate (`peer_filter`).
- Serving requests does not depend on the port. If the port cannot be opened, this is logged once; a message
  that cannot be sent is dropped, since the network may lose messages anyway.

During a handover both processes appear to the peers as one dispatcher: the new process takes over the socket
(`sock`), and the old process pauses its port until it ends or the link to the new process is lost.
"""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from collections.abc import Callable, Iterable

from eiderfield.config.address import Address
from eiderfield.net.faults import Cause, classify_loss
from eiderfield.net.peer_filter import (
    MAX_MESSAGE_BYTES,
    PeerFilter,
    Reception,
    first_envelope,
    fits_message_limit,
)
from eiderfield.net.peer_settings import PeerSettings

MAX_READS_PER_TURN = 64  # messages read in one iteration of the event loop
ALL_PEERS = -1


class PeerPort:
    """The port of one dispatcher.

    Attributes:
        sock: The open socket, which the next process takes over; None while the port is closed.
        counters: The numbers of messages sent, accepted, and rejected by reason, by the console's keys.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: PeerSettings,
        dispatcher_index: int,
        clock: Callable[[], float],
        on_message: Callable[[int, bytes], None],
        log: Callable[[str], None],
        unix_clock: Callable[[], float] | None = None,
    ) -> None:
        """Create a closed port.

        Args:
            loop: The event loop.
            settings: The addresses.
            dispatcher_index: The index of this dispatcher in `settings.peers`.
            clock: The process's clock, in ms.
            on_message: Called with the index of a peer and the data of its message.
            log: Called with a line for operators.
            unix_clock: The wall clock, in ms; without it, `clock` shows Unix time.
        """
        self.sock: socket.socket | None = None
        self.counters: Counter[str] = Counter()
        self._loop = loop
        self._settings = settings
        self._peer_indexes = {
            address: number for number, address in enumerate(settings.peers) if number != dispatcher_index
        }
        self._on_message = on_message
        self._log = log
        self._filter = PeerFilter(clock)
        self._envelope = first_envelope((unix_clock or clock)())
        self._paused = True

    def open(self, sock: socket.socket | None = None) -> None:
        """Open the port, or take over the socket of the previous process."""
        try:
            if sock is None:
                sock = _bind(self._settings.listen)
            sock.setblocking(False)
        except (OSError, OverflowError) as error:
            host, port = self._settings.listen
            self._log(
                f"peers: port cannot be opened, peers are not heard (peer_listen={host}:{port} error={error})"
            )
            return
        self.sock = sock
        self.resume()

    def pause(self) -> None:
        """Stop receiving and sending: the dispatcher's other process uses the socket."""
        if self.sock is not None and not self._paused:
            self._paused = True
            self._loop.remove_reader(self.sock)

    def resume(self) -> None:
        """Start receiving and sending."""
        if self.sock is not None and self._paused:
            self._paused = False
            self._loop.add_reader(self.sock, self._read)

    def close(self) -> None:
        """Close the port."""
        self.pause()
        if self.sock is not None:
            self.sock.close()
            self.sock = None

    def send_report(self, peer: int, data: bytes) -> None:
        """Send a message to the peer with this index, or to `ALL_PEERS`; it may be lost."""
        if self.sock is None or self._paused:
            return
        if not fits_message_limit(data):
            self.counters["too_long"] += 1
            return
        self._envelope = self._envelope.next()
        message = self._envelope.pack(data)
        for address in self._addresses(peer):
            try:
                self.sock.sendto(message, address)
                self.counters["sent"] += 1
            except OSError:  # the buffer is full, or the peer has closed its port
                self.counters["unsent"] += 1

    def _addresses(self, peer: int) -> Iterable[Address]:
        if peer >= 0:
            return self._settings.peers[peer : peer + 1]
        broadcast = self._settings.broadcast
        return [broadcast] if broadcast is not None else list(self._peer_indexes)

    def _read(self) -> None:
        for _ in range(MAX_READS_PER_TURN):
            if self.sock is None:
                return
            try:
                message, address = self.sock.recvfrom(MAX_MESSAGE_BYTES + 1)
            except BlockingIOError:
                return
            except OSError as error:
                if classify_loss(error) is Cause.LOCAL:
                    return
                continue  # the error refers to an earlier message that could not be delivered
            reception = self._receive(message, (address[0], address[1]))
            self.counters[reception.value] += 1

    def _receive(self, message: bytes, address: Address) -> Reception:
        peer = self._peer_indexes.get(address)
        if peer is None:
            return Reception.UNKNOWN_SENDER
        received = self._filter.receive(peer, message)
        if received.reception is Reception.ACCEPTED:
            self._on_message(peer, received.data)
        return received.reception


def _bind(address: Address) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        sock.bind(address)
    except OSError:
        sock.close()
        raise
    return sock
