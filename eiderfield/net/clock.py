"""The monotonic clock for all deadlines, windows and waits, and its conversion from and to Unix time.

The wall clock may be stepped by seconds or by an hour at any moment, forward or back. Therefore no time held
by a process is Unix time: a Unix time is converted when it is received, and a time for another process when
it is sent or stored. The difference between the two clocks is measured anew for each conversion.
"""

from __future__ import annotations

from collections.abc import Callable

from eiderfield.machine import offset_between, steady_ms, unix_ms

ORIGIN_MS = float(
    1 << 40
)  # reading at the machine's start: earlier times must exceed 0, which means "unknown"


class MonotonicClock:
    """A clock in ms that never goes back and is independent of steps of the wall clock."""

    def __call__(self) -> float:
        """Return the current time."""
        return steady_ms() + ORIGIN_MS


class WallClock:
    """Converts between a process's clock and Unix time, by the current difference of the clocks."""

    def __init__(self, clock: Callable[[], float], unix: Callable[[], float] = unix_ms) -> None:
        """Create a converter; `clock` is the process's clock, `unix` the wall clock, both in ms."""
        self._clock = clock
        self._unix = unix

    def offset(self) -> float:
        """Return Unix time minus the process's clock at present, in ms."""
        return offset_between(self._clock, self._unix)

    def to_unix(self, at: float) -> float:
        """Convert a time of the process's clock to Unix time."""
        return at + self.offset()

    def from_unix(self, unix: float) -> float:
        """Convert a Unix time to the process's clock; after a step the result may be in the future."""
        return unix - self.offset()
