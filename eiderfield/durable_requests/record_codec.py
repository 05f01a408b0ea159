"""Converts records to rows of a store and back.

The stored names are older than those of `record.py`: `cls` (class name), `due` (deadline), `legs` (attempts),
`legs_in_all` (attempt count), `why` (reason), `taken` (takeovers), `number` (generation), `tenant` (tenant
name) and `released` (released attempts).
"""

from __future__ import annotations

import json
from collections.abc import Sequence

from eiderfield.durable_requests.record import AttemptRecord, Record, RequestHead, Stage

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
    "tenant",
    "released",
)


def encode(record: Record) -> tuple[object, ...]:
    """Return a record as a row, in the order of `COLUMNS`."""
    return (
        record.id,
        record.class_name,
        int(record.stage),
        record.deadline,
        record.accepted_at,
        record.finished_at,
        _encode_head(record.head),
        record.body,
        json.dumps([encode_attempt(attempt) for attempt in record.attempts]),
        record.verdict,
        record.result,
        record.retry_after,
        int(record.may_have_run),
        record.attempt_count,
        record.reason,
        record.takeovers,
        record.front,
        record.generation,
        record.tenant_name,
        record.released_attempts,
    )


def encode_attempt(attempt: AttemptRecord) -> list[object]:
    """Return the stored form of an attempt."""
    return [attempt.number, attempt.worker, attempt.zone, attempt.cell, attempt.sent_at]


def _encode_head(head: RequestHead) -> str:
    return json.dumps(
        {
            "target": head.target,
            "host": head.host,
            "key": head.key,
            "subject": head.subject,
            "tenant": head.tenant,
            "slots": head.slots,
            "memory": head.memory,
        }
    )


def decode(row: Sequence[object]) -> Record:
    """Return the record of a row. Raises `ValueError` or `TypeError` if the row holds no valid record."""
    value = dict(zip(COLUMNS, row, strict=True))
    return Record(
        id=str(value["id"]),
        class_name=str(value["cls"]),
        deadline=_number(value["due"]),
        accepted_at=_number(value["accepted"]),
        head=RequestHead(**json.loads(str(value["head"]))),
        body=_bytes(value["body"]),
        stage=Stage(int(_number(value["stage"]))),
        attempts=tuple(AttemptRecord(*fields) for fields in json.loads(str(value["legs"]))),
        takeovers=int(_number(value["taken"])),
        generation=int(_number(value["number"])),
        front=str(value["front"]),
        finished_at=_number(value["finished"]),
        verdict=str(value["verdict"]),
        result=_bytes(value["result"]),
        retry_after=_number(value["retry_after"]),
        may_have_run=bool(value["may_have_run"]),
        attempt_count=int(_number(value["legs_in_all"])),
        reason=str(value["why"]),
        tenant_name=None if value["tenant"] is None else str(value["tenant"]),
        released_attempts=int(_number(value["released"])),
    )


def _number(value: object) -> float:
    if not isinstance(value, int | float):
        raise ValueError(f"not a number: {value!r}")
    return float(value)


def _bytes(value: object) -> bytes:
    if not isinstance(value, bytes):
        raise ValueError(f"not bytes: {value!r}")
    return value
