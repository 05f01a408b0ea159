"""Writes groups of changes into the store of the current incarnation and determines their outcomes.

A group is written in one transaction. After the commit the incarnation looks up its own fence: the records
that a fenced incarnation has written belong to its successors, and this process must not act on them.

Invariants:

- `Accepted`, `Claimed` and `Written` are returned only for a change that is in the store and whose
  incarnation was found not to be fenced after the commit.
- `NotWritten` as the outcome of an `Accept` promises that submitting the request again is harmless. It is
  never returned for a request that is open or has a repeatable answer in any store.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field, replace

from eiderfield.durable_requests.context import Context, Incarnation
from eiderfield.durable_requests.errors import StoreError
from eiderfield.durable_requests.lookup import LocatedRecord, RecordLookup
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
    NoClient,
    NotOwned,
    NotWritten,
    Outcome,
    ReleaseClaim,
    Written,
)
from eiderfield.durable_requests.record import Record, Stage
from eiderfield.durable_requests.remote_clients import Presence

NO_INCARNATION = "no incarnation could be begun"  # reasons of `NotWritten`
CLIENT_IS_UNKNOWN = "whether a client waits is not known"
ID_IS_HELD = 0  # returned in place of a generation: another incarnation holds the id


@dataclass(slots=True)
class _Group:
    """A group of changes that is being written."""

    drafts: dict[str, Record] = field(default_factory=dict)  # the records to write, by request id
    acquired: list[Record] = field(default_factory=list)  # records whose ids this group has acquired
    outcomes: list[Outcome] = field(default_factory=list)


class ChangeWriter:
    """Applies changes for the current incarnation."""

    def __init__(self, context: Context, lookup: RecordLookup) -> None:
        """Read earlier records with `lookup`."""
        self._context = context
        self._lookup = lookup
        self._unreleased: list[Record] = []  # records whose ids the system refused to release

    def apply(self, changes: Sequence[Change]) -> list[Outcome]:
        """Write a group of changes and return their outcomes."""
        if not changes:
            return []
        try:
            if self._context.incarnation is not None and self._context.end_if_fenced():
                return [self._outcome_after_fence(change, Accepted()) for change in changes]
        except OSError as error:
            return self._not_written(changes, str(error))
        own = self._context.incarnation
        if own is None:
            return self._not_written(changes, NO_INCARNATION)
        return self._write(own, changes)

    def _write(self, own: Incarnation, changes: Sequence[Change]) -> list[Outcome]:
        counters, started_at, group = self._context.counters, self._context.now(), _Group()
        self._reach_failpoints(changes, "")
        try:
            with own.store.transaction():
                for change in changes:
                    group.outcomes.append(self._draft(own, change, group))
                for record in group.drafts.values():
                    own.store.put(record)
        except (StoreError, OSError) as error:
            for record in group.acquired:
                self._release(record)
            counters.commits_failed += 1
            return self._not_written(changes, str(error))
        counters.commits += 1
        counters.slowest_commit = max(counters.slowest_commit, self._context.now() - started_at)
        if self._context.end_if_fenced_after_commit():
            pairs = zip(changes, group.outcomes, strict=True)
            return [self._outcome_after_fence(change, outcome) for change, outcome in pairs]
        self._update_open_records(own, group)
        self._reach_failpoints(changes, " done")
        return group.outcomes

    def _reach_failpoints(self, changes: Sequence[Change], suffix: str) -> None:
        for name in sorted({type(change).__name__.lower() for change in changes}):
            self._context.reach_failpoint(f"{name}{suffix}")

    @staticmethod
    def _update_open_records(own: Incarnation, group: _Group) -> None:
        for id_, record in group.drafts.items():
            if record.stage == Stage.FINAL:
                own.open_records.pop(id_, None)
            else:
                own.open_records[id_] = record

    # Drafts.

    def _draft(self, own: Incarnation, change: Change, group: _Group) -> Outcome:
        """Add the record that a change results in to the group. Return the outcome after a commit."""
        if isinstance(change, Accept):
            return self._draft_accept(own, change.record, group)
        record = group.drafts.get(change.id) or own.open_records.get(change.id)
        if record is None or record.stage == Stage.FINAL:
            return NotOwned()
        match change:
            case Claim():
                return self._draft_claim(own, change, record, group)
            case ReleaseClaim(id_, number):
                group.drafts[id_] = record.without_attempt(number)
            case Finish(id_, answer, reason):
                group.drafts[id_] = record.finished_with(answer, self._context.now(), reason)
        return Written()

    def _draft_claim(self, own: Incarnation, claim: Claim, record: Record, group: _Group) -> Outcome:
        if self._context.folder.end_requests.exists(claim.id):
            return EndRequested()
        presence = Presence.WAITING if claim.has_client else self._lookup.presence(claim.id)
        if presence is Presence.GONE:
            return NoClient()
        if presence is Presence.UNKNOWN:
            return NotWritten(CLIENT_IS_UNKNOWN)
        group.drafts[claim.id] = record.with_attempt(claim.attempt)
        return Claimed(own.name)

    def _draft_accept(self, own: Incarnation, record: Record, group: _Group) -> Outcome:
        own_record = group.drafts.get(record.id) or own.open_records.get(record.id)
        if own_record is not None:
            return AlreadyAccepted(record.id) if own_record.digest == record.digest else Conflict()
        try:
            located = self._lookup.locate(record.id)
        except StoreError:
            return AlreadyAccepted(record.id)
        if located.record is not None and (located.is_open or located.record.is_repeatable):
            return _join(record, located.record)
        generation = self._acquire_id(own, record.id, located)
        if generation == ID_IS_HELD:
            return AlreadyAccepted(record.id)
        record = replace(record, generation=generation)
        group.acquired.append(record)
        if record.key and (holder := self._acquire_key(record)) != record.id:
            return self._join_by_key(record, holder, group)
        group.drafts[record.id] = record
        self._context.counters.accepted += 1
        return Accepted()

    def _acquire_id(self, own: Incarnation, id_: str, located: LocatedRecord) -> int:
        """Acquire an id that is free, and return its generation.

        An id is free if no incarnation has acquired it, if its request was rejected, or if its holder was
        lost before it recorded anything. Returns `ID_IS_HELD` if the id is not free.
        """
        if self._lookup.is_unrecorded_here(located):
            self._unreleased = [record for record in self._unreleased if record.id != id_]
            return located.generation
        is_free = located.generation == 0 or located.record is not None or self._lookup.is_abandoned(located)
        generation = located.generation + 1
        is_acquired = is_free and self._context.folder.ids.acquire(id_, own.name, generation)
        return generation if is_acquired else ID_IS_HELD

    def _acquire_key(self, record: Record) -> str:
        """Acquire a record's key, unless another request holds it. Return the id of the holder.

        A request that was rejected or abandoned no longer holds its key.
        """
        ids = self._context.folder.ids
        while (holder := ids.acquire_key(record.class_name, record.key, record.id)) != record.id:
            located = self._lookup.locate(holder)
            if located.record is not None:
                holds_key = located.is_open or located.record.is_repeatable
            else:
                holds_key = located.generation > 0 and not self._lookup.is_abandoned(located)
            if holds_key:
                return holder
            ids.release_key(record.class_name, record.key, holder)
        return holder

    def _join_by_key(self, record: Record, holder: str, group: _Group) -> Outcome:
        """Release the id of a record whose key another request holds, and join that request."""
        group.acquired.pop()
        self._context.folder.ids.release(record.id, record.generation)
        recorded = self._lookup.locate(holder).record
        is_same = recorded is None or replace(recorded, id=record.id).digest == record.digest
        return AlreadyAccepted(holder) if is_same else Conflict()

    # Changes that could not be written, or were written too late.

    def _not_written(self, changes: Sequence[Change], reason: str) -> list[Outcome]:
        return [self._outcome_unwritten(change, reason) for change in changes]

    def _outcome_unwritten(self, change: Change, reason: str) -> Outcome:
        """Return the outcome of a change that could not be written.

        An `Accept` of a request that any store may hold joins that request, so that its client gets the one
        answer. With `NotWritten` the client would submit it again, which could run it twice.
        """
        if not isinstance(change, Accept):
            own = self._context.incarnation
            is_open_here = own is not None and change.id in own.open_records
            return NotWritten(reason) if is_open_here or isinstance(change, Finish) else NotOwned()
        record = change.record
        try:
            located = self._lookup.locate(record.id)
        except (StoreError, OSError):
            return AlreadyAccepted(record.id)
        if located.record is not None:
            if located.record.digest != record.digest:
                return Conflict()
            if located.is_open or located.record.is_repeatable:
                return _join(record, located.record)
            return NotWritten(reason)
        is_unknown = located.generation == 0 or self._lookup.is_unrecorded_here(located)
        return NotWritten(reason) if is_unknown else AlreadyAccepted(record.id)

    def _outcome_after_fence(self, change: Change, outcome: Outcome) -> Outcome:
        """Return the outcome of a change by a fenced incarnation, whose successors own the request."""
        if isinstance(change, Accept):
            return AlreadyAccepted(change.record.id) if isinstance(outcome, Accepted) else outcome
        if isinstance(change, Claim):
            self._context.counters.claims_refused += 1
        return NotOwned()

    # Ids that were acquired for records that could not be written.

    def _release(self, record: Record) -> None:
        """Release an id, or keep it for `release_again` if the system refuses that now."""
        try:
            self._context.folder.ids.release(record.id, record.generation, record.class_name, record.key)
        except OSError:
            self._unreleased.append(record)

    def release_again(self) -> None:
        """Release the ids that could not be released before."""
        own = self._context.incarnation
        unreleased, self._unreleased = self._unreleased, []
        for record in unreleased:
            if own is None or record.id not in own.open_records:
                self._release(record)


def _join(record: Record, recorded: Record) -> Outcome:
    """Return the outcome of an `Accept` whose id is recorded already, with `recorded`."""
    if recorded.digest != record.digest:
        return Conflict()
    return AlreadyFinal(recorded) if recorded.stage == Stage.FINAL else AlreadyAccepted(record.id)
