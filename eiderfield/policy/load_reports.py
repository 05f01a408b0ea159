"""What is known of workers' slots: from load reports, and from what runs there.

Reports are seconds old where they come with answers: they tell how many slots a worker has, not how many are
free now. A fresh one, as the answer to a probe is, shows whether a slot is free. Where starts are told, the
slots of what has started at a worker show the least that it has.
"""

from __future__ import annotations

from collections import defaultdict

from eiderfield.interface import ProbeWorker
from eiderfield.policy.context import Context
from eiderfield.policy.endpoint import Worker
from eiderfield.policy.fleet import Fleet

UNKNOWN_SLOTS = 2.0  # that a worker is taken to have, until it shows more
FRESH_MS = 500.0  # for which a report of free slots holds: less than a short request runs
PROBES = 3  # workers probed for a request when no report shows a free slot
PROBE_WAIT_MS = 10.0  # for which requests wait for the probes' answers
PROBED_AGAIN_MS = 200.0  # after which a worker may be probed again


class LoadReports:
    """Slots of workers, and the probes that ask for them."""

    def __init__(self, context: Context, fleet: Fleet) -> None:
        self.slots: defaultdict[int, float] = defaultdict(lambda: UNKNOWN_SLOTS)  # most seen, by kind
        self.waits_until = 0.0  # until when requests wait for probes
        self.probing = False
        self._context = context
        self._fleet = fleet

    def choose(self) -> None:
        """Decides whether to probe: where starts are not told, reports show whether slots are taken.

        Few dispatchers see enough by themselves, and so does who sends to a large part of the fleet."""
        settings, fleet = self._context.settings, self._fleet
        sees_enough = settings.workers_report_start or fleet.subset.groups == 1 or fleet.keyed
        reported = self._context.free_slots_column >= 0
        self.probing = settings.probing_allowed and reported and not sees_enough

    def report(self, worker: Worker | None, load: tuple[float, ...], now: float) -> None:
        """Takes in a load report."""
        column = self._context.free_slots_column
        if worker is None or not load or column < 0 or not load[column] >= 0.0:
            return
        worker.slots_free = round(load[column])
        worker.reported = now
        self._saw(worker, worker.slots_free)

    def started(self, worker: Worker) -> None:
        """Takes in that an attempt has started."""
        self._saw(worker, sum([a.request.slots for a in worker.open.values() if a.started_at is not None]))

    def slots_of(self, worker: Worker) -> float:
        """The slots that a worker is taken to have."""
        return self.slots[worker.entry.kind]

    def shown(self, worker: Worker, now: float) -> float:
        """1 where a fresh report shows a free slot, -1 where it shows none, else 0."""
        if not self.probing or now > worker.reported + FRESH_MS:
            return 0.0
        return 1.0 if worker.slots_free >= 1 else -1.0

    def probe(self, now: float) -> bool:
        """Asks some workers for a report; returns whether requests wait for it."""
        old = now - PROBED_AGAIN_MS
        silent = [w for w in self._fleet.subset.workers if max(w.reported, w.probed) < old]
        asked = [worker for worker in silent if self._fleet.is_usable(worker, now)]
        for worker in self._context.random.sample(asked, min(PROBES, len(asked))):
            worker.probed = now
            self.waits_until = now + PROBE_WAIT_MS
            self._context.actions.append(ProbeWorker(worker.entry.worker))
        return now < self.waits_until

    def _saw(self, worker: Worker, slots: float) -> None:
        kind = worker.entry.kind
        self.slots[kind] = max(self.slots[kind], slots)
