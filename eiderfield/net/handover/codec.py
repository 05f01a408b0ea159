"""Codec of the messages of one link."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from eiderfield.net.clock import WallClock
from eiderfield.net.handover.decoder import Decoder
from eiderfield.net.handover.encoder import WireMessage, encode
from eiderfield.net.handover.messages import Message


class Codec:
    """Converts messages, whose times are of this process's clock, to and from the wire form."""

    def __init__(self, clock: Callable[[], float], wall: WallClock, log: Callable[[str], None]) -> None:
        """Creates a codec for the process with this clock; `wall` relates the clock to Unix time."""
        self._clock = clock
        self._wall = wall
        self._decoder = Decoder(clock, wall, log)

    def encode(self, message: Message) -> WireMessage:
        """Return the wire form of a message."""
        return encode(message, self._clock(), self._wall.offset())

    def decode(self, fields: Mapping[str, object]) -> Message:
        """Decode a message; raises `MalformedMessageError`."""
        return self._decoder.decode(fields)
