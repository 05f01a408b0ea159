"""The book of batch jobs: what was submitted, where it stands, and how it ended. It knows no wire.

Every job goes through the exchange like any request. The book only remembers: it sends nothing again,
and what the module declined stays declined. Where custody keeps a class (`eiderfield/custody`), its jobs are
known at every dispatcher and outlive this one: the book then remembers only who asked here.
"""

from __future__ import annotations

import os
from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from typing import Protocol

from eiderfield.batch.drmaa import (
    DeniedByDrmError,
    InvalidArgumentError,
    InvalidJobError,
    JobState,
    TryLaterError,
)
from eiderfield.exchange import Answer, Exchange, Request, Standing, Verdict
from eiderfield.idmap import IdMap
from eiderfield.interface import Effect

PREFIX_BYTES = 8  # of chance in the names of a process's jobs
MAX_BULK = 1000  # jobs of one bulk submission
MAX_ID = 200  # characters of a name that a client chooses
MAX_JOB = 65536  # bytes of a job's body, as for any request


@dataclass(slots=True, frozen=True)
class JobTemplate:
    """What a client says of a job. `deadline` is in milliseconds from the submission, 0 for its class's."""

    job_class: str
    subject: str = ""
    body: str = ""
    deadline: float = 0.0
    idempotency_key: str = ""


@dataclass(slots=True, eq=False)
class Record:
    """A batch job. `answer` is None until its final answer is in."""

    job_id: str
    template: JobTemplate
    submitted: float
    size: int  # bytes of its body
    number: int = 0  # the exchange's
    answer: Answer | None = None
    finished: float = 0.0
    taken: bool = False  # whether it is kept, so that it may be said to have been taken
    waiting: list[Callable[[], None]] = field(default_factory=list)


class Keeping(Protocol):
    """Custody, as the book uses it (`eiderfield/custody/keeper.py`)."""

    @property
    def full(self) -> bool:
        """Whether no new job is to be brought."""

    def keeps(self, cls: int) -> bool:
        """Whether jobs of a class are kept."""

    def take(
        self, request: Request, told: Callable[[Answer], None], front: str,
        taken: Callable[[], None],
    ) -> Callable[[], None]:  # fmt: skip
        """Takes a job; `taken` is called once it is written down, `told` with its answer."""


