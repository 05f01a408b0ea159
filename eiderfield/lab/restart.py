"""A restart with a full house: a second dispatcher takes a crowd of parked connections over from the first.

Theory of operation. One dispatcher holds the crowd, and a stream of jobs goes to their common address all the
while. A second one is started beside it with the same address and takes over. Measured are the time until it
holds the crowd, what both take of descriptors and memory meanwhile, and whom a wake-up of every phone finds
lost. With `kill`, the second one is killed as soon as it holds half, and the first must have all others back.
"""

from __future__ import annotations

import signal
import time
from pathlib import Path
from typing import Any

from eiderfield.lab.idle import SOCKETS, SPARE, WORKERS, percentiles
from eiderfield.lab.rig import Dispatcher, Phones, Rig, RigError, decode, wait_for


class Restart:
    """One run."""

    def __init__(self, count: int, processes: int, rate: float, kill: bool, folder: Path) -> None:
        if count > SOCKETS - SPARE:
            raise RigError(f"a process holds {SOCKETS} descriptors at the most, {SPARE} not for the crowd")
        self._count = count
        self._processes = processes
        self._rate = rate
        self._kill = kill
        self._rig = Rig(folder)

    def run(self) -> dict[str, Any]:
        """Measures; the result is in plain values."""
        with self._rig:
            workers = self._rig.workers(WORKERS)
            config = {
                "limits": {"sockets": SOCKETS, "memory_mb": 2048, "worker_share": 0.04},
                "connections": {"keep_ms": 3_600_000.0, "park_after_ms": 500.0, "copies": True},
            }
            old = self._rig.dispatcher("old", config, workers)
            crowd = [self._rig.phones(old.listen, number) for number in range(self._processes)]
            share, rest = divmod(self._count, len(crowd))
            for number, phones in enumerate(crowd):
                phones.begin("open", count=share + (number < rest))
            for phones in crowd:
                phones.result()
            wait_for("the crowd is parked", lambda: _figure(old, "parked") >= self._count)
            return self._move(old, config, workers, crowd)

    def _move(
        self, old: Dispatcher, config: dict[str, Any], workers: list[str], crowd: list[Phones]
    ) -> dict[str, Any]:
        stream = self._rig.stream(old.listen, self._rate, 8.0, "restart")
        time.sleep(1.0)
        start = time.monotonic()
        new = self._rig.dispatcher("new", {**config, "listen": old.listen}, workers)
        ready = time.monotonic() - start
        goal = self._count // 2 if self._kill else self._count
        wait_for("the new process holds its part", lambda: _figure(new, "parked") >= goal)
        taken = time.monotonic() - start
        both = [process.usage() for process in (old, new)]
        if self._kill:
            new.end()
            start = time.monotonic()
            wait_for("the old process has them back", lambda: _figure(old, "parked") >= self._count)
            taken = time.monotonic() - start
        else:
            old.signal(signal.SIGTERM)
            wait_for("the old process ends", lambda: not old.alive)
        told = stream.result()
        statuses = self._wake_all(crowd)
        return {
            "connections": self._count, "killed": self._kill,
            "seconds until the new one is ready": ready,
            "seconds until all are back" if self._kill else "seconds until all have moved": taken,
            "descriptors, old and new": [one.descriptors for one in both],
            "private bytes, old and new": [one.private for one in both],
            "phones": statuses, "lost": self._count - statuses.get("200", 0) - statuses.get("503", 0),
            "stream": {"statuses": told["statuses"], "latency": percentiles(decode(told["latencies"]))},
        }  # fmt: skip

    def _wake_all(self, crowd: list[Phones]) -> dict[str, int]:
        """Every phone speaks once, at a rate that one dispatcher can serve; how they are answered."""
        share = -(-self._count // len(crowd))
        for phones in crowd:
            phones.begin("wake", count=share, seconds=self._count / 800.0)
        statuses: dict[str, int] = {}
        for phones in crowd:
            for status, times in phones.result()["statuses"].items():
                statuses[status] = statuses.get(status, 0) + times
        return statuses


def _figure(dispatcher: Dispatcher, name: str) -> int:
    return int(dispatcher.figures()["connections"][name])
