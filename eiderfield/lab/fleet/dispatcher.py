"""A dispatcher of the fleet: a real process of a revision of the program, and what is asked of it."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from contextlib import suppress
from dataclasses import dataclass
from http import HTTPStatus
from pathlib import Path
from typing import Any

import psutil
import tomlkit

from eiderfield.config.address import parse_address
from eiderfield.lab.fleet.child import ROOT
from eiderfield.lab.processes import LabError, call_console, wait_for
from eiderfield.lab.usage import open_descriptors

START_ARGUMENTS = ("-m", "eiderfield", "--config")  # which start a dispatcher with a file
FAILPOINT_ARGUMENTS = ("-m", "eiderfield.lab.fleet.failpoints", "--config")
FAILPOINT_VARIABLE = "EIDERFIELD_POINT"
FAILPOINT_MARKER = (
    "point.json"  # as in `failpoints.py`, which only a dispatcher imports: it loads the program
)
CONSOLE_TIMEOUT_S = 5.0
EXIT_TIMEOUT_S = 30.0


@dataclass(frozen=True, slots=True)
class Program:
    """A revision of the program: a folder with the package, and the interpreter that runs it."""

    folder: Path = ROOT
    python: str = sys.executable
    failpoint: str = ""  # at which it fails once: NAME:NUMBER:kill:SECONDS or NAME:NUMBER:stop:SECONDS


class Dispatcher:
    """A dispatcher, which may be ended and started again, or replaced by a controller of a rolling change."""

    def __init__(
        self, name: str, program: Program, config: dict[str, Any], folder: Path, spare_console: str = ""
    ) -> None:
        self.name = name
        self.program = program
        self.folder = folder
        self.consoles = [parse_address(text, name) for text in (config["console"], spare_console) if text]
        self.console = self.consoles[0]
        self.config = config
        self.config_path = folder / f"{name}.toml"
        self.temporary_folder = folder / f"{name}.tmp"  # its `$TMPDIR`, by which its processes are known
        self.temporary_folder.mkdir(exist_ok=True)
        self.descriptors_at_start = 0
        self._child: subprocess.Popen[bytes] | None = None
        self._adopted: psutil.Process | None = None  # a process that a controller started

    @property
    def failpoint_marker(self) -> Path:
        """The file that its program leaves just before it fails at its failpoint."""
        return self.temporary_folder / FAILPOINT_MARKER

    @property
    def pid(self) -> int:
        """Its process's id."""
        if self._adopted is not None:
            return int(self._adopted.pid)
        assert self._child is not None
        return self._child.pid

    @property
    def alive(self) -> bool:
        """Whether it runs, or is stopped."""
        if self._adopted is not None:
            with suppress(psutil.Error):
                return bool(self._adopted.is_running() and self._adopted.status() != psutil.STATUS_ZOMBIE)
            return False
        return self._child is not None and self._child.poll() is None

    @property
    def running(self) -> bool:
        """Whether it is there and not stopped: one that is stopped answers nobody."""
        return self.alive and self._status() not in (psutil.STATUS_STOPPED, "")

    def start(self, wait: bool = True) -> None:
        """Starts it, and waits until it serves; amid faults nobody waits, for its discovery may mend next."""
        self.config_path.write_text(tomlkit.dumps(self.config))
        environ = {**os.environ, "TMPDIR": str(self.temporary_folder)}
        arguments = START_ARGUMENTS
        if self.program.failpoint and not self.failpoint_marker.exists():  # it fails there once
            environ[FAILPOINT_VARIABLE] = self.program.failpoint
            arguments = FAILPOINT_ARGUMENTS
        self._adopted, self.console = None, self.consoles[0]
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self._child = subprocess.Popen(
                [self.program.python, *arguments, str(self.config_path)],
                cwd=self.program.folder,
                env=environ,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        if wait:
            wait_for(f"{self.name} is ready", self.ready)
            self.descriptors_at_start = self.descriptors()

    def find_process(self) -> None:
        """Adopt the process that was started last, which a controller may have started."""
        found = sorted(self.processes(), key=lambda process: process.create_time())
        if self._child is not None:
            self._child.poll()
        if found and (self._child is None or found[-1].pid != self._child.pid):
            self._adopted = found[-1]
            self.console = parse_address(self._adopted.environ().get("LB_CONSOLE", ""), self.name)
        elif found:
            self._adopted, self.console = None, self.consoles[0]

    def processes(self) -> list[psutil.Process]:
        """All of its processes that run, or are stopped."""
        found = []
        for process in psutil.process_iter():
            with suppress(psutil.Error):
                is_own = process.environ().get("TMPDIR") == str(self.temporary_folder)
                if is_own and process.status() != psutil.STATUS_ZOMBIE:
                    found.append(process)
        return found

    def ready(self) -> bool:
        """Whether it takes clients and knows workers."""
        if not self.alive:
            raise LabError(f"{self.name} ended at its start")
        with suppress(OSError, ValueError, LookupError):
            return (
                call_console(self.console, "/-/ready")[0] == HTTPStatus.OK
                and self.figures()["hosts_listed"] > 0
            )
        return False

    def figures(self, timeout: float = CONSOLE_TIMEOUT_S) -> dict[str, Any]:
        """Return the figures of its console; waits for `timeout` s at most."""
        figures: dict[str, Any] = json.loads(call_console(self.console, "/-/metrics", timeout=timeout)[1])
        return figures

    def descriptors(self) -> int:
        """How many descriptors it holds."""
        return open_descriptors(self.pid)

    def signal(self, number: signal.Signals) -> None:
        """Sends it a signal, if it is there."""
        if not self.alive:
            return
        os.kill(self.pid, number)
        if number == signal.SIGSTOP:
            wait_for(f"{self.name} is stopped", lambda: self._status() == psutil.STATUS_STOPPED)

    def wait(self, timeout: float = EXIT_TIMEOUT_S) -> int | None:
        """Its exit code once it has ended; None if it does not within `timeout` s.

        Of a process that is no child of the run's only that it ended is known: 0 stands for that.
        """
        if self._adopted is not None:
            with suppress(psutil.TimeoutExpired):
                return self._adopted.wait(timeout) or 0
            return None
        assert self._child is not None
        with suppress(subprocess.TimeoutExpired):
            return self._child.wait(timeout)
        return None

    def end(self) -> None:
        """Ends it at once, with all of its processes."""
        for process in self.processes():
            with suppress(psutil.Error):
                process.kill()
        if self._child is not None:
            with suppress(ProcessLookupError):
                self._child.kill()
            self._child.wait()

    def _status(self) -> str:
        with suppress(psutil.Error):
            return str(psutil.Process(self.pid).status())
        return ""
