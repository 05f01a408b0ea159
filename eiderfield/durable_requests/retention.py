"""Deletes old answers: from the store of this incarnation, and with the stores of lost incarnations.

The store of a lost incarnation is removed once no process writes to it, all its open requests have been taken
over, and its answers have expired. Ids are released before records are deleted: a record whose id was
released is ignored (`takeover.py`).

Invariant: an id that was acquired again is not released.
"""

from __future__ import annotations

from collections.abc import Callable

from eiderfield.durable_requests.context import Context, Incarnation
from eiderfield.durable_requests.errors import StoreError
from eiderfield.durable_requests.lookup import RecordLookup
from eiderfield.durable_requests.record import Record, Stage

OWN_INTERVAL_MS = 1000.0  # between two clean-ups of this incarnation's store
LOST_INTERVAL_MS = 10_000.0  # between two clean-ups of the stores of lost incarnations


class Retention:
    """The clean-up by the current incarnation."""

    def __init__(
        self, context: Context, lookup: RecordLookup, to_own_clock: Callable[[Record, str], Record]
    ) -> None:
        """Convert the times of an incarnation's record to this boot's clock with `to_own_clock`."""
        self._context = context
        self._lookup = lookup
        self._to_own_clock = to_own_clock
        self._own_cleaned_at = self._lost_cleaned_at = context.now()

    def clean(self, own: Incarnation) -> None:
        """Delete expired records and stores, at most once per `OWN_INTERVAL_MS`."""
        now, settings = self._context.now(), self._context.settings
        if now < self._own_cleaned_at + OWN_INTERVAL_MS:
            return
        self._own_cleaned_at = now
        finished_before = now - settings.retention_ms
        expired = own.store.expired(finished_before, settings.max_final_records, settings.max_bytes)
        self.delete(own, expired)
        if now >= self._lost_cleaned_at + LOST_INTERVAL_MS:
            self._lost_cleaned_at = now
            for name in self._stores_to_remove(own):
                self._remove_if_expired(name, finished_before)
        self._context.readers.close_unused()

    def delete(self, own: Incarnation, records: list[Record]) -> None:
        """Delete FINAL records from this incarnation's store; after an error, a later call deletes them."""
        try:
            for record in records:
                self._release(record, own.name)
            with own.store.transaction():
                own.store.delete([record.id for record in records])
        except (StoreError, OSError) as error:
            self._context.count_failure(error)

    def _release(self, record: Record, incarnation: str) -> None:
        folder = self._context.folder
        holder = folder.ids.holder(record.id)
        if holder is not None and incarnation in folder.fences.chain(record.id, holder.incarnation):
            folder.ids.release(record.id, record.generation, record.class_name, record.key)

    def _stores_to_remove(self, own: Incarnation) -> list[str]:
        """Return the lost incarnations whose store this incarnation is to remove."""
        folder = self._context.folder
        names = [name for name in folder.fences.fenced if folder.store_path(name).exists()]
        return [name for name in names if folder.fences.chain("", name)[-1] == own.name]

    def _remove_if_expired(self, name: str, finished_before: float) -> None:
        folder, readers = self._context.folder, self._context.readers
        store = readers.open(name)
        if folder.incarnations.may_write(name):
            return
        if store is None:
            if readers.is_empty(name):
                folder.remove_incarnation(name)
            return
        if any(self._holds_latest_record(name, record.id) for record in store.open_records()):
            return
        final = list(store.records((Stage.FINAL,)))
        if any(self._to_own_clock(record, name).finished_at >= finished_before for record in final):
            return
        for record in final:
            self._release(record, name)
        readers.close(name)
        folder.remove_incarnation(name)

    def _holds_latest_record(self, name: str, id_: str) -> bool:
        """Return whether the store of a lost incarnation holds the latest record of an open request."""
        folder = self._context.folder
        holder = folder.ids.holder(id_)
        chain = [] if holder is None else folder.fences.chain(id_, holder.incarnation)
        if name not in chain:
            return False
        successors = chain[chain.index(name) + 1 :]
        return not any(self._lookup.read(successor, id_) is not None for successor in successors)
