"""Outlier detection: workers that fall silent, and attempts that are stuck.

Theory of operation. A worker with attempts out shows by answers and notes that it lives. Where none came for
some intervals of notes (or, where workers send no notes, for some running times) it is silent: it is struck,
and what is out there is given up. A single attempt is stuck when its own notes stay away, for a connection
can fall silent under a worker that is well, or when it waits unstarted for much longer than a run. Of many
dispatchers each sees so little of a worker's queue that an attempt is called off after a short wait, unless
all queues are long: then leaving one loses the place in it.

    trusted ──(no sign of life in time)──> silent ──(any sign of life, or nothing left out there)──> trusted

What must never happen: a look at all workers in each turn (incident ic8135f).
"""

from __future__ import annotations

from collections.abc import Iterator
from math import inf

from eiderfield.interface import EndpointState, LogMessage
from eiderfield.policy.context import Context
from eiderfield.policy.endpoint import Worker
from eiderfield.policy.fleet import Fleet
from eiderfield.policy.request import AttemptRecord, QueuedRequest

SILENT_NOTES = 1.6  # intervals of notes without any sign of life: a process's pause swallows some
STUCK_NOTES = 3.6  # intervals without a note of one attempt, at a worker that is well
SILENT_RUNS = 3.0  # mean running times that may pass where there are no notes
STUCK_RUNS = 8.0  # mean running times that an attempt may wait unstarted
STUCK_RUNS_OF_MANY = 0.2  # and among many dispatchers
WAIT_WEIGHT = 0.1  # of one request's wait in their mean
CHECKED_AGAIN_MS = 200.0  # after which a suspicion that has come true is looked at again


class OutlierDetector:
    """Looks for silent workers and stuck attempts when one may have become so."""

    def __init__(self, context: Context, fleet: Fleet) -> None:
        """Create a detector that suspects no worker."""
        self.next_check = inf  # nobody is suspect before
        self.mean_wait_ms = 0.0  # of requests, at workers, until they start, in ms
        self._context = context
        self._fleet = fleet

    def record_send(self, attempt: AttemptRecord, worker: Worker) -> None:
        """An attempt is out, and may fall silent."""
        silence, stuck = self._silent_at(worker), self._stuck_at(attempt, worker)
        self.next_check = min(self.next_check, silence, stuck)

    def record_wait(self, wait: float) -> None:
        """Takes in how long a request waited at a worker."""
        self.mean_wait_ms += WAIT_WEIGHT * (wait - self.mean_wait_ms)

    def stalled_attempts(self, now: float) -> Iterator[AttemptRecord]:
        """Eject workers that have become silent, and yield each attempt that makes no progress.

        The caller handles an attempt before it asks for the next one.
        """
        if now < self.next_check:
            return
        self.next_check = inf
        for worker in list(self._fleet.with_open_attempts.values()):
            self._check_worker(worker, now)
            for attempt in worker.open_attempts.values():
                stuck_at = self._stuck_at(attempt, worker)
                if now >= stuck_at or worker.silent:
                    yield attempt
                else:
                    self.next_check = min(self.next_check, stuck_at)
        if self.next_check <= now:
            self.next_check = now + CHECKED_AGAIN_MS

    def short_wait_ms(self, request: QueuedRequest) -> float:
        """The wait that one of many dispatchers takes for a short one, in ms."""
        return STUCK_RUNS_OF_MANY * self._typical_duration_ms(request)

    def is_hopeless(self, request: QueuedRequest, now: float) -> bool:
        """Whether a request that can't be in time would, at queues everywhere, make others late as well."""
        late = self._context.many_dispatchers and now >= request.latest_useful_start
        return late and self.mean_wait_ms > self.short_wait_ms(request)

    def _check_worker(self, worker: Worker, now: float) -> None:
        if worker.silent:
            return
        silent_from = self._silent_at(worker)
        if worker.entry.state == EndpointState.READY and now >= silent_from:
            worker.silent = True
            worker.eject(now)
            self._fleet.pausing[worker.entry.worker] = worker
            text = f"worker {worker.entry.worker} silent, {len(worker.open_attempts)} jobs out"
            self._context.actions.append(LogMessage(text))
        else:
            self.next_check = min(self.next_check, silent_from)

    def _silent_at(self, worker: Worker) -> float:
        """When the worker's silence becomes suspect: measured from its last sign of life."""
        oldest = next(iter(worker.open_attempts.values()))
        runs = SILENT_RUNS * self._typical_duration_ms(oldest.request)
        notes = SILENT_NOTES * self._context.settings.progress_interval_ms
        return max(worker.last_heard_at, oldest.sent_at) + (notes or runs)

    def _stuck_at(self, attempt: AttemptRecord, worker: Worker) -> float:
        """When an attempt is stuck: no note came in time or, if not started, its wait is too long."""
        settings = self._context.settings
        if attempt.given_up or attempt.request.streaming:
            return inf
        if attempt.started_at is not None:
            notes = SILENT_NOTES if worker.silent else STUCK_NOTES
            return (
                attempt.last_heard_at + notes * settings.progress_interval_ms
                if settings.progress_interval_ms
                else inf
            )
        if not settings.workers_report_start:
            return inf
        if self._context.many_dispatchers:
            return self._short_wait_over_at(attempt)
        return attempt.sent_at + STUCK_RUNS / STUCK_RUNS_OF_MANY * self.short_wait_ms(attempt.request)

    def _short_wait_over_at(self, attempt: AttemptRecord) -> float:
        """When one of many dispatchers calls an unstarted attempt off: each wait is twice the last."""
        short = self.short_wait_ms(attempt.request)
        patient_until = attempt.sent_at + max(short, self.mean_wait_ms) * 2.0**attempt.number
        if self.mean_wait_ms <= short:
            return patient_until
        # Where all queues are long, leaving one loses the place and the data.
        return min(patient_until, max(attempt.request.latest_useful_start, attempt.sent_at + short))

    def _typical_duration_ms(self, request: QueuedRequest) -> float:
        return max(
            request.pacer.expected_duration_ms(request.expected_work),
            request.request_class.latency_objective_ms,
        )
