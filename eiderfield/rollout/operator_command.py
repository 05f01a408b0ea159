"""Commands that operators leave for the controller of a change, in the file `wish.json` of its folder."""

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
    """What an operator may ask of a change."""

    PAUSE = "pause"
    RESUME = "resume"
    UNDO = "undo"


class _FileIdentity(NamedTuple):
    """Distinguishes a file from the one that replaces it."""

    inode: int
    modified_ns: int


def send_command(folder: Path, command: str) -> None:
    """Leave `command` for the controller of the change in `folder`.

    Raises:
        ValueError: `command` is no operator command.
        JournalWriteError: the command could not be written.
    """
    command = OperatorCommand(command)
    path = folder / COMMAND_FILE
    try:
        replace_file(path, json.dumps({"word": command}), SHARED_MODE)
    except OSError as error:
        raise JournalWriteError(path, str(error.strerror)) from None


class CommandFile:
    """The command file of a change, as its controller reads it."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / COMMAND_FILE
        self._handled: _FileIdentity | None = None  # a handled command whose file could not be removed

    def pending(self) -> OperatorCommand | None:
        """Return the command that waits to be handled; None if there is none, or no valid one."""
        try:
            if _identity(self._path) == self._handled:
                return None
            return OperatorCommand(json.loads(self._path.read_text())["word"])
        except (OSError, ValueError, LookupError, TypeError):
            return None

    def mark_handled(self) -> None:
        """Remove the command that was handled, or refused.

        Where the file cannot be removed, this object ignores it until another one replaces it.
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
