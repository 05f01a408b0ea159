"""Endpoint selection: the choice of the worker for a request.

The candidates are the workers of the subset or, for a request with a key, the homes of the key; a retry may
go only to workers that discard a repeat. The candidates that are free and suit the request are ranked. The
lowest rank is selected, and ties are broken at random. Workers that are slow, failing or in another zone rank
behind all workers that are not, and are used only if there are no others; among equals, the rank is the
number of own requests at the worker.

Invariant: no request causes a scan of the whole fleet.
"""

from __future__ import annotations

from math import ceil, inf

from eiderfield.policy.affinity import KeyCounts
from eiderfield.policy.context import Context
from eiderfield.policy.endpoint import BASE_EJECTION_MS, Worker
from eiderfield.policy.fleet import MAX_CANDIDATES
from eiderfield.policy.fleet_state import FleetState
from eiderfield.policy.request import QueuedRequest
from eiderfield.policy.retry_rules import may_send, retry_group

EXTRA_REQUESTS = 1  # requests that a worker may have beyond its slots, to keep the slots busy
SLOW_WORKER_SLOWDOWN = 2.3  # slowdown above which a worker counts as slow
NO_HOME_WARM_UP_SHARE = 0.1  # first share of the warm-up, in which most requests to a home would be late
SEARCH_FACTOR = 4  # growth of the searched part of a key's order while it holds too few homes

Rank = tuple[float, bool, int]  # tier, whether in another zone, number of own requests; the lowest is best


