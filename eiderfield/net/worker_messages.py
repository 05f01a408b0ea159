"""Messages on a connection to a worker: encodes requests, and parses response lines into typed updates.

The response to an attempt is a stream of JSON objects, one per line. Each has the id of the request and a
`state`. A line that is not such an object, or has the id of another request, is malformed.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from enum import Enum

from eiderfield.exchange.request import Attempt, Request
from eiderfield.interface import Outcome
from eiderfield.net.http import Head, MalformedMessageError, request_bytes
from eiderfield.net.http.status import (
    BAD_REQUEST,
    GATEWAY_TIMEOUT,
    INTERNAL_SERVER_ERROR,
    OK,
    REQUEST_TIMEOUT,
    SERVICE_UNAVAILABLE,
    TOO_EARLY,
    TOO_MANY_REQUESTS,
)

MAX_LINE_BYTES = 4 * 65536  # a result of 64 KiB with every character escaped
# Subtracted from the remaining time that is sent to a worker. The protocol tolerates a delay of the process
# by up to 150 ms before the write, and another 50 ms for reading the client's request.
DEADLINE_MARGIN_MS = 50.0
MIN_DEADLINE_MS = 1
HEALTH_CHECK_HOST = "backend.local"

# Client error statuses that are caused by timing or load and not by the request itself.
_RETRYABLE_CLIENT_ERRORS = (REQUEST_TIMEOUT, TOO_EARLY, TOO_MANY_REQUESTS)
_FAILURE_OUTCOMES = {"failed": Outcome.ERROR, "returned": Outcome.FULL, "lost": Outcome.RESET}


@dataclass(slots=True, frozen=True)
class HealthCheck:
    """A health check in flight.

    Attributes:
        worker: The number of the worker.
        sent_at: When the check was sent, in ms.
        wants_report: Whether the check requests a load report.
    """

    worker: int
    sent_at: float
    wants_report: bool


WorkerCall = Attempt | HealthCheck  # a connection carries one call at a time


@dataclass(slots=True, frozen=True)
class Started:
    """The worker has started to run the request."""


@dataclass(slots=True, frozen=True)
class Progress:
    """The worker has completed `share` (0 to 1) of the request."""

    share: float


@dataclass(slots=True, frozen=True)
class Result:
    """The worker has served the request. `load_report` is a decoded JSON value, None if absent."""

    body: bytes
    load_report: object = None


@dataclass(slots=True, frozen=True)
class Failure:
    """The attempt has ended without a result. `load_report` is a decoded JSON value, None if absent."""

    outcome: Outcome
    load_report: object = None


Update = Started | Progress | Result | Failure


def parse_update(line: bytes, request_id: str) -> Update | None:
    """Parse a response line; return None if its state is unknown.

    Raises `ValueError` if the line is not JSON, and `MalformedMessageError` if it is not a valid update of
    the request `request_id`.
    """
    fields = json.loads(line)
    if not isinstance(fields, dict) or fields.get("id") != request_id:
        raise MalformedMessageError("a line is not about this request")
    state = fields.get("state")
    if state == "started":
        return Started()
    if state == "running":
        return Progress(_parse_share(fields.get("share", 0.0)))
    if state == "done":
        return Result(_parse_result(fields.get("result")), fields.get("load"))
    if state in _FAILURE_OUTCOMES:
        return Failure(_FAILURE_OUTCOMES[state], fields.get("load"))
    return None


def _parse_share(value: object) -> float:
    if not isinstance(value, int | float):
        raise MalformedMessageError("a share is not a number")
    return float(value)


def _parse_result(value: object) -> bytes:
    if not isinstance(value, str):
        raise MalformedMessageError("a result is not a text")
    return value.encode()


class AttemptStatus(Enum):
    """The effect of a response's status code on the attempt."""

    ACCEPTED = "the body reports the outcome"
    REJECTED = "the request is invalid for every worker"
    NOT_RUN = "the worker has not run the request"
    FAILED = "the request may have run"


def attempt_status(head: Head) -> AttemptStatus:
    """Classify the head of a final response (status 200 and above) to an attempt."""
    if head.status == OK:
        return AttemptStatus.ACCEPTED
    if BAD_REQUEST <= head.status < INTERNAL_SERVER_ERROR and head.status not in _RETRYABLE_CLIENT_ERRORS:
        return AttemptStatus.REJECTED
    if head.status in (SERVICE_UNAVAILABLE, GATEWAY_TIMEOUT) and head.get("x-not-run") == "1":
        return AttemptStatus.NOT_RUN
    return AttemptStatus.FAILED


def attempt_request(request: Request, now: float) -> bytes:
    """Encode the HTTP request of an attempt, including the time left until the client's deadline."""
    time_left = int(request.deadline - now - DEADLINE_MARGIN_MS)
    headers = {"X-Request-Id": request.id, "X-Deadline-Ms": str(max(MIN_DEADLINE_MS, time_left))}
    if request.idempotency_key:
        headers["Idempotency-Key"] = request.idempotency_key
    return request_bytes("POST", request.target, request.host, request.body, **headers)


def health_check_request(wants_report: bool) -> bytes:
    """Encode the HTTP request of a health check, which requests a load report if `wants_report`."""
    return request_bytes("GET", "/status/load" if wants_report else "/health", HEALTH_CHECK_HOST)
