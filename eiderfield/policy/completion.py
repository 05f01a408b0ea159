"""Ends requests: gives the final answer of this dispatcher and cancels open attempts.

Invariants: a request gets one final answer; it is rejected only if rule 2 lets its client repeat it.
"""

from __future__ import annotations

from eiderfield.interface import CancelAttempt, FailRequest, RejectRequest
from eiderfield.policy.context import Context
from eiderfield.policy.queues import ClassQueues
from eiderfield.policy.request import QueuedRequest
from eiderfield.policy.request_table import RequestTable
from eiderfield.policy.retry_rules import may_reject


class RequestCompletion:
    """Removes finished requests, and answers requests that no worker has answered."""

    def __init__(self, context: Context, requests: RequestTable, queues: ClassQueues) -> None:
        """Create the only part of a dispatcher that removes requests from the table."""
        self._context = context
        self._requests = requests
        self._queues = queues

    def finish(self, request: QueuedRequest) -> None:
        """Remove a finished request and cancel its open attempts, which frees workers that support it."""
        request.answered = True
        self._queues.remove(self._requests.by_id.pop(request.id))
        for attempt in request.attempts:
            if attempt.open:
                self._requests.late_attempts[request.id, attempt.number] = attempt
                if self._context.settings.cancellation_allowed:
                    self._context.actions.append(CancelAttempt(request.id, attempt.number))

    def answer(self, request: QueuedRequest, retry_after: float = 0.0) -> None:
        """Reject a request if rule 2 allows it, else fail it; all final answers of the policy are made here.

        `retry_after` is the time in ms after which a rejected client should try again, 0 for no advice.
        """
        settings = self._context.settings
        self.finish(request)
        if not may_reject(request):
            self._context.actions.append(FailRequest(request.id))
            return
        advice = min(retry_after, settings.max_retry_after_ms) if settings.retry_advice_allowed else 0.0
        self._context.actions.append(RejectRequest(request.id, advice))
