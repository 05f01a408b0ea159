"""Converts the times in another process's messages to this process's clock.

A message holds times of its sender's clock as Unix time. A present sender says with each of them what its
clock shows (`now`), so that the times are ages; a process of 731b84e does not. Its clock is Unix time as it
was at that process's start, carried on without steps: if the wall clock was stepped since, the two differ, by
how much nobody tells. Its times are then held within what they can be: nothing that has happened lies ahead,
and what happened last, which its state tells, happened before now.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class SenderClock:
    """A sender's clock as it is known when a message comes."""

    now: float  # on this process's clock
    ahead: float  # what the sender's clock is ahead of this one's, in ms
    ahead_at_least: float  # the same if the last that the sender did is as recent as it can be
    exact: bool  # whether the sender said what its clock shows

    def past(self, at: float) -> float:
        """When something happened."""
        return min(self.now, at - self.ahead)

    def latest(self, at: float) -> float:
        """When something happened at the latest, as far as that can be told."""
        return min(self.now, at - self.ahead_at_least)

    def next(self, at: float, span: float) -> float:
        """When something is due that is due within a span from now."""
        return min(self.now + span, at - self.ahead_at_least)

    def within(self, at: float, span: float) -> float:
        """When something happened that cannot be older than a span: if it seems so, the clocks differ."""
        since = self.past(at)
        return self.now if not self.exact and self.now - since > span else since


def exact_clock(now: float, sender_now: float) -> SenderClock:
    """The clock of a sender that says what it shows."""
    ahead = sender_now - now
    return SenderClock(now, ahead, ahead, exact=True)


def estimated_clock(now: float, unix_ahead: float, past: Iterable[float]) -> SenderClock:
    """The clock of a sender that should show Unix time, and at which some things have happened."""
    at_least = max(past, default=now + unix_ahead) - now
    return SenderClock(now, max(unix_ahead, at_least), at_least, exact=False)
