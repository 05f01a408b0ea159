"""Slots of workers: how many a worker has, from load reports and starts, and whether a slot is free.

Reports that come with answers are seconds old: they show how many slots a worker has, not how many are free
now. A fresh report, such as the answer to a probe, shows whether a slot is free. Where workers report
starts, a worker has at least the slots that its started requests take.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from eiderfield.interface import ProbeWorker
from eiderfield.model.learned_state import KindSlots
from eiderfield.policy.context import Context
from eiderfield.policy.endpoint import Worker
from eiderfield.policy.fleet import Fleet

DEFAULT_SLOTS = 2.0  # slots that a worker is assumed to have until it shows more
LOAD_REPORT_TTL_MS = 500.0  # lifetime of a report of free slots: shorter than a short request
PROBES_PER_ROUND = 3  # workers probed at a time if no report shows a free slot
PROBE_WAIT_MS = 10.0  # time that requests wait for the answers to probes
PROBE_INTERVAL_MS = 200.0  # minimum time between two probes of one worker


class LoadReports:
    """The slots of workers, and the probes that ask workers for their free slots."""

    def __init__(self, context: Context, fleet: Fleet) -> None:
        """Create a state in which every worker has the default slots."""
        self.slots_per_kind: defaultdict[int, float] = defaultdict(
            lambda: DEFAULT_SLOTS
        )  # the most slots seen at a worker of each kind
        self.probes_pending_until = 0.0  # the time until which requests wait for the answers to probes
        self.probing = False
        self._context = context
        self._fleet = fleet

    def update_probing(self) -> None:
        """Set whether workers are probed.

        A dispatcher probes if workers do not report starts and if its own requests show too little of their
        load. It does not probe if the fleet is one group, or if requests have keys, since subsets then are
        large.
        """
        settings, fleet = self._context.settings, self._fleet
        sees_enough = settings.workers_report_start or fleet.subset.group_count == 1 or fleet.has_affinity
        reported = self._context.free_slots_column >= 0
        self.probing = settings.probing_allowed and reported and not sees_enough

    def record_report(self, worker: Worker | None, load: tuple[float, ...], now: float) -> None:
        """Record a load report, which may be empty."""
        column = self._context.free_slots_column
        if worker is None or not load or column < 0 or not load[column] >= 0.0:
            return
        worker.slots_free = round(load[column])
        worker.reported_at = now
        self._raise_slots(worker, worker.slots_free)

    def slots_by_kind(self) -> tuple[KindSlots, ...]:
        """Return the slots that workers of each kind are assumed to have."""
        return tuple(KindSlots(kind, slots) for kind, slots in self.slots_per_kind.items())

    def resume(self, slots: Iterable[KindSlots]) -> None:
        """Continue with the slots that the previous process has seen."""
        self.slots_per_kind.update({entry.kind: entry.slots for entry in slots})

    def record_start(self, worker: Worker) -> None:
        """Record that an attempt has started at a worker."""
        self._raise_slots(
            worker, sum([a.request.slots for a in worker.open_attempts.values() if a.started_at is not None])
        )

    def slots_of(self, worker: Worker) -> float:
        """Return the slots that a worker is assumed to have."""
        return self.slots_per_kind[worker.entry.kind]

    def free_slot_evidence(self, worker: Worker, now: float) -> float:
        """Return 1 if a recent report shows a free slot, -1 if it shows none, 0 without a recent report."""
        if not self.probing or now > worker.reported_at + LOAD_REPORT_TTL_MS:
            return 0.0
        return 1.0 if worker.slots_free >= 1 else -1.0

    def probe(self, now: float) -> bool:
        """Probe workers that have not reported recently; return whether requests wait for the answers."""
        probed_before = now - PROBE_INTERVAL_MS
        unreported = [
            w for w in self._fleet.subset.workers if max(w.reported_at, w.probed_at) < probed_before
        ]
        usable = [worker for worker in unreported if self._fleet.is_usable(worker, now)]
        for worker in self._context.random.sample(usable, min(PROBES_PER_ROUND, len(usable))):
            worker.probed_at = now
            self.probes_pending_until = now + PROBE_WAIT_MS
            self._context.actions.append(ProbeWorker(worker.entry.worker))
        return now < self.probes_pending_until

    def _raise_slots(self, worker: Worker, slots: float) -> None:
        kind = worker.entry.kind
        self.slots_per_kind[kind] = max(self.slots_per_kind[kind], slots)