class Book:
    """All batch jobs of this dispatcher. Finished ones are forgotten by age and by count."""

    def __init__(
        self,
        exchange: Exchange,
        clock: Callable[[], float],
        name: str,
        jobs_most: int,
        finished_most: int,
        finished_age: float,
        bytes_most: int,
        keeping: Keeping | None = None,
    ) -> None:
        self._keeping = keeping
        self._exchange = exchange
        self._clock = clock
        # A job's name must not return after a restart: it is also the worker's mark of a repeat. Any clock
        # may show the same time again.
        self._prefix = f"{name}-{os.urandom(PREFIX_BYTES).hex()}"
        self._jobs_most = jobs_most
        self._finished_most = finished_most
        self._finished_age = finished_age
        self._bytes_most = bytes_most
        self._bytes = 0  # of the bodies of unfinished jobs and of the results of finished ones
        self._classes = {cls.name: number for number, cls in enumerate(exchange.site.classes)}
        self._records: dict[str, Record] = {}
        self._finished: OrderedDict[str, Record] = OrderedDict()  # the oldest first
        self._last = 0
        self._settles: dict[str, Callable[[Record], None]] = {}  # by id, who waits until a job is kept

    @property
    def unfinished(self) -> int:
        """Jobs without a final answer."""
        return len(self._records) - len(self._finished)

    @property
    def known(self) -> int:
        """All jobs that may be asked about."""
        return len(self._records)

    def run_job(self, template: JobTemplate) -> Record:
        """Takes one job."""
        return self.run_bulk_jobs([template])[0]

    def when_taken(self, records: Sequence[Record], then: Callable[[bool], None]) -> None:
        """Calls once all of some jobs are kept, if that is asked for, so that the client may be told so; with
        False if one of them could not be. Without custody that is at once."""
        open_ = {record.job_id for record in records if not record.taken}
        if not open_:
            then(True)
            return

        def settled(record: Record) -> None:
            open_.discard(record.job_id)
            if not open_:
                then(all(each.taken for each in records))

        for record in records:
            if not record.taken:
                self._settles[record.job_id] = settled

    def run_bulk_jobs(self, templates: list[JobTemplate]) -> list[Record]:
        """Takes all of some jobs or, where one is faulty or there are too many, none of them."""
        if not templates:
            raise InvalidArgumentError("no job is given")
        if len(templates) > MAX_BULK:
            raise InvalidArgumentError(f"more than {MAX_BULK} jobs are given")
        for template in templates:
            self._check(template)
        if self.unfinished + len(templates) > self._jobs_most:
            raise TryLaterError("too many jobs are unfinished", 1000.0)
        kept = self._keeping is not None and any(self._keeps(template) for template in templates)
        if kept and self._keeping is not None and self._keeping.full:
            raise TryLaterError("too many jobs are being written down", 1000.0)
        size = sum(len(template.body.encode()) for template in templates)
        self._forget_bytes(size)
        if self._bytes + size > self._bytes_most:  # the whole process is killed for memory otherwise
            raise TryLaterError("unfinished jobs hold too much memory", 1000.0)
        return [self._take(template) for template in templates]

    def knows(self, job_id: str) -> bool:
        """Whether a job was taken here and is remembered."""
        self.expire()
        return job_id in self._records

    def holds_kept(self, job_id: str) -> bool:
        """Whether a job was taken here, is kept by custody and lacks its answer."""
        record = self._records.get(job_id)
        return record is not None and record.answer is None and self._keeps(record.template)

    def job_status(self, job_id: str) -> tuple[Record, JobState]:
        """A job and its state."""
        record = self._find(job_id)
        return record, self._state(record)

    def wait(self, job_id: str, call: Callable[[], None]) -> Record:
        """Calls once the job has its final answer; at once if it has it already."""
        record = self._find(job_id)
        if record.answer is None:
            record.waiting.append(call)
        else:
            call()
        return record

    def terminate(self, job_id: str) -> Record:
        """Ends a job. One that has its final answer keeps it; one that may run ends once, as terminated."""
        record = self._find(job_id)
        if record.answer is None:
            answer = self._exchange.withdraw(record.number)
            if answer is not None:
                self._finish(record, answer)
        return record

    def expire(self) -> None:
        """Forgets finished jobs that are too old or too many."""
        oldest = self._clock() - self._finished_age
        while self._finished:
            record = next(iter(self._finished.values()))
            if record.finished >= oldest and len(self._finished) <= self._finished_most:
                return
            self._forget(record)

    def _forget_bytes(self, more: int) -> None:
        """Makes room for so many bytes, as far as finished jobs hold them."""
        while self._finished and self._bytes + more > self._bytes_most:
            self._forget(next(iter(self._finished.values())))

    def _forget(self, record: Record) -> None:
        del self._finished[record.job_id]
        del self._records[record.job_id]
        self._bytes -= len(record.answer.result) if record.answer is not None else 0

    def _check(self, template: JobTemplate) -> None:
        if template.job_class not in self._classes:
            raise InvalidArgumentError(f"class {template.job_class!r} is not known")
        if not 0.0 <= template.deadline <= 86_400_000.0:
            raise InvalidArgumentError("the deadline is not from 0 to a day")
        try:
            size = len(template.body.encode())
        except UnicodeEncodeError:
            raise InvalidArgumentError("the body is not a text") from None
        if size > MAX_JOB:
            raise InvalidArgumentError(f"the body is longer than {MAX_JOB} bytes")
        for text in (template.subject, template.idempotency_key):
            if len(text) > MAX_ID or not all("!" <= c <= "~" and c not in "/?#" for c in text):
                raise InvalidArgumentError(f"not a plain name: {text[:40]!r}")
        cls = self._exchange.site.classes[self._classes[template.job_class]]
        if cls.effect == Effect.UNSAFE and template.idempotency_key:
            raise DeniedByDrmError(f"workers drop no repeat of class {cls.name}: it takes no key")

    def _take(self, template: JobTemplate) -> Record:
        self.expire()
        self._last += 1
        while self._exchange.holds(f"{self._prefix}.{self._last}"):  # another front's client uses that id
            self._last += 1
        body = template.body.encode()
        self._bytes += len(body)
        # The body goes with the request and is let go with it.
        template = replace(template, body="")
        record = Record(f"{self._prefix}.{self._last}", template, self._clock(), len(body))
        number = self._classes[template.job_class]
        cls = self._exchange.site.classes[number]
        key = template.idempotency_key or (record.job_id if cls.effect == Effect.KEYED else "")
        request = Request(
            id=record.job_id,
            cls=number,
            due=record.submitted + (template.deadline or cls.deadline),
            target=f"/{cls.name}/{template.subject}" if template.subject else f"/{cls.name}",
            body=body,
            idempotency_key=key,
            subject=IdMap.subject(template.subject),
        )
        self._records[record.job_id] = record
        if self._keeping is not None and self._keeps(template):
            self._keeping.take(
                request, lambda answer: self._finish(record, answer), "batch",
                lambda: self._kept(record),
            )  # fmt: skip
        else:
            record.taken = True
            record.number = self._exchange.submit(request, lambda answer: self._finish(record, answer))
        return record

    def _keeps(self, template: JobTemplate) -> bool:
        return self._keeping is not None and self._keeping.keeps(self._classes[template.job_class])

    def _kept(self, record: Record) -> None:
        record.taken = True
        if (settled := self._settles.pop(record.job_id, None)) is not None:
            settled(record)

    def _finish(self, record: Record, answer: Answer) -> None:
        self._bytes += len(answer.result) - record.size
        record.answer = answer
        record.finished = self._clock()
        self._finished[record.job_id] = record
        if (settled := self._settles.pop(record.job_id, None)) is not None:
            settled(record)  # it was never kept
        waiting, record.waiting = record.waiting, []
        for call in waiting:
            call()
        self._forget_bytes(0)
        self.expire()

    def _find(self, job_id: str) -> Record:
        self.expire()
        record = self._records.get(job_id)
        if record is None:
            raise InvalidJobError(f"job {job_id[:MAX_ID]!r} is not known")
        return record

    def _state(self, record: Record) -> JobState:
        if record.answer is not None:
            return JobState.DONE if record.answer.verdict == Verdict.SERVED else JobState.FAILED
        standing = self._exchange.standing(record.number) if record.number else None
        return JobState.RUNNING if standing == Standing.RUNNING else JobState.QUEUED_ACTIVE
