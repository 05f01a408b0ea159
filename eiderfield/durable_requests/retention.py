"""Forgets what was answered long ago: in the own store, and in those of lost incarnations.

A lost incarnation's store is removed once nobody writes to it, all that it left is taken over, and its
answers are old. Ids go before records: a record whose id was released does not count any more (`Takeover`).

What must never happen: the id of a record is released after somebody has taken it anew.
"""

from __future__ import annotations

from collections.abc import Callable

from eiderfield.durable_requests.context import Context, Incarnation
from eiderfield.durable_requests.errors import StoreError
from eiderfield.durable_requests.lookup import RecordLookup
from eiderfield.durable_requests.record import Record, Stage

OWN_EVERY = 1000.0  # ms between two clean-ups of the own store
LOST_EVERY = 10_000.0  # ms between two looks at the stores of lost incarnations


class Retention:
    """The clean-up for the current incarnation."""

    def __init__(
        self, context: Context, lookup: RecordLookup, on_own_clock: Callable[[Record, str], Record]
    ) -> None:
        """`on_own_clock` brings the times of an incarnation's record to this boot's clock."""
        self._context = context
        self._lookup = lookup
        self._on_own_clock = on_own_clock
        self._cleaned = self._looked_at_lost = context.now()

    def clean(self, own: Incarnation) -> None:
        """Forgets what is due, at most once in `OWN_EVERY`."""
        now, settings = self._context.now(), self._context.settings
        if now < self._cleaned + OWN_EVERY:
            return
        self._cleaned = now
        before = now - settings.keep
        self.forget(own, own.store.expired(before, settings.most_final, settings.most_bytes))
        if now >= self._looked_at_lost + LOST_EVERY:
            self._looked_at_lost = now
            for name in self._in_care(own):
                self._remove_if_settled(name, before)
        self._context.readers.close_unused()

    def forget(self, own: Incarnation, records: list[Record]) -> None:
        """Forgets final records of the own store. What the system refuses is forgotten at a later time."""
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

    def _in_care(self, own: Incarnation) -> list[str]:
        """The lost incarnations whose store this one is to remove."""
        folder = self._context.folder
        names = [name for name in folder.fences.known if folder.store_path(name).exists()]
        return [name for name in names if folder.fences.chain("", name)[-1] == own.name]

    def _remove_if_settled(self, name: str, before: float) -> None:
        folder, readers = self._context.folder, self._context.readers
        store = readers.open(name)
        if folder.incarnations.may_write(name):
            return
        if store is None:
            if readers.is_empty(name):
                folder.forget(name)
            return
        if any(self._is_owed_by(name, record.id) for record in store.open_records()):
            return
        final = list(store.records((Stage.FINAL,)))
        if any(self._on_own_clock(record, name).finished_at >= before for record in final):
            return
        for record in final:
            self._release(record, name)
        readers.close(name)
        folder.forget(name)

    def _is_owed_by(self, name: str, id_: str) -> bool:
        """Whether a lost incarnation's store holds the latest record of a request without an answer."""
        folder = self._context.folder
        holder = folder.ids.holder(id_)
        chain = [] if holder is None else folder.fences.chain(id_, holder.incarnation)
        if name not in chain:
            return False
        successors = chain[chain.index(name) + 1 :]
        return not any(self._lookup.read(successor, id_) is not None for successor in successors)
