"""Filter for the datagrams of peers, by version, order and rate. Performs no I/O.

Each datagram begins with an envelope: version, incarnation and sequence number. The network may duplicate,
reorder and delay messages, and a message of a peer's earlier incarnation would count requests that
ended with that process. Incarnations are numbered by Unix time, which may be stepped back. Therefore an
incarnation that has sent nothing for `INCARNATION_TIMEOUT_MS` may be followed by one with a lower number.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from struct import Struct

ENVELOPE_VERSION = 1
MAX_MESSAGE_BYTES = 256  # including the envelope; required by the protocol
INCARNATION_TIMEOUT_MS = 2000.0  # a peer's report is used for no longer than this
MAX_MESSAGES_PER_S = 2000.0  # rate limit for each peer, and size of its largest burst

_ENVELOPE = Struct("<BIH")  # version, incarnation of the sender, sequence number in that incarnation
_MAX_INCARNATION = 0xFFFFFFFF
_MAX_SEQUENCE = 0xFFFF
_INCARNATION_MS = 10.0  # Unix time in which the number of new incarnations grows by 1


class Reception(Enum):
    """The result of receiving a message. The values are the keys of the console's counters."""

    ACCEPTED = "heard"
    UNKNOWN_SENDER = "strangers"
    RATE_LIMITED = "flood"
    MALFORMED = "malformed"
    OTHER_VERSION = "other_form"
    EARLIER_INCARNATION = "earlier_life"
    OUT_OF_ORDER = "out_of_order"


@dataclass(slots=True, frozen=True)
class Received:
    """The result of receiving a message, with the message's data if it is accepted."""

    reception: Reception
    data: bytes = b""


@dataclass(slots=True, frozen=True)
class Envelope:
    """The incarnation of a message's sender, and the sequence number of the message in it."""

    incarnation: int
    sequence: int

    def pack(self, data: bytes) -> bytes:
        """Return a message with this envelope and `data`."""
        return _ENVELOPE.pack(ENVELOPE_VERSION, self.incarnation, self.sequence) + data

    def next(self) -> Envelope:
        """Return the envelope of the next message."""
        return Envelope(self.incarnation, (self.sequence + 1) & _MAX_SEQUENCE)


def first_envelope(unix_ms: float) -> Envelope:
    """Return the envelope that precedes that of the first message of an incarnation starting now.

    Incarnations that start in the next 497 days have higher numbers, unless the wall clock is stepped back.
    """
    return Envelope(int(unix_ms / _INCARNATION_MS) & _MAX_INCARNATION, 0)


def fits_message_limit(data: bytes) -> bool:
    """Return whether a message with `data` is within `MAX_MESSAGE_BYTES`."""
    return len(data) + _ENVELOPE.size <= MAX_MESSAGE_BYTES


@dataclass(slots=True, frozen=True)
class _LastAccepted:
    envelope: Envelope
    at: float


@dataclass(slots=True, frozen=True)
class _TokenBucket:
    tokens: float  # number of messages that are accepted at once
    updated_at: float


class PeerFilter:
    """Decides which messages of each peer are accepted, by the rate and the last accepted message."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Create a filter that has received no message; `clock` is the process's clock, in ms."""
        self._clock = clock
        self._last_accepted: dict[int, _LastAccepted] = {}
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
        self._last_accepted[peer] = _LastAccepted(envelope, self._clock())
        return Received(Reception.ACCEPTED, message[_ENVELOPE.size :])

    def _check_order(self, peer: int, envelope: Envelope) -> Reception:
        last = self._last_accepted.get(peer)
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
