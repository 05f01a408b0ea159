"""A rolling change on a fleet of real processes, amid jobs and faults, judged from the event logs.

What is changed is a program (a kind of `faulty_programs.py`, or a folder) or settings; what fails is what a
scenario says, and the controller, which may be lost at a named point again and again or lose contact with
consoles. What is asked of the run is asked of the logs, of the processes that are there in the end, and of
the change's own journal, in this order of trust.
"""

from __future__ import annotations

import time
from collections.abc import Iterable, Sequence
from http import HTTPStatus
from pathlib import Path

from eiderfield.lab.fleet.dispatcher import Dispatcher, Program
from eiderfield.lab.fleet.event_log import WORKER_EVENTS, Event, read_events
from eiderfield.lab.fleet.faulty_programs import build
from eiderfield.lab.fleet.fleet import Fleet
from eiderfield.lab.fleet.result import Result
from eiderfield.lab.fleet.rollout_change import Change, ChangeResult, plan_text
from eiderfield.lab.fleet.rollout_supervisor import ControllerSupervisor
from eiderfield.lab.fleet.scenario import Scenario
from eiderfield.lab.processes import LabError, call_console
from eiderfield.rollout.controller import LOG_FILE, begin_change
from eiderfield.rollout.journal import Journal, read_journal
from eiderfield.rollout.state import Phase

BAN_GRACE_S = 0.55  # after a ban, in which an attempt may still come in
CHANGE_FOLDER = "change"


def play_change(scenario: Scenario, change: Change, folder: Path) -> ChangeResult:
    """Plays a scenario, and leads a change meanwhile."""
    folder.mkdir(parents=True, exist_ok=True)
    program = build(change.program, folder / "program") if change.program else None
    programs = {name: Program(change.first_program) for name in scenario.dispatcher_names}
    with Fleet(scenario, folder, programs) as fleet:
        dispatchers = list(fleet.dispatchers.values())
        banned_at = ban_everywhere(dispatchers, change.banned_worker)
        plan = folder / "plan.toml"
        plan.write_text(plan_text(change, program, dispatchers, folder))
        begin_change(plan, folder / CHANGE_FOLDER)
        supervisor = ControllerSupervisor(folder / CHANGE_FOLDER, change)
        try:
            result = fleet.play(lambda: supervisor.step(fleet), lambda: supervisor.over)
        finally:
            supervisor.end_controller()
    return change_result(folder, change, result, supervisor, banned_at)


def ban_everywhere(dispatchers: Iterable[Dispatcher], worker: str) -> float:
    """Bans a worker at all dispatchers, if one is named; the time of the monotonic clock after that."""
    if worker:
        for dispatcher in dispatchers:
            if call_console(dispatcher.console, f"/-/workers/{worker}/disable", "POST")[0] != HTTPStatus.OK:
                raise LabError(f"{dispatcher.name} does not ban {worker}")
    return time.monotonic()


def change_result(
    folder: Path, change: Change, result: Result, supervisor: ControllerSupervisor, banned_at: float
) -> ChangeResult:
    """What came of a change that has been played in a folder."""
    journal = read_journal(folder / CHANGE_FOLDER)
    log = folder / CHANGE_FOLDER / LOG_FILE
    looks = [entry for entry in read_events(log) if entry.get("event") == "look"]
    workers = read_events(folder / WORKER_EVENTS)
    return ChangeResult(
        phase=journal.state.phase,
        stage=journal.state.stage,
        why=journal.state.reason,
        findings=result.findings,
        counts=result.counts,
        versions=supervisor.versions,
        bans_kept=supervisor.bans_kept,
        attempts_to_banned=attempts_after(workers, change.banned_worker, banned_at + BAN_GRACE_S),
        controllers=supervisor.controllers,
        most_unavailable=max([unavailable_in(look) for look in looks], default=0),
        seconds=supervisor.seconds,
        looks=len(looks),
        cpu_seconds=supervisor.cpu_seconds,
        memory_mb=supervisor.memory_mb,
        undo_seconds=undo_seconds(journal),
    )


def attempts_after(workers: Sequence[Event], worker: str, since: float) -> int:
    """How many attempts came to a worker after a time."""
    return sum(
        event["what"] == "came" and event["worker"] == worker and event["t"] > since for event in workers
    )


def unavailable_in(look: Event) -> int:
    """The dispatchers that a look of the controller found without a ready process."""
    return sum(not (seen["alive"] and seen["ready"]) for seen in look["seen"])


def undo_seconds(journal: Journal) -> float | None:
    """From the first watch to the undo's end; None where nothing was undone."""
    if journal.state.phase not in (Phase.UNDONE, Phase.STUCK):
        return None
    first = next((entry.time for entry in journal.entries if entry.phase is Phase.WATCHING), None)
    return None if first is None else journal.entries[-1].time - first
