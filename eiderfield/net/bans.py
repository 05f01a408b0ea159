"""The bans that operators have pronounced, kept in a file so that they outlive the process."""

from __future__ import annotations

import json
import os
from collections.abc import Callable
from contextlib import suppress
from math import isfinite
from pathlib import Path

MOST = 1 << 20  # bytes of the file: thousands of names


class Bans:
    """Names of banned workers, with when each was banned. Without a path they live in memory alone."""

    def __init__(self, path: Path | None, log: Callable[[str], None]) -> None:
        self._path = path
        self._log = log
        self.since: dict[str, float] = {}

    def read(self) -> None:
        """Takes in what an earlier process kept. A file that is torn or not ours must not stop the start."""
        if self._path is None:
            return
        try:
            fd = os.open(self._path, os.O_RDONLY | os.O_NOFOLLOW | os.O_NONBLOCK | os.O_CLOEXEC)
            with os.fdopen(fd, "rb") as file:
                if os.fstat(fd).st_uid != os.getuid():
                    raise ValueError("it belongs to another user")
                self.since = parse(json.loads(file.read(MOST)))
        except FileNotFoundError:
            return
        except (OSError, ValueError, RecursionError) as error:
            self._log(f"bans: {self._path} is not taken: {error}")

    def told(self) -> dict[str, dict[str, float]]:
        """The bans in the file's form."""
        return {"banned": self.since}

    def keep(self) -> bool:
        """Writes the bans down: renamed into place, for a reader must never see half of them."""
        if self._path is None:
            return True
        draft = self._path.with_name(f"{self._path.name}.{os.getpid()}")
        try:
            with suppress(FileNotFoundError):
                draft.unlink()
            fd = os.open(draft, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o600)
            with os.fdopen(fd, "w", encoding="utf-8") as file:
                json.dump(self.told(), file)
            draft.replace(self._path)
        except OSError as error:
            self._log(f"bans: {self._path} cannot be written: {error}")
            return False
        return True


def parse(told: object) -> dict[str, float]:
    """Bans in the file's form; raises `ValueError` if it is not that."""
    banned = told.get("banned") if isinstance(told, dict) else None
    if not isinstance(banned, dict):
        raise ValueError("no table of bans")
    for since in banned.values():
        if isinstance(since, bool) or not isinstance(since, int | float) or not isfinite(since):
            raise ValueError("a ban's time is not a number")
    return {str(name): float(since) for name, since in banned.items()}
