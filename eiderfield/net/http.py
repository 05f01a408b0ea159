"""An incremental parser of HTTP/1.1, for requests and answers alike. It does no I/O.

Input that could be read in two ways is rejected rather than guessed at: a second length, a length beside
chunked coding, folded headers, bare line feeds.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from enum import Enum

MAX_BODY = 65536
MAX_HEAD = 16384
MAX_HEADERS = 100
MAX_CHUNK_LINE = 256

_TOKEN = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+\Z")
_TARGET = re.compile(r"[!-~]+\Z")
_VALUE = re.compile(r"[\t -~\x80-\xff]*\Z")
_DIGITS = re.compile(r"[0-9]{1,15}\Z")
_STATUS = re.compile(r"[1-5][0-9][0-9]\Z")
_HEX = re.compile(rb"[0-9A-Fa-f]{1,8}\Z")


class Malformed(ValueError):
    """Input that breaks the protocol, with the status that says so."""

    def __init__(self, text: str, status: int = 400) -> None:
        super().__init__(text)
        self.status = status


@dataclass(slots=True)
class Head:
    """A start line and headers. `method` and `target` are empty in an answer, `status` is 0 in a request."""

    method: str = ""
    target: str = ""
    status: int = 0
    version: int = 1
    headers: dict[str, str] = field(default_factory=dict)

    def get(self, name: str) -> str:
        """A header's value, empty if there is none."""
        return self.headers.get(name, "")

    @property
    def keeps(self) -> bool:
        """Whether the connection stays usable after this message."""
        words = [word.strip().lower() for word in self.get("connection").split(",")]
        return "close" not in words and (self.version == 1 or "keep-alive" in words)


class End:
    """The end of a message."""

    __slots__ = ()


END = End()


class _At(Enum):
    HEAD = 0
    FIXED = 1
    SIZE = 2
    CHUNK = 3
    CHUNK_END = 4
    TRAILER = 5
    TO_CLOSE = 6
    DONE = 7


_ONCE = {"content-length", "transfer-encoding", "host", "x-request-id", "x-deadline-ms", "idempotency-key"}


