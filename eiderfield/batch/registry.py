"""The registry of batch jobs: what was submitted, where it stands, and how it ended. It knows no wire.

Every job goes through the exchange like any request. The registry only remembers: it sends nothing again, and
a job that the policy rejected stays rejected. Classes that the durable store keeps are
known at every dispatcher and outlive this one: the registry then remembers only who asked here.

A job's states, and what moves it:

    submitted ──(stored, or need not be)──> accepted ──(answer)──> finished ──(age, count)──> forgotten

What must never happen: a job that changes after it has finished; two jobs with one id.
"""

from __future__ import annotations

import os
from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace

from eiderfield.batch.drmaa import (
    DeniedByDrmError,
    InvalidArgumentError,
    InvalidJobError,
    JobState,
    TryLaterError,
)
from eiderfield.batch.durable import DurableJobs
from eiderfield.batch.messages import JobEnd, JobStatus, JobTemplate
from eiderfield.batch.settings import JobLimits
from eiderfield.exchange.exchange import Exchange
from eiderfield.exchange.request import Answer, Request, RequestState, Verdict
from eiderfield.idmap import IdMap
from eiderfield.interface import Effect

RANDOM_ID_BYTES = 8  # in the ids of a process's jobs
MAX_BULK_JOBS = 1000  # jobs of one bulk submission
MAX_NAME_LENGTH = 200  # characters of a name that a client chooses
MAX_BODY_SIZE = 65536  # bytes of a job's body, as for any request
MAX_DEADLINE = 86_400_000.0  # ms: a day
RETRY_AFTER = 1000.0  # ms that a client is advised to wait where there is no capacity
FRONT_NAME = "batch"  # by which the durable store knows whose jobs these are


@dataclass(slots=True, eq=False)
class BatchJob:
    """A batch job. `answer` is None until its final answer is in."""

    job_id: str
    template: JobTemplate  # without the body, which goes with the request and is freed with it
    submitted: float
    body_size: int  # bytes
    number: int = 0  # the exchange's; 0 for a job that the durable store has
    answer: Answer | None = None
    finished: float = 0.0
    accepted: bool = False  # whether the client may be told that it is
    waiting: list[Callable[[], None]] = field(default_factory=list)


