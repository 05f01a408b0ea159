"""Supervises the controller of a rolling change: restarts it, sends operator commands and injects faults.

    controller runs ──(it exits with a non-zero code)──> the next controller runs
     ├──(the change is held, and a decision is left to send)──> controller runs
     └──(the controller exits with 0, or the change is held with no decision left)──> over

Two controllers never run at once, and a run never ends while its change is in progress.
"""

from __future__ import annotations

import json
import subprocess
import sys
import time
import tomllib
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

import psutil

from eiderfield.config.source import source_digest
from eiderfield.lab.fleet.child import ROOT
from eiderfield.lab.fleet.dispatcher import Dispatcher
from eiderfield.lab.fleet.fleet import Fleet
from eiderfield.lab.fleet.rollout_change import Change
from eiderfield.lab.fleet.scenario import Fault
from eiderfield.lab.processes import LabError, call_console
from eiderfield.rollout.errors import JournalError
from eiderfield.rollout.journal import read_journal
from eiderfield.rollout.operator_command import CommandFile, send_command
from eiderfield.rollout.processes import MARK_VARIABLE
from eiderfield.rollout.state import Phase

HELD_AFTER_S = 2.0  # time after the start of a change before which it does not count as held
MAX_CONTROLLERS = 40  # of one change; the run fails if it needs more
MEGABYTE = 2**20
UNREACHABLE_FILE = "blind.json"  # read by `controller_process.py`
VERSIONS = ("old", "new")


@dataclass(frozen=True, slots=True)
class FaultEnd:
    """An injected fault that has to be removed `at` seconds after the supervisor was created."""

    at: float
    fault: Fault


