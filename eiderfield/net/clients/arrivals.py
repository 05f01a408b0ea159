"""The times at which the bytes of a connection arrived: a message's time limit counts from its first byte.

A pipelined message may arrive long before the previous one is answered. Arrival times are recorded by
position in the stream; a byte between two recorded positions counts as arrived at the earlier one's time.

Invariants: a client cannot postpone a time limit by sending further bytes, and memory does not grow with the
number of pieces in which bytes arrive.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

ARRIVAL_PRECISION_MS = 50.0  # bytes that arrive within this time count as arrived together


@dataclass(slots=True, frozen=True)
class _Arrival:
    offset: int  # number of bytes that arrived before
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
        """Return when the first of the last `buffered` bytes arrived; `now` if there are none."""
        parsed_bytes = self._received_bytes - buffered
        while len(self._arrivals) > 1 and self._arrivals[1].offset <= parsed_bytes:
            self._arrivals.popleft()
        return self._arrivals[0].at if buffered and self._arrivals else now

    def restart(self, now: float) -> None:
        """Set the arrival time of all unparsed bytes to `now`."""
        self._arrivals.clear()
        self._arrivals.append(_Arrival(0, now))