class JobRegistry:
    """All batch jobs of this dispatcher. Finished ones are forgotten by age, by count and by memory."""

    def __init__(
        self,
        exchange: Exchange,
        clock: Callable[[], float],
        name: str,
        limits: JobLimits,
        durable: DurableJobs | None = None,
    ) -> None:
        """`name` is the dispatcher's; `durable` is the store for classes that outlive it, if there is one."""
        self._durable = durable
        self._exchange = exchange
        self._clock = clock
        self._limits = limits
        # A job's id must not come again after a restart: workers recognise a repeat by it. Any clock may show
        # the same time again.
        self._id_prefix = f"{name}-{os.urandom(RANDOM_ID_BYTES).hex()}"
        self._last_number = 0
        self._size = 0  # bytes of unfinished jobs' bodies and finished ones' results
        self._classes = {cls.name: number for number, cls in enumerate(exchange.settings.classes)}
        self._jobs: dict[str, BatchJob] = {}
        self._finished: OrderedDict[str, BatchJob] = OrderedDict()  # the oldest first
        self._acceptance: dict[str, Callable[[BatchJob], None]] = {}  # by id, called once the job is stored

    @property
    def unfinished(self) -> int:
        """Jobs without a final answer."""
        return len(self._jobs) - len(self._finished)

    @property
    def known(self) -> int:
        """All jobs that may be asked about."""
        return len(self._jobs)

    def run_job(self, template: JobTemplate) -> BatchJob:
        """Submits one job."""
        return self.run_bulk_jobs([template])[0]

    def run_bulk_jobs(self, templates: Sequence[JobTemplate]) -> list[BatchJob]:
        """Submits all of some jobs or, where one is faulty or there are too many, none of them."""
        if not templates:
            raise InvalidArgumentError("no job is given")
        if len(templates) > MAX_BULK_JOBS:
            raise InvalidArgumentError(f"more than {MAX_BULK_JOBS} jobs are given")
        for template in templates:
            self._check(template)
        self._check_capacity(templates)
        return [self._submit(template) for template in templates]

    def when_accepted(self, jobs: Sequence[BatchJob], then: Callable[[bool], None]) -> None:
        """Calls `then` once all of some jobs are accepted; with False if one of them could not be stored.

        Without a durable store that is at once.
        """
        pending = {job.job_id for job in jobs if not job.accepted}
        if not pending:
            then(True)
            return

        def settle(job: BatchJob) -> None:
            pending.discard(job.job_id)
            if not pending:
                then(all(each.accepted for each in jobs))

        for job in jobs:
            if not job.accepted:
                self._acceptance[job.job_id] = settle

    def knows(self, job_id: str) -> bool:
        """Whether a job was submitted here and is remembered."""
        self.expire()
        return job_id in self._jobs

    def is_durable_and_unfinished(self, job_id: str) -> bool:
        """Whether a job was submitted here, is in the durable store and lacks its answer."""
        job = self._jobs.get(job_id)
        return job is not None and job.answer is None and self._is_durable(job.template)

    def job_status(self, job_id: str) -> JobStatus:
        """Where a job stands; raises `InvalidJobError`."""
        return self.status_of(self._find(job_id))

    def status_of(self, job: BatchJob) -> JobStatus:
        """Where a job stands that may have been forgotten meanwhile."""
        end = None if job.answer is None else JobEnd(job.answer, job.finished)
        return JobStatus(job.job_id, job.template.job_class, self._state(job), job.submitted, end)

    def wait(self, job_id: str, on_end: Callable[[], None]) -> BatchJob:
        """Calls `on_end` once the job has its final answer; at once if it has it already."""
        job = self._find(job_id)
        if job.answer is None:
            job.waiting.append(on_end)
        else:
            on_end()
        return job

    def terminate(self, job_id: str) -> None:
        """Ends a job. One that has its final answer keeps it; one that may run ends once, as terminated."""
        job = self._find(job_id)
        if job.answer is None:
            answer = self._exchange.cancel_request(job.number)
            if answer is not None:
                self._finish(job, answer)

    def expire(self) -> None:
        """Forgets finished jobs that are too old or too many."""
        oldest = self._clock() - self._limits.max_finished_age_ms
        while self._finished:
            job = next(iter(self._finished.values()))
            if job.finished >= oldest and len(self._finished) <= self._limits.max_finished_jobs:
                return
            self._forget(job)

    def _check_capacity(self, templates: Sequence[JobTemplate]) -> None:
        """Raises `TryLaterError` where so many more jobs would be over a limit."""
        if self.unfinished + len(templates) > self._limits.max_unfinished_jobs:
            raise TryLaterError("too many jobs are unfinished", RETRY_AFTER)
        durable = any(self._is_durable(template) for template in templates)
        if durable and self._durable is not None and self._durable.is_full:
            raise TryLaterError("too many jobs are being written down", RETRY_AFTER)
        size = sum(len(template.body.encode()) for template in templates)
        self._free_memory(size)
        if self._size + size > self._limits.max_bytes:  # the whole process is killed for memory otherwise
            raise TryLaterError("unfinished jobs hold too much memory", RETRY_AFTER)

    def _check(self, template: JobTemplate) -> None:
        """Raises `InvalidArgumentError` or `DeniedByDrmError` for a job that can't be accepted."""
        if template.job_class not in self._classes:
            raise InvalidArgumentError(f"class {template.job_class!r} is not known")
        if not 0.0 <= template.deadline <= MAX_DEADLINE:
            raise InvalidArgumentError("the deadline is not from 0 to a day")
        check_body(template.body)
        check_name(template.subject)
        check_name(template.idempotency_key)
        cls = self._exchange.settings.classes[self._classes[template.job_class]]
        if cls.effect == Effect.UNSAFE and template.idempotency_key:
            raise DeniedByDrmError(f"workers drop no repeat of class {cls.name}: it takes no key")

    def _submit(self, template: JobTemplate) -> BatchJob:
        self.expire()
        body = template.body.encode()
        self._size += len(body)
        job = BatchJob(self._next_id(), replace(template, body=""), self._clock(), len(body))
        request = self._request_of(job, body)
        self._jobs[job.job_id] = job
        if self._durable is not None and self._is_durable(template):
            self._durable.accept(
                request,
                lambda answer: self._finish(job, answer),
                FRONT_NAME,
                lambda: self._accept(job),
            )
        else:
            job.accepted = True
            job.number = self._exchange.submit(request, lambda answer: self._finish(job, answer))
        return job

    def _request_of(self, job: BatchJob, body: bytes) -> Request:
        template = job.template
        number = self._classes[template.job_class]
        cls = self._exchange.settings.classes[number]
        key = template.idempotency_key or (job.job_id if cls.effect == Effect.KEYED else "")
        return Request(
            id=job.job_id,
            class_index=number,
            deadline=job.submitted + (template.deadline or cls.deadline_ms),
            target=f"/{cls.name}/{template.subject}" if template.subject else f"/{cls.name}",
            body=body,
            idempotency_key=key,
            subject=IdMap.subject(template.subject),
        )

    def _next_id(self) -> str:
        """An id that no other front's client uses."""
        self._last_number += 1
        while self._exchange.has_request(f"{self._id_prefix}.{self._last_number}"):
            self._last_number += 1
        return f"{self._id_prefix}.{self._last_number}"

    def _is_durable(self, template: JobTemplate) -> bool:
        return self._durable is not None and self._durable.is_durable(self._classes[template.job_class])

    def _accept(self, job: BatchJob) -> None:
        job.accepted = True
        self._settle_acceptance(job)

    def _settle_acceptance(self, job: BatchJob) -> None:
        settle = self._acceptance.pop(job.job_id, None)
        if settle is not None:
            settle(job)

    def _finish(self, job: BatchJob, answer: Answer) -> None:
        self._size += len(answer.result) - job.body_size
        job.answer = answer
        job.finished = self._clock()
        self._finished[job.job_id] = job
        self._settle_acceptance(job)  # one that was never stored is answered as such
        waiting, job.waiting = job.waiting, []
        for on_end in waiting:
            on_end()
        self._free_memory(0)
        self.expire()

    def _free_memory(self, size: int) -> None:
        """Forgets finished jobs until so many more bytes fit, as far as that helps."""
        while self._finished and self._size + size > self._limits.max_bytes:
            self._forget(next(iter(self._finished.values())))

    def _forget(self, job: BatchJob) -> None:
        del self._finished[job.job_id]
        del self._jobs[job.job_id]
        self._size -= len(job.answer.result) if job.answer is not None else 0

    def _find(self, job_id: str) -> BatchJob:
        self.expire()
        job = self._jobs.get(job_id)
        if job is None:
            raise InvalidJobError(f"job {job_id[:MAX_NAME_LENGTH]!r} is not known")
        return job

    def _state(self, job: BatchJob) -> JobState:
        if job.answer is not None:
            return JobState.DONE if job.answer.verdict == Verdict.SERVED else JobState.FAILED
        standing = self._exchange.request_state(job.number) if job.number else None
        return JobState.RUNNING if standing == RequestState.RUNNING else JobState.QUEUED_ACTIVE


def check_body(body: str) -> None:
    """Raises `InvalidArgumentError` for a body that no worker takes."""
    try:
        size = len(body.encode())
    except UnicodeEncodeError:
        raise InvalidArgumentError("the body is not a text") from None
    if size > MAX_BODY_SIZE:
        raise InvalidArgumentError(f"the body is longer than {MAX_BODY_SIZE} bytes")


def check_name(name: str) -> None:
    """Raises `InvalidArgumentError` for a subject or key that does not fit into a path or a header."""
    plain = all("!" <= character <= "~" and character not in "/?#" for character in name)
    if len(name) > MAX_NAME_LENGTH or not plain:
        raise InvalidArgumentError(f"not a plain name: {name[:40]!r}")
