"""One life's store: its records in an SQLite file that this life alone writes and anybody may read.

Writers of one file would wait for each other's locks, and a process that is stopped with the lock would stop
them all (measured, docs/custody.md): so every life has a file of its own. Readers see what was committed
and wait for nobody. The file's schema has a version, which an older file is brought up to and a newer one is
refused by; its size has a bound, and what is over goes first, the oldest before the others.
"""

from __future__ import annotations

import json
import sqlite3
from collections.abc import Iterable, Iterator, Sequence
from contextlib import contextmanager, suppress
from pathlib import Path

from eiderfield.durable_requests.record import LegNote, Record, Stage

MAGIC = 0x65646572  # "eder": SQLite's application id of our files
SCHEMA = 2
PAGE = 4096
WAIT = 2000  # ms that a reader waits where a file's journal has to be recovered after a kill

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
_FIELDS = (
    "id, cls, stage, due, accepted, finished, head, body, legs, verdict, result, retry_after, may_have_run, "
    "legs_in_all, why, taken, front, number"
)


# What SQLite says where the system refused something that it may grant in a while.
_TRANSIENT = frozenset({
    sqlite3.SQLITE_FULL, sqlite3.SQLITE_IOERR, sqlite3.SQLITE_CANTOPEN, sqlite3.SQLITE_BUSY,
    sqlite3.SQLITE_NOMEM,
})  # fmt: skip
_PRIMARY = 0xFF  # of an extended error code, the part that names the error


class StoreError(RuntimeError):
    """A store that cannot be used; the text says which and why. `transient`: it may be usable in a while."""

    def __init__(self, text: str, transient: bool = False) -> None:
        """With what operators are told."""
        super().__init__(text)
        self.transient = transient


class EmptyStoreError(StoreError):
    """A store in which nothing was ever written: its writer was lost, or refused, before the first record."""


