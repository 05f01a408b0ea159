"""The batch front: the book of jobs over HTTP and JSON.

    POST /v1/jobs                      one job template -> {"jobId": ...}
    POST /v1/bulk-jobs                 {"jobs": [template, ...]} -> {"jobIds": [...]}, all or none
    GET  /v1/jobs/ID                   the job's status
    GET  /v1/jobs/ID/wait?timeoutMs=N  the same, once the job is final
    POST /v1/jobs/ID/control           {"action": "terminate"} -> the job's status

A template holds jobClass and, if wanted, subject, body, deadlineMs and idempotencyKey. Where custody keeps a
class, a job's id is given once the job is written down, and is known at every dispatcher.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping, Sequence
from functools import partial
from math import isfinite
from typing import Protocol
from urllib.parse import parse_qs

from eiderfield.batch.drmaa import (
    ControlAction,
    DeniedByDrmError,
    DrmaaError,
    ExitTimeoutError,
    InvalidArgumentError,
    InvalidJobError,
    JobState,
    TryLaterError,
)
from eiderfield.batch.jobs import Book, JobTemplate, Record
from eiderfield.exchange import Answer, Verdict
from eiderfield.net.clients import ClientConnection, Listener
from eiderfield.net.http import Head

LONGEST_WAIT = 600_000.0  # ms
CANCELLING = 5000.0  # ms for which the end of a job that is elsewhere is waited for

_TEMPLATE = {"jobClass", "subject", "body", "deadlineMs", "idempotencyKey"}


class Kept(Protocol):
    """A job that custody knows (`eiderfield/custody/record.py`)."""

    @property
    def id(self) -> str:
        """Its id."""

    @property
    def cls(self) -> str:
        """Its class."""

    @property
    def accepted(self) -> float:
        """When it was taken, on the steady clock."""

    @property
    def finished(self) -> float:
        """When it had its answer."""

    @property
    def verdict(self) -> str:
        """Of its answer, '' without one."""

    @property
    def legs(self) -> Sequence[object]:
        """Those that may have run."""

    @property
    def answer(self) -> Answer:
        """Its answer."""


class Elsewhere(Protocol):
    """Custody, as this front uses it for jobs of other dispatchers (`eiderfield/custody/keeper.py`)."""

    def find(self, id_: str, then: Callable[[Kept | None], None]) -> None:
        """What is known of a job."""

    def wait(self, id_: str, until: float, told: Callable[[Answer], None]) -> Callable[[], None]:
        """Waits for a job's answer; what to call when nobody waits any more."""

    def cancel(self, id_: str, then: Callable[[bool], None]) -> None:
        """Asks for the end of a job."""

    def clock_of(self, at: float) -> float:
        """A steady time on this process's clock."""


