"""Detection of a scarce resource by two watermarks. No I/O and no clock."""

from __future__ import annotations

from math import inf

from eiderfield.connections.settings import Watermarks


class OverloadDetector:
    """Decides whether a resource is scarce, from the share of it that is in use."""

    def __init__(self) -> None:
        """Create a detector of a resource that is not scarce."""
        self.overloaded = False
        self._reached_high_at = -inf

    def update(self, share: float, watermarks: Watermarks, min_time: float, now: float) -> None:
        """Record the share in use at `now`; the resource stays scarce for at least `min_time` ms."""
        if share >= watermarks.high:
            self.overloaded, self._reached_high_at = True, now
        elif share < watermarks.low and now >= self._reached_high_at + min_time:
            self.overloaded = False
