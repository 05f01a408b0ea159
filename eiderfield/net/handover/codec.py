"""Codec for the messages of one link."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from eiderfield.net.clock import WallClock
from eiderfield.net.handover.decoder import Decoder
from eiderfield.net.handover.encoder import WireMessage, encode
from eiderfield.net.handover.messages import Message


class Codec:
    """Converts messages to and from the wire form. Times in messages are on this process's clock."""

    def __init__(self, clock: Callable[[], float], wall: WallClock, log: Callable[[str], None]) -> None:
        """Create a codec.

        Args:
            clock: The process's clock, in ms.
            wall: Converts times of `clock` to Unix time.
            log: Called with a line for operators.
        """
        self._clock = clock
        self._wall = wall
        self._decoder = Decoder(clock, wall, log)

    def encode(self, message: Message) -> WireMessage:
        """Return the wire form of a message."""
        return encode(message, self._clock(), self._wall.offset())

    def decode(self, fields: Mapping[str, object]) -> Message:
        """Decode a message; raises `MalformedMessageError`."""
        return self._decoder.decode(fields)
