"""The commands that a run sends to its child processes, each as one JSON line on standard input.

The children simulate workers, discovery, clients and the network. Each announces on standard output that it
is ready, executes commands, and exits at the end of its input, so that none outlives its run.
"""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Any

from eiderfield.errors import EiderfieldError

MAX_COMMAND_SIZE = 64 * 1024 * 1024  # bytes; all jobs of a run are sent in one command

READY = "ready"
OPEN = "open"
LISTENING = "listening"
OVER = "over"


class CommandError(EiderfieldError, ValueError):
    """A line names an unknown command."""


@dataclass(frozen=True, slots=True)
class WorkerSettings:
    """The settings that all workers of a run share; times in ms."""

    slots: int  # of each worker
    queue: int  # attempts that a worker queues at most
    cell: int  # workers in a group
    zones: int
    window: float  # in which a group deduplicates the jobs of a key
    cold: float  # from a restart to full capacity
    cold_share: float  # share of the capacity at a restart
    progress: float  # between two progress messages of a job


@dataclass(frozen=True, slots=True)
class OpenBackends:
    """Opens the listeners of the workers and of discovery; dispatchers and workers are given by name."""

    settings: WorkerSettings
    discovery_kind: str
    workers: list[str]
    ports: dict[str, dict[str, str]]  # by dispatcher and worker: where the worker listens for the dispatcher
    addresses: dict[str, dict[str, str]]  # by dispatcher and worker: the address that discovery lists
    discovery_ports: dict[str, str]  # by dispatcher: where discovery listens for it

    @classmethod
    def from_plain(cls, plain: dict[str, Any]) -> OpenBackends:
        """Return the command for decoded JSON values."""
        return cls(**{**plain, "settings": WorkerSettings(**plain["settings"])})


@dataclass(frozen=True, slots=True)
class SetBackendFault:
    """Starts or ends a fault of a worker or of discovery."""

    fault: str
    target: str
    active: bool
    value: float


@dataclass(frozen=True, slots=True)
class OpenLinks:
    """Opens links, given by name with the address that each listens on and its target."""

    links: dict[str, tuple[str, str]]


@dataclass(frozen=True, slots=True)
class SetLinkFault:
    """Starts or ends a fault of the named links."""

    fault: str
    links: list[str]
    active: bool
    direction: str
    value: float


@dataclass(frozen=True, slots=True)
class PlannedJob:
    """A job to send `at` s after the start of the schedule; `run` and `deadline` are in ms."""

    job: str
    kind: str
    at: float
    run: float
    key: str
    deadline: float
    asks_again: bool  # whether the client retries after its connection broke
    slots: int


@dataclass(frozen=True, slots=True)
class StartClients:
    """Starts the clients; the schedule starts at `start`, a time of the monotonic clock in s."""

    jobs: list[PlannedJob]
    start: float
    retries: int
    addresses: dict[str, tuple[str, int]]  # of the dispatchers
    one_id: bool  # whether retries carry the request id of the first attempt
    asks_both: bool  # whether a retry goes to two dispatchers at once

    @classmethod
    def from_plain(cls, plain: dict[str, Any]) -> StartClients:
        """Return the command for decoded JSON values."""
        jobs = [PlannedJob(**job) for job in plain["jobs"]]
        addresses = {name: (host, port) for name, (host, port) in plain["addresses"].items()}
        return cls(**{**plain, "jobs": jobs, "addresses": addresses})


@dataclass(frozen=True, slots=True)
class SetHealthyDispatchers:
    """Sets the dispatchers that the clients' front end considers healthy."""

    names: list[str]


@dataclass(frozen=True, slots=True)
class StopClients:
    """Ends the schedule; the clients are done once the jobs already sent are over."""


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
    """Return a command as a JSON line."""
    return json.dumps({"command": type(command).__name__, "arguments": asdict(command)}) + "\n"


def decode(line: bytes | str) -> Command:
    """Return the command of a JSON line; raise `CommandError` if its name is unknown."""
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
    """Write a word as one line to the process that started this one."""
    sys.stdout.write(word + "\n")
    sys.stdout.flush()


async def serve_commands(execute: Callable[[Command], None]) -> None:
    """Execute commands from standard input until its end."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=MAX_COMMAND_SIZE)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        execute(decode(line))
