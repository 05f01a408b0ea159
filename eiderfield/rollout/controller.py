"""Leads a change: looks, asks the course what to do, writes that down, and does it, until the change is over.

Whatever the course decides is in the journal before it is done. Where the journal cannot be written, nothing
that was decided counts: the course goes back to what was written last, as the next controller would, and
decides anew. The controller may be lost between any two
of its steps; the next one reads the journal, sees what runs, and goes on. `point` is called at each step with
its name, so that the laboratory can lose a controller just there.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any
from uuid import uuid4

import structlog

from eiderfield.config.errors import ConfigError
from eiderfield.durable import SHARED_MODE, append_line, replace_file
from eiderfield.rollout.journal import Journal, JournalError, JournalWriteError, Locks, read
from eiderfield.rollout.measurement import WindowMeter
from eiderfield.rollout.plan import Plan
from eiderfield.rollout.plan_file import parse_plan
from eiderfield.rollout.processes import ProcessError, ProcessManager
from eiderfield.rollout.reconciler import Action
from eiderfield.rollout.settings import prepare
from eiderfield.rollout.state_machine import RolloutStateMachine

PLAN = "plan.toml"  # in a change's folder: the plan as it was at the start
_STORED_NAMES = {"version": "side"}  # of an action's fields, in `moves.jsonl`
BASE = "base"  # the folder that the plan's paths are told from


def begin(plan_file: Path, folder: Path) -> None:
    """Makes a change's folder; `JournalError` if it is there already or cannot be written, `ConfigError` if
    the plan is faulty."""
    try:
        _begin(plan_file, folder)
    except OSError as error:
        raise JournalError(f"{folder}: {error.strerror}") from None


def _begin(plan_file: Path, folder: Path) -> None:
    plan = parse_plan(plan_file.read_text(encoding="utf-8"))
    base = plan_file.resolve().parent
    for what, program in (("program", plan.program), ("before", plan.previous_program)):
        if program and not (base / program / "eiderfield").is_dir():
            raise ConfigError(f"change.{what}: no package eiderfield in {base / program}")
    if (folder / "journal.json").exists():
        raise JournalError(f"{folder} holds a change already: resume it, undo it, or name another folder")
    folder.mkdir(parents=True, exist_ok=True)
    prepare(plan, base, folder)
    replace_file(folder / PLAN, plan_file.read_text(encoding="utf-8"), SHARED_MODE)
    replace_file(folder / BASE, str(base), SHARED_MODE)
    Journal(folder, plan.digest, uuid4().hex[:12]).write(time.time())


def plan_of(folder: Path) -> tuple[Plan, Path]:
    """The plan of a change's folder, and the folder that its paths are told from."""
    try:
        text = (folder / PLAN).read_text(encoding="utf-8")
        base = Path((folder / BASE).read_text(encoding="utf-8"))
    except OSError as error:
        raise JournalError(f"{folder} holds no change: {error}") from None
    return parse_plan(text), base


