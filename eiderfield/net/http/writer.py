"""The bytes of whole messages."""

from __future__ import annotations

from collections.abc import Mapping

_REASONS = {
    200: "OK",
    201: "Created",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    502: "Bad Gateway",
    503: "Service Unavailable",
}


def answer_bytes(status: int, body: bytes = b"", keep: bool = True, **headers: str) -> bytes:
    """A whole answer. Keywords are headers, with underscores for hyphens."""
    lines = [f"HTTP/1.1 {status} {_REASONS.get(status, 'Other')}", f"Content-Length: {len(body)}"]
    lines += _header_lines(headers)
    if not keep:
        lines.append("Connection: close")
    return _joined(lines, body)


def request_bytes(method: str, target: str, host: str, body: bytes = b"", **headers: str) -> bytes:
    """A whole request. Keywords are headers, with underscores for hyphens."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
    lines += _header_lines(headers)
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return _joined(lines, body)


def _header_lines(headers: Mapping[str, str]) -> list[str]:
    return [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]


def _joined(lines: list[str], body: bytes) -> bytes:
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body
