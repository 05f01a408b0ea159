"""A restart with idle connections: a second dispatcher takes parked connections over from the first.

Theory of operation. One dispatcher holds the connections, and a stream of jobs goes to their common address
all the while. A second one is started beside it with the same address and takes over. Measured are the time
until it holds the connections, what both take of descriptors and memory meanwhile, and whom a wake-up of
every client finds lost. With `kill`, the second one is killed as soon as it holds half, and the first must
have all others back.
"""

from __future__ import annotations

import signal
import time
from collections import Counter
from pathlib import Path
from typing import Any

from eiderfield.lab.experiment import Dispatcher, Experiment, IdleClientsProcess, split_evenly
from eiderfield.lab.idle_commands import Connect, Wake
from eiderfield.lab.idle_cost import (
    KEEP_MS,
    PARK_AFTER_MS,
    WORKERS,
    check_connections,
    idle_limits,
    percentiles,
)
from eiderfield.lab.processes import wait_for

STREAM_S = 8.0
WAKE_RATE = 800.0  # clients a second that one dispatcher can serve


class Restart:
    """One run."""

    def __init__(self, count: int, processes: int, rate: float, kill: bool, folder: Path) -> None:
        check_connections(count)
        self._count = count
        self._processes = processes
        self._rate = rate
        self._kill = kill
        self._experiment = Experiment(folder)
        self._config = {
            "limits": idle_limits(),
            "connections": {"keep_ms": KEEP_MS, "park_after_ms": PARK_AFTER_MS, "copies": True},
        }

    def run(self) -> dict[str, Any]:
        """Measures; the result is in plain values."""
        with self._experiment:
            workers = self._experiment.start_workers(WORKERS)
            old = self._experiment.start_dispatcher("old", self._config, workers)
            clients = [
                self._experiment.start_idle_clients(old.listen, number) for number in range(self._processes)
            ]
            self._connect_all(old, clients)
            return self._replace(old, workers, clients)

    def _connect_all(self, dispatcher: Dispatcher, clients: list[IdleClientsProcess]) -> None:
        for process, share in zip(clients, split_evenly(self._count, len(clients)), strict=True):
            process.begin(Connect(share))
        for process in clients:
            process.report()
        wait_for("all are parked", lambda: dispatcher.connections("parked") >= self._count)

    def _replace(
        self, old: Dispatcher, workers: list[str], clients: list[IdleClientsProcess]
    ) -> dict[str, Any]:
        stream = self._experiment.start_stream(old.listen, self._rate, STREAM_S, "restart")
        time.sleep(1.0)
        start = time.monotonic()
        config = {**self._config, "listen": old.listen}
        new = self._experiment.start_dispatcher("new", config, workers)
        ready = time.monotonic() - start
        goal = self._count // 2 if self._kill else self._count
        wait_for("the new process holds its part", lambda: new.connections("parked") >= goal)
        taken = time.monotonic() - start
        usages = [process.usage() for process in (old, new)]
        if self._kill:
            taken = self._kill_new(old, new)
        else:
            old.signal(signal.SIGTERM)
            wait_for("the old process ends", lambda: not old.alive)
        report = stream.report()
        statuses = self._wake_all(clients)
        latency = percentiles(report.latency_histogram())
        return {
            "connections": self._count,
            "killed": self._kill,
            "seconds until the new one is ready": ready,
            "seconds until all are back" if self._kill else "seconds until all have moved": taken,
            "descriptors, old and new": [usage.descriptors for usage in usages],
            "private bytes, old and new": [usage.private for usage in usages],
            "clients": dict(statuses),
            "lost": self._count - statuses["200"] - statuses["503"],
            "stream": {"statuses": report.statuses, "latency": latency},
        }

    def _kill_new(self, old: Dispatcher, new: Dispatcher) -> float:
        """Kills the new process; s until the old one has all connections back."""
        new.end()
        start = time.monotonic()
        wait_for("the old process has them back", lambda: old.connections("parked") >= self._count)
        return time.monotonic() - start

    def _wake_all(self, clients: list[IdleClientsProcess]) -> Counter[str]:
        """Every client speaks once, at a rate that one dispatcher can serve; how they are answered."""
        share = -(-self._count // len(clients))  # rounded up
        for process in clients:
            process.begin(Wake(share, seconds=self._count / WAKE_RATE))
        statuses: Counter[str] = Counter()
        for process in clients:
            statuses.update(process.report().statuses)
        return statuses
