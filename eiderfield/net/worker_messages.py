"""What is said on a connection to a worker: requests as bytes, and the lines of answers as typed updates.

An attempt's answer is a stream of JSON objects, one a line, each with the request's id and a `state`. What
cannot be read, or is about another request, is `MalformedMessageError`.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from enum import Enum

from eiderfield.exchange.request import Request
from eiderfield.interface import Outcome
from eiderfield.net.http import Head, MalformedMessageError, request_bytes

MAX_LINE = 4 * 65536  # bytes: a result of 64 KiB, with every character escaped
# What a worker is told is left of the client's time may be 150 ms too much, all of which being held up before
# the write may take. Reading the request took time too, for which sockets are allowed 50 ms (protocol page).
DEADLINE_MARGIN = 50.0  # ms
LEAST_DEADLINE = 1  # ms
PROBE_HOST = "backend.local"

# Statuses from 400 to 499 that speak of time or of load, not of the request.
_NOT_ABOUT_THE_REQUEST = (408, 425, 429)
_FINAL_OUTCOMES = {"failed": Outcome.ERROR, "returned": Outcome.FULL, "lost": Outcome.RESET}


@dataclass(slots=True, frozen=True)
class Started:
    """The worker has started on the request."""


@dataclass(slots=True, frozen=True)
class Progress:
    """A share of the work is done."""

    share: float


@dataclass(slots=True, frozen=True)
class Result:
    """The request is served. `load_report` is as it came, if there was one."""

    body: bytes
    load_report: object = None


@dataclass(slots=True, frozen=True)
class Failure:
    """The attempt ended without a result."""

    outcome: Outcome
    load_report: object = None


Update = Started | Progress | Result | Failure


def parse_update(line: bytes, request_id: str) -> Update | None:
    """What a line says; None for a state that means nothing here."""
    fields = json.loads(line)
    # Another request's line must never be served as this one's answer.
    if not isinstance(fields, dict) or fields.get("id") != request_id:
        raise MalformedMessageError("a line is not about this request")
    state = fields.get("state")
    if state == "started":
        return Started()
    if state == "running":
        return Progress(_parse_share(fields.get("share", 0.0)))
    if state == "done":
        return Result(_parse_result(fields.get("result")), fields.get("load"))
    if state in _FINAL_OUTCOMES:
        return Failure(_FINAL_OUTCOMES[state], fields.get("load"))
    return None


def _parse_share(value: object) -> float:
    if not isinstance(value, int | float):
        raise MalformedMessageError("a share is not a number")
    return float(value)


def _parse_result(value: object) -> bytes:
    if not isinstance(value, str):
        raise MalformedMessageError("a result is not a text")
    return value.encode()


class Verdict(Enum):
    """What the head of an attempt's answer says."""

    ACCEPTED = "the lines tell"
    REJECTED = "the request is faulty, for any worker"
    NOT_RUN = "the worker has not run it"
    FAILED = "it may have run"


def verdict_of(head: Head) -> Verdict:
    """The verdict of a final head."""
    if head.status == 200:
        return Verdict.ACCEPTED
    if 400 <= head.status < 500 and head.status not in _NOT_ABOUT_THE_REQUEST:
        return Verdict.REJECTED
    if head.status in (503, 504) and head.get("x-not-run") == "1":
        return Verdict.NOT_RUN
    return Verdict.FAILED


def attempt_request(request: Request, now: float) -> bytes:
    """The request of an attempt, with what is left of the client's time."""
    left = int(request.deadline - now - DEADLINE_MARGIN)
    headers = {"X-Request-Id": request.id, "X-Deadline-Ms": str(max(LEAST_DEADLINE, left))}
    if request.idempotency_key:
        headers["Idempotency-Key"] = request.idempotency_key
    return request_bytes("POST", request.target, request.host, request.body, **headers)


def probe_request(wants_report: bool) -> bytes:
    """The request of a health check, which may ask for a load report."""
    return request_bytes("GET", "/status/load" if wants_report else "/health", PROBE_HOST)
