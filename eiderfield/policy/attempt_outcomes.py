"""Updates a worker's health, and the rate control of a request's class, when an attempt starts or ends.

An answer in time ends an ejection. A failed connection, a second reset in a row or too many errors eject the
worker. A worker that answers 'full' is sent nothing for a while; the refusal reduces the rate of the class
if no other worker is free. Times are in milliseconds.
"""

from __future__ import annotations

from eiderfield.interface import AttemptEnded, Effect, EndpointState, Outcome
from eiderfield.policy.context import Context
from eiderfield.policy.endpoint import MAX_ERROR_SCORE, Worker
from eiderfield.policy.fleet_state import FleetState
from eiderfield.policy.outlier_detection import SILENT_DURATIONS, OutlierDetector
from eiderfield.policy.request import AttemptRecord
from eiderfield.policy.selection import EndpointSelector

FULL_PAUSE_MS = 200.0  # pause in sending to a full worker: about the time until it has a free slot
MAX_FULL_PAUSES = 2  # longest pause of a worker that answers 'full' repeatedly, in pauses
MAX_PAUSE_PER_WAIT = 5.0  # longest pause after a wait at a worker, as a multiple of that wait


class AttemptOutcomes:
    """Records the starts and outcomes of attempts."""

    def __init__(
        self,
        context: Context,
        state: FleetState,
        outliers: OutlierDetector,
        selector: EndpointSelector,
    ) -> None:
        """Create a recorder for the workers of `state`."""
        self._context = context
        self._fleet = state.fleet
        self._slow_start = state.slow_start
        self._reports = state.reports
        self._outliers = outliers
        self._selector = selector

    def record_start(self, attempt: AttemptRecord, now: float) -> None:
        """Record that an attempt, which until then waited at its worker, has started to run."""
        worker = self._fleet.workers[attempt.entry.worker]
        waited = now - attempt.sent_at
        attempt.started_at = now
        worker.consecutive_fulls = 0
        worker.unstarted_attempts -= 1
        self._outliers.record_wait(waited)
        self._reports.record_start(worker)
        # If each dispatcher has one request waiting here, the worker's queue is long (i1da742): this
        # dispatcher pauses so that the others can send first.
        other_dispatchers = self._fleet.subset.dispatchers_per_worker / self._reports.slots_of(worker) - 1.0
        worker.full_until = max(worker.full_until, now + waited * min(MAX_PAUSE_PER_WAIT, other_dispatchers))
        self._fleet.paused_workers[worker.entry.worker] = worker

    def record_end(self, attempt: AttemptRecord, event: AttemptEnded, now: float) -> None:
        """Update the worker's health, and the rate control of the request's class, from an outcome."""
        worker, outcome = self._fleet.workers[attempt.entry.worker], event.outcome
        if outcome == Outcome.OK:
            self._record_answer(attempt, worker, event, now)
        elif outcome == Outcome.FULL:
            self._record_full(attempt, worker, now)
        elif outcome == Outcome.CONNECT_FAILED:
            worker.eject(now)
        elif outcome == Outcome.RESET:
            worker.consecutive_resets += 1
            worker.full_until = now + FULL_PAUSE_MS
            # A single connection can break although its worker is healthy.
            if worker.consecutive_resets > 1 and now >= worker.ejected_until:
                worker.eject(now)
        elif outcome == Outcome.ERROR:
            worker.record_activity(now)
            # A worker that fails fast has the fewest requests in flight, and so would attract even more.
            if worker.error_score > MAX_ERROR_SCORE:
                worker.eject(now, failing=self._context.trial_effect != Effect.UNSAFE)
        elif outcome == Outcome.CANCELLED and attempt.started_at is None:
            self._record_unstarted_cancel(attempt, worker, now)

    def _record_answer(self, attempt: AttemptRecord, worker: Worker, event: AttemptEnded, now: float) -> None:
        request, pacer = attempt.request, attempt.request.pacer
        is_late = event.elapsed_ms >= SILENT_DURATIONS * max(
            pacer.expected_duration_ms(request.expected_work), request.request_class.latency_objective_ms
        )
        worker.record_activity(now, not is_late)
        pacer.record_duration(
            event.elapsed_ms if attempt.started_at is None else now - attempt.started_at,
            request.expected_work,
        )
        self._slow_start.record_served(request.budget_cost, now)

    def _record_full(self, attempt: AttemptRecord, worker: Worker, now: float) -> None:
        worker.record_activity(now)
        worker.consecutive_fulls += 1
        worker.full_until = now + FULL_PAUSE_MS * min(worker.consecutive_fulls, MAX_FULL_PAUSES)
        # A refusal is no sign of overload if the worker is draining or while other workers are free.
        if worker.entry.state == EndpointState.READY and not self._selector.is_any_free(now):
            attempt.request.pacer.accepted_in_window -= 1

    def _record_unstarted_cancel(self, attempt: AttemptRecord, worker: Worker, now: float) -> None:
        waited = now - attempt.sent_at
        if waited >= self._outliers.short_wait_ms(attempt.request):
            self._outliers.record_wait(waited)
            # The next request would wait too long at this worker as well.
            worker.full_until = now + 2.0 * FULL_PAUSE_MS
