"""The store of one incarnation: its records in an SQLite file, with one writer and any number of readers.

Every incarnation has its own file. In a file with several writers, these would wait for each other's locks,
and a process that is stopped while it holds the lock would block them all (measured in
docs/durable-requests.md). Readers see all committed records and never wait for the writer.

The schema has a version: a writer upgrades an older file, and a newer one is refused. The size of the file is
bounded; `expired` returns the FINAL records to delete first.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Iterable, Iterator, Sequence
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import NamedTuple

from eiderfield.durable_requests.errors import EmptyStoreError, StoreError
from eiderfield.durable_requests.record import Record, Stage
from eiderfield.durable_requests.record_codec import COLUMNS, decode, encode
from eiderfield.durable_requests.schema import (
    APPLICATION_ID,
    MISSING_COLUMNS,
    SCHEMA_VERSION,
    upgrade_script,
)

PAGE_SIZE = 4096  # bytes
MIN_PAGES = 16  # smallest bound of a file's size; an empty file has fewer pages
READ_TIMEOUT_MS = 2000  # longest wait of a reader while the journal of a killed writer is recovered
MAX_EXPIRED = 500  # records that one call of `expired` returns at most

# SQLite's errors after which the same call may succeed later.
_TRANSIENT_ERRORS = frozenset(
    {
        sqlite3.SQLITE_FULL,
        sqlite3.SQLITE_IOERR,
        sqlite3.SQLITE_CANTOPEN,
        sqlite3.SQLITE_BUSY,
        sqlite3.SQLITE_NOMEM,
    }
)
_PRIMARY_CODE_MASK = 0xFF  # the bits of an extended error code that hold the primary code

_COLUMN_LIST = ", ".join(COLUMNS)
_PLACEHOLDERS = ",".join("?" * len(COLUMNS))


class OpenRecord(NamedTuple):
    """A record without an answer, as a scan of a store returns it."""

    id: str
    class_name: str
    accepted_at: float


class Counts(NamedTuple):
    """The numbers of records without and with an answer, and the size of bodies and results in bytes."""

    open: int
    final: int
    size: int


class RecordStore:
    """The records of one incarnation. Every failure raises a `StoreError` that names the file."""

    def __init__(self, path: Path, read_only: bool = False, flush: bool = False, max_bytes: int = 0) -> None:
        """Open the file; a writer creates it if it does not exist.

        With `flush`, a commit returns once the data is on the disk. `max_bytes` bounds the size of the file,
        0 for no bound. Raises `EmptyStoreError` for a reader if nothing was ever written.
        """
        self.path = path
        mode = "rw" if read_only else "rwc"  # a reader recovers the journal of a killed writer
        with self._as_store_errors():
            self._database = sqlite3.connect(
                f"file:{path}?mode={mode}",
                uri=True,
                isolation_level=None,
                check_same_thread=False,
                timeout=READ_TIMEOUT_MS / 1000.0,
            )
        try:
            with self._as_store_errors():
                self._open(read_only, flush, max_bytes)
        except StoreError:
            self._database.close()
            raise

    def _open(self, read_only: bool, flush: bool, max_bytes: int) -> None:
        self.version = self._integer("PRAGMA user_version")
        application_id = self._integer("PRAGMA application_id")
        is_new = not (self.version or application_id or self._integer("SELECT count(*) FROM sqlite_master"))
        if not is_new and application_id != APPLICATION_ID:
            raise StoreError(self.path, "not a store of durable requests")
        if self.version > SCHEMA_VERSION:
            raise StoreError(
                self.path,
                f"schema {self.version} is newer than {SCHEMA_VERSION}, the last one known here",
            )
        if read_only:
            self._database.execute("PRAGMA query_only = 1")
            if is_new:
                raise EmptyStoreError(self.path)
        else:
            self._prepare_for_writing(is_new, flush, max_bytes)
        columns = self._stored_columns()
        self._columns = ", ".join(name if name in columns else MISSING_COLUMNS[name] for name in COLUMNS)

    def _prepare_for_writing(self, is_new: bool, flush: bool, max_bytes: int) -> None:
        if is_new:
            self._database.execute(f"PRAGMA page_size = {PAGE_SIZE}")
        self._database.execute("PRAGMA journal_mode = WAL")
        self._database.execute(f"PRAGMA synchronous = {'FULL' if flush else 'NORMAL'}")
        if max_bytes:
            max_pages = max(MIN_PAGES, max_bytes // PAGE_SIZE)
            self._database.execute(f"PRAGMA max_page_count = {max_pages}")
        if script := upgrade_script(self.version, self._stored_columns()):
            self._database.executescript(script)
        self.version = SCHEMA_VERSION

    def _stored_columns(self) -> set[str]:
        return {name for (name,) in self._database.execute("SELECT name FROM pragma_table_info('jobs')")}

    @contextmanager
    def _as_store_errors(self) -> Iterator[None]:
        """Raise an error of SQLite, or of a row that cannot be decoded, as a `StoreError`."""
        try:
            yield
        except sqlite3.Error as error:
            code = getattr(error, "sqlite_errorcode", 0) & _PRIMARY_CODE_MASK
            raise StoreError(self.path, str(error), code in _TRANSIENT_ERRORS) from None
        except (ValueError, TypeError) as error:
            raise StoreError(self.path, str(error)) from None

    def _integer(self, sql: str) -> int:
        return int(self._database.execute(sql).fetchone()[0])

    def close(self) -> None:
        """Close the file."""
        self._database.close()

    # Writing. Either all changes between `begin` and `commit` are recorded, or none.

    def begin(self) -> None:
        """Begin a transaction."""
        with self._as_store_errors():
            self._database.execute("BEGIN IMMEDIATE")

    def commit(self) -> None:
        """Commit the transaction."""
        with self._as_store_errors():
            self._database.execute("COMMIT")

    def roll_back(self) -> None:
        """Roll the transaction back, if there is one."""
        with suppress(sqlite3.Error):
            self._database.execute("ROLLBACK")

    @contextmanager
    def transaction(self) -> Iterator[None]:
        """Run a block in a transaction, which is rolled back if the block or the commit raises."""
        try:
            self.begin()
            yield
            self.commit()
        except BaseException:
            self.roll_back()
            raise

    def put(self, record: Record) -> None:
        """Write a record; it replaces the one with the same id."""
        with self._as_store_errors():
            sql = f"INSERT OR REPLACE INTO jobs ({_COLUMN_LIST}) VALUES ({_PLACEHOLDERS})"
            self._database.execute(sql, encode(record))

    def delete(self, ids: Iterable[str]) -> None:
        """Delete records."""
        with self._as_store_errors():
            self._database.executemany("DELETE FROM jobs WHERE id = ?", [(id_,) for id_ in ids])

    # Reading.

    def get(self, id_: str) -> Record | None:
        """Return a record, None if there is none."""
        with self._as_store_errors():
            sql = f"SELECT {self._columns} FROM jobs WHERE id = ?"
            row = self._database.execute(sql, (id_,)).fetchone()
            return None if row is None else decode(row)

    def open_records(self) -> Iterator[OpenRecord]:
        """Yield all records without an answer."""
        sql = "SELECT id, cls, accepted FROM jobs WHERE stage < 2"
        with self._as_store_errors():
            for id_, class_name, accepted_at in self._database.execute(sql):
                yield OpenRecord(str(id_), str(class_name), float(accepted_at))

    def records(self, stages: Sequence[Stage] = tuple(Stage)) -> Iterator[Record]:
        """Yield all records of some stages, the oldest first."""
        placeholders = ",".join("?" * len(stages))
        sql = f"SELECT {self._columns} FROM jobs WHERE stage IN ({placeholders}) ORDER BY accepted"
        with self._as_store_errors():
            for row in self._database.execute(sql, list(stages)):
                yield decode(row)

    def counts(self) -> Counts:
        """Return how many records there are, and their size."""
        with self._as_store_errors():
            row = self._database.execute(
                "SELECT coalesce(sum(stage < 2), 0), coalesce(sum(stage = 2), 0), "
                "coalesce(sum(length(body) + length(result)), 0) FROM jobs"
            ).fetchone()
            return Counts(*map(int, row))

    def expired(self, finished_before: float, max_final: int, max_bytes: int) -> list[Record]:
        """Return the FINAL records beyond the limits of age, number or total size, the oldest first.

        Returns at most `MAX_EXPIRED` records.
        """
        _, final_count, size = self.counts()
        expired: list[Record] = []
        sql = f"SELECT {self._columns} FROM jobs WHERE stage = 2 ORDER BY finished LIMIT ?"
        with self._as_store_errors():
            for row in self._database.execute(sql, (MAX_EXPIRED,)):
                record = decode(row)
                is_recent = record.finished_at >= finished_before
                if is_recent and final_count <= max_final and size <= max_bytes:
                    break
                final_count, size = final_count - 1, size - record.size
                expired.append(record)
        return expired

    # Maintenance.

    def verify(self) -> str:
        """Read every record. Return the first fault of the file, '' for none."""
        try:
            with self._as_store_errors():
                result = str(self._database.execute("PRAGMA integrity_check").fetchone()[0])
            if result != "ok":
                return result
            return next(filter(None, map(_fault_of, self.records())), "")
        except StoreError as error:
            return str(error)

    def copy_to(self, path: Path) -> None:
        """Copy the current content of the file. Its writer may write meanwhile."""
        with self._as_store_errors(), sqlite3.connect(path) as copy:
            self._database.backup(copy)
        copy.close()

    def compact(self) -> None:
        """Return unused space to the system."""
        with self._as_store_errors():
            self._database.execute("PRAGMA wal_checkpoint(TRUNCATE)")
            self._database.execute("VACUUM")


def _fault_of(record: Record) -> str:
    if record.stage == Stage.FINAL:
        return "" if record.verdict else f"job {record.id} is final without a verdict"
    if (record.stage == Stage.CLAIMED) != bool(record.attempts):
        return f"job {record.id} has {len(record.attempts)} legs as {record.stage.name}"
    return ""
