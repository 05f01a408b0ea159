"""What a controller writes down, so that another can go on: one file, always whole, and a lock a dispatcher.

    journal.json    the change's name, its plan's digest, its state and what was said, with a checksum
    wish.json       an operator's word that the controller has not heeded yet
    moves.jsonl     every move before it is made, and what came of it: for people; nothing reads it back

The journal is replaced as a whole (`durable.py`): a controller that dies at any moment leaves the one before
or this one, and one that cannot write goes on from the one before. One that is torn, changed by hand or of
another plan is refused by name.

Locks are the system's own on a file for each console's address, so that two changes of one dispatcher cannot
go on at once from whatever folder they are led, and a lock ends with its process.
"""

from __future__ import annotations

import fcntl
import json
import os
import tempfile
from collections.abc import Iterable
from contextlib import ExitStack, suppress
from dataclasses import dataclass, field
from pathlib import Path
from types import TracebackType
from typing import Any
from zlib import crc32

from eiderfield.config.address import Address
from eiderfield.durable import SHARED_MODE, append_line, replace_file
from eiderfield.errors import EiderfieldError
from eiderfield.rollout.plan import Plan
from eiderfield.rollout.state_machine import COMMANDS, RolloutState, decode_state

FORM = 1
WISH = "wish.json"  # an operator's word, in a change's folder
KEPT = 200  # entries of what was said, the latest


class JournalError(EiderfieldError, RuntimeError):
    """A journal that cannot be gone on from, or a fleet that another controller leads."""


class JournalWriteError(JournalError):
    """A journal that the system refused to write: what it was to say does not count."""


@dataclass
class Journal:
    """The journal of one change."""

    folder: Path
    plan: str  # its digest
    id: str  # of the change, which its processes carry
    state: RolloutState = field(default_factory=RolloutState)
    said: list[dict[str, Any]] = field(default_factory=list)  # t (Unix time), phase, stage, why
    processes: list[dict[str, Any]] = field(
        default_factory=list
    )  # that were known, with their side and console
    body: str = ""  # what was written or read last
    heeded_file: tuple[int, int] = (0, 0)  # the file of a word that was heeded and could not be removed

    @property
    def path(self) -> Path:
        """Where it lies."""
        return self.folder / "journal.json"

    def write(self, now: float, note: str = "") -> None:
        """Writes it down, with a note of where things stand at `now` (Unix time, s, for people alone).
        Raises `JournalWriteError`."""
        state = self.state
        entry = {"t": now, "phase": state.phase, "stage": state.stage, "why": note or state.why}
        last = self.said[-1] if self.said else {}
        said = self.said
        if any(last.get(key) != entry[key] for key in ("phase", "stage", "why")):
            said = [*said, entry][-KEPT:]
        told = {
            "form": FORM,
            "plan": self.plan,
            "id": self.id,
            "state": state.encode(),
            "said": said,
            "processes": self.processes,
        }
        body = json.dumps(told, sort_keys=True)
        try:
            replace_file(
                self.path, json.dumps({"sum": f"{crc32(body.encode()):08x}", "body": body}), SHARED_MODE
            )
        except OSError as error:
            raise JournalWriteError(f"{self.path}: {error.strerror}") from None
        self.said, self.body = said, body

    def go_back(self) -> None:
        """To what was written or read last: what was decided since then does not count."""
        told = json.loads(self.body)
        self.state, self.said = decode_state(told["state"]), list(told["said"])

    def note(self, **told: Any) -> None:
        """A line of `moves.jsonl`. On a disk that takes nothing it is lost: nothing reads it back."""
        with suppress(OSError):
            append_line(self.folder / "moves.jsonl", json.dumps(told))

    def wish(self) -> str:
        """The operator's word that waits, '' if there is none."""
        try:
            if _file_of(self._wish_path) == self.heeded_file:
                return ""
            word = json.loads(self._wish_path.read_text())["word"]
        except (OSError, ValueError, LookupError, TypeError):
            return ""
        return str(word) if word in COMMANDS else ""

    def heeded(self) -> None:
        """The word that waited has been heeded, or refused."""
        try:
            os.unlink(self._wish_path)
        except FileNotFoundError:
            return
        except OSError:  # it must not be heeded again
            with suppress(OSError):
                self.heeded_file = _file_of(self._wish_path)

    @property
    def _wish_path(self) -> Path:
        return self.folder / WISH


def ask(folder: Path, word: str) -> None:
    """Leaves an operator's word for the controller of a folder; `JournalWriteError` if it is not left."""
    if word not in COMMANDS:
        raise ValueError(f"no word for a controller: {word!r}")
    try:
        replace_file(folder / WISH, json.dumps({"word": word}), SHARED_MODE)
    except OSError as error:
        raise JournalWriteError(f"{folder / WISH}: {error.strerror}") from None


def read(folder: Path, plan: Plan | None = None) -> Journal:
    """The journal of a folder; `JournalError` if it is none, or not of `plan`."""
    path = folder / "journal.json"
    try:
        outer = json.loads(path.read_text(encoding="utf-8"))
        body = outer["body"]
        if f"{crc32(body.encode()):08x}" != outer["sum"]:
            raise ValueError("its checksum does not fit: it is torn, or was changed by hand")
        told = json.loads(body)
        if told["form"] != FORM:
            raise ValueError(f"it has form {told['form']!r}, this program reads {FORM}")
        found = Journal(
            folder,
            str(told["plan"]),
            str(told["id"]),
            decode_state(told["state"]),
            list(told["said"]),
            list(told["processes"]),
            body,
        )
    except (OSError, ValueError, LookupError, TypeError, AttributeError) as error:
        raise JournalError(f"{path}: {error}") from None
    if plan is not None and found.plan != plan.digest:
        raise JournalError(f"{path}: of another plan ({found.plan}; this one is {plan.digest})")
    return found


class Locks:
    """That no other controller changes any of these dispatchers. Held until `close`, or the process's end."""

    def __init__(self, plan: Plan, place: Path | None = None) -> None:
        self._stack = ExitStack()
        place = Path(tempfile.gettempdir()) if place is None else place
        try:
            for member in plan.members:
                self._take(place, member.name, member.consoles())
        except BaseException:
            self.close()
            raise

    def _take(self, place: Path, name: str, consoles: Iterable[Address]) -> None:
        for host, port in consoles:
            path = place / f"eiderfield-rollout-{host}-{port}.lock"
            flags = os.O_RDWR | os.O_CREAT | os.O_NOFOLLOW | os.O_CLOEXEC
            try:
                file = self._stack.enter_context(os.fdopen(os.open(path, flags, 0o600), "r+"))
                fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                holder = path.read_text().strip() or "unknown"
                raise JournalError(
                    f"{name} is being changed already, by the controller with pid {holder}"
                ) from None
            except OSError as error:
                raise JournalError(f"{name} cannot be locked: {path}: {error}") from None
            with suppress(OSError):  # on a full disk: the lock holds all the same
                os.truncate(file.fileno(), 0)
                os.pwrite(file.fileno(), f"{os.getpid()}\n".encode(), 0)

    def close(self) -> None:
        """Lets all go."""
        self._stack.close()

    def __enter__(self) -> Locks:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.close()


def _file_of(path: Path) -> tuple[int, int]:
    """Tells a file from the one that takes its place."""
    found = os.stat(path)
    return found.st_ino, found.st_mtime_ns
