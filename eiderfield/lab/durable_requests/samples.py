"""Records for measurements."""

from __future__ import annotations

import time

from eiderfield.durable_requests.record import AttemptRecord, Record, RequestHead

CLASS_NAME = "r"
CLASSES = {CLASS_NAME: 1.0}  # by name, the priority weight
DEADLINE = 1e12  # ms: never within a measurement
BODY = b"x" * 200


def sample_record(id_: str) -> Record:
    """Return the record of an accepted request."""
    return Record(
        id_, CLASS_NAME, DEADLINE, time.monotonic() * 1000.0, RequestHead("/r/x", "h", id_, subject=1), BODY
    )


def sample_attempt(sent_at: float) -> AttemptRecord:
    """Return the record of an attempt."""
    return AttemptRecord(0, "w", "z", 0, sent_at)
