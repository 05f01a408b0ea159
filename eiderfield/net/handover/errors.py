"""Errors of a handover.

    HandoverError
    ├── MalformedMessageError      a field is missing or has another type
    └── UnsupportedVersionError    the other process speaks another version of the protocol

After any of them each of the two processes continues on its own.
"""

from __future__ import annotations

from eiderfield.errors import EiderfieldError


class HandoverError(EiderfieldError, ValueError):
    """The other process cannot be understood."""


class MalformedMessageError(HandoverError):
    """A message lacks a field, or a field has another type than the protocol says."""

    def __init__(self, field: str, problem: str) -> None:
        """Names the field and what is wrong with it."""
        super().__init__(f"{field} {problem}")
        self.field = field


class UnsupportedVersionError(HandoverError):
    """The other process speaks another version of the protocol."""

    def __init__(self, version: int, supported: int) -> None:
        """Names the version of the other process and the one that is supported here."""
        super().__init__(f"protocol version {version} is not supported (supported: {supported})")
        self.version = version
        self.supported = supported
