"""Errors of a handover.

    HandoverError
    ├── MalformedMessageError      a field is missing or has the wrong type
    └── UnsupportedVersionError    the other process uses another version of the protocol

After any of these errors the link is closed and each process continues independently of the other.
"""

from __future__ import annotations

from eiderfield.errors import EiderfieldError


class HandoverError(EiderfieldError, ValueError):
    """A message of the other process cannot be processed."""


class MalformedMessageError(HandoverError):
    """A message lacks a required field, or a field has a type that the protocol does not allow."""

    def __init__(self, field: str, problem: str) -> None:
        """Create an error about `field`; `problem` completes the sentence that begins with its name."""
        super().__init__(f"{field} {problem}")
        self.field = field


class UnsupportedVersionError(HandoverError):
    """The other process uses another version of the protocol."""

    def __init__(self, version: int, supported: int) -> None:
        """Create an error; `version` is the other process's, `supported` the one of this process."""
        super().__init__(f"protocol version {version} is not supported (supported: {supported})")
        self.version = version
        self.supported = supported
