"""This process's own right to send what it has claimed. No I/O, no clock.

A lease runs from the moment before a heartbeat was written. Once it is over, but for a margin, its holder
sends nothing; nobody suspects the holder before the whole lease has passed since its last heartbeat was
read. Whoever reads a heartbeat reads it after it was written, so on any two monotonic clocks that drift by
less than the margin within a lease, nobody suspects a holder that still believes it may send.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf


@dataclass(slots=True)
class Lease:
    """A lease of a length, in ms."""

    length: float
    margin: float
    since: float = -inf  # the moment before the last heartbeat was written

    def renew(self, before: float) -> None:
        """A heartbeat has been written, which was begun at `before`."""
        self.since = max(self.since, before)

    def holds(self, now: float) -> bool:
        """Whether this process may send."""
        return now < self.since + self.length - self.margin
