"""Responses of the batch front."""

from __future__ import annotations

import json

from eiderfield.batch.drmaa import DrmaaError
from eiderfield.batch.messages import JobStatus, ToUnix
from eiderfield.net.clients.front import Responder
from eiderfield.net.http import status as http_status

MS_PER_SECOND = 1000.0


def send_json(connection: Responder, status: int, message: dict[str, object], **headers: str) -> None:
    """Send a JSON object."""
    connection.answer(status, json.dumps(message).encode(), Content_Type="application/json", **headers)


def send_status(connection: Responder, status: JobStatus, to_unix: ToUnix) -> None:
    """Send the status of a job."""
    send_json(connection, http_status.OK, status.to_json(to_unix))


def send_error(connection: Responder, error: DrmaaError) -> None:
    """Send an error by DRMAA's name for it."""
    message: dict[str, object] = {"error": error.name, "message": str(error)}
    if error.retry_after:
        send_json(connection, error.status, message, Retry_After=f"{error.retry_after / MS_PER_SECOND:.3f}")
    else:
        send_json(connection, error.status, message)


def send_not_found(connection: Responder) -> None:
    """Respond to a message whose path does not exist."""
    connection.answer(http_status.NOT_FOUND, b"no such path\n")


def send_not_allowed(connection: Responder) -> None:
    """Respond to a message whose method its path does not have."""
    connection.answer(http_status.METHOD_NOT_ALLOWED, b"not a method of this path\n")
