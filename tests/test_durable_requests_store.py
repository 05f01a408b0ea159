"""Records and the stores that hold them."""

from __future__ import annotations

import json
import sqlite3
from dataclasses import replace

import pytest
from support.durable_members import attempt_record, record

from eiderfield.durable_requests.errors import StoreError
from eiderfield.durable_requests.record import Stage, record_of, request_of
from eiderfield.durable_requests.record_codec import encode
from eiderfield.durable_requests.schema import APPLICATION_ID, SCHEMA_VERSION
from eiderfield.durable_requests.store import RecordStore
from eiderfield.exchange.request import Request


def test_record_becomes_the_same_request_with_its_original_deadline():
    request = Request("j", 0, 5000.0, "/r/x", "h", b"\x00body", "k", 7, False, 2, 3.0, 4.0)
    stored = record_of(request, "r", now=1000.0, accepted_at=50.0)
    restored = request_of(stored, 0, now=91_000.0, monotonic=1050.0)
    assert restored == replace(request, deadline=91_000.0 + 3000.0, is_client_retry=True)


def test_successor_renumbers_the_attempts_that_remain_after_one_never_ran():
    stored = (
        record()
        .with_attempt(attempt_record(0))
        .with_attempt(attempt_record(1))
        .with_attempt(attempt_record(2))
        .without_attempt(1)
    )
    assert [each.number for each in stored.taken_over().attempts] == [0, 1]
    assert stored.taken_over().takeovers == 1
    assert stored.without_attempt(0).without_attempt(2).stage == Stage.ACCEPTED


def test_readers_see_committed_records_only(tmp_path):
    store = RecordStore(tmp_path / "a.db")
    reader = RecordStore(tmp_path / "a.db", read_only=True)
    store.begin()
    store.put(record(key="k").with_attempt(attempt_record()))
    assert reader.get("j") is None
    store.commit()
    assert reader.get("j") == record(key="k").with_attempt(attempt_record())
    assert list(reader.open_records()) == [("j", "report", 0.0)]
    assert reader.verify() == ""
    assert reader.counts() == (1, 0, 1)

    def write_to_reader():
        reader.begin()
        reader.put(record())

    with pytest.raises(StoreError):
        write_to_reader()
    store.copy_to(tmp_path / "copy.db")
    assert RecordStore(tmp_path / "copy.db", read_only=True).get("j") == store.get("j")


FIRST_SCHEMA = """CREATE TABLE jobs (
    id TEXT PRIMARY KEY, cls TEXT NOT NULL, stage INTEGER NOT NULL, due REAL NOT NULL,
    accepted REAL NOT NULL, finished REAL NOT NULL, head TEXT NOT NULL, body BLOB NOT NULL,
    legs TEXT NOT NULL, verdict TEXT NOT NULL, result BLOB NOT NULL, retry_after REAL NOT NULL,
    may_have_run INTEGER NOT NULL, legs_in_all INTEGER NOT NULL, why TEXT NOT NULL, taken INTEGER NOT NULL
) WITHOUT ROWID;
CREATE INDEX open_jobs ON jobs (stage, accepted);
INSERT INTO jobs VALUES ('j', 'report', 1, 9.0, 1.0, 0.0, '{"key": ""}', x'62',
    '[[0, "w0", "here", 1, 2.0]]', '', x'', 0.0, 0, 0, '', 0);
PRAGMA application_id = 1701078386; PRAGMA user_version = 1;"""


def test_store_of_the_first_schema_is_readable_and_upgraded_by_its_writer(tmp_path):
    path = tmp_path / "a.db"
    with sqlite3.connect(path) as database:
        database.executescript(FIRST_SCHEMA)
    database.close()
    before = RecordStore(path, read_only=True).get("j")
    assert before.attempts == (attempt_record(at=2.0),)
    assert before.front == "platform"
    assert before.generation == 1
    store = RecordStore(path)
    assert store.version == SCHEMA_VERSION
    assert store.get("j") == before


COLUMNS_OF_3888FCE = (
    "id, cls, stage, due, accepted, finished, head, body, legs, verdict, result, retry_after, may_have_run, "
    "legs_in_all, why, taken, front, number"
)


def test_store_without_optional_columns_is_readable_and_upgraded_by_its_writer(tmp_path):
    """Regression: a file of the same schema version may come from a revision that has fewer columns."""
    path = tmp_path / "a.db"
    store = RecordStore(path)
    with store.transaction():
        store.put(record(tenant_name="gold"))
    store.close()
    with sqlite3.connect(path) as database:
        for column in ("tenant", "released"):
            database.execute(f"ALTER TABLE jobs DROP COLUMN {column}")
    database.close()
    assert RecordStore(path, read_only=True).get("j") == record(tenant_name=None)
    writer = RecordStore(path)
    with writer.transaction():
        writer.put(record("k", tenant_name="gold", released_attempts=2))
    assert [each.tenant_name for each in map(writer.get, "jk")] == [None, "gold"]
    assert [each.released_attempts for each in map(writer.get, "jk")] == [0, 2]


def test_earlier_revision_reads_and_writes_a_store_with_optional_columns(tmp_path):
    """The statements of revision 3888fce, which refuses a file of a later version."""
    path = tmp_path / "a.db"
    store = RecordStore(path)
    with store.transaction():
        store.put(record(tenant_name="gold"))
    with sqlite3.connect(path) as database:
        assert database.execute("PRAGMA user_version").fetchone() == (2,)
        row = database.execute(f"SELECT {COLUMNS_OF_3888FCE} FROM jobs WHERE id = 'j'").fetchone()
        assert row == encode(record())[:-2]
        assert set(json.loads(row[6])) == {"target", "host", "key", "subject", "tenant", "slots", "memory"}
        places = ",".join("?" * len(row))
        database.execute(
            f"INSERT OR REPLACE INTO jobs ({COLUMNS_OF_3888FCE}) VALUES ({places})", ("k", *row[1:])
        )
    database.close()
    assert store.get("k") == record("k", tenant_name=None)


@pytest.mark.parametrize(
    ("make", "reason"),
    [
        (
            lambda database: database.executescript(
                f"PRAGMA application_id = {APPLICATION_ID}; PRAGMA user_version = 99"
            ),
            "newer",
        ),
        (lambda database: database.execute("CREATE TABLE mine (x)"), "not a store"),
        (None, "not a database"),
        ("torn", "malformed|disk image|not a database|integrity|file is"),
    ],
)
def test_foreign_newer_or_torn_store_is_refused_with_its_file_name(make, reason, tmp_path):
    path = tmp_path / "x.db"
    if make is None:
        path.write_bytes(b"poems\n" * 2000)
    elif make == "torn":
        store = RecordStore(path)
        store.begin()
        for number in range(300):
            store.put(record(f"j{number}", body=b"x" * 500))
        store.commit()
        store.compact()
        store.close()
        data = bytearray(path.read_bytes())
        data[4096:] = b"\xff" * (len(data) - 4096)
        path.write_bytes(bytes(data))
        assert RecordStore(path, read_only=True).verify() != ""
        return
    else:
        with sqlite3.connect(path) as database:
            make(database)
        database.close()
    with pytest.raises(StoreError, match=reason) as error:
        RecordStore(path)
    assert "x.db" in str(error.value)
