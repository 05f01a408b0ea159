"""Runs scenarios with durable requests: real processes under load, which are killed, stopped or cut off.

`play_durable` runs one scenario, computes its statistics from the event logs, and sums the console figures of
all dispatchers. Only the rules (`rules.py`) decide whether a run is correct.
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

COUNTED_BEFORE_KILL_S = 0.5  # a job counts as near a kill if first sent at most this long before it
COUNTED_AFTER_KILL_S = 10.0  # or at most this long after it
KILL_RECORD_SLACK_S = 0.5  # a client may notice a kill this long before the run records it
CONSOLE_TIMEOUT_S = 0.3  # short, since a stopped dispatcher must not delay the next faults
CONSOLE_INTERVAL_S = 0.25
FAILED_STATUS = 502


@dataclass
class DurableResult:
    """The findings and statistics of a run."""

    findings: list[Finding]
    faults: list[InjectedFault]
    counts: dict[str, int]
    figures: dict[str, float]  # console figures of durable requests, summed over all processes
    fences: Counter[str]  # number of fenced incarnations by reason
    unanswered: int  # jobs without a final answer
    may_have_run: int  # jobs whose only final status is 502, so that an attempt may have run
    takeovers: list[float] = field(default_factory=list)  # s from a kill to a job's next attempt or answer
    sent_near_kills: int = 0  # jobs first sent from 0.5 s before a kill to 10 s after it
    in_time_near_kills: int = 0  # of these, the jobs served within their latency objectives


class ConsoleSums:
    """Sums console figures over all dispatcher processes, also ended ones; each process counts from zero."""

    def __init__(self, dispatchers: Mapping[str, Dispatcher]) -> None:
        """Create sums over the dispatchers of a run, given by name."""
        self._dispatchers = dispatchers
        self._last: dict[tuple[str, int], dict[str, Any]] = {}
        self._next_at = 0.0

    def poll(self) -> None:
        """Read the figures of all running dispatchers, if the interval has passed."""
        if time.monotonic() >= self._next_at:
            self.poll_now()

    def poll_now(self) -> None:
        """Read the figures of all running dispatchers now. Without an answer the last figures stay."""
        self._next_at = time.monotonic() + CONSOLE_INTERVAL_S
        for name, dispatcher in self._dispatchers.items():
            if dispatcher.running:
                with suppress(OSError, ValueError, LookupError, LabError):
                    self._last[name, dispatcher.pid] = dispatcher.figures(CONSOLE_TIMEOUT_S)["custody"]

    def sums(self) -> dict[str, float]:
        """Return the sum of each figure over all processes, by the figure's name."""
        total: Counter[str] = Counter()
        for figures in self._last.values():
            total.update({name: value for name, value in figures.items() if isinstance(value, int | float)})
        return dict(total)


def play_durable(scenario: Scenario, folder: Path, programs: Mapping[str, Program]) -> DurableResult:
    """Run a scenario, in which some dispatchers may run another program, and return its result."""
    with Fleet(scenario, folder, programs) as fleet:
        consoles = ConsoleSums(fleet.dispatchers)
        result = fleet.play(consoles.poll, before_rest=consoles.poll_now)
    clients, workers = read_events(folder / CLIENT_EVENTS), read_events(folder / WORKER_EVENTS)
    jobs_near_kills = jobs_sent_near_kills(clients, result.faults)
    jobs_in_time = jobs_near_kills & jobs_served_in_time(scenario, clients, workers)
    statuses = final_statuses(clients)
    return DurableResult(
        findings=result.findings,
        faults=result.faults,
        counts=result.counts,
        figures=consoles.sums(),
        fences=count_fences(folder / "custody"),
        unanswered=sum(not each for each in statuses.values()),
        may_have_run=sum(each == {FAILED_STATUS} for each in statuses.values()),
        takeovers=takeover_times(clients, workers, result.faults),
        sent_near_kills=len(jobs_near_kills),
        in_time_near_kills=len(jobs_in_time),
    )


def count_fences(folder: Path) -> Counter[str]:
    """Return the number of fenced incarnations by reason, from the shared folder of the dispatchers."""
    if not (folder / "form").exists():
        return Counter()
    shared = SharedFolder(folder, create=False).fences
    return Counter(shared.read(incarnation).reason for incarnation in shared.refresh())


def final_statuses(clients: Sequence[Event]) -> dict[str, set[int]]:
    """Return the final statuses of each job, rejections left out: an empty set without a final answer."""
    found: dict[str, set[int]] = {event["job"]: set() for event in clients if event["what"] == "asked"}
    for event in clients:
        if event["what"] == "answered" and event["status"] not in REJECTED:
            found[event["job"]].add(event["status"])
    return found


def takeover_times(
    clients: Sequence[Event], workers: Sequence[Event], faults: Sequence[InjectedFault]
) -> list[float]:
    """Return the seconds from a kill to the recovery of each attempt that lost its connection by the kill."""
    found = []
    for event in clients:
        if event["what"] != "broke":
            continue
        kills = [fault.since for fault in faults if fault.who == event["at"] and fault.what == "kill"]
        earlier_kills = [since for since in kills if since <= event["t"] + KILL_RECORD_SLACK_S]
        if earlier_kills:
            recovered_at = recovery_times(event, clients, workers, earlier_kills[-1])
            if recovered_at:
                found.append(min(recovered_at) - earlier_kills[-1])
    return found


def recovery_times(
    disconnection: Event, clients: Sequence[Event], workers: Sequence[Event], since: float
) -> list[float]:
    """Return the times at which a job recovered from a broken connection to a dispatcher killed at `since`.

    These are the times at which an attempt from another dispatcher reached a worker after `since`, and those
    of all answers to the job's client.
    """
    received = [
        event["t"]
        for event in workers
        if event["what"] == "came"
        and event["job"] == disconnection["job"]
        and event["by"] != disconnection["at"]
        and event["t"] > since
    ]
    answered = [
        event["t"]
        for event in clients
        if event["what"] == "answered" and event["job"] == disconnection["job"]
    ]
    return received + answered


def first_sent(clients: Sequence[Event]) -> dict[str, float]:
    """Return the time in s at which each job was first sent to a dispatcher."""
    sent: dict[str, float] = {}
    for event in clients:
        if event["what"] == "asked":
            sent.setdefault(event["job"], event["t"])
    return sent


def jobs_sent_near_kills(clients: Sequence[Event], faults: Sequence[InjectedFault]) -> set[str]:
    """Return the jobs that were first sent at most 0.5 s before a kill or 10 s after it."""
    kills = [fault.since for fault in faults if fault.what == "kill"]
    return {
        job
        for job, at in first_sent(clients).items()
        if any(since - COUNTED_BEFORE_KILL_S <= at <= since + COUNTED_AFTER_KILL_S for since in kills)
    }


def jobs_served_in_time(scenario: Scenario, clients: Sequence[Event], workers: Sequence[Event]) -> set[str]:
    """Return the jobs that were served within their latency objectives, measured from their first sending."""
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
