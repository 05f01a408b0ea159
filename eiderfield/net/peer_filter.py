"""Which datagrams of peers are heard: envelopes, their order and their rate. Knows no socket.

The envelope (form, life, number) orders what one peer says: the network repeats, reorders and delays, and a
message from a peer's earlier life would count requests that died with it. Lives are numbered by Unix time,
which may be stepped back: a life that has said nothing for `LIFE_HOLDS` gives way to an earlier number.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from struct import Struct

FORM = 1  # of the envelope; another version's may mean something else
MAX_MESSAGE = 256  # bytes with the envelope, as the protocol says
LIFE_HOLDS = 2000.0  # ms for which what a peer said counts at most: after that its life matters no more
RATE = 2000.0  # messages a second that one peer is heard for at most, and as many in one burst

_ENVELOPE = Struct("<BIH")  # form, the sender's life, the message's number in it
_MAX_LIFE = 0xFFFFFFFF
_MAX_NUMBER = 0xFFFF


class Reception(Enum):
    """What became of a message, as the console counts it."""

    HEARD = "heard"
    STRANGER = "strangers"
    FLOOD = "flood"
    MALFORMED = "malformed"
    OTHER_FORM = "other_form"
    EARLIER_LIFE = "earlier_life"
    OUT_OF_ORDER = "out_of_order"


@dataclass(slots=True, frozen=True)
class Received:
    """What became of a message, and what it says if it is heard."""

    reception: Reception
    data: bytes = b""


@dataclass(slots=True, frozen=True)
class Envelope:
    """Who speaks in which life, and which of its messages this is."""

    life: int
    number: int

    def pack(self, data: bytes) -> bytes:
        """The message with its envelope."""
        return _ENVELOPE.pack(FORM, self.life, self.number) + data

    def next(self) -> Envelope:
        """That of the next message."""
        return Envelope(self.life, (self.number + 1) & _MAX_NUMBER)


def first_envelope(unix_ms: float) -> Envelope:
    """That before the first message of a life that begins now. Later lives have greater numbers for 497 days,
    unless the wall clock is stepped back."""
    return Envelope(int(unix_ms / 10.0) & _MAX_LIFE, 0)


def fits(data: bytes) -> bool:
    """Whether data and its envelope are no longer than a message may be."""
    return len(data) + _ENVELOPE.size <= MAX_MESSAGE


@dataclass(slots=True, frozen=True)
class _LastHeard:
    envelope: Envelope
    at: float


@dataclass(slots=True, frozen=True)
class _Credit:
    messages: float  # that the peer may send at once
    at: float


class PeerFilter:
    """What was heard of each peer so far."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """`clock` is the process's clock, in ms."""
        self._clock = clock
        self._last: dict[int, _LastHeard] = {}
        self._credits: dict[int, _Credit] = {}

    def receive(self, peer: int, message: bytes) -> Received:
        """What becomes of a peer's message."""
        if not self._spend_credit(peer):
            return Received(Reception.FLOOD)
        if not _ENVELOPE.size <= len(message) <= MAX_MESSAGE:
            return Received(Reception.MALFORMED)
        form, life, number = _ENVELOPE.unpack_from(message)
        if form != FORM:
            return Received(Reception.OTHER_FORM)
        envelope = Envelope(life, number)
        reception = self._order(peer, envelope)
        if reception is not Reception.HEARD:
            return Received(reception)
        self._last[peer] = _LastHeard(envelope, self._clock())
        return Received(Reception.HEARD, message[_ENVELOPE.size :])

    def _order(self, peer: int, envelope: Envelope) -> Reception:
        last = self._last.get(peer)
        if last is None:
            return Reception.HEARD
        older = (last.envelope.life - envelope.life) & _MAX_LIFE
        if 0 < older <= _MAX_LIFE // 2 and self._clock() < last.at + LIFE_HOLDS:
            return Reception.EARLIER_LIFE
        newer = (envelope.number - last.envelope.number) & _MAX_NUMBER
        if older == 0 and not 0 < newer <= _MAX_NUMBER // 2:
            return Reception.OUT_OF_ORDER
        return Reception.HEARD

    def _spend_credit(self, peer: int) -> bool:
        now = self._clock()
        credit = self._credits.get(peer, _Credit(RATE, now))
        messages = min(RATE, credit.messages + (now - credit.at) * RATE / 1000.0)
        allowed = messages >= 1.0
        self._credits[peer] = _Credit(messages - 1.0 if allowed else messages, now)
        return allowed
