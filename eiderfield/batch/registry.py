"""The batch jobs of this dispatcher: their submission, their status and their end. Knows no wire.

Every job goes through the exchange like any request. Jobs of durable classes are known at every dispatcher
and outlive this one; the registry has only those that were submitted here.

- `job`: a job, and the callbacks that wait for it.
- `validation`: checks of the templates of jobs.
- `submission`: submits jobs.
- `job_table`: holds jobs by id, and forgets finished ones.
"""

from __future__ import annotations

from collections.abc import Callable

from eiderfield.batch.drmaa import RETRY_AFTER_MS, JobState
from eiderfield.batch.durable import DurableJobs
from eiderfield.batch.job import BatchJob
from eiderfield.batch.job_table import JobTable
from eiderfield.batch.messages import JobEnd, JobStatus
from eiderfield.batch.settings import JobLimits
from eiderfield.batch.submission import JobSubmission
from eiderfield.exchange.exchange import Exchange
from eiderfield.exchange.request import Answer, RequestState, Verdict
from eiderfield.net.memory_budget import MemoryAccount


class JobRegistry:
    """Reports the status of batch jobs, waits for their end and terminates them."""

    def __init__(
        self,
        exchange: Exchange,
        clock: Callable[[], float],
        dispatcher_name: str,
        limits: JobLimits,
        durable: DurableJobs | None = None,
        memory: MemoryAccount | None = None,
    ) -> None:
        """Create a registry without jobs.

        `durable` is the store for durable classes, if there is one; `memory` counts the bytes held.
        """
        self._exchange = exchange
        self.table = JobTable(clock, limits, memory)
        self.submission = JobSubmission(exchange, clock, dispatcher_name, self.table, durable)

    def is_durable_and_unfinished(self, job_id: str) -> bool:
        """Return whether a job was submitted here, is durable and lacks its answer."""
        job = self.table.get(job_id)
        return job is not None and job.answer is None and self.submission.is_durable(job.template)

    def job_status(self, job_id: str) -> JobStatus:
        """Return the status of a job; raise `InvalidJobError` if it is not known."""
        return self.status_of(self.table.find(job_id))

    def status_of(self, job: BatchJob) -> JobStatus:
        """Return the status of a job that may have been forgotten meanwhile."""
        end = None if job.answer is None else JobEnd(job.answer, job.finished_at)
        return JobStatus(job.job_id, job.template.job_class, self._state(job), job.submitted_at, end)

    def wait(self, job_id: str, on_end: Callable[[], None]) -> BatchJob:
        """Call `on_end` once the job has its final answer, at once if it has it already.

        Returns the job; raises `InvalidJobError` if it is not known.
        """
        job = self.table.find(job_id)
        if job.answer is None:
            job.end_callbacks.append(on_end)
        else:
            on_end()
        return job

    def terminate(self, job_id: str) -> None:
        """End a job; raise `InvalidJobError` if it is not known.

        A finished job keeps its answer. A job that may be running ends once, as terminated.
        """
        job = self.table.find(job_id)
        if job.answer is None:
            answer = self._exchange.cancel_request(job.request_number)
            if answer is not None:
                self.table.finish(job, answer)

    def end_unfinished(self) -> None:
        """End all unfinished jobs that are not durable: as failed if they may have run, else as declined."""
        for job in self.table.unfinished_local:
            if (answer := self._exchange.cancel_request(job.request_number)) is not None:
                self.table.finish(job, _end_with_process(answer))

    def _state(self, job: BatchJob) -> JobState:
        if job.answer is not None:
            return JobState.DONE if job.answer.verdict == Verdict.SERVED else JobState.FAILED
        number = job.request_number
        request_state = self._exchange.request_state(number) if number else None
        return JobState.RUNNING if request_state == RequestState.RUNNING else JobState.QUEUED_ACTIVE


def _end_with_process(answer: Answer) -> Answer:
    """Return the end of a job that its process ended: a refusal promises that the job did not run."""
    if answer.may_have_run:
        return Answer(Verdict.FAILED, may_have_run=True, attempts=answer.attempts)
    return Answer(Verdict.DECLINED, retry_after=RETRY_AFTER_MS, attempts=answer.attempts)
