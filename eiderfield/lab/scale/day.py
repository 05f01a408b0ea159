"""Plays a day: stand-in workers, discovery and clients round one real dispatcher process.

The stand-ins share one asyncio loop in this process. It holds one listening socket for each worker, and
is not started where these and the connections would go over its limit on descriptors.
"""

from __future__ import annotations

import asyncio
import resource
import tempfile
import time
from pathlib import Path
from random import Random

from eiderfield.lab.processes import LabError
from eiderfield.lab.scale.bounds import Measurement
from eiderfield.lab.scale.clients import Clients
from eiderfield.lab.scale.discovery import StandInDiscovery
from eiderfield.lab.scale.dispatcher import MeasuredDispatcher
from eiderfield.lab.scale.plan import DRAIN_GRACE_MS, DayPlan, requests_of
from eiderfield.lab.scale.workers import StandInWorker, WorkerCounts

SPARE_DESCRIPTORS = 2000  # for connections of clients and workers, and for workers that are replaced
RETIRE_S = 2.0 * DRAIN_GRACE_MS / 1000.0  # from a worker's deletion to the end of its process
NAME_BITS = 32


def play_day(plan: DayPlan) -> Measurement:
    """What a dispatcher needs on the day of this plan."""
    check_descriptors(plan)
    with tempfile.TemporaryDirectory(prefix="eiderfield-scale-") as folder:
        return asyncio.run(Day(plan, Path(folder)).play())


def check_descriptors(plan: DayPlan) -> None:
    """Raises `LabError` where this process may not open as many descriptors as the day needs."""
    changes = int(plan.seconds / plan.change_interval)
    needed = plan.workers + changes + SPARE_DESCRIPTORS
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if needed > limit:
        raise LabError(f"{plan.workers} workers need {needed} descriptors, and this process may open {limit}")


class Day:
    """The parts of one day."""

    def __init__(self, plan: DayPlan, folder: Path) -> None:
        """Keeps the dispatcher's files in the folder."""
        self._plan = plan
        self._random = Random(plan.seed + plan.workers)
        self._counts = WorkerCounts()
        self._started = 0  # workers so far
        self._serving: list[StandInWorker] = []
        self._retired: list[StandInWorker] = []
        self._discovery = StandInDiscovery()
        self._dispatcher = MeasuredDispatcher(plan, folder)

    async def play(self) -> Measurement:
        """Plays the day and ends all that it started."""
        try:
            for _ in range(self._plan.workers):
                self._serving.append(await self._start_worker())
            self._discovery.add_running(self._serving)
            await self._discovery.start()
            await self._dispatcher.start(self._discovery.address)
            return await self._measure()
        finally:
            await self._dispatcher.stop()
            self._discovery.stop()
            for worker in [*self._serving, *self._retired]:
                worker.stop()

    async def _measure(self) -> Measurement:
        clients = Clients(self._dispatcher.host, self._dispatcher.port)
        list_bytes_before = self._discovery.bytes_written
        start = time.monotonic()
        requests = requests_of(self._plan)
        await asyncio.gather(clients.play(requests, start), self._replace_workers(start))
        self._dispatcher.sample()
        if self._counts.malformed:
            raise LabError(f"{self._counts.malformed} messages to workers were malformed")
        results = clients.results
        latencies = sorted(results.latencies_ms)
        return Measurement(
            workers=self._plan.workers,
            processor_seconds=self._dispatcher.processor_seconds(),
            peak_memory=self._dispatcher.peak_memory(),
            peak_descriptors=self._dispatcher.peak_descriptors,
            connections=self._counts.connections,
            list_bytes=self._discovery.bytes_written - list_bytes_before,
            served_share=len(latencies) / max(1, len(requests)),
            p50_ms=percentile(latencies, 0.5),
            p99_ms=percentile(latencies, 0.99),
            statuses=dict(results.statuses),
            client_lateness_ms=results.lateness_ms,
        )

    async def _replace_workers(self, start: float) -> None:
        changes = int(self._plan.seconds / self._plan.change_interval)
        for number in range(1, changes + 1):
            due = start + number * self._plan.change_interval
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            await self._replace_worker()
            self._dispatcher.sample()

    async def _replace_worker(self) -> None:
        place = self._random.randrange(len(self._serving))
        old, new = self._serving[place], await self._start_worker()
        self._serving[place] = new
        self._retired.append(old)
        self._discovery.replace(old, new)
        asyncio.get_running_loop().call_later(RETIRE_S, old.retire)

    async def _start_worker(self) -> StandInWorker:
        name = f"s-{self._random.getrandbits(NAME_BITS):08x}"
        worker = StandInWorker(name, self._started, self._counts)
        self._started += 1
        await worker.start()
        return worker


def percentile(values: list[float], share: float) -> float:
    """The value below which this share of sorted values lies; 0 where there are none."""
    return values[min(len(values) - 1, int(share * len(values)))] if values else 0.0
