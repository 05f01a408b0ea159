"""Finds what is recorded of a request, wherever it is."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from eiderfield.durable_requests.context import Context
from eiderfield.durable_requests.errors import StoreError
from eiderfield.durable_requests.record import Record, Stage


class Located(NamedTuple):
    """How often an id was taken (0 for never), its latest record, and whom it has belonged to."""

    generation: int
    record: Record | None
    chain: tuple[str, ...]

    @property
    def is_open(self) -> bool:
        """Whether it is recorded and lacks its answer."""
        return self.record is not None and self.record.stage != Stage.FINAL


NOWHERE = Located(0, None, ())


class RecordLookup:
    """Reads the own store and those of others."""

    def __init__(self, context: Context) -> None:
        """Reads nothing yet."""
        self._context = context

    def locate(self, id_: str) -> Located:
        """What is recorded of a request. `StoreError` or `OSError` where that cannot be told."""
        folder = self._context.folder
        holder = folder.ids.holder(id_)
        if holder is None:
            return NOWHERE
        chain = tuple(folder.fences.chain(id_, holder.incarnation))
        for incarnation in reversed(chain):
            record = self.read(incarnation, id_)
            if record is not None and record.generation == holder.generation:
                return Located(holder.generation, record, chain)
        return Located(holder.generation, None, chain)

    def read(self, incarnation: str, id_: str) -> Record | None:
        """What one incarnation has recorded of a request."""
        own = self._context.incarnation
        if own is not None and own.name == incarnation:
            return own.store.get(id_)
        return self._context.readers.read(incarnation, id_)

    def find(self, id_: str) -> Record | None:
        """What is recorded of a request; None also where that cannot be told."""
        try:
            return self.locate(id_).record
        except (StoreError, OSError):
            return None

    def is_abandoned(self, located: Located) -> bool:
        """Whether an id is taken by an incarnation that is fenced and has recorded nothing, so that nobody
        will, but for a commit that was under way."""
        if located.record is not None or not located.chain:
            return False
        return self._context.folder.fences.exists(located.chain[0])

    def is_unwritten_here(self, located: Located) -> bool:
        """Whether an id was taken by this incarnation and nothing recorded: nobody else will record it."""
        return located.record is None and located.chain == (self._context.own_name,)

    def poll_answers(self, ids: Iterable[str]) -> list[tuple[str, Record | None]]:
        """Those of some ids that have their answer, or of which nothing is known any more."""
        found: list[tuple[str, Record | None]] = []
        for id_ in ids:
            try:
                located = self.locate(id_)
                unknown = located == NOWHERE or self.is_abandoned(located)
            except (StoreError, OSError):
                continue  # its owner may be writing its first record just now
            if unknown or (located.record is not None and not located.is_open):
                found.append((id_, located.record))
        return found
