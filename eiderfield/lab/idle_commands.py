"""The commands to a process of idle clients, and its reports: one JSON line each."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

from eiderfield.errors import EiderfieldError


class CommandError(EiderfieldError, ValueError):
    """A line that is no command."""


@dataclass(frozen=True, slots=True)
class Connect:
    """Opens so many connections, with one job served on each, then silence."""

    count: int


@dataclass(frozen=True, slots=True)
class Wake:
    """Sends jobs on connections picked at random, spread over the time."""

    count: int
    seconds: float


@dataclass(frozen=True, slots=True)
class Trickle:
    """Opens connections that write one byte of a head or a body every so often."""

    count: int
    interval: float  # s between two bytes
    seconds: float
    part: str  # head or body


@dataclass(frozen=True, slots=True)
class ConnectSilently:
    """Open connections that send nothing."""

    count: int
    seconds: float


@dataclass(frozen=True, slots=True)
class HangUp:
    """Closes connections picked at random."""

    count: int


@dataclass(frozen=True, slots=True)
class Count:
    """Asks how many connections are open, and how many the dispatcher has closed."""


Command = Connect | Wake | Trickle | ConnectSilently | HangUp | Count
COMMANDS: dict[str, type[Command]] = {
    kind.__name__: kind for kind in (Connect, Wake, Trickle, ConnectSilently, HangUp, Count)
}


@dataclass(frozen=True, slots=True)
class Report:
    """What came of a command. Times in s; `latencies` is a histogram as text."""

    open: int  # connections
    closed: int = 0  # by the dispatcher
    statuses: dict[str, int] = field(default_factory=dict)  # of answers, and ends without one
    latencies: str = ""
    seconds: float = 0.0  # that the command took
    connected: int = 0
    last: float = 0.0  # when the last connection was closed

    def histogram(self) -> HdrHistogram:
        """The latencies, in microseconds."""
        return HdrHistogram.decode(self.latencies.encode())


def encode_command(command: Command) -> str:
    """A command as a line."""
    return json.dumps({"command": type(command).__name__, "arguments": asdict(command)})


def decode_command(line: str) -> Command:
    """The command of a line; raises `CommandError`."""
    message: dict[str, Any] = json.loads(line)
    kind = COMMANDS.get(message["command"])
    if kind is None:
        raise CommandError(f"no such command: {message['command']!r}")
    return kind(**message["arguments"])


def encode_report(report: Report) -> str:
    """A report as a line."""
    return json.dumps(asdict(report))


def decode_report(line: str) -> Report:
    """The report of a line."""
    return Report(**json.loads(line))
