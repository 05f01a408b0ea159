"""One incarnation's store: its records in an SQLite file that it alone writes and anybody may read.

Writers of one file would wait for each other's locks, and a process that is stopped with the lock would stop
them all (measured in docs/durable-requests.md). So every incarnation has its own file. Readers see what was
committed and wait for nobody. The file's schema has a version, which an older file is brought up to and a
newer one is refused by; its size has a bound, and what is final is forgotten first, the oldest before the
others.
"""

from __future__ import annotations

import json
import sqlite3
from collections.abc import Iterable, Iterator, Sequence
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import NamedTuple

from eiderfield.durable_requests.errors import EmptyStoreError, StoreError
from eiderfield.durable_requests.record import AttemptRecord, Record, RequestHead, Stage

MAGIC = 0x65646572  # "eder": SQLite's application id of our files
SCHEMA = 2
PAGE = 4096
LEAST_PAGES = 16  # that a bound leaves: an empty file has fewer
READ_WAIT = 2000  # ms that a reader waits where a file's journal has to be recovered after a kill
STALE_AT_ONCE = 500  # final records that are forgotten at once, at most

# What SQLite says where the system refused something that it may grant in a while.
_TRANSIENT = frozenset(
    {
        sqlite3.SQLITE_FULL,
        sqlite3.SQLITE_IOERR,
        sqlite3.SQLITE_CANTOPEN,
        sqlite3.SQLITE_BUSY,
        sqlite3.SQLITE_NOMEM,
    }
)
_PRIMARY = 0xFF  # of an extended error code, the part that names the error

# What brings a file from each version to the next; the first is a new file.
_STEPS = (
    """
    CREATE TABLE jobs (
        id TEXT PRIMARY KEY, cls TEXT NOT NULL, stage INTEGER NOT NULL, due REAL NOT NULL,
        accepted REAL NOT NULL, finished REAL NOT NULL, head TEXT NOT NULL, body BLOB NOT NULL,
        legs TEXT NOT NULL, verdict TEXT NOT NULL, result BLOB NOT NULL, retry_after REAL NOT NULL,
        may_have_run INTEGER NOT NULL, legs_in_all INTEGER NOT NULL, why TEXT NOT NULL, taken INTEGER NOT NULL
    ) WITHOUT ROWID;
    CREATE INDEX open_jobs ON jobs (stage, accepted);
    """,
    """
    ALTER TABLE jobs ADD COLUMN front TEXT NOT NULL DEFAULT 'platform';
    ALTER TABLE jobs ADD COLUMN number INTEGER NOT NULL DEFAULT 1;
    CREATE INDEX over ON jobs (finished) WHERE stage = 2;
    """,
)
COLUMNS = (
    "id",
    "cls",
    "stage",
    "due",
    "accepted",
    "finished",
    "head",
    "body",
    "legs",
    "verdict",
    "result",
    "retry_after",
    "may_have_run",
    "legs_in_all",
    "why",
    "taken",
    "front",
    "number",
)
_ALL = ", ".join(COLUMNS)
_ALL_OF_FIRST_SCHEMA = _ALL.replace("front, number", "'platform', 1")
_MARKS = ",".join("?" * len(COLUMNS))


class OpenRecord(NamedTuple):
    """What a scan tells of a record without an answer."""

    id: str
    cls: str
    accepted: float


class Counts(NamedTuple):
    """Records without and with an answer, and the bytes of bodies and results of all."""

    open: int
    final: int
    size: int


