"""A dispatcher of a run: starts and stops its process, sends it signals and reads its console."""

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

START_ARGUMENTS = ("-m", "eiderfield", "--config")  # followed by the path of the settings file
FAILPOINT_ARGUMENTS = ("-m", "eiderfield.lab.fleet.failpoints", "--config")
FAILPOINT_VARIABLE = "EIDERFIELD_POINT"
# The same name as `failpoints.MARKER`: importing that module here would load the dispatcher's program.
FAILPOINT_MARKER = "point.json"
CONSOLE_TIMEOUT_S = 5.0
EXIT_TIMEOUT_S = 30.0


@dataclass(frozen=True, slots=True)
class Program:
    """A revision of the program: the folder that holds the package, and the interpreter that runs it."""

    folder: Path = ROOT
    python: str = sys.executable
    failpoint: str = ""  # fails there once; NAME:NUMBER:kill:SECONDS or NAME:NUMBER:stop:SECONDS


class Dispatcher:
    """A dispatcher, whose process may be restarted, or replaced by the controller of a rolling change."""

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
        self.temporary_folder = folder / f"{name}.tmp"  # the `$TMPDIR` that identifies its processes
        self.temporary_folder.mkdir(exist_ok=True)
        self.descriptors_at_start = 0
        self._child: subprocess.Popen[bytes] | None = None
        self._adopted: psutil.Process | None = None  # a process that a controller started

    @property
    def failpoint_marker(self) -> Path:
        """The file that the program writes just before it fails at its failpoint."""
        return self.temporary_folder / FAILPOINT_MARKER

    @property
    def pid(self) -> int:
        """The id of the current process."""
        if self._adopted is not None:
            return int(self._adopted.pid)
        assert self._child is not None
        return self._child.pid

    @property
    def alive(self) -> bool:
        """Whether the process exists, running or stopped by SIGSTOP."""
        if self._adopted is not None:
            with suppress(psutil.Error):
                return bool(self._adopted.is_running() and self._adopted.status() != psutil.STATUS_ZOMBIE)
            return False
        return self._child is not None and self._child.poll() is None

    @property
    def running(self) -> bool:
        """Whether the process exists and is not stopped by SIGSTOP, so that its console can answer."""
        return self.alive and self._status() not in (psutil.STATUS_STOPPED, "")

    def start(self, wait: bool = True) -> None:
        """Start the process and, with `wait`, wait until it is ready.

        A restart during a run must not wait here: the dispatcher is not ready before a fault of its discovery
        has ended, and the caller is the one that ends faults.
        """
        self.config_path.write_text(tomlkit.dumps(self.config))
        environ = {**os.environ, "TMPDIR": str(self.temporary_folder)}
        arguments = START_ARGUMENTS
        if self.program.failpoint and not self.failpoint_marker.exists():  # it has not failed yet
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
        """Make the process that was started last the current one; a controller may have started it."""
        found = sorted(self.processes(), key=lambda process: process.create_time())
        if self._child is not None:
            self._child.poll()
        if found and (self._child is None or found[-1].pid != self._child.pid):
            self._adopted = found[-1]
            self.console = parse_address(self._adopted.environ().get("LB_CONSOLE", ""), self.name)
        elif found:
            self._adopted, self.console = None, self.consoles[0]

    def processes(self) -> list[psutil.Process]:
        """Return all processes of the dispatcher that run or are stopped by SIGSTOP."""
        found = []
        for process in psutil.process_iter():
            with suppress(psutil.Error):
                is_of_dispatcher = process.environ().get("TMPDIR") == str(self.temporary_folder)
                if is_of_dispatcher and process.status() != psutil.STATUS_ZOMBIE:
                    found.append(process)
        return found

    def ready(self) -> bool:
        """Return whether the dispatcher accepts clients and discovery has listed workers to it."""
        if not self.alive:
            raise LabError(f"{self.name} exited while it started")
        with suppress(OSError, ValueError, LookupError):
            return (
                call_console(self.console, "/-/ready")[0] == HTTPStatus.OK
                and self.figures()["hosts_listed"] > 0
            )
        return False

    def figures(self, timeout: float = CONSOLE_TIMEOUT_S) -> dict[str, Any]:
        """Return the metrics of the console; wait for `timeout` s at most."""
        figures: dict[str, Any] = json.loads(call_console(self.console, "/-/metrics", timeout=timeout)[1])
        return figures

    def descriptors(self) -> int:
        """Return the number of open file descriptors of the process."""
        return open_descriptors(self.pid)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it exists; wait for SIGSTOP to take effect."""
        if not self.alive:
            return
        os.kill(self.pid, number)
        if number == signal.SIGSTOP:
            wait_for(f"{self.name} is stopped", lambda: self._status() == psutil.STATUS_STOPPED)

    def wait(self, timeout: float = EXIT_TIMEOUT_S) -> int | None:
        """Wait for the exit of the process and return its exit code, or None after `timeout` s.

        The exit code of a process that a controller started is unknown, as it is no child of the run; 0 is
        returned for it.
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
        """Kill all processes of the dispatcher."""
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
