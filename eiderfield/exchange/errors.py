"""Errors of the exchange."""

from __future__ import annotations

from eiderfield.errors import EiderfieldError


class ExchangeError(EiderfieldError, ValueError):
    """Base of the errors of the exchange."""


class RequestIdInUseError(ExchangeError):
    """The request id is used by another request, which is pending or has an open attempt.

    Attributes:
        id: The request id.
    """

    def __init__(self, id_: str) -> None:
        """Create an error for the request id `id_`."""
        super().__init__(f"request id {id_} is already in use")
        self.id = id_


class FixedSettingError(ExchangeError):
    """A setting was changed that only a new process can apply.

    Attributes:
        key: The full name of the setting.
    """

    def __init__(self, key: str, reason: str) -> None:
        """Create an error whose message is `key` followed by `reason`."""
        super().__init__(f"{key} {reason}")
        self.key = key
