"""The errors of rolling changes.

RolloutError
├── JournalError          the journal of a change is missing, damaged, or of another plan (path)
│   └── JournalWriteError the system refused to write it (path)
├── LockError             another controller changes a dispatcher, or its lock cannot be taken (member)
└── ProcessError          an action on a process failed (member)
"""

from __future__ import annotations

from pathlib import Path

from eiderfield.errors import EiderfieldError


class RolloutError(EiderfieldError, RuntimeError):
    """The base of all errors of rolling changes."""


class JournalError(RolloutError):
    """A change cannot be read, or continued, from its folder.

    Attributes:
        path: The file or folder at fault.
    """

    def __init__(self, path: Path, reason: str) -> None:
        super().__init__(f"{path}: {reason}")
        self.path = path


class JournalWriteError(JournalError):
    """The system refused to write a file of the change; what it was to hold does not count."""


class LockError(RolloutError):
    """Another controller changes a dispatcher, or its lock cannot be taken.

    Attributes:
        member: The dispatcher's name.
    """

    def __init__(self, member: str, reason: str) -> None:
        super().__init__(f"{member} {reason}")
        self.member = member


class ProcessError(RolloutError):
    """An action on a process of a dispatcher failed.

    Attributes:
        member: The dispatcher's name.
    """

    def __init__(self, member: str, reason: str) -> None:
        super().__init__(f"{member}: {reason}")
        self.member = member
