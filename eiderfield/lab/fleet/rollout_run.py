"""Runs a rolling change on a fleet of real processes under load and faults, and collects its result.

The change replaces the program (by a kind of `faulty_programs.py`), the settings, or both. The scenario's
faults are injected meanwhile; the controller may also be killed at named points or lose contact with
consoles. The result is taken from three sources, from the most to the least trusted: the event logs, the
processes that run at the end, and the change's journal.
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

BAN_GRACE_S = 0.55  # time after a ban in which the worker may still receive attempts
CHANGE_FOLDER = "change"


def play_change(scenario: Scenario, change: Change, folder: Path) -> ChangeResult:
    """Run a scenario in `folder`, carry out a change during it, and return the result of the change."""
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
    """Ban `worker` at all dispatchers unless it is '', and return the monotonic time after that."""
    if worker:
        for dispatcher in dispatchers:
            if call_console(dispatcher.console, f"/-/workers/{worker}/disable", "POST")[0] != HTTPStatus.OK:
                raise LabError(f"{dispatcher.name} refused to ban {worker}")
    return time.monotonic()


def change_result(
    folder: Path, change: Change, result: Result, supervisor: ControllerSupervisor, banned_at: float
) -> ChangeResult:
    """Return the result of the change that was run in `folder`."""
    journal = read_journal(folder / CHANGE_FOLDER)
    log = folder / CHANGE_FOLDER / LOG_FILE
    polls = [entry for entry in read_events(log) if entry.get("event") == "look"]
    worker_events = read_events(folder / WORKER_EVENTS)
    return ChangeResult(
        phase=journal.state.phase,
        stage=journal.state.stage,
        why=journal.state.reason,
        findings=result.findings,
        counts=result.counts,
        versions=supervisor.versions,
        bans_kept=supervisor.bans_kept,
        attempts_to_banned=attempts_after(worker_events, change.banned_worker, banned_at + BAN_GRACE_S),
        controllers=supervisor.controllers,
        most_unavailable=max([unavailable_in(poll) for poll in polls], default=0),
        seconds=supervisor.seconds,
        looks=len(polls),
        cpu_seconds=supervisor.cpu_seconds,
        memory_mb=supervisor.memory_mb,
        undo_seconds=undo_seconds(journal),
    )


def attempts_after(worker_events: Sequence[Event], worker: str, since: float) -> int:
    """Return how many attempts `worker` received after the monotonic time `since`."""
    return sum(
        event["what"] == "came" and event["worker"] == worker and event["t"] > since
        for event in worker_events
    )


def unavailable_in(poll: Event) -> int:
    """Return how many dispatchers had no ready process in a poll of the controller."""
    return sum(not (seen["alive"] and seen["ready"]) for seen in poll["seen"])


def undo_seconds(journal: Journal) -> float | None:
    """Return the time in s from the first watched stage to the end of the undo; None without an undo."""
    if journal.state.phase not in (Phase.UNDONE, Phase.STUCK):
        return None
    first = next((entry.time for entry in journal.entries if entry.phase is Phase.WATCHING), None)
    return None if first is None else journal.entries[-1].time - first
