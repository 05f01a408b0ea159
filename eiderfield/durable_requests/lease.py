"""The lease under which this process may send what it has claimed. Performs no I/O and reads no clock.

A lease runs from the moment before a heartbeat was written. Its holder stops sending a margin before its end;
no other member suspects the holder before a whole lease has passed since it read the last heartbeat. A
heartbeat is read after it was written. So on any two monotonic clocks that drift by less than the margin
within a lease, no member suspects a holder that still considers itself allowed to send.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf


@dataclass(slots=True)
class Lease:
    """A lease. All times in ms."""

    length: float
    margin: float
    since: float = -inf  # the moment before the last heartbeat was written

    def renew(self, before: float) -> None:
        """Renew the lease: a heartbeat has been written whose write began at `before`."""
        self.since = max(self.since, before)

    def holds(self, now: float) -> bool:
        """Return whether the holder may send."""
        return now < self.since + self.length - self.margin