class Parser:
    """Feed it bytes, then take what they complete with `poll` until that gives None."""

    def __init__(self, answers: bool = False, max_body: int = MAX_BODY) -> None:
        self._answers = answers
        self._max_body = max_body  # 0: any; such a body must be taken as it comes
        self._buffer = bytearray()
        self._at = _At.HEAD
        self._left = 0  # bytes left of the fixed body or of the chunk
        self._body = 0  # bytes of body so far
        self._trailer = 0

    @property
    def buffered(self) -> int:
        """Bytes that have come and are not yet taken."""
        return len(self._buffer)

    @property
    def begun(self) -> bytes | None:
        """What has come of a message whose head is not whole, None within a message."""
        return bytes(self._buffer) if self._at == _At.HEAD else None

    @property
    def between(self) -> bool:
        """Whether the parser stands between two messages, with nothing of the next one."""
        return self._at == _At.HEAD and not self._buffer

    def feed(self, data: bytes | bytearray | memoryview) -> None:
        """Takes bytes in."""
        self._buffer += data

    def finish(self) -> End | None:
        """The connection's end: it ends a body that has no other end, and breaks any other message."""
        if self._at == _At.TO_CLOSE:
            self._at = _At.HEAD
            return END
        if not self.between:
            raise Malformed("the connection ended within a message")
        return None

    def poll(self) -> Head | bytes | End | None:
        """The next head, piece of a body or end of a message; None until more bytes come."""
        while True:
            if self._at == _At.HEAD:
                return self._head()
            if self._at == _At.DONE:
                self._at = _At.HEAD
                return END
            if self._at in (_At.FIXED, _At.CHUNK, _At.TO_CLOSE):
                return self._data()
            line = self._line(MAX_CHUNK_LINE if self._at != _At.TRAILER else MAX_HEAD)
            if line is None:
                return None
            if self._at == _At.CHUNK_END:
                if line:
                    raise Malformed("a chunk is longer than its size says")
                self._at = _At.SIZE
            elif self._at == _At.SIZE:
                self._size(line)
            elif not line:
                self._at = _At.DONE
            else:
                self._trailer += len(line)
                if self._trailer > MAX_HEAD:
                    raise Malformed("the trailer is too long", 413)

    def _line(self, most: int) -> bytes | None:
        end = self._buffer.find(b"\n", 0, most + 2)
        if end < 0:
            if len(self._buffer) > most:
                raise Malformed("a line is too long", 413)
            return None
        if end == 0 or self._buffer[end - 1] != 13:
            raise Malformed("a line ends without a carriage return")
        line = bytes(self._buffer[: end - 1])
        del self._buffer[: end + 1]
        return line

    def _size(self, line: bytes) -> None:
        size = line.partition(b";")[0].strip(b" \t")
        if not _HEX.match(size):
            raise Malformed("a chunk's size is not a number")
        self._left = int(size, 16)
        self._trailer = 0
        self._at = _At.CHUNK if self._left else _At.TRAILER
        self._count(self._left)

    def _count(self, more: int) -> None:
        self._body += more
        if self._max_body and self._body > self._max_body:
            raise Malformed("the body is too long", 413)

    def _data(self) -> bytes | None:
        if not self._buffer:
            return None
        if self._at == _At.TO_CLOSE:
            data = bytes(self._buffer)
            self._buffer.clear()
            self._count(len(data))
            return data
        data = bytes(self._buffer[: self._left])
        del self._buffer[: len(data)]
        self._left -= len(data)
        if not self._left:
            self._at = _At.DONE if self._at == _At.FIXED else _At.CHUNK_END
        return data

    def _head(self) -> Head | None:
        while self._buffer.startswith(b"\r\n"):  # empty lines before a start line are to be ignored
            del self._buffer[:2]
        end = self._buffer.find(b"\r\n\r\n", 0, MAX_HEAD)
        if end < 0:
            if len(self._buffer) >= MAX_HEAD:
                raise Malformed("the head is too long", 413)
            return None
        text = self._buffer[:end].decode("latin-1")
        del self._buffer[: end + 4]
        start, *lines = text.split("\r\n")
        head = self._start(start)
        if len(lines) > MAX_HEADERS:
            raise Malformed("too many headers", 413)
        for line in lines:
            name, colon, value = line.partition(":")
            value = value.strip(" \t")
            if not colon or not _TOKEN.match(name) or not _VALUE.match(value):
                raise Malformed("a header is malformed")
            name = name.lower()
            if name in head.headers:
                if name in _ONCE:  # two lengths, or two ids, could be read in two ways
                    raise Malformed(f"{name} stands there twice")
                value = f"{head.headers[name]}, {value}"
            head.headers[name] = value
        self._frame(head)
        return head

    def _start(self, line: str) -> Head:
        parts = line.split(" ", 2)
        if self._answers:
            known = parts[0] in ("HTTP/1.1", "HTTP/1.0")
            if len(parts) < 2 or not known or not _STATUS.match(parts[1]):
                raise Malformed("the status line is malformed")
            return Head(status=int(parts[1]), version=int(parts[0][-1]))
        if len(parts) != 3 or not _TOKEN.match(parts[0]) or not _TARGET.match(parts[1]):
            raise Malformed("the request line is malformed")
        if parts[2] not in ("HTTP/1.1", "HTTP/1.0"):
            raise Malformed("this version is not spoken here")
        return Head(parts[0], parts[1], version=int(parts[2][-1]))

    def _frame(self, head: Head) -> None:
        """How the body ends."""
        self._body = 0
        length, coding = head.get("content-length"), head.get("transfer-encoding")
        if self._answers and (head.status < 200 or head.status in (204, 304)):
            self._at = _At.DONE
            return
        if coding:
            if "content-length" in head.headers:
                raise Malformed("a length stands beside a transfer coding")
            if coding.lower() != "chunked" or head.version == 0:
                raise Malformed("this transfer coding is not spoken here")
            self._at = _At.SIZE
        elif "content-length" in head.headers:
            if not _DIGITS.match(length):
                raise Malformed("the length is not a number")
            self._left = int(length)
            self._count(self._left)
            self._at = _At.FIXED if self._left else _At.DONE
        elif "transfer-encoding" in head.headers:
            raise Malformed("the transfer coding is empty")
        else:
            self._at = _At.TO_CLOSE if self._answers else _At.DONE


_REASONS = {
    200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
    408: "Request Timeout", 409: "Conflict", 413: "Content Too Large", 502: "Bad Gateway",
    503: "Service Unavailable",
}  # fmt: skip


def answer_bytes(status: int, body: bytes = b"", keep: bool = True, **headers: str) -> bytes:
    """A whole answer. Keywords are headers, with underscores for hyphens."""
    lines = [f"HTTP/1.1 {status} {_REASONS.get(status, 'Other')}", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    if not keep:
        lines.append("Connection: close")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def request_bytes(method: str, target: str, host: str, body: bytes = b"", **headers: str) -> bytes:
    """A whole request. Keywords are headers, with underscores for hyphens."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body
