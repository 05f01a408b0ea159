"""The scenario of a fleet run: the size of the fleet, its load, and the faults with their start times.

A scenario is read from a TOML file (`scenario_file.py`) or drawn from a seed (`scenario_draw.py`). The field
names of `Scenario` and `Fault` are the keys of the file.

A fault starts at a time (`at`, in s from the start of the load) or at an event (`on`): "begun:20" is the
event that the workers have begun 20 attempts in total, "begun:n1:3" that they have begun three attempts of
dispatcher n1. `after` delays the start by that many seconds. A fault with a duration (`lasts`, in s) ends
by itself after it.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import asdict, dataclass, field
from typing import Any

from eiderfield.errors import EiderfieldError

# The faults of each kind of target, each with whether it may have a duration (`lasts`).
FAULTS: dict[str, dict[str, bool]] = {
    "dispatcher": {
        "kill": True,
        "stop": True,
        "term": True,
        "descriptors": True,
        "memory": True,
        "disk": True,
    },
    "worker": {"drain": True, "gone": True, "restart": True, "fail": True, "silent": True, "slow": True},
    "link": {"cut": True, "delay": True, "drip": True, "reset": False, "half": False},
    "source": {"late": True, "silent": True},
}
# Faults of a process's limits. None is drawn, so that each seed keeps drawing the same scenario.
RESOURCE_FAULTS = ("descriptors", "memory", "disk")
DIRECTIONS = ("both", "there", "back")
DISCOVERY_KINDS = ("platform", "consul")
EFFECTS = ("retryable", "dedup", "fragile")  # safe to repeat, safe with a key, unsafe
DISCOVERY = "source"  # the name of service discovery as a fault's target
ONLY_ZONE = "here"  # the name of the zone in a scenario with one zone

EVENT_PATTERN = re.compile(r"(begun)(?::(n\d+))?:([1-9]\d*)\Z")
LINK_PATTERN = re.compile(r"(c|n\d+|n\*)>(n\d+|n\*|w\d+|w\*|source)\Z")


class ScenarioError(EiderfieldError, ValueError):
    """A key of a scenario is missing or has a wrong value. The message begins with the key."""


@dataclass(frozen=True, slots=True)
class JobClass:
    """A class of jobs. `run` and `slots` are ranges (least, greatest) from which each job's value is drawn.

    `run` is the running time in ms, `slots` the number of worker slots that the job occupies while it runs.
    The latency objective of a job is `goal` (ms) plus `stretch` times its running time. `deadline` is in ms.
    `share` is the weight of the class when the jobs of a scenario are drawn. `worth` is the class's value in
    the dispatchers' settings, and `effect`, one of `EFFECTS`, says how a job may be repeated.
    """

    name: str
    effect: str
    share: float
    run: tuple[float, float]
    worth: float = 1.0
    deadline: float = 6000.0
    slots: tuple[int, int] = (1, 1)
    goal: float = 300.0
    stretch: float = 2.0
    asks_again: bool = True  # whether a client retries at another dispatcher when its connection breaks


JOB_CLASSES: tuple[JobClass, ...] = (
    JobClass("lookup", "retryable", 0.5, (40.0, 160.0)),
    JobClass("report", "dedup", 0.35, (60.0, 240.0), 3.0),
    JobClass("confirm", "fragile", 0.15, (80.0, 320.0), 2.0, asks_again=False),
)


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault `what` of the target `who`. `way` is the direction in which a link is cut.

    The meaning of `value` depends on the fault:

        delay, late    delay in ms
        drip           bytes per second
        slow           factor by which the running time of jobs grows
        descriptors    limit on open file descriptors
        memory         MB that the process may allocate beyond its present size
        disk           limit on the size of a written file in bytes; at 0 every write fails, above it a write
                       that crosses the limit is cut short
    """

    what: str
    who: str
    at: float | None = None
    on: str = ""
    after: float = 0.0
    lasts: float = 0.0
    way: str = "both"
    value: float = 0.0


@dataclass(frozen=True, slots=True)
class Scenario:
    """The parameters of a run. Times are in s, except where a field's comment or `JobClass` says ms."""

    name: str = "plain"
    seed: int = 1
    dispatchers: int = 3
    workers: int = 6
    slots: int = 3  # of each worker
    queue: int = 8  # jobs that may wait at each worker
    cell: int = 3  # workers in a group; a group runs a keyed job once and gives its result to repeats
    window: float = 4000.0  # ms in which a group recognises the repeat of a keyed job
    jobs: int = 150
    rate: float = 50.0  # jobs per second
    retries: int = 2  # of a client for each job
    notice: float = 1.0  # delay until clients avoid a failed dispatcher, or use a continued one again
    zones: int = 1  # dispatchers and groups of workers are assigned to zones in rotation
    source: str = "platform"  # the kind of service discovery, one of DISCOVERY_KINDS
    drain_grace: float = 500.0  # ms
    cold: float = 4000.0  # ms of slow start after a worker's restart
    cold_share: float = 0.3  # of its usual speed that a worker has just after its restart
    fall: float = 1000.0  # ms of the recovery ramp
    fall_multiple: float = 2.5  # the most work sent during the ramp, relative to the worker's capacity
    progress: float = 300.0  # ms between two progress reports of a running job
    floods: tuple[tuple[float, float, float], ...] = ()  # (start, duration, factor on `rate`)
    faults: tuple[Fault, ...] = ()
    job_classes: tuple[JobClass, ...] = JOB_CLASSES
    one_id: bool = False  # whether a client sends all attempts of a job under the same id
    asks_both: bool = False  # whether a client sends each retry to two dispatchers at once
    # The table [custody] of the dispatchers' configuration; empty: no durable requests.
    custody: Mapping[str, Any] = field(default_factory=dict)
    # Settings of the dispatchers, which override those derived from the scenario.
    settings: Mapping[str, Any] = field(default_factory=dict)

    @property
    def dispatcher_names(self) -> list[str]:
        """The names of all dispatchers."""
        return [f"n{number}" for number in range(self.dispatchers)]

    @property
    def worker_names(self) -> list[str]:
        """The names of all workers."""
        return [f"w{number}" for number in range(self.workers)]

    @property
    def zone_names(self) -> list[str]:
        """The names of all zones."""
        return [ONLY_ZONE] if self.zones == 1 else [f"z{number}" for number in range(self.zones)]

    def zone_of(self, name: str) -> str:
        """Return the zone of a dispatcher or worker."""
        if self.zones == 1:
            return ONLY_ZONE
        number = int(name[1:]) if name[0] == "n" else int(name[1:]) // self.cell
        return f"z{number % self.zones}"

    def to_plain(self) -> dict[str, Any]:
        """Return the scenario as values that JSON can hold, to be stored in the run's folder."""
        plain = asdict(self)
        plain["settings"], plain["custody"] = dict(self.settings), dict(self.custody)
        return plain


def target_kind(target: str) -> str:
    """Return the kind of a fault's target, a key of `FAULTS`, or '' if the name is of no kind."""
    if ">" in target:
        return "link"
    return {"n": "dispatcher", "w": "worker", "s": "source"}.get(target[:1], "")


def parse_event(text: str) -> tuple[str, int]:
    """Return the dispatcher of an event ('' for all) and the number of begun attempts that it stands for."""
    match = EVENT_PATTERN.match(text)
    if match is None:
        raise ScenarioError(f"on is not an event such as begun:20 or begun:n0:1: {text!r}")
    return match[2] or "", int(match[3])
