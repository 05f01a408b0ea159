"""Timers that the event loop provides to the exchange and to the adapters."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class Timer(Protocol):
    """A scheduled call."""

    def cancel(self) -> None:
        """Cancel the call; does nothing once it has been made."""


class Timers(Protocol):
    """Schedules calls by the clock of the event loop, in milliseconds."""

    def at(self, when: float, call: Callable[[], object], patient: bool = False) -> Timer:
        """Schedule `call` at time `when` (ms). Calls that are `patient` may be late if many are due."""
