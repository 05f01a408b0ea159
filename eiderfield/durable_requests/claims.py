"""Claims of attempts: an attempt is recorded, which claims it, before its first byte is sent.

States of a claim:

    requested -> held (recorded by the current incarnation) -> ended
    requested -> refused

A claim whose write the system refuses is requested again, as long as the attempt is open.

Invariant: no attempt starts under the claim of an incarnation that has ended or whose lease has run out,
which other members may consider lost.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from eiderfield.durable_requests.cancellation import RequestCancellation
from eiderfield.durable_requests.client_presence import ClientPresence
from eiderfield.durable_requests.loop_context import LoopContext
from eiderfield.durable_requests.messages import (
    Claim,
    Claimed,
    EndRequested,
    NoClient,
    NotWritten,
    Outcome,
    ReleaseClaim,
)
from eiderfield.durable_requests.record import AttemptRecord
from eiderfield.durable_requests.timing import MAX_RETRY_INTERVAL_MS, RETRY_INTERVAL_MS
from eiderfield.exchange.request import Attempt

ClaimCallback = Callable[[bool], None]  # its argument: whether the attempt may start


class AttemptClaims:
    """The claims of one process."""

    def __init__(
        self, context: LoopContext, cancellation: RequestCancellation, presence: ClientPresence
    ) -> None:
        """Cancel a request with `cancellation` if its end was requested before the claim was recorded."""
        self._context = context
        self._cancellation = cancellation
        self._presence = presence
        self._incarnations: dict[Attempt, str] = {}  # the incarnation that claimed each open attempt

    @property
    def open_attempts(self) -> list[Attempt]:
        """The claimed attempts that are open."""
        return [attempt for attempt in self._incarnations if attempt.open]

    def request(
        self,
        attempt: Attempt,
        record: AttemptRecord,
        on_claimed: ClaimCallback,
        interval: float = RETRY_INTERVAL_MS,
    ) -> None:
        """Record an attempt; `on_claimed` is called with whether it may start.

        If the system refuses the write, it is tried again after `interval` ms. An attempt that has ended by
        then is not recorded, and `on_claimed` is not called.
        """
        if attempt.open:
            id_ = attempt.pending.request.id
            owned = self._context.owned_requests.get(id_)
            claim = Claim(id_, record, has_client=owned is None or owned.has_client)
            self._context.commit_thread.write(
                claim, partial(self._on_outcome, attempt, record, on_claimed, interval)
            )

    def _on_outcome(
        self,
        attempt: Attempt,
        record: AttemptRecord,
        on_claimed: ClaimCallback,
        interval: float,
        outcome: Outcome,
    ) -> None:
        if isinstance(outcome, NotWritten):
            next_interval = min(2.0 * interval, MAX_RETRY_INTERVAL_MS)
            self._context.call_after(
                interval, partial(self.request, attempt, record, on_claimed, next_interval)
            )
            return
        if isinstance(outcome, EndRequested):
            self._cancellation.cancel([attempt.pending.request.id])
        if isinstance(outcome, NoClient):
            self._presence.claim_refused(attempt.pending.request.id)
        if isinstance(outcome, Claimed) and attempt.open:
            self._incarnations[attempt] = outcome.incarnation
        on_claimed(isinstance(outcome, Claimed))

    def holds(self, attempt: Attempt) -> bool:
        """Return whether the current incarnation claimed an attempt and its lease has not run out."""
        member = self._context.member
        incarnation = self._incarnations.get(attempt)
        return (
            bool(incarnation)
            and incarnation == member.incarnation_name
            and member.holds_lease(self._context.monotonic())
        )

    def end(self, attempt: Attempt) -> None:
        """Drop the claim of an attempt that has ended. Remove the record of an attempt that never ran."""
        self._incarnations.pop(attempt, None)
        if not attempt.may_have_run:
            release = ReleaseClaim(attempt.pending.request.id, attempt.number)
            self._context.commit_thread.write(release, _ignore_outcome)

    def drop_all(self) -> None:
        """Drop all claims, after the end of the incarnation."""
        self._incarnations.clear()


def _ignore_outcome(_outcome: Outcome) -> None:
    """Do nothing: if the release is not written, the attempt counts as one that may have run."""
