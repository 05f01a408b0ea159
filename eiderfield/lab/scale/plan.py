"""What a day is: its sizes, its requests and the settings of the dispatcher, all from one seed."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any

CLASS_NAME = "claim-status"
SUBJECTS = 10_000  # subjects that requests are drawn from, evenly: most requests of a day concern a new one
ZONES = ("a", "b", "c", "d")
DEADLINE_MS = 5000.0
SERVICE_MS = 80.0  # time that every request takes at its worker
DRAIN_GRACE_MS = 500.0


@dataclass(frozen=True, slots=True)
class DayPlan:
    """A day beside a fleet of one size."""

    workers: int
    rate: float  # requests a second
    seconds: float
    change_interval: float  # seconds between two changes of the list; each replaces one worker
    seed: int
    checkout: Path  # folder whose `eiderfield` package runs as the dispatcher
    profile: Path | None = None  # file for the dispatcher's cProfile figures


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """A request with its time in seconds from the day's start."""

    at: float
    request_id: str
    subject: str


def requests_of(plan: DayPlan) -> list[PlannedRequest]:
    """The day's requests: Poisson arrivals that depend on the seed, and not on the fleet's size."""
    random = Random(plan.seed)
    requests: list[PlannedRequest] = []
    at = random.expovariate(plan.rate)
    while at < plan.seconds:
        subject = f"{random.randrange(SUBJECTS):016x}"
        requests.append(PlannedRequest(at, f"{random.getrandbits(64):016x}", subject))
        at += random.expovariate(plan.rate)
    return requests


REQUEST_CLASS: dict[str, Any] = {
    "name": CLASS_NAME,
    "value": 5,
    "goal_time": 250,
    "give_up": DEADLINE_MS,
    "idempotency": "retryable",
}
POLICY_LIMITS: dict[str, Any] = {
    "cancel": True,
    "max_attempts": 5,
    "may_duplicate": False,
    "may_tell": False,
    "retry_after": True,
    "max_retry_after": 2000.0,
    "dial_timeout": 100.0,
    "conn_idle": 60_000.0,
}
RULES: dict[str, Any] = {
    "drain_grace": DRAIN_GRACE_MS,
    "cold": 5000.0,
    "start_capacity": 0.33,
    "fall": 1500.0,
    "fall_multiple": 2.5,
    "answer_slack": 8.0,
}


def dispatcher_config(plan: DayPlan, listen: str, discovery: str) -> dict[str, Any]:
    """Return the configuration of one dispatcher out of as many as there are workers."""
    return {
        "name": "n0",
        "listen": listen,
        "seed": plan.seed,
        "limits": {"sockets": 1024, "memory_mb": 192, "cores": 1.0},
        "discovery": {"address": discovery},
        "settings": {
            "balancers": plan.workers,
            "me": 0,
            "zones": list(ZONES),
            "kinds": ["std"],
            "locality": 0,
            "classes": [REQUEST_CLASS],
            "family_info": {"tells_start": True, "progress": 1000.0, "class_stretch": [2.5]},
            "policy_limits": POLICY_LIMITS,
            "rules": RULES,
        },
    }
