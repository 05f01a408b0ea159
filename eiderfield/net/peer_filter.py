"""Filter of the datagrams of peers: their envelope, order and rate. Performs no I/O.

The envelope (version, incarnation, sequence number) orders the messages of one peer: the network
duplicates, reorders and delays them, and a message of a peer's earlier incarnation would count requests
that ended with it. Incarnations are numbered by Unix time, which may be stepped back: an incarnation that
has sent nothing for `INCARNATION_TIMEOUT_MS` may be replaced by one with an earlier number.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from struct import Struct

ENVELOPE_VERSION = 1
MAX_MESSAGE_BYTES = 256  # with the envelope, as the protocol requires
INCARNATION_TIMEOUT_MS = 2000.0  # the longest time for which a peer's report counts
MAX_MESSAGES_PER_S = 2000.0  # accepted from one peer, and as many in one burst

_ENVELOPE = Struct("<BIH")  # version, the sender's incarnation, the message's sequence number in it
_MAX_INCARNATION = 0xFFFFFFFF
_MAX_SEQUENCE = 0xFFFF
_INCARNATION_MS = 10.0  # of Unix time, by which the number of an incarnation grows


class Reception(Enum):
    """The result of receiving a message. The values are the names of the console's figures."""

    ACCEPTED = "heard"
    UNKNOWN_SENDER = "strangers"
    RATE_LIMITED = "flood"
    MALFORMED = "malformed"
    OTHER_VERSION = "other_form"
    EARLIER_INCARNATION = "earlier_life"
    OUT_OF_ORDER = "out_of_order"


@dataclass(slots=True, frozen=True)
class Received:
    """The result of receiving a message, with its data if it is accepted."""

    reception: Reception
    data: bytes = b""


@dataclass(slots=True, frozen=True)
class Envelope:
    """The incarnation of a message's sender, and the message's sequence number in it."""

    incarnation: int
    sequence: int

    def pack(self, data: bytes) -> bytes:
        """Return the message that consists of the envelope and `data`."""
        return _ENVELOPE.pack(ENVELOPE_VERSION, self.incarnation, self.sequence) + data

    def next(self) -> Envelope:
        """Return the envelope of the next message."""
        return Envelope(self.incarnation, (self.sequence + 1) & _MAX_SEQUENCE)


def first_envelope(unix_ms: float) -> Envelope:
    """Return the envelope before the first message of an incarnation that starts now.

    Later incarnations have greater numbers for 497 days, unless the wall clock is stepped back.
    """
    return Envelope(int(unix_ms / _INCARNATION_MS) & _MAX_INCARNATION, 0)


def fits_message_limit(data: bytes) -> bool:
    """Return whether a message with `data` does not exceed the protocol's limit."""
    return len(data) + _ENVELOPE.size <= MAX_MESSAGE_BYTES


@dataclass(slots=True, frozen=True)
class _LastAccepted:
    envelope: Envelope
    at: float


@dataclass(slots=True, frozen=True)
class _TokenBucket:
    tokens: float  # messages that the peer may send at once
    updated_at: float


class PeerFilter:
    """Decides which messages of each peer are accepted, by those accepted before."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Create a filter that has received nothing; `clock` returns the process's time, in ms."""
        self._clock = clock
        self._last: dict[int, _LastAccepted] = {}
        self._buckets: dict[int, _TokenBucket] = {}

    def receive(self, peer: int, message: bytes) -> Received:
        """Return whether a peer's message is accepted, with its data."""
        if not self._take_token(peer):
            return Received(Reception.RATE_LIMITED)
        if not _ENVELOPE.size <= len(message) <= MAX_MESSAGE_BYTES:
            return Received(Reception.MALFORMED)
        version, incarnation, sequence = _ENVELOPE.unpack_from(message)
        if version != ENVELOPE_VERSION:
            return Received(Reception.OTHER_VERSION)
        envelope = Envelope(incarnation, sequence)
        reception = self._check_order(peer, envelope)
        if reception is not Reception.ACCEPTED:
            return Received(reception)
        self._last[peer] = _LastAccepted(envelope, self._clock())
        return Received(Reception.ACCEPTED, message[_ENVELOPE.size :])

    def _check_order(self, peer: int, envelope: Envelope) -> Reception:
        last = self._last.get(peer)
        if last is None:
            return Reception.ACCEPTED
        age = (last.envelope.incarnation - envelope.incarnation) & _MAX_INCARNATION
        is_earlier = 0 < age <= _MAX_INCARNATION // 2
        if is_earlier and self._clock() < last.at + INCARNATION_TIMEOUT_MS:
            return Reception.EARLIER_INCARNATION
        advance = (envelope.sequence - last.envelope.sequence) & _MAX_SEQUENCE
        if age == 0 and not 0 < advance <= _MAX_SEQUENCE // 2:
            return Reception.OUT_OF_ORDER
        return Reception.ACCEPTED

    def _take_token(self, peer: int) -> bool:
        now = self._clock()
        bucket = self._buckets.get(peer, _TokenBucket(MAX_MESSAGES_PER_S, now))
        regained = (now - bucket.updated_at) * MAX_MESSAGES_PER_S / 1000.0
        tokens = min(MAX_MESSAGES_PER_S, bucket.tokens + regained)
        allowed = tokens >= 1.0
        self._buckets[peer] = _TokenBucket(tokens - 1.0 if allowed else tokens, now)
        return allowed
