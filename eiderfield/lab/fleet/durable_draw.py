"""Draws runs of durable requests from seeds. In each, 1 to 3 dispatchers are killed, stopped or cut off."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from pathlib import Path
from random import Random
from typing import Any

from eiderfield.lab.fleet.dispatcher import Program
from eiderfield.lab.fleet.durable_run import COUNTED_AFTER_KILL_S, play_durable
from eiderfield.lab.fleet.scenario import Fault, JobClass, Scenario
from eiderfield.lab.fleet.scenario_file import validated
from eiderfield.lab.processes import LabError

JOB_CLASSES = (
    JobClass("lookup", "retryable", 0.4, (150.0, 500.0)),
    JobClass("report", "dedup", 0.35, (200.0, 600.0), 3.0),
    JobClass("confirm", "fragile", 0.25, (200.0, 600.0), 2.0),
)
FAILPOINTS = ("accept", "accept done", "claim", "claim done", "sent", "finish", "finish done")
LEASE_MS = 1000
# Fields of `DrawnDurableRun` whose totals the summary shows.
SUMMED = (
    "jobs",
    "served",
    "kills",
    "stops",
    "taken_over",
    "fenced",
    "may_have_run",
    "unanswered",
    "begun_twice",
)


@dataclass(frozen=True, slots=True)
class DrawnDurableRun:
    """The result of a drawn run as a row. `what` lists its faults; `failed` says why it could not be run."""

    seed: int
    what: list[str]
    failed: str = ""
    kills: int = 0
    stops: int = 0
    jobs: int = 0
    served: int = 0
    begun_twice: int = 0
    unanswered: int = 0
    may_have_run: int = 0
    taken_over: float = 0
    fenced: float = 0
    findings: list[str] = field(default_factory=list)
    takeovers: list[float] = field(default_factory=list)
    sent_near_kills: int = 0
    in_time_near_kills: int = 0

    @property
    def kept(self) -> bool:
        """Whether the run took place and broke no rule."""
        return not self.failed and not self.findings


def draw_durable(
    seed: int, dispatchers: int = 4, jobs: int = 300, durable: bool = True
) -> tuple[Scenario, dict[str, Program]]:
    """Return the scenario of a seed, and by name the programs of dispatchers that fail at a failpoint."""
    rng = Random(f"eiderfield custody {seed}")
    scenario = Scenario(
        name=f"custody-{seed}",
        seed=seed,
        dispatchers=dispatchers,
        workers=2 * dispatchers,
        slots=4,
        cell=4,
        jobs=jobs,
        rate=50.0,
        notice=0.5,
        retries=10,
        one_id=True,
        job_classes=JOB_CLASSES,
        custody={"lease_ms": LEASE_MS} if durable else {},
    )
    faults: list[Fault] = []
    programs: dict[str, Program] = {}
    for name in rng.sample(scenario.dispatcher_names, rng.randint(1, 3)):
        drawn = _draw_fault(rng, name, jobs)
        if isinstance(drawn, Fault):
            faults.append(drawn)
        else:
            programs[name] = drawn
    return validated(replace(scenario, faults=tuple(faults))), programs


def _draw_fault(rng: Random, name: str, jobs: int) -> Fault | Program:
    """Draw the fault of a dispatcher: a fault of the scenario, or a program with a failpoint.

    The order of the random calls must stay: it determines what a seed draws.
    """
    what = rng.choice(["kill", "kill", "kill", "stop", "point", "cut"])
    trigger: dict[str, Any] = {"on": f"begun:{rng.randint(20, jobs // 2)}"}
    if what == "cut":
        return Fault("cut", f"{name}>w*", lasts=round(rng.uniform(0.5, 2.0), 2), **trigger)
    if what != "point":
        return Fault(what, name, lasts=round(rng.uniform(0.5, 3.0), 2), **trigger)
    action = rng.choice(["kill", "stop"])
    return Program(
        failpoint=f"{rng.choice(FAILPOINTS)}:{rng.randint(3, 30)}:{action}:{rng.uniform(1.5, 3.0):.2f}"
    )


def play_drawn(seed: int, folder: str, durable: bool = True) -> DrawnDurableRun:
    """Run the scenario of a seed in `folder` and return its row."""
    scenario, programs = draw_durable(seed, durable=durable)
    what = [f"{fault.what} {fault.who}" for fault in scenario.faults]
    what += [f"{name} {program.failpoint}" for name, program in programs.items()]
    try:
        result = play_durable(scenario, Path(folder), programs)
    except LabError as error:
        return DrawnDurableRun(seed, what, failed=str(error))
    faults = [fault.what for fault in result.faults]
    return DrawnDurableRun(
        seed=seed,
        what=what,
        kills=faults.count("kill"),
        stops=faults.count("stop"),
        jobs=result.counts["jobs"],
        served=result.counts["served"],
        begun_twice=result.counts["begun_twice"],
        unanswered=result.unanswered,
        may_have_run=result.may_have_run,
        taken_over=result.figures.get("taken_over", 0),
        fenced=result.figures.get("fenced", 0),
        findings=[f"{finding.rule}: {finding.text}" for finding in result.findings],
        takeovers=result.takeovers,
        sent_near_kills=result.sent_near_kills,
        in_time_near_kills=result.in_time_near_kills,
    )


def summary(runs: Sequence[DrawnDurableRun]) -> list[str]:
    """Return a summary of drawn runs, as lines of text."""
    played = [run for run in runs if not run.failed]
    totals = {name: int(sum(getattr(run, name) for run in played)) for name in SUMMED}
    lines = [
        f"{len(played)} of {len(runs)} runs played; "
        + ", ".join(f"{name} {total}" for name, total in totals.items()),
        f"findings {sum(len(run.findings) for run in played)}",
    ]
    sent = sum(run.sent_near_kills for run in played)
    in_time = sum(run.in_time_near_kills for run in played)
    if sent:
        share = in_time / sent
        lines.append(
            f"within {COUNTED_AFTER_KILL_S:g} s of a kill: {in_time} of {sent} jobs in time ({share:.4f})"
        )
    times = sorted(seconds for run in played for seconds in run.takeovers)
    if times:
        p50, p99 = [times[min(len(times) - 1, int(share * len(times)))] for share in (0.5, 0.99)]
        lines.append(
            f"from a kill to the next attempt or answer of a job: p50 {p50:.2f} s, p99 {p99:.2f} s, "
            f"{len(times)} jobs"
        )
    return lines
