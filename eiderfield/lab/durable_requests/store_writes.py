"""The ways to keep records: processes write as fast as they can, into a store each or all into one.

    python -m eiderfield.lab.durable_requests.store_writes STORE SECONDS hold|-

The last part of a measurement has a process that is stopped within a commit.
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

from eiderfield.durable_requests.store import RecordStore
from eiderfield.lab.durable_requests.samples import sample_record

STORE_EACH, ONE_STORE = "a store each", "one store"
HOLD, GO_ON = "hold", "-"
HELD_COMMIT = 10  # within which a process stops itself
# Continues a process after a time: its own end of the stop, for it can't wake itself.
WAKER = "import os, sys, time; time.sleep(float(sys.argv[2])); os.kill(int(sys.argv[1]), 18)"


@dataclass(frozen=True, slots=True)
class WriteRate:
    """What processes wrote together. `gap` is the longest time in ms in which one of them, not stopped, wrote
    nothing.
    """

    way: str
    processes: int
    commits_per_s: float
    p50: float  # ms of a commit
    p99: float
    gap: float


def ways(processes: Sequence[int], seconds: float, folder: Path) -> Iterator[WriteRate]:
    """Each number of processes: stores of their own, one store, and both with one process stopped."""
    for number in processes:
        for way in (STORE_EACH, ONE_STORE):
            yield measure(way, number, seconds, folder / f"{way}-{number}", stopped=False)
    for way in (STORE_EACH, ONE_STORE):
        yield measure(way, processes[0], seconds, folder / f"{way}-stopped", stopped=True)


def measure(way: str, number: int, seconds: float, folder: Path, stopped: bool) -> WriteRate:
    """Lets so many processes write, of which the first is stopped where that is asked for."""
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
    """Starts a process that writes."""
    arguments = [str(store), str(seconds), HOLD if hold else GO_ON]
    return subprocess.Popen(
        [sys.executable, "-m", "eiderfield.lab.durable_requests.store_writes", *arguments],
        stdout=subprocess.PIPE,
        text=True,
    )


def write_records(path: Path, seconds: float, hold: bool) -> list[float]:
    """Writes as fast as it can; how long each commit took, in ms.

    The time of attempts that failed before it is included. With `hold` the process stops itself within its
    tenth commit, until somebody ends its sleep.
    """
    store = RecordStore(path)
    end = time.monotonic() + seconds
    number = 0
    times: list[float] = []
    began = time.monotonic()
    while time.monotonic() < end:
        number += 1
        try:
            store.begin()
            store.put(sample_record(f"{os.getpid()}-{number}"))
            if hold and number == HELD_COMMIT:
                stop_for(seconds / 2.0)
            store.commit()
        except Exception:  # the store is locked for longer than anybody waits
            store.roll_back()
            continue
        committed = time.monotonic()
        times.append((committed - began) * 1000.0)
        began = committed
    return times


def stop_for(seconds: float) -> None:
    """Stops this process for a time."""
    waker = subprocess.Popen([sys.executable, "-c", WAKER, str(os.getpid()), str(seconds)])
    os.kill(os.getpid(), signal.SIGSTOP)
    waker.wait()


if __name__ == "__main__":
    print(
        *[f"{each:.3f}" for each in write_records(Path(sys.argv[1]), float(sys.argv[2]), sys.argv[3] == HOLD)]
    )
