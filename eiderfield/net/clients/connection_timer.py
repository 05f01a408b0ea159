"""The timer of a client's connection: the time limit of its current message, or of its idle time."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from eiderfield.connections.admission import AdmissionControl, Limit
from eiderfield.connections.settings import IdleSettings
from eiderfield.exchange.timers import Timer, Timers
from eiderfield.net.clients.message_reader import MessageReader


class TimerSettings(Protocol):
    """The time limits of a listener's connections. They may change while a connection is open."""

    @property
    def timers(self) -> Timers:
        """Timers on the listener's clock."""

    @property
    def idle_settings(self) -> IdleSettings:
        """How long a connection may idle between requests."""

    @property
    def message_timeout(self) -> float:
        """The time limit of a message from its first byte, in ms, where there is no admission control."""

    @property
    def admission(self) -> AdmissionControl | None:
        """Admission control, which sets the time limits of messages; None if there is none."""

    def clock(self) -> float:
        """Return the current time in ms."""


class ConnectionTimer:
    """The only timer of a connection. A message's limit counts from its first byte, not from later ones."""

    def __init__(
        self, settings: TimerSettings, reader: MessageReader, on_expiry: Callable[[], None], now: float
    ) -> None:
        """Call `on_expiry` when a time limit is reached."""
        self.started_at = now  # in ms; when the message or the time that is limited began
        self.limits_message = False  # whether the limit is that of a message whose first byte has arrived
        self._settings = settings
        self._reader = reader
        self._on_expiry = on_expiry
        self._timer: Timer | None = None

    def restart(self, proven: bool, idle_since: float, started_at: float | None = None) -> None:
        """Set the time limit of the message that is arriving, or of the idle time if there is none.

        Args:
            proven: whether the client has sent a request. If not, the limit of a message applies before its
                first byte.
            idle_since: when the last response was written, in ms.
            started_at: when the message or the idle time began, in ms; None for now.
        """
        self.cancel()
        settings = self._settings
        self.limits_message = self._reader.in_message
        self.started_at = settings.clock() if started_at is None else started_at
        if proven and not self.limits_message:
            idle_settings = settings.idle_settings
            at = min(idle_since + idle_settings.idle_timeout, settings.clock() + idle_settings.park_after)
            self._timer = settings.timers.call_at(at, self._on_expiry, deferrable=True)
        else:
            self._timer = settings.timers.call_at(self.message_limit().at, self._on_expiry)

    def message_limit(self) -> Limit:
        """Return the time limit of the message that is arriving, or of a new connection's first message."""
        admission = self._settings.admission
        if admission is None:
            return Limit(self.started_at + self._settings.message_timeout)
        if self._reader.head is None:
            return admission.head_limit(self.started_at)
        return admission.body_limit(self.started_at, self._reader.head_at, self._reader.received_body_bytes)

    def call_at(self, when: float, callback: Callable[[], None]) -> None:
        """Replace the time limit by a call at `when`, in ms."""
        self.cancel()
        self._timer = self._settings.timers.call_at(when, callback)

    def close(self) -> None:
        """Remove the time limit and the callback, so that no reference to the connection remains."""
        self.cancel()
        self._on_expiry = _ignore

    def cancel(self) -> None:
        """Remove the time limit."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def _ignore() -> None:
    """Do nothing."""
