"""Runs a controller of a rolling change that may be killed, or be cut off from dispatchers.

    python -m eiderfield.lab.fleet.controller_process FOLDER [FAILPOINT:NUMBER]

The process kills itself when it reaches FAILPOINT for the NUMBER-th time, as if its host had failed there.
The failpoints are those of `rollout/controller.py`: `looked`, `written`, `done`, and `before ACTION` and
`after ACTION` for each action, such as `before start`. FOLDER/blind.json lists the dispatchers whose consoles
the controller cannot reach, as if the links to them were cut. Only the laboratory uses this module.
"""

from __future__ import annotations

import json
import os
import signal
import sys
from collections import Counter
from collections.abc import Callable
from pathlib import Path

from eiderfield.config.address import Address
from eiderfield.rollout.console import ConsoleAnswer
from eiderfield.rollout.controller import Controller
from eiderfield.rollout.errors import RolloutError
from eiderfield.rollout.processes import ProcessManager

EXIT_NOT_STARTED = 75  # exit code where the change cannot be taken, as when another controller holds it
UNREACHABLE_FILE = "blind.json"  # written by `rollout_supervisor.py`


def kill_at_failpoint(failpoint: str) -> Callable[[str], None]:
    """Return the failpoint callback of a controller, which kills the process at `FAILPOINT:NUMBER`."""
    target, _, number = failpoint.rpartition(":")
    counts: Counter[str] = Counter()

    def reach_failpoint(name: str) -> None:
        counts[name] += 1
        if name == target and counts[name] == int(number):
            os.kill(os.getpid(), signal.SIGKILL)

    return reach_failpoint


def manager_with_unreachable_consoles(folder: Path) -> type[ProcessManager]:
    """Return a `ProcessManager` class that cannot reach the consoles listed in the folder's file."""

    class PartialProcessManager(ProcessManager):
        def query(self, member: str, console: Address) -> ConsoleAnswer | None:
            path = folder / UNREACHABLE_FILE
            unreachable = json.loads(path.read_text()) if path.exists() else []
            return None if member in unreachable else super().query(member, console)

    return PartialProcessManager


def main(folder: Path, failpoint: str = "") -> int:
    """Run the change of a folder to its end; return 0 then, or 75 if the change cannot be taken."""
    try:
        controller = Controller(
            folder, kill_at_failpoint(failpoint), manager_with_unreachable_consoles(folder)
        )
    except RolloutError as error:
        print(error, flush=True)
        return EXIT_NOT_STARTED
    controller.run()
    controller.close()
    return 0


if __name__ == "__main__":
    sys.exit(main(Path(sys.argv[1]), *sys.argv[2:3]))
