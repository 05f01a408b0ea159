"""An incremental parser of HTTP/1.1 requests and responses. Performs no I/O.

    HEAD ──(a complete head)──> FIXED | CHUNK_SIZE | TO_CLOSE | DONE
    CHUNK_SIZE ──> CHUNK ──> CHUNK_END ──> CHUNK_SIZE ... ──(an empty chunk)──> TRAILER ──> DONE
    FIXED ──(its last byte)──> DONE        TO_CLOSE ──(end of the connection)──> HEAD
    DONE ──(the end is returned)──> HEAD

Only received bytes change the state. Invariants: ambiguous input is rejected; buffers stay within limits; the
work of one `poll` is bounded, however small the chunks and lines are.
"""

from __future__ import annotations

import re
from enum import Enum

from eiderfield.net.http.head import MAX_HEAD_BYTES, BodyEnd, framing_of, parse_head
from eiderfield.net.http.message import END, End, Head, MalformedMessageError
from eiderfield.net.http.status import CONTENT_TOO_LARGE

MAX_BODY_BYTES = 65536  # of a request's body
MAX_CHUNK_LINE_BYTES = 256  # of the line with a chunk's size

MAX_ELEMENTS_PER_POLL = 64  # chunks and lines
MAX_EMPTY_LINE_BYTES = MAX_HEAD_BYTES  # of empty lines before a start line

_EMPTY_LINES = re.compile(rb"(?:\r\n)*")
_CHUNK_SIZE = re.compile(rb"[0-9A-Fa-f]{1,8}\Z")


class _State(Enum):
    HEAD = 0
    FIXED = 1
    CHUNK_SIZE = 2
    CHUNK = 3
    CHUNK_END = 4
    TRAILER = 5
    TO_CLOSE = 6
    DONE = 7


_AFTER_HEAD = {
    BodyEnd.NONE: _State.DONE,
    BodyEnd.LENGTH: _State.FIXED,
    BodyEnd.CHUNKED: _State.CHUNK_SIZE,
    BodyEnd.CLOSE: _State.TO_CLOSE,
}
_WITHOUT_CHUNKS = (_State.FIXED, _State.TO_CLOSE)


