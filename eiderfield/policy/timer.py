"""The timer of a dispatcher: only the timer that was set last is in effect."""

from __future__ import annotations

from math import inf

from eiderfield.interface import SetTimer, TimerFired
from eiderfield.policy.context import Context


class Timer:
    """Sets a timer for the earliest time at which a decision may be due without an event."""

    def __init__(self, context: Context) -> None:
        """Create a timer that is not pending."""
        self._context = context
        self._pending_at = 0.0  # when the pending timer fires, 0 if none is pending
        self._token = 0

    def fired(self, event: TimerFired) -> None:
        """Clear the pending timer, unless the event belongs to a timer that has been replaced."""
        if event.token == self._token:
            self._pending_at = 0.0

    def schedule(self, at: float) -> None:
        """Set the timer to `at`, if no earlier one is pending; infinity leaves it as it is."""
        if at < inf and (not self._pending_at or at < self._pending_at):
            self._pending_at = at
            self._token += 1
            self._context.actions.append(SetTimer(at, self._token))
