"""Takes over what lost incarnations left, at a bounded rate.

States of a request of a lost incarnation, for its successor here:

    left -> pending (`scan` found it) -> owned (`take_over` wrote it, and found no fence of its own)

A pending one stays so while anything about it cannot be read or written.

What must never happen: a request is owned here that has its answer, or whose id was taken anew; one that is
still owed is dropped because the system refused a call.
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

MOST_AT_ONCE = 100.0  # requests taken over in one commit: a heartbeat must not wait for thousands
HEARTBEAT_EVERY = 5000  # records of a store that are read between two heartbeats
READ_AGAIN = 1000.0  # ms after which a store that could not be read is read again


@dataclass(frozen=True, slots=True, order=True)
class _Pending:
    """A request to be taken over; the one to be taken first sorts last."""

    urgency: float  # by priority of its class, the lowest first
    age_rank: float
    id: str
    found_in: str  # the lost incarnation whose store holds it


@dataclass(frozen=True, slots=True)
class _ScanState:
    """What the last whole scan was of: it is made anew when that differs."""

    fences: int
    further_successors: int
    versions: Mapping[str, tuple[int, ...]]
    attempt: int  # differs from second to second while a store cannot be read


class Takeover:
    """The takeover of lost incarnations' requests by the current incarnation."""

    def __init__(self, context: Context, lookup: RecordLookup, renew: Callable[[Incarnation], None]) -> None:
        """`renew` writes a heartbeat between the records of long stores."""
        self._context = context
        self._lookup = lookup
        self._renew = renew
        self._scanned: _ScanState | None = None
        self._unreadable = False  # whether a store could not be read
        self._pending: list[_Pending] = []
        self._allowance = 1.0  # requests that may be taken over now
        self._allowed_at = context.now()

    @property
    def pending_count(self) -> int:
        """Requests of lost incarnations that are still to be taken over here."""
        return len(self._pending)

    def reset(self) -> None:
        """A further incarnation has begun: it owns nothing, and has scanned nothing."""
        self._pending, self._scanned = [], None

    # Scanning.

    def scan(self, own: Incarnation) -> None:
        """Reads what lost incarnations left, whenever there is a further fence, or more of it."""
        fences = self._context.folder.fences
        # A commit that was under way when its incarnation was fenced comes after that.
        versions = {
            name: version
            for name in fences.known
            if (version := self._context.folder.store_version(name)) is not None
        }
        attempt = int(self._context.now() // READ_AGAIN) if self._unreadable else 0
        state = _ScanState(len(fences.known), len(fences.further_successors), versions, attempt)
        if state == self._scanned:
            return
        pending: list[_Pending] = []
        ownerless = self._unreadable = False
        for name in versions:
            if (store := self._context.readers.open(name)) is None:
                self._unreadable = self._unreadable or not self._context.readers.is_empty(name)
            else:
                ownerless = self._scan_store(own, name, store, pending) or ownerless
        if ownerless:  # at the next scan they have owners
            fences.add_successors(self._unsuspected(own), own.name)
            return
        self._pending = sorted(pending)
        self._scanned = state

    def _unsuspected(self, own: Incarnation) -> list[str]:
        folder = self._context.folder
        return [name for name in folder.incarnations.all(folder.fences.known) if name not in own.suspects]

    def _scan_store(self, own: Incarnation, name: str, store: RecordStore, pending: list[_Pending]) -> bool:
        """Adds what this incarnation owns of a store; whether anything in it has no owner."""
        fences, ownerless = self._context.folder.fences, False
        for number, record in enumerate(store.open_records()):
            if number % HEARTBEAT_EVERY == HEARTBEAT_EVERY - 1:
                self._renew(own)
            owner = fences.chain(record.id, name)[-1]
            ownerless = ownerless or owner in fences.known
            if owner == own.name and record.id not in own.open_records:
                priority = self._context.priorities.get(record.class_name, 0.0)
                pending.append(_Pending(priority, -record.accepted_at, record.id, name))
        return ownerless

    # Taking over.

    def take_over(self, own: Incarnation) -> list[Record]:
        """Takes over as many requests as the rate allows now; they are this incarnation's from here on."""
        self._grow_allowance()
        records = self._read_pending(own)
        if not records:
            return []
        self._context.point("adopt")
        try:
            with own.store.transaction():
                for record in records.values():
                    own.store.put(record)
        except StoreError as error:
            self._scan_again(error)
            return []
        if self._context.is_over_after_commit():
            return []
        own.open_records.update(records)
        self._context.counters.taken_over += len(records)
        self._context.point("adopt done")
        return list(records.values())

    def _grow_allowance(self) -> None:
        now, settings = self._context.now(), self._context.settings
        rate = settings.takeover_rate / 1000.0
        most = min(MOST_AT_ONCE, max(1.0, 2.0 * rate * settings.tick))
        self._allowance = min(most, self._allowance + (now - self._allowed_at) * rate)
        self._allowed_at = now

    def _read_pending(self, own: Incarnation) -> dict[str, Record]:
        """The requests to be taken over now, as this incarnation is to write them."""
        found: dict[str, Record] = {}
        while self._pending and self._allowance >= 1.0:
            next_one = self._pending[-1]
            try:
                record = self._left(own, next_one)
            except (StoreError, OSError) as error:
                self._scan_again(error)
                break
            self._pending.pop()
            if record is not None and record.id not in found:
                found[record.id] = record.taken_over()
                self._allowance -= 1.0
        return found

    def _scan_again(self, error: Exception) -> None:
        """What is pending is still owed, and read anew."""
        self._context.count_failure(error)
        self._pending, self._scanned, self._unreadable = [], None, True

    def _left(self, own: Incarnation, pending: _Pending) -> Record | None:
        """What the last owner recorded of a request; None if it has its answer, is owned here already, or if
        its id was taken anew. `StoreError` or `OSError` where that cannot be told."""
        folder = self._context.folder
        holder = folder.ids.holder(pending.id)
        if holder is None or pending.found_in not in folder.fences.chain(pending.id, holder.incarnation):
            return None  # the system refused to write it, so the id was released, and a kill left it here
        for name in reversed(folder.fences.chain(pending.id, pending.found_in)):
            record = self._lookup.read(name, pending.id)
            if record is not None:
                over = holder.generation > record.generation or record.stage == Stage.FINAL
                return None if over or name == own.name else self.on_own_clock(record, name)
        return None

    def on_own_clock(self, record: Record, incarnation: str) -> Record:
        """A record with the times of this boot of the machine: an earlier boot's monotonic clock is another.

        The wall clock alone joins the two, and may have been stepped: see `Record.shifted`."""
        info = self._context.folder.incarnations.info(incarnation)
        if info is not None and info.boot == boot_id():
            return record
        span = 0.0 if info is None else info.offset - self._context.folder.incarnations.offset
        return record.shifted(span, self._context.now())
