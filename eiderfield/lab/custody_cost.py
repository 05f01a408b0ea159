"""What custody costs: on against off in one run, the ways to keep records beside each other, and recovery.

`compare` plays the same jobs on a fleet off, on, off, on, and reads times from the clients' event log alone.
`ways` lets processes write records as fast as they can, each into a store of its own or all into one, and
once with a process that is stopped within a transaction. `recovery` lets a member take over what a lost life
left.
"""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, replace
from pathlib import Path

import numpy as np
import psutil

from eiderfield.durable_requests.member import Member
from eiderfield.durable_requests.messages import Accept, Claim, Finish
from eiderfield.durable_requests.record import AttemptRecord, Record, RequestHead
from eiderfield.durable_requests.settings import DurableRequestSettings
from eiderfield.durable_requests.store import RecordStore
from eiderfield.exchange import Answer, Verdict
from eiderfield.lab.fleet.event_log import CLIENT_EVENTS, read_events
from eiderfield.lab.fleet.fleet import Fleet
from eiderfield.lab.fleet.scenario import JobClass, Scenario
from eiderfield.lab.fleet.scenario_file import validated

LINKED = 50_000  # ids that have their links in a measurement of recovery: more than it takes over
JOB_CLASSES = (
    JobClass("kept", "dedup", 0.5, (20.0, 60.0), goal=2000.0),
    JobClass("unkept", "retryable", 0.5, (20.0, 60.0), goal=2000.0),
)


@dataclass(frozen=True, slots=True)
class Played:
    """One part of a comparison. Times in ms, `processor` in s of all dispatchers together."""

    on: bool
    jobs: int
    served: int
    seconds: float
    p50: dict[str, float]
    p99: dict[str, float]
    processor: float
    bytes_each: float  # in the stores, by kept job


def compare(dispatchers: int, rate: float, seconds: float, folder: Path, rounds: int = 2) -> Iterator[Played]:
    """Off and on in turns, the same jobs each time."""
    scenario = validated(Scenario(
        name="cost", dispatchers=dispatchers, workers=max(4, dispatchers), slots=8, queue=64, cell=4,
        jobs=int(rate * seconds), rate=rate, job_classes=JOB_CLASSES, one_id=True,
    ))  # fmt: skip
    for number in range(2 * rounds):
        on = number % 2 == 1
        custody = {"lease_ms": 3000, "classes": ["kept"]} if on else {}
        yield _play(replace(scenario, custody=custody), folder / f"{number}-{'on' if on else 'off'}", on)


def _play(scenario: Scenario, folder: Path, on: bool) -> Played:
    with Fleet(scenario, folder) as fleet:
        used: list[float] = []

        def weigh() -> None:
            for dispatcher in fleet.dispatchers.values():
                used.append(sum(psutil.Process(dispatcher.pid).cpu_times()[:2]))

        weigh()
        before = sum(used)
        used.clear()
        result = fleet.play(before_rest=weigh)
        processor = sum(used) - before
    clients = read_events(folder / CLIENT_EVENTS)
    asked: dict[str, float] = {}
    times: dict[str, list[float]] = {each.name: [] for each in JOB_CLASSES}
    for event in clients:
        if event["what"] == "asked":
            asked.setdefault(event["job"], event["t"])
        elif event["what"] == "answered" and event["status"] == 200:
            times[event["kind"]].append((event["t"] - asked[event["job"]]) * 1000.0)
    kept = max(1, len(times["kept"]))
    size = sum(path.stat().st_size for path in (folder / "custody").rglob("lives/*")) if on else 0
    span = max(e["t"] for e in clients) - min(asked.values())
    return Played(
        on, result.counts["jobs"], result.counts["served"], span,
        {name: float(np.percentile(each, 50)) for name, each in times.items()},
        {name: float(np.percentile(each, 99)) for name, each in times.items()},
        processor, size / kept,
    )  # fmt: skip


# The ways to keep records.


@dataclass(frozen=True, slots=True)
class Wrote:
    """What processes wrote together. `gap` is the longest time in ms in which one of them, not stopped, wrote
    nothing."""

    way: str
    processes: int
    commits_per_s: float
    p50: float  # ms of a commit
    p99: float
    gap: float


def ways(processes: Sequence[int], seconds: float, folder: Path) -> Iterator[Wrote]:
    """Each number of processes: stores of their own, one store, and both with one process stopped."""
    for number in processes:
        for way in ("own", "one"):
            yield _write(way, number, seconds, folder / f"{way}-{number}", False)
    for way in ("own", "one"):
        yield _write(way, processes[0], seconds, folder / f"{way}-stopped", True)


