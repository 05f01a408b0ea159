"""Splitter of a byte stream into JSON values and the empty lines between them.

A value may span several lines, since a list may be indented. It is complete at its last bracket, even before
the end of its line: if the line feed is sent with the next heartbeat, up to 2 s later, waiting for it would
delay a drain.
"""

from __future__ import annotations

import re

from eiderfield.net.http import MalformedMessageError

MAX_DEPTH = 64  # nested brackets in a value; a list of endpoints has 3

_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')


class JsonStream:
    """Splits a stream into undecoded values, each of which is returned as soon as it is complete."""

    def __init__(self, max_bytes: int) -> None:
        """Create an empty stream; an incomplete value may have at most `max_bytes`."""
        self._max_bytes = max_bytes
        self._value = bytearray()  # the complete lines of an incomplete value
        self._line = bytearray()  # the incomplete last line
        self._depth = 0  # number of open brackets in `_value`

    def feed(self, data: bytes) -> list[bytes]:
        """Return the values that are complete with `data`, and b"" for each empty line between values.

        Raises `MalformedMessageError` if a value exceeds the limit of its length or depth.
        """
        values: list[bytes] = []
        self._line += data
        while (end := self._line.find(b"\n")) >= 0:
            line = bytes(self._line[: end + 1])
            del self._line[: end + 1]
            values += self._add_line(line)
        if self._line.endswith((b"}", b"]")) and self._closes_value():
            self._value += self._line
            self._line.clear()
            values.append(self._take_value())
        self._check_bounds()
        return values

    def _add_line(self, line: bytes) -> list[bytes]:
        """Return the value that ends with this line, b"" for an empty line between values, or no items."""
        if not self._depth and not line.strip():
            return [b""]
        self._value += line
        self._depth += _open_brackets(line)
        # A value with a negative depth is not JSON; the decoder reports the error.
        return [self._take_value()] if self._depth <= 0 else []

    def _closes_value(self) -> bool:
        """Return whether the incomplete line closes all open brackets and ends outside a string."""
        return b'"' not in _STRING.sub(b"", self._line) and self._depth + _open_brackets(self._line) == 0

    def _take_value(self) -> bytes:
        value = bytes(self._value)
        self._value.clear()
        self._depth = 0
        return value

    def _check_bounds(self) -> None:
        if len(self._value) + len(self._line) > self._max_bytes:
            raise MalformedMessageError("a list is too long")
        if self._depth > MAX_DEPTH:
            raise MalformedMessageError("a list is too deep")


def _open_brackets(line: bytes | bytearray) -> int:
    """Return the number of opening minus closing brackets outside the strings of a line."""
    bare = _STRING.sub(b"", line)
    opened = bare.count(b"{") + bare.count(b"[")
    return opened - bare.count(b"}") - bare.count(b"]")
