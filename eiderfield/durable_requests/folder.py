"""The folder that the dispatchers of a host share.

    form                    the version of this layout; a folder of another version is refused
    members/, beats/        `incarnations.py`
    votes/, fences/         `fences.py`
    ids/, keys/             `ids.py`
    wishes/                 `end_requests.py`
    waiting/                `remote_clients.py`
    lives/INCARNATION.db    the records of an incarnation, with one writer (`store.py`)

Processes that compete decide by one system call that succeeds for exactly one of them: it creates a link or a
file that must not exist yet. No process holds a lock, so a stopped or killed process blocks no other.

Why each request has one owner: an incarnation writes a claim into its own store, then looks up its own fence,
and sends only if there is none. A successor sees the fence, then reads the store. If the fence is created
before the owner looks it up, the owner sends nothing; otherwise the claim was written before the fence, and
the successor reads it. This requires that all processes access the files through one kernel, which a network
file system does not provide.
"""

from __future__ import annotations

import os
from contextlib import suppress
from pathlib import Path

from eiderfield.durable import TRANSIENT_ERRNOS
from eiderfield.durable_requests.end_requests import END_REQUESTS, EndRequests
from eiderfield.durable_requests.errors import FOLDER_KEY, FolderError
from eiderfield.durable_requests.fences import FENCES, VOTES, Fences
from eiderfield.durable_requests.files import FolderFiles
from eiderfield.durable_requests.ids import IDS, KEYS, Ids
from eiderfield.durable_requests.incarnations import HEARTBEATS, MEMBERS, Incarnations
from eiderfield.durable_requests.remote_clients import WAITING, RemoteClients

FORM = "1"  # the version of the layout
STORES = "lives"  # the subfolder of the stores; the stored name is older than this module's
PARTS = (MEMBERS, HEARTBEATS, VOTES, FENCES, STORES, IDS, KEYS, END_REQUESTS, WAITING)
_FORM_FILE = "form"
_STORE_SUFFIXES = ("", "-wal", "-shm")  # file name suffixes of an SQLite database
_MAX_SHOWN_FORM = 20  # characters of an unknown version that a message shows


class SharedFolder:
    """The shared folder. Methods raise `OSError` if the system refuses a call."""

    def __init__(self, path: Path, create: bool = True, flush: bool = False) -> None:
        """Open the folder; with `create`, create it if it does not exist.

        Raises `FolderError` if that fails, except after a transient error with `create`: in that case
        `ensure_usable` tries again.
        """
        self.path = path
        self._files = FolderFiles(path, flush)
        self.incarnations = Incarnations(self._files)
        self.fences = Fences(self._files)
        self.ids = Ids(self._files)
        self.end_requests = EndRequests(self._files)
        self.remote_clients = RemoteClients(self._files, self.incarnations)
        self._is_usable = False
        try:
            self._open(create)
        except FolderError as error:
            if not (create and error.transient):
                raise

    def ensure_usable(self) -> None:
        """Create the folder if `__init__` could not. Raises `FolderError` if it cannot be used."""
        if not self._is_usable:
            self._open(create=True)

    def _open(self, create: bool) -> None:
        try:
            if create:
                self._create()
            form = self._files.read(_FORM_FILE)
            owner = self.path.stat().st_uid
        except OSError as error:
            if not create:
                raise FolderError(self.path, "not a folder of durable requests") from None
            is_transient = error.errno in TRANSIENT_ERRNOS
            raise FolderError(self.path, str(error.strerror), FOLDER_KEY, is_transient) from None
        if form != FORM:
            reason = f"is of form {form[:_MAX_SHOWN_FORM]!r}, not {FORM!r}"
            raise FolderError(self.path, reason, FOLDER_KEY)
        if owner != os.getuid():
            raise FolderError(self.path, "belongs to another user", FOLDER_KEY)
        self._is_usable = True

    def _create(self) -> None:
        self._files.create_folders(PARTS)
        if not self._files.exists(_FORM_FILE):
            with suppress(FileExistsError):  # another member creates it at the same time
                self._files.create(FORM, _FORM_FILE)

    def store_path(self, incarnation: str) -> Path:
        """Return the path of an incarnation's store."""
        return self.path / STORES / f"{incarnation}.db"

    def store_version(self, incarnation: str) -> tuple[int, ...] | None:
        """Return a value that changes with each write to a store, None if there is no store."""
        path = self.store_path(incarnation)
        version: list[int] = []
        for file in (path, path.with_name(f"{path.name}-wal")):
            try:
                status = file.stat()
                version += [status.st_size, status.st_mtime_ns]
            except FileNotFoundError:
                if file is path:
                    return None
        return tuple(version)

    def stored_incarnations(self) -> list[str]:
        """Return the incarnations that have a store."""
        return [path.stem for path in sorted((self.path / STORES).glob("*.db"))]

    def remove_incarnation(self, incarnation: str) -> None:
        """Remove all files of a fenced incarnation except its fence."""
        self.incarnations.remove(incarnation)
        for suffix in _STORE_SUFFIXES:
            self._files.remove(STORES, f"{incarnation}.db{suffix}")
        self.fences.remove_votes(incarnation)
        self.remote_clients.remove_all(incarnation)
