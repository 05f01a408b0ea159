"""Conversion of the times in another process's messages to this process's clock.

Messages hold times of the sender's clock as Unix times. A current sender adds the reading of its clock
(`now`), from which the exact age of each time follows. A process of revision 731b84e does not add it; its
clock shows the Unix time of the process's start plus the time elapsed since, and does not follow later steps
of the wall clock. After such a step the difference between the two clocks is unknown. The conversion is then
an estimate: past events are never converted to the future, and the clocks' difference is such that the last
event in the sender's state is not later than now.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class SenderClock:
    """The relation of a sender's clock to this process's clock when a message is received.

    Attributes:
        now: The time on this process's clock, in ms.
        offset: The sender's clock minus this process's clock, in ms.
        min_offset: The smallest offset, in ms, by which the sender's last known event is not in the future.
        exact: Whether the sender included the reading of its clock.
    """

    now: float
    offset: float
    min_offset: float
    exact: bool

    def convert_past(self, at: float) -> float:
        """Convert the time of a past event."""
        return min(self.now, at - self.offset)

    def convert_latest(self, at: float) -> float:
        """Convert the time of a past event to the latest possible time."""
        return min(self.now, at - self.min_offset)

    def convert_upcoming(self, at: float, max_delay: float) -> float:
        """Convert the time of an event that is due in at most `max_delay` ms."""
        return min(self.now + max_delay, at - self.min_offset)

    def convert_recent(self, at: float, max_age: float) -> float:
        """Convert the time of a past event that cannot be older than `max_age` ms.

        Return `now` if it seems older by an estimated clock, since the estimate is then wrong.
        """
        converted = self.convert_past(at)
        return self.now if not self.exact and self.now - converted > max_age else converted


def exact_clock(now: float, sender_now: float) -> SenderClock:
    """Return the clock of a sender whose message includes the reading `sender_now` of its clock."""
    offset = sender_now - now
    return SenderClock(now, offset, offset, exact=True)


def estimated_clock(now: float, unix_offset: float, past_events: Iterable[float]) -> SenderClock:
    """Return an estimate of the clock of a sender that does not include its clock's reading.

    Args:
        now: The time on this process's clock, in ms.
        unix_offset: Unix time minus this process's clock, in ms.
        past_events: Times of past events on the sender's clock.
    """
    min_offset = max(past_events, default=now + unix_offset) - now
    return SenderClock(now, max(unix_offset, min_offset), min_offset, exact=False)
