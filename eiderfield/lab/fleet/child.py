"""Starts the stand-in processes of a run, which take commands (`commands.py`) and end with the run."""

from __future__ import annotations

import select
import subprocess
import sys
from pathlib import Path

from eiderfield.lab.fleet.commands import READY, Command, encode
from eiderfield.lab.processes import LabError

ROOT = Path(__file__).resolve().parents[3]  # the folder that contains the package
ANNOUNCEMENT_TIMEOUT_S = 60.0  # for each announcement of a stand-in


class StandInProcess:
    """A stand-in process. The constructor returns once it is ready for commands."""

    def __init__(self, module: str, *arguments: str) -> None:
        self._child = subprocess.Popen(
            [sys.executable, "-m", f"eiderfield.lab.fleet.{module}", *arguments],
            cwd=ROOT,
            text=True,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        self.wait_for(READY)

    def send(self, command: Command) -> None:
        """Send a command to the process."""
        assert self._child.stdin is not None
        self._child.stdin.write(encode(command))
        self._child.stdin.flush()

    def wait_for(self, word: str, timeout: float = ANNOUNCEMENT_TIMEOUT_S) -> None:
        """Wait until the process announces `word`; raise `LabError` after `timeout` s or on another line."""
        assert self._child.stdout is not None
        if not select.select([self._child.stdout], [], [], timeout)[0]:
            raise LabError(f"{self._child.args!r} did not announce {word!r} within {timeout:g} s")
        line = self._child.stdout.readline()
        if line.strip() != word:
            raise LabError(f"{self._child.args!r} announced {line!r} instead of {word!r}")

    def end(self) -> None:
        """Kill the process and close its pipes."""
        if self._child.poll() is None:
            self._child.kill()
        self._child.wait()
        for pipe in (self._child.stdin, self._child.stdout):
            if pipe is not None:
                pipe.close()
