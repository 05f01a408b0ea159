"""The messages of the batch protocol, each with its one codec. Their JSON keys are part of the protocol."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from math import isfinite
from typing import Any

from eiderfield.batch.drmaa import InvalidArgumentError, JobState
from eiderfield.exchange.request import Answer, Verdict

TEMPLATE_KEYS = frozenset({"jobClass", "subject", "body", "deadlineMs", "idempotencyKey"})
TEMPLATE_TEXTS = ("jobClass", "subject", "body", "idempotencyKey")
MAX_NAME_LENGTH = 200  # characters of a name that a client chooses
SHOWN_CHARACTERS = 40  # of a client's text in an error message

ToUnix = Callable[[float], float]  # converts a time of the process's clock to Unix time, both in ms


@dataclass(slots=True, frozen=True)
class JobTemplate:
    """A job as a client submits it. `deadline` is in milliseconds from the submission, 0 for its class's."""

    job_class: str
    subject: str = ""
    body: str = ""
    deadline: float = 0.0
    idempotency_key: str = ""

    def to_json(self) -> dict[str, object]:
        """The template in plain values, without what is not set."""
        message: dict[str, object] = {"jobClass": self.job_class}
        if self.subject:
            message["subject"] = self.subject
        if self.body:
            message["body"] = self.body
        if self.deadline:
            message["deadlineMs"] = self.deadline
        if self.idempotency_key:
            message["idempotencyKey"] = self.idempotency_key
        return message

    @classmethod
    def from_json(cls, message: object) -> JobTemplate:
        """The template of a client's message; raises `InvalidArgumentError` with the faulty key."""
        if not isinstance(message, Mapping):
            raise InvalidArgumentError("a job template is not an object")
        for key in message:
            if key not in TEMPLATE_KEYS:
                raise InvalidArgumentError(f"{str(key)[:SHOWN_CHARACTERS]} is not a key of a job template")
        texts = {key: message.get(key, "") for key in TEMPLATE_TEXTS}
        for key, text in texts.items():
            if not isinstance(text, str):
                raise InvalidArgumentError(f"{key} is not a text")
        return cls(
            job_class=texts["jobClass"],
            subject=texts["subject"],
            body=texts["body"],
            deadline=_deadline(message),
            idempotency_key=texts["idempotencyKey"],
        )


@dataclass(slots=True, frozen=True)
class JobEnd:
    """How a job ended, and when."""

    answer: Answer
    finished: float  # ms of the process's clock

    def to_json(self, to_unix: ToUnix) -> dict[str, object]:
        """The end in plain values."""
        message: dict[str, object] = {
            "verdict": self.answer.verdict.value,
            "finishedMs": int(to_unix(self.finished)),
            "mayHaveRun": self.answer.may_have_run,
            "legs": self.answer.attempts,
        }
        if self.answer.verdict == Verdict.SERVED:
            message["result"] = self.answer.result.decode()
        if self.answer.verdict == Verdict.DECLINED:
            message["retryAfterMs"] = round(self.answer.retry_after)
        return message


@dataclass(slots=True, frozen=True)
class JobStatus:
    """Where a job stands, and how it ended once it has."""

    job_id: str
    job_class: str
    state: JobState
    submitted: float  # ms of the process's clock
    end: JobEnd | None = None

    def to_json(self, to_unix: ToUnix) -> dict[str, object]:
        """The status in plain values."""
        message: dict[str, object] = {
            "jobId": self.job_id,
            "jobClass": self.job_class,
            "state": self.state.value,
            "submittedMs": int(to_unix(self.submitted)),
        }
        if self.end is not None:
            message |= self.end.to_json(to_unix)
        return message


def bulk_to_json(templates: Sequence[JobTemplate]) -> dict[str, object]:
    """A bulk submission in plain values."""
    return {"jobs": [template.to_json() for template in templates]}


def bulk_from_json(message: Mapping[str, object]) -> list[JobTemplate]:
    """The templates of a bulk submission; raises `InvalidArgumentError`."""
    jobs = message.get("jobs")
    if not isinstance(jobs, list):
        raise InvalidArgumentError("jobs is not a list")
    return [JobTemplate.from_json(job) for job in jobs]


def parse_object(body: bytes) -> Mapping[str, Any]:
    """The JSON object of a request's body; raises `InvalidArgumentError`."""
    try:
        message: object = json.loads(body)
    except (ValueError, RecursionError):
        raise InvalidArgumentError("the body is not JSON") from None
    if not isinstance(message, dict):
        raise InvalidArgumentError("the body is not an object")
    return message


def _deadline(message: Mapping[object, object]) -> float:
    deadline = message.get("deadlineMs", 0.0)
    if isinstance(deadline, bool) or not isinstance(deadline, int | float) or not isfinite(deadline):
        raise InvalidArgumentError("deadlineMs is not a number")
    if "deadlineMs" in message and deadline <= 0:
        raise InvalidArgumentError("deadlineMs is not above 0")
    return deadline
