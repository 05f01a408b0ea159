"""Scenarios and their jobs, drawn from seeds. A seed must draw the same in every version of this module."""

from __future__ import annotations

from dataclasses import replace
from random import Random
from typing import Any

from eiderfield.lab.fleet.commands import PlannedJob
from eiderfield.lab.fleet.scenario import DIRECTIONS, FAULTS, RESOURCE_FAULTS, Fault, Scenario
from eiderfield.lab.fleet.scenario_file import validated

MAX_FAULTS = 3
FAULT_VALUES = {
    "delay": 80.0,
    "late": 1500.0,
    "drip": 2000.0,
    "slow": 4.0,
}  # of drawn faults, in the units of `Fault.value`
AT_EVENT_SHARE = 0.4  # of drawn faults that start at an event and not at a time


def draw_scenario(seed: int, dispatchers: int = 3, workers: int = 6) -> Scenario:
    """Return the scenario of a seed. Its load is one that the fleet can serve while it has no fault."""
    rng = Random(f"eiderfield fleet {seed}")
    plain = Scenario(name=f"seed-{seed}", seed=seed, dispatchers=dispatchers, workers=workers)
    faults = tuple(_draw_fault(rng, dispatchers, workers) for _ in range(rng.randint(1, MAX_FAULTS)))
    return validated(replace(plain, faults=faults))


def _draw_fault(rng: Random, dispatchers: int, workers: int) -> Fault:
    """Draw a fault. The order of the random calls must stay: it determines what a seed draws."""
    kind = rng.choice(["dispatcher", "dispatcher", "worker", "link", "link", "source"])
    what = rng.choice([what for what in FAULTS[kind] if what not in RESOURCE_FAULTS])
    dispatcher, worker = f"n{rng.randrange(dispatchers)}", f"w{rng.randrange(workers)}"
    links = [
        f"{dispatcher}>{worker}",
        f"{dispatcher}>w*",
        f"n*>{worker}",
        f"c>{dispatcher}",
        f"{dispatcher}>source",
    ]
    link = rng.choice(links)
    target = {"dispatcher": dispatcher, "worker": worker, "source": "source", "link": link}[kind]
    lasts = round(rng.uniform(0.5, 2.5), 2) if FAULTS[kind][what] else 0.0
    trigger: dict[str, Any] = {"at": round(rng.uniform(0.3, 2.0), 2)}
    if rng.random() < AT_EVENT_SHARE:
        trigger = {"on": f"begun:{rng.randint(5, 60)}"}
    direction = rng.choice(DIRECTIONS) if what == "cut" else "both"
    return Fault(what, target, lasts=lasts, value=FAULT_VALUES.get(what, 0.0), way=direction, **trigger)


def draw_jobs(scenario: Scenario) -> list[PlannedJob]:
    """Return the jobs of a scenario in the order of their arrival times."""
    rng = Random(f"eiderfield jobs {scenario.seed}")
    shares = [job_class.share for job_class in scenario.job_classes]
    jobs: list[PlannedJob] = []
    at = 0.0
    for number in range(scenario.jobs):
        at += rng.expovariate(scenario.rate * _rate_factor(scenario, at))
        [job_class] = rng.choices(scenario.job_classes, shares)
        jobs.append(
            PlannedJob(
                job=f"j{number}",
                kind=job_class.name,
                at=at,
                run=rng.uniform(*job_class.run),
                key=f"k{scenario.seed}-{number}" if job_class.effect == "dedup" else "",
                deadline=job_class.deadline,
                asks_again=job_class.asks_again,
                slots=rng.randint(*job_class.slots) if job_class.slots[1] > 1 else 1,
            )
        )
    return jobs


def _rate_factor(scenario: Scenario, at: float) -> float:
    """Return the factor on the arrival rate at a time: the greatest of the current floods, 1 without one."""
    factors = [factor for since, lasts, factor in scenario.floods if since <= at < since + lasts]
    return max(factors, default=1.0)
