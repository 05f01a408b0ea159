"""Outlier detection: workers that have become silent, and attempts that are stuck.

A worker with open attempts shows by answers and progress notes that it is alive. If neither arrives for some
note intervals (or some typical durations, if workers send no notes), the worker is silent: it is ejected, and
its attempts are reported as stalled.

A single attempt is stuck if its own notes stop, because a connection can break while its worker is healthy,
or if it has waited at the worker without starting for much longer than a typical duration. With many
dispatchers, each of them sees so little of a worker's queue that it reports an attempt after only a short
wait. It does not do so while all queues are long, when a cancelled request would lose its place in one queue
and go to the end of another.

    healthy --(no activity in time)--> silent --(activity, or no open attempt left)--> healthy

Invariant: the workers are not all examined in every call (incident ic8135f).
"""

from __future__ import annotations

from collections.abc import Iterator
from math import inf

from eiderfield.interface import EndpointState, LogMessage
from eiderfield.policy.context import Context
from eiderfield.policy.endpoint import Worker
from eiderfield.policy.fleet import Fleet
from eiderfield.policy.request import AttemptRecord, QueuedRequest

SILENT_INTERVALS = 1.6  # note intervals until a worker is silent: some notes are lost when a process pauses
STUCK_INTERVALS = 3.6  # note intervals until an attempt at a healthy worker is stuck
SILENT_DURATIONS = 3.0  # typical durations until a worker is silent, if workers send no notes
STUCK_DURATIONS = 8.0  # typical durations until an unstarted attempt is stuck, with few dispatchers
SHORT_WAIT_DURATIONS = 0.2  # typical durations up to which a wait is short; with many dispatchers, the limit
WAIT_WEIGHT = 0.1  # weight of one request in the mean wait
RECHECK_MS = 200.0  # time after which silent workers and stuck attempts are examined again


class OutlierDetector:
    """Finds silent workers and stuck attempts; examines them when the first of them can have become so."""

    def __init__(self, context: Context, fleet: Fleet) -> None:
        """Create a detector without open attempts."""
        self.next_check = inf  # the earliest time at which a worker or an attempt can become an outlier
        self.mean_wait_ms = 0.0  # mean wait of requests at workers until they start
        self._context = context
        self._fleet = fleet

    def record_send(self, attempt: AttemptRecord, worker: Worker) -> None:
        """Set the next check early enough for an attempt that has been sent."""
        silent_at, stuck_at = self._silent_at(worker), self._stuck_at(attempt, worker)
        self.next_check = min(self.next_check, silent_at, stuck_at)

    def record_wait(self, wait_ms: float) -> None:
        """Update the mean wait with the wait of one request at a worker."""
        self.mean_wait_ms += WAIT_WEIGHT * (wait_ms - self.mean_wait_ms)

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
            self.next_check = now + RECHECK_MS

    def short_wait_ms(self, request: QueuedRequest) -> float:
        """Return the wait in ms up to which a worker's queue counts as short, with many dispatchers."""
        return SHORT_WAIT_DURATIONS * self._typical_duration_ms(request)

    def is_late_under_load(self, request: QueuedRequest, now: float) -> bool:
        """Return whether a request will be late and, as all queues are long, would make others late too."""
        is_late = self._context.many_dispatchers and now >= request.latest_useful_start
        return is_late and self.mean_wait_ms > self.short_wait_ms(request)

    def _check_worker(self, worker: Worker, now: float) -> None:
        if worker.silent:
            return
        silent_at = self._silent_at(worker)
        if worker.entry.state == EndpointState.READY and now >= silent_at:
            worker.silent = True
            worker.eject(now)
            self._fleet.paused_workers[worker.entry.worker] = worker
            message = f"worker {worker.entry.worker} silent, {len(worker.open_attempts)} jobs out"
            self._context.actions.append(LogMessage(message))
        else:
            self.next_check = min(self.next_check, silent_at)

    def _silent_at(self, worker: Worker) -> float:
        """Return when a worker counts as silent if it shows no activity until then."""
        oldest = next(iter(worker.open_attempts.values()))
        without_notes = SILENT_DURATIONS * self._typical_duration_ms(oldest.request)
        with_notes = SILENT_INTERVALS * self._context.settings.progress_interval_ms
        return max(worker.last_activity_at, oldest.sent_at) + (with_notes or without_notes)

    def _stuck_at(self, attempt: AttemptRecord, worker: Worker) -> float:
        """Return when an attempt counts as stuck if it shows no activity until then."""
        settings = self._context.settings
        if attempt.superseded or attempt.request.streaming:
            return inf
        if attempt.started_at is not None:
            if not settings.progress_interval_ms:
                return inf
            intervals = SILENT_INTERVALS if worker.silent else STUCK_INTERVALS
            return attempt.last_activity_at + intervals * settings.progress_interval_ms
        if not settings.workers_report_start:
            return inf
        if self._context.many_dispatchers:
            return self._short_wait_until(attempt)
        return attempt.sent_at + STUCK_DURATIONS / SHORT_WAIT_DURATIONS * self.short_wait_ms(attempt.request)

    def _short_wait_until(self, attempt: AttemptRecord) -> float:
        """Return when a waiting attempt is stuck, with many dispatchers.

        The time that an attempt may wait doubles with each attempt of its request.
        """
        short = self.short_wait_ms(attempt.request)
        wait_until = attempt.sent_at + max(short, self.mean_wait_ms) * 2.0**attempt.number
        if self.mean_wait_ms <= short:
            return wait_until
        # All queues are long: a cancelled request would lose its place, and the data cached at the worker.
        return min(wait_until, max(attempt.request.latest_useful_start, attempt.sent_at + short))

    def _typical_duration_ms(self, request: QueuedRequest) -> float:
        return max(
            request.pacer.expected_duration_ms(request.expected_work),
            request.request_class.latency_objective_ms,
        )
