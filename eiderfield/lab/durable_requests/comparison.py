"""The cost of durable requests: the same jobs on a fleet off, on, off, on, timed by the clients' events."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from http import HTTPStatus
from pathlib import Path

import numpy as np
import psutil

from eiderfield.lab.fleet.event_log import CLIENT_EVENTS, read_events
from eiderfield.lab.fleet.fleet import Fleet
from eiderfield.lab.fleet.scenario import JobClass, Scenario
from eiderfield.lab.fleet.scenario_file import validated

KEPT = "kept"  # the class that is durable where they are on
JOB_CLASSES = (
    JobClass(KEPT, "dedup", 0.5, (20.0, 60.0), goal=2000.0),
    JobClass("unkept", "retryable", 0.5, (20.0, 60.0), goal=2000.0),
)
MIN_WORKERS = 4
LEASE_MS = 3000


@dataclass(frozen=True, slots=True)
class ComparedPart:
    """One part of a comparison: a run with durable requests on or off."""

    on: bool
    jobs: int
    served: int
    seconds: float
    p50: dict[str, float]  # ms, by class
    p99: dict[str, float]  # ms, by class
    processor: float  # s of CPU time of all dispatchers
    bytes_each: float  # in the stores, of a durable job


def compare(
    dispatchers: int, rate: float, seconds: float, folder: Path, rounds: int = 2
) -> Iterator[ComparedPart]:
    """Yield the parts of a comparison: off and on in turns, with the same jobs each time."""
    scenario = validated(
        Scenario(
            name="cost",
            dispatchers=dispatchers,
            workers=max(MIN_WORKERS, dispatchers),
            slots=8,
            queue=64,
            cell=4,
            jobs=int(rate * seconds),
            rate=rate,
            job_classes=JOB_CLASSES,
            one_id=True,
        )
    )
    for number in range(2 * rounds):
        on = number % 2 == 1
        custody = {"lease_ms": LEASE_MS, "classes": [KEPT]} if on else {}
        yield play_part(replace(scenario, custody=custody), folder / f"{number}-{'on' if on else 'off'}", on)


def play_part(scenario: Scenario, folder: Path, on: bool) -> ComparedPart:
    """Run the jobs once."""
    with Fleet(scenario, folder) as fleet:
        used: list[float] = []
        before = processor_seconds(fleet)
        result = fleet.play(before_shutdown=lambda: used.append(processor_seconds(fleet)))
    clients = read_events(folder / CLIENT_EVENTS)
    sent = first_sent(folder)
    times = answer_times(folder, sent)
    size = sum(path.stat().st_size for path in (folder / "custody").rglob("lives/*")) if on else 0
    return ComparedPart(
        on=on,
        jobs=result.counts["jobs"],
        served=result.counts["served"],
        seconds=max(event["t"] for event in clients) - min(sent.values()),
        p50={name: float(np.percentile(each, 50)) for name, each in times.items()},
        p99={name: float(np.percentile(each, 99)) for name, each in times.items()},
        processor=sum(used) - before,
        bytes_each=size / max(1, len(times[KEPT])),
    )


def processor_seconds(fleet: Fleet) -> float:
    """Return the CPU time that all dispatchers have used, in s."""
    processes = [psutil.Process(dispatcher.pid) for dispatcher in fleet.dispatchers.values()]
    return float(sum(sum(process.cpu_times()[:2]) for process in processes))


def first_sent(folder: Path) -> dict[str, float]:
    """Return when each job was first sent, in s."""
    sent: dict[str, float] = {}
    for event in read_events(folder / CLIENT_EVENTS):
        if event["what"] == "asked":
            sent.setdefault(event["job"], event["t"])
    return sent


def answer_times(folder: Path, sent: dict[str, float]) -> dict[str, list[float]]:
    """Return how long each served job took, in ms, by class."""
    times: dict[str, list[float]] = {each.name: [] for each in JOB_CLASSES}
    for event in read_events(folder / CLIENT_EVENTS):
        if event["what"] == "answered" and event["status"] == HTTPStatus.OK:
            times[event["kind"]].append((event["t"] - sent[event["job"]]) * 1000.0)
    return times
