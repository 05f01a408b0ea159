"""Errors of the exchange."""

from __future__ import annotations

from eiderfield.errors import EiderfieldError


class ExchangeError(EiderfieldError, ValueError):
    """Base of the errors of the exchange."""


class RequestIdInUseError(ExchangeError):
    """A request with this id is pending or has an open attempt.

    Attributes:
        id: The id of the refused request.
    """

    def __init__(self, id_: str) -> None:
        """Create an error for a refused request."""
        super().__init__(f"request {id_} is there already")
        self.id = id_


class FixedSettingError(ExchangeError):
    """A new value of a setting takes effect only in a new process.

    Attributes:
        key: Full name of the setting.
    """

    def __init__(self, key: str, reason: str) -> None:
        """`reason` follows the key in the message."""
        super().__init__(f"{key} {reason}")
        self.key = key
