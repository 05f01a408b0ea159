"""The exceptions of rolling changes, with their attributes in parentheses.

RolloutError
├── JournalError          the journal of a change is missing or damaged, or belongs to another plan (path)
│   └── JournalWriteError a file of the change could not be written (path)
├── LockError             another controller is changing the dispatcher, or its lock cannot be taken (member)
└── ProcessError          an action on a process failed (member)
"""

from __future__ import annotations

from pathlib import Path

from eiderfield.errors import EiderfieldError


class RolloutError(EiderfieldError, RuntimeError):
    """The base class of all exceptions of rolling changes."""


class JournalError(RolloutError):
    """A change cannot be read from its folder, or cannot be continued.

    Attributes:
        path: The file or folder that caused the error.
    """

    def __init__(self, path: Path, reason: str) -> None:
        super().__init__(f"{path}: {reason}")
        self.path = path


class JournalWriteError(JournalError):
    """A file of the change could not be written, so its new content must not be relied on."""


class LockError(RolloutError):
    """Another controller is changing the dispatcher, or its lock cannot be taken.

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
