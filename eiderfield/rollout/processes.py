"""What a controller does with processes of this machine: sees, starts, ends and configures them.

A process of the new side carries a mark in its environment from its start, so that a controller that is
started after one was lost knows it, even if the lost one had no time to write it down. A console that does
not answer is not taken for a process that is gone: whether a process is there is the machine's word.
"""

from __future__ import annotations

import json
import os
import signal
import subprocess
from collections.abc import Iterable, Mapping
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack, suppress
from dataclasses import dataclass
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from typing import IO, Any

import psutil

from eiderfield.config.address import Address
from eiderfield.errors import EiderfieldError
from eiderfield.machine import process_age
from eiderfield.rollout.measurement import ProcessReport
from eiderfield.rollout.plan import Member, Plan
from eiderfield.rollout.reconciler import Action, Configure, End, ProcessStatus, Start, Version
from eiderfield.rollout.settings import Texts

MARK = "EIDERFIELD_ROLLOUT"  # in a process's environment: the change's id, the member's name, the side
CONSOLE_TIMEOUT = 1.0  # s for an answer of a console, as the product promises
PARALLEL_QUERIES = 32  # consoles asked at once
START_TOLERANCE = 0.05  # s by which two tellings of one process's start may differ


class ProcessError(EiderfieldError, RuntimeError):
    """Something could not be carried out."""


@dataclass(slots=True)
class _Known:
    member: str
    version: Version
    console: Address
    process: psutil.Process


