"""The head of a message: its start line, its headers, and how its body is framed.

Input that could be read in two ways is rejected rather than guessed at: a second length, a length beside
chunked coding, folded headers.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from eiderfield.net.http.message import Head, MalformedMessageError
from eiderfield.net.http.status import CONTENT_TOO_LARGE, FIRST_FINAL, NO_CONTENT, NOT_MODIFIED

MAX_HEAD = 16384  # bytes
MAX_HEADERS = 100

_TOKEN = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+\Z")
_TARGET = re.compile(r"[!-~]+\Z")
_VALUE = re.compile(r"[\t -~\x80-\xff]*\Z")
_DIGITS = re.compile(r"[0-9]{1,15}\Z")
_STATUS = re.compile(r"[1-5][0-9][0-9]\Z")
_VERSIONS = ("HTTP/1.1", "HTTP/1.0")
_SINGLETON_HEADERS = frozenset(
    {
        "content-length",
        "transfer-encoding",
        "host",
        "x-request-id",
        "x-deadline-ms",
        "idempotency-key",
    }
)


def parse_head(text: str, is_answer: bool) -> Head:
    """A head's text, without the empty line that ends it."""
    start, *lines = text.split("\r\n")
    head = _parse_status_line(start) if is_answer else _parse_request_line(start)
    if len(lines) > MAX_HEADERS:
        raise MalformedMessageError("too many headers", CONTENT_TOO_LARGE)
    _parse_headers(head, lines)
    return head


def _parse_status_line(line: str) -> Head:
    version, _, status_and_reason = line.partition(" ")
    status, _, _ = status_and_reason.partition(" ")
    if version not in _VERSIONS or not _STATUS.match(status):
        raise MalformedMessageError("the status line is malformed")
    return Head(status=int(status), version=int(version[-1]))


def _parse_request_line(line: str) -> Head:
    method, _, target_and_version = line.partition(" ")
    target, separator, version = target_and_version.partition(" ")
    if not separator or not _TOKEN.match(method) or not _TARGET.match(target):
        raise MalformedMessageError("the request line is malformed")
    if version not in _VERSIONS:
        raise MalformedMessageError("this version is not spoken here")
    return Head(method, target, version=int(version[-1]))


def _parse_headers(head: Head, lines: Iterable[str]) -> None:
    headers = head.headers
    for line in lines:
        name, colon, value = line.partition(":")
        value = value.strip(" \t")
        if not colon or not _TOKEN.match(name) or not _VALUE.match(value):
            raise MalformedMessageError("a header is malformed")
        name = name.lower()
        if name in headers:
            if name in _SINGLETON_HEADERS:  # two lengths, or two ids, could be read in two ways
                raise MalformedMessageError(f"{name} stands there twice")
            value = f"{headers[name]}, {value}"
        headers[name] = value


class BodyEnd(Enum):
    """What ends a body."""

    NONE = "there is no body"
    LENGTH = "its length"
    CHUNKED = "its last chunk"
    CLOSE = "the connection's end"


@dataclass(slots=True, frozen=True)
class Framing:
    """How a body is framed; `length` counts where that ends it."""

    end: BodyEnd
    length: int = 0


_NO_BODY = Framing(BodyEnd.NONE)
_CHUNKED = Framing(BodyEnd.CHUNKED)
_TO_CLOSE = Framing(BodyEnd.CLOSE)


def framing_of(head: Head, is_answer: bool) -> Framing:
    """The framing that a head tells."""
    if is_answer and (head.status < FIRST_FINAL or head.status in (NO_CONTENT, NOT_MODIFIED)):
        return _NO_BODY
    if head.get("transfer-encoding"):
        return _coded_framing(head)
    if "content-length" in head.headers:
        text = head.get("content-length")
        if not _DIGITS.match(text):
            raise MalformedMessageError("the length is not a number")
        length = int(text)
        return Framing(BodyEnd.LENGTH, length) if length else _NO_BODY
    if "transfer-encoding" in head.headers:
        raise MalformedMessageError("the transfer coding is empty")
    return _TO_CLOSE if is_answer else _NO_BODY


def _coded_framing(head: Head) -> Framing:
    if "content-length" in head.headers:
        raise MalformedMessageError("a length stands beside a transfer coding")
    coding = head.get("transfer-encoding")
    if coding.lower() != "chunked" or head.version == 0:
        raise MalformedMessageError("this transfer coding is not spoken here")
    return _CHUNKED
