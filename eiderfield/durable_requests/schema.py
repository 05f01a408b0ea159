"""The schema of a store's SQLite file, and how an older file is upgraded to it.

A file has a version. Columns that revisions of the same version added are optional: every revision of that
version reads a file with or without them, as it names the columns that it uses.
"""

from __future__ import annotations

from collections.abc import Collection

APPLICATION_ID = 0x65646572  # "eder"; SQLite stores it in the header of the file
SCHEMA_VERSION = 2

# What a record of an older file has in place of a column that the file lacks, as an SQL expression.
MISSING_COLUMNS = {"front": "'platform'", "number": "1", "tenant": "NULL", "released": "0"}

_OPTIONAL_COLUMNS = {
    "tenant": "ALTER TABLE jobs ADD COLUMN tenant TEXT;",
    "released": "ALTER TABLE jobs ADD COLUMN released INTEGER NOT NULL DEFAULT 0;",
}

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


def upgrade_script(version: int, columns: Collection[str]) -> str:
    """Return a script that upgrades a file of a version, with these columns, in one transaction.

    It is empty if there is nothing to upgrade.
    """
    steps = [*_UPGRADES[version:], *(sql for name, sql in _OPTIONAL_COLUMNS.items() if name not in columns)]
    if not steps:
        return ""
    header = f"PRAGMA application_id = {APPLICATION_ID}; PRAGMA user_version = {SCHEMA_VERSION};"
    return "\n".join(("BEGIN;", *steps, header, "COMMIT;"))
