"""Finds the latest record of a request in the stores of all incarnations."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from eiderfield.durable_requests.context import Context
from eiderfield.durable_requests.errors import StoreError
from eiderfield.durable_requests.record import Record, Stage
from eiderfield.durable_requests.remote_clients import Presence


class LocatedRecord(NamedTuple):
    """The latest record of an id, if it has one, and the incarnations that the id has belonged to."""

    generation: int  # how often the id was acquired; 0 for never
    record: Record | None
    chain: tuple[str, ...]

    @property
    def is_open(self) -> bool:
        """Whether there is a record without an answer."""
        return self.record is not None and self.record.stage != Stage.FINAL


class FoundAnswer(NamedTuple):
    """The end of a wait for an answer: the FINAL record, None if there is no record to wait for."""

    id: str
    record: Record | None


NOT_ACQUIRED = LocatedRecord(0, None, ())


class RecordLookup:
    """Reads the store of this incarnation and those of others."""

    def __init__(self, context: Context) -> None:
        """Use the stores and fences of `context`."""
        self._context = context

    def locate(self, id_: str) -> LocatedRecord:
        """Return the latest record of a request. Raises `StoreError` or `OSError` if it cannot be read."""
        folder = self._context.folder
        holder = folder.ids.holder(id_)
        if holder is None:
            return NOT_ACQUIRED
        chain = tuple(folder.fences.chain(id_, holder.incarnation))
        for incarnation in reversed(chain):
            record = self.read(incarnation, id_)
            if record is not None and record.generation == holder.generation:
                return LocatedRecord(holder.generation, record, chain)
        return LocatedRecord(holder.generation, None, chain)

    def read(self, incarnation: str, id_: str) -> Record | None:
        """Return the record of a request in the store of one incarnation."""
        own = self._context.incarnation
        if own is not None and own.name == incarnation:
            return own.store.get(id_)
        return self._context.readers.read(incarnation, id_)

    def find(self, id_: str) -> Record | None:
        """Return the latest record of a request, None if there is none or it cannot be read."""
        try:
            return self.locate(id_).record
        except (StoreError, OSError):
            return None

    def presence(self, id_: str) -> Presence:
        """Return whether clients of other processes wait for a request. Raises `OSError`."""
        folder = self._context.folder
        holder = folder.ids.holder(id_)
        owners = [] if holder is None else folder.fences.chain(id_, holder.incarnation)
        return folder.remote_clients.presence(id_, owners, self._context.now())

    def is_abandoned(self, located: LocatedRecord) -> bool:
        """Return whether a fenced incarnation acquired an id and no incarnation has recorded it.

        Only a commit that was in progress when the fence was created may still record it.
        """
        if located.record is not None or not located.chain:
            return False
        return self._context.folder.fences.exists(located.chain[0])

    def is_unrecorded_here(self, located: LocatedRecord) -> bool:
        """Return whether only this incarnation can still record an id: it acquired the id and has not yet."""
        return located.record is None and located.chain == (self._context.own_name,)

    def poll_answers(self, ids: Iterable[str]) -> list[FoundAnswer]:
        """Return the given requests that have their answer, or have no record to wait for."""
        found: list[FoundAnswer] = []
        for id_ in ids:
            try:
                located = self.locate(id_)
                is_unknown = located == NOT_ACQUIRED or self.is_abandoned(located)
            except (StoreError, OSError):
                continue  # its owner may be writing the first record
            if is_unknown or (located.record is not None and not located.is_open):
                found.append(FoundAnswer(id_, located.record))
        return found
