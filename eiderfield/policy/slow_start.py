"""Slow start: how much a worker that has just started may be sent.

Theory of operation. Rule 4 bounds the work that all dispatchers together send to a worker that is warming up,
in each window of the settings (`fall`). No dispatcher knows what the others send, so each takes its own part:
what a warm worker serves for it, from what it was served lately, times the share of its capacity that the new
worker has already. Of many dispatchers each has a part that is less than a request. There, a lot decides who
sends a whole one: in each window the lots of all dispatchers lie evenly between 0 and 1, so that the sum is
what is allowed, and nobody has to talk.

What must never happen: an attempt to a warming worker that its budget doesn't cover, whoever asked for it.
"""

from __future__ import annotations

from math import inf

from eiderfield.interface import EndpointState, stable_hash
from eiderfield.policy.context import Context
from eiderfield.policy.endpoint import RECENT_ATTEMPTS, Worker
from eiderfield.policy.fleet import Fleet

SERVED_RATE_MS = 4000.0  # over which the rate of served work is averaged
MEASURED_EVERY_MS = 200.0  # after which what a warm worker serves is reckoned anew
COLD_MARGIN = 0.5  # share of the allowance that one of few dispatchers uses
COLD_MARGIN_OF_MANY = 0.6  # and one of many, whom a lot keeps to it
HASH_RANGE = 2.0**64


class SlowStart:
    """The slow start budgets of one dispatcher."""

    def __init__(self, context: Context, fleet: Fleet) -> None:
        self.served_rate = 0.0  # work served in a ms, averaged
        self.served_at = 0.0  # until when
        self.served_by_each = 0.0  # work that a warm worker serves for this dispatcher in a ms
        self.least_cost = inf  # of any request so far
        self._measured_at = -inf
        self._context = context
        self._fleet = fleet

    def count_served(self, cost: float, now: float) -> None:
        """Takes in that work has been served."""
        self.fade(now)
        self.served_rate += cost / SERVED_RATE_MS

    def fade(self, now: float) -> None:
        """Brings the rate of served work up to date."""
        self.served_rate *= max(0.0, 1.0 - (now - self.served_at) / SERVED_RATE_MS)
        self.served_at = now

    def is_warming(self, worker: Worker, now: float) -> bool:
        """Whether a worker is in its warm-up."""
        started = worker.entry.ready_at
        return started > 0.0 and max(0.0, now - started) < self._context.settings.slow_start_window_ms

    def capacity_share(self, worker: Worker, now: float) -> float:
        """The part of its capacity that a worker has at the least: it rises evenly over the warm-up."""
        settings = self._context.settings
        warmed = 1.0
        if self.is_warming(worker, now):
            warmed = max(0.0, now - worker.entry.ready_at) / settings.slow_start_window_ms
        return settings.slow_start_share + (1.0 - settings.slow_start_share) * warmed

    def refresh(self, worker: Worker, now: float) -> None:
        """Brings a worker's budget up to date."""
        worker.slow_start_left = self.budget_left(worker, now) if worker.entry.ready_at > 0.0 else inf

    def may_take_any(self, worker: Worker) -> bool:
        """Whether a worker's budget lets through a request of the least cost."""
        return worker.slow_start_left >= self.least_cost * worker.lot

    def covers(self, worker: Worker, cost: float) -> bool:
        """Whether a worker's budget lets through a request of this cost."""
        return cost * worker.lot <= worker.slow_start_left

    def budget_left(self, worker: Worker, now: float) -> float:
        """Rule 4: the work that a warming worker may still be sent. Draws its lot for the present window."""
        settings, many = self._context.settings, self._context.many
        if (
            not self.is_warming(worker, now) or not settings.recovery_ramp_ms
        ):  # without a window there is no rule 4
            return inf
        self._measure(now)
        margin = COLD_MARGIN_OF_MANY if many else COLD_MARGIN
        allowed = margin * settings.recovery_ramp_multiple * self.served_by_each * settings.recovery_ramp_ms
        allowed *= self.capacity_share(worker, now)
        while worker.recent and worker.recent[0][0] <= now - settings.recovery_ramp_ms:
            worker.recent.popleft()
        if len(worker.recent) == RECENT_ATTEMPTS:  # earlier ones of this window are forgotten
            return -inf
        if many:  # parts of a request, rounded, starve the worker or push it over: lots decide
            worker.lot = self._lot(worker, now)
        return allowed - sum([work for _, work in worker.recent])

    def _lot(self, worker: Worker, now: float) -> float:
        """The share of a request's cost that has to be left of the budget for a whole one to be sent."""
        settings = self._context.settings
        window = int((now - worker.entry.ready_at) / settings.recovery_ramp_ms)
        draw = stable_hash(worker.entry.worker, window) / HASH_RANGE
        return (draw + settings.dispatcher_index / settings.dispatcher_count) % 1.0

    def _measure(self, now: float) -> None:
        """Reckons what a warm worker serves: what was served, over the capacity that there is."""
        if now < self._measured_at + MEASURED_EVERY_MS:
            return
        # Warming ones served a part; half at least, or few warm ones would allow many others too much.
        size = len(self._fleet.subset)
        missing = sum([1.0 - self.capacity_share(worker, now) for worker in self._warming(now)])
        capacity = max(size - missing, size / 2.0)
        self.served_by_each = self.served_rate / max(1.0, capacity)
        self._measured_at = now

    def _warming(self, now: float) -> list[Worker]:
        """The workers of the subset that are warming up."""
        warming = self._fleet.warming
        for number in [number for number, worker in warming.items() if not self.is_warming(worker, now)]:
            del warming[number]
        ready = [worker for worker in warming.values() if worker.entry.state == EndpointState.READY]
        return [worker for worker in ready if worker in self._fleet.subset]
