"""The times at which the bytes of a connection arrived: a message's time counts from its first byte.

A message may arrive behind another whose response takes long. The times of some bytes are recorded, by their
position in the stream; a byte between two recorded ones counts as the earlier one.

Invariants: a client cannot put a time off by sending further bytes, and memory does not grow with the number
of pieces in which bytes arrive.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

ARRIVAL_PRECISION_MS = 50.0  # ms; bytes that arrive closer together count as arrived together


@dataclass(slots=True, frozen=True)
class _Arrival:
    offset: int  # bytes that arrived before
    at: float  # ms


class ArrivalTimes:
    """The arrival times of the bytes of one connection that have not been parsed."""

    def __init__(self) -> None:
        """Start with an empty stream."""
        self._received_bytes = 0
        self._arrivals: deque[_Arrival] = deque()

    def record(self, count: int, now: float) -> None:
        """Record that `count` bytes have arrived."""
        if not self._arrivals or now >= self._arrivals[-1].at + ARRIVAL_PRECISION_MS:
            self._arrivals.append(_Arrival(self._received_bytes, now))
        self._received_bytes += count

    def first_at(self, buffered: int, now: float) -> float:
        """Return when the first of the last `buffered` bytes arrived; now if there are none."""
        parsed_bytes = self._received_bytes - buffered
        while len(self._arrivals) > 1 and self._arrivals[1].offset <= parsed_bytes:
            self._arrivals.popleft()
        return self._arrivals[0].at if buffered and self._arrivals else now

    def restart(self, now: float) -> None:
        """Count all bytes that are not parsed as arrived now."""
        self._arrivals.clear()
        self._arrivals.append(_Arrival(0, now))