class BatchFront:
    """What the batch listener does with messages."""

    def __init__(
        self, book: Book, elsewhere: Elsewhere | None = None, unix: Callable[[float], float] = float
    ) -> None:
        self._book = book
        self._elsewhere = elsewhere
        self._unix = unix  # the Unix time of a time of this process's clock

    def message(
        self, listener: Listener, connection: ClientConnection, head: Head, body: bytes
    ) -> Callable[[], None] | None:
        """Answers everything at once but a wait, which it answers when the job is final."""
        try:
            connection.proven = True  # a batch client's errors are answers like others: it may stay
            return self._route(listener, connection, head, body)
        except DrmaaError as error:
            refuse(connection, error)
            return None

    def _route(
        self, listener: Listener, connection: ClientConnection, head: Head, body: bytes
    ) -> Callable[[], None] | None:
        path, _, query = head.target.partition("?")
        match head.method, path.split("/")[1:]:
            case "POST", ["v1", "jobs"]:
                _still_open(listener)
                record = self._book.run_job(template_of(_object(body)))
                self._book.when_taken([record], partial(_taken, connection, {"jobId": record.job_id}))
            case "POST", ["v1", "bulk-jobs"]:
                _still_open(listener)
                jobs = _object(body).get("jobs")
                if not isinstance(jobs, list):
                    raise InvalidArgumentError("jobs is not a list")
                records = self._book.run_bulk_jobs([template_of(job) for job in jobs])
                told: dict[str, object] = {"jobIds": [record.job_id for record in records]}
                self._book.when_taken(records, partial(_taken, connection, told))
            case _, ["v1", "jobs", job_id, *rest] if self._is_elsewhere(job_id, rest):
                return self._route_elsewhere(listener, connection, head.method, job_id, rest, query, body)
            case "GET", ["v1", "jobs", job_id]:
                reply(connection, 200, status_of(*self._book.job_status(job_id), self._unix))
            case "GET", ["v1", "jobs", job_id, "wait"]:
                return self._wait(listener, connection, job_id, query)
            case "POST", ["v1", "jobs", job_id, "control"]:
                self._control(job_id, _object(body).get("action"))
                reply(connection, 200, status_of(*self._book.job_status(job_id), self._unix))
            case _, ["v1", "jobs" | "bulk-jobs", *_]:
                connection.answer(405, b"not a method of this path\n")
            case _:
                connection.answer(404, b"no such path\n")
        return None

    def _is_elsewhere(self, job_id: str, rest: list[str]) -> bool:
        """Whether custody is asked: of a job that is not known here, where one stands that it keeps, and for
        its end."""
        if self._elsewhere is None:
            return False
        kept = rest in ([], ["control"]) and self._book.holds_kept(job_id)
        return kept or not self._book.knows(job_id)

    def _route_elsewhere(
        self, listener: Listener, connection: ClientConnection, method: str, job_id: str, rest: list[str],
        query: str,
        body: bytes,
    ) -> Callable[[], None] | None:  # fmt: skip
        """A job that another dispatcher took, or that this one's earlier life took."""
        assert self._elsewhere is not None
        gone: list[Callable[[], None]] = []
        match method, rest:
            case "GET", []:
                self._elsewhere.find(job_id, partial(self._tell_found, connection, job_id))
            case "GET", ["wait"]:
                until = listener.clock() + _patience(query)
                self._elsewhere.find(job_id, partial(self._wait_found, connection, job_id, until, gone))
            case "POST", ["control"]:
                _may_terminate(_object(body).get("action"))
                until = listener.clock() + CANCELLING
                self._elsewhere.find(job_id, partial(self._end_found, connection, job_id, until, gone))
            case _:
                connection.answer(405, b"not a method of this path\n")
                return None

        def leave() -> None:
            for call in gone:
                call()

        return leave

    def _tell_found(self, connection: ClientConnection, job_id: str, record: Kept | None) -> None:
        assert self._elsewhere is not None
        if record is None:
            refuse(connection, InvalidJobError(f"job {job_id[:40]!r} is not known"))
        else:
            unix_of = partial(_unix_of_steady, self._elsewhere.clock_of, self._unix)
            reply(connection, 200, status_of_kept(record, unix_of))

    def _wait_found(
        self, connection: ClientConnection, job_id: str, until: float, gone: list[Callable[[], None]],
        record: Kept | None,
    ) -> None:  # fmt: skip
        assert self._elsewhere is not None
        if record is None or record.verdict:
            self._tell_found(connection, job_id, record)
            return
        gone.append(self._elsewhere.wait(job_id, until, lambda answer: self._tell_over(connection, job_id)))

    def _end_found(
        self, connection: ClientConnection, job_id: str, until: float, gone: list[Callable[[], None]],
        record: Kept | None,
    ) -> None:  # fmt: skip
        assert self._elsewhere is not None
        if record is None or record.verdict:
            self._tell_found(connection, job_id, record)
            return

        def asked(kept: bool) -> None:
            if not kept:
                refuse(connection, TryLaterError("the wish for its end cannot be written down", 1000.0))
            else:
                self._wait_found(connection, job_id, until, gone, record)

        self._elsewhere.cancel(job_id, asked)

    def _tell_over(self, connection: ClientConnection, job_id: str) -> None:
        """The wait is over: by the job's answer, or by its time, which the record tells apart."""
        assert self._elsewhere is not None

        def tell(record: Kept | None) -> None:
            if record is not None and not record.verdict:
                refuse(connection, ExitTimeoutError(f"job {job_id[:40]} is not final yet"))
            else:
                self._tell_found(connection, job_id, record)

        self._elsewhere.find(job_id, tell)

    def _control(self, job_id: str, action: object) -> None:
        _may_terminate(action)
        self._book.terminate(job_id)

    def _wait(
        self, listener: Listener, connection: ClientConnection, job_id: str, query: str
    ) -> Callable[[], None] | None:
        wait = _patience(query)
        _, state = self._book.job_status(job_id)
        if state.final:
            reply(connection, 200, status_of(*self._book.job_status(job_id), self._unix))
            return None
        answered = False

        def tell() -> None:
            nonlocal answered
            if not answered:
                answered = True
                timer.cancel()
                state = JobState.DONE if served(record) else JobState.FAILED
                reply(connection, 200, status_of(record, state, self._unix))

        def late() -> None:
            nonlocal answered
            if not answered:
                forget()
                refuse(connection, ExitTimeoutError(f"job {job_id} is not final yet"))

        def forget() -> None:
            nonlocal answered
            answered = True
            timer.cancel()
            if tell in record.waiting:
                record.waiting.remove(tell)

        timer = listener.timers.at(listener.clock() + wait, late)
        record = self._book.wait(job_id, tell)
        return forget


