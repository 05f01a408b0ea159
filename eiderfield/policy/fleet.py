"""The fleet as this dispatcher knows it: all workers of the endpoint list, and its subset of them.

The cost of a change of one worker does not grow with the size of the fleet. Workers that are gone are kept,
because they may still have open attempts and may come back.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from math import inf

from eiderfield.interface import Endpoint, EndpointState
from eiderfield.model.learned_state import OutlierState, RecentWork, SentWork
from eiderfield.policy.affinity import KeyOrders
from eiderfield.policy.context import Context
from eiderfield.policy.endpoint import Worker
from eiderfield.policy.ready import ReadyWorkers
from eiderfield.policy.request import AttemptRecord
from eiderfield.policy.subsetting import (
    Subset,
    balanced_group_count,
    group_of_dispatcher,
    hashed_group_count,
    place_of,
)

MAX_CANDIDATES = 256  # workers considered for a request without a key; a larger subset is sampled


class Fleet:
    """All workers that have ever been listed, and this dispatcher's subset of those that are ready."""

    def __init__(self, context: Context) -> None:
        """Create a fleet without workers."""
        self.workers: dict[int, Worker] = {}
        self.ready = ReadyWorkers()
        self.key_orders = KeyOrders()  # orders of the workers of the subset
        self.subset = Subset(self.key_orders.add, self.key_orders.remove)
        self.has_affinity = False  # whether any request so far had a key
        self.with_open_attempts: dict[int, Worker] = {}  # by number
        self.paused_workers: dict[int, Worker] = {}  # may contain workers that are no longer ejected or full
        self.warming_workers: dict[int, Worker] = {}  # may contain workers that have warmed up since
        self._context = context
        self._majority_silent: bool | None = None  # whether most of the subset is silent; None: not counted
        self.repartition()

    def apply_entries(self, entries: Iterable[Endpoint], is_full_list: bool, now: float) -> bool:
        """Apply changes or a full endpoint list; return whether the fleet was repartitioned."""
        is_first_list = not self.ready.by_number
        listed = set()
        for entry in entries:
            listed.add(entry.worker)
            self._apply_entry(entry, now, is_first_list)
        if is_full_list:
            for number in self.workers.keys() - listed:
                worker = self.workers[number]
                if worker.entry.state != EndpointState.GONE:
                    self._apply_entry(replace(worker.entry, state=EndpointState.GONE), now, is_first_list)
        if is_first_list or self._group_count() != self.subset.group_count:
            self.repartition()
            return True
        return False

    def get_or_add(self, entry: Endpoint) -> Worker:
        """Return the worker of an entry; add it with the state GONE if it has never been listed."""
        worker = self.workers.get(entry.worker)
        if worker is None:
            worker = self.workers[entry.worker] = Worker(replace(entry, state=EndpointState.GONE))
        return worker

    def add_attempt(self, attempt: AttemptRecord, worker: Worker, now: float) -> None:
        """Record at the worker that an attempt has been started."""
        request = attempt.request
        worker.open_attempts[request.id, attempt.number] = attempt
        worker.unstarted_attempts += 1
        worker.own_slots += request.slots
        worker.slots_free -= request.slots
        if worker.slow_start_left < inf:
            worker.recent_sends.append((now, request.budget_cost))
        self.with_open_attempts[worker.entry.worker] = worker

    def remove_attempt(self, attempt: AttemptRecord, worker: Worker) -> None:
        """Record at the worker that an attempt has ended."""
        attempt.open = False
        worker.own_slots -= attempt.request.slots
        worker.open_attempts.pop((attempt.request.id, attempt.number), None)
        worker.unstarted_attempts -= attempt.started_at is None
        if not worker.open_attempts:
            self.with_open_attempts.pop(worker.entry.worker, None)
            worker.silent = False  # only a new attempt can show whether the worker answers

    def enable_affinity(self) -> bool:
        """Record that requests have keys; return whether the fleet was repartitioned for them."""
        if self.has_affinity:
            return False
        self.has_affinity = True
        self.repartition()
        return True

    def repartition(self) -> None:
        """Partition the fleet into groups again, and set the subset to this dispatcher's group."""
        settings, groups = self._context.settings, self._group_count()
        group = group_of_dispatcher(
            settings.dispatcher_index, settings.dispatcher_count, groups, self.has_affinity
        )
        per_worker = settings.dispatcher_count / groups
        self.subset.repartition(self.ready.by_number.values(), self.has_affinity, groups, group, per_worker)
        self.key_orders.reset(self.subset.workers)

    def apply_settings(self) -> None:
        """Apply new settings, which may change the set of warming workers and the groups."""
        self.warming_workers = {number: w for number, w in self.workers.items() if w.entry.ready_at > 0.0}
        self.repartition()

    def candidates(self) -> list[Worker]:
        """Return the workers to consider for a request without a key: the subset, or a sample of it."""
        workers = self.subset.workers
        return (
            workers
            if len(workers) <= MAX_CANDIDATES
            else self._context.random.sample(workers, MAX_CANDIDATES)
        )

    def reset_silence_count(self) -> None:
        """Discard the count of silent workers, so that they are counted again."""
        self._majority_silent = None

    def is_usable(self, worker: Worker, now: float) -> bool:
        """Return whether the worker is neither silent nor ejected.

        If most workers are silent, the cause is probably elsewhere, and silent workers are used nevertheless.
        """
        if not worker.silent:
            return now >= worker.ejected_until or worker.failing
        if self._majority_silent is None:
            silent = sum([other.silent for other in self.subset.workers])
            self._majority_silent = 2 * silent > len(self.subset)
        return self._majority_silent

    def pause_ends(self, now: float) -> list[float]:
        """Return the times at which full or ejected workers of the subset may be sent requests again."""
        ended = [n for n, w in self.paused_workers.items() if max(w.full_until, w.ejected_until) <= now]
        for number in ended:
            del self.paused_workers[number]
        paused_workers = [worker for worker in self.paused_workers.values() if worker in self.subset]
        return [time for worker in paused_workers for time in (worker.full_until, worker.ejected_until)]

    def recent_work(self) -> tuple[RecentWork, ...]:
        """Return the work that was recently sent to workers during their slow start."""
        return tuple(
            RecentWork(worker.entry.worker, tuple(SentWork(at, work) for at, work in worker.recent_sends))
            for worker in self.workers.values()
            if worker.recent_sends
        )

    def resume_recent_work(self, recent_work: Iterable[RecentWork]) -> None:
        """Add the work that the previous process had sent to warming workers."""
        for recent in recent_work:
            if recent.worker in self.workers:
                sends = self.workers[recent.worker].recent_sends
                sends.extend((sent.at, sent.work) for sent in recent.sent)

    def failing_workers(self) -> tuple[OutlierState, ...]:
        """Return the workers that are marked as failing."""
        return tuple(
            OutlierState(worker.entry.worker, worker.error_score, worker.ejections)
            for worker in self.workers.values()
            if worker.failing
        )

    def resume_failing_workers(self, outliers: Iterable[OutlierState]) -> None:
        """Mark the workers as failing that the previous process had marked."""
        for outlier in outliers:
            worker = self.workers.get(outlier.worker)
            if worker is not None:
                worker.error_score = outlier.error_score
                worker.ejections = outlier.ejections
                worker.failing = True

    def _apply_entry(self, entry: Endpoint, now: float, is_first_list: bool) -> None:
        """Apply one entry; with a first list the subset is left to the repartition that follows."""
        worker = self.get_or_add(entry)
        old = worker.entry
        if entry == old:
            return
        if entry.ready_at != old.ready_at:
            worker.record_restart(now)
        if entry.ready_at > 0.0:
            self.warming_workers[entry.worker] = worker
        was_ready, is_ready = old.state == EndpointState.READY, entry.state == EndpointState.READY
        in_place = place_of(old) == place_of(entry) and old.cell == entry.cell
        stays = was_ready and is_ready and in_place
        if was_ready and not stays:
            self.ready.remove(old)
            if not is_first_list:
                self.subset.remove(old)
        worker.entry = entry
        if is_ready and not stays:
            self.ready.add(worker)
            if not is_first_list:
                self.subset.add(worker)

    def _group_count(self) -> int:
        """Return the number of groups that the fleet should have."""
        settings, ready = self._context.settings, len(self.ready.by_number)
        if self.has_affinity:
            return hashed_group_count(self.subset.group_count, settings.dispatcher_count, ready)
        return balanced_group_count(
            self.subset.group_count, settings.dispatcher_count, settings.gossip_allowed, ready
        )
