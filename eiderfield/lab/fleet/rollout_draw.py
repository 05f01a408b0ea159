"""Draws rolling changes from seeds, runs them, and returns a row of results for each.

Even seeds draw a program without a fault, odd seeds a faulty one.
"""

from __future__ import annotations

import json
import math
import time
from dataclasses import dataclass, field, replace
from http import HTTPStatus
from pathlib import Path
from random import Random

from eiderfield.lab.fleet.event_log import CLIENT_EVENTS, WORKER_EVENTS, read_events
from eiderfield.lab.fleet.faulty_programs import DRAWN, NO_FAULT
from eiderfield.lab.fleet.result import RESULT_FILE
from eiderfield.lab.fleet.rollout_change import Change, ChangeResult, LostContact
from eiderfield.lab.fleet.rollout_run import CHANGE_FOLDER, play_change
from eiderfield.lab.fleet.rollout_supervisor import UNREACHABLE_FILE
from eiderfield.lab.fleet.scenario import Fault, Scenario
from eiderfield.lab.fleet.scenario_file import validated
from eiderfield.lab.processes import LabError
from eiderfield.rollout.controller import LOG_FILE
from eiderfield.rollout.journal import read_journal
from eiderfield.rollout.state import Phase

FAILPOINTS = (
    "looked:2",
    "written:1",
    "before start:1",
    "after start:1",
    "before end:1",
    "after end:1",
    "done:2",
)
FAULTS = ("", "", "stop", "kill", "cut", "restart", "flood", "blind", "lose", "lose")
SMALL_FLEET = 4  # dispatchers, up to which no dispatcher is killed: a change need not survive it
RUN_S = 90.0  # time for which jobs are sent
LARGE_RUN_S = 180.0
RIGHT = "right"


@dataclass(frozen=True, slots=True)
class DrawnChange:
    """A scenario and a change drawn from a seed; `fault` is one of `FAULTS`, '' for none."""

    scenario: Scenario
    change: Change
    fault: str


@dataclass(frozen=True, slots=True)
class InTime:
    """The number of jobs, and of those that were served within their objectives."""

    jobs: int = 0
    served: int = 0


@dataclass(frozen=True, slots=True)
class DrawnRun:
    """The result of a drawn change, written as a row of `rollouts.json`."""

    seed: int
    kind: str
    fault: str
    phase: str = "none"
    stage: int = 0
    why: str = ""
    verdict: str = "the run failed"
    undo_seconds: float | None = None
    out_most: int = 0
    jobs: int = 0
    served: int = 0
    begun_twice: int = 0
    seconds: float = 0.0
    findings: list[str] = field(default_factory=list)
    bans_kept: bool = False
    controllers: int = 0
    before: InTime | None = None  # jobs sent before the change first moved; None if the run failed
    during: InTime | None = None  # jobs sent from then to the end of the change
    fault_came: bool = False  # whether a fault occurred before the change ended


def draw_change(seed: int, dispatchers: int = 4, rate: float = 100.0) -> DrawnChange:
    """Return the scenario and the change of a seed; the same seed always draws the same.

    Dispatcher faults hit the last dispatcher, never the canary: a change whose canary is killed or stopped
    is rightly undone, even if its program has no fault.
    """
    rng = Random(f"eiderfield change {seed}")
    is_worse = seed % 2 == 1
    kind = rng.choice([kind for kind in DRAWN if kind != NO_FAULT]) if is_worse else NO_FAULT
    fault = rng.choice(FAULTS)
    scenario = Scenario(
        name=f"{kind}-{seed}",
        seed=seed,
        dispatchers=dispatchers,
        workers=2 * dispatchers,
        slots=4,
        cell=4,
        jobs=int(rate * RUN_S),
        rate=rate,
    )
    worker = f"w{rng.randrange(scenario.workers - 1)}"
    at = round(rng.uniform(5.0, 9.0), 1)
    if fault == "kill" and dispatchers <= SMALL_FLEET:
        fault = ""
    faults = _scenario_faults(fault, at, f"n{dispatchers - 1}", worker)
    if kind == "drains":  # the program shows its fault only while a worker drains
        faults = [*faults, Fault("drain", "w0", at=6.0, lasts=20.0)]
    if fault == "flood":
        scenario = replace(scenario, floods=((at, 4.0, 2.0),))
    change = Change(
        program=kind,
        banned_worker=scenario.worker_names[-1],
        failpoints=tuple(rng.choices(FAILPOINTS, k=3)) if fault == "lose" else (),
        lost_contacts=(LostContact("watching", 3.0, "n0"),) if fault == "blind" else (),
    )
    return DrawnChange(validated(replace(scenario, faults=tuple(faults))), change, fault)


def _scenario_faults(fault: str, at: float, dispatcher: str, worker: str) -> list[Fault]:
    match fault:
        case "stop":
            return [Fault("stop", dispatcher, at=at, lasts=2.0)]
        case "kill":
            return [Fault("kill", dispatcher, at=at, lasts=1.0)]
        case "cut":
            return [Fault("cut", f"n*>{worker}", at=at, lasts=3.0)]
        case "restart":
            return [Fault("restart", worker, at=at, lasts=0.3)]
    return []


