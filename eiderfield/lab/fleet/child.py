"""A stand-in process of a run, which takes commands (`commands.py`) and ends with the run."""

from __future__ import annotations

import select
import subprocess
import sys
from pathlib import Path

from eiderfield.lab.fleet.commands import READY, Command, encode
from eiderfield.lab.processes import LabError

ROOT = Path(__file__).resolve().parents[3]  # the folder with the package
ANNOUNCEMENT_TIMEOUT_S = 60.0  # in which a stand-in announces what it is to announce


class StandInProcess:
    """A stand-in that is ready for commands."""

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
        """Sends a command."""
        assert self._child.stdin is not None
        self._child.stdin.write(encode(command))
        self._child.stdin.flush()

    def wait_for(self, word: str, timeout: float = ANNOUNCEMENT_TIMEOUT_S) -> None:
        """Waits until it announces a word; `LabError` if that does not come in `timeout` s."""
        assert self._child.stdout is not None
        if not select.select([self._child.stdout], [], [], timeout)[0]:
            raise LabError(f"{self._child.args!r} did not announce {word!r} within {timeout:g} s")
        line = self._child.stdout.readline()
        if line.strip() != word:
            raise LabError(f"{self._child.args!r} announced {line!r} instead of {word!r}")

    def end(self) -> None:
        """Ends it at once."""
        if self._child.poll() is None:
            self._child.kill()
        self._child.wait()
        for pipe in (self._child.stdin, self._child.stdout):
            if pipe is not None:
                pipe.close()
