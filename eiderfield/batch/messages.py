"""The messages of the batch protocol and their JSON codecs. The keys are part of the protocol."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from math import isfinite

from eiderfield.batch.drmaa import InvalidArgumentError, JobState
from eiderfield.exchange.request import Answer, Verdict

TEMPLATE_KEYS = frozenset({"jobClass", "subject", "body", "deadlineMs", "idempotencyKey"})
TEMPLATE_TEXTS = ("jobClass", "subject", "body", "idempotencyKey")
MAX_NAME_LENGTH = 200  # characters of a name that a client chooses
SHOWN_CHARACTERS = 40  # of a client's text in an error message

ToUnix = Callable[[float], float]  # converts a time of the process's clock to Unix time, both in ms


@dataclass(slots=True, frozen=True)
class JobTemplate:
    """A job as a client submits it.

    `deadline` is in ms from the submission, 0 for the deadline of the class.
    """

    job_class: str
    subject: str = ""
    body: str = ""
    deadline: float = 0.0
    idempotency_key: str = ""

    def to_json(self) -> dict[str, object]:
        """Return the template as a JSON object, without the values that are not set."""
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
        """Return the template of a client's message; raise `InvalidArgumentError` with the faulty key."""
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
            deadline=_read_deadline(message),
            idempotency_key=texts["idempotencyKey"],
        )


@dataclass(slots=True, frozen=True)
class JobEnd:
    """The answer of a finished job, and its time."""

    answer: Answer
    finished_at: float  # ms of the process's clock

    def to_json(self, to_unix: ToUnix) -> dict[str, object]:
        """Return the end as the keys that it adds to a status."""
        message: dict[str, object] = {
            "verdict": self.answer.verdict.value,
            "finishedMs": int(to_unix(self.finished_at)),
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
    """The state of a job, and its end once it is finished."""

    job_id: str
    job_class: str
    state: JobState
    submitted_at: float  # ms of the process's clock
    end: JobEnd | None = None

    def to_json(self, to_unix: ToUnix) -> dict[str, object]:
        """Return the status as a JSON object."""
        message: dict[str, object] = {
            "jobId": self.job_id,
            "jobClass": self.job_class,
            "state": self.state.value,
            "submittedMs": int(to_unix(self.submitted_at)),
        }
        if self.end is not None:
            message |= self.end.to_json(to_unix)
        return message


def bulk_to_json(templates: Sequence[JobTemplate]) -> dict[str, object]:
    """Return a bulk submission as a JSON object."""
    return {"jobs": [template.to_json() for template in templates]}


def bulk_from_json(message: Mapping[str, object]) -> list[JobTemplate]:
    """Return the templates of a bulk submission; raise `InvalidArgumentError`."""
    jobs = message.get("jobs")
    if not isinstance(jobs, list):
        raise InvalidArgumentError("jobs is not a list")
    return [JobTemplate.from_json(job) for job in jobs]


def parse_object(body: bytes) -> Mapping[str, object]:
    """Return the JSON object of a message's body; raise `InvalidArgumentError` if it is none."""
    try:
        message: object = json.loads(body)
    except (ValueError, RecursionError):
        raise InvalidArgumentError("the body is not JSON") from None
    if not isinstance(message, dict):
        raise InvalidArgumentError("the body is not an object")
    return message


def _read_deadline(message: Mapping[object, object]) -> float:
    deadline = message.get("deadlineMs", 0.0)
    if isinstance(deadline, bool) or not isinstance(deadline, int | float) or not isfinite(deadline):
        raise InvalidArgumentError("deadlineMs is not a number")
    if "deadlineMs" in message and deadline <= 0:
        raise InvalidArgumentError("deadlineMs is not above 0")
    return deadline
