"""Assembles the messages of a client's connection from the bytes that arrive."""

from __future__ import annotations

from collections.abc import Callable

from eiderfield.net.clients.arrivals import ArrivalTimes
from eiderfield.net.http import Head, Parser


class MessageReader:
    """The incoming side of one connection: parsed and unparsed bytes, and when they arrived. No I/O."""

    def __init__(self, clock: Callable[[], float], opened_at: float, unparsed: bytes | None = None) -> None:
        """Start with `unparsed` bytes, if any, which count as arrived at `opened_at` (ms)."""
        self.head: Head | None = None  # of a message whose body is incomplete
        self.head_at = opened_at  # when that head was complete
        self.last_byte_at = opened_at
        self._head_bytes = 0  # memory that `head` takes
        self.interrupted = False  # whether the last search for a message was ended by its limit of work
        self.expects_continue = False  # whether the client waits for an interim response to `head`
        self._clock = clock
        self._body = bytearray()  # of the message that is arriving, or of the one returned last
        self._parser = Parser()
        self._arrivals = ArrivalTimes()
        if unparsed is not None:
            self.feed(unparsed, opened_at)

    @property
    def buffered(self) -> int:
        """Bytes that have arrived and are not parsed."""
        return self._parser.buffered

    @property
    def elements(self) -> int:
        """Heads, chunks and lines parsed so far."""
        return self._parser.elements

    @property
    def held_bytes(self) -> int:
        """About how many bytes of memory the message that is arriving takes, unparsed bytes included."""
        head_bytes = 0 if self.head is None else self._head_bytes
        return self._parser.buffered + len(self._body) + head_bytes

    @property
    def expected_body_bytes(self) -> int:
        """Bytes of the body of the message that is arriving, or of its current chunk, that are missing."""
        return self._parser.expected_body_bytes

    @property
    def received_body_bytes(self) -> int:
        """Bytes of the body of the message that is arriving."""
        return len(self._body)

    @property
    def in_message(self) -> bool:
        """Whether a part of a message has arrived."""
        return not self._parser.at_boundary

    @property
    def partial_head(self) -> bytes | None:
        """The received part of an incomplete head (empty between messages), None within a body."""
        return None if self.head is not None else self._parser.incomplete_head

    def feed(self, data: bytes | memoryview, now: float) -> None:
        """Take bytes that have arrived."""
        self.last_byte_at = now
        self._arrivals.record(len(data), now)
        self._parser.feed(data)

    def next_message(self, max_elements: int) -> Head | None:
        """Return the head of the next complete message; `take_body` returns its body until the next call.

        Returns:
            None where no message is complete, once when `expects_continue` becomes set, and with
            `interrupted` set where `max_elements` were parsed and more may have arrived.

        Raises:
            MalformedMessageError: the bytes are no message that the server accepts.
        """
        last_element = self._parser.elements + max_elements
        self.interrupted = False
        while (part := self._parser.poll()) is not None:
            if isinstance(part, Head):
                self.head = part
                self.head_at = self._clock()
                self._head_bytes = part.memory_bytes
                self._body.clear()
                if part.get("expect").lower() == "100-continue":
                    self.expects_continue = True
                    return None
            elif isinstance(part, bytes):
                self._body += part
                if self._parser.elements >= last_element:
                    self.interrupted = True
                    return None
            elif self.head is not None:
                head, self.head = self.head, None
                return head
        return None

    def take_body(self) -> bytes:
        """Return the body of the message that `next_message` returned, and hold it no longer."""
        body, self._body = bytes(self._body), bytearray()
        return body

    def clear(self) -> None:
        """Give back the memory of all bytes: none of them will be read."""
        self.head = None
        self._body = bytearray()
        self._parser = Parser()

    def first_byte_at(self) -> float:
        """Return when the first unparsed byte arrived, maybe before the last response; now if none."""
        return self._arrivals.first_at(self._parser.buffered, self._clock())

    def restart_arrivals(self) -> None:
        """Count unparsed bytes as arrived now: while reading was paused, the client could not send more."""
        self._arrivals.restart(self._clock())
