"""The whole folder as operators see it: every job once, with its owner; checks, copies. It changes no store.

A job may stand in several stores: in that of who took it, and in those of its heirs. What counts is the one
of the last owner that wrote it down (`lease.chain_of`).
"""

from __future__ import annotations

import json
import shutil
import sqlite3
from collections.abc import Iterator
from contextlib import closing, suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from eiderfield.durable_requests.folder import Folder, FolderError
from eiderfield.durable_requests.lease import chain_of
from eiderfield.durable_requests.record import Record, Stage
from eiderfield.durable_requests.store import EmptyStoreError, Store, StoreError
from eiderfield.exchange import Verdict


@dataclass(frozen=True, slots=True)
class Known:
    """A job, the life that owns it now, and those it went through. `owner` is '' while nobody owns it."""

    record: Record
    owner: str
    chain: tuple[str, ...]

    @property
    def state(self) -> str:
        """In a word: `accepted`, `claimed`, or the verdict of its answer."""
        return self.record.verdict or self.record.stage.name.lower()

    @property
    def dead(self) -> bool:
        """Whether it ended without a result, and nobody asked for that end."""
        ends = (Verdict.FAILED.value, Verdict.REJECTED.value)
        return self.record.verdict in ends

    def told(self, offset: float) -> dict[str, Any]:
        """Plain values; `offset` brings steady times to Unix time, in ms."""
        record = self.record
        return {
            "id": record.id, "class": record.cls, "state": self.state, "owner": self.owner,
            "taken_over": record.taken, "front": record.front, "accepted_ms": record.accepted + offset,
            "due_ms": record.due + offset,
            "finished_ms": record.finished + offset if record.finished else None,
            "may_have_run": record.may_have_run or (not record.verdict and bool(record.legs)),
            "legs": [leg.told() for leg in record.legs], "why": record.why, "key": record.key,
            "target": str(record.head.get("target", "")), "bytes": record.size,
        }  # fmt: skip


class Survey:
    """A look at a folder. Raises `FolderError` if it is none."""

    def __init__(self, path: Path) -> None:
        self.folder = Folder(path, make=False)
        self.fences = self.folder.fences()
        self.faults: list[str] = []  # stores that could not be read, by name

    def lives(self) -> list[dict[str, Any]]:
        """All lives, with whether they are fenced and how many jobs they hold."""
        names = {*self.folder.lives(), *self.fences}
        alive = self.folder.lives()
        gone = self.folder.gone(alive)
        found = []
        for life in sorted(names):
            counts = (0, 0, 0)
            with suppress(StoreError, sqlite3.Error), closing(self._store(life)) as store:
                counts = store.counts()
            why = self.folder.why(life) if life in self.fences else {}
            state = "lost" if life in self.fences else "gone" if life in gone else "alive"
            if why.get("why") == "it left":
                state = "left"
            found.append({
                "life": life, "state": state, "why": str(why.get("why", "")), "heirs": why.get("heirs", []),
                "open": counts[0], "answered": counts[1], "bytes": counts[2],
                "pid": self.folder.about(life).get("pid"),
            })  # fmt: skip
        return found

    def jobs(self) -> Iterator[Known]:
        """Every job once."""
        names = [path.stem for path in sorted((self.folder.path / "lives").glob("*.db"))]
        seen: set[str] = set()
        for life in names:
            try:
                with closing(self._store(life)) as store:
                    for record in store.records():
                        if record.id in seen:
                            continue
                        seen.add(record.id)
                        if (known := self.job(record.id)) is not None:
                            yield known
            except EmptyStoreError:
                continue
            except (StoreError, sqlite3.Error, ValueError, TypeError) as error:
                self.faults.append(f"{life}: {error}")

    def job(self, id_: str) -> Known | None:
        """One job, None if nothing is known of it."""
        holder = self.folder.holder(id_)
        if holder is None:
            return None
        number, life = holder
        chain = chain_of(id_, life, self.fences, self.folder.later)
        for each in reversed(chain):
            with suppress(StoreError, sqlite3.Error), closing(self._store(each)) as store:
                if (record := store.get(id_)) is not None and record.number == number:
                    owner = "" if chain[-1] in self.fences else chain[-1]
                    return Known(record, owner, tuple(chain))
        return None

    def _store(self, life: str) -> Store:
        path = self.folder.store(life)
        if not path.exists():
            raise StoreError(f"{path}: not there")
        return Store(path, write=False)

    def verify(self) -> list[str]:
        """What is wrong, a line each; nothing for a folder in order."""
        found: list[str] = []
        for path in sorted((self.folder.path / "lives").glob("*.db")):
            try:
                with closing(Store(path, write=False)) as store:
                    if why := store.verify():
                        found.append(f"{path.name}: {why}")
            except EmptyStoreError:
                continue
            except StoreError as error:
                found.append(str(error))
        for life in self.fences:
            for heir in self.fences[life]:
                if heir not in self.fences and not self.folder.about(heir):
                    found.append(f"fences/{life}: its heir {heir} is not known")
        for known in self.jobs():
            if known.record.stage != Stage.FINAL and not known.owner:
                found.append(f"job {known.record.id}: open, and all who might own it are lost")
        return [*found, *(fault for fault in self.faults if not any(fault.split(":")[0] in f for f in found))]

    def snapshot(self, path: Path) -> int:
        """Copies what is kept into a new folder while the members go on; how many jobs that are. Started on
        the copy, dispatchers take over all that had no answer when its store was copied."""
        if path.exists() and any(path.iterdir()):
            raise FolderError(f"{path} is not empty")
        copy = Folder(path)
        for part in ("members", "fences"):
            for each in (self.folder.path / part).iterdir():
                if not each.name.startswith("~"):
                    shutil.copy2(each, path / part / each.name)
        for each in sorted((self.folder.path / "lives").glob("*.db")):
            with closing(self._store(each.stem)) as store:
                store.snapshot(path / "lives" / each.name)
        count = 0
        for known in Survey(self.folder.path).jobs():
            holder = self.folder.holder(known.record.id)
            if holder is not None:
                count += 1
                for number in range(1, holder[0] + 1):
                    copy.take(known.record.id, holder[1], number)
                if known.record.key:
                    copy.hold_key(known.record.cls, known.record.key, known.record.id)
        return count


def restore(snapshot: Path, path: Path) -> int:
    """Makes a folder out of a snapshot; how many jobs that are. `FolderError` if something is there."""
    return Survey(snapshot).snapshot(path)


def plain(value: object) -> str:
    """A value for a line of a table."""
    return json.dumps(value) if isinstance(value, list | dict) else str(value)
