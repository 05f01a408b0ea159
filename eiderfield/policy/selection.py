"""Endpoint selection: the worker that a request goes to.

Theory of operation. A request without a key may go to any worker of the subset, one with a key to the key's
homes, and a retry only to workers that discard a repeat. Of these, the ones that are free and fit the request
are ranked; the lowest rank wins, and ties are broken at random. The rank is the number of own requests there,
as the design has it, behind what makes a worker better than others in kind: not slow, not failing, in this
zone.

What must never happen: a walk over the whole fleet for a request.
"""

from __future__ import annotations

from math import ceil

from eiderfield.policy.affinity import KeyCounts
from eiderfield.policy.context import Context
from eiderfield.policy.endpoint import BASE_EJECTION_MS, Worker
from eiderfield.policy.fleet import EXAMINED
from eiderfield.policy.fleet_state import FleetState
from eiderfield.policy.request import QueuedRequest
from eiderfield.policy.retry_rules import may_resend, retry_group

SPARE = 1  # requests above its slots that all dispatchers should keep at a worker that doesn't tell starts
SLOW = 2.3  # how many times longer than usual requests run where a worker counts as slow
COLD_REST = 0.1  # share of the warm-up for which a worker is no home: requests there would mostly be late
MORE_HOMES = 4  # times as many workers of a key that are looked at, while too few of them may be homes

Rank = tuple[float, bool, int]


