"""Parser of a message's head: the start line, the headers, and how the body is framed.

Ambiguous input is rejected: a second length, a length together with chunked coding, folded headers.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from eiderfield.net.http.message import Head, MalformedMessageError
from eiderfield.net.http.status import CONTENT_TOO_LARGE, FIRST_FINAL, NO_CONTENT, NOT_MODIFIED

MAX_HEAD_BYTES = 16384
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


def parse_head(text: str, is_response: bool) -> Head:
    """Parse a head, given without its final empty line; raises `MalformedMessageError`."""
    start, *lines = text.split("\r\n")
    head = _parse_status_line(start) if is_response else _parse_request_line(start)
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
            if name in _SINGLETON_HEADERS:  # two lengths or two ids would be ambiguous
                raise MalformedMessageError(f"{name} stands there twice")
            value = f"{headers[name]}, {value}"
        headers[name] = value


class BodyEnd(Enum):
    """What ends a body."""

    NONE = "there is no body"
    LENGTH = "its length"
    CHUNKED = "its last chunk"
    CLOSE = "the end of the connection"


@dataclass(slots=True, frozen=True)
class Framing:
    """How a body is framed; `length` is in bytes and applies to `BodyEnd.LENGTH`."""

    end: BodyEnd
    length: int = 0


_NO_BODY = Framing(BodyEnd.NONE)
_CHUNKED = Framing(BodyEnd.CHUNKED)
_TO_CLOSE = Framing(BodyEnd.CLOSE)


def framing_of(head: Head, is_response: bool) -> Framing:
    """Return the framing of the body after a head; raises `MalformedMessageError`."""
    if is_response and (head.status < FIRST_FINAL or head.status in (NO_CONTENT, NOT_MODIFIED)):
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
    return _TO_CLOSE if is_response else _NO_BODY


def _coded_framing(head: Head) -> Framing:
    if "content-length" in head.headers:
        raise MalformedMessageError("a length stands beside a transfer coding")
    coding = head.get("transfer-encoding")
    if coding.lower() != "chunked" or head.version == 0:
        raise MalformedMessageError("this transfer coding is not spoken here")
    return _CHUNKED
