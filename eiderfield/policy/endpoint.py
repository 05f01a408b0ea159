"""The state that this dispatcher keeps of one worker: health, load, and its slow start budget.

A worker is healthy until it fails. A failed connection, two resets in a row, silence or too many errors
eject it: it is sent nothing for a while, and for twice as long after each further ejection. After that time
it is half open, like a circuit breaker: it gets one attempt at a time, of the class that is safest to
repeat. An answer in time makes it healthy again. A worker that fails some requests at once and answers
others well is not ejected but marked as failing: it is selected after all others, and only for requests that
may run twice.

Activity other than an answer in time ends silence, but not an ejection.

Invariants: an ejected worker is sent nothing; a worker does not attract requests by failing them fast.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from math import inf

from eiderfield.interface import Endpoint
from eiderfield.policy.request import AttemptRecord

BASE_EJECTION_MS = 500.0  # length of a first ejection, doubled with each further one
MAX_EJECTION_MS = 4000.0
ERROR_DECAY = 0.8  # factor on the error score with each attempt that ends
MAX_ERROR_SCORE = 1.5  # above it a worker is ejected: two errors in a row, or one in three
SLOWDOWN_PRIOR_REQUESTS = 3.0  # requests of typical duration that are assumed besides the observed requests
SLOWDOWN_MEMORY_MS = 5000.0  # time after which a request no longer counts in its worker's slowdown
MAX_RECENT_SENDS = 1024  # sends to a warming worker that are recorded: no more are made in one window


@dataclass(slots=True, eq=False)
class Worker:
    """The state of a worker, from its entry in the endpoint list and its answers to this dispatcher.

    In the comments on the fields, "own" attempts are those that this dispatcher has sent, not its peers.
    """

    entry: Endpoint
    open_attempts: dict[tuple[int, int], AttemptRecord] = field(default_factory=dict)  # own, oldest first
    unstarted_attempts: int = 0  # own open attempts that have not started
    own_slots: float = 0.0  # slots taken by own open attempts
    sibling_attempts: int = 0  # open attempts of the other process of this dispatcher during an upgrade
    last_activity_at: float = 0.0
    full_until: float = 0.0
    ejections: int = 0  # number of ejections since the last answer in time
    recent_durations: float = 0.0  # decaying sum over ended requests, in typical durations
    recent_completions: float = 0.0  # decaying number of completed requests
    slowdown_updated_at: float = 0.0
    error_score: float = 0.0  # decaying sum of errors
    consecutive_fulls: int = 0  # refusals without a start in between
    consecutive_resets: int = 0  # resets without activity in between
    ejected_until: float = 0.0
    silent: bool = False
    failing: bool = False  # fails some requests at once and answers others well
    recent_sends: deque[tuple[float, float]] = field(
        default_factory=lambda: deque(maxlen=MAX_RECENT_SENDS)
    )  # times and work of sends while it warms up
    slow_start_left: float = inf  # rest of the slow start budget, in work
    budget_threshold: float = 1.0  # share of a request's cost that the rest of the budget must cover
    slots_free: float = 0.0  # as last reported, less the slots of own attempts sent since
    reported_at: float = -inf  # when it last reported its load
    probed_at: float = -inf
    peer_reports: dict[int, tuple[float, int]] = field(default_factory=dict)  # by peer: time, slots in use
    peer_slots: int = 0  # sum of the peer reports that have not expired
    peer_slots_until: float = 0.0

    def slots_in_use(self, now: float) -> float:
        """Return the slots taken by requests of this dispatcher and, as far as reported, of its peers."""
        peer_slots = self.peer_slots if now < self.peer_slots_until else 0
        return self.own_slots + self.sibling_attempts + peer_slots

    def record_activity(self, now: float, in_time: bool = False) -> None:
        """End silence and, after an answer in time, the ejection.

        Other activity does not end the ejection, because a slow worker would then never stay ejected.
        """
        self.last_activity_at = now
        self.silent = False
        self.consecutive_resets = 0
        if in_time and self.error_score <= MAX_ERROR_SCORE:
            self.ejections = 0
            self.ejected_until = 0.0
            self.failing = False

    def record_restart(self, now: float) -> None:
        """Reset the health of a worker whose process has been restarted."""
        self.error_score = 0.0
        self.reported_at = -inf
        self.record_activity(now, True)

    def record_outcome(self, failed: bool) -> None:
        """Update the error score with an answer; `failed` says whether it was an error."""
        self.error_score = self.error_score * ERROR_DECAY + failed

    def record_duration(self, now: float, duration: float, completed: bool) -> None:
        """Update the slowdown with a started request that has ended after `duration` typical durations."""
        retained = max(0.0, 1.0 - (now - self.slowdown_updated_at) / SLOWDOWN_MEMORY_MS)
        self.recent_durations = self.recent_durations * retained + duration
        self.recent_completions = self.recent_completions * retained + completed
        self.slowdown_updated_at = now

    def slowdown(self, now: float) -> float:
        """Return how many times longer than typical requests run at this worker.

        Requests in progress count with the time that they have run so far, because they are the first to show
        that a worker has become slow.
        """
        retained = max(0.0, 1.0 - (now - self.slowdown_updated_at) / SLOWDOWN_MEMORY_MS)
        in_progress = sum(
            [
                (now - attempt.started_at) / attempt.request.expected_duration_ms
                for attempt in self.open_attempts.values()
                if attempt.started_at is not None
            ]
        )
        durations = SLOWDOWN_PRIOR_REQUESTS + self.recent_durations * retained + in_progress
        return durations / (SLOWDOWN_PRIOR_REQUESTS + self.recent_completions * retained)

    def eject(self, now: float, failing: bool = False) -> None:
        """Eject the worker for a while or, with `failing`, mark it as failing (see the module docstring)."""
        self.ejections += 1
        self.failing = failing
        duration = BASE_EJECTION_MS * 2.0 ** (self.ejections - 1)
        self.ejected_until = now + min(MAX_EJECTION_MS, duration)
