"""Claims of attempts: each is recorded before its first byte leaves.

States of an attempt's claim: requested -> held (recorded by the current incarnation) -> ended, or requested
-> refused (`go(False)`). While the disk refuses, it is requested again, as long as the attempt's time
allows.

What must never happen: an attempt begins under the claim of an incarnation that is over, or of one that the
others may take for lost.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from eiderfield.durable_requests.commit_thread import CommitThread
from eiderfield.durable_requests.messages import (
    Claim,
    Claimed,
    EndRequested,
    NotWritten,
    Outcome,
    ReleaseClaim,
)
from eiderfield.durable_requests.record import AttemptRecord
from eiderfield.exchange import Attempt, Timers
from eiderfield.machine import steady_ms

RETRY_INTERVAL = 30.0  # ms from a write that was refused to the next try
RETRY_INTERVAL_MOST = 1000.0  # ms to which that grows while the disk refuses

Go = Callable[[bool], None]


class AttemptClaims:
    """The claims of one process."""

    def __init__(
        self,
        thread: CommitThread,
        timers: Timers,
        clock: Callable[[], float],
        end: Callable[[str], None],
    ) -> None:
        """`end` is called with the id of a request whose end somebody has requested."""
        self._thread = thread
        self._timers = timers
        self._clock = clock
        self._end = end
        self._held: dict[Attempt, str] = {}  # the incarnation that claimed an attempt which is out

    @property
    def open_attempts(self) -> list[Attempt]:
        """The claimed attempts that are out."""
        return [attempt for attempt in self._held if attempt.open]

    def request(self, attempt: Attempt, note: AttemptRecord, go: Go, pause: float = RETRY_INTERVAL) -> None:
        """Records an attempt; `go` hears whether it may begin."""
        if attempt.open:  # else its time was over while the disk refused it
            claim = Claim(attempt.pending.request.id, note)
            self._thread.write(claim, partial(self._on_outcome, attempt, note, go, pause))

    def _on_outcome(
        self, attempt: Attempt, note: AttemptRecord, go: Go, pause: float, outcome: Outcome
    ) -> None:
        if isinstance(outcome, NotWritten):
            longer = min(2.0 * pause, RETRY_INTERVAL_MOST)
            again = partial(self.request, attempt, note, go, longer)
            self._timers.at(self._clock() + pause, again)
            return
        if isinstance(outcome, EndRequested):
            self._end(attempt.pending.request.id)
        if isinstance(outcome, Claimed) and attempt.open:
            self._held[attempt] = outcome.incarnation
        go(isinstance(outcome, Claimed))

    def allows(self, attempt: Attempt) -> bool:
        """Whether a claim still holds: its incarnation is not over, nor can it be taken for lost."""
        member = self._thread.member
        incarnation = self._held.get(attempt)
        return bool(incarnation) and incarnation == member.incarnation and member.holds_lease(steady_ms())

    def end(self, attempt: Attempt) -> None:
        """An attempt is over; one that never ran is taken off the record."""
        self._held.pop(attempt, None)
        if not attempt.may_have_run:
            release = ReleaseClaim(attempt.pending.request.id, attempt.number)
            self._thread.write(release, lambda outcome: None)

    def drop_all(self) -> None:
        """The incarnation is over."""
        self._held.clear()
