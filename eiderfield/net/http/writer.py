"""Encoder of complete messages."""

from __future__ import annotations

from collections.abc import Mapping

from eiderfield.net.http.status import (
    BAD_GATEWAY,
    BAD_REQUEST,
    CONFLICT,
    CONTENT_TOO_LARGE,
    CREATED,
    METHOD_NOT_ALLOWED,
    NOT_FOUND,
    OK,
    REQUEST_TIMEOUT,
    SERVICE_UNAVAILABLE,
)

_REASONS = {
    OK: "OK",
    CREATED: "Created",
    BAD_REQUEST: "Bad Request",
    NOT_FOUND: "Not Found",
    METHOD_NOT_ALLOWED: "Method Not Allowed",
    REQUEST_TIMEOUT: "Request Timeout",
    CONFLICT: "Conflict",
    CONTENT_TOO_LARGE: "Content Too Large",
    BAD_GATEWAY: "Bad Gateway",
    SERVICE_UNAVAILABLE: "Service Unavailable",
}


def response_bytes(status: int, body: bytes = b"", keep_alive: bool = True, **headers: str) -> bytes:
    """Encode a response. Keywords are headers, with underscores in place of hyphens."""
    lines = [f"HTTP/1.1 {status} {_REASONS.get(status, 'Other')}", f"Content-Length: {len(body)}"]
    lines += _header_lines(headers)
    if not keep_alive:
        lines.append("Connection: close")
    return _message(lines, body)


def request_bytes(method: str, target: str, host: str, body: bytes = b"", **headers: str) -> bytes:
    """Encode a request. Keywords are headers, with underscores in place of hyphens."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
    lines += _header_lines(headers)
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return _message(lines, body)


def _header_lines(headers: Mapping[str, str]) -> list[str]:
    return [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]


def _message(lines: list[str], body: bytes) -> bytes:
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body
