"""The interface of the timers that the event loop provides to the exchange and the adapters."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class Timer(Protocol):
    """A scheduled call."""

    def cancel(self) -> None:
        """Cancel the call. Does nothing if it was made already."""


class Timers(Protocol):
    """Schedules calls by the clock of the event loop, in ms."""

    def call_at(self, when: float, callback: Callable[[], object], deferrable: bool = False) -> Timer:
        """Schedule `callback` for time `when` (ms); if `deferrable`, it may be late when many are due."""
