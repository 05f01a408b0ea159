"""The versions of a dispatcher, and the actions that bring it from one to the other."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from eiderfield.config.address import Address


class Version(Enum):
    """Which of the two versions a process, a member or a file is of."""

    OLD = "old"
    NEW = "new"


@dataclass(frozen=True, slots=True)
class StartProcess:
    """Start a process of `version`, whose console listens at `console`."""

    member: str
    version: Version
    console: Address


@dataclass(frozen=True, slots=True)
class StopProcess:
    """Ask a process to stop, or kill it."""

    member: str
    pid: int
    kill: bool = False


@dataclass(frozen=True, slots=True)
class ApplySettings:
    """Put the settings of `version` in place, and ask the process, if there is one, to reload them."""

    member: str
    version: Version
    pid: int | None


Action = StartProcess | StopProcess | ApplySettings
