"""Compares a store for each process with one store for all: processes write as fast as they can.

    python -m eiderfield.lab.durable_requests.store_writes STORE SECONDS hold|-

The last measurement of each kind stops a process within a commit.
"""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path

import numpy as np

from eiderfield.durable_requests.errors import StoreError
from eiderfield.durable_requests.store import RecordStore
from eiderfield.lab.durable_requests.samples import sample_record

STORE_EACH, ONE_STORE = "a store each", "one store"
HOLD, GO_ON = "hold", "-"
HELD_COMMIT = 10  # within which a process stops itself
# Continues a process after a time: its own end of the stop, for it can't wake itself.
WAKER = "import os, sys, time; time.sleep(float(sys.argv[2])); os.kill(int(sys.argv[1]), 18)"


@dataclass(frozen=True, slots=True)
class WriteRate:
    """The commits of all processes of a measurement."""

    way: str
    processes: int
    commits_per_s: float
    p50: float  # ms of a commit
    p99: float  # ms of a commit
    gap: float  # ms, the longest time in which a process that was not stopped committed nothing


def ways(processes: Sequence[int], seconds: float, folder: Path) -> Iterator[WriteRate]:
    """Yield a measurement of each kind and number of processes, then of each kind with one stopped."""
    for number in processes:
        for way in (STORE_EACH, ONE_STORE):
            yield measure(way, number, seconds, folder / f"{way}-{number}", stopped=False)
    for way in (STORE_EACH, ONE_STORE):
        yield measure(way, processes[0], seconds, folder / f"{way}-stopped", stopped=True)


def measure(way: str, number: int, seconds: float, folder: Path, stopped: bool) -> WriteRate:
    """Let `number` processes write; with `stopped`, the first one is stopped within a commit."""
    folder.mkdir(parents=True)
    children = [
        start_writer(
            folder / ("one.db" if way == ONE_STORE else f"{place}.db"), seconds, stopped and place == 0
        )
        for place in range(number)
    ]
    times_by_writer: list[list[float]] = []
    for place, child in enumerate(children):
        output, _ = child.communicate()
        if not (stopped and place == 0):
            times_by_writer.append([float(word) for word in output.split()])
    times = np.array([each for times in times_by_writer for each in times] or [0.0])
    suffix = ", one stopped within a commit" if stopped else ""
    return WriteRate(
        way=way + suffix,
        processes=number,
        commits_per_s=len(times) / seconds,
        p50=float(np.percentile(times, 50)),
        p99=float(np.percentile(times, 99)),
        gap=max((max(each, default=seconds * 1000.0) for each in times_by_writer), default=0.0),
    )


def start_writer(store: Path, seconds: float, hold: bool) -> subprocess.Popen[str]:
    """Start a process that writes."""
    arguments = [str(store), str(seconds), HOLD if hold else GO_ON]
    return subprocess.Popen(
        [sys.executable, "-m", "eiderfield.lab.durable_requests.store_writes", *arguments],
        stdout=subprocess.PIPE,
        text=True,
    )


def write_records(path: Path, seconds: float, hold: bool) -> list[float]:
    """Write as fast as possible. Return how long each commit took, in ms.

    The time of a commit includes the tries that failed before it. With `hold` the process stops itself within
    its tenth commit.
    """
    store = RecordStore(path)
    end = time.monotonic() + seconds
    number = 0
    times: list[float] = []
    started_at = time.monotonic()
    while time.monotonic() < end:
        number += 1
        try:
            store.begin()
            store.put(sample_record(f"{os.getpid()}-{number}"))
            if hold and number == HELD_COMMIT:
                stop_for(seconds / 2.0)
            store.commit()
        except StoreError:  # the store is locked for longer than the timeout
            store.roll_back()
            continue
        committed_at = time.monotonic()
        times.append((committed_at - started_at) * 1000.0)
        started_at = committed_at
    return times


def stop_for(seconds: float) -> None:
    """Stop this process for a time."""
    waker = subprocess.Popen([sys.executable, "-c", WAKER, str(os.getpid()), str(seconds)])
    os.kill(os.getpid(), signal.SIGSTOP)
    waker.wait()


if __name__ == "__main__":
    print(
        *[f"{each:.3f}" for each in write_records(Path(sys.argv[1]), float(sys.argv[2]), sys.argv[3] == HOLD)]
    )