class Controller:
    """Leads the change of a folder. It holds the fleet's locks from its making to `close`."""

    def __init__(
        self,
        folder: Path,
        point: Callable[[str], None] = lambda name: None,
        manager: type[ProcessManager] = ProcessManager,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.plan, base = plan_of(folder)
        self.journal = read(folder, self.plan)
        self._point = point
        self._clock = clock
        self._unwritten = False  # whether the last word of the journal is still to be written
        self._locks = Locks(self.plan)
        try:
            texts = prepare(self.plan, base, folder)
            self.course = RolloutStateMachine(self.plan, self.journal.state)
            self._processes = manager(self.plan, self.journal.id, base, folder, texts, self.journal.processes)
        except BaseException:
            self._locks.close()
            raise
        self._windows = WindowMeter()
        self._log = structlog.wrap_logger(
            _LogFile(folder / "rollout.log"),
            processors=[
                structlog.processors.add_log_level,
                structlog.processors.TimeStamper(fmt="iso"),
                structlog.processors.JSONRenderer(),
            ],
        )
        self._last = self._clock()
        self._log.info("leads", plan=self.plan.name, phase=self.course.state.phase)

    def close(self) -> None:
        """Lets go of the fleet, whose processes go on."""
        self._processes.close()
        self._locks.close()

    def run(self, told: Callable[[RolloutStateMachine], None] = lambda course: None) -> str:
        """Leads to the end; `told` is called after each look. Returns the phase in which it ended."""
        while True:
            self.turn()
            told(self.course)
            if self.course.over and not self.journal.wish():
                return self.course.state.phase
            time.sleep(max(0.0, self._last + self.plan.watch.poll_interval - self._clock()))

    def turn(self) -> None:
        """One look, and what follows from it."""
        now = self._clock()
        span, self._last = now - self._last, now
        if self._unwritten and not self._write():
            return
        self._heed()
        course, journal = self.course, self.journal
        before = (course.state.phase, course.state.stage, course.state.why)
        told = self._processes.look()
        found = {name: [one.found for one in there] for name, there in told.items()}
        seen = self._windows.look(told, course.changed_members(found), course.ending)
        actions = course.look(now, span, found, seen)
        self._log.info(
            "look",
            phase=course.state.phase,
            stage=course.state.stage,
            why=course.state.why,
            evidence={name: round(value, 2) for name, value in course.evidence.items()},
            seen=[_brief(one) for one in seen],
        )
        self._point("looked")
        processes = self._processes.known_processes
        if actions or (course.state.phase, course.state.stage, course.state.why) != before:
            journal.processes = processes
            if not self._write():
                return
            self._point("written")
        for move in actions:
            self._do(move)
        if actions:
            journal.processes = self._processes.known_processes
            if self._write():
                self._point("done")

    def _heed(self) -> None:
        if word := self.journal.wish():
            why = self.course.obey(word)
            self._log.info("word", word=word, refused=why)
            if self._write(why or f"{word}, as asked"):
                self.journal.heeded()

    def _write(self, note: str = "") -> bool:
        """Writes the journal. Where the system refuses it, the course goes back to what was written last."""
        try:
            self.journal.write(time.time(), note)
        except JournalWriteError as error:
            self._log.error("journal", error=str(error))
            self.journal.go_back()
            self.course = RolloutStateMachine(self.plan, self.journal.state)
            self._unwritten = True
            return False
        self._unwritten = False
        return True

    def _do(self, move: Action) -> None:
        what = {"move": type(move).__name__.lower(), **_plain(move)}
        self.journal.note(t=time.time(), about_to=True, **what)
        self._point(f"before {what['move']}")
        try:
            came = self._processes.execute(move)
        except ProcessError as error:
            came = f"failed: {error}"
        self._point(f"after {what['move']}")
        self.journal.note(t=time.time(), came=came, **what)
        self._log.info("move", came=came, **what)


class _LogFile:
    """Lines for people, a write each. On a disk that takes nothing they are lost, and the change goes on."""

    def __init__(self, path: Path) -> None:
        """Opens nothing yet."""
        self._path = path

    def msg(self, line: str) -> None:
        """Adds a line."""
        with suppress(OSError):
            append_line(self._path, line)

    debug = info = warning = error = msg


def _plain(move: Action) -> dict[str, Any]:
    """An action by its stored names."""
    told = {_STORED_NAMES.get(name, name): getattr(move, name) for name in move.__dataclass_fields__}
    return {name: getattr(value, "value", value) for name, value in told.items()}


def _brief(one: Any) -> dict[str, Any]:
    return {
        "name": one.name,
        "new": one.new,
        "alive": one.alive,
        "ready": one.ready,
        "asked": dict(one.asked),
        "in_time": dict(one.in_time),
        "descriptors": one.descriptors,
        "memory": round(one.memory, 1),
    }
