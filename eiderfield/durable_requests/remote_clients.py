"""Marks by which dispatchers tell the owners of requests that clients wait for these elsewhere.

    waiting/INCARNATION/HASH     clients of that incarnation's process wait for a request of another one
    waiting/INCARNATION/lease    until when these marks hold: monotonic time in ms, in eight bytes

A process renews the lease of its marks. Once the lease is over, for the process was stopped, nobody knows
whether its clients still wait. A mark means nothing after the end of its process, which resets the
connections of its clients; for the same reason no mark is synced.
"""

from __future__ import annotations

import os
import struct
from collections.abc import Collection, Iterable
from contextlib import suppress
from enum import Enum

from eiderfield.durable import FOLDER_MODE, PRIVATE_MODE
from eiderfield.durable_requests.files import FolderFiles, hashed_name
from eiderfield.durable_requests.incarnations import Incarnations

WAITING, LEASE = "waiting", "lease"  # the subfolder, and the file of a lease in it
MARK_LEASE_MS = 100.0  # after the close of its client an attempt may begin so long
_LEASE = struct.Struct("<d")


class Presence(Enum):
    """Whether a client of another process waits for a request."""

    WAITING = "waiting"
    UNKNOWN = "unknown"  # one has waited at a process that is stopped
    GONE = "gone"


class RemoteClients:
    """All marks in a folder. Methods raise `OSError` if the system refuses a call."""

    def __init__(self, files: FolderFiles, incarnations: Incarnations) -> None:
        """Use the folder of `files`; `incarnations` has the processes that may have written marks."""
        self._files = FolderFiles(files.path)
        self._incarnations = incarnations

    def add(self, id_: str, incarnation: str) -> None:
        """Mark that clients of an incarnation's process wait for a request."""
        (self._files.path / WAITING / incarnation).mkdir(exist_ok=True, mode=FOLDER_MODE)
        self._files.link(incarnation, WAITING, incarnation, hashed_name(id_))

    def remove(self, id_: str, incarnation: str) -> None:
        """Remove the mark of an incarnation for a request, if there is one."""
        self._files.remove(WAITING, incarnation, hashed_name(id_))

    def remove_all(self, incarnation: str) -> None:
        """Remove all marks of an incarnation."""
        for name in self._files.names(f"{WAITING}/{incarnation}"):
            self._files.remove(WAITING, incarnation, name)
        with suppress(OSError):
            (self._files.path / WAITING / incarnation).rmdir()

    def renew(self, incarnation: str, now: float) -> None:
        """Let the marks of an incarnation hold for `MARK_LEASE_MS` from `now` on."""
        path = self._files.path / WAITING / incarnation / LEASE
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_CLOEXEC, PRIVATE_MODE)
        try:
            os.pwrite(descriptor, _LEASE.pack(now + MARK_LEASE_MS), 0)
        finally:
            os.close(descriptor)

    def presence(self, id_: str, owners: Iterable[str], now: float) -> Presence:
        """Return whether clients of other processes wait for a request.

        `owners` are the incarnations that the request has belonged to. One of an earlier revision, whose
        process runs and writes no marks, may still have its clients, and counts as if it had.
        """
        name = hashed_name(id_)
        marked = [each for each in self._files.names(WAITING) if self._files.exists(WAITING, each, name)]
        marked = [each for each in marked if self._is_running(each)]
        if any(self._holds(each, now) for each in marked) or any(
            map(self._may_have_unmarked_clients, owners)
        ):
            return Presence.WAITING
        return Presence.UNKNOWN if marked else Presence.GONE

    def marked(self, ids: Collection[str], now: float) -> list[str]:
        """Return those of some requests for which clients of any process are known to wait."""
        marked: set[str] = set()
        for incarnation in self._files.names(WAITING):
            names = self._files.names(f"{WAITING}/{incarnation}")
            if names and self._holds(incarnation, now) and self._is_running(incarnation):
                marked.update(names)
        if not marked:
            return []
        return [id_ for id_ in ids if hashed_name(id_) in marked]

    def _holds(self, incarnation: str, now: float) -> bool:
        with suppress(FileNotFoundError, struct.error):
            data = (self._files.path / WAITING / incarnation / LEASE).read_bytes()
            return now < float(_LEASE.unpack(data)[0])
        return False

    def _is_running(self, incarnation: str) -> bool:
        info = self._incarnations.info(incarnation)
        return info is not None and info.is_running

    def _may_have_unmarked_clients(self, incarnation: str) -> bool:
        info = self._incarnations.info(incarnation)
        return info is not None and not info.marks_clients and info.is_running
