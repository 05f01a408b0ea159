"""The monotonic clock that all deadlines, windows and waits are measured with, and its relation to Unix time.

The wall clock may be stepped by seconds or by an hour at any moment, forward or back. So no time inside a
process is Unix time: a time that comes from outside is converted into an age when it is read, and a time that
goes outside is converted when it is written. Nothing remembers the difference between the two clocks.
"""

from __future__ import annotations

from collections.abc import Callable

from eiderfield.machine import offset_between, steady_ms, unix_ms

ORIGIN = float(1 << 40)  # ms at the machine's start: what began before that still lies above 0, "unknown"


class MonotonicClock:
    """Milliseconds that never run backwards and that no step of the wall clock moves."""

    def __call__(self) -> float:
        """The time now."""
        return steady_ms() + ORIGIN


class WallClock:
    """Converts between a process's clock and Unix time, by what the wall clock shows in that moment."""

    def __init__(self, clock: Callable[[], float], unix: Callable[[], float] = unix_ms) -> None:
        """`clock` is the process's clock, `unix` reads the wall clock; both are in ms."""
        self._clock = clock
        self._unix = unix

    def offset(self) -> float:
        """What Unix time is ahead of the process's clock now, in ms."""
        return offset_between(self._clock, self._unix)

    def to_unix(self, at: float) -> float:
        """The Unix time of a time of the process's clock."""
        return at + self.offset()

    def from_unix(self, unix: float) -> float:
        """The time on the process's clock of a Unix time. It may lie ahead, if the wall clock was stepped."""
        return unix - self.offset()
