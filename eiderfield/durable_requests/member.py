"""A member: one process's part in the shared folder. It starts no thread.

States of a member, which has one incarnation at a time:

    none     no incarnation could be begun, or the last one has ended; `tick` tries to begin one, at most once
             per `BEGIN_INTERVAL_MS`
    active   writes changes (`apply`), renews its lease and watches the others (`tick`), takes over requests
             (`take_over`)
    left     has handed its requests to the others, and begins no further incarnation

One thread at a time calls a member: the commit thread (`commit_thread.py`), or a test that stops the member
at a failpoint. A member whose incarnation is fenced gives up all its requests; its next incarnation starts
without requests.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from contextlib import suppress

from eiderfield.durable import TRANSIENT_ERRNOS
from eiderfield.durable_requests.changes import ChangeWriter
from eiderfield.durable_requests.context import Context, Counters, Incarnation
from eiderfield.durable_requests.errors import (
    FOLDER_KEY,
    DurableRequestsError,
    FolderError,
    StoreError,
)
from eiderfield.durable_requests.failure_detector import FailureDetector
from eiderfield.durable_requests.folder import SharedFolder
from eiderfield.durable_requests.lease import Lease
from eiderfield.durable_requests.lookup import FoundAnswer, RecordLookup
from eiderfield.durable_requests.membership import Membership
from eiderfield.durable_requests.messages import (
    Find,
    FindRemoteClients,
    Found,
    NotWritten,
    Operation,
    Outcome,
    Query,
    RemoteClientsFound,
    RequestEnd,
    Written,
)
from eiderfield.durable_requests.readers import StoreReaders
from eiderfield.durable_requests.record import Record, Stage
from eiderfield.durable_requests.retention import Retention
from eiderfield.durable_requests.settings import DurableRequestSettings
from eiderfield.durable_requests.store import RecordStore
from eiderfield.durable_requests.takeover import Takeover
from eiderfield.durable_requests.waiting_marks import WaitingMarks
from eiderfield.machine import steady_ms

BEGIN_INTERVAL_MS = 1000.0  # between two tries to begin an incarnation
STORE_SIZE_FACTOR = 2  # largest size of a store's file, relative to `max_bytes` of bodies and results


def _ignore_failpoint(_name: str) -> None:
    """Do nothing: only the laboratory and tests stop a process at failpoints."""


class Member:
    """The member of one process. The laboratory and tests replace `reach_failpoint`."""

    reach_failpoint: Callable[[str], None] = staticmethod(_ignore_failpoint)

    def __init__(
        self,
        settings: DurableRequestSettings,
        name: str,
        priorities: Mapping[str, float],
        log: Callable[[str], None],
        now: Callable[[], float] = steady_ms,
    ) -> None:
        """Open the folder.

        `priorities` has the priority weight of each class, by name; `now` returns the monotonic clock in ms.
        Raises `FolderError` if only an operator can make the folder usable.
        """
        self.settings = settings
        self.name = name
        self.now = now
        self.folder = SharedFolder(settings.folder, flush=settings.flush)
        self.has_left = False
        readers = StoreReaders(self.folder, log)
        self._context = Context(
            settings, self.folder, readers, priorities, now, log, lambda name: self.reach_failpoint(name)
        )
        self._lookup = RecordLookup(self._context)
        self._changes = ChangeWriter(self._context, self._lookup)
        self._membership = Membership(self._context)
        self._takeover = Takeover(self._context, self._lookup, self._membership.renew)
        self.waiting_marks = WaitingMarks(self._context)
        self.retention = Retention(self._context, self._lookup, self._takeover.to_own_clock)
        self._unopened_incarnation = ""  # an incarnation that was begun and has no store yet
        self._tried_to_begin_at = -BEGIN_INTERVAL_MS

    @property
    def current_incarnation(self) -> Incarnation | None:
        """The current incarnation, None while there is none."""
        return self._context.incarnation

    @property
    def incarnation_name(self) -> str:
        """The name of the current incarnation, '' while there is none."""
        return self._context.own_name

    @property
    def counters(self) -> Counters:
        """The counters since this process started."""
        return self._context.counters

    @property
    def member_count(self) -> int:
        """The number of incarnations that were not fenced at the last tick."""
        return self._membership.member_count

    @property
    def pending_takeovers(self) -> int:
        """The number of requests of lost incarnations that this incarnation is still to take over."""
        return 0 if self.current_incarnation is None else self._takeover.pending_count

    @property
    def open_records(self) -> Mapping[str, Record]:
        """The records of this incarnation that have no answer, by request id."""
        return {} if self.current_incarnation is None else self.current_incarnation.open_records

    def holds_lease(self, now: float) -> bool:
        """Return whether this process may send attempts that it has claimed."""
        return self.current_incarnation is not None and self.current_incarnation.lease.holds(now)

    # Incarnations.

    def begin(self) -> None:
        """Begin an incarnation.

        Raises `FolderError`, `StoreError` or `DispatcherNameError` if that is not possible.
        """
        self._tried_to_begin_at = self._context.now()
        try:
            self.folder.ensure_usable()
            name, store = self._open_store()
        except OSError as error:
            is_transient = error.errno in TRANSIENT_ERRNOS
            raise FolderError(self.folder.path, str(error.strerror), FOLDER_KEY, is_transient) from None
        settings = self.settings
        lease = Lease(settings.lease_ms, settings.lease_margin_ms)
        detector = FailureDetector(name, settings.lease_ms)
        self._unopened_incarnation = ""
        self._context.incarnation = Incarnation(name, store, lease, detector)
        self._context.last_own_name = name
        self._takeover.reset()

    def _open_store(self) -> tuple[str, RecordStore]:
        """Return the name and the store of a new incarnation.

        If the store cannot be created, the next try uses the same name, unless that was fenced meanwhile.
        With a new name for each try, the file names would fill a disk that is already full.
        """
        fences = self.folder.fences
        if not self._unopened_incarnation or fences.exists(self._unopened_incarnation):
            self._unopened_incarnation = self.folder.incarnations.begin(self.name)
        name = self._unopened_incarnation
        store = RecordStore(
            self.folder.store_path(name),
            flush=self.settings.flush,
            max_bytes=STORE_SIZE_FACTOR * self.settings.max_bytes,
        )
        if fences.exists(name):
            store.close()
            self._unopened_incarnation = ""
            reason = f"{name} was fenced before it began"
            raise FolderError(self.folder.path, reason, FOLDER_KEY, transient=True)
        return name, store

    def end_incarnation(self) -> None:
        """End the current incarnation, whose successors own its requests."""
        self._context.end_incarnation()

    def leave(self) -> bool:
        """Hand all requests to the other members. Returns False if there is no other member."""
        if self.current_incarnation is None:
            return False
        with suppress(OSError):
            if self._membership.fence_self(self.current_incarnation):
                self.has_left = True
                self.end_incarnation()
        return self.has_left

    def close(self) -> None:
        """Close all files, and leave if no request is open.

        Successors own the open requests once this process has exited.
        """
        if not self.open_records:
            self.leave()
        with suppress(OSError):
            self.waiting_marks.remove_all()
        self._context.readers.close_all()
        self.end_incarnation()

    # Operations.

    def apply(self, operations: Sequence[Operation]) -> list[Outcome]:
        """Write the changes of a group in one transaction, then answer its queries. Return the outcomes."""
        changes = [operation for operation in operations if not isinstance(operation, Query)]
        outcomes = iter(self._changes.apply(changes))
        return [
            self._answer(operation) if isinstance(operation, Query) else next(outcomes)
            for operation in operations
        ]

    def _answer(self, query: Query) -> Outcome:
        try:
            match query:
                case Find(id_):
                    return Found(self.find(id_))
                case RequestEnd(id_):
                    self.folder.end_requests.add(id_)
                case FindRemoteClients(id_):
                    return RemoteClientsFound(self._lookup.presence(id_))
        except (StoreError, OSError) as error:
            return NotWritten(str(error))
        return Written()

    def find(self, id_: str) -> Record | None:
        """Return the latest record of a request, from any store."""
        self._refresh_without_incarnation()
        return self._lookup.find(id_)

    def poll_answers(self, ids: Iterable[str]) -> list[FoundAnswer]:
        """Return the given requests that have their answer, or have no record to wait for."""
        self._refresh_without_incarnation()
        return self._lookup.poll_answers(ids)

    def _refresh_without_incarnation(self) -> None:
        """Read the new fences, by which records are found, while no tick of an incarnation reads them."""
        if self.current_incarnation is None:
            with suppress(OSError, ValueError):  # `ValueError`: a foreign file name
                self.folder.fences.refresh()
                self._membership.count_members()

    def waited_for(self, ids: Sequence[str]) -> list[str]:
        """Return those of some requests for which clients of other processes are marked to wait."""
        with suppress(OSError):  # the next call reads the folder again
            return self.folder.remote_clients.marked(ids, self._context.now())
        return []

    def requested_ends(self) -> list[str]:
        """Return the requests of this incarnation whose end has been requested.

        Removes the end requests for requests that have ended.
        """
        ids = []
        with suppress(OSError):
            for id_ in self.folder.end_requests.all():
                if id_ in self.open_records:
                    ids.append(id_)
                elif self.current_incarnation is not None and self._is_finished(id_):
                    self.folder.end_requests.remove(id_)
        return ids

    def _is_finished(self, id_: str) -> bool:
        record = self.find(id_)
        return record is None or record.stage == Stage.FINAL

    # Ticks.

    def tick(self) -> bool:
        """Renew the lease, detect lost incarnations and scan their stores.

        Without an incarnation, try to begin one. Returns whether there was an incarnation before and after.
        """
        if self.current_incarnation is None:
            is_due = self._context.now() >= self._tried_to_begin_at + BEGIN_INTERVAL_MS
            if is_due and not self.has_left:
                self._begin_again()
            self._refresh_without_incarnation()
            return False
        try:
            self._tick(self.current_incarnation)
        except (StoreError, OSError, ValueError) as error:  # `ValueError`: a foreign file name
            self._context.count_failure(error)
        return self.current_incarnation is not None

    def _begin_again(self) -> None:
        try:
            self.begin()
        except DurableRequestsError as error:
            self._context.log_once(f"durable requests: no incarnation could be begun (error={error})")

    def _tick(self, own: Incarnation) -> None:
        self.folder.fences.refresh()
        if self._context.end_if_fenced():
            return
        self._membership.renew(own)
        self._changes.release_again()
        self.folder.incarnations.update_clock_offset(own.name, self.name)
        self._membership.run_round(own)
        self._takeover.scan(own)
        self.retention.clean(own)

    def take_over(self) -> list[Record]:
        """Take over as many requests of lost incarnations as the rate allows now. Return their records."""
        return [] if self.current_incarnation is None else self._takeover.take_over(self.current_incarnation)

    def report(self, text: str) -> None:
        """Log a line for operators, unless it was logged before."""
        self._context.log_once(text)