def _patience(query: str) -> float:
    """For how long somebody waits, in ms."""
    given = parse_qs(query).get("timeoutMs", [f"{LONGEST_WAIT}"])[-1]
    try:
        wait = min(float(given), LONGEST_WAIT)
    except ValueError:
        raise InvalidArgumentError(f"timeoutMs is not a number: {given[:40]!r}") from None
    if not wait >= 0.0:
        raise InvalidArgumentError("timeoutMs is less than 0")
    return wait


def _may_terminate(action: object) -> None:
    try:
        asked = ControlAction(action)
    except ValueError:
        raise InvalidArgumentError(f"no such control action: {str(action)[:40]!r}") from None
    if asked != ControlAction.TERMINATE:
        raise DeniedByDrmError(f"workers cannot {asked.value} a job")


def _taken(connection: ClientConnection, told: dict[str, object], kept: bool) -> None:
    if kept:
        reply(connection, 201, told)
    else:
        refuse(connection, TryLaterError("the jobs cannot be written down now", 1000.0))


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


def _unix_of_steady(
    clock_of: Callable[[float], float], unix: Callable[[float], float], steady: float
) -> float:
    return unix(clock_of(steady))


def status_of(record: Record, state: JobState, unix: Callable[[float], float] = float) -> dict[str, object]:
    """A job's status. `unix` gives the Unix time of a time of the process's clock."""
    status: dict[str, object] = {
        "jobId": record.job_id,
        "jobClass": record.template.job_class,
        "state": state.value,
        "submittedMs": int(unix(record.submitted)),
    }
    if record.answer is not None:
        status |= _ended(record.answer, unix(record.finished))
    return status


def status_of_kept(record: Kept, unix_of: Callable[[float], float]) -> dict[str, object]:
    """The status of a job that custody knows. `unix_of` gives the Unix time of a steady time."""
    status: dict[str, object] = {
        "jobId": record.id, "jobClass": record.cls, "state": JobState.QUEUED_ACTIVE.value,
        "submittedMs": int(unix_of(record.accepted)),
    }  # fmt: skip
    if record.verdict:
        state = JobState.DONE if record.verdict == Verdict.SERVED.value else JobState.FAILED
        status |= {"state": state.value, **_ended(record.answer, unix_of(record.finished))}
    elif record.legs:
        status["state"] = JobState.RUNNING.value
    return status


def _ended(answer: Answer, finished: float) -> dict[str, object]:
    told: dict[str, object] = {
        "verdict": answer.verdict.value,
        "finishedMs": int(finished),
        "mayHaveRun": answer.may_have_run,
        "legs": answer.legs,
    }
    if answer.verdict == Verdict.SERVED:
        told["result"] = answer.result.decode()
    if answer.verdict == Verdict.DECLINED:
        told["retryAfterMs"] = round(answer.retry_after)
    return told


def reply(connection: ClientConnection, status: int, told: dict[str, object], **headers: str) -> None:
    """An answer in JSON."""
    connection.answer(status, json.dumps(told).encode(), Content_Type="application/json", **headers)


def refuse(connection: ClientConnection, error: DrmaaError) -> None:
    """An error, by DRMAA's name."""
    advice = {"Retry_After": f"{error.retry_after / 1000.0:.3f}"} if error.retry_after else {}
    reply(connection, error.status, {"error": error.name, "message": str(error)}, **advice)


def _still_open(listener: Listener) -> None:
    if listener.draining:
        raise TryLaterError("this dispatcher is about to end", 1000.0)


def _object(body: bytes) -> Mapping[str, object]:
    try:
        told: object = json.loads(body)
    except (ValueError, RecursionError):
        raise InvalidArgumentError("the body is not JSON") from None
    if not isinstance(told, dict):
        raise InvalidArgumentError("the body is not an object")
    return told
