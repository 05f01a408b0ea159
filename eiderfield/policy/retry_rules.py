"""Retry and hedging rules: whether a request may be sent again, and what its retries may cost.

Rule 2 follows from the ledger of a request's attempts alone: a request is sent again only as its class
allows, and refused only where the client may safely come again. A hedged request is a second attempt while
the first one is out; it is legal only where the settings allow it. Beyond what is legal, a budget keeps
retries of what may have run to a share of all attempts, so that they do not add to an overload.

What must never happen: two attempts at once where hedging is not allowed; a retry outside the class's window
or group of workers; a refusal of what may have run and may not be repeated.
"""

from __future__ import annotations

from eiderfield.interface import MAX_WRITE_DELAY_MS, Effect, Scope
from eiderfield.policy.endpoint import Worker
from eiderfield.policy.ready import ReadyWorkers
from eiderfield.policy.request import QueuedRequest

RETRY_BURST = 5.0  # retries that may be saved up
RETRY_SHARE = 0.1  # retries of what may have run, as a share of attempts


def may_resend(request: QueuedRequest, worker: Worker, now: float, hedging: bool, max_attempts: int) -> bool:
    """Rule 2 for an attempt: whether this request may go to this worker (again). A cancel proves nothing."""
    if len(request.attempts) >= max_attempts or request.streaming or (request.out() and not hedging):
        return False
    first = request.first_run()
    if first is None or request.cls.effect == Effect.SAFE:
        return True
    if (
        request.cls.effect == Effect.UNSAFE
        or now > first.sent + request.cls.repeat_window_ms - MAX_WRITE_DELAY_MS
    ):
        return False
    same_zone = worker.entry.zone == first.entry.zone
    same_cell = worker.entry.cell == first.entry.cell
    return {Scope.ALL: True, Scope.ZONE: same_zone, Scope.CELL: same_cell}[request.cls.scope]


def may_reject(request: QueuedRequest) -> bool:
    """Rule 2 for a refusal, which tells the client that it may safely come again."""
    discarded_everywhere = request.cls.effect == Effect.KEYED and request.cls.scope == Scope.ALL
    return discarded_everywhere or request.cls.effect == Effect.SAFE or request.first_run() is None


def retry_group(request: QueuedRequest, ready: ReadyWorkers) -> dict[int, Worker]:
    """Return the ready workers that discard a repeat of the request: legal at all of them or at none."""
    first = request.first_run()
    if first is None or request.cls.effect != Effect.KEYED or request.cls.scope == Scope.ALL:
        return ready.by_number
    if request.cls.scope == Scope.ZONE:
        return ready.in_zone(first.entry.zone)
    return ready.in_cell(first.entry.cell)


class RetryBudget:
    """What retries of requests that may have run may still cost, in requests."""

    def __init__(self) -> None:
        self.tokens = RETRY_BURST

    def count_attempt(self) -> None:
        """Each attempt earns a part of a retry."""
        self.tokens = min(RETRY_BURST, self.tokens + RETRY_SHARE)

    def spend(self, cost: float) -> None:
        """Takes a retry's cost from what is left."""
        self.tokens -= cost


def retry_cost(request: QueuedRequest, now: float, tells_start: bool, failed: bool) -> float:
    """What a further attempt costs of the budget: the part of a run that the last one may have used up."""
    last = request.attempts[-1]
    started = last.started is not None
    cost = float(last.may_have_run and (started or not tells_start))  # called off unstarted it cost nothing
    if failed and last.started is not None:
        cost = min(cost, (now - last.started) / request.run)
    return cost