class Parser:
    """Parses the messages of one connection: `feed` received bytes, then `poll` until it returns None."""

    def __init__(self, responses: bool = False, max_body: int = MAX_BODY_BYTES) -> None:
        """Create a parser; `max_body` limits a body's bytes, 0 for no limit."""
        self._is_response = responses
        self._max_body = max_body
        self._buffer = bytearray()
        self._state = _State.HEAD
        self._remaining_bytes = 0  # bytes of the body or of the chunk that are not yet received
        self._body_bytes = 0  # bytes of the body, including announced ones
        self._trailer_bytes = 0
        self._empty_line_bytes = 0
        self.elements = 0  # heads, chunks and lines parsed so far

    @property
    def buffered(self) -> int:
        """The number of received bytes that are not yet parsed."""
        return len(self._buffer)

    @property
    def expected_body_bytes(self) -> int:
        """The number of bytes of the body, or of its current chunk, that are not yet received."""
        return self._remaining_bytes

    @property
    def incomplete_head(self) -> bytes | None:
        """The received part of an incomplete head (empty between messages), None within a message."""
        return bytes(self._buffer) if self._state == _State.HEAD else None

    @property
    def at_boundary(self) -> bool:
        """Whether the last message is complete and no byte of the next one is received."""
        return self._state == _State.HEAD and not self._buffer

    def feed(self, data: bytes | bytearray | memoryview) -> None:
        """Append received bytes."""
        self._buffer += data

    def finish(self) -> End | None:
        """Record the end of the connection; return `END` if it ends the message.

        Raises `MalformedMessageError` if the message is incomplete.
        """
        if self._state == _State.TO_CLOSE:
            self._state = _State.HEAD
            return END
        if not self.at_boundary:
            raise MalformedMessageError("the connection ended within a message")
        return None

    def poll(self) -> Head | bytes | End | None:
        """Return the next head, part of a body or end of a message; None if more bytes are needed.

        A part may be empty: then the limit of the work of one call is reached.
        """
        while True:
            if self._state == _State.HEAD:
                return self._read_head()
            if self._state == _State.DONE:
                self._state = _State.HEAD
                return END
            if self._state in _WITHOUT_CHUNKS:
                return self._read_body()
            data = self._read_chunks()
            if data is None or data or not self._is_done:
                return data

    @property
    def _is_done(self) -> bool:
        return self._state == _State.DONE

    def _read_chunks(self) -> bytes | None:
        """Parse chunks and the lines around them; return their data, None if nothing is complete."""
        data = bytearray()
        last = self.elements + MAX_ELEMENTS_PER_POLL
        while self.elements < last and self._state != _State.DONE:
            if self._state != _State.CHUNK:
                complete = self._read_chunk_line()
            else:
                part = self._read_body()
                complete = part is not None
                data += part or b""
            if not complete:
                return bytes(data) or None
        return bytes(data)

    def _read_head(self) -> Head | None:
        self._skip_empty_lines()
        end = self._buffer.find(b"\r\n\r\n", 0, MAX_HEAD_BYTES)
        if end < 0:
            if len(self._buffer) >= MAX_HEAD_BYTES:
                raise MalformedMessageError("the head is too long", CONTENT_TOO_LARGE)
            return None
        text = self._buffer[:end].decode("latin-1")
        del self._buffer[: end + 4]
        self.elements += 1
        self._empty_line_bytes = 0
        head = parse_head(text, self._is_response)
        framing = framing_of(head, self._is_response)
        self._body_bytes = 0
        self._remaining_bytes = framing.length
        self._count_body(framing.length)
        self._state = _AFTER_HEAD[framing.end]
        return head

    def _skip_empty_lines(self) -> None:
        """Skip empty lines before a start line, which RFC 9112 asks to ignore, up to a limit."""
        empty_lines = _EMPTY_LINES.match(self._buffer)
        length = 0 if empty_lines is None else empty_lines.end()
        del empty_lines  # it prevents the buffer from being resized
        if not length:
            return
        del self._buffer[:length]
        self._empty_line_bytes += length
        if self._empty_line_bytes > MAX_EMPTY_LINE_BYTES:
            raise MalformedMessageError("too many empty lines", CONTENT_TOO_LARGE)

    def _read_body(self) -> bytes | None:
        if not self._buffer:
            return None
        if self._state == _State.TO_CLOSE:
            data = bytes(self._buffer)
            self._buffer.clear()
            self._count_body(len(data))
            return data
        data = bytes(self._buffer[: self._remaining_bytes])
        del self._buffer[: len(data)]
        self._remaining_bytes -= len(data)
        if not self._remaining_bytes:
            self._state = _State.DONE if self._state == _State.FIXED else _State.CHUNK_END
        return data

    def _read_chunk_line(self) -> bool:
        """Parse a line between chunks or after the last one; return whether there was one."""
        line = self._read_line(MAX_HEAD_BYTES if self._state == _State.TRAILER else MAX_CHUNK_LINE_BYTES)
        if line is None:
            return False
        if self._state == _State.CHUNK_END:
            if line:
                raise MalformedMessageError("a chunk is longer than its size says")
            self._state = _State.CHUNK_SIZE
        elif self._state == _State.CHUNK_SIZE:
            self._start_chunk(line)
        else:
            self._add_to_trailer(line)
        return True

    def _read_line(self, max_bytes: int) -> bytes | None:
        end = self._buffer.find(b"\n", 0, max_bytes + 2)
        if end < 0:
            if len(self._buffer) > max_bytes:
                raise MalformedMessageError("a line is too long", CONTENT_TOO_LARGE)
            return None
        if end == 0 or self._buffer[end - 1 : end] != b"\r":
            raise MalformedMessageError("a line ends without a carriage return")
        line = bytes(self._buffer[: end - 1])
        del self._buffer[: end + 1]
        self.elements += 1
        return line

    def _start_chunk(self, line: bytes) -> None:
        size = line.partition(b";")[0].strip(b" \t")
        if not _CHUNK_SIZE.match(size):
            raise MalformedMessageError("a chunk's size is not a number")
        self._remaining_bytes = int(size, 16)
        self._trailer_bytes = 0
        self._state = _State.CHUNK if self._remaining_bytes else _State.TRAILER
        self._count_body(self._remaining_bytes)

    def _add_to_trailer(self, line: bytes) -> None:
        """Skip a line of the trailer; an empty one ends it."""
        if not line:
            self._state = _State.DONE
            return
        self._trailer_bytes += len(line)
        if self._trailer_bytes > MAX_HEAD_BYTES:
            raise MalformedMessageError("the trailer is too long", CONTENT_TOO_LARGE)

    def _count_body(self, received: int) -> None:
        self._body_bytes += received
        if self._max_body and self._body_bytes > self._max_body:
            raise MalformedMessageError("the body is too long", CONTENT_TOO_LARGE)
