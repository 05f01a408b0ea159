"""Error of a faulty configuration."""

from __future__ import annotations

from eiderfield.errors import EiderfieldError


class ConfigError(EiderfieldError, ValueError):
    """A setting is missing or wrong.

    Attributes:
        key: Full name of the faulty setting, or what names a file that cannot be read; empty if no single
            setting is at fault.
        source: What the file holds, None if it could not be parsed.
    """

    def __init__(self, message: str, *, key: str = "") -> None:
        """`message` names the key where there is one."""
        super().__init__(message)
        self.key = key
        self.source: object = None
