"""What a run of the fleet is: how many of what, which jobs, and which faults at which moment.

A scenario is a TOML file (`scenario_file.py`) or drawn from a seed (`scenario_draw.py`). Its field names
are the file's keys. A fault comes at a time (`at`, in s from the first job) or at an event: `on =
"begun:20"` is the moment the workers have begun 20 jobs in all, `on = "begun:n1:3"` the third from
dispatcher n1. Both may be followed by `after`. It ends by itself after `lasts`, where it has an end.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import asdict, dataclass, field
from typing import Any

from eiderfield.errors import EiderfieldError

# Faults by the kind of their target, and whether one ends after `lasts`.
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
RESOURCE_FAULTS = ("descriptors", "memory", "disk")  # never drawn: what a seed draws stays as it was
DIRECTIONS = ("both", "there", "back")
DISCOVERY_KINDS = ("platform", "consul")
EFFECTS = ("retryable", "dedup", "fragile")
DISCOVERY = "source"  # discovery's name as a target
ONLY_ZONE = "here"

EVENT_PATTERN = re.compile(r"(begun)(?::(n\d+))?:([1-9]\d*)\Z")
LINK_PATTERN = re.compile(r"(c|n\d+|n\*)>(n\d+|n\*|w\d+|w\*|source)\Z")


class ScenarioError(EiderfieldError, ValueError):
    """A key that is missing or wrong. The text begins with it."""


@dataclass(frozen=True, slots=True)
class JobClass:
    """A class of jobs; `run` is how long they run, from and to, in ms; `slots` how many they take meanwhile.

    `goal` and `stretch` are its latency objective: so many ms, and so many times its own running time more.
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
    asks_again: bool = True  # whether a client whose connection broke asks another dispatcher


JOB_CLASSES: tuple[JobClass, ...] = (
    JobClass("lookup", "retryable", 0.5, (40.0, 160.0)),
    JobClass("report", "dedup", 0.35, (60.0, 240.0), 3.0),
    JobClass("confirm", "fragile", 0.15, (80.0, 320.0), 2.0, asks_again=False),
)


@dataclass(frozen=True, slots=True)
class Fault:
    """Something that goes wrong.

    `value` is ms of a delay, bytes a second of a drip, a count of descriptors, MB that a process may take
    beyond what it has, bytes that a file which it writes may have (0: every write fails, more: a longer one
    is torn), or how many times slower; `way` is the direction in which a link is cut.
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
    """A run. Times are in s, but those of jobs and settings, which are in ms."""

    name: str = "plain"
    seed: int = 1
    dispatchers: int = 3
    workers: int = 6
    slots: int = 3
    queue: int = 8
    cell: int = 3  # workers of a group, which drop the repeat of a keyed job
    window: float = 4000.0
    jobs: int = 150
    rate: float = 50.0
    retries: int = 2
    notice: float = 1.0  # after which the front knows that a dispatcher is gone, or back
    zones: int = 1  # cells of workers, and dispatchers, take turns among them
    source: str = "platform"  # or consul: the discovery that lists the workers
    drain_grace: float = 500.0
    cold: float = 4000.0
    cold_share: float = 0.3
    fall: float = 1000.0
    fall_multiple: float = 2.5
    progress: float = 300.0
    floods: tuple[tuple[float, float, float], ...] = ()  # from, for so long, so many times the rate
    faults: tuple[Fault, ...] = ()
    job_classes: tuple[JobClass, ...] = JOB_CLASSES
    one_id: bool = False  # whether a client that asks again does so with the id of its first attempt
    asks_both: bool = False  # whether a client whose connection broke asks two dispatchers at once
    custody: Mapping[str, Any] = field(default_factory=dict)  # the dispatchers' table; empty: off
    settings: Mapping[str, Any] = field(
        default_factory=dict
    )  # of the dispatchers, over those of the scenario

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
        """The zone of a dispatcher or worker."""
        if self.zones == 1:
            return ONLY_ZONE
        number = int(name[1:]) if name[0] == "n" else int(name[1:]) // self.cell
        return f"z{number % self.zones}"

    def to_plain(self) -> dict[str, Any]:
        """The scenario as plain values, for the run's folder."""
        plain = asdict(self)
        plain["settings"], plain["custody"] = dict(self.settings), dict(self.custody)
        return plain


def target_kind(target: str) -> str:
    """What a target is by its name: a key of `FAULTS`, or '' for none of them."""
    if ">" in target:
        return "link"
    return {"n": "dispatcher", "w": "worker", "s": "source"}.get(target[:1], "")


def parse_event(text: str) -> tuple[str, int]:
    """The dispatcher of an event ('' for all) and the count at which it comes."""
    match = EVENT_PATTERN.match(text)
    if match is None:
        raise ScenarioError(f"on is no event: {text!r}")
    return match[2] or "", int(match[3])
