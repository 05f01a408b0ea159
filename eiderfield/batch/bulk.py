"""A submission of one or more batch jobs, of which all are accepted or none.

The states of a submission, and what moves it:

    recording ──(every durable job is recorded)──> accepted    all jobs are sent on
        └──────(a durable job is refused)────────> refused     no job is sent on

Durable jobs are held while the submission is recording, and other jobs are submitted once it is accepted:
this process sends no job of a refused submission. A refused job may have run only if the dispatcher is fenced
meanwhile, since its successors take over what it has recorded.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial

from eiderfield.batch.drmaa import RETRY_AFTER_MS
from eiderfield.batch.durable import DurableJobs
from eiderfield.batch.job import BatchJob, when_settled
from eiderfield.batch.job_table import JobTable
from eiderfield.exchange.exchange import Exchange
from eiderfield.exchange.request import Answer, Request, Verdict

FRONT_NAME = "batch"  # by which the durable store knows whose jobs these are
DECLINED = Answer(Verdict.DECLINED, retry_after=RETRY_AFTER_MS)


@dataclass(frozen=True, slots=True)
class PreparedJob:
    """A job that is not submitted yet, and its request."""

    job: BatchJob
    request: Request

    @property
    def is_durable(self) -> bool:
        """Whether the job goes to the durable store."""
        return self.job.is_durable


@dataclass(frozen=True, slots=True)
class BulkResult:
    """Whether the jobs of a submission are accepted. `may_have_run` is whether a refused job may have run."""

    job_ids: tuple[str, ...]
    is_accepted: bool
    may_have_run: bool


class BulkSubmission:
    """Submits the jobs of one submission."""

    def __init__(
        self,
        exchange: Exchange,
        table: JobTable,
        durable: DurableJobs | None,
        jobs: Sequence[PreparedJob],
        on_settled: Callable[[BulkResult], None],
    ) -> None:
        """Prepare to submit `jobs`, which are in `table`; `durable` accepts those of durable classes."""
        self._exchange = exchange
        self._table = table
        self._durable = durable
        self._on_settled = on_settled
        self._jobs = jobs
        self._durable_jobs = [prepared for prepared in jobs if prepared.is_durable]

    def start(self) -> None:
        """Record the durable jobs, then send on all jobs or none."""
        if self._durable is not None:
            for prepared in self._durable_jobs:
                on_answer = partial(self._table.finish, prepared.job)
                self._durable.accept(
                    prepared.request, on_answer, FRONT_NAME, prepared.job.accept, is_held=True
                )
        when_settled([prepared.job for prepared in self._durable_jobs], self._settle)

    def _settle(self) -> None:
        is_accepted = all(prepared.job.accepted for prepared in self._durable_jobs)
        if is_accepted:
            self._send_on()
        else:
            self._refuse()
        answers = [prepared.job.answer for prepared in self._jobs]
        may_have_run = any(answer is not None and answer.may_have_run for answer in answers)
        job_ids = tuple(prepared.job.job_id for prepared in self._jobs)
        self._on_settled(BulkResult(job_ids, is_accepted, may_have_run))

    def _send_on(self) -> None:
        if self._durable is not None:
            self._durable.release(prepared.job.job_id for prepared in self._durable_jobs)
        for prepared in self._jobs:
            if not prepared.is_durable:
                job = prepared.job
                job.accepted = True
                job.request_number = self._exchange.submit(prepared.request, partial(self._table.finish, job))

    def _refuse(self) -> None:
        if self._durable is not None:
            self._durable.withdraw(prepared.job.job_id for prepared in self._durable_jobs)
        for prepared in self._jobs:
            if not prepared.is_durable:
                self._table.finish(prepared.job, DECLINED)
