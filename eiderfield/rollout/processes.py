"""Observes, starts, stops and configures the processes of dispatchers on this machine.

A process of a change carries a mark in its environment from its start on, so that the next controller knows
it even if the one that started it was lost before it could write that down. A process whose console does not
answer is not taken for one that is gone: the operating system knows whether a process exists.
"""

from __future__ import annotations

import os
import signal
import subprocess
from collections.abc import Iterable, Mapping
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack, suppress
from dataclasses import dataclass
from pathlib import Path
from typing import IO

import psutil

from eiderfield.config.address import Address
from eiderfield.machine import process_age
from eiderfield.rollout.actions import Action, ApplySettings, StartProcess, StopProcess, Version
from eiderfield.rollout.console import ConsoleAnswer, query_console
from eiderfield.rollout.errors import ProcessError
from eiderfield.rollout.journal_codec import ProcessRecord
from eiderfield.rollout.measurement import OUTCOME_FIGURES, ProcessReport
from eiderfield.rollout.plan import Member, Plan
from eiderfield.rollout.reconciler import ProcessStatus
from eiderfield.rollout.settings import SettingsFile

MARK_VARIABLE = "EIDERFIELD_ROLLOUT"
CONSOLE_VARIABLE = "LB_CONSOLE"
MAX_PARALLEL_QUERIES = 32
START_TIME_TOLERANCE = 0.05  # s by which two readings of one process's start may differ
MEGABYTE = 2**20


@dataclass(frozen=True, slots=True)
class _Mark:
    """What a process of a change carries in its environment."""

    change_id: str
    member: str
    version: Version

    def text(self) -> str:
        return f"{self.change_id} {self.member} {self.version.value}"

    @classmethod
    def of(cls, process: psutil.Process) -> _Mark | None:
        """Return the mark of a process, None if it has none.

        Raises:
            psutil.Error: the process is gone, or its environment cannot be read.
        """
        try:
            change_id, member, version = process.environ().get(MARK_VARIABLE, "").split(" ")
            return cls(change_id, member, Version(version))
        except ValueError:
            return None


@dataclass(slots=True)
class _KnownProcess:
    member: str
    version: Version
    console: Address
    process: psutil.Process


