"""Executes the actions that the policy returns."""

from __future__ import annotations

from collections.abc import Iterable
from functools import partial
from traceback import format_exc
from typing import assert_never

from eiderfield.exchange.attempt_table import AttemptTable, StopReason
from eiderfield.exchange.context import Context
from eiderfield.exchange.endpoint_table import EndpointTable
from eiderfield.exchange.event_queue import EventQueue
from eiderfield.exchange.metrics import Metrics
from eiderfield.exchange.request import Answer, Attempt, Verdict, may_have_run
from eiderfield.exchange.request_table import RequestTable
from eiderfield.interface import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    FetchEndpoints,
    LogMessage,
    Outcome,
    ProbeWorker,
    RejectRequest,
    SendPeerReport,
    SetTimer,
    StartAttempt,
    TimerFired,
    WatchEndpoints,
)


class ActionExecutor:
    """Executes actions in order. An action that fails is logged, and the next ones are still executed."""

    def __init__(
        self,
        context: Context,
        events: EventQueue,
        endpoints: EndpointTable,
        requests: RequestTable,
        attempts: AttemptTable,
        metrics: Metrics,
    ) -> None:
        """Create an executor that acts on these parts of an exchange."""
        self.context = context
        self.endpoints = endpoints
        self.requests = requests
        self.attempts = attempts
        self.metrics = metrics
        self._events = events

    def execute(self, actions: Iterable[Action], now: float) -> None:
        """Execute the actions of a turn at time `now` (ms)."""
        for action in actions:
            try:
                match action:
                    case StartAttempt():
                        self.start_attempt(action, now)
                    case CancelAttempt():
                        self.cancel_attempt(action)
                    case RejectRequest():
                        self.reject_request(action)
                    case FailRequest():
                        self.fail_request(action)
                    case _:
                        self._execute_other(action)
            except Exception as error:  # the error of one adapter must not stop the other actions of the turn
                name = type(action).__name__
                self.context.log(f"exchange: action failed (action={name} error={error!r})\n{format_exc()}")

    def start_attempt(self, action: StartAttempt, now: float) -> None:
        """Start an attempt, unless its request has ended or the settings do not allow another attempt."""
        context = self.context
        pending = self.requests.pending.get(action.request_id)
        if pending is None or context.worker_side is None:
            context.log(f"exchange: attempt not started, its request has ended (request={action.request_id})")
            return
        attempt = Attempt(pending, len(pending.attempts), action.worker, now)
        has_open_attempt = any(other.open for other in pending.attempts)
        pending.attempts.append(attempt)
        pending.started_at = 0.0  # discards the start of an earlier attempt
        settings = context.settings
        # Guards against a fault of the policy. The policy is notified that the attempt was never sent.
        attempt_count = len(pending.attempts) + pending.request.released_attempts
        if attempt_count > settings.max_attempts or (has_open_attempt and not settings.hedging_allowed):
            self.metrics.prevented_violations["attempts"] += 1
            self.attempts.end(attempt, Outcome.NOT_SENT)
            return
        deadline = pending.request.deadline
        stop_at = min(deadline, now + action.timeout_ms) if action.timeout_ms > 0.0 else deadline
        self.attempts.add(attempt, action.expected_work)
        attempt.timer = context.timers.call_at(
            stop_at, lambda: self.attempts.stop(attempt, StopReason.TIMEOUT, Outcome.TIMEOUT)
        )
        if pending.durable and context.durable_requests is not None:
            context.durable_requests.claim(attempt, partial(self._claim_ended, attempt))
        else:
            context.worker_side.start(attempt)

    def _claim_ended(self, attempt: Attempt, may_start: bool) -> None:
        """Start an attempt whose claim is stored, or end it if it must not start."""
        if attempt.open and self.context.worker_side is not None:
            if may_start:
                self.context.worker_side.start(attempt)
            else:
                self.attempts.end(attempt, Outcome.NOT_SENT)

    def cancel_attempt(self, action: CancelAttempt) -> None:
        """Stop the attempt if it is still open."""
        if (attempt := self.attempts.open.get((action.request_id, action.attempt_number))) is not None:
            self.attempts.stop(attempt, StopReason.POLICY)

    def reject_request(self, action: RejectRequest) -> None:
        """Answer a request with `Verdict.DECLINED` if it is still pending; its client may retry it."""
        if (pending := self.requests.pending.get(action.request_id)) is not None:
            answer = Answer(
                Verdict.DECLINED,
                retry_after=action.retry_after_ms,
                may_have_run=may_have_run(pending),
                attempts=len(pending.attempts),
            )
            self.requests.finish(pending, answer)

    def fail_request(self, action: FailRequest) -> None:
        """Answer a request with `Verdict.FAILED` if it is still pending."""
        if (pending := self.requests.pending.get(action.request_id)) is not None:
            answer = Answer(
                Verdict.FAILED, may_have_run=may_have_run(pending), attempts=len(pending.attempts)
            )
            self.requests.finish(pending, answer)

    def _execute_other(
        self,
        action: SetTimer
        | ProbeWorker
        | CloseIdleConnections
        | SendPeerReport
        | LogMessage
        | WatchEndpoints
        | FetchEndpoints,
    ) -> None:
        """Execute an action that is not about a single request."""
        context = self.context
        match action:
            case SetTimer(at, token):
                context.timers.call_at(at, lambda: self._events.post(TimerFired(token)))
            case ProbeWorker(worker):
                if context.worker_side is not None:
                    context.worker_side.probe(worker)
            case CloseIdleConnections(worker):
                if context.worker_side is not None:
                    context.worker_side.close_idle(worker)
            case SendPeerReport(peer, data):
                if context.peer_channel is not None:
                    context.peer_channel.send_report(peer, data)
            case LogMessage(text):
                context.log(text)
            case WatchEndpoints() | FetchEndpoints():
                pass  # the endpoint list is always watched
            case _:
                assert_never(action)
