"""The whole folder as operators see it: every job once, with its owner; checks. It changes no store.

A job may stand in several stores: in that of who accepted it, and in those of its successors. What counts is
the record of the last owner that wrote one (`ownership.py`).
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import closing, suppress
from dataclasses import dataclass
from pathlib import Path

from eiderfield.durable_requests.errors import EmptyStoreError, StoreError
from eiderfield.durable_requests.fences import LEFT, Fence
from eiderfield.durable_requests.folder import SharedFolder
from eiderfield.durable_requests.record import Record, Stage
from eiderfield.durable_requests.record_codec import encode_attempt
from eiderfield.durable_requests.store import Counts, RecordStore
from eiderfield.exchange.request import Verdict

NO_FENCE = Fence((), "", "")


@dataclass(frozen=True, slots=True)
class StoredJob:
    """A job, the incarnation that owns it, and those it has belonged to. `owner` is '' while it has none."""

    record: Record
    owner: str
    chain: tuple[str, ...]

    @property
    def state(self) -> str:
        """In a word: `accepted`, `claimed`, or the verdict of its answer."""
        return self.record.verdict or self.record.stage.name.lower()

    @property
    def is_dead(self) -> bool:
        """Whether it ended without a result, and nobody asked for that end."""
        return self.record.verdict in (Verdict.FAILED.value, Verdict.REJECTED.value)

    def row(self, offset: float) -> dict[str, object]:
        """Plain values, for tables and JSON; `offset` leads from monotonic times to Unix time, in ms."""
        record = self.record
        attempted = not record.verdict and bool(record.attempts)
        return {
            "id": record.id,
            "class": record.class_name,
            "state": self.state,
            "owner": self.owner,
            "taken_over": record.takeovers,
            "front": record.front,
            "accepted_ms": record.accepted_at + offset,
            "due_ms": record.deadline + offset,
            "finished_ms": record.finished_at + offset if record.finished_at else None,
            "may_have_run": record.may_have_run or attempted,
            "legs": [encode_attempt(attempt) for attempt in record.attempts],
            "why": record.reason,
            "key": record.key,
            "target": record.head.target,
            "bytes": record.size,
        }


@dataclass(frozen=True, slots=True)
class StoredIncarnation:
    """An incarnation: alive, lost, left, or gone and not fenced yet."""

    name: str
    state: str
    fence: Fence
    counts: Counts
    pid: int | None

    def row(self) -> dict[str, object]:
        """Plain values, for tables and JSON."""
        return {
            "life": self.name,
            "state": self.state,
            "why": self.fence.reason,
            "heirs": list(self.fence.successors),
            "open": self.counts.open,
            "answered": self.counts.final,
            "bytes": self.counts.size,
            "pid": self.pid,
        }


class Inspection:
    """A look at a folder. Raises `FolderError` if it is none."""

    def __init__(self, path: Path) -> None:
        """Reads the fences."""
        self.folder = SharedFolder(path, make=False)
        self.fences = self.folder.fences.refresh()
        self.faults: list[str] = []  # stores that could not be read, by name

    def incarnations(self) -> list[StoredIncarnation]:
        """All incarnations."""
        alive = self.folder.incarnations.all(besides=self.fences)
        gone = self.folder.incarnations.gone(alive)
        return [self._incarnation(name, name in gone) for name in sorted({*alive, *self.fences})]

    def _incarnation(self, name: str, is_gone: bool) -> StoredIncarnation:
        counts = Counts(0, 0, 0)
        with suppress(StoreError), closing(self.open_store(name)) as store:
            counts = store.counts()
        fence = self.folder.fences.read(name) if name in self.fences else NO_FENCE
        state = "gone" if is_gone else "alive"
        if name in self.fences:
            state = "left" if fence.reason == LEFT else "lost"
        info = self.folder.incarnations.info(name)
        return StoredIncarnation(name, state, fence, counts, None if info is None else info.pid)

    def jobs(self) -> Iterator[StoredJob]:
        """Every job once."""
        seen: set[str] = set()
        for name in self.folder.stored_incarnations():
            try:
                with closing(self.open_store(name)) as store:
                    for record in store.records():
                        if record.id not in seen:
                            seen.add(record.id)
                            yield from self._jobs_of(record.id)
            except EmptyStoreError:
                continue
            except StoreError as error:
                self.faults.append(f"{name}: {error}")

    def _jobs_of(self, id_: str) -> Iterator[StoredJob]:
        if (job := self.job(id_)) is not None:
            yield job

    def job(self, id_: str) -> StoredJob | None:
        """One job, None if nothing is known of it."""
        holder = self.folder.ids.holder(id_)
        if holder is None:
            return None
        chain = self.folder.fences.chain(id_, holder.incarnation)
        for name in reversed(chain):
            with suppress(StoreError), closing(self.open_store(name)) as store:
                record = store.get(id_)
                if record is not None and record.generation == holder.generation:
                    owner = "" if chain[-1] in self.fences else chain[-1]
                    return StoredJob(record, owner, tuple(chain))
        return None

    def open_store(self, incarnation: str) -> RecordStore:
        """An incarnation's store, to be read and closed."""
        path = self.folder.store_path(incarnation)
        if not path.exists():
            raise StoreError(path, "not there")
        return RecordStore(path, read_only=True)

    def verify(self) -> list[str]:
        """What is wrong, a line each; nothing for a folder in order."""
        found = [*self._faulty_stores(), *self._unknown_successors()]
        for job in self.jobs():
            if job.record.stage != Stage.FINAL and not job.owner:
                found.append(f"job {job.record.id}: open, and all who might own it are lost")
        named = [fault for fault in self.faults if any(fault.split(":")[0] in line for line in found)]
        return [*found, *(fault for fault in self.faults if fault not in named)]

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