def _write(way: str, number: int, seconds: float, folder: Path, stopped: bool) -> Wrote:
    folder.mkdir(parents=True)
    children = [
        subprocess.Popen(
            [sys.executable, "-m", "eiderfield.lab.custody_cost",
             str(folder / ("one.db" if way == "one" else f"{n}.db")), str(seconds),
             "hold" if stopped and n == 0 else "-"],
            stdout=subprocess.PIPE, text=True,
        )
        for n in range(number)
    ]  # fmt: skip
    found: list[list[float]] = []
    for place, child in enumerate(children):
        out, _ = child.communicate()
        if not (stopped and place == 0):
            found.append([float(word) for word in out.split()])
    times = np.array([each for one in found for each in one] or [0.0])
    gap = max((max(one, default=seconds * 1000.0) for one in found), default=0.0)
    name = "a store each" if way == "own" else "one store"
    p50, p99 = (float(np.percentile(times, share)) for share in (50, 99))
    more = ", one stopped within a commit" if stopped else ""
    return Wrote(name + more, number, len(times) / seconds, p50, p99, gap)


def _writes(path: Path, seconds: float, hold: bool) -> None:
    """A process that writes as fast as it can and prints how long each commit took, in ms.

    The time of attempts that failed before it is included. With `hold` it stops itself within its tenth
    commit, until somebody ends its sleep.
    """
    store = RecordStore(path)
    end = time.monotonic() + seconds
    number, took = 0, []
    began = time.monotonic()
    while time.monotonic() < end:
        number += 1
        try:
            store.begin()
            store.put(_record(f"{os.getpid()}-{number}"))
            if hold and number == 10:
                waker = subprocess.Popen(
                    [sys.executable, "-c", "import os, sys, time; time.sleep(float(sys.argv[2])); "
                     "os.kill(int(sys.argv[1]), 18)", str(os.getpid()), str(seconds / 2.0)]
                )  # fmt: skip
                os.kill(os.getpid(), signal.SIGSTOP)
                waker.wait()
            store.commit()
        except Exception:  # the store is locked for longer than anybody waits
            store.roll_back()
            continue
        committed = time.monotonic()
        took.append((committed - began) * 1000.0)
        began = committed
    print(*[f"{each:.3f}" for each in took])


def _record(id_: str) -> Record:
    head = RequestHead("/r/x", "h", id_, subject=1)
    return Record(id_, "r", 1e12, time.monotonic() * 1000.0, head, b"x" * 200)


# Recovery.


@dataclass(frozen=True, slots=True)
class Recovered:
    """How a lost life's records were taken over. Times in s."""

    records: int
    read: float  # until the heir knew what was left
    first: float  # until the first job was its own
    adopted: int  # within the measured seconds
    per_s: float
    megabytes: float


def recovery(records: int, seconds: float, folder: Path) -> Recovered:
    """A life with so many open records is lost; one heir takes over as fast as its rate allows."""
    settings = DurableRequestSettings(
        folder / "custody", frozenset({0}), lease=1000.0, takeover_rate=50_000.0, most_bytes=4 * 2**30
    )
    lost = Member(settings, "lost", {"r": 1.0}, print)
    lost.begin()
    assert lost.current is not None
    store = lost.current.store
    store.begin()
    for number in range(records):
        record = _record(f"j{number}")
        store.put(
            record if number % 2 else record.with_attempt(AttemptRecord(0, "w", "z", 0, record.accepted))
        )
    store.commit()
    for number in range(min(records, LINKED)):  # the oldest, which are taken over first
        lost.folder.ids.take(f"j{number}", lost.incarnation)
    size = sum(path.stat().st_size for path in (settings.folder / "lives").iterdir()) / 2**20
    heir = Member(settings, "heir", {"r": 1.0}, print)
    heir.begin()
    heir.tick()
    heir.folder.fences.create(lost.incarnation, [heir.incarnation], heir.incarnation, "measured")
    began = time.monotonic()
    heir.tick()
    read_ = time.monotonic() - began
    first, adopted = 0.0, 0
    while (spent := time.monotonic() - began) < read_ + seconds and heir.pending_takeovers:
        time.sleep(0.002)
        found = heir.take_over()
        adopted += len(found)
        if found and not first:
            first = time.monotonic() - began
    heir.close()
    lost.close()
    return Recovered(records, read_, first, adopted, adopted / max(1e-9, spent - read_), size)


def commits(seconds: float, folder: Path) -> float:
    """Whole jobs a second of one member: taken, claimed, answered, each in a commit of its own."""
    member = Member(DurableRequestSettings(folder / "c", frozenset({0})), "m", {"r": 1.0}, print)
    member.begin()
    member.tick()
    end, number = time.monotonic() + seconds, 0
    while time.monotonic() < end:
        number += 1
        id_ = f"j{number}"
        member.apply([Accept(_record(id_))])
        member.apply([Claim(id_, AttemptRecord(0, "w", "z", 0, 0.0))])
        member.apply([Finish(id_, Answer(Verdict.SERVED, b"r"))])
    member.close()
    return number / seconds


if __name__ == "__main__":
    _writes(Path(sys.argv[1]), float(sys.argv[2]), sys.argv[3] == "hold")
