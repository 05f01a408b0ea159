"""A rolling change that a run leads: what is changed, what fails meanwhile, and what came of it."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import tomlkit

from eiderfield.config.address import Address
from eiderfield.lab.fleet.child import ROOT
from eiderfield.lab.fleet.dispatcher import START_ARGUMENTS, Dispatcher
from eiderfield.lab.fleet.faulty_programs import NO_FAULT
from eiderfield.lab.fleet.rules import Finding
from eiderfield.lab.fleet.scenario import Fault

# The plan's `watch` table, unless a change sets it; times in s.
USUAL_WATCH = {
    "seconds": 60.0,
    "before": 4.0,
    "look": 0.25,
    "settle": 1.0,
    "ready": 8.0,
    "worse": 0.08,
    "descriptors": 3.0,
    "slower": 0.5,
}
SETTINGS_FILE = "over.toml"


@dataclass(frozen=True, slots=True)
class LostContact:
    """A time from a phase on in which the controller cannot reach a dispatcher's console."""

    phase: str
    seconds: float
    dispatcher: str


@dataclass(frozen=True, slots=True)
class OperatorRequest:
    """What an operator asks of the change at a time, in s from the first job."""

    at: float
    request: str


@dataclass(frozen=True, slots=True)
class FaultInPhase:
    """A fault that begins when the change is in a phase."""

    phase: str
    fault: Fault


@dataclass(frozen=True, slots=True)
class Change:
    """What is changed, and how the change is led. `watch` holds keys of the plan's table."""

    program: str = NO_FAULT  # a kind of `faulty_programs.py`, '' for none: then settings alone
    settings: str = ""  # TOML that is laid over each dispatcher's file
    canary: int = 1
    shares: tuple[float, ...] = (0.5,)
    out: int = 1
    watch: dict[str, float] = field(default_factory=dict)
    failpoints: tuple[str, ...] = ()  # at which controllers are lost, one after the other
    lost_contacts: tuple[LostContact, ...] = ()
    faults: tuple[FaultInPhase, ...] = ()
    requests: tuple[OperatorRequest, ...] = ()
    decision: str = ""  # what operators decide of a held change, '' for nothing: it stays held
    banned_worker: str = ""  # a worker that is banned at every dispatcher before the change
    first_program: Path = ROOT  # the folder of the program that runs at first

    @property
    def is_good(self) -> bool:
        """Whether the new program is no worse than the old one."""
        return self.program == NO_FAULT


@dataclass
class ChangeResult:
    """What came of a change."""

    phase: str
    stage: int
    why: str
    findings: list[Finding]
    counts: dict[str, int]
    versions: dict[str, str]  # of each dispatcher's last processes: old, new, none, both
    bans_kept: bool
    attempts_to_banned: int  # that came to the banned worker after its ban
    controllers: int  # that led the change
    most_unavailable: int  # dispatchers of which no process was ready at once, at any look
    seconds: float  # from the first job to the end of the change
    looks: int  # at the whole fleet, by all controllers
    cpu_seconds: float  # of the controller that led last
    memory_mb: float  # the most that a controller was seen to hold
    undo_seconds: float | None  # from the first look at which a new process was ready to the undo's end


def plan_text(change: Change, program: Path | None, dispatchers: Sequence[Dispatcher], folder: Path) -> str:
    """The plan of a change for the controller; `program` is the folder of the new one, if there is one."""
    plan: dict[str, Any] = {"name": "lab", "change": {}, "watch": {**USUAL_WATCH, **change.watch}}
    if program is not None:
        plan["change"] |= {"program": str(program), "before": str(change.first_program)}
    if change.settings:
        (folder / SETTINGS_FILE).write_text(change.settings)
        plan["change"]["settings"] = SETTINGS_FILE
    plan["stages"] = {"canary": change.canary, "shares": list(change.shares), "out": change.out}
    plan["dispatcher"] = [_dispatcher_entry(dispatcher) for dispatcher in dispatchers]
    return tomlkit.dumps(plan)


def _dispatcher_entry(dispatcher: Dispatcher) -> dict[str, Any]:
    settings = dispatcher.config["settings"]
    console, spare = dispatcher.consoles
    return {
        "name": dispatcher.name,
        "console": _text(console),
        "spare": _text(spare),
        "config": dispatcher.config_path.name,
        "start": [sys.executable, *START_ARGUMENTS, "{config}"],
        "environment": {"TMPDIR": str(dispatcher.temporary_folder)},
        "zone": settings["zones"][settings["locality"]],
    }


def _text(address: Address) -> str:
    host, port = address
    return f"{host}:{port}"
