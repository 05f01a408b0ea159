"""Operators' commands to the controller of a change, passed in the file `wish.json` of its folder."""

from __future__ import annotations

import json
from contextlib import suppress
from enum import StrEnum
from pathlib import Path
from typing import NamedTuple

from eiderfield.durable import SHARED_MODE, replace_file
from eiderfield.rollout.errors import JournalWriteError

COMMAND_FILE = "wish.json"


class OperatorCommand(StrEnum):
    """A command that an operator may give for a change."""

    PAUSE = "pause"
    RESUME = "resume"
    UNDO = "undo"


class _FileIdentity(NamedTuple):
    """The inode and modification time, which tell a file from a later one at the same path."""

    inode: int
    modified_ns: int


def send_command(folder: Path, command: str) -> None:
    """Write `command` for the controller of the change in `folder`; it replaces one that is still pending.

    Raises:
        ValueError: `command` is not an operator command.
        JournalWriteError: the command could not be written.
    """
    command = OperatorCommand(command)
    path = folder / COMMAND_FILE
    try:
        replace_file(path, json.dumps({"word": command}), SHARED_MODE)
    except OSError as error:
        raise JournalWriteError(path, str(error.strerror)) from None


class CommandFile:
    """The controller's view of the command file of a change."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / COMMAND_FILE
        self._handled: _FileIdentity | None = None  # a handled command's file that could not be removed

    def pending(self) -> OperatorCommand | None:
        """Return the command that has not been handled yet; None if there is none or it is not valid."""
        try:
            if _identity(self._path) == self._handled:
                return None
            return OperatorCommand(json.loads(self._path.read_text())["word"])
        except (OSError, ValueError, LookupError, TypeError):
            return None

    def mark_handled(self) -> None:
        """Remove the file of a command that was applied or rejected.

        If the file cannot be removed, `pending` ignores it until a new command replaces it.
        """
        try:
            self._path.unlink()
        except FileNotFoundError:
            return
        except OSError:
            with suppress(OSError):
                self._handled = _identity(self._path)


def _identity(path: Path) -> _FileIdentity:
    status = path.stat()
    return _FileIdentity(status.st_ino, status.st_mtime_ns)
