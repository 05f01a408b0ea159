"""Event logs: what workers and clients saw, each written by its own process, a JSON line for each event.

Times are those of the machine's monotonic clock, in s, which all processes share. A log is written apart from
the program that it judges and holds nothing that this one said of itself.
"""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any

# An event has its time as `t`, what happened as `what`, and the names of those whom it concerns.
Event = dict[str, Any]

WORKER_EVENTS = "workers.jsonl"
CLIENT_EVENTS = "clients.jsonl"


class EventLogWriter:
    """A log that is being written. Each event is out of the process as soon as it has happened."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("a", buffering=1)

    def write(self, what: str, **more: Any) -> None:
        """Writes an event down."""
        self._file.write(json.dumps({"t": time.monotonic(), "what": what, **more}) + "\n")

    def close(self) -> None:
        """Ends the log."""
        self._file.close()


class EventLogReader:
    """A log that is read while it is written."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._offset = 0

    def read_new(self) -> list[Event]:
        """The whole events that have come since the last call."""
        if not self._path.exists():
            return []
        with self._path.open("rb") as file:
            file.seek(self._offset)
            data = file.read()
        end = data.rfind(b"\n") + 1
        self._offset += end
        return [json.loads(line) for line in data[:end].splitlines()]


def read_events(path: Path) -> list[Event]:
    """All whole events of a log."""
    return EventLogReader(path).read_new()
