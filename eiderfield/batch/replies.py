"""Answers of the batch front on a client's connection."""

from __future__ import annotations

import json

from eiderfield.batch.drmaa import DrmaaError
from eiderfield.batch.messages import JobStatus, ToUnix
from eiderfield.net.clients import Responder

OK = 200
CREATED = 201


def send_json(connection: Responder, status: int, message: dict[str, object], **headers: str) -> None:
    """Answers with a JSON object."""
    connection.answer(status, json.dumps(message).encode(), Content_Type="application/json", **headers)


def send_status(connection: Responder, status: JobStatus, to_unix: ToUnix) -> None:
    """Answers with where a job stands."""
    send_json(connection, OK, status.to_json(to_unix))


def send_error(connection: Responder, error: DrmaaError) -> None:
    """Answers with an error, by DRMAA's name for it."""
    message: dict[str, object] = {"error": error.name, "message": str(error)}
    if error.retry_after:
        send_json(connection, error.status, message, Retry_After=f"{error.retry_after / 1000.0:.3f}")
    else:
        send_json(connection, error.status, message)
