"""Slow start: the work that may be sent to a worker that has just started.

Rule 4 bounds the work that all dispatchers together send to a warming worker in each window
(`Settings.recovery_ramp_ms`). A dispatcher does not know what the others send, so that each keeps to its own
part: the work that one warm worker has recently served for it, times the share of its capacity that the new
worker has reached. With many dispatchers this part is less than one request. In that case a pseudo-random
threshold decides which dispatchers send a whole request: in each window the thresholds of all dispatchers are
spread evenly between 0 and 1, so that together they send what rule 4 allows, without communication.

Invariant: no attempt is sent to a warming worker beyond its budget, whichever part of the policy starts it.
"""

from __future__ import annotations

from math import inf

from eiderfield.interface import EndpointState, stable_hash
from eiderfield.policy.context import Context
from eiderfield.policy.endpoint import MAX_RECENT_SENDS, Worker
from eiderfield.policy.fleet import Fleet

SERVED_RATE_MS = 4000.0  # time over which the rate of served work is averaged
RATE_INTERVAL_MS = 200.0  # time between two updates of the rate per warm worker
BUDGET_MARGIN = 0.5  # share of the allowance that is used
BUDGET_MARGIN_MANY_DISPATCHERS = (
    0.6  # larger with many dispatchers, because thresholds keep each of them to its part
)
HASH_RANGE = 2.0**64


class SlowStart:
    """The slow start budgets of one dispatcher."""

    def __init__(self, context: Context, fleet: Fleet) -> None:
        """Create the budgets of a dispatcher for which no work has been served."""
        self.served_rate = 0.0  # work served per ms, averaged
        self.served_rate_at = 0.0  # the time up to which it is averaged
        self.rate_per_warm_worker = 0.0  # work per ms that one warm worker serves for this dispatcher
        self.min_cost = inf  # the smallest budget cost of any request so far
        self._measured_at = -inf
        self._context = context
        self._fleet = fleet

    def record_served(self, cost: float, now: float) -> None:
        """Add work that has been served to the average rate."""
        self.decay_served_rate(now)
        self.served_rate += cost / SERVED_RATE_MS

    def decay_served_rate(self, now: float) -> None:
        """Decay the average rate of served work until `now`."""
        self.served_rate *= max(0.0, 1.0 - (now - self.served_rate_at) / SERVED_RATE_MS)
        self.served_rate_at = now

    def is_warming(self, worker: Worker, now: float) -> bool:
        """Return whether a worker is warming up."""
        started = worker.entry.ready_at
        return started > 0.0 and max(0.0, now - started) < self._context.settings.slow_start_window_ms

    def capacity_share(self, worker: Worker, now: float) -> float:
        """Return the share of its capacity that a worker has at least, which grows linearly in warm-up."""
        settings = self._context.settings
        warmed = 1.0
        if self.is_warming(worker, now):
            warmed = max(0.0, now - worker.entry.ready_at) / settings.slow_start_window_ms
        return settings.slow_start_share + (1.0 - settings.slow_start_share) * warmed

    def refresh(self, worker: Worker, now: float) -> None:
        """Update the rest of a worker's budget."""
        worker.slow_start_left = self.budget_left(worker, now) if worker.entry.ready_at > 0.0 else inf

    def has_budget(self, worker: Worker) -> bool:
        """Return whether a worker's budget covers a request of the smallest cost."""
        return worker.slow_start_left >= self.min_cost * worker.budget_threshold

    def covers(self, worker: Worker, cost: float) -> bool:
        """Return whether a worker's budget covers a request of this cost."""
        return cost * worker.budget_threshold <= worker.slow_start_left

    def budget_left(self, worker: Worker, now: float) -> float:
        """Return the work that rule 4 allows to be sent to a worker now, infinity for a warm worker.

        With many dispatchers this also sets the worker's threshold for the current window.
        """
        settings, many_dispatchers = self._context.settings, self._context.many_dispatchers
        if not self.is_warming(worker, now) or not settings.recovery_ramp_ms:  # no window means no rule 4
            return inf
        self._update_rate_per_worker(now)
        margin = BUDGET_MARGIN_MANY_DISPATCHERS if many_dispatchers else BUDGET_MARGIN
        allowed = (
            margin * settings.recovery_ramp_multiple * self.rate_per_warm_worker * settings.recovery_ramp_ms
        )
        allowed *= self.capacity_share(worker, now)
        while worker.recent_sends and worker.recent_sends[0][0] <= now - settings.recovery_ramp_ms:
            worker.recent_sends.popleft()
        if len(worker.recent_sends) == MAX_RECENT_SENDS:  # more may have been sent in this window
            return -inf
        if (
            many_dispatchers
        ):  # rounding each dispatcher's part of a request would starve or overload the worker
            worker.budget_threshold = self._compute_threshold(worker, now)
        return allowed - sum([work for _, work in worker.recent_sends])

    def _compute_threshold(self, worker: Worker, now: float) -> float:
        """Return the share of a request's cost that the rest of the budget must cover."""
        settings = self._context.settings
        window = int((now - worker.entry.ready_at) / settings.recovery_ramp_ms)
        draw = stable_hash(worker.entry.worker, window) / HASH_RANGE
        return (draw + settings.dispatcher_index / settings.dispatcher_count) % 1.0

    def _update_rate_per_worker(self, now: float) -> None:
        """Update the rate per warm worker: the work served, divided by the capacity of the subset."""
        if now < self._measured_at + RATE_INTERVAL_MS:
            return
        # Warming workers count with their share of capacity. A floor of half the subset keeps a few warm
        # workers from raising the rate too far.
        size = len(self._fleet.subset)
        missing = sum([1.0 - self.capacity_share(worker, now) for worker in self._warming_workers(now)])
        capacity = max(size - missing, size / 2.0)
        self.rate_per_warm_worker = self.served_rate / max(1.0, capacity)
        self._measured_at = now

    def _warming_workers(self, now: float) -> list[Worker]:
        """Return the ready workers of the subset that are warming up."""
        warming_workers = self._fleet.warming_workers
        for number in [
            number for number, worker in warming_workers.items() if not self.is_warming(worker, now)
        ]:
            del warming_workers[number]
        ready = [worker for worker in warming_workers.values() if worker.entry.state == EndpointState.READY]
        return [worker for worker in ready if worker in self._fleet.subset]
