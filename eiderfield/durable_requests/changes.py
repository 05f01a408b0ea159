"""Writes groups of changes into the own store, and says what may follow from each.

A group is written whole or not at all. After it is written the own fence is looked for: what a fenced
incarnation has written is its successors', and nothing may follow from it here.

What must never happen: `Accepted`, `Claimed` or `Written` for what is not in the store, or for what was
written by an incarnation that was fenced before it looked; a rejection that promises that asking anew is
harmless (`NotWritten` of an `Accept`) for a request that is recorded somewhere.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field, replace

from eiderfield.durable_requests.context import Context, Incarnation
from eiderfield.durable_requests.errors import StoreError
from eiderfield.durable_requests.lookup import Located, RecordLookup
from eiderfield.durable_requests.messages import (
    Accept,
    Accepted,
    AlreadyAccepted,
    AlreadyFinal,
    Change,
    Claim,
    Claimed,
    Conflict,
    EndRequested,
    Finish,
    NotOwned,
    NotWritten,
    Outcome,
    ReleaseClaim,
    Written,
)
from eiderfield.durable_requests.record import Record, Stage

NO_INCARNATION = "no life could be begun"


@dataclass(slots=True)
class _Group:
    """What a group of changes is to write."""

    drafts: dict[str, Record] = field(default_factory=dict)
    taken: list[Record] = field(default_factory=list)  # whose ids were taken for it
    outcomes: list[Outcome] = field(default_factory=list)


class ChangeWriter:
    """Applies changes for the current incarnation."""

    def __init__(self, context: Context, lookup: RecordLookup) -> None:
        """Writes nothing yet."""
        self._context = context
        self._lookup = lookup
        self._unreleased: list[Record] = []  # whose ids could not be released

    def apply(self, changes: Sequence[Change]) -> list[Outcome]:
        """Writes a group; what came of each."""
        if not changes:
            return []
        try:
            if self._context.incarnation is not None and self._context.is_over():
                return [self._too_late(change, Accepted()) for change in changes]
        except OSError as error:
            return [self._not_written(change, str(error)) for change in changes]
        own = self._context.incarnation
        if own is None:
            return [self._not_written(change, NO_INCARNATION) for change in changes]
        return self._write(own, changes)

    def _write(self, own: Incarnation, changes: Sequence[Change]) -> list[Outcome]:
        counters, began, group = self._context.counters, self._context.now(), _Group()
        self._at_points(changes, "")
        try:
            with own.store.transaction():
                for change in changes:
                    group.outcomes.append(self._draft(own, change, group))
                for record in group.drafts.values():
                    own.store.put(record)
        except (StoreError, OSError) as error:
            for record in group.taken:
                self._release(record)
            counters.commits_failed += 1
            return [self._not_written(change, str(error)) for change in changes]
        counters.commits += 1
        counters.slowest_commit = max(counters.slowest_commit, self._context.now() - began)
        if self._context.is_over_after_commit():
            return [self._too_late(*each) for each in zip(changes, group.outcomes, strict=True)]
        self._note_open(own, group)
        self._at_points(changes, " done")
        return group.outcomes

    def _at_points(self, changes: Sequence[Change], ending: str) -> None:
        for name in sorted({type(change).__name__.lower() for change in changes}):
            self._context.point(f"{name}{ending}")

    @staticmethod
    def _note_open(own: Incarnation, group: _Group) -> None:
        for id_, record in group.drafts.items():
            if record.stage == Stage.FINAL:
                own.open_records.pop(id_, None)
            else:
                own.open_records[id_] = record

    # Drafts.

    def _draft(self, own: Incarnation, change: Change, group: _Group) -> Outcome:
        if isinstance(change, Accept):
            return self._draft_accept(own, change.record, group)
        record = group.drafts.get(change.id) or own.open_records.get(change.id)
        if record is None or record.stage == Stage.FINAL:
            return NotOwned()
        match change:
            case Claim(id_, attempt):
                if self._context.folder.end_requests.exists(id_):
                    return EndRequested()
                group.drafts[id_] = record.with_attempt(attempt)
                return Claimed(own.name)
            case ReleaseClaim(id_, number):
                group.drafts[id_] = record.without_attempt(number)
            case Finish(id_, answer, reason):
                group.drafts[id_] = record.finished_with(answer, self._context.now(), reason)
        return Written()

    def _draft_accept(self, own: Incarnation, record: Record, group: _Group) -> Outcome:
        mine = group.drafts.get(record.id) or own.open_records.get(record.id)
        if mine is not None:
            return AlreadyAccepted(record.id) if mine.digest == record.digest else Conflict()
        try:
            located = self._lookup.locate(record.id)
        except StoreError:
            return AlreadyAccepted(record.id)
        if located.record is not None and (located.is_open or located.record.is_repeatable):
            return _joined(record, located.record)
        generation = self._take_id(own, record.id, located)
        if generation == 0:
            return AlreadyAccepted(record.id)
        record = replace(record, generation=generation)
        group.taken.append(record)
        if record.key and (holder := self._hold_key(record)) != record.id:
            return self._joined_by_key(record, holder, group)
        group.drafts[record.id] = record
        self._context.counters.accepted += 1
        return Accepted()

    def _take_id(self, own: Incarnation, id_: str, located: Located) -> int:
        """Takes an id that nobody holds any more; its generation, 0 if somebody holds it."""
        if self._lookup.is_unwritten_here(located):
            self._unreleased = [record for record in self._unreleased if record.id != id_]
            return located.generation
        # Its holder was lost before it wrote anything, or it was rejected: whoever asks next takes it anew.
        free = located.generation == 0 or located.record is not None or self._lookup.is_abandoned(located)
        generation = located.generation + 1
        return generation if free and self._context.folder.ids.take(id_, own.name, generation) else 0

    def _hold_key(self, record: Record) -> str:
        """The id that holds a record's key now: its own, unless another request that counts has it."""
        ids = self._context.folder.ids
        while (holder := ids.hold_key(record.class_name, record.key, record.id)) != record.id:
            located = self._lookup.locate(holder)
            if located.record is not None:
                counts = located.is_open or located.record.is_repeatable
            else:
                counts = located.generation > 0 and not self._lookup.is_abandoned(located)
            if counts:
                return holder
            ids.free_key(record.class_name, record.key, holder)
        return holder

    def _joined_by_key(self, record: Record, holder: str, group: _Group) -> Outcome:
        group.taken.pop()
        self._context.folder.ids.release(record.id, record.generation)
        there = self._lookup.locate(holder).record
        same = there is None or replace(there, id=record.id).digest == record.digest
        return AlreadyAccepted(holder) if same else Conflict()

    # What could not be written, or came too late.

    def _not_written(self, change: Change, reason: str) -> Outcome:
        """What may be said where nothing could be written. A waiter for a request that is recorded somewhere
        waits for it: told that asking anew is harmless, it might begin a second one."""
        if not isinstance(change, Accept):
            own = self._context.incarnation
            mine = own is not None and change.id in own.open_records
            return NotWritten(reason) if mine or isinstance(change, Finish) else NotOwned()
        record = change.record
        try:
            located = self._lookup.locate(record.id)
        except (StoreError, OSError):
            return AlreadyAccepted(record.id)
        if located.record is not None:
            if located.record.digest != record.digest:
                return Conflict()
            if located.is_open or located.record.is_repeatable:
                return _joined(record, located.record)
            return NotWritten(reason)
        unknown = located.generation == 0 or self._lookup.is_unwritten_here(located)
        return NotWritten(reason) if unknown else AlreadyAccepted(record.id)

    def _too_late(self, change: Change, outcome: Outcome) -> Outcome:
        """What an incarnation that is over may say of what it wrote: its successors have it."""
        if isinstance(change, Accept):
            return AlreadyAccepted(change.record.id) if isinstance(outcome, Accepted) else outcome
        if isinstance(change, Claim):
            self._context.counters.claims_refused += 1
        return NotOwned()

    # Ids that were taken and not written.

    def _release(self, record: Record) -> None:
        """Releases an id; later, if the system refuses it now."""
        try:
            self._context.folder.ids.release(record.id, record.generation, record.class_name, record.key)
        except OSError:
            self._unreleased.append(record)

    def release_again(self) -> None:
        """Releases what could not be released before."""
        own = self._context.incarnation
        waiting, self._unreleased = self._unreleased, []
        for record in waiting:
            if own is None or record.id not in own.open_records:
                self._release(record)


def _joined(record: Record, there: Record) -> Outcome:
    """Of a request whose id is recorded already."""
    if there.digest != record.digest:
        return Conflict()
    return AlreadyFinal(there) if there.stage == Stage.FINAL else AlreadyAccepted(record.id)
