"""The two versions of a rolling change, and the actions that bring a dispatcher to either of them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from eiderfield.config.address import Address


class Version(Enum):
    """The version that a process, a member or a settings file belongs to. The values are stored."""

    OLD = "old"
    NEW = "new"


@dataclass(frozen=True, slots=True)
class StartProcess:
    """Start a process of `version` whose console listens on the address `console`."""

    member: str
    version: Version
    console: Address


@dataclass(frozen=True, slots=True)
class StopProcess:
    """Ask the process `pid` to stop, or kill it if `kill` is set."""

    member: str
    pid: int
    kill: bool = False


@dataclass(frozen=True, slots=True)
class ApplySettings:
    """Install the settings file of `version`, and ask the process `pid`, unless it is None, to reload it."""

    member: str
    version: Version
    pid: int | None


Action = StartProcess | StopProcess | ApplySettings
