"""Receives the reports of the worker side about attempts and probes."""

from __future__ import annotations

from eiderfield.exchange.attempt_table import AttemptTable, latest_start
from eiderfield.exchange.context import Context
from eiderfield.exchange.endpoint_table import EndpointTable
from eiderfield.exchange.event_queue import EventQueue
from eiderfield.exchange.metrics import Metrics
from eiderfield.exchange.request import Answer, Attempt, Verdict, may_have_run
from eiderfield.exchange.request_table import RequestTable
from eiderfield.interface import AttemptProgressed, EndpointState, Outcome, ProbeCompleted, ProgressKind


class WorkerReports:
    """Records the progress and the end of attempts, and decides whether an attempt may still start."""

    def __init__(
        self,
        context: Context,
        events: EventQueue,
        endpoints: EndpointTable,
        requests: RequestTable,
        attempts: AttemptTable,
        metrics: Metrics,
    ) -> None:
        """Create a receiver that records reports in these parts of an exchange."""
        self._context = context
        self._events = events
        self._endpoints = endpoints
        self._requests = requests
        self._attempts = attempts
        self._metrics = metrics

    def may_write(self, attempt: Attempt, now: float) -> bool:
        """Return whether an attempt may still start now that its connection is established.

        Since the policy decided on it, the worker may have started to drain, the client may have
        disconnected, and the deadline or the window for repeated requests may have passed.
        """
        pending = attempt.pending
        if not attempt.open or pending.answered:
            return False
        if self._endpoints.states.get(attempt.worker) != EndpointState.READY:
            return False
        if now > latest_start(attempt, self._context.settings.classes[pending.request.class_index]):
            return False
        if pending.is_client_connected is not None and not pending.is_client_connected():
            return False
        durable_requests = self._context.durable_requests
        return not pending.durable or durable_requests is None or durable_requests.may_write(attempt)

    def request_begins(self, attempt: Attempt) -> None:
        """Record that the first byte of an attempt is about to be written."""
        pending = attempt.pending
        if self._attempts.must_run_once(pending):
            self._context.begun_ids.add(pending.request.id)

    def request_written(self, attempt: Attempt) -> None:
        """Record that the last byte of an attempt was sent."""
        attempt.may_have_run = True
        self._metrics.attempts_written += 1

    def record_progress(self, attempt: Attempt, kind: ProgressKind, share: float = 0.0) -> None:
        """Record that a worker reported the start or the progress of a request."""
        if attempt.open:
            pending = attempt.pending
            pending.running = pending.running or kind == ProgressKind.STARTED
            self._events.post(AttemptProgressed(pending.id, attempt.number, attempt.worker, kind, share))

    def record_result(self, attempt: Attempt, result: bytes, load: tuple[float, ...] = ()) -> None:
        """Record a complete result, which is the final answer if the request has none.

        `load` is the worker's load report.
        """
        if not attempt.open:
            return
        pending = attempt.pending
        if not pending.answered:
            answer = Answer(Verdict.SERVED, result, may_have_run=True, attempts=len(pending.attempts))
            self._requests.finish(pending, answer)
        self._attempts.end(attempt, Outcome.OK, load)

    def record_malformed_response(self, worker: int, reason: str) -> None:
        """Record that a worker's response is malformed or does not match its request."""
        self._metrics.malformed_responses += 1
        self._context.log(f"exchange: malformed response (worker={worker} reason={reason})")

    def record_rejection(self, attempt: Attempt) -> None:
        """Record that a worker rejected a request as invalid.

        The worker is healthy, and a retry would be rejected too, so the request is answered.
        """
        if not attempt.open:
            return
        pending = attempt.pending
        if not pending.answered:
            answer = Answer(
                Verdict.REJECTED, may_have_run=may_have_run(pending), attempts=len(pending.attempts)
            )
            self._requests.finish(pending, answer)
        self._attempts.end(attempt, Outcome.ERROR)

    def attempt_ended(self, attempt: Attempt, outcome: Outcome, load: tuple[float, ...] = ()) -> None:
        """Record that an attempt ended without a result. `load` is the worker's load report."""
        self._attempts.end(attempt, outcome, load)

    def probe_completed(
        self, worker: int, outcome: Outcome, elapsed: float, load: tuple[float, ...] = ()
    ) -> None:
        """Record the outcome of a probe."""
        self._events.post(ProbeCompleted(worker, outcome, elapsed, load))
