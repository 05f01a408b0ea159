"""Reads a whole folder for operators: every request once, with its owner, and checks. Changes no store.

A request, which operators see as a job, may be recorded in several stores: in that of the incarnation that
accepted it and in those of its successors. The record of the last owner that wrote one counts
(`ownership.py`).
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import closing, suppress
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path

from eiderfield.durable_requests.errors import EmptyStoreError, StoreError
from eiderfield.durable_requests.fences import LEFT, Fence
from eiderfield.durable_requests.folder import SharedFolder
from eiderfield.durable_requests.record import Record, Stage
from eiderfield.durable_requests.record_codec import encode_attempt
from eiderfield.durable_requests.store import Counts, RecordStore
from eiderfield.exchange.request import Verdict

NO_FENCE = Fence((), "", "")
NO_RECORDS = Counts(0, 0, 0)


class IncarnationState(StrEnum):
    """The state of an incarnation. Operators see the values."""

    ALIVE = "alive"
    GONE = "gone"  # its process has exited, and it is not fenced yet
    LOST = "lost"
    LEFT = "left"


@dataclass(frozen=True, slots=True)
class StoredRequest:
    """A durable request as it is recorded. `chain` has the incarnations that it has belonged to."""

    record: Record
    owner: str  # '' while no incarnation owns it
    chain: tuple[str, ...]

    @property
    def state(self) -> str:
        """The verdict of its answer, otherwise its stage: `accepted` or `claimed`."""
        return self.record.verdict or self.record.stage.name.lower()

    @property
    def is_dead(self) -> bool:
        """Whether it ended without a result, and its end had not been requested."""
        return self.record.verdict in (Verdict.FAILED.value, Verdict.REJECTED.value)

    def row(self, unix_offset: float) -> dict[str, object]:
        """Return plain values, for tables and JSON.

        `unix_offset` is Unix time minus the monotonic clock, in ms.
        """
        record = self.record
        is_attempted = not record.verdict and bool(record.attempts)
        return {
            "id": record.id,
            "class": record.class_name,
            "state": self.state,
            "owner": self.owner,
            "taken_over": record.takeovers,
            "front": record.front,
            "accepted_ms": record.accepted_at + unix_offset,
            "due_ms": record.deadline + unix_offset,
            "finished_ms": record.finished_at + unix_offset if record.finished_at else None,
            "may_have_run": record.may_have_run or is_attempted,
            "legs": [encode_attempt(attempt) for attempt in record.attempts],
            "why": record.reason,
            "key": record.key,
            "target": record.head.target,
            "bytes": record.size,
        }


@dataclass(frozen=True, slots=True)
class StoredIncarnation:
    """An incarnation as it is recorded."""

    name: str
    state: IncarnationState
    fence: Fence
    counts: Counts
    pid: int | None

    def row(self) -> dict[str, object]:
        """Return plain values, for tables and JSON."""
        return {
            "life": self.name,
            "state": str(self.state),
            "why": self.fence.reason,
            "heirs": list(self.fence.successors),
            "open": self.counts.open,
            "answered": self.counts.final,
            "bytes": self.counts.size,
            "pid": self.pid,
        }


class Inspection:
    """Reads a folder. Raises `FolderError` if it is not a folder of durable requests."""

    def __init__(self, path: Path) -> None:
        """Open the folder and read its fences."""
        self.folder = SharedFolder(path, create=False)
        self.fences = self.folder.fences.refresh()
        self.faults: list[str] = []  # the stores that could not be read, each with the reason

    def incarnations(self) -> list[StoredIncarnation]:
        """Return all incarnations."""
        alive = self.folder.incarnations.all(excluding=self.fences)
        exited = self.folder.incarnations.exited(alive)
        return [self._incarnation(name, name in exited) for name in sorted({*alive, *self.fences})]

    def _incarnation(self, name: str, has_exited: bool) -> StoredIncarnation:
        counts = NO_RECORDS
        with suppress(StoreError), closing(self.open_store(name)) as store:
            counts = store.counts()
        is_fenced = name in self.fences
        fence = self.folder.fences.read(name) if is_fenced else NO_FENCE
        if is_fenced:
            state = IncarnationState.LEFT if fence.reason == LEFT else IncarnationState.LOST
        else:
            state = IncarnationState.GONE if has_exited else IncarnationState.ALIVE
        info = self.folder.incarnations.info(name)
        return StoredIncarnation(name, state, fence, counts, None if info is None else info.pid)

    def requests(self) -> Iterator[StoredRequest]:
        """Yield every request once."""
        seen: set[str] = set()
        for name in self.folder.stored_incarnations():
            try:
                with closing(self.open_store(name)) as store:
                    for record in store.records():
                        if record.id not in seen:
                            seen.add(record.id)
                            yield from self._requests_with_id(record.id)
            except EmptyStoreError:
                continue
            except StoreError as error:
                self.faults.append(f"{name}: {error}")

    def _requests_with_id(self, id_: str) -> Iterator[StoredRequest]:
        if (request := self.request(id_)) is not None:
            yield request

    def request(self, id_: str) -> StoredRequest | None:
        """Return a request, None if it has no record."""
        holder = self.folder.ids.holder(id_)
        if holder is None:
            return None
        chain = self.folder.fences.chain(id_, holder.incarnation)
        for name in reversed(chain):
            with suppress(StoreError), closing(self.open_store(name)) as store:
                record = store.get(id_)
                if record is not None and record.generation == holder.generation:
                    owner = "" if chain[-1] in self.fences else chain[-1]
                    return StoredRequest(record, owner, tuple(chain))
        return None

    def open_store(self, incarnation: str) -> RecordStore:
        """Open the store of an incarnation for reading; the caller closes it."""
        path = self.folder.store_path(incarnation)
        if not path.exists():
            raise StoreError(path, "not there")
        return RecordStore(path, read_only=True)

    def verify(self) -> list[str]:
        """Return the faults of the folder, a line each."""
        found = [*self._faulty_stores(), *self._unknown_successors(), *self._ownerless_requests()]
        unnamed = [fault for fault in self.faults if not any(fault.split(":")[0] in line for line in found)]
        return [*found, *unnamed]

    def _faulty_stores(self) -> Iterator[str]:
        for name in self.folder.stored_incarnations():
            path = self.folder.store_path(name)
            try:
                with closing(RecordStore(path, read_only=True)) as store:
                    if fault := store.verify():
                        yield f"{path.name}: {fault}"
            except EmptyStoreError:
                continue
            except StoreError as error:
                yield str(error)

    def _unknown_successors(self) -> Iterator[str]:
        for name, successors in self.fences.items():
            for successor in successors:
                if successor not in self.fences and self.folder.incarnations.info(successor) is None:
                    yield f"fences/{name}: its heir {successor} is not known"

    def _ownerless_requests(self) -> Iterator[str]:
        for request in self.requests():
            if request.record.stage != Stage.FINAL and not request.owner:
                yield f"job {request.record.id}: open, and all who might own it are lost"
