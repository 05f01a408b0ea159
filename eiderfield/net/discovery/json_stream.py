"""Cuts a stream of bytes into JSON values and the empty lines between them.

A value may stand on several lines, for lists come indented, and is whole with its last bracket, whether or
not its line has ended: a line feed that comes with the next sign of life, 2 s later, would delay a drain.
"""

from __future__ import annotations

import re

from eiderfield.net.http import MalformedMessageError

MAX_DEPTH = 64  # brackets open in a value; a list of endpoints has three

_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')


class JsonStream:
    """Values are handed out as text, undecoded, as soon as they are whole."""

    def __init__(self, max_bytes: int) -> None:
        """`max_bytes` bounds what is kept of a value that is not whole."""
        self._max_bytes = max_bytes
        self._value = bytearray()  # the lines, all ended, of a value that is not whole
        self._line = bytearray()  # a line that has not ended
        self._depth = 0  # brackets open in `_value`

    def feed(self, data: bytes) -> list[bytes]:
        """The values that this completes, and an empty text for each empty line between two."""
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
        """The value that a line completes, if it does, or the empty text of an empty line."""
        if not self._depth and not line.strip():
            return [b""]
        self._value += line
        self._depth += _open_brackets(line)
        # Below 0 it is no JSON at all, which whoever decodes it finds out.
        return [self._take_value()] if self._depth <= 0 else []

    def _closes_value(self) -> bool:
        """Whether the line that has not ended closes all that is open, and not within a string."""
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
    """How many brackets a line leaves open; below 0, closes."""
    bare = _STRING.sub(b"", line)
    opened = bare.count(b"{") + bare.count(b"[")
    return opened - bare.count(b"}") - bare.count(b"]")
