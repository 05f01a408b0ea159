"""Marks by which dispatchers tell the owners of requests that clients wait for these elsewhere.

    waiting/INCARNATION/HASH    clients of that incarnation's process wait for a request that it does not own

A mark counts while its process runs, as the end of a process resets the connections of its clients. For the
same reason no mark is synced.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from contextlib import suppress

from eiderfield.durable import FOLDER_MODE
from eiderfield.durable_requests.files import FolderFiles, hashed_name
from eiderfield.durable_requests.incarnations import Incarnations

WAITING = "waiting"  # the subfolder


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

    def is_waited_for(self, id_: str, owners: Iterable[str]) -> bool:
        """Return whether clients of another process wait for a request, or may wait for it.

        `owners` are the incarnations that the request has belonged to. One of an earlier revision, whose
        process runs and writes no marks, may still have its clients.
        """
        return bool(self.marked([id_])) or any(map(self._may_have_unmarked_clients, owners))

    def marked(self, ids: Collection[str]) -> list[str]:
        """Return those of some requests for which clients of a running process are marked to wait."""
        marked: set[str] = set()
        for incarnation in self._files.names(WAITING):
            names = self._files.names(f"{WAITING}/{incarnation}")
            if names and self._is_running(incarnation):
                marked.update(names)
        return [id_ for id_ in ids if hashed_name(id_) in marked]

    def _is_running(self, incarnation: str) -> bool:
        info = self._incarnations.info(incarnation)
        return info is not None and info.is_running

    def _may_have_unmarked_clients(self, incarnation: str) -> bool:
        info = self._incarnations.info(incarnation)
        return info is not None and not info.marks_clients and info.is_running
