"""The lease under which this process may send claimed attempts. Performs no I/O and reads no clock.

A lease runs from the time just before a heartbeat was written. Its holder stops sending one margin before the
lease ends. Another member suspects the holder only when a whole lease has passed since that member read the
last heartbeat, which was after the heartbeat was written. So if the monotonic clocks of the two drift apart
by less than the margin within a lease, no member suspects a holder that may still send.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf


@dataclass(slots=True)
class Lease:
    """A lease. All times are in ms."""

    length: float
    margin: float
    since: float = -inf  # the time just before the last heartbeat was written

    def renew(self, before: float) -> None:
        """Renew the lease with a heartbeat whose write began at `before` and has succeeded."""
        self.since = max(self.since, before)

    def holds(self, now: float) -> bool:
        """Return whether the holder may send at `now`."""
        return now < self.since + self.length - self.margin
