"""When bytes came that are still to be taken: a message's time counts from its first byte.

A message may come behind another whose answer takes long. Known are the times of some bytes, by their place
in all that came on the connection; a byte between two of them counts as the earlier one.

What must never happen: a time that a client can put off by sending further bytes; memory that grows with the
number of pieces in which bytes come.
"""

from __future__ import annotations

from collections import deque

PRECISION = 50.0  # ms; bytes that come closer together count as come together


class Arrivals:
    """The times at which the bytes of one connection came."""

    def __init__(self) -> None:
        """Nothing has come."""
        self._count = 0
        self._times: deque[tuple[int, float]] = deque()  # bytes that came before, and when further ones came

    def came(self, count: int, now: float) -> None:
        """Notes that `count` bytes have come."""
        if not self._times or now >= self._times[-1][1] + PRECISION:
            self._times.append((self._count, now))
        self._count += count

    def first_at(self, buffered: int, now: float) -> float:
        """When the first of the last `buffered` bytes came; now if there are none."""
        taken = self._count - buffered
        while len(self._times) > 1 and self._times[1][0] <= taken:
            self._times.popleft()
        return self._times[0][1] if buffered and self._times else now

    def restart(self, now: float) -> None:
        """Lets all that has not been taken count as come now."""
        self._times.clear()
        self._times.append((0, now))