class EndpointSelector:
    """Chooses workers for requests."""

    def __init__(
        self,
        context: Context,
        state: FleetState,
        key_counts: KeyCounts,
    ) -> None:
        """Create a selector among the workers of `state`."""
        self._context = context
        self._fleet = state.fleet
        self._slow_start = state.slow_start
        self._reports = state.reports
        self._gossip = state.gossip
        self._key_counts = key_counts

    def is_legal(self, request: QueuedRequest, worker: Worker, now: float) -> bool:
        """Whether the retry rules let the request go to this worker (again)."""
        settings = self._context.settings
        return may_resend(request, worker, now, settings.hedging_allowed, settings.max_attempts)

    def may_retry_anywhere(self, request: QueuedRequest, now: float) -> bool:
        """Whether the retry rules let the request go to any ready worker (again)."""
        group = retry_group(request, self._fleet.ready)
        return any(self.is_legal(request, worker, now) for worker in first_of(group))

    def has_alternative(self, request: QueuedRequest, now: float) -> bool:
        """Whether the request might go to a usable worker, were its present attempt not out."""
        group = retry_group(request, self._fleet.ready)
        most = self._context.settings.max_attempts
        if not any(may_resend(request, worker, now, True, most) for worker in first_of(group)):
            return False
        return any(self._fleet.is_usable(worker, now) for worker in group.values())

    def is_any_free(self, now: float) -> bool:
        """Whether any worker can take one more own request now."""
        return any(self.is_free(worker, now) for worker in self._fleet.candidates())

    def free_workers(self, now: float) -> list[Worker]:
        """The workers that can take one more own request without a key now."""
        return [worker for worker in self._fleet.candidates() if self.is_free(worker, now)]

    def is_free(self, worker: Worker, now: float) -> bool:
        """Whether the worker can take one more own request now. Brings its slow start budget up to date."""
        half_open = worker.ejections and not worker.failing
        if (
            now < worker.full_until
            or (half_open and worker.open_attempts)
            or not self._fleet.is_usable(worker, now)
        ):
            return False
        if self._is_full(worker, now):
            return False
        self._slow_start.refresh(worker, now)
        return self._slow_start.has_budget(worker)

    def select(self, request: QueuedRequest, free: list[Worker], now: float) -> Worker | None:
        """The best worker for a request; one without a key is to go to one of those that are `free`."""
        pool = self._pool(request, free, now)
        ranked = [(self._rank(w, request, now), w) for w in pool if self._is_ready(w, request, now)]
        if not ranked:
            return None
        lowest = min([rank for rank, _ in ranked])
        return self._context.random.choice([worker for rank, worker in ranked if rank == lowest])

    def homes(self, request: QueuedRequest, now: float) -> list[Worker]:
        """The free ones of a key's homes, as many as its share of the requests needs."""
        if not self.may_retry_anywhere(request, now):
            return []
        most = self._key_counts.home_count(
            request.key, len(self._fleet.subset), self._context.many_dispatchers
        )
        if most > EXAMINED:
            return self._some_homes(request, most, now)
        homes = self._open_homes(request, most, now)
        if self._must_leave_subset(request, homes):
            return self._free_in_group(request, now)
        return [worker for worker in homes if self.is_free(worker, now)]

    def _pool(self, request: QueuedRequest, free: list[Worker], now: float) -> list[Worker]:
        if request.key:
            return self.homes(request, now)
        if request.first_possible_run() is None:
            return free
        legal = [worker for worker in free if self.is_legal(request, worker, now)]
        return legal or self._free_in_group(request, now)  # which may have no worker in this subset

    def _some_homes(self, request: QueuedRequest, most: int, now: float) -> list[Worker]:
        """Some free homes of a key that has so many that a part of them, drawn at random, does as well."""
        group = retry_group(request, self._fleet.ready)
        order, _ = self._fleet.key_orders.first_workers(request.key, most)
        drawn = self._context.random.sample(order[:most], min(EXAMINED, len(order)))
        legal = [worker for worker in drawn if worker.entry.worker in group]
        return [w for w in legal if self._is_open_home(w, request, now) and self.is_free(w, now)]

    def _open_homes(self, request: QueuedRequest, most: int, now: float) -> list[Worker]:
        """The first workers of a key that may be its homes.

        A warming one takes nobody's place: its budget could let nothing through (incident ia7713c)."""
        count, whole = 2 * most, False
        while True:
            order, whole = self._fleet.key_orders.first_workers(request.key, count)
            homes, warm = self._take_homes(request, order, most, now)
            if whole or warm == most:
                return homes
            count = MORE_HOMES * len(order)

    def _take_homes(
        self, request: QueuedRequest, order: list[Worker], most: int, now: float
    ) -> tuple[list[Worker], int]:
        """The homes within a part of a key's order, and how many of these are warm."""
        group = retry_group(request, self._fleet.ready)
        anywhere = group is self._fleet.ready.by_number
        homes: list[Worker] = []
        warm = 0
        for worker in order:
            legal = anywhere or worker.entry.worker in group
            if legal and self._is_open_home(worker, request, now):
                homes.append(worker)
                warm += not self._slow_start.is_warming(worker, now)
                if warm == most:
                    break
        return homes, warm

    def _must_leave_subset(self, request: QueuedRequest, homes: list[Worker]) -> bool:
        """Whether a retry is bound to workers of which this subset has no further one."""
        group = retry_group(request, self._fleet.ready)
        if group is self._fleet.ready.by_number or self._fleet.subset.group_count == 1:
            return False
        tried = {attempt.entry.worker for attempt in request.attempts}
        return all(worker.entry.worker in tried for worker in homes)

    def _free_in_group(self, request: QueuedRequest, now: float) -> list[Worker]:
        """The free ones of all workers to which a request may go (again), in this subset or not."""
        group = retry_group(request, self._fleet.ready).values()
        return [w for w in group if self.is_legal(request, w, now) and self.is_free(w, now)]

    def _is_full(self, worker: Worker, now: float) -> bool:
        """Whether a worker has as many requests as it should, as far as this dispatcher knows."""
        most = self._reports.slots_of(worker) + SPARE
        if (
            self._context.settings.workers_report_start
        ):  # one may wait there: more would do so unseen and unmovable
            full = worker.unstarted > 0
        else:
            out = (
                len(worker.open_attempts) + worker.sibling_attempts
            ) * self._fleet.subset.dispatchers_per_worker
            full = out >= most and self._reports.free_slot_evidence(worker, now) <= 0.0
        return full or (bool(self._gossip.peers) and worker.slots_in_use(now) >= most)

    def _is_open_home(self, worker: Worker, request: QueuedRequest, now: float) -> bool:
        """Whether requests should wait for this home: not if just started, full, or taking trials alone."""
        if (worker.consecutive_fulls > 1 and now < worker.full_until) or not self._is_trusted(
            worker, request, now
        ):
            return False
        soon = now + (1.0 - COLD_REST) * self._context.settings.slow_start_window_ms
        return self._fleet.is_usable(worker, now) and not self._slow_start.is_warming(worker, soon)

    def _is_trusted(self, worker: Worker, request: QueuedRequest, now: float) -> bool:
        """Whether a request may go to a worker that was struck: trials are of what may best be repeated."""
        if not worker.ejections:
            return True
        untried = not worker.failing and now >= worker.ejected_until + BASE_EJECTION_MS
        return untried or request.request_class.effect <= max(self._context.trial_effect, worker.failing)

    def _is_ready(self, worker: Worker, request: QueuedRequest, now: float) -> bool:
        """Whether this worker may take this request: its kind, rule 2's group, and rule 4's budget."""
        if not self._is_trusted(worker, request, now):
            return False
        if request.request_class.kind >= 0 and worker.entry.kind != request.request_class.kind:
            return False
        # Who waits for several slots keeps free ones from others; where all is seen, none need wait there.
        must_fit = request.slots > 1.0 or self._context.sees_all_slots
        if must_fit and worker.slots_in_use(now) and not self._fits(worker, request, now):
            return False
        if any(attempt.open and attempt.entry.worker == worker.entry.worker for attempt in request.attempts):
            return False
        return self._slow_start.covers(worker, request.budget_cost) and self.is_legal(request, worker, now)

    def _fits(self, worker: Worker, request: QueuedRequest, now: float) -> bool:
        """Whether the worker has the slots that a request takes, as far as this dispatcher knows."""
        room = self._reports.slots_of(worker) - worker.slots_in_use(now)
        may_wait = self._context.free_slots_column < 0 or now >= request.latest_useful_start
        return request.slots <= room + SPARE * may_wait

    def _rank(self, worker: Worker, request: QueuedRequest, now: float) -> Rank:
        """Own requests, and before them what makes a worker ready only while no better one is."""
        settings = self._context.settings
        pace = worker.pace(now) if settings.workers_report_start else 1.0
        slow = pace > SLOW
        tight = (self._gossip.peers or request.slots > 1.0) and not self._fits(worker, request, now)
        tier = 1.0 if tight else -self._reports.free_slot_evidence(worker, now)
        tier += 2.0 * worker.failing + slow
        if self._context.many_dispatchers and worker.slow_start_left < float("inf"):
            tier -= 1.0  # a lot that is drawn is used at once
        elsewhere = settings.cross_zone_cost > 0.0 and worker.entry.zone != settings.zone_index
        load = (len(worker.open_attempts) + worker.sibling_attempts + 1) * (pace if slow else 1.0)
        return tier, elsewhere, ceil(load)


def first_of(group: dict[int, Worker]) -> list[Worker]:
    """One worker of a group, for what is legal at all of them or at none; none of an empty group."""
    return [next(iter(group.values()))] if group else []