class ProcessManager:
    """The processes of a plan's dispatchers.

    Args:
        plan: The plan of the change.
        change_id: The id of the change, which the processes that it starts carry.
        base: The folder that the plan's paths are relative to.
        folder: The folder of the change, for the logs of processes.
        files: The settings files of dispatchers whose settings change, by name.
        known_processes: The processes that the controller before knew.
    """

    def __init__(
        self,
        plan: Plan,
        change_id: str,
        base: Path,
        folder: Path,
        files: Mapping[str, SettingsFile],
        known_processes: Iterable[ProcessRecord] = (),
    ) -> None:
        self._plan = plan
        self._change_id = change_id
        self._base = base
        self._folder = folder
        self._files = files
        self._known: dict[int, _KnownProcess] = {}  # by pid
        self._children: list[subprocess.Popen[bytes]] = []
        self._pool = ThreadPoolExecutor(min(MAX_PARALLEL_QUERIES, 2 * len(plan.members)))
        for record in known_processes:
            self._restore(record)
        self._find_marked()

    @property
    def known_processes(self) -> list[ProcessRecord]:
        """The processes that are known, for the journal."""
        return [
            ProcessRecord(known.member, known.version, known.console, pid, known.process.create_time())
            for pid, known in sorted(self._known.items())
        ]

    def close(self) -> None:
        """Release everything but the processes, which go on."""
        self._pool.shutdown(cancel_futures=True)

    def query(self, _member: str, console: Address) -> ConsoleAnswer | None:
        """Return the report of a console of a member; None if it does not answer."""
        return query_console(console)

    def poll(self) -> dict[str, list[ProcessReport]]:
        """Return the processes of each member as they are now."""
        for child in self._children:
            child.poll()  # reaps it if it has ended
        self._known = {pid: known for pid, known in self._known.items() if _is_running(known.process)}
        consoles = [(member.name, console) for member in self._plan.members for console in member.consoles()]
        replies = self._pool.map(lambda console: self.query(*console), consoles)
        answers = {
            console: answer
            for (_, console), answer in zip(consoles, replies, strict=True)
            if answer is not None
        }
        for name, console in consoles:
            if console in answers and not self._is_known(console):
                self._add_answering(name, console, answers[console])
        return {member.name: self._reports(member, answers) for member in self._plan.members}

    def execute(self, action: Action) -> str:
        """Carry out an action and return its outcome.

        Raises:
            ProcessError: the action could not be carried out.
        """
        try:
            match action:
                case StartProcess():
                    return self._start(action)
                case StopProcess():
                    return self._stop(action)
                case ApplySettings():
                    return self._apply_settings(action)
        except (OSError, psutil.Error, KeyError) as error:
            raise ProcessError(action.member, f"{action}: {error!r}") from None

    # Observing.

    def _reports(self, member: Member, answers: Mapping[Address, ConsoleAnswer]) -> list[ProcessReport]:
        reports = []
        for pid, known in self._known.items():
            if known.member == member.name:
                with suppress(psutil.Error):
                    reports.append(self._report(pid, known, answers.get(known.console)))
        return reports

    def _report(self, pid: int, known: _KnownProcess, answer: ConsoleAnswer | None) -> ProcessReport:
        age = process_age(pid)
        if answer is None:
            return ProcessReport(ProcessStatus(known.version, pid, known.console, None), age)
        status = self._status(pid, known, answer)
        figures, process = answer.figures, known.process
        return ProcessReport(
            status,
            age,
            outcomes={name: figures[name] for name in OUTCOME_FIGURES},
            in_time=figures.get("in_time"),
            latencies=figures.get("waits"),
            descriptors=process.num_fds(),
            memory=process.memory_info().rss / MEGABYTE,
            banned=frozenset(figures.get("hosts_banned", ())),
            violations=figures.get("broken", {}),
            attempts=figures.get("backend_calls"),
            cpu_seconds=sum(process.cpu_times()[:2]),
        )

    def _status(self, pid: int, known: _KnownProcess, answer: ConsoleAnswer) -> ProcessStatus:
        file = self._files.get(known.member)
        installed = file.installed_version() if file is not None else None
        settings_error = ""
        if not self._plan.program and answer.settings is not None and file is not None:
            loaded = answer.settings
            known.version = file.version_of(loaded.digest)
            if installed is not None and loaded.refused_digest == file.digests[installed]:
                settings_error = loaded.refused_reason
        return ProcessStatus(known.version, pid, known.console, answer.ready, settings_error, installed)

    def _is_known(self, console: Address) -> bool:
        return any(known.console == console for known in self._known.values())

    def _add_answering(self, member: str, console: Address, answer: ConsoleAnswer) -> None:
        """Add a process that answers at a console and is not known yet."""
        pid = answer.settings.pid if answer.settings is not None else _find_listener(console)
        if pid is None or pid in self._known:
            return
        with suppress(psutil.Error):
            process = psutil.Process(pid)
            mark = _Mark.of(process)
            is_own = mark is not None and (mark.change_id, mark.member) == (self._change_id, member)
            version = mark.version if mark is not None and is_own else Version.OLD
            self._known[pid] = _KnownProcess(member, version, console, process)

    def _restore(self, record: ProcessRecord) -> None:
        """Add a process that the controller before knew, if it is still the same one."""
        with suppress(psutil.Error):
            process = psutil.Process(record.pid)
            # Its start is given in wall-clock time. If that clock was stepped since, the process that listens
            # at the console is still known to be the same one.
            same_start = abs(process.create_time() - record.created) < START_TIME_TOLERANCE
            if same_start or _find_listener(record.console) == process.pid:
                known = _KnownProcess(record.member, record.version, record.console, process)
                self._known[process.pid] = known

    def _find_marked(self) -> None:
        """Add the processes that a controller of this change started and did not write down."""
        names = {member.name for member in self._plan.members}
        for process in psutil.process_iter():
            with suppress(psutil.Error, ValueError):
                mark = _Mark.of(process) if process.uids().real == os.getuid() else None
                if mark is None or mark.change_id != self._change_id or mark.member not in names:
                    continue
                if process.pid not in self._known:
                    host, _, port = process.environ()[CONSOLE_VARIABLE].rpartition(":")
                    console = (host, int(port))
                    self._known[process.pid] = _KnownProcess(mark.member, mark.version, console, process)

    # Acting.

    def _start(self, action: StartProcess) -> str:
        member = self._plan.member(action.member)
        if action.member in self._files:
            self._files[action.member].install(action.version)
        is_new = action.version is Version.NEW
        program = (self._base / (self._plan.program if is_new else self._plan.previous_program)).resolve()
        host, port = action.console
        values = {
            "program": str(program),
            "config": str((self._base / member.config_file).resolve()),
            "console": f"{host}:{port}",
        }
        environment = {name: text.format(**values) for name, text in member.environment.items()}
        environment[CONSOLE_VARIABLE] = values["console"]
        environment[MARK_VARIABLE] = _Mark(self._change_id, action.member, action.version).text()
        with ExitStack() as opened:
            log = _open_log(self._folder / f"{action.member}.log", opened)
            child = subprocess.Popen(
                [word.format(**values) for word in member.start_command],
                cwd=program,
                env={**os.environ, **environment},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        self._children.append(child)
        with suppress(psutil.Error):
            process = psutil.Process(child.pid)
            self._known[child.pid] = _KnownProcess(action.member, action.version, action.console, process)
        return f"pid {child.pid}"

    def _stop(self, action: StopProcess) -> str:
        known = self._known.get(action.pid)
        if known is None:
            return "gone already"
        if action.kill:
            known.process.send_signal(signal.SIGKILL)
        else:
            known.process.send_signal(signal.SIGTERM)
            known.process.send_signal(
                signal.SIGCONT
            )  # a stopped process handles no signal until it continues
        return "told"

    def _apply_settings(self, action: ApplySettings) -> str:
        self._files[action.member].install(action.version)
        if action.pid is None:
            return "its file is in place; nobody reads it"
        self._known[action.pid].process.send_signal(signal.SIGHUP)
        return "told to read"


def _open_log(path: Path, opened: ExitStack) -> int | IO[bytes]:
    """Return the log of a process; none if the disk refuses it, for the process matters more than its log."""
    try:
        return opened.enter_context(path.open("ab"))
    except OSError:
        return subprocess.DEVNULL


def _is_running(process: psutil.Process) -> bool:
    try:
        return bool(process.is_running() and process.status() != psutil.STATUS_ZOMBIE)
    except psutil.Error:
        return False


def _find_listener(console: Address) -> int | None:
    """Return the pid of the process that listens at an address of this machine."""
    for connection in psutil.net_connections("tcp"):
        is_listener = connection.status == psutil.CONN_LISTEN and tuple(connection.laddr) == console
        if is_listener and connection.pid:
            return int(connection.pid)
    return None
