"""Reads the stores of other incarnations, a bounded number of which are open at once.

A store is open, absent, empty (nothing was ever written there), or unreadable. What is unreadable is not
taken for nothing: a request in it may have begun.
"""

from __future__ import annotations

from collections.abc import Callable

from eiderfield.durable_requests.errors import EmptyStoreError, StoreError
from eiderfield.durable_requests.folder import SharedFolder
from eiderfield.durable_requests.record import Record
from eiderfield.durable_requests.store import RecordStore

MOST_OPEN = 6  # stores: each takes three descriptors


class StoreReaders:
    """Open stores of other incarnations, by incarnation."""

    def __init__(self, folder: SharedFolder, log: Callable[[str], None]) -> None:
        """Opens nothing yet."""
        self._folder = folder
        self._log = log
        self._open: dict[str, RecordStore] = {}  # the one that was used last at the end
        self._used: set[str] = set()  # since the last `close_unused`
        self._empty: set[str] = set()  # as of the last look at each
        self._named: set[str] = set()  # unreadable ones that the log names

    def open(self, incarnation: str) -> RecordStore | None:
        """A store; None where it is absent, empty or unreadable."""
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
            self._name(incarnation, error)
            return None
        self._open[incarnation] = store
        if len(self._open) > MOST_OPEN:
            self.close(next(iter(self._open)))
        return store

    def _name(self, incarnation: str, error: StoreError) -> None:
        if incarnation not in self._named and self._folder.fences.exists(incarnation):
            self._named.add(incarnation)
            self._log(f"durable requests: what {incarnation} left cannot be read: {error}")

    def is_empty(self, incarnation: str) -> bool:
        """Whether nothing was ever written to a store that could not be opened."""
        return incarnation in self._empty

    def read(self, incarnation: str, id_: str) -> Record | None:
        """A record; None if it is not there. `StoreError` where that cannot be told."""
        store = self.open(incarnation)
        if store is not None:
            return store.get(id_)
        path = self._folder.store_path(incarnation)
        if not self.is_empty(incarnation) and path.exists():
            raise StoreError(path, "cannot be read", transient=True)
        return None

    def close(self, incarnation: str) -> None:
        """Closes a store, if it is open."""
        if incarnation in self._open:
            self._open.pop(incarnation).close()

    def close_unused(self) -> None:
        """Closes what was not used since the last call."""
        for incarnation in self._open.keys() - self._used:
            self.close(incarnation)
        self._used.clear()

    def close_all(self) -> None:
        """Closes all."""
        for incarnation in list(self._open):
            self.close(incarnation)
