"""A worker as this dispatcher sees it: its entry in the list, its answers, and its silence.

Theory of operation. A worker is trusted until it fails: a strike (a failed connection, two resets in a row,
silence, or many errors) rests it for a while, twice as long after each further one. After the rest it is half
open: one attempt at a time tries it, of the class that may best be repeated. A timely answer ends suspicion.
One that fails its requests at once but answers others well is not rested but marked as erring: it comes
behind all others, and gets only what may run twice.

A sign of life ends silence alone. What must never happen: a resting worker that is sent anything; a worker
that draws requests in by failing them fast.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from math import inf

from eiderfield.interface import Endpoint
from eiderfield.policy.request import AttemptRecord

STRIKE_PAUSE_MS = 500.0  # without sends after a first strike, doubled with each further one
LONGEST_STRIKE_PAUSE_MS = 4000.0
FAULT_FADE = 0.8  # weight of an error, compared with the next one
FAULTY = 1.5  # sum of errors at which a worker is rested: two in a row, or one in three
PACE_REQUESTS = (
    3.0  # requests of the usual length that a worker is credited with, so that one long request says little
)
PACE_MEMORY_MS = 5000.0  # over which what a worker has had running is forgotten
RECENT_ATTEMPTS = 1024  # attempts to a warming worker that are remembered: more are not sent in a window


@dataclass(slots=True, eq=False)
class Worker:
    """A worker as the list, its answers and its silence show it."""

    entry: Endpoint
    open: dict[tuple[int, int], AttemptRecord] = field(default_factory=dict)  # own attempts out, oldest first
    unstarted: int = 0
    own_slots: float = 0.0  # slots of own attempts out
    sibling_attempts: int = 0  # attempts that this node's other process has out here, while it is upgraded
    heard: float = 0.0
    full_until: float = 0.0
    strikes: int = 0
    ran: float = 0.0  # what ran here lately and is over, in usual running times
    done: float = 0.0  # how many of these requests were done
    faded: float = 0.0
    faults: float = 0.0  # errors, each ended request weighing less than the next by FAULT_FADE
    fulls: int = 0  # in a row, without a start between
    resets: int = 0  # in a row, without a sign of life between
    suspect_until: float = 0.0
    silent: bool = False
    erring: bool = (
        False  # it fails requests at once, and others well: for what may run twice, behind all others
    )
    recent: deque[tuple[float, float]] = field(
        default_factory=lambda: deque(maxlen=RECENT_ATTEMPTS)
    )  # cold: time, work
    slow_start_left: float = inf
    lot: float = 1.0  # cold: the share of a request's cost that must be left of the budget
    slots_free: float = 0.0  # as last reported, less own sends since
    reported: float = -inf
    probed: float = -inf
    peer_reports: dict[int, tuple[float, int]] = field(
        default_factory=dict
    )  # by peer: when, its requests here
    peer_slots: int = 0  # their sum
    peer_slots_until: float = 0.0

    def total(self, now: float) -> float:
        """Slots in use by requests of this dispatcher and, as far as reported, of its peers."""
        return (
            self.own_slots + self.sibling_attempts + (self.peer_slots if now < self.peer_slots_until else 0)
        )

    def alive(self, now: float, well: bool = False) -> None:
        """A sign of life ends silence. Only a timely answer ends suspicion, or a slow worker never rests."""
        self.heard = now
        self.silent = False
        self.resets = 0
        if well and self.faults <= FAULTY:
            self.strikes = 0
            self.suspect_until = 0.0
            self.erring = False

    def restarted(self, now: float) -> None:
        """A new process is there, which owes nothing to the past."""
        self.faults = 0.0
        self.reported = -inf
        self.alive(now, True)

    def count_end(self, failed: bool) -> None:
        """Counts an attempt that ended well, or with an error."""
        self.faults = self.faults * FAULT_FADE + failed

    def learn(self, now: float, ran: float, done: bool) -> None:
        """Takes in that a request which had started is over, after so many usual running times."""
        kept = max(0.0, 1.0 - (now - self.faded) / PACE_MEMORY_MS)
        self.ran = self.ran * kept + ran
        self.done = self.done * kept + done
        self.faded = now

    def pace(self, now: float) -> float:
        """How much longer than usual requests run here; those still running show first that it turns slow."""
        kept = max(0.0, 1.0 - (now - self.faded) / PACE_MEMORY_MS)
        out = sum(
            [
                (now - a.started_at) / a.request.expected_duration_ms
                for a in self.open.values()
                if a.started_at is not None
            ]
        )
        return (PACE_REQUESTS + self.ran * kept + out) / (PACE_REQUESTS + self.done * kept)

    def strike(self, now: float, erring: bool = False) -> None:
        """A failed connection, a reset, silence, errors: no sends for a while, then one trial (half-open)."""
        self.strikes += 1
        self.erring = erring
        pause = STRIKE_PAUSE_MS * 2.0 ** (self.strikes - 1)
        self.suspect_until = now + min(LONGEST_STRIKE_PAUSE_MS, pause)
