"""Books: what workers and clients saw, each written by its own process, a JSON line for each event.

Times are those of the machine's steady clock, in s, which all processes share. A book is written apart from
the program that it judges and holds nothing that this one said of itself.
"""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any

Event = dict[str, Any]


class Book:
    """A book that is being written. Each event is out of the process as soon as it has happened."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("a", buffering=1)

    def write(self, what: str, **more: Any) -> None:
        """Writes an event down."""
        self._file.write(json.dumps({"t": time.monotonic(), "what": what, **more}) + "\n")

    def close(self) -> None:
        """Ends the book."""
        self._file.close()


class Reading:
    """A book that is read while it is written."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._at = 0

    def more(self) -> list[Event]:
        """The whole events that have come since the last look."""
        if not self._path.exists():
            return []
        with self._path.open("rb") as file:
            file.seek(self._at)
            data = file.read()
        end = data.rfind(b"\n") + 1
        self._at += end
        return [json.loads(line) for line in data[:end].splitlines()]


def read(path: Path) -> list[Event]:
    """All whole events of a book."""
    return Reading(path).more()
