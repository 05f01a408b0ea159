"""Retries, hedging and cancellation: handles attempts that have failed or make no progress.

A request whose last attempt has ended is queued again, within the retry rules and the retry budget, or
answered. If hedging is allowed, an attempt that makes no progress continues while a second attempt is queued;
otherwise it is cancelled, and its end is handled like that of any other attempt.
"""

from __future__ import annotations

from eiderfield.interface import CancelAttempt, CloseIdleConnections
from eiderfield.policy.completion import RequestCompletion
from eiderfield.policy.context import Context
from eiderfield.policy.fleet import Fleet
from eiderfield.policy.outlier_detection import OutlierDetector
from eiderfield.policy.queues import ClassQueues
from eiderfield.policy.request import AttemptRecord, QueuedRequest
from eiderfield.policy.retry_rules import RetryBudget, retry_cost
from eiderfield.policy.selection import EndpointSelector


class RetryController:
    """Queues requests again, within the retry rules and the retry budget."""

    def __init__(
        self,
        context: Context,
        fleet: Fleet,
        queues: ClassQueues,
        selector: EndpointSelector,
        outliers: OutlierDetector,
        budget: RetryBudget,
        completion: RequestCompletion,
    ) -> None:
        """Create a controller that spends `budget`."""
        self._context = context
        self._fleet = fleet
        self._queues = queues
        self._selector = selector
        self._outliers = outliers
        self._budget = budget
        self._completion = completion

    def retry_or_answer(self, request: QueuedRequest, now: float, failed: bool) -> None:
        """Queue a request again that has no open attempt left, or answer it.

        `failed` says whether its last attempt ended with an error of the worker.
        """
        if self._take_retry(request, now, failed):
            self._queues.add_first(request)
        else:
            self._completion.answer(request)

    def replace_stalled(self, attempt: AttemptRecord, now: float) -> None:
        """Hedge or cancel an attempt that makes no progress, within what its class allows."""
        request, settings = attempt.request, self._context.settings
        if attempt.superseded or request.answered or request.queue is not None:
            return
        if settings.hedging_allowed:
            if self._take_retry(request, now):
                attempt.superseded = True
                self._queues.add_first(request)
        elif settings.cancellation_allowed and (attempt.started_at is None or self._budget.tokens >= 1.0):
            late_under_load = attempt.started_at is None and self._outliers.is_late_under_load(request, now)
            if late_under_load or self._selector.has_alternative(request, now):
                self._cancel(attempt)

    def _take_retry(self, request: QueuedRequest, now: float, failed: bool = False) -> bool:
        """Return whether a further attempt is allowed, and take its cost from the budget if so."""
        cost = retry_cost(request, now, self._context.settings.workers_report_start, failed)
        if request.answered or self._budget.tokens < cost:
            return False
        if not self._selector.may_retry_anywhere(request, now):
            return False
        self._budget.spend(cost)
        return True

    def _cancel(self, attempt: AttemptRecord) -> None:
        attempt.superseded = True
        self._context.actions.append(CancelAttempt(attempt.request.id, attempt.number))
        # The next attempt at a silent worker must open a new connection: only the old one may be broken.
        if self._fleet.workers[attempt.entry.worker].silent:
            self._context.actions.append(CloseIdleConnections(attempt.entry.worker))
