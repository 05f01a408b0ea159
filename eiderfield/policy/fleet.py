"""The fleet as this dispatcher knows it: all workers of the list, and the ones that it sends to.

What the list says of one worker is taken in at a cost that does not grow with the fleet. Workers that are
gone stay known, for an attempt may still be out there, and a worker may come back.
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
    balanced_groups,
    group_of_dispatcher,
    keyed_groups,
    place_of,
)

EXAMINED = 256  # workers that are looked at for what may go to any: of more, so many drawn at random


class Fleet:
    """All workers that were ever listed, and this dispatcher's subset of those that are ready."""

    def __init__(self, context: Context) -> None:
        self.workers: dict[int, Worker] = {}
        self.ready = ReadyWorkers()
        self.key_orders = KeyOrders()  # of the subset
        self.subset = Subset(self.key_orders.add, self.key_orders.remove)
        self.keyed = False  # whether any request so far had a key
        self.with_open_attempts: dict[int, Worker] = {}  # workers with own attempts out
        self.pausing: dict[int, Worker] = {}  # workers that may be resting
        self.warming: dict[int, Worker] = {}  # workers that may be warming up
        self._context = context
        self._most_silent: bool | None = None  # None: not counted yet
        self.repartition()

    def apply_entries(self, entries: Iterable[Endpoint], whole: bool, now: float) -> bool:
        """Takes in changes, or a whole list; returns whether the fleet was split anew."""
        first = not self.ready.by_number
        named = set()
        for entry in entries:
            named.add(entry.worker)
            self._apply_entry(entry, now, first)
        if whole:
            for number in self.workers.keys() - named:
                worker = self.workers[number]
                if worker.entry.state != EndpointState.GONE:
                    self._apply_entry(replace(worker.entry, state=EndpointState.GONE), now, first)
        if first or self._group_count() != self.subset.group_count:
            self.repartition()
            return True
        return False

    def worker_of(self, entry: Endpoint) -> Worker:
        """The worker of an entry; one that was never listed is taken to be gone."""
        worker = self.workers.get(entry.worker)
        if worker is None:
            worker = self.workers[entry.worker] = Worker(replace(entry, state=EndpointState.GONE))
        return worker

    def add_attempt(self, attempt: AttemptRecord, worker: Worker, now: float) -> None:
        """Record at its worker that an attempt has been started."""
        request = attempt.request
        worker.open_attempts[request.id, attempt.number] = attempt
        worker.unstarted += 1
        worker.own_slots += request.slots
        worker.slots_free -= request.slots
        if worker.slow_start_left < inf:
            worker.recent_sends.append((now, request.budget_cost))
        self.with_open_attempts[worker.entry.worker] = worker

    def remove_attempt(self, attempt: AttemptRecord, worker: Worker) -> None:
        """Record at its worker that an attempt has ended."""
        attempt.open = False
        worker.own_slots -= attempt.request.slots
        worker.open_attempts.pop((attempt.request.id, attempt.number), None)
        worker.unstarted -= attempt.started_at is None
        if not worker.open_attempts:
            self.with_open_attempts.pop(worker.entry.worker, None)
            worker.silent = False  # without open attempts only a new one can show whether it answers

    def enable_affinity(self) -> bool:
        """Takes in that a request has a key; returns whether the fleet was split anew."""
        if self.keyed:
            return False
        self.keyed = True
        self.repartition()
        return True

    def repartition(self) -> None:
        """Splits the fleet anew."""
        settings, groups = self._context.settings, self._group_count()
        group = group_of_dispatcher(settings.dispatcher_index, settings.dispatcher_count, groups, self.keyed)
        sharers = settings.dispatcher_count / groups
        self.subset.repartition(self.ready.by_number.values(), self.keyed, groups, group, sharers)
        self.key_orders.reset(self.subset.workers)

    def apply_settings(self) -> None:
        """Takes new settings."""
        started = {number: w for number, w in self.workers.items() if w.entry.ready_at > 0.0}
        self.warming = started
        self.repartition()

    def candidates(self) -> list[Worker]:
        """The workers that are looked at for what may go to any: all of a subset or, of hundreds, some."""
        workers = self.subset.workers
        return workers if len(workers) <= EXAMINED else self._context.random.sample(workers, EXAMINED)

    def forget_silence_count(self) -> None:
        """Lets the silent workers be counted anew."""
        self._most_silent = None

    def is_usable(self, worker: Worker, now: float) -> bool:
        """Whether the worker is neither silent nor, after a strike, left alone.

        If most workers are silent, doubt the evidence and keep serving. A failed connection is certain."""
        if not worker.silent:
            return now >= worker.ejected_until or worker.failing
        if self._most_silent is None:
            silent = sum([other.silent for other in self.subset.workers])
            self._most_silent = 2 * silent > len(self.subset)
        return self._most_silent

    def pause_ends(self, now: float) -> list[float]:
        """The times at which resting workers of the subset may be sent to again."""
        rested = [n for n, w in self.pausing.items() if max(w.full_until, w.ejected_until) <= now]
        for number in rested:
            del self.pausing[number]
        here = [worker for worker in self.pausing.values() if worker in self.subset]
        return [time for worker in here for time in (worker.full_until, worker.ejected_until)]

    def recent_work(self) -> tuple[RecentWork, ...]:
        """Return the work that workers have been sent lately while they warmed up."""
        return tuple(
            RecentWork(worker.entry.worker, tuple(SentWork(at, work) for at, work in worker.recent_sends))
            for worker in self.workers.values()
            if worker.recent_sends
        )

    def resume_recent_work(self, recent_work: Iterable[RecentWork]) -> None:
        """Continue with the work that the previous process had sent to warming workers."""
        for recent in recent_work:
            if recent.worker in self.workers:
                sends = self.workers[recent.worker].recent_sends
                sends.extend((sent.at, sent.work) for sent in recent.sent)

    def failing_workers(self) -> tuple[OutlierState, ...]:
        """Return the workers that fail some requests at once."""
        return tuple(
            OutlierState(worker.entry.worker, worker.error_score, worker.ejections)
            for worker in self.workers.values()
            if worker.failing
        )

    def resume_failing_workers(self, outliers: Iterable[OutlierState]) -> None:
        """Continue with the workers that the previous process knew to be failing."""
        for outlier in outliers:
            worker = self.workers.get(outlier.worker)
            if worker is not None:
                worker.error_score = outlier.error_score
                worker.ejections = outlier.ejections
                worker.failing = True

    def _apply_entry(self, entry: Endpoint, now: float, first: bool) -> None:
        """Takes in what the list says of one worker. After the `first` list all are dealt anew."""
        worker = self.worker_of(entry)
        old = worker.entry
        if entry == old:
            return
        if entry.ready_at != old.ready_at:
            worker.record_restart(now)
        if entry.ready_at > 0.0:
            self.warming[entry.worker] = worker
        was_ready, is_ready = old.state == EndpointState.READY, entry.state == EndpointState.READY
        in_place = place_of(old) == place_of(entry) and old.cell == entry.cell
        stays = was_ready and is_ready and in_place
        if was_ready and not stays:
            self.ready.remove(old)
            if not first:
                self.subset.remove(old)
        worker.entry = entry
        if is_ready and not stays:
            self.ready.add(worker)
            if not first:
                self.subset.add(worker)

    def _group_count(self) -> int:
        """How many groups the fleet should be split into."""
        settings, ready = self._context.settings, len(self.ready.by_number)
        if self.keyed:
            return keyed_groups(self.subset.group_count, settings.dispatcher_count, ready)
        return balanced_groups(
            self.subset.group_count, settings.dispatcher_count, settings.gossip_allowed, ready
        )
