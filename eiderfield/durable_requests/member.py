"""One member of a host's durable requests: the part of one process, without a thread.

States of a member, which has one incarnation at a time:

    none     no incarnation could be begun, or the last one is over; `tick` begins one, a try a second
    active   it writes (`apply`), renews its lease and watches the others (`tick`), takes over (`take_over`)
    left     it has given what it had to the others, and begins nothing any more

It is called by one thread at a time (`commit_thread.py`), or by a test that stops it at any of the named
points. A member that finds its incarnation fenced gives everything up; the next incarnation inherits
nothing.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from contextlib import suppress

from eiderfield.durable import TRANSIENT_ERRNOS
from eiderfield.durable_requests.changes import ChangeWriter
from eiderfield.durable_requests.context import Context, Counters, Incarnation
from eiderfield.durable_requests.errors import FOLDER_KEY, DurableRequestsError, FolderError, StoreError
from eiderfield.durable_requests.failure_detector import FailureDetector
from eiderfield.durable_requests.folder import SharedFolder
from eiderfield.durable_requests.lease import Lease
from eiderfield.durable_requests.lookup import RecordLookup
from eiderfield.durable_requests.membership import Membership
from eiderfield.durable_requests.messages import (
    Find,
    Found,
    NotWritten,
    Operation,
    Outcome,
    Query,
    Written,
)
from eiderfield.durable_requests.readers import StoreReaders
from eiderfield.durable_requests.record import Record, Stage
from eiderfield.durable_requests.retention import Retention
from eiderfield.durable_requests.settings import DurableRequestSettings
from eiderfield.durable_requests.store import RecordStore
from eiderfield.durable_requests.takeover import Takeover
from eiderfield.machine import steady_ms

BEGIN_AGAIN = 1000.0  # ms from one try to begin an incarnation to the next


class Member:
    """A process's part. `priorities` orders classes, by name; `log` gets lines for operators."""

    point: Callable[[str], None] = staticmethod(lambda name: None)  # of the laboratory, at named points

    def __init__(
        self,
        settings: DurableRequestSettings,
        name: str,
        priorities: Mapping[str, float],
        log: Callable[[str], None],
        now: Callable[[], float] = steady_ms,
    ) -> None:
        """Opens the folder; `FolderError` if only an operator can make that possible."""
        self.settings = settings
        self.name = name
        self.folder = SharedFolder(settings.folder, flush=settings.flush)
        self.has_left = False
        readers = StoreReaders(self.folder, log)
        self._context = Context(
            settings, self.folder, readers, priorities, now, log, lambda name: self.point(name)
        )
        self._lookup = RecordLookup(self._context)
        self._changes = ChangeWriter(self._context, self._lookup)
        self._membership = Membership(self._context)
        self._takeover = Takeover(self._context, self._lookup, self._membership.renew)
        self.retention = Retention(self._context, self._lookup, self._takeover.on_own_clock)
        self._begun = ""  # an incarnation that was begun and has no store yet
        self._tried = -BEGIN_AGAIN

    @property
    def current(self) -> Incarnation | None:
        """The incarnation of this process, None while there is none."""
        return self._context.incarnation

    @property
    def incarnation(self) -> str:
        """The name of the incarnation, '' while there is none."""
        return self._context.own_name

    @property
    def counters(self) -> Counters:
        """What was done since this process began."""
        return self._context.counters

    @property
    def member_count(self) -> int:
        """Incarnations that are not fenced, as of the last tick."""
        return self._membership.member_count

    @property
    def pending_takeovers(self) -> int:
        """Requests of lost incarnations that are still to be taken over here."""
        return self._takeover.pending_count

    @property
    def open_records(self) -> Mapping[str, Record]:
        """The requests of this incarnation that lack an answer."""
        return {} if self.current is None else self.current.open_records

    def holds_lease(self, now: float) -> bool:
        """Whether this process may send what it has claimed."""
        return self.current is not None and self.current.lease.holds(now)

    # Incarnations.

    def begin(self) -> None:
        """Begins an incarnation. `FolderError` or `StoreError` if the folder cannot be used."""
        self._tried = self._context.now()
        try:
            self.folder.ensure_usable()
            name, store = self._open_store()
        except OSError as error:
            raise FolderError(
                self.folder.path, str(error.strerror), FOLDER_KEY, error.errno in TRANSIENT_ERRNOS
            ) from None
        settings = self.settings
        lease = Lease(settings.lease, settings.margin)
        self._begun = ""
        self._context.incarnation = Incarnation(name, store, lease, FailureDetector(name, settings.lease))
        self._takeover.reset()

    def _open_store(self) -> tuple[str, RecordStore]:
        """A new incarnation's name and store. One whose store could not be made is used at the next try, or a
        full disk would fill with names; unless it was fenced meanwhile."""
        fences = self.folder.fences
        if not self._begun or fences.exists(self._begun):
            self._begun = self.folder.incarnations.begin(self.name)
        name = self._begun
        max_bytes = 2 * self.settings.most_bytes
        store = RecordStore(self.folder.store_path(name), flush=self.settings.flush, max_bytes=max_bytes)
        if fences.exists(name):
            store.close()
            self._begun = ""
            raise FolderError(
                self.folder.path, f"{name} was fenced before it began", FOLDER_KEY, transient=True
            )
        return name, store

    def end_incarnation(self) -> None:
        """Gives up all that the incarnation has: it is its successors'."""
        self._context.end_incarnation()

    def leave(self) -> bool:
        """Gives what is left to the others, at once. False if there is nobody."""
        if self.current is None:
            return False
        with suppress(OSError):
            if self._membership.fence_self(self.current):
                self.has_left = True
                self.end_incarnation()
        return self.has_left

    def close(self) -> None:
        """Closes what is open, and leaves if nothing is open; else the incarnation is its successors' as soon
        as its process is gone."""
        if not self.open_records:
            self.leave()
        self._context.readers.close_all()
        self.end_incarnation()

    # Operations.

    def apply(self, operations: Sequence[Operation]) -> list[Outcome]:
        """Writes a group of changes, whole or not at all, and answers queries after that; what came of
        each."""
        changes = [each for each in operations if not isinstance(each, Query)]
        outcomes = iter(self._changes.apply(changes))
        return [self._answer(each) if isinstance(each, Query) else next(outcomes) for each in operations]

    def _answer(self, query: Query) -> Outcome:
        if isinstance(query, Find):
            return Found(self.find(query.id))
        try:
            self.folder.end_requests.add(query.id)
        except OSError as error:
            return NotWritten(str(error))
        return Written()

    def find(self, id_: str) -> Record | None:
        """What is recorded of a request, wherever it is."""
        return self._lookup.find(id_)

    def poll_answers(self, ids: Iterable[str]) -> list[tuple[str, Record | None]]:
        """Those of some ids that have their answer, or of which nothing is known any more."""
        return self._lookup.poll_answers(ids)

    def requested_ends(self) -> list[str]:
        """Requests of this incarnation whose end somebody requests. What is over needs none."""
        found = []
        with suppress(OSError):
            for id_ in self.folder.end_requests.all():
                if id_ in self.open_records:
                    found.append(id_)
                elif self.current is not None and self._is_over(id_):
                    self.folder.end_requests.remove(id_)
        return found

    def _is_over(self, id_: str) -> bool:
        record = self.find(id_)
        return record is None or record.stage == Stage.FINAL

    # Ticks.

    def tick(self) -> bool:
        """Renews the lease, sees who is lost, and what they left. False without an incarnation."""
        if self.current is None:
            if not self.has_left and self._context.now() >= self._tried + BEGIN_AGAIN:
                self._begin_again()
            return False
        try:
            self._tick(self.current)
        except (StoreError, OSError, ValueError) as error:  # or a name that is none of ours
            self._context.count_failure(error)
        return self.current is not None

    def _begin_again(self) -> None:
        try:
            self.begin()
        except DurableRequestsError as error:
            self._context.log_once(f"durable requests: no life could be begun: {error}")

    def _tick(self, own: Incarnation) -> None:
        self.folder.fences.refresh()
        if self._context.is_over():
            return
        self._membership.renew(own)
        self._changes.release_again()
        self.folder.incarnations.follow_wall_clock(own.name, self.name)
        self._membership.run_round(own)
        self._takeover.scan(own)
        self.retention.clean(own)

    def take_over(self) -> list[Record]:
        """Takes over as many requests of lost incarnations as the rate allows now."""
        return [] if self.current is None else self._takeover.take_over(self.current)

    def report(self, text: str) -> None:
        """A line for operators, not repeated."""
        self._context.log_once(text)
