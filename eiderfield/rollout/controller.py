"""Leads a change: polls the fleet, lets the state machine decide, writes that down, and carries it out.

Every decision is in the journal before it is carried out. Where the journal cannot be written, no decision
counts: the state machine returns to what was written last, as the next controller would, and decides anew. A
controller may be lost between any two of its steps; the next one reads the journal, observes what runs, and
continues. `failpoint` is called with the name of each step, so that the laboratory can end a controller
there.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from contextlib import suppress
from pathlib import Path
from typing import Any, NamedTuple
from uuid import uuid4

import structlog

from eiderfield.config.errors import ConfigError
from eiderfield.durable import SHARED_MODE, append_line, replace_file
from eiderfield.rollout.actions import Action
from eiderfield.rollout.errors import JournalError, JournalWriteError, ProcessError
from eiderfield.rollout.journal import JOURNAL_FILE, Journal, read_journal
from eiderfield.rollout.journal_codec import JournalContent, MoveRecord, action_name, encode_action
from eiderfield.rollout.locks import DispatcherLocks
from eiderfield.rollout.measurement import WindowMeter
from eiderfield.rollout.observation import Observation
from eiderfield.rollout.operator_command import CommandFile
from eiderfield.rollout.plan import Plan
from eiderfield.rollout.plan_file import parse_plan
from eiderfield.rollout.processes import ProcessManager
from eiderfield.rollout.settings import prepare_settings
from eiderfield.rollout.state import Phase, RolloutState
from eiderfield.rollout.state_machine import RolloutStateMachine

PLAN_FILE = "plan.toml"  # in a change's folder: the plan as it was at the start
BASE_FILE = "base"  # in a change's folder: the folder that the plan's paths are relative to
LOG_FILE = "rollout.log"
CHANGE_ID_DIGITS = 12


class LoadedPlan(NamedTuple):
    """The plan of a change, and the folder that its paths are relative to."""

    plan: Plan
    base: Path


class _Position(NamedTuple):
    """The part of a state that is written as soon as it changes."""

    phase: Phase
    stage: int
    reason: str

    @classmethod
    def of(cls, state: RolloutState) -> _Position:
        """Return the position of a state."""
        return cls(state.phase, state.stage, state.reason)


def begin_change(plan_file: Path, folder: Path) -> None:
    """Make the folder of a new change.

    Raises:
        ConfigError: the plan is faulty.
        JournalError: the folder holds a change already, or cannot be written.
    """
    try:
        _make_folder(plan_file, folder)
    except OSError as error:
        raise JournalError(folder, str(error.strerror)) from None


def _make_folder(plan_file: Path, folder: Path) -> None:
    text = plan_file.read_text(encoding="utf-8")
    plan = parse_plan(text)
    base = plan_file.resolve().parent
    for key, program in (("program", plan.program), ("before", plan.previous_program)):
        if program and not (base / program / "eiderfield").is_dir():
            raise ConfigError(f"change.{key}: no package eiderfield in {base / program}")
    if (folder / JOURNAL_FILE).exists():
        raise JournalError(folder, "holds a change already: resume it, undo it, or name another folder")
    folder.mkdir(parents=True, exist_ok=True)
    prepare_settings(plan, base, folder)
    replace_file(folder / PLAN_FILE, text, SHARED_MODE)
    replace_file(folder / BASE_FILE, str(base), SHARED_MODE)
    content = JournalContent(plan.digest, uuid4().hex[:CHANGE_ID_DIGITS])
    Journal(folder, content).write(time.time())


def load_plan(folder: Path) -> LoadedPlan:
    """Return the plan of the change in `folder`.

    Raises:
        JournalError: the folder holds no change.
    """
    try:
        text = (folder / PLAN_FILE).read_text(encoding="utf-8")
        base = Path((folder / BASE_FILE).read_text(encoding="utf-8"))
    except OSError as error:
        raise JournalError(folder, f"holds no change: {error}") from None
    return LoadedPlan(parse_plan(text), base)


def _ignore_failpoint(_name: str) -> None:
    """Continue."""


def _ignore_progress(_state_machine: RolloutStateMachine) -> None:
    """Report nothing."""


class Controller:
    """Leads the change in a folder. It holds the locks of the fleet until `close`.

    Args:
        folder: The folder of the change.
        failpoint: Called with the name of each step.
        manager: The class that observes and changes processes.
        clock: A steady clock in s.

    Raises:
        JournalError: the folder holds no change that can be continued.
        LockError: another controller changes a dispatcher of the plan.
    """

    def __init__(
        self,
        folder: Path,
        failpoint: Callable[[str], None] = _ignore_failpoint,
        manager: type[ProcessManager] = ProcessManager,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.plan, base = load_plan(folder)
        self.journal = read_journal(folder, self.plan)
        self.commands = CommandFile(folder)
        self._failpoint = failpoint
        self._clock = clock
        self._journal_is_stale = False  # the present state is still to be written
        self._locks = DispatcherLocks(self.plan)
        try:
            files = prepare_settings(self.plan, base, folder)
            self.state_machine = RolloutStateMachine(self.plan, self.journal.state)
            self.processes = manager(
                self.plan, self.journal.content.change_id, base, folder, files, self.journal.processes
            )
        except BaseException:
            self._locks.close()
            raise
        self._windows = WindowMeter()
        self._log = _open_log(folder / LOG_FILE)
        self._polled_at = self._clock()
        self._log.info("leads", plan=self.plan.name, phase=self.state_machine.state.phase)

    def close(self) -> None:
        """Release the locks of the fleet, whose processes go on."""
        self.processes.close()
        self._locks.close()

    def run(self, report: Callable[[RolloutStateMachine], None] = _ignore_progress) -> Phase:
        """Lead the change to its end, calling `report` after each poll. Returns the final phase."""
        while True:
            self.poll()
            report(self.state_machine)
            if self.state_machine.is_over and self.commands.pending() is None:
                return self.state_machine.state.phase
            next_poll = self._polled_at + self.plan.watch.poll_interval
            time.sleep(max(0.0, next_poll - self._clock()))

    def poll(self) -> None:
        """Poll the fleet once, and carry out what follows."""
        now = self._clock()
        duration, self._polled_at = now - self._polled_at, now
        if self._journal_is_stale and not self._write_journal():
            return
        self._handle_command()
        position = _Position.of(self.state_machine.state)
        actions = self._decide(now, duration)
        self._failpoint("looked")
        if actions or _Position.of(self.state_machine.state) != position:
            self.journal.content.processes = self.processes.known_processes
            if not self._write_journal():
                return
            self._failpoint("written")
        for action in actions:
            self._carry_out(action)
        if actions:
            self.journal.content.processes = self.processes.known_processes
            if self._write_journal():
                self._failpoint("done")

    def _decide(self, now: float, duration: float) -> Sequence[Action]:
        machine = self.state_machine
        reports = self.processes.poll()
        processes = {member: [report.status for report in of_member] for member, of_member in reports.items()}
        observations = self._windows.add_poll(reports, machine.changed_members(processes), machine.stopping)
        actions = machine.step(now, duration, processes, observations)
        ratios = machine.log_likelihood_ratios
        self._log.info(
            "look",
            phase=machine.state.phase,
            stage=machine.state.stage,
            why=machine.state.reason,
            evidence={name: round(ratio, 2) for name, ratio in ratios.items()},
            seen=[_encode_observation(observation) for observation in observations],
        )
        return actions

    def _handle_command(self) -> None:
        command = self.commands.pending()
        if command is None:
            return
        refusal = self.state_machine.apply_command(command)
        self._log.info("word", word=command, refused=refusal)
        if self._write_journal(refusal or f"{command}: command of an operator"):
            self.commands.mark_handled()

    def _write_journal(self, note: str = "") -> bool:
        """Write the journal. Where the system refuses, return to the state that was written last."""
        try:
            self.journal.write(time.time(), note)
        except JournalWriteError as error:
            self._log.error("journal", error=str(error))
            self.journal.restore()
            self.state_machine = RolloutStateMachine(self.plan, self.journal.state)
            self._journal_is_stale = True
            return False
        self._journal_is_stale = False
        return True

    def _carry_out(self, action: Action) -> None:
        name = action_name(action)
        self.journal.append_move(MoveRecord(time.time(), action))
        self._failpoint(f"before {name}")
        try:
            outcome = self.processes.execute(action)
        except ProcessError as error:
            outcome = f"failed: {error}"
        self._failpoint(f"after {name}")
        self.journal.append_move(MoveRecord(time.time(), action, outcome))
        self._log.info("move", came=outcome, **encode_action(action))


class _LogFile:
    """Writes each log line by itself. Lines that the disk refuses are lost, and the change goes on."""

    def __init__(self, path: Path) -> None:
        self._path = path

    def msg(self, line: str) -> None:
        """Append a line."""
        with suppress(OSError):
            append_line(self._path, line)

    debug = info = warning = error = msg


def _open_log(path: Path) -> Any:
    """Return a structlog logger that writes JSON lines to `path`."""
    return structlog.wrap_logger(
        _LogFile(path),
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.JSONRenderer(),
        ],
    )


def _encode_observation(observation: Observation) -> dict[str, Any]:
    """Return an observation as `rollout.log` holds it."""
    return {
        "name": observation.dispatcher,
        "new": observation.is_new,
        "alive": observation.alive,
        "ready": observation.ready,
        "asked": dict(observation.completed),
        "in_time": dict(observation.in_time),
        "descriptors": observation.descriptors,
        "memory": round(observation.memory, 1),
    }
