CREATE TABLE jobs (
    id TEXT PRIMARY KEY, cls TEXT NOT NULL, stage INTEGER NOT NULL, due REAL NOT NULL,
    accepted REAL NOT NULL, finished REAL NOT NULL, head TEXT NOT NULL, body BLOB NOT NULL,
    legs TEXT NOT NULL, verdict TEXT NOT NULL, result BLOB NOT NULL, retry_after REAL NOT NULL,
    may_have_run INTEGER NOT NULL, legs_in_all INTEGER NOT NULL, why TEXT NOT NULL, taken INTEGER NOT NULL
) WITHOUT ROWID;
CREATE INDEX open_jobs ON jobs (stage, accepted);
INSERT INTO jobs VALUES ('j', 'report', 1, 9.0, 1.0, 0.0, '{"key": ""}', x'62',
    '[[0, "w0", "here", 1, 2.0]]', '', x'', 0.0, 0, 0, '', 0);
PRAGMA application_id = 1701078386;
PRAGMA user_version = 1;
