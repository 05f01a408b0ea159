"""The folder that the dispatchers of a host share.

    form           the form of all this; another one is refused by name
    members, beats (`incarnations.py`), votes, fences (`fences.py`), ids, keys (`ids.py`), wishes
                   (`end_requests.py`)
    lives/INCARNATION.db    the records of an incarnation (`store.py`); nobody else writes there

Every decision between processes is one call of the system that succeeds for exactly one of them: making a
link or a name that must not be there. Nobody holds a lock, so a process that is stopped or killed blocks
nobody.

Why each request has one owner: an incarnation writes a claim into its own store and then looks for its own
fence, and only without one sends. Whoever takes over sees the fence made and then reads the store. One of
the two is later, so either the owner sees the fence and sends nothing, or the other sees the claim. That
needs one kernel's view of files: a folder on a network file system is none.
"""

from __future__ import annotations

import os
from contextlib import suppress
from pathlib import Path

from eiderfield.durable import TRANSIENT
from eiderfield.durable_requests.end_requests import END_REQUESTS, EndRequests
from eiderfield.durable_requests.errors import FOLDER_KEY, FolderError
from eiderfield.durable_requests.fences import FENCES, VOTES, Fences
from eiderfield.durable_requests.files import FolderFiles
from eiderfield.durable_requests.ids import IDS, KEYS, Ids
from eiderfield.durable_requests.incarnations import HEARTBEATS, MEMBERS, Incarnations

FORM = "1"
STORES = "lives"
PARTS = (MEMBERS, HEARTBEATS, VOTES, FENCES, STORES, IDS, KEYS, END_REQUESTS)
_FORM_FILE = "form"
_STORE_ENDINGS = ("", "-wal", "-shm")


class SharedFolder:
    """The shared folder; `make` makes it where it is not there. `OSError` for what the system refuses."""

    def __init__(self, path: Path, make: bool = True, flush: bool = False) -> None:
        """Raises `FolderError`, but not for what may pass: `ensure_usable` tries again."""
        self.path = path
        self._files = FolderFiles(path, flush)
        self.incarnations = Incarnations(self._files)
        self.fences = Fences(self._files)
        self.ids = Ids(self._files)
        self.end_requests = EndRequests(self._files)
        self._usable = False
        try:
            self._open(make)
        except FolderError as error:
            if not (make and error.transient):
                raise

    def ensure_usable(self) -> None:
        """Makes the folder, if that could not be done before; `FolderError` if it cannot be used."""
        if not self._usable:
            self._open(make=True)

    def _open(self, make: bool) -> None:
        try:
            if make:
                self._make()
            form = self._files.read(_FORM_FILE)
            owner = os.stat(self.path).st_uid
        except OSError as error:
            if make:
                raise FolderError(
                    self.path, str(error.strerror), FOLDER_KEY, error.errno in TRANSIENT
                ) from None
            raise FolderError(self.path, "not a folder of durable requests") from None
        if form != FORM:
            raise FolderError(self.path, f"is of form {form[:20]!r}, not {FORM!r}", FOLDER_KEY)
        if owner != os.getuid():
            raise FolderError(self.path, "belongs to another user", FOLDER_KEY)
        self._usable = True

    def _make(self) -> None:
        self._files.make(PARTS)
        if not self._files.exists(_FORM_FILE):
            with suppress(FileExistsError):  # another member makes it just now
                self._files.create(FORM, _FORM_FILE)

    def store_path(self, incarnation: str) -> Path:
        """Where an incarnation's store lies."""
        return self.path / STORES / f"{incarnation}.db"

    def store_version(self, incarnation: str) -> tuple[int, ...] | None:
        """Differs once more was written to an incarnation's store; None if there is none."""
        path = self.store_path(incarnation)
        found: list[int] = []
        for place in (path, path.with_name(f"{path.name}-wal")):
            try:
                status = place.stat()
                found += [status.st_size, status.st_mtime_ns]
            except FileNotFoundError:
                if place is path:
                    return None
        return tuple(found)

    def stored_incarnations(self) -> list[str]:
        """The incarnations that have stores."""
        return [path.stem for path in sorted((self.path / STORES).glob("*.db"))]

    def forget(self, incarnation: str) -> None:
        """Removes what is left of a fenced incarnation, but for its fence."""
        self.incarnations.forget(incarnation)
        for ending in _STORE_ENDINGS:
            self._files.remove(STORES, f"{incarnation}.db{ending}")
        self.fences.forget_votes(incarnation)
