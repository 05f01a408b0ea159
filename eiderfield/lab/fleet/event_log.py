"""Event logs of the stand-in workers and clients. Each process writes its own, with one JSON line per event.

Times are in s of the machine's monotonic clock, which all processes share. The dispatchers under test do not
write these logs, so that the rules are checked without relying on what a dispatcher reports of itself.
"""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any

# `t` is the time and `what` the name of the event; other keys name its processes, job and attempt.
Event = dict[str, Any]

WORKER_EVENTS = "workers.jsonl"
CLIENT_EVENTS = "clients.jsonl"


class EventLogWriter:
    """Appends events to a log. Each line is flushed at once: a killed process loses none."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("a", buffering=1)

    def write(self, what: str, **more: Any) -> None:
        """Append an event with the present time."""
        self._file.write(json.dumps({"t": time.monotonic(), "what": what, **more}) + "\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class EventLogReader:
    """Reads a log while another process appends to it."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._offset = 0

    def read_new(self) -> list[Event]:
        """Return the events whose lines were completed since the last call."""
        if not self._path.exists():
            return []
        with self._path.open("rb") as file:
            file.seek(self._offset)
            data = file.read()
        end = data.rfind(b"\n") + 1
        self._offset += end
        return [json.loads(line) for line in data[:end].splitlines()]


def read_events(path: Path) -> list[Event]:
    """Return all events of a log whose lines are complete."""
    return EventLogReader(path).read_new()
