"""The batch front: the book of jobs over HTTP and JSON.

    POST /v1/jobs                      one job template -> {"jobId": ...}
    POST /v1/bulk-jobs                 {"jobs": [template, ...]} -> {"jobIds": [...]}, all or none
    GET  /v1/jobs/ID                   the job's status
    GET  /v1/jobs/ID/wait?timeoutMs=N  the same, once the job is final
    POST /v1/jobs/ID/control           {"action": "terminate"} -> the job's status

A template holds jobClass and, if wanted, subject, body, deadlineMs and idempotencyKey.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from math import isfinite
from urllib.parse import parse_qs

from eiderfield.batch.drmaa import (
    ControlAction,
    DeniedByDrmError,
    DrmaaError,
    ExitTimeoutError,
    InvalidArgumentError,
    JobState,
    TryLaterError,
)
from eiderfield.batch.jobs import Book, JobTemplate, Record
from eiderfield.exchange import Verdict
from eiderfield.net.acquirer import Acquirer, Door
from eiderfield.net.http import Head

LONGEST_WAIT = 600_000.0  # ms

_TEMPLATE = {"jobClass", "subject", "body", "deadlineMs", "idempotencyKey"}


class BatchFront:
    """What the batch door does with messages."""

    def __init__(self, book: Book) -> None:
        self._book = book

    def message(self, door: Door, acquirer: Acquirer, head: Head, body: bytes) -> Callable[[], None] | None:
        """Answers everything at once but a wait, which it answers when the job is final."""
        try:
            acquirer.proven = True  # a batch client's errors are answers like others: its connection may stay
            return self._route(door, acquirer, head, body)
        except DrmaaError as error:
            refuse(acquirer, error)
            return None

    def _route(self, door: Door, acquirer: Acquirer, head: Head, body: bytes) -> Callable[[], None] | None:
        path, _, query = head.target.partition("?")
        match head.method, path.split("/")[1:]:
            case "POST", ["v1", "jobs"]:
                _still_open(door)
                record = self._book.run_job(template_of(_object(body)))
                reply(acquirer, 201, {"jobId": record.job_id})
            case "POST", ["v1", "bulk-jobs"]:
                _still_open(door)
                jobs = _object(body).get("jobs")
                if not isinstance(jobs, list):
                    raise InvalidArgumentError("jobs is not a list")
                records = self._book.run_bulk_jobs([template_of(job) for job in jobs])
                reply(acquirer, 201, {"jobIds": [record.job_id for record in records]})
            case "GET", ["v1", "jobs", job_id]:
                reply(acquirer, 200, status_of(*self._book.job_status(job_id)))
            case "GET", ["v1", "jobs", job_id, "wait"]:
                return self._wait(door, acquirer, job_id, query)
            case "POST", ["v1", "jobs", job_id, "control"]:
                self._control(job_id, _object(body).get("action"))
                reply(acquirer, 200, status_of(*self._book.job_status(job_id)))
            case _, ["v1", "jobs" | "bulk-jobs", *_]:
                acquirer.answer(405, b"not a method of this path\n")
            case _:
                acquirer.answer(404, b"no such path\n")
        return None

    def _control(self, job_id: str, action: object) -> None:
        try:
            asked = ControlAction(action)
        except ValueError:
            raise InvalidArgumentError(f"no such control action: {str(action)[:40]!r}") from None
        self._book.job_status(job_id)
        if asked != ControlAction.TERMINATE:
            raise DeniedByDrmError(f"workers cannot {asked.value} a job")
        self._book.terminate(job_id)

    def _wait(self, door: Door, acquirer: Acquirer, job_id: str, query: str) -> Callable[[], None] | None:
        given = parse_qs(query).get("timeoutMs", [f"{LONGEST_WAIT}"])[-1]
        try:
            wait = min(float(given), LONGEST_WAIT)
        except ValueError:
            raise InvalidArgumentError(f"timeoutMs is not a number: {given[:40]!r}") from None
        if not wait >= 0.0:
            raise InvalidArgumentError("timeoutMs is less than 0")
        _, state = self._book.job_status(job_id)
        if state.final:
            reply(acquirer, 200, status_of(*self._book.job_status(job_id)))
            return None
        answered = False

        def tell() -> None:
            nonlocal answered
            if not answered:
                answered = True
                timer.cancel()
                reply(acquirer, 200, status_of(record, JobState.DONE if served(record) else JobState.FAILED))

        def late() -> None:
            nonlocal answered
            if not answered:
                forget()
                refuse(acquirer, ExitTimeoutError(f"job {job_id} is not final yet"))

        def forget() -> None:
            nonlocal answered
            answered = True
            timer.cancel()
            if tell in record.waiting:
                record.waiting.remove(tell)

        timer = door.timers.at(door.clock() + wait, late)
        record = self._book.wait(job_id, tell)
        return forget


def served(record: Record) -> bool:
    """Whether a job has a result."""
    return record.answer is not None and record.answer.verdict == Verdict.SERVED


def template_of(told: object) -> JobTemplate:
    """A job template; errors name the faulty key."""
    if not isinstance(told, Mapping):
        raise InvalidArgumentError("a job template is not an object")
    for key in told:
        if key not in _TEMPLATE:
            raise InvalidArgumentError(f"{str(key)[:40]} is not a key of a job template")
    texts = {key: told.get(key, "") for key in ("jobClass", "subject", "body", "idempotencyKey")}
    for key, text in texts.items():
        if not isinstance(text, str):
            raise InvalidArgumentError(f"{key} is not a text")
    deadline = told.get("deadlineMs", 0.0)
    if isinstance(deadline, bool) or not isinstance(deadline, int | float) or not isfinite(deadline):
        raise InvalidArgumentError("deadlineMs is not a number")
    if "deadlineMs" in told and deadline <= 0:
        raise InvalidArgumentError("deadlineMs is not above 0")
    return JobTemplate(texts["jobClass"], texts["subject"], texts["body"], deadline, texts["idempotencyKey"])


def status_of(record: Record, state: JobState) -> dict[str, object]:
    """A job's status."""
    status: dict[str, object] = {
        "jobId": record.job_id,
        "jobClass": record.template.job_class,
        "state": state.value,
        "submittedMs": int(record.submitted),
    }
    if record.answer is not None:
        answer = record.answer
        status |= {
            "verdict": answer.verdict.value,
            "finishedMs": int(record.finished),
            "mayHaveRun": answer.may_have_run,
            "legs": answer.legs,
        }
        if answer.verdict == Verdict.SERVED:
            status["result"] = answer.result.decode()
        if answer.verdict == Verdict.DECLINED:
            status["retryAfterMs"] = round(answer.retry_after)
    return status


def reply(acquirer: Acquirer, status: int, told: dict[str, object], **headers: str) -> None:
    """An answer in JSON."""
    acquirer.answer(status, json.dumps(told).encode(), Content_Type="application/json", **headers)


def refuse(acquirer: Acquirer, error: DrmaaError) -> None:
    """An error, by DRMAA's name."""
    advice = {"Retry_After": f"{error.retry_after / 1000.0:.3f}"} if error.retry_after else {}
    reply(acquirer, error.status, {"error": error.name, "message": str(error)}, **advice)


def _still_open(door: Door) -> None:
    if door.draining:
        raise TryLaterError("this dispatcher is about to end", 1000.0)


def _object(body: bytes) -> Mapping[str, object]:
    try:
        told: object = json.loads(body)
    except (ValueError, RecursionError):
        raise InvalidArgumentError("the body is not JSON") from None
    if not isinstance(told, dict):
        raise InvalidArgumentError("the body is not an object")
    return told
