"""Starts attempts: the only module that sends a request to a worker.

Invariant: no attempt is started that rule 2 (repeats), rule 3 (the endpoint list) or rule 4 (slow start)
forbids, whatever the caller has checked.
"""

from __future__ import annotations

from eiderfield.interface import EndpointState, StartAttempt
from eiderfield.policy.context import Context
from eiderfield.policy.endpoint import Worker
from eiderfield.policy.fleet_state import FleetState
from eiderfield.policy.outlier_detection import OutlierDetector
from eiderfield.policy.queues import ClassQueues
from eiderfield.policy.request import AttemptRecord, QueuedRequest
from eiderfield.policy.request_table import RequestTable
from eiderfield.policy.retry_rules import RetryBudget
from eiderfield.policy.selection import EndpointSelector


class AttemptStarter:
    """Starts attempts and records each of them at its request, its worker and its class."""

    def __init__(
        self,
        context: Context,
        state: FleetState,
        requests: RequestTable,
        queues: ClassQueues,
        selector: EndpointSelector,
        outliers: OutlierDetector,
        retry_budget: RetryBudget,
    ) -> None:
        """Create the only part of a dispatcher that starts attempts."""
        self._context = context
        self._fleet = state.fleet
        self._slow_start = state.slow_start
        self._gossip = state.gossip
        self._requests = requests
        self._queues = queues
        self._selector = selector
        self._outliers = outliers
        self._retry_budget = retry_budget

    def start(self, request: QueuedRequest, worker: Worker, now: float) -> None:
        """Start an attempt of a request at a worker, unless a rule forbids it."""
        if request.answered or worker.entry.state != EndpointState.READY:
            return
        if not self._slow_start.covers(worker, request.budget_cost):
            return
        if not self._selector.is_attempt_allowed(request, worker, now):
            return
        self._queues.remove(request)
        attempt = AttemptRecord(request, len(request.attempts), worker.entry, now, now)
        request.attempts.append(attempt)
        self._requests.open_attempts += 1
        self._fleet.add_attempt(attempt, worker, now)
        self._gossip.mark_changed(worker)
        self._outliers.record_send(attempt, worker)
        request.pacer.count_send(now)
        self._retry_budget.count_attempt()
        self._context.actions.append(
            StartAttempt(request.id, worker.entry.worker, expected_work=request.budget_cost)
        )
