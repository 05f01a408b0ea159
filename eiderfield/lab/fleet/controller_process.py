"""A controller of a rolling change in a process of its own, which may be lost or lose contact.

    python -m eiderfield.lab.fleet.controller_process FOLDER [POINT:NUMBER]

At the NUMBER-th time that it comes to POINT (`looked`, `written`, `done`, `before start`, `after end` and
so on) it kills itself, as if its machine had failed just there. The names of dispatchers in
FOLDER/blind.json are those whose consoles it cannot reach: a link that is cut, as the controller sees it.
Of the laboratory alone.
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

ANOTHER_LEADS = 75  # exit code where another controller leads the change
UNREACHABLE_FILE = "blind.json"


def kill_at(failpoint: str) -> Callable[[str], None]:
    """What a controller calls at each named point; it kills the process at the one of `POINT:NUMBER`."""
    target, _, number = failpoint.rpartition(":")
    counts: Counter[str] = Counter()

    def point(name: str) -> None:
        counts[name] += 1
        if name == target and counts[name] == int(number):
            os.kill(os.getpid(), signal.SIGKILL)

    return point


def without_contact(folder: Path) -> type[ProcessManager]:
    """A `ProcessManager` that reaches no console whose dispatcher the folder's file names."""

    class PartlyBlindManager(ProcessManager):
        def query(self, member: str, console: Address) -> ConsoleAnswer | None:
            path = folder / UNREACHABLE_FILE
            unreachable = json.loads(path.read_text()) if path.exists() else []
            return None if member in unreachable else super().query(member, console)

    return PartlyBlindManager


def main(folder: Path, failpoint: str = "") -> int:
    """Leads the change of a folder to its end; 0 once it is over, 75 where another controller leads it."""
    try:
        controller = Controller(folder, kill_at(failpoint), without_contact(folder))
    except RolloutError as error:
        print(error, flush=True)
        return ANOTHER_LEADS
    controller.run()
    controller.close()
    return 0


if __name__ == "__main__":
    sys.exit(main(Path(sys.argv[1]), *sys.argv[2:3]))
