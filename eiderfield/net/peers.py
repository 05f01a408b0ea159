"""Datagrams between the dispatchers of a tier, where the settings allow them.

A port sends what the module tells its peers and hands in what they tell. It lives by four rules:

- A message is at most 256 bytes, envelope included; a longer one is neither sent nor read.
- Who speaks is known by the address alone, which must be one of `peers`; strangers are counted, not heard.
- The envelope (form, life, number) orders what one peer says: the network repeats, reorders and delays, and
  a message from a peer's earlier life would count jobs that died with it. Lives are numbered by Unix time,
  which may be stepped back: a life that has said nothing for `LIFE_HOLDS` gives way to an earlier number.
- Nothing here is needed to serve. A port that is taken or refused is named once in the log; a message that
  cannot be sent is lost, as the network may lose any; a peer that floods is heard `RATE` times a second.

In an upgrade both processes are one dispatcher to its peers: the next one takes the port over with the socket
(`sock`), and the one before rests until it ends, or until the next one is lost.
"""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from collections.abc import Callable, Sequence
from struct import Struct

from eiderfield.net.faults import Cause, cause_of_loss

Address = tuple[str, int]

FORM = 1  # of the envelope
LARGEST = 256  # bytes of a message, as the protocol says
AT_ONCE = 64  # messages read in a turn of the loop
LIFE_HOLDS = 2000.0  # ms for which what a peer said counts at most: after that its life matters no more
RATE = 2000.0  # messages a second that one peer is heard for at most, and as many in one burst

_ENVELOPE = Struct("<BIH")  # form, the sender's life, the message's number in it


class Peers:
    """The port of one dispatcher. `heard` gets a peer's number and what it said."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, listen: Address, peers: Sequence[Address],
        everyone: Address | None, me: int, clock: Callable[[], float], heard: Callable[[int, bytes], None],
        log: Callable[[str], None], unix: Callable[[], float] | None = None,
    ) -> None:  # fmt: skip
        self._loop = loop
        self._listen = listen
        self._peers = list(peers)
        self._numbers = {address: number for number, address in enumerate(peers) if number != me}
        self._everyone = everyone
        self._clock = clock
        self._heard = heard
        self._log = log
        # Later lives have greater numbers for 497 days, unless the wall clock is stepped back.
        self._life = int((unix or clock)() / 10.0) & 0xFFFFFFFF
        self._number = 0
        # By peer: its life, the number of its last message, and when that came.
        self._last: dict[int, tuple[int, int, float]] = {}
        self._credit: dict[int, tuple[float, float]] = {}  # by peer: when, and messages it may send at once
        self._resting = True
        self.sock: socket.socket | None = None  # what the next process takes over
        self.figures: Counter[str] = Counter()  # sent, heard, and by cause what was not

    def open(self, sock: socket.socket | None = None) -> None:
        """Opens the port, or goes on with that of the process before."""
        try:
            if sock is None:
                sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                try:
                    sock.bind(self._listen)
                except OSError:
                    sock.close()
                    raise
            sock.setblocking(False)
        except (OSError, OverflowError) as error:
            host, port = self._listen
            self._log(f"peer_listen: {host}:{port} cannot be had, peers are not heard ({error})")
            return
        self.sock = sock
        self.rest(False)

    def rest(self, resting: bool) -> None:
        """Leaves the port to the dispatcher's other process, or takes it back."""
        if self.sock is None or resting == self._resting:
            return
        self._resting = resting
        if resting:
            self._loop.remove_reader(self.sock)
        else:
            self._loop.add_reader(self.sock, self._read)

    def close(self) -> None:
        """Closes the port."""
        self.rest(True)
        if self.sock is not None:
            self.sock.close()
            self.sock = None

    def tell(self, peer: int, data: bytes) -> None:
        """Sends bytes to one peer, or to all of them (-1)."""
        if self.sock is None or self._resting:
            return
        if len(data) + _ENVELOPE.size > LARGEST:
            self.figures["too_long"] += 1
            return
        self._number = (self._number + 1) & 0xFFFF
        message = _ENVELOPE.pack(FORM, self._life, self._number) + data
        if peer >= 0:
            to = [self._peers[peer]] if peer < len(self._peers) else []
        else:
            to = [self._everyone] if self._everyone is not None else list(self._numbers)
        for address in to:
            try:
                self.sock.sendto(message, address)
                self.figures["sent"] += 1
            except OSError:  # the buffer is full, or nobody is there: lost
                self.figures["unsent"] += 1

    def _read(self) -> None:
        for _ in range(AT_ONCE):
            if self.sock is None:
                return
            try:
                message, address = self.sock.recvfrom(LARGEST + 1)
            except BlockingIOError:
                return
            except OSError as error:
                if cause_of_loss(error) is Cause.LOCAL:
                    return
                continue  # a message of ours found nobody
            why = self._take(message, (address[0], address[1]))
            self.figures[why] += 1

    def _take(self, message: bytes, address: Address) -> str:
        """Hands a message in, or says why not."""
        peer = self._numbers.get(address)
        if peer is None:
            return "strangers"
        if not self._may_speak(peer):
            return "flood"
        if not _ENVELOPE.size <= len(message) <= LARGEST:
            return "malformed"
        form, life, number = _ENVELOPE.unpack_from(message)
        if form != FORM:  # another version's: what it says may mean something else
            return "other_form"
        if (known := self._last.get(peer)) is not None:
            last_life, last_number, last_at = known
            older = (last_life - life) & 0xFFFFFFFF
            if 0 < older < 0x80000000 and self._clock() < last_at + LIFE_HOLDS:
                return "earlier_life"
            if older == 0 and not 0 < (number - last_number) & 0xFFFF < 0x8000:
                return "out_of_order"
        self._last[peer] = (life, number, self._clock())
        self._heard(peer, message[_ENVELOPE.size :])
        return "heard"

    def _may_speak(self, peer: int) -> bool:
        now = self._clock()
        at, left = self._credit.get(peer, (now, RATE))
        left = min(RATE, left + (now - at) * RATE / 1000.0)
        self._credit[peer] = (now, left - 1.0 if left >= 1.0 else left)
        return left >= 1.0
