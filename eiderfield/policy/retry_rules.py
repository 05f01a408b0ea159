"""Retry rules: whether a request may be sent again, to which workers, and what the retry costs.

Whether a request may be retried or rejected follows from the records of its attempts alone (rule 2): it is
sent again only if its class allows it, and rejected only if its client may safely repeat it. A hedged request
has a second attempt while the first is in progress, which the settings must allow. In addition, a retry
budget limits the retries of requests that may have run to a share of all attempts, so that retries do not
add to an overload.

Invariants: no two attempts at once where hedging is not allowed; no retry outside the repeat window or the
scope of the class; no rejection of a request that may have run and may not be repeated.
"""

from __future__ import annotations

from eiderfield.interface import MAX_WRITE_DELAY_MS, Effect, Scope
from eiderfield.policy.endpoint import Worker
from eiderfield.policy.ready import ReadyWorkers
from eiderfield.policy.request import QueuedRequest

RETRY_BURST = 5.0  # largest number of tokens in the retry budget
RETRY_SHARE = 0.1  # tokens earned by each attempt: the share of retries among attempts


def may_send(request: QueuedRequest, worker: Worker, now: float, hedging: bool, max_attempts: int) -> bool:
    """Return whether rule 2 allows an attempt of the request at this worker.

    A cancelled attempt counts as one that may have run.
    """
    if request.attempt_count >= max_attempts or request.streaming:
        return False
    if request.has_open_attempt() and not hedging:
        return False
    first = request.first_possible_run()
    request_class = request.request_class
    if first is None or request_class.effect == Effect.SAFE:
        return True
    if request_class.effect == Effect.UNSAFE:
        return False
    if now > first.sent_at + request_class.repeat_window_ms - MAX_WRITE_DELAY_MS:
        return False
    same_zone = worker.entry.zone == first.entry.zone
    same_cell = worker.entry.cell == first.entry.cell
    return {Scope.ALL: True, Scope.ZONE: same_zone, Scope.CELL: same_cell}[request_class.scope]


def may_reject(request: QueuedRequest) -> bool:
    """Return whether rule 2 allows a rejection, which tells the client that a repeat is safe."""
    request_class = request.request_class
    if request_class.effect == Effect.SAFE:
        return True
    if request_class.effect == Effect.KEYED and request_class.scope == Scope.ALL:
        return True
    return request.first_possible_run() is None


def retry_group(request: QueuedRequest, ready: ReadyWorkers) -> dict[int, Worker]:
    """Return the ready workers that discard a repeat of the request; the rules allow all or none of them."""
    request_class = request.request_class
    first = request.first_possible_run()
    if first is None or request_class.effect != Effect.KEYED or request_class.scope == Scope.ALL:
        return ready.by_number
    if request_class.scope == Scope.ZONE:
        return ready.in_zone(first.entry.zone)
    return ready.in_cell(first.entry.cell)


class RetryBudget:
    """A token bucket for retries of requests that may have run; one token pays for one whole run."""

    def __init__(self) -> None:
        """Create a full bucket."""
        self.tokens = RETRY_BURST

    def count_attempt(self) -> None:
        """Add the share of a token that each attempt earns."""
        self.tokens = min(RETRY_BURST, self.tokens + RETRY_SHARE)

    def spend(self, cost: float) -> None:
        """Take the cost of a retry, in tokens."""
        self.tokens -= cost


def retry_cost(request: QueuedRequest, now: float, starts_reported: bool, failed: bool) -> float:
    """Return the cost of a further attempt in tokens: the part of a run that the last attempt may have used.

    `starts_reported` says whether workers report the start of a request. `failed` says whether the last
    attempt ended with an error, in which case its running time is known.
    """
    last = request.attempts[-1]
    started = last.started_at is not None
    # An attempt that was cancelled before its start has used nothing.
    cost = float(last.may_have_run and (started or not starts_reported))
    if failed and last.started_at is not None:
        cost = min(cost, (now - last.started_at) / request.expected_duration_ms)
    return cost