class ProcessManager:
    """The processes of a plan's dispatchers."""

    def __init__(
        self,
        plan: Plan,
        id_: str,
        base: Path,
        folder: Path,
        texts: Mapping[str, Texts],
        known_processes: Iterable[Mapping[str, Any]] = (),
    ) -> None:
        self.plan, self._id, self._base, self._folder, self._texts = plan, id_, base, folder, texts
        self._known: dict[int, _Known] = {}
        self._children: list[subprocess.Popen[bytes]] = []
        self._pool = ThreadPoolExecutor(min(PARALLEL_QUERIES, 2 * len(plan.members)))
        for told in known_processes:
            self._restore(told)
        self._find_marked()

    def close(self) -> None:
        """Lets go of everything but the processes, which go on."""
        self._pool.shutdown(cancel_futures=True)

    @property
    def known_processes(self) -> list[dict[str, Any]]:
        """The processes that are known, for the journal."""
        return [
            {
                "member": known.member,
                "side": known.version.value,
                "console": list(known.console),
                "pid": pid,
                "created": known.process.create_time(),
            }
            for pid, known in sorted(self._known.items())
        ]

    # Seeing.

    def look(self) -> dict[str, list[ProcessReport]]:
        """What is there of each member now."""
        for child in self._children:
            child.poll()  # or an ended one would stay in the system's table
        self._known = {pid: known for pid, known in self._known.items() if _runs(known.process)}
        asked = [(member.name, console) for member in self.plan.members for console in member.consoles()]
        answers = dict(zip(asked, self._pool.map(self._query, asked), strict=True))
        for (name, console), answer in answers.items():
            if answer is not None and self._known_at(console) is None:
                self._add_answering(name, console, answer)
        return {member.name: self._reports(member, answers) for member in self.plan.members}

    def _reports(
        self, member: Member, answers: Mapping[tuple[str, Address], dict[str, Any] | None]
    ) -> list[ProcessReport]:
        found = []
        for pid, known in self._known.items():
            if known.member == member.name:
                with suppress(psutil.Error):
                    found.append(self._report(pid, known, answers.get((member.name, known.console))))
        return found

    def _report(self, pid: int, known: _Known, answer: dict[str, Any] | None) -> ProcessReport:
        process, refused = known.process, ""
        age = process_age(pid)
        side = known.version
        if answer is None:
            return ProcessReport(ProcessStatus(side, pid, known.console, None), age)
        config, lies = answer["config"], None
        if known.member in self._texts:
            lies = self._texts[known.member].lies()
        if not self.plan.program and config is not None:
            texts = self._texts[known.member]
            side = Version.NEW if config["digest"] == texts.digest[Version.NEW] else Version.OLD
            known.version = side
            if config["refused"] is not None and lies and config["refused"]["digest"] == texts.digest[lies]:
                refused = str(config["refused"]["why"])
        figures = answer["figures"]
        return ProcessReport(
            ProcessStatus(side, pid, known.console, answer["ready"], refused, lies),
            age,
            {name: figures[name] for name in ("success", "busy", "failure")},
            figures.get("in_time"),
            figures.get("waits"),
            process.num_fds(),
            process.memory_info().rss / 2**20,
            frozenset(figures.get("hosts_banned", ())),
            figures.get("broken", {}),
            figures.get("backend_calls"),
            sum(process.cpu_times()[:2]),
        )

    def _query(self, asked: tuple[str, Address]) -> dict[str, Any] | None:
        _, console = asked
        try:
            ready = call_console(console, "/-/ready")[0] == 200
            figures = json.loads(call_console(console, "/-/metrics")[1])
            status, body = call_console(console, "/-/config")
            config = json.loads(body) if status == 200 else None  # older programs have no such call
            if not all(isinstance(figures[name], dict) for name in ("success", "busy", "failure")):
                return None
        except (OSError, HTTPException, ValueError, LookupError, TypeError):
            return None
        return {"ready": ready, "figures": figures, "config": config}

    def _known_at(self, console: Address) -> _Known | None:
        return next((known for known in self._known.values() if known.console == console), None)

    def _add_answering(self, name: str, console: Address, answer: Mapping[str, Any]) -> None:
        """A process that is not known yet answers."""
        config = answer["config"]
        pid = config["pid"] if config is not None else _listener(console)
        if pid is None or pid in self._known:
            return
        with suppress(psutil.Error):
            process = psutil.Process(pid)
            mark = process.environ().get(MARK, "").split(" ")
            side = Version(mark[2]) if mark[:2] == [self._id, name] else Version.OLD
            self._known[pid] = _Known(name, side, console, process)

    def _restore(self, told: Mapping[str, Any]) -> None:
        with suppress(psutil.Error):
            process = psutil.Process(int(told["pid"]))
            host, port = told["console"]
            console = (str(host), int(port))
            # Its start is told by the wall clock. Where that was stepped since, the process that listens at
            # the console is still known to be the one.
            same_start = abs(process.create_time() - float(told["created"])) < START_TOLERANCE
            if same_start or _listener(console) == process.pid:
                self._known[process.pid] = _Known(
                    str(told["member"]), Version(told["side"]), console, process
                )

    def _find_marked(self) -> None:
        names = {member.name for member in self.plan.members}
        for process in psutil.process_iter():
            with suppress(psutil.Error, ValueError):
                environ = process.environ() if process.uids().real == os.getuid() else {}
                id_, name, side = environ.get(MARK, "- - -").split(" ")
                if id_ == self._id and name in names and process.pid not in self._known:
                    host, _, port = environ["LB_CONSOLE"].rpartition(":")
                    self._known[process.pid] = _Known(name, Version(side), (host, int(port)), process)

    # Doing.

    def execute(self, move: Action) -> str:
        """Carries a move out, and says what came of it; `ProcessError` if it could not be done."""
        try:
            match move:
                case Start():
                    return self._start(move)
                case End():
                    known = self._known.get(move.pid)
                    if known is None:
                        return "gone already"
                    known.process.send_signal(signal.SIGKILL if move.hard else signal.SIGTERM)
                    if not move.hard:  # one that is stopped hears nothing until it goes on
                        known.process.send_signal(signal.SIGCONT)
                    return "told"
                case Configure():
                    self._texts[move.member].put(move.version)
                    if move.pid is None:
                        return "its file is in place; nobody reads it"
                    self._known[move.pid].process.send_signal(signal.SIGHUP)
                    return "told to read"
        except (OSError, psutil.Error, KeyError) as error:
            raise ProcessError(f"{move}: {error!r}") from None

    def _start(self, move: Start) -> str:
        plan, member = self.plan, self.plan.member(move.member)
        if move.member in self._texts:
            self._texts[move.member].put(move.version)
        program = (
            self._base / (plan.program if move.version is Version.NEW else plan.previous_program)
        ).resolve()
        host, port = move.console
        words = {
            "program": str(program),
            "config": str((self._base / member.config_file).resolve()),
            "console": f"{host}:{port}",
        }
        environ = {name: value.format(**words) for name, value in member.environment.items()}
        environ |= {"LB_CONSOLE": words["console"], MARK: f"{self._id} {move.member} {move.version.value}"}
        with ExitStack() as opened:
            log = _open_log(self._folder / f"{move.member}.log", opened)
            child = subprocess.Popen(
                [word.format(**words) for word in member.start_command],
                cwd=program,
                env={**os.environ, **environ},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        self._children.append(child)
        with suppress(psutil.Error):
            self._known[child.pid] = _Known(
                move.member, move.version, move.console, psutil.Process(child.pid)
            )
        return f"pid {child.pid}"


def call_console(address: Address, path: str, method: str = "GET") -> tuple[int, bytes]:
    """A call at a console: the status and the body."""
    connection = HTTPConnection(*address, timeout=CONSOLE_TIMEOUT)
    try:
        connection.request(method, path)
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


def _open_log(path: Path, opened: ExitStack) -> int | IO[bytes]:
    """A process's log; none on a disk that takes nothing, for the process is needed more than its log."""
    try:
        return opened.enter_context(path.open("ab"))
    except OSError:
        return subprocess.DEVNULL


def _runs(process: psutil.Process) -> bool:
    try:
        return bool(process.is_running() and process.status() != psutil.STATUS_ZOMBIE)
    except psutil.Error:
        return False


def _listener(console: Address) -> int | None:
    """The process that listens at an address of this machine."""
    for found in psutil.net_connections("tcp"):
        if found.status == psutil.CONN_LISTEN and found.pid and tuple(found.laddr) == console:
            return int(found.pid)
    return None