def play_drawn(seed: int, folder: str, first_program: str = "") -> DrawnRun:
    """Run the change of a seed in `folder` and return its row.

    `first_program` is the folder of the program that runs before the change, '' for this checkout.
    """
    drawn = draw_change(seed)
    scenario, change = drawn.scenario, drawn.change
    if first_program:
        change = replace(change, first_program=Path(first_program))
    try:
        result = play_change(scenario, change, Path(folder))
    except LabError as error:
        return DrawnRun(seed, change.program, drawn.fault, why=str(error))
    before, during = in_time(Path(folder), scenario)
    return DrawnRun(
        seed=seed,
        kind=change.program,
        fault=drawn.fault,
        phase=result.phase,
        stage=result.stage,
        why=result.why,
        verdict=verdict(change, result),
        undo_seconds=result.undo_seconds,
        out_most=result.most_unavailable,
        jobs=result.counts["jobs"],
        served=result.counts["served"],
        begun_twice=result.counts["begun_twice"],
        seconds=result.seconds,
        findings=[f"{finding.rule}: {finding.text}" for finding in result.findings],
        bans_kept=result.bans_kept,
        controllers=result.controllers,
        before=before,
        during=during,
        fault_came=fault_came(Path(folder), scenario, change),
    )


def play_large(dispatchers: int, rate: float, folder: Path) -> tuple[Change, ChangeResult]:
    """Run a change to a program without a fault on many dispatchers, with no faults injected.

    A tenth of the dispatchers are canaries, and at most four dispatchers change at once.
    """
    scenario = Scenario(
        name=f"large-{dispatchers}",
        dispatchers=dispatchers,
        workers=20,
        slots=4,
        cell=4,
        jobs=int(rate * LARGE_RUN_S),
        rate=rate,
    )
    canary = max(1, dispatchers // 10)
    change = Change(
        canary=canary, max_concurrent=min(4, dispatchers - 1), banned_worker=scenario.worker_names[-1]
    )
    return change, play_change(scenario, change, folder)


def verdict(change: Change, result: ChangeResult) -> str:
    """Return 'right' if a change ended as it should, otherwise what is wrong with its result."""
    if result.phase == "held":
        return "held"
    if change.is_good and result.phase != "done":
        return "a good change was stopped"
    if not change.is_good and result.phase == "done":
        return "a worse change went through"
    version = "new" if result.phase == "done" else "old"
    if any(running != version for running in result.versions.values()):
        return f"not all are {version}: {result.versions}"
    if not result.bans_kept and change.program != "forgets":
        return "a ban was lost"
    if change.is_good and result.findings:
        return f"{result.findings[0].rule}: {result.findings[0].text}"
    return RIGHT


def in_time(folder: Path, scenario: Scenario) -> tuple[InTime, InTime]:
    """Return the counts of the jobs sent before a run's change first moved, and from then to its end."""
    entries = read_journal(folder / CHANGE_FOLDER).entries
    offset = unix_offset()
    moved = next((entry.time for entry in entries if entry.phase is Phase.MOVING), math.inf) - offset
    ended = entries[-1].time - offset
    sent, served = sent_and_served(folder, scenario)
    before = [job for job, at in sent.items() if at < min(moved, ended)]
    during = [job for job, at in sent.items() if moved <= at < ended]
    return (
        InTime(len(before), len(served.intersection(before))),
        InTime(len(during), len(served.intersection(during))),
    )


def sent_and_served(folder: Path, scenario: Scenario) -> tuple[dict[str, float], set[str]]:
    """Return when each job of a run was first sent, and the jobs served within their objectives."""
    objectives = {
        job_class.name: (job_class.goal / 1000.0, job_class.stretch / 1000.0)
        for job_class in scenario.job_classes
    }
    runs = {
        event["job"]: event["run"] for event in read_events(folder / WORKER_EVENTS) if event["what"] == "came"
    }
    sent: dict[str, float] = {}
    served: set[str] = set()
    for event in read_events(folder / CLIENT_EVENTS):
        job = event["job"]
        if event["what"] == "asked":
            sent.setdefault(job, event["t"])
        elif event["what"] == "answered" and event["status"] == HTTPStatus.OK and job in runs:
            goal, stretch = objectives[event["kind"]]
            if event["t"] - sent[job] <= goal + stretch * runs[job]:
                served.add(job)
    return sent, served


def fault_came(folder: Path, scenario: Scenario, change: Change) -> bool:
    """Return whether a fault occurred between the start and the end of a run's change.

    A drawn fault may be due only after the change has ended.
    """
    entries = read_journal(folder / CHANGE_FOLDER).entries
    offset = unix_offset()
    since, until = entries[0].time - offset, entries[-1].time - offset
    result = json.loads((folder / RESULT_FILE).read_text())
    begun = [result["start"] + at for at, _, _ in scenario.floods]
    begun += [fault["since"] for fault in result["struck"]]
    log = read_events(folder / CHANGE_FOLDER / LOG_FILE)
    controllers = sum(entry["event"] == "leads" for entry in log)
    lost_contact = bool(change.lost_contacts) and (folder / CHANGE_FOLDER / UNREACHABLE_FILE).exists()
    return any(since <= at <= until for at in begun) or controllers > 1 or lost_contact


def unix_offset() -> float:
    """Return Unix time minus monotonic time, in s.

    The logs hold monotonic time, which all processes of this machine share.
    """
    return time.time() - time.monotonic()
