"""When a process that was told to end does what, from its settings. Knows no socket and no clock.

    SIGTERM ──(close_listeners)──> no new connections; a request from now on is answered by `answered`
            ──(send_away)────────> clients are sent away: with their next answer, or at once when idle
            ──(answered)─────────> every request that came is answered
            ──(a kill may follow: the longest deadline, 3 s at the most, and 0.7 s)

What must never happen: a request unanswered when the kill comes, other than one that came within the first
0.7 s and whose own time is longer than that.
"""

from __future__ import annotations

from dataclasses import dataclass

TO_KILL = 700.0  # ms between the longest deadline and a kill (protocol page)
LONGEST = 3000.0  # ms that a longer deadline counts for there
MARGIN = 500.0  # ms between the last answer and a kill, and
MARGIN_SHARE = 0.2  # this share of the time until the kill, where that is short
ACCEPTING = 700.0  # ms for which new connections are taken: what comes later must have its answer by the kill
STAYING = 1500.0  # ms for which clients stay: where others restart too, they would have nowhere to go
ACCEPTING_SHARE = 0.5  # of the time until the last answer, at most
STAYING_SHARE = 0.75


@dataclass(slots=True, frozen=True)
class ShutdownTimes:
    """Times after SIGTERM, in ms."""

    close_listeners: float
    send_away: float
    answered: float

    @classmethod
    def of(cls, longest_deadline: float) -> ShutdownTimes:
        """The times where the longest deadline of a class is `longest_deadline`."""
        kill = min(longest_deadline, LONGEST) + TO_KILL
        answered = kill - min(MARGIN, MARGIN_SHARE * kill)
        return cls(
            close_listeners=min(ACCEPTING, ACCEPTING_SHARE * answered),
            send_away=min(STAYING, STAYING_SHARE * answered),
            answered=answered,
        )
