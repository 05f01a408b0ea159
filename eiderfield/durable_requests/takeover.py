"""Takes over the requests of lost incarnations, at a bounded rate.

States of a request of a lost incarnation, at its successor:

    unowned -> pending (found by `scan`) -> owned (written by `take_over`, and this incarnation is not fenced)

A request stays pending while the files about it cannot be read or its new record cannot be written.

Invariants: a request that has its answer, or whose id was acquired again, is never taken over; an open
request is never dropped because the system refused a call.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from eiderfield.durable_requests.context import Context, Incarnation
from eiderfield.durable_requests.errors import StoreError
from eiderfield.durable_requests.lookup import RecordLookup
from eiderfield.durable_requests.record import Record, Stage
from eiderfield.durable_requests.store import RecordStore
from eiderfield.machine import boot_id

MAX_GROUP_SIZE = 100.0  # requests in one commit, which delays the next heartbeat
RECORDS_PER_HEARTBEAT = 5000  # records of a store that a scan reads between two heartbeats
REREAD_INTERVAL_MS = 1000.0  # between two tries to read a store that could not be read


@dataclass(frozen=True, slots=True, order=True)
class _PendingRequest:
    """A request to be taken over. Sorts in the reverse order of the takeovers."""

    priority: float  # the priority weight of its class
    negative_accepted_at: float  # negated, so that the oldest of a priority is taken over first
    id: str
    found_in: str  # the lost incarnation whose store holds it


@dataclass(frozen=True, slots=True)
class _ScanState:
    """The state of the folder that a complete scan has read. A change of it causes a new scan."""

    fences: int
    further_successors: int
    versions: Mapping[str, tuple[int, ...]]
    reread_period: int  # changes every `REREAD_INTERVAL_MS` while a store cannot be read


class Takeover:
    """The takeover of lost incarnations' requests by the current incarnation."""

    def __init__(self, context: Context, lookup: RecordLookup, renew: Callable[[Incarnation], None]) -> None:
        """Write heartbeats with `renew` while a large store is read."""
        self._context = context
        self._lookup = lookup
        self._renew = renew
        self._last_scan: _ScanState | None = None
        self._has_unreadable_store = False
        self._pending: list[_PendingRequest] = []
        self._tokens = 1.0  # requests that may be taken over now
        self._refilled_at = context.now()

    @property
    def pending_count(self) -> int:
        """The number of requests that are still to be taken over."""
        return len(self._pending)

    def reset(self) -> None:
        """Discard the last scan, after the begin of a new incarnation."""
        self._pending, self._last_scan = [], None

    # Scanning.

    def scan(self, own: Incarnation) -> None:
        """Read the stores of lost incarnations if there is a new fence or a store has changed."""
        fences = self._context.folder.fences
        versions = self._store_versions()
        state = self._scan_state(versions)
        if state == self._last_scan:
            return
        pending: list[_PendingRequest] = []
        has_ownerless = self._has_unreadable_store = False
        for name in versions:
            if (store := self._context.readers.open(name)) is None:
                is_unreadable = not self._context.readers.is_empty(name)
                self._has_unreadable_store = self._has_unreadable_store or is_unreadable
            else:
                has_ownerless = self._scan_store(own, name, store, pending) or has_ownerless
        if has_ownerless:  # the next scan uses the new list of successors
            fences.add_successors(self._unsuspected(own), own.name)
            return
        self._pending = sorted(pending)
        self._last_scan = state

    def _store_versions(self) -> dict[str, tuple[int, ...]]:
        """Return the versions of the stores of fenced incarnations.

        A commit that was in progress when its incarnation was fenced changes the version later.
        """
        folder = self._context.folder
        versions = {name: folder.store_version(name) for name in folder.fences.fenced}
        return {name: version for name, version in versions.items() if version is not None}

    def _scan_state(self, versions: Mapping[str, tuple[int, ...]]) -> _ScanState:
        fences = self._context.folder.fences
        reread_period = int(self._context.now() // REREAD_INTERVAL_MS) if self._has_unreadable_store else 0
        return _ScanState(len(fences.fenced), len(fences.further_successors), versions, reread_period)

    def _unsuspected(self, own: Incarnation) -> list[str]:
        folder = self._context.folder
        return [name for name in folder.incarnations.all(folder.fences.fenced) if name not in own.suspects]

    def _scan_store(
        self, own: Incarnation, name: str, store: RecordStore, pending: list[_PendingRequest]
    ) -> bool:
        """Add the requests of a store that this incarnation owns. Return whether any has no owner."""
        fences, has_ownerless = self._context.folder.fences, False
        for number, record in enumerate(store.open_records(), start=1):
            if number % RECORDS_PER_HEARTBEAT == 0:
                self._renew(own)
            owner = fences.chain(record.id, name)[-1]
            has_ownerless = has_ownerless or owner in fences.fenced
            if owner == own.name and record.id not in own.open_records:
                priority = self._context.priorities.get(record.class_name, 0.0)
                pending.append(_PendingRequest(priority, -record.accepted_at, record.id, name))
        return has_ownerless

    # Taking over.

    def take_over(self, own: Incarnation) -> list[Record]:
        """Take over as many requests as the rate allows now, and return their records."""
        self._refill_tokens()
        records = self._read_pending(own)
        if not records:
            return []
        self._context.reach_failpoint("adopt")
        try:
            with own.store.transaction():
                for record in records.values():
                    own.store.put(record)
        except StoreError as error:
            self._scan_again(error)
            return []
        if self._context.end_if_fenced_after_commit():
            return []
        own.open_records.update(records)
        self._context.counters.taken_over += len(records)
        self._context.reach_failpoint("adopt done")
        return list(records.values())

    def _refill_tokens(self) -> None:
        now, settings = self._context.now(), self._context.settings
        per_ms = settings.takeovers_per_second / 1000.0
        limit = min(MAX_GROUP_SIZE, max(1.0, 2.0 * per_ms * settings.tick_interval_ms))
        self._tokens = min(limit, self._tokens + (now - self._refilled_at) * per_ms)
        self._refilled_at = now

    def _read_pending(self, own: Incarnation) -> dict[str, Record]:
        """Return the records that this incarnation is to write now to take them over, by request id."""
        records: dict[str, Record] = {}
        while self._pending and self._tokens >= 1.0:
            try:
                record = self._open_record(own, self._pending[-1])
            except (StoreError, OSError) as error:
                self._scan_again(error)
                break
            self._pending.pop()
            if record is not None and record.id not in records:
                records[record.id] = record.taken_over()
                self._tokens -= 1.0
        return records

    def _scan_again(self, error: Exception) -> None:
        """Repeat the scan, which finds the pending requests again."""
        self._context.count_failure(error)
        self._pending, self._last_scan, self._has_unreadable_store = [], None, True

    def _open_record(self, own: Incarnation, pending: _PendingRequest) -> Record | None:
        """Return the latest record of a pending request.

        Returns None if the request has its answer, this incarnation owns it already, or its id was released
        or acquired again. Raises `StoreError` or `OSError` if that cannot be read.
        """
        folder = self._context.folder
        holder = folder.ids.holder(pending.id)
        if holder is None or pending.found_in not in folder.fences.chain(pending.id, holder.incarnation):
            return None  # a refused write released the id, but recovery after a kill restored the record
        for name in reversed(folder.fences.chain(pending.id, pending.found_in)):
            record = self._lookup.read(name, pending.id)
            if record is not None:
                is_over = holder.generation > record.generation or record.stage == Stage.FINAL
                return None if is_over or name == own.name else self.to_own_clock(record, name)
        return None

    def to_own_clock(self, record: Record, incarnation: str) -> Record:
        """Return an incarnation's record with its times on the monotonic clock of this boot.

        An earlier boot had another monotonic clock. Only the wall clock relates the two, and it may have been
        stepped in between: see `Record.shifted`.
        """
        info = self._context.folder.incarnations.info(incarnation)
        if info is not None and info.boot == boot_id():
            return record
        offset = 0.0 if info is None else info.offset - self._context.folder.incarnations.offset
        return record.shifted(offset, self._context.now())
