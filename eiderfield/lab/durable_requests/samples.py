"""Records for measurements."""

from __future__ import annotations

import time

from eiderfield.durable_requests.record import AttemptRecord, Record, RequestHead

CLASS_NAME = "r"
CLASSES = {CLASS_NAME: 1.0}  # by name, the priority weight
DUE = 1e12  # ms: never within a measurement
BODY = b"x" * 200


def sample_record(id_: str) -> Record:
    """An accepted request."""
    return Record(
        id_, CLASS_NAME, DUE, time.monotonic() * 1000.0, RequestHead("/r/x", "h", id_, subject=1), BODY
    )


def sample_attempt(sent: float) -> AttemptRecord:
    """An attempt at a worker."""
    return AttemptRecord(0, "w", "z", 0, sent)
