"""Conversion of the times in another process's messages to this process's clock.

Messages carry times of the sender's clock as Unix time. A current sender adds the reading of its clock
(`now`), so that every time has an exact age. A process of revision 731b84e does not: its clock is the
Unix time of its start plus the time since, without steps. If the wall clock was stepped meanwhile, the
difference between the two clocks is unknown. The conversion then keeps its times plausible: no past event
lies ahead, and the last event that the sender's state mentions lies before now.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class SenderClock:
    """The relation of a sender's clock to this process's clock when a message arrives.

    Attributes:
        now: The time on this process's clock.
        offset: The sender's clock minus this one's, in ms.
        min_offset: The least offset, in ms, that keeps the sender's last known event in the past.
        exact: Whether the sender included the reading of its clock.
    """

    now: float
    offset: float
    min_offset: float
    exact: bool

    def past(self, at: float) -> float:
        """Convert the time of a past event."""
        return min(self.now, at - self.offset)

    def latest(self, at: float) -> float:
        """Convert the time of a past event to the latest time that is possible."""
        return min(self.now, at - self.min_offset)

    def upcoming(self, at: float, max_delay: float) -> float:
        """Convert the time of an event that is due within `max_delay` ms."""
        return min(self.now + max_delay, at - self.min_offset)

    def recent(self, at: float, max_age: float) -> float:
        """Convert the time of a past event that is at most `max_age` ms old.

        Return `now` if it seems older by an inexact clock: then the clocks differ by more than is known.
        """
        converted = self.past(at)
        return self.now if not self.exact and self.now - converted > max_age else converted


def exact_clock(now: float, sender_now: float) -> SenderClock:
    """Return the clock of a sender that included the reading of its clock."""
    offset = sender_now - now
    return SenderClock(now, offset, offset, exact=True)


def estimated_clock(now: float, unix_offset: float, past_events: Iterable[float]) -> SenderClock:
    """Return the clock of a sender that did not include its reading.

    Args:
        now: The time on this process's clock.
        unix_offset: Unix time minus this process's clock, in ms.
        past_events: Times of past events, by the sender's clock.
    """
    min_offset = max(past_events, default=now + unix_offset) - now
    return SenderClock(now, max(unix_offset, min_offset), min_offset, exact=False)