class ControllerSupervisor:
    """Runs the controllers of a change one after the other, until the change is over."""

    def __init__(self, folder: Path, change: Change) -> None:
        self.controllers = 0  # started so far
        self.over = False
        self.seconds = 0.0
        self.cpu_seconds = 0.0
        self.memory_mb = 0.0
        self.bans_kept = True
        self.versions: dict[str, str] = {}
        self._folder = folder
        self._change = change
        self._controller: subprocess.Popen[bytes] | None = None
        self._start = time.monotonic()
        self._requests = sorted(change.requests, key=lambda request: request.at)
        self._faults = list(change.faults)
        self._fault_ends: list[FaultEnd] = []
        self._contact_lost_at: dict[int, float] = {}  # by index in `Change.lost_contacts`
        self._unreachable: list[str] = []
        self._decision = change.decision

    def step(self, fleet: Fleet) -> None:
        """Apply lost contacts, operator commands and faults that are due; start or end the controller."""
        if self.over:
            return
        at = time.monotonic() - self._start
        self._measure_controller()
        self._lose_contacts(at)
        self._make_requests(at)
        self._inject_faults(fleet, at)
        if self._controller is None or self._controller.poll() not in (None, 0):
            self._start_controller()
        elif self._decision and at > HELD_AFTER_S and self._is_held():
            send_command(self._folder, self._decision)
            self._decision = ""
        elif not self._requests and not self._fault_ends and self._has_ended(at):
            self.end_controller()
            self._finish(fleet, at)

    def end_controller(self) -> None:
        """Kill the current controller, if there is one, and wait for its exit."""
        if self._controller is not None:
            self._controller.kill()
            self._controller.wait()

    def _start_controller(self) -> None:
        if self.controllers >= MAX_CONTROLLERS:
            raise LabError("the change is not over after the maximum number of controllers")
        failpoint = self._change.failpoints[self.controllers : self.controllers + 1]
        self.controllers += 1
        with (self._folder / "leaders.log").open("ab") as log:
            self._controller = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "eiderfield.lab.fleet.controller_process",
                    str(self._folder),
                    *failpoint,
                ],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def _has_ended(self, at: float) -> bool:
        """Return whether the controller exited with 0, or the change is held with no decision left."""
        assert self._controller is not None
        if self._controller.poll() == 0:
            return True
        return not self._decision and at > HELD_AFTER_S and self._is_held()

    def _measure_controller(self) -> None:
        """Record the memory and CPU time that the controller has used so far."""
        if self._controller is None:
            return
        with suppress(psutil.Error):
            process = psutil.Process(self._controller.pid)
            resident = process.memory_info().rss / MEGABYTE
            if resident > 0.0:
                self.memory_mb = max(self.memory_mb, resident)
                self.cpu_seconds = sum(process.cpu_times()[:2])

    def _phase(self) -> str:
        with suppress(JournalError):
            return read_journal(self._folder).state.phase
        return ""

    def _is_held(self) -> bool:
        # The command is read first: it is removed only once the journal holds its effect.
        if CommandFile(self._folder).pending() is not None:
            return False
        return not self._fault_ends and self._phase() == Phase.HELD

    def _make_requests(self, at: float) -> None:
        while self._requests and self._requests[0].at <= at:
            send_command(self._folder, self._requests.pop(0).request)

    def _lose_contacts(self, at: float) -> None:
        contacts = self._change.lost_contacts
        phase = self._phase() if len(self._contact_lost_at) < len(contacts) else ""
        for index, contact in enumerate(contacts):
            if contact.phase == phase:
                self._contact_lost_at.setdefault(index, at)
        unreachable = [
            contacts[index].dispatcher
            for index, since in sorted(self._contact_lost_at.items())
            if at < since + contacts[index].seconds
        ]
        if unreachable != self._unreachable:
            self._unreachable = unreachable
            draft = self._folder / f".{UNREACHABLE_FILE}"
            draft.write_text(json.dumps(unreachable))
            draft.replace(self._folder / UNREACHABLE_FILE)

    def _inject_faults(self, fleet: Fleet, at: float) -> None:
        phase = self._phase() if self._faults else ""
        for due in [due for due in self._faults if due.phase == phase]:
            self._faults.remove(due)
            fleet.inject(due.fault)
            if due.fault.lasts:
                self._fault_ends.append(FaultEnd(at + due.fault.lasts, due.fault))
        for end in [end for end in self._fault_ends if end.at <= at]:
            self._fault_ends.remove(end)
            fleet.inject(end.fault, active=False)

    def _finish(self, fleet: Fleet, at: float) -> None:
        self.over, self.seconds = True, at
        fleet.wait_for_restarts()  # a starting dispatcher cannot report its bans yet
        change_id = read_journal(self._folder).content.change_id
        for dispatcher in fleet.dispatchers.values():
            has_new_program = bool(self._change.program)
            self.versions[dispatcher.name] = version_of(dispatcher, change_id) if has_new_program else "none"
            banned: list[str] = []
            with suppress(OSError, ValueError, LookupError, LabError):
                dispatcher.find_process()
                banned = dispatcher.figures()["hosts_banned"]
                if not has_new_program:
                    self.versions[dispatcher.name] = self._version_of_settings(dispatcher)
            # A dispatcher that does not answer counts as one that lost the ban.
            self.bans_kept = self.bans_kept and self._change.banned_worker in ("", *banned)
        fleet.stop_clients()

    def _version_of_settings(self, dispatcher: Dispatcher) -> str:
        digest = json.loads(call_console(dispatcher.console, "/-/config")[1])["digest"]
        for version in VERSIONS:
            text = (self._folder / "settings" / f"{dispatcher.name}.{version}").read_text()
            if digest == source_digest(tomllib.loads(text)):
                return version
        return "none"


def version_of(dispatcher: Dispatcher, change_id: str) -> str:
    """Return the version of a dispatcher's running processes: old, new, none or both.

    The controller marks each process that it starts with the change and the version, in `MARK_VARIABLE`.
    Processes without the mark of this change are old.
    """
    versions = set()
    for process in dispatcher.processes():
        with suppress(psutil.Error):
            mark = process.environ().get(MARK_VARIABLE, "").split(" ")
            versions.add("new" if mark[0] == change_id and mark[-1] == "new" else "old")
    if not versions:
        return "none"
    return versions.pop() if len(versions) == 1 else "both"
