"""Reads the stores of other incarnations, with a bounded number of open files.

A store is open, absent, empty (nothing was ever written) or unreadable. An unreadable store never counts as
empty: an attempt of a request in it may have started.
"""

from __future__ import annotations

from collections.abc import Callable

from eiderfield.durable_requests.errors import EmptyStoreError, StoreError
from eiderfield.durable_requests.folder import SharedFolder
from eiderfield.durable_requests.record import Record
from eiderfield.durable_requests.store import RecordStore

MAX_OPEN_STORES = 6  # each uses three file descriptors


class StoreReaders:
    """Open stores of other incarnations, by incarnation."""

    def __init__(self, folder: SharedFolder, log: Callable[[str], None]) -> None:
        """Read the stores of `folder`."""
        self._folder = folder
        self._log = log
        self._open: dict[str, RecordStore] = {}  # in the order of their last use
        self._used: set[str] = set()  # incarnations whose store was used since the last `close_unused`
        self._empty: set[str] = set()  # incarnations whose store was empty at the last try to open it
        self._logged: set[str] = set()  # incarnations whose unreadable store has been logged

    def open(self, incarnation: str) -> RecordStore | None:
        """Return the store of an incarnation, None if it is absent, empty or unreadable."""
        self._used.add(incarnation)
        if incarnation in self._open:
            self._open[incarnation] = self._open.pop(incarnation)
            return self._open[incarnation]
        self._empty.discard(incarnation)
        path = self._folder.store_path(incarnation)
        if not path.exists():
            return None
        try:
            store = RecordStore(path, read_only=True)
        except EmptyStoreError:
            self._empty.add(incarnation)
            return None
        except StoreError as error:
            self._log_unreadable(incarnation, error)
            return None
        self._open[incarnation] = store
        if len(self._open) > MAX_OPEN_STORES:
            self.close(next(iter(self._open)))
        return store

    def _log_unreadable(self, incarnation: str, error: StoreError) -> None:
        if incarnation not in self._logged and self._folder.fences.exists(incarnation):
            self._logged.add(incarnation)
            self._log(
                "durable requests: store of a lost incarnation is unreadable "
                f"(name={incarnation} error={error})"
            )

    def is_empty(self, incarnation: str) -> bool:
        """Return whether a store could not be opened because nothing was ever written to it."""
        return incarnation in self._empty

    def read(self, incarnation: str, id_: str) -> Record | None:
        """Return a record, None if there is none. Raises `StoreError` if the store is unreadable."""
        store = self.open(incarnation)
        if store is not None:
            return store.get(id_)
        path = self._folder.store_path(incarnation)
        if not self.is_empty(incarnation) and path.exists():
            raise StoreError(path, "cannot be read", transient=True)
        return None

    def close(self, incarnation: str) -> None:
        """Close a store, if it is open."""
        if incarnation in self._open:
            self._open.pop(incarnation).close()

    def close_unused(self) -> None:
        """Close the stores that were not used since the last call."""
        for incarnation in self._open.keys() - self._used:
            self.close(incarnation)
        self._used.clear()

    def close_all(self) -> None:
        """Close all stores."""
        for incarnation in list(self._open):
            self.close(incarnation)
