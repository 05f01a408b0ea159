"""The schema of a store's SQLite file, and how an older file is upgraded to it."""

from __future__ import annotations

APPLICATION_ID = 0x65646572  # "eder"; SQLite stores it in the header of the file
SCHEMA_VERSION = 2
FIRST_VERSION = 1

# The script at index N upgrades a file of version N; version 0 is a new file.
_UPGRADES = (
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


def upgrade_scripts(version: int) -> list[str]:
    """Return the scripts that upgrade a file of a version, each in a transaction of its own."""
    return [_transaction(number) for number in range(version, SCHEMA_VERSION)]


def _transaction(version: int) -> str:
    header = f"PRAGMA application_id = {APPLICATION_ID}; PRAGMA user_version = {version + 1}"
    return f"BEGIN; {_UPGRADES[version]} {header}; COMMIT"
