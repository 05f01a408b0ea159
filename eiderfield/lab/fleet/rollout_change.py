"""The description of a rolling change in a laboratory run, its plan file and its result."""

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

# The default `watch` table of a plan. Durations are in s; `rollout/plan_file.py` defines the keys.
DEFAULT_WATCH = {
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
    """An interval, from the start of a phase, in which the controller cannot reach a dispatcher's console."""

    phase: str
    seconds: float
    dispatcher: str


@dataclass(frozen=True, slots=True)
class OperatorRequest:
    """A command that an operator sends to the controller, `at` seconds after the supervisor is created."""

    at: float
    request: str


@dataclass(frozen=True, slots=True)
class FaultInPhase:
    """A fault that is injected when the change enters a phase."""

    phase: str
    fault: Fault


@dataclass(frozen=True, slots=True)
class Change:
    """A rolling change and the faults injected during it. `watch` overrides keys of `DEFAULT_WATCH`."""

    program: str = NO_FAULT  # a kind of `faulty_programs.py`, '' if only settings change
    settings: str = ""  # TOML that is merged into each dispatcher's file
    canary: int = 1  # dispatchers in the first stage
    shares: tuple[float, ...] = (0.5,)  # of the fleet, changed by the end of each later stage
    max_concurrent: int = 1  # dispatchers that may be changing at once
    watch: dict[str, float] = field(default_factory=dict)
    failpoints: tuple[str, ...] = ()  # the n-th controller is killed at the n-th of these
    lost_contacts: tuple[LostContact, ...] = ()
    faults: tuple[FaultInPhase, ...] = ()
    requests: tuple[OperatorRequest, ...] = ()
    decision: str = ""  # command sent once the change is held; '' leaves it held
    banned_worker: str = ""  # banned at every dispatcher before the change; '' for none
    first_program: Path = ROOT  # folder of the program that runs before the change

    @property
    def is_good(self) -> bool:
        """Whether the new program was built without a fault; False if only settings change."""
        return self.program == NO_FAULT


@dataclass
class ChangeResult:
    """The final state of a change, and what was measured during it."""

    phase: str
    stage: int
    why: str
    findings: list[Finding]
    counts: dict[str, int]
    versions: dict[str, str]  # by dispatcher, of its processes at the end: old, new, none or both
    bans_kept: bool
    attempts_to_banned: int  # received by the banned worker after its ban
    controllers: int  # started for the change, one after the other
    most_unavailable: int  # highest number of dispatchers without a ready process in one poll
    seconds: float  # from the supervisor's creation to the end of the change
    looks: int  # polls of the whole fleet, by all controllers
    cpu_seconds: float  # of the last controller
    memory_mb: float  # highest resident memory measured for a controller
    undo_seconds: float | None  # from the first watched stage to the end of the undo; None without an undo


def plan_text(change: Change, program: Path | None, dispatchers: Sequence[Dispatcher], folder: Path) -> str:
    """Return the TOML text of a change's plan, and write the new settings, if any, to `folder`.

    `program` is the folder of the new program, None if only settings change.
    """
    plan: dict[str, Any] = {"name": "lab", "change": {}, "watch": {**DEFAULT_WATCH, **change.watch}}
    if program is not None:
        plan["change"] |= {"program": str(program), "before": str(change.first_program)}
    if change.settings:
        (folder / SETTINGS_FILE).write_text(change.settings)
        plan["change"]["settings"] = SETTINGS_FILE
    plan["stages"] = {"canary": change.canary, "shares": list(change.shares), "out": change.max_concurrent}
    plan["dispatcher"] = [_dispatcher_entry(dispatcher) for dispatcher in dispatchers]
    return tomlkit.dumps(plan)


def _dispatcher_entry(dispatcher: Dispatcher) -> dict[str, Any]:
    settings = dispatcher.config["settings"]
    console, spare = dispatcher.consoles
    return {
        "name": dispatcher.name,
        "console": _address_text(console),
        "spare": _address_text(spare),
        "config": dispatcher.config_path.name,
        "start": [sys.executable, *START_ARGUMENTS, "{config}"],
        "environment": {"TMPDIR": str(dispatcher.temporary_folder)},
        "zone": settings["zones"][settings["locality"]],
    }


def _address_text(address: Address) -> str:
    host, port = address
    return f"{host}:{port}"
