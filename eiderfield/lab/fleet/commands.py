"""The commands from a run to its stand-in processes: one JSON line each, on standard input.

A stand-in announces on standard output that it is ready, carries commands out, and ends with its input: none
outlives its run.
"""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Any

from eiderfield.errors import EiderfieldError

MAX_COMMAND_SIZE = 64 * 1024 * 1024  # bytes: all jobs of a run are one command

READY = "ready"
OPEN = "open"
LISTENING = "listening"
OVER = "over"


class CommandError(EiderfieldError, ValueError):
    """A line that is no command."""


@dataclass(frozen=True, slots=True)
class WorkerSettings:
    """What all workers of a run have in common; times in ms."""

    slots: int
    queue: int
    cell: int
    zones: int
    window: float
    cold: float
    cold_share: float
    progress: float


@dataclass(frozen=True, slots=True)
class OpenBackends:
    """Opens the workers' and discovery's listeners. Dispatchers and workers are known by their names."""

    settings: WorkerSettings
    discovery_kind: str
    workers: list[str]
    ports: dict[str, dict[str, str]]  # by dispatcher and worker: where the worker listens for it
    addresses: dict[str, dict[str, str]]  # by dispatcher and worker: its state as discovery announced it
    discovery_ports: dict[str, str]  # by dispatcher

    @classmethod
    def from_plain(cls, plain: dict[str, Any]) -> OpenBackends:
        """The command out of plain values."""
        return cls(**{**plain, "settings": WorkerSettings(**plain["settings"])})


@dataclass(frozen=True, slots=True)
class SetBackendFault:
    """Begins or ends a fault of a worker, or of discovery."""

    fault: str
    target: str
    active: bool
    value: float


@dataclass(frozen=True, slots=True)
class OpenLinks:
    """Opens links: by name, where each listens and where it leads."""

    links: dict[str, tuple[str, str]]


@dataclass(frozen=True, slots=True)
class SetLinkFault:
    """Begins or ends a fault of some links."""

    fault: str
    links: list[str]
    active: bool
    direction: str
    value: float


@dataclass(frozen=True, slots=True)
class PlannedJob:
    """A job with its time in s from the first one; `run` and `deadline` in ms."""

    job: str
    kind: str
    at: float
    run: float
    key: str
    deadline: float
    asks_again: bool
    slots: int


@dataclass(frozen=True, slots=True)
class StartClients:
    """Starts the clients; `start` is a time of the monotonic clock."""

    jobs: list[PlannedJob]
    start: float
    retries: int
    addresses: dict[str, tuple[str, int]]  # of the dispatchers
    one_id: bool
    asks_both: bool

    @classmethod
    def from_plain(cls, plain: dict[str, Any]) -> StartClients:
        """The command out of plain values."""
        jobs = [PlannedJob(**job) for job in plain["jobs"]]
        addresses = {name: (host, port) for name, (host, port) in plain["addresses"].items()}
        return cls(**{**plain, "jobs": jobs, "addresses": addresses})


@dataclass(frozen=True, slots=True)
class SetHealthyDispatchers:
    """The dispatchers that the front before the clients holds for healthy."""

    names: list[str]


@dataclass(frozen=True, slots=True)
class StopClients:
    """No more jobs: the run ends once those that were sent are over."""


Command = (
    OpenBackends
    | SetBackendFault
    | OpenLinks
    | SetLinkFault
    | StartClients
    | SetHealthyDispatchers
    | StopClients
)


def encode(command: Command) -> str:
    """A command as a line."""
    return json.dumps({"command": type(command).__name__, "arguments": asdict(command)}) + "\n"


def decode(line: bytes | str) -> Command:
    """The command of a line; raises `CommandError`."""
    message = json.loads(line)
    name, arguments = message["command"], message["arguments"]
    match name:
        case "OpenBackends":
            return OpenBackends.from_plain(arguments)
        case "StartClients":
            return StartClients.from_plain(arguments)
        case "OpenLinks":
            return OpenLinks({name: (at, target) for name, (at, target) in arguments["links"].items()})
        case "SetBackendFault":
            return SetBackendFault(**arguments)
        case "SetLinkFault":
            return SetLinkFault(**arguments)
        case "SetHealthyDispatchers":
            return SetHealthyDispatchers(**arguments)
        case "StopClients":
            return StopClients()
    raise CommandError(f"no such command: {name!r}")


def announce(word: str) -> None:
    """Send one line to the process that started this one."""
    sys.stdout.write(word + "\n")
    sys.stdout.flush()


async def serve_commands(carry_out: Callable[[Command], None]) -> None:
    """Carries out commands until the input ends."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=MAX_COMMAND_SIZE)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        carry_out(decode(line))