class RecordStore:
    """An incarnation's records. Every failure is a `StoreError` with the file's name."""

    def __init__(self, path: Path, write: bool = True, flush: bool = False, most_bytes: int = 0) -> None:
        """Opens the file; a writer makes it where it is not there."""
        self.path = path
        mode = "rwc" if write else "rw"  # a reader recovers the journal of a file whose writer was killed
        with self._failures_named():
            self._database = sqlite3.connect(
                f"file:{path}?mode={mode}",
                uri=True,
                isolation_level=None,
                check_same_thread=False,
                timeout=READ_WAIT / 1000.0,
            )
        try:
            with self._failures_named():
                self._open(write, flush, most_bytes)
        except StoreError:
            self._database.close()
            raise

    def _open(self, write: bool, flush: bool, most_bytes: int) -> None:
        version, magic = (self._value(f"PRAGMA {name}") for name in ("user_version", "application_id"))
        fresh = version == 0 and magic == 0 and not self._value("SELECT count(*) FROM sqlite_master")
        if not fresh and magic != MAGIC:
            raise StoreError(f"{self.path}: not a store of work in hand")
        if version > SCHEMA:
            raise StoreError(f"{self.path}: schema {version} is newer than {SCHEMA}, the last one known here")
        self.version = version
        if write:
            self._prepare_for_writing(fresh, flush, most_bytes)
            return
        self._database.execute("PRAGMA query_only = 1")
        if fresh:
            raise EmptyStoreError(f"{self.path}: empty")

    def _prepare_for_writing(self, fresh: bool, flush: bool, most_bytes: int) -> None:
        if fresh:
            self._database.execute(f"PRAGMA page_size = {PAGE}")
        self._database.execute("PRAGMA journal_mode = WAL")
        self._database.execute(f"PRAGMA synchronous = {'FULL' if flush else 'NORMAL'}")
        if most_bytes:
            self._database.execute(f"PRAGMA max_page_count = {max(LEAST_PAGES, most_bytes // PAGE)}")
        for step in range(self.version, SCHEMA):
            mark = f"PRAGMA application_id = {MAGIC}; PRAGMA user_version = {step + 1}"
            self._database.executescript(f"BEGIN; {_STEPS[step]} {mark}; COMMIT")
        self.version = SCHEMA

    @contextmanager
    def _failures_named(self) -> Iterator[None]:
        """Raises what SQLite, or a record that cannot be decoded, raises as a `StoreError`."""
        try:
            yield
        except sqlite3.Error as error:
            transient = (getattr(error, "sqlite_errorcode", 0) & _PRIMARY) in _TRANSIENT
            raise StoreError(f"{self.path}: {error}", transient) from None
        except (ValueError, TypeError) as error:
            raise StoreError(f"{self.path}: {error}") from None

    def _value(self, sql: str) -> int:
        return int(self._database.execute(sql).fetchone()[0])

    def close(self) -> None:
        """Closes the file."""
        self._database.close()

    # Writing: what lies between `begin` and `commit` is recorded whole or not at all.

    def begin(self) -> None:
        """Begins a group of changes."""
        with self._failures_named():
            self._database.execute("BEGIN IMMEDIATE")

    def commit(self) -> None:
        """Writes the group."""
        with self._failures_named():
            self._database.execute("COMMIT")

    def roll_back(self) -> None:
        """Takes the group back, as far as it had come."""
        with suppress(sqlite3.Error):
            self._database.execute("ROLLBACK")

    @contextmanager
    def group(self) -> Iterator[None]:
        """A group of changes: committed at the end, or rolled back on whatever is raised within."""
        try:
            self.begin()
            yield
            self.commit()
        except BaseException:
            self.roll_back()
            raise

    def put(self, record: Record) -> None:
        """Writes a record, in the place of what it was before."""
        with self._failures_named():
            sql = f"INSERT OR REPLACE INTO jobs ({_ALL}) VALUES ({_MARKS})"
            self._database.execute(sql, encode(record))

    def forget(self, ids: Iterable[str]) -> None:
        """Deletes records."""
        with self._failures_named():
            self._database.executemany("DELETE FROM jobs WHERE id = ?", [(id_,) for id_ in ids])

    # Reading.

    @property
    def _columns(self) -> str:
        return _ALL if self.version == SCHEMA else _ALL_OF_FIRST_SCHEMA

    def get(self, id_: str) -> Record | None:
        """A record, None if it is not there."""
        with self._failures_named():
            sql = f"SELECT {self._columns} FROM jobs WHERE id = ?"
            row = self._database.execute(sql, (id_,)).fetchone()
            return None if row is None else decode(row)

    def open_records(self) -> Iterator[OpenRecord]:
        """All records that lack an answer."""
        with self._failures_named():
            for id_, cls, accepted in self._database.execute(
                "SELECT id, cls, accepted FROM jobs WHERE stage < 2"
            ):
                yield OpenRecord(str(id_), str(cls), float(accepted))

    def records(self, stages: Sequence[Stage] = tuple(Stage)) -> Iterator[Record]:
        """All records of some stages, the oldest first."""
        marks = ",".join("?" * len(stages))
        sql = f"SELECT {self._columns} FROM jobs WHERE stage IN ({marks}) ORDER BY accepted"
        with self._failures_named():
            for row in self._database.execute(sql, list(stages)):
                yield decode(row)

    def counts(self) -> Counts:
        """How many records there are, and their size."""
        with self._failures_named():
            row = self._database.execute(
                "SELECT coalesce(sum(stage < 2), 0), coalesce(sum(stage = 2), 0), "
                "coalesce(sum(length(body) + length(result)), 0) FROM jobs"
            ).fetchone()
            return Counts(*map(int, row))

    def stale(self, before: float, most: int, most_bytes: int, at_once: int = STALE_AT_ONCE) -> list[Record]:
        """Final records that are too old, too many, or beyond the bytes, the oldest first; at most `at_once`
        of them."""
        _, final, size = self.counts()
        found: list[Record] = []
        sql = f"SELECT {self._columns} FROM jobs WHERE stage = 2 ORDER BY finished LIMIT ?"
        with self._failures_named():
            for row in self._database.execute(sql, (at_once,)):
                record = decode(row)
                if record.finished >= before and final <= most and size <= most_bytes:
                    break
                final, size = final - 1, size - record.size
                found.append(record)
        return found

    # Maintenance.

    def verify(self) -> str:
        """What is wrong with the file, '' for nothing. Every record is read."""
        try:
            with self._failures_named():
                result = str(self._database.execute("PRAGMA integrity_check").fetchone()[0])
            if result != "ok":
                return result
            return next(filter(None, map(_fault_of, self.records())), "")
        except StoreError as error:
            return str(error)

    def snapshot(self, path: Path) -> None:
        """A copy of the file as it is now, while it is written on."""
        with self._failures_named(), sqlite3.connect(path) as copy:
            self._database.backup(copy)
        copy.close()

    def compact(self) -> None:
        """Gives what is no longer used back to the system."""
        with self._failures_named():
            self._database.execute("PRAGMA wal_checkpoint(TRUNCATE)")
            self._database.execute("VACUUM")