class Store:
    """A life's records. Raises `StoreError` at its making, `sqlite3.Error` for what is refused later."""

    def __init__(self, path: Path, write: bool = True, flush: bool = False, most: int = 0) -> None:
        self.path = path
        mode = "rwc" if write else "rw"  # a reader recovers the journal of a file whose writer was killed
        try:
            self._db = sqlite3.connect(
                f"file:{path}?mode={mode}", uri=True, isolation_level=None, check_same_thread=False,
                timeout=WAIT / 1000.0,
            )  # fmt: skip
        except sqlite3.Error as error:
            raise StoreError(f"{path}: {error}", _is_transient(error)) from None
        try:
            self._open(write, flush, most)
        except sqlite3.Error as error:
            self._db.close()
            raise StoreError(f"{path}: {error}", _is_transient(error)) from None
        except StoreError:
            self._db.close()
            raise

    def _open(self, write: bool, flush: bool, most: int) -> None:
        version, magic = (self._value(f"PRAGMA {name}") for name in ("user_version", "application_id"))
        fresh = version == 0 and magic == 0 and not self._value("SELECT count(*) FROM sqlite_master")
        if not fresh and magic != MAGIC:
            raise StoreError(f"{self.path}: not a store of work in hand")
        if version > SCHEMA:
            raise StoreError(f"{self.path}: schema {version} is newer than {SCHEMA}, the last one known here")
        self.version = version
        if not write:
            self._db.execute("PRAGMA query_only = 1")
            if fresh:
                raise EmptyStoreError(f"{self.path}: empty")
            return
        if fresh:
            self._db.execute(f"PRAGMA page_size = {PAGE}")
        self._db.execute("PRAGMA journal_mode = WAL")
        self._db.execute(f"PRAGMA synchronous = {'FULL' if flush else 'NORMAL'}")
        if most:
            self._db.execute(f"PRAGMA max_page_count = {max(16, most // PAGE)}")
        for step in range(version, SCHEMA):
            mark = f"PRAGMA application_id = {MAGIC}; PRAGMA user_version = {step + 1}"
            self._db.executescript(f"BEGIN; {_STEPS[step]} {mark}; COMMIT")
        self.version = SCHEMA

    def _value(self, sql: str, *values: object) -> int:
        return int(self._db.execute(sql, values).fetchone()[0])

    def close(self) -> None:
        """Closes the file."""
        self._db.close()

    # Writing: what lies between `begin` and `commit` is kept whole or not at all.

    def begin(self) -> None:
        """Begins a group of changes."""
        self._db.execute("BEGIN IMMEDIATE")

    def commit(self) -> None:
        """Writes the group down."""
        self._db.execute("COMMIT")

    @contextmanager
    def group(self) -> Iterator[None]:
        """A group of changes: committed at the end, or taken back on whatever is raised within."""
        try:
            self.begin()
            yield
            self.commit()
        except BaseException:
            self.undo()
            raise

    def undo(self) -> None:
        """Takes the group back, as far as it had come."""
        with suppress(sqlite3.Error):
            self._db.execute("ROLLBACK")

    def put(self, record: Record) -> None:
        """Writes a record, in the place of what it was before."""
        self._db.execute(
            f"INSERT OR REPLACE INTO jobs ({_FIELDS}) VALUES (?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?)",
            _row(record),
        )

    def forget(self, ids: Iterable[str]) -> None:
        """Deletes records."""
        self._db.executemany("DELETE FROM jobs WHERE id = ?", [(id_,) for id_ in ids])

    # Reading.

    def get(self, id_: str) -> Record | None:
        """A record."""
        row = self._db.execute(f"SELECT {self._fields} FROM jobs WHERE id = ?", (id_,)).fetchone()
        return None if row is None else _record(row)

    @property
    def _fields(self) -> str:
        return _FIELDS if self.version == SCHEMA else _FIELDS.replace("front, number", "'platform', 1")

    def open_jobs(self) -> Iterator[tuple[str, str, float]]:
        """Id, class and time of acceptance of all that lack an answer."""
        for id_, cls, at in self._db.execute("SELECT id, cls, accepted FROM jobs WHERE stage < 2"):
            yield str(id_), str(cls), float(at)

    def records(self, stages: Sequence[Stage] = tuple(Stage)) -> Iterator[Record]:
        """All records of some stages, the oldest first."""
        marks = ",".join("?" * len(stages))
        asked = f"SELECT {self._fields} FROM jobs WHERE stage IN ({marks}) ORDER BY accepted"
        for row in self._db.execute(asked, list(stages)):
            yield _record(row)

    def counts(self) -> tuple[int, int, int]:
        """Records without and with an answer, and the bytes of bodies and results of all."""
        open_, over, size = self._db.execute(
            "SELECT coalesce(sum(stage < 2), 0), coalesce(sum(stage = 2), 0), "
            "coalesce(sum(length(body) + length(result)), 0) FROM jobs"
        ).fetchone()
        return int(open_), int(over), int(size)

    def stale(self, before: float, most: int, bytes_most: int, at_once: int = 500) -> list[Record]:
        """Answered records that are too old, too many, or beyond the bytes, the oldest first; at most
        `at_once` of them."""
        _, over, size = self.counts()
        found: list[Record] = []
        asked = f"SELECT {self._fields} FROM jobs WHERE stage = 2 ORDER BY finished LIMIT ?"
        for row in self._db.execute(asked, (at_once,)):
            record = _record(row)
            if record.finished >= before and over <= most and size <= bytes_most:
                break
            over, size = over - 1, size - record.size
            found.append(record)
        return found

    # Care.

    def verify(self) -> str:
        """What is wrong with the file, '' for nothing. Every record is read."""
        try:
            told = str(self._db.execute("PRAGMA integrity_check").fetchone()[0])
            if told != "ok":
                return told
            for record in self.records():
                if record.stage == Stage.FINAL and not record.verdict:
                    return f"job {record.id} is final without a verdict"
                if (record.stage == Stage.CLAIMED) != bool(record.legs) and record.stage != Stage.FINAL:
                    return f"job {record.id} has {len(record.legs)} legs as {record.stage.name}"
        except (sqlite3.Error, ValueError, TypeError, LookupError) as error:
            return f"{type(error).__name__}: {error}"
        return ""

    def snapshot(self, path: Path) -> None:
        """A copy of the file as it is now, while it is written on."""
        with sqlite3.connect(path) as there:
            self._db.backup(there)
        there.close()

    def compact(self) -> None:
        """Gives what is no longer used back to the system."""
        self._db.execute("PRAGMA wal_checkpoint(TRUNCATE)")
        self._db.execute("VACUUM")


def _is_transient(error: sqlite3.Error) -> bool:
    return (getattr(error, "sqlite_errorcode", 0) & _PRIMARY) in _TRANSIENT


def _row(r: Record) -> tuple[object, ...]:
    legs = json.dumps([leg.told() for leg in r.legs])
    return (
        r.id, r.cls, int(r.stage), r.due, r.accepted, r.finished, json.dumps(dict(r.head)), r.body, legs,
        r.verdict, r.result, r.retry_after, int(r.may_have_run), r.legs_in_all, r.why, r.taken, r.front,
        r.number,
    )  # fmt: skip


def _record(row: Sequence[object]) -> Record:
    (id_, cls, stage, due, accepted, finished, head, body, legs, verdict, result, retry_after, may_have_run,
     legs_in_all, why, taken, front, number) = row  # fmt: skip
    return Record(
        id=str(id_), cls=str(cls), due=_number(due), accepted=_number(accepted), head=json.loads(str(head)),
        body=_bytes(body), stage=Stage(int(_number(stage))),
        legs=tuple(LegNote(*told) for told in json.loads(str(legs))), taken=int(_number(taken)),
        front=str(front), finished=_number(finished), verdict=str(verdict), result=_bytes(result),
        retry_after=_number(retry_after), may_have_run=bool(may_have_run),
        legs_in_all=int(_number(legs_in_all)), why=str(why), number=int(_number(number)),
    )  # fmt: skip


def _number(value: object) -> float:
    if not isinstance(value, int | float):
        raise ValueError(f"not a number: {value!r}")
    return float(value)


def _bytes(value: object) -> bytes:
    if not isinstance(value, bytes):
        raise ValueError(f"not bytes: {value!r}")
    return value
