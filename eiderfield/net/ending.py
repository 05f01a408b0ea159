"""When a process that was told to end does what, from its settings. Knows no socket and no clock.

    SIGTERM ──(accepting)──> the listener closes; what comes from now on is answered by `last`
            ──(staying)────> clients are sent away: with their next answer, or at once where nothing is owed
            ──(last)───────> all that came is answered
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


@dataclass(slots=True, frozen=True)
class Ending:
    """Times after SIGTERM, in ms."""

    accepting: float
    staying: float
    last: float

    @classmethod
    def of(cls, longest: float) -> Ending:
        """The times where the longest deadline of a class is `longest`."""
        kill = min(longest, LONGEST) + TO_KILL
        last = kill - min(MARGIN, MARGIN_SHARE * kill)
        return cls(min(ACCEPTING, 0.5 * last), min(STAYING, 0.75 * last), last)
