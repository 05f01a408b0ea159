"""The file in which operators' bans persist across processes.

The file holds Unix times, which are converted from and to the process's clock. After a step of the wall clock
a ban that is read may be in the future. It is then later than any start of its worker, and the worker goes
through slow start when the ban is lifted.
"""

from __future__ import annotations

import json
import os
from collections.abc import Callable, Mapping
from math import isfinite
from pathlib import Path

from eiderfield.durable import TRANSIENT_ERRNOS, replace_file
from eiderfield.net.clock import WallClock

MAX_FILE_BYTES = 1 << 20  # size of a file with thousands of names; a larger one is truncated when it is read

BanTimes = dict[str, float]  # start of each ban, by worker name


class BanFile:
    """Reads and writes the file of bans. Its methods block and may run in another thread."""

    def __init__(self, path: Path, log: Callable[[str], None], wall: WallClock | None) -> None:
        """Create an object for the file at `path`, without accessing the file.

        Args:
            path: The file.
            log: Called with a line for operators.
            wall: Converts times of the process's clock to Unix time; without it they are equal.
        """
        self.path = path
        self._log = log
        self._wall = wall

    def read(self) -> BanTimes:
        """Return the bans in the file, none if the file is missing or malformed.

        Raises:
            OSError: The file cannot be read because of a transient error.
        """
        try:
            descriptor = os.open(self.path, os.O_RDONLY | os.O_NOFOLLOW | os.O_NONBLOCK | os.O_CLOEXEC)
            with os.fdopen(descriptor, "rb") as file:
                if os.fstat(descriptor).st_uid != os.getuid():
                    raise ValueError("it belongs to another user")
                bans = parse_bans(json.loads(file.read(MAX_FILE_BYTES)))
                return _shifted(bans, -self._unix_offset())
        except FileNotFoundError:
            return {}
        except (OSError, ValueError, RecursionError) as error:
            if isinstance(error, OSError) and error.errno in TRANSIENT_ERRNOS:
                raise
            self._log(f"bans: file ignored (path={self.path} error={error})")
            return {}

    def write(self, bans: Mapping[str, float]) -> None:
        """Replace the file atomically; raises `OSError`."""
        replace_file(self.path, json.dumps({"banned": _shifted(bans, self._unix_offset())}))

    def _unix_offset(self) -> float:
        """Return Unix time minus the process's clock, in ms."""
        return 0.0 if self._wall is None else self._wall.offset()


def parse_bans(document: object) -> BanTimes:
    """Return the bans of a decoded file; raises `ValueError` if it is malformed."""
    banned = document.get("banned") if isinstance(document, dict) else None
    if not isinstance(banned, dict):
        raise ValueError("no table of bans")
    for since in banned.values():
        if isinstance(since, bool) or not isinstance(since, int | float) or not isfinite(since):
            raise ValueError("a ban's time is not a number")
    return {str(name): float(since) for name, since in banned.items()}


def _shifted(bans: Mapping[str, float], offset: float) -> BanTimes:
    return {name: since + offset for name, since in bans.items()}
