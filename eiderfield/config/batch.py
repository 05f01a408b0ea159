"""The table `batch`: the front for batch jobs."""

from __future__ import annotations

from eiderfield.batch.settings import BatchSettings, JobLimits
from eiderfield.config.reader import TableReader

BYTES_PER_MB = 1024 * 1024
DEFAULT_JOBS = 20_000
MAX_JOBS = 1_000_000
DEFAULT_FINISHED_AGE_MS = 3_600_000.0
DEFAULT_MEMORY_MB = 32


def read_batch(table: TableReader, process_memory_mb: int, strict: bool) -> BatchSettings | None:
    """Read the table; return None if the batch front is off."""
    if not table.flag("enabled", False):
        return None
    listen = table.address("listen")
    limits = JobLimits(
        max_finished_jobs=table.integer("finished_most", DEFAULT_JOBS, 1, MAX_JOBS),
        max_finished_age_ms=table.number("finished_age_ms", DEFAULT_FINISHED_AGE_MS, 1.0),
        max_unfinished_jobs=table.integer("jobs_most", DEFAULT_JOBS, 1, MAX_JOBS),
        max_bytes=table.integer("memory_mb", DEFAULT_MEMORY_MB, 1, process_memory_mb) * BYTES_PER_MB,
    )
    if strict:
        table.reject_unknown_keys()
    return BatchSettings(listen, limits)
