"""Durable requests on real processes under load: kills, stops and cuts, judged from the event logs.

`play_durable` runs one scenario and sums the console figures of all dispatchers. Only the rules (`rules.py`)
decide what is right or wrong.
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Mapping, Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from http import HTTPStatus
from pathlib import Path
from typing import Any

from eiderfield.durable_requests.folder import SharedFolder
from eiderfield.lab.fleet.dispatcher import Dispatcher, Program
from eiderfield.lab.fleet.event_log import CLIENT_EVENTS, WORKER_EVENTS, Event, read_events
from eiderfield.lab.fleet.fleet import Fleet
from eiderfield.lab.fleet.rules import REJECTED, Finding, InjectedFault
from eiderfield.lab.fleet.scenario import Scenario
from eiderfield.lab.processes import LabError

COUNTED_BEFORE_KILL_S = 0.5  # jobs are counted that were first sent so long before a kill
COUNTED_AFTER_KILL_S = 10.0  # and so long after it
LOST_SLACK_S = 0.5  # by which a client may notice a kill before the kill is recorded
CONSOLE_TIMEOUT_S = 0.3  # a dispatcher that has just been stopped must not delay the other faults
CONSOLE_INTERVAL_S = 0.25
FAILED = 502


@dataclass
class DurableResult:
    """The result of a run."""

    findings: list[Finding]
    faults: list[InjectedFault]
    counts: dict[str, int]
    figures: dict[str, float]  # console figures of durable requests, summed over all processes
    fences: Counter[str]  # by reason, how many incarnations were fenced
    unanswered: int  # jobs without a final answer
    may_have_run: int  # jobs that ended as failed
    takeovers: list[float] = field(default_factory=list)  # s from a kill to a job's next attempt or answer
    sent_near_kills: int = 0  # jobs first sent shortly before a kill or within 10 s of it
    in_time_near_kills: int = 0  # of these, served within their objectives


class ConsoleSums:
    """Sums console figures over processes that come and go: each process counts from zero."""

    def __init__(self, dispatchers: Mapping[str, Dispatcher]) -> None:
        """Poll the consoles of some dispatchers, by name."""
        self._dispatchers = dispatchers
        self._last: dict[tuple[str, int], dict[str, Any]] = {}
        self._next_at = 0.0

    def poll(self) -> None:
        """Read the figures of all running dispatchers, if the interval has passed."""
        if time.monotonic() >= self._next_at:
            self.poll_now()

    def poll_now(self) -> None:
        """Read the figures of all running dispatchers."""
        self._next_at = time.monotonic() + CONSOLE_INTERVAL_S
        for name, dispatcher in self._dispatchers.items():
            if dispatcher.running:
                with suppress(OSError, ValueError, LookupError, LabError):
                    self._last[name, dispatcher.pid] = dispatcher.figures(CONSOLE_TIMEOUT_S)["custody"]

    def sums(self) -> dict[str, float]:
        """Return the sums of all figures, by name."""
        total: Counter[str] = Counter()
        for figures in self._last.values():
            total.update({name: value for name, value in figures.items() if isinstance(value, int | float)})
        return dict(total)


def play_durable(scenario: Scenario, folder: Path, programs: Mapping[str, Program]) -> DurableResult:
    """Run a scenario whose dispatchers have durable requests, and return its result."""
    with Fleet(scenario, folder, programs) as fleet:
        consoles = ConsoleSums(fleet.dispatchers)
        result = fleet.play(consoles.poll, before_shutdown=consoles.poll_now)
    clients, workers = read_events(folder / CLIENT_EVENTS), read_events(folder / WORKER_EVENTS)
    near_kills = sent_near_kills(clients, result.faults)
    in_time = near_kills & served_in_time(scenario, clients, workers)
    statuses = final_statuses(clients)
    return DurableResult(
        findings=result.findings,
        faults=result.faults,
        counts=result.counts,
        figures=consoles.sums(),
        fences=fences(folder / "custody"),
        unanswered=sum(not each for each in statuses.values()),
        may_have_run=sum(each == {FAILED} for each in statuses.values()),
        takeovers=takeovers(clients, workers, result.faults),
        sent_near_kills=len(near_kills),
        in_time_near_kills=len(in_time),
    )


def fences(folder: Path) -> Counter[str]:
    """Return how many incarnations were fenced, by reason."""
    if not (folder / "form").exists():
        return Counter()
    shared = SharedFolder(folder, create=False).fences
    return Counter(shared.read(incarnation).reason for incarnation in shared.refresh())


def final_statuses(clients: Sequence[Event]) -> dict[str, set[int]]:
    """Return the final statuses of each job's tries, an empty set for a job without a final answer."""
    found: dict[str, set[int]] = {event["job"]: set() for event in clients if event["what"] == "asked"}
    for event in clients:
        if event["what"] == "answered" and event["status"] not in REJECTED:
            found[event["job"]].add(event["status"])
    return found


def takeovers(
    clients: Sequence[Event], workers: Sequence[Event], faults: Sequence[InjectedFault]
) -> list[float]:
    """Return the seconds until each job that broke with a killed dispatcher was seen again."""
    found = []
    for event in clients:
        if event["what"] != "broke":
            continue
        kills = [fault.since for fault in faults if fault.who == event["at"] and fault.what == "kill"]
        earlier = [since for since in kills if since <= event["t"] + LOST_SLACK_S]
        if earlier:
            again = seen_again(event, clients, workers, earlier[-1])
            if again:
                found.append(min(again) - earlier[-1])
    return found


def seen_again(broke: Event, clients: Sequence[Event], workers: Sequence[Event], since: float) -> list[float]:
    """Return when a job came to a worker from another dispatcher, or was answered to its client."""
    came = [
        event["t"]
        for event in workers
        if event["what"] == "came"
        and event["job"] == broke["job"]
        and event["by"] != broke["at"]
        and event["t"] > since
    ]
    answered = [
        event["t"] for event in clients if event["what"] == "answered" and event["job"] == broke["job"]
    ]
    return came + answered


def first_sent(clients: Sequence[Event]) -> dict[str, float]:
    """Return when each job was first sent, in s."""
    sent: dict[str, float] = {}
    for event in clients:
        if event["what"] == "asked":
            sent.setdefault(event["job"], event["t"])
    return sent


def sent_near_kills(clients: Sequence[Event], faults: Sequence[InjectedFault]) -> set[str]:
    """Return the jobs that were first sent shortly before a kill or after it."""
    kills = [fault.since for fault in faults if fault.what == "kill"]
    return {
        job
        for job, at in first_sent(clients).items()
        if any(since - COUNTED_BEFORE_KILL_S <= at <= since + COUNTED_AFTER_KILL_S for since in kills)
    }


def served_in_time(scenario: Scenario, clients: Sequence[Event], workers: Sequence[Event]) -> set[str]:
    """Return the jobs that were served within their objectives."""
    objectives = {each.name: (each.goal / 1000.0, each.stretch / 1000.0) for each in scenario.job_classes}
    runs = {event["job"]: event["run"] for event in workers if event["what"] == "came"}
    sent = first_sent(clients)
    served = set()
    for event in clients:
        if event["what"] == "answered" and event["status"] == HTTPStatus.OK:
            goal, stretch = objectives[event["kind"]]
            job = event["job"]
            if event["t"] - sent[job] <= goal + stretch * runs.get(job, 0.0):
                served.add(job)
    return served