def _fault_of(record: Record) -> str:
    if record.stage == Stage.FINAL:
        return "" if record.verdict else f"job {record.id} is final without a verdict"
    if (record.stage == Stage.CLAIMED) != bool(record.attempts):
        return f"job {record.id} has {len(record.attempts)} legs as {record.stage.name}"
    return ""


def encode(record: Record) -> tuple[object, ...]:
    """A record as a row, in the order of `COLUMNS`."""
    attempts = json.dumps([attempt.encode() for attempt in record.attempts])
    return (
        record.id,
        record.cls,
        int(record.stage),
        record.due,
        record.accepted,
        record.finished,
        record.head.encode(),
        record.body,
        attempts,
        record.verdict,
        record.result,
        record.retry_after,
        int(record.may_have_run),
        record.attempt_count,
        record.reason,
        record.takeovers,
        record.front,
        record.generation,
    )


def decode(row: Sequence[object]) -> Record:
    """A row as a record; `ValueError` or `TypeError` if it is none."""
    value = dict(zip(COLUMNS, row, strict=True))
    return Record(
        id=str(value["id"]),
        cls=str(value["cls"]),
        due=_number(value["due"]),
        accepted=_number(value["accepted"]),
        head=RequestHead.decode(str(value["head"])),
        body=_bytes(value["body"]),
        stage=Stage(int(_number(value["stage"]))),
        attempts=tuple(AttemptRecord(*fields) for fields in json.loads(str(value["legs"]))),
        takeovers=int(_number(value["taken"])),
        generation=int(_number(value["number"])),
        front=str(value["front"]),
        finished=_number(value["finished"]),
        verdict=str(value["verdict"]),
        result=_bytes(value["result"]),
        retry_after=_number(value["retry_after"]),
        may_have_run=bool(value["may_have_run"]),
        attempt_count=int(_number(value["legs_in_all"])),
        reason=str(value["why"]),
    )


def _number(value: object) -> float:
    if not isinstance(value, int | float):
        raise ValueError(f"not a number: {value!r}")
    return float(value)


def _bytes(value: object) -> bytes:
    if not isinstance(value, bytes):
        raise ValueError(f"not bytes: {value!r}")
    return value
