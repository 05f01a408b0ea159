"""Timetable of a shutdown, calculated from the settings. Performs no I/O and reads no clock.

    SIGTERM ──(close_listeners_after)─────> no new connections, whose requests might not be answered in time
            ──(disable_keep_alive_after)──> connections close after their next response, or at once if idle
            ──(answered_after)────────────> every received request is answered
            ──(the longest deadline, at most 3 s, plus 0.7 s)──> the process may be killed

Invariant: every request is answered before the process may be killed, except one that arrived in the first
0.7 s and whose own deadline is later.
"""

from __future__ import annotations

from dataclasses import dataclass

KILL_DELAY_MS = 700.0  # between the longest deadline and a kill, as the protocol page specifies
MAX_DEADLINE_MS = 3000.0  # longer deadlines count as this value in that rule
KILL_MARGIN_MS = 500.0  # between the last response and a kill
KILL_MARGIN_SHARE = 0.2  # of the time until a kill; used if it is shorter than the margin in ms
ACCEPT_TIME_MS = 700.0  # for new connections, whose requests must be answered before the kill
ACCEPT_TIME_SHARE = 0.5  # of the time until the last response, at most
KEEP_ALIVE_TIME_MS = 1500.0  # for open connections: the other dispatchers may be restarting too
KEEP_ALIVE_TIME_SHARE = 0.75  # of the time until the last response, at most


@dataclass(slots=True, frozen=True)
class ShutdownTimes:
    """Times after SIGTERM, in ms.

    Attributes:
        close_listeners_after: when listeners accept no more connections.
        disable_keep_alive_after: when responses begin to close their connections, so that clients reconnect
            elsewhere.
        answered_after: when every request is answered.
    """

    close_listeners_after: float
    disable_keep_alive_after: float
    answered_after: float

    @classmethod
    def of(cls, longest_deadline: float) -> ShutdownTimes:
        """Return the times for the longest deadline of a class of requests, in ms."""
        kill_after = min(longest_deadline, MAX_DEADLINE_MS) + KILL_DELAY_MS
        answered_after = kill_after - min(KILL_MARGIN_MS, KILL_MARGIN_SHARE * kill_after)
        return cls(
            close_listeners_after=min(ACCEPT_TIME_MS, ACCEPT_TIME_SHARE * answered_after),
            disable_keep_alive_after=min(KEEP_ALIVE_TIME_MS, KEEP_ALIVE_TIME_SHARE * answered_after),
            answered_after=answered_after,
        )