class EndpointSelector:
    """Selects workers for requests, and decides whether a request may be sent to any worker."""

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

    def is_attempt_allowed(self, request: QueuedRequest, worker: Worker, now: float) -> bool:
        """Return whether the retry rules allow an attempt of the request at this worker."""
        settings = self._context.settings
        return may_send(request, worker, now, settings.hedging_allowed, settings.max_attempts)

    def may_retry_anywhere(self, request: QueuedRequest, now: float) -> bool:
        """Return whether the retry rules allow an attempt of the request at any ready worker."""
        group = retry_group(request, self._fleet.ready)
        return any(self.is_attempt_allowed(request, worker, now) for worker in any_member(group))

    def has_alternative(self, request: QueuedRequest, now: float) -> bool:
        """Return whether a usable worker could take the request if its open attempt were cancelled."""
        group = retry_group(request, self._fleet.ready)
        max_attempts = self._context.settings.max_attempts
        if not any(may_send(request, worker, now, True, max_attempts) for worker in any_member(group)):
            return False
        return any(self._fleet.is_usable(worker, now) for worker in group.values())

    def is_any_free(self, now: float) -> bool:
        """Return whether any candidate can take another own request now."""
        return any(self.is_free(worker, now) for worker in self._fleet.candidates())

    def free_workers(self, now: float) -> list[Worker]:
        """Return the candidates that can take another own request without a key now."""
        return [worker for worker in self._fleet.candidates() if self.is_free(worker, now)]

    def is_free(self, worker: Worker, now: float) -> bool:
        """Return whether the worker can take another own request now; update its slow start budget."""
        half_open = worker.ejections and not worker.failing
        if now < worker.full_until or (half_open and worker.open_attempts):
            return False
        if not self._fleet.is_usable(worker, now) or self._is_full(worker, now):
            return False
        self._slow_start.refresh(worker, now)
        return self._slow_start.has_budget(worker)

    def select(self, request: QueuedRequest, free: list[Worker], now: float) -> Worker | None:
        """Return the best worker for a request, None if there is none.

        A request without a key goes to one of the `free` workers.
        """
        candidates = self._candidates(request, free, now)
        ranked = [(self._rank(w, request, now), w) for w in candidates if self._can_take(w, request, now)]
        if not ranked:
            return None
        lowest = min([rank for rank, _ in ranked])
        return self._context.random.choice([worker for rank, worker in ranked if rank == lowest])

    def homes(self, request: QueuedRequest, now: float) -> list[Worker]:
        """Return the free homes of the request's key; a more frequent key has more homes."""
        if not self.may_retry_anywhere(request, now):
            return []
        count = self._key_counts.home_count(
            request.key, len(self._fleet.subset), self._context.many_dispatchers
        )
        if count > MAX_CANDIDATES:
            return self._sample_of_homes(request, count, now)
        homes = self._available_homes(request, count, now)
        if self._must_leave_subset(request, homes):
            return self._free_in_group(request, now)
        return [worker for worker in homes if self.is_free(worker, now)]

    def _candidates(self, request: QueuedRequest, free: list[Worker], now: float) -> list[Worker]:
        if request.key:
            return self.homes(request, now)
        if request.first_possible_run() is None:
            return free
        legal = [worker for worker in free if self.is_attempt_allowed(request, worker, now)]
        return legal or self._free_in_group(request, now)  # the subset may hold no worker of the retry group

    def _sample_of_homes(self, request: QueuedRequest, count: int, now: float) -> list[Worker]:
        """Return free homes from a random sample, for a key with hundreds of homes."""
        group = retry_group(request, self._fleet.ready)
        order, _ = self._fleet.key_orders.first_workers(request.key, count)
        sample = self._context.random.sample(order[:count], min(MAX_CANDIDATES, len(order)))
        legal = [worker for worker in sample if worker.entry.worker in group]
        return [w for w in legal if self._is_available_home(w, request, now) and self.is_free(w, now)]

    def _available_homes(self, request: QueuedRequest, count: int, now: float) -> list[Worker]:
        """Return the first workers of the key that can be its homes, `count` of them warm.

        Warming workers are additional homes, because their budgets may not cover any request (incident
        ia7713c).
        """
        searched = 2 * count
        while True:
            order, is_whole = self._fleet.key_orders.first_workers(request.key, searched)
            homes, warm_count = self._homes_in(order, request, count, now)
            if is_whole or warm_count == count:
                return homes
            searched = SEARCH_FACTOR * len(order)

    def _homes_in(
        self, order: list[Worker], request: QueuedRequest, count: int, now: float
    ) -> tuple[list[Worker], int]:
        """Return the homes in a part of a key's order, and how many of them are warm, at most `count`."""
        group = retry_group(request, self._fleet.ready)
        unrestricted = group is self._fleet.ready.by_number
        homes: list[Worker] = []
        warm_count = 0
        for worker in order:
            legal = unrestricted or worker.entry.worker in group
            if legal and self._is_available_home(worker, request, now):
                homes.append(worker)
                warm_count += not self._slow_start.is_warming(worker, now)
                if warm_count == count:
                    break
        return homes, warm_count

    def _must_leave_subset(self, request: QueuedRequest, homes: list[Worker]) -> bool:
        """Return whether the subset holds no further worker to which a retry may be sent."""
        group = retry_group(request, self._fleet.ready)
        if group is self._fleet.ready.by_number or self._fleet.subset.group_count == 1:
            return False
        tried = {attempt.entry.worker for attempt in request.attempts}
        return all(worker.entry.worker in tried for worker in homes)

    def _free_in_group(self, request: QueuedRequest, now: float) -> list[Worker]:
        """Return the free workers to which a request may be sent, in the subset or outside it."""
        group = retry_group(request, self._fleet.ready).values()
        return [w for w in group if self.is_attempt_allowed(request, w, now) and self.is_free(w, now)]

    def _is_full(self, worker: Worker, now: float) -> bool:
        """Return whether a worker has as many requests as it may have, as far as this dispatcher knows."""
        limit = self._reports.slots_of(worker) + EXTRA_REQUESTS
        if self._context.settings.workers_report_start:
            is_full = (
                worker.unstarted_attempts > 0
            )  # one request may wait at the worker, where it cannot be moved
        else:
            own = len(worker.open_attempts) + worker.sibling_attempts
            estimate = own * self._fleet.subset.dispatchers_per_worker
            is_full = estimate >= limit and self._reports.free_slot_evidence(worker, now) <= 0.0
        return is_full or (bool(self._gossip.peers) and worker.slots_in_use(now) >= limit)

    def _is_available_home(self, worker: Worker, request: QueuedRequest, now: float) -> bool:
        """Return whether requests may wait for this home: not if it just started, is full or half open."""
        if worker.consecutive_fulls > 1 and now < worker.full_until:
            return False
        if not self._may_try(worker, request, now):
            return False
        horizon = now + (1.0 - NO_HOME_WARM_UP_SHARE) * self._context.settings.slow_start_window_ms
        return self._fleet.is_usable(worker, now) and not self._slow_start.is_warming(worker, horizon)

    def _may_try(self, worker: Worker, request: QueuedRequest, now: float) -> bool:
        """Return whether the request may try the worker; after an ejection only the safest class may."""
        if not worker.ejections:
            return True
        is_overdue = not worker.failing and now >= worker.ejected_until + BASE_EJECTION_MS
        return is_overdue or request.request_class.effect <= max(self._context.trial_effect, worker.failing)

    def _can_take(self, worker: Worker, request: QueuedRequest, now: float) -> bool:
        """Return whether a free worker can take this request, by its kind, its slots, rule 2 and rule 4."""
        if not self._may_try(worker, request, now):
            return False
        if request.request_class.kind >= 0 and worker.entry.kind != request.request_class.kind:
            return False
        # A request that waits at a worker for several slots keeps slots empty. If all used slots are known,
        # no request needs to wait at a worker.
        must_fit = request.slots > 1.0 or self._context.sees_all_slots
        if must_fit and worker.slots_in_use(now) and not self._fits(worker, request, now):
            return False
        if any(attempt.open and attempt.entry.worker == worker.entry.worker for attempt in request.attempts):
            return False
        return self._slow_start.covers(worker, request.budget_cost) and self.is_attempt_allowed(
            request, worker, now
        )

    def _fits(self, worker: Worker, request: QueuedRequest, now: float) -> bool:
        """Return whether the worker has the slots that a request takes, as far as this dispatcher knows."""
        room = self._reports.slots_of(worker) - worker.slots_in_use(now)
        may_wait = self._context.free_slots_column < 0 or now >= request.latest_useful_start
        return request.slots <= room + EXTRA_REQUESTS * may_wait

    def _rank(self, worker: Worker, request: QueuedRequest, now: float) -> Rank:
        """Return the rank of a worker: its tier, whether it is in another zone, and its own requests."""
        settings = self._context.settings
        slowdown = worker.slowdown(now) if settings.workers_report_start else 1.0
        is_slow = slowdown > SLOW_WORKER_SLOWDOWN
        exceeds_slots = (self._gossip.peers or request.slots > 1.0) and not self._fits(worker, request, now)
        tier = 1.0 if exceeds_slots else -self._reports.free_slot_evidence(worker, now)
        tier += 2.0 * worker.failing + is_slow
        if self._context.many_dispatchers and worker.slow_start_left < inf:
            tier -= 1.0  # a slow start budget that covers a request is used first
        in_other_zone = settings.cross_zone_cost > 0.0 and worker.entry.zone != settings.zone_index
        load = (len(worker.open_attempts) + worker.sibling_attempts + 1) * (slowdown if is_slow else 1.0)
        return tier, in_other_zone, ceil(load)


def any_member(group: dict[int, Worker]) -> list[Worker]:
    """Return one worker of a retry group, in a list; an empty list for an empty group.

    The retry rules allow either all workers of the group or none, so that it is enough to check one.
    """
    return [next(iter(group.values()))] if group else []
