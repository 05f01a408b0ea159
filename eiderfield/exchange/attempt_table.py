"""Table of the open attempts."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum

from eiderfield.exchange.context import Context
from eiderfield.exchange.event_queue import EventQueue
from eiderfield.exchange.metrics import Metrics
from eiderfield.exchange.other_process import OtherProcessState
from eiderfield.exchange.request import Attempt, PendingRequest, may_have_run
from eiderfield.exchange.request_table import RequestTable
from eiderfield.interface import (
    MAX_WRITE_DELAY_MS,
    NEVER_RAN,
    AttemptEnded,
    Effect,
    Outcome,
    RequestClass,
)


class StopReason(StrEnum):
    """Why the exchange stopped an attempt. The console shows the values."""

    CLIENT_GONE = "nobody waits"
    POLICY = "decided"
    TIMEOUT = "timed out"
    TAKEN_OVER = "taken over"


class AttemptTable:
    """Open attempts by request id and attempt number, and their number per worker.

    An attempt stays open after its request is answered, until it ends itself.
    """

    def __init__(
        self,
        context: Context,
        events: EventQueue,
        requests: RequestTable,
        other_process: OtherProcessState,
        metrics: Metrics,
    ) -> None:
        """Create an empty table that posts the ends of attempts to `events`."""
        self.open: dict[tuple[int, int], Attempt] = {}
        self._context = context
        self._events = events
        self._requests = requests
        self._other_process = other_process
        self._metrics = metrics
        self._open_per_worker: Counter[int] = Counter()

    @property
    def open_per_worker(self) -> dict[int, int]:
        """The number of open attempts of each worker that has any."""
        return {worker: count for worker, count in self._open_per_worker.items() if count}

    def add(self, attempt: Attempt, work: float) -> None:
        """Add an attempt that is about to start; `work` is the work expected of it."""
        self.open[attempt.pending.id, attempt.number] = attempt
        self._open_per_worker[attempt.worker] += 1
        self._notify_other_process(attempt.worker, work)

    def stop(self, attempt: Attempt, reason: str, outcome: Outcome = Outcome.CANCELLED) -> None:
        """Abort an open attempt. It ends as never sent if its last byte has not been sent yet."""
        if attempt.open and self._context.worker_side is not None:
            self._metrics.cancelled_attempts[reason] += 1
            self._context.worker_side.stop(attempt)
            self.end(attempt, outcome if attempt.may_have_run else Outcome.NOT_SENT)

    def stop_all(self, pending: PendingRequest, reason: str) -> None:
        """Abort the open attempts of a request."""
        for attempt in pending.attempts:
            self.stop(attempt, reason)

    def end(self, attempt: Attempt, outcome: Outcome, load: tuple[float, ...] = ()) -> None:
        """Record the end of an attempt and notify the policy. Does nothing if it has ended already.

        `load` is the worker's load report.
        """
        if not attempt.open:
            return
        pending = attempt.pending
        attempt.open = False
        self._requests.release_id(pending)
        if self.open.pop((pending.id, attempt.number), None) is not None:
            self._open_per_worker[attempt.worker] -= 1
            self._notify_other_process(attempt.worker)
        attempt.may_have_run = attempt.may_have_run and outcome not in NEVER_RAN
        if self.must_run_once(pending) and not may_have_run(pending):
            self._context.begun_ids.remove(pending.request.id)
        pending.running = False
        if pending.durable and self._context.durable_requests is not None:
            self._context.durable_requests.attempt_ended(attempt)
        if attempt.timer is not None:
            attempt.timer.cancel()
        # `Exchange.turn`, which knows the time, replaces `sent_at` by the elapsed time.
        self._events.post(
            AttemptEnded(
                pending.id,
                attempt.number,
                attempt.worker,
                outcome,
                attempt.sent_at,
                pending.answered,
                load_report=load,
            )
        )

    def must_run_once(self, pending: PendingRequest) -> bool:
        """Return whether the id of a request is remembered once it has begun. Records keep durable ones."""
        request_class = self._context.settings.classes[pending.request.class_index]
        return request_class.effect == Effect.UNSAFE and not pending.durable

    def _notify_other_process(self, worker: int, work: float = 0.0) -> None:
        if self._other_process.process is not None:
            self._other_process.process.attempts_changed(worker, self._open_per_worker[worker], work)


def latest_start(attempt: Attempt, request_class: RequestClass) -> float:
    """Return the time (ms) by which an attempt must have started.

    This is the client's deadline. If an earlier attempt of a keyed request may have run, it is also the end
    of the window in which workers discard a repeated request.
    """
    deadline = attempt.pending.request.deadline
    if request_class.effect != Effect.KEYED:
        return deadline
    window = request_class.repeat_window_ms - MAX_WRITE_DELAY_MS
    return min(
        [
            deadline,
            *[
                other.sent_at + window
                for other in attempt.pending.attempts
                if other is not attempt and other.may_have_run
            ],
        ]
    )
