"""Batch jobs by id, within the limits of count, age and memory. Performs no I/O."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

from eiderfield.batch.drmaa import InvalidJobError
from eiderfield.batch.job import BatchJob
from eiderfield.batch.messages import MAX_NAME_LENGTH
from eiderfield.batch.settings import JobLimits
from eiderfield.exchange.request import Answer
from eiderfield.net.memory_budget import MemoryAccount, MemoryBudget, MemoryPart

JOB_ENTRY_BYTES = 1024  # of a job without its body and its result

# What a client cannot tell apart, nor can a process that was restarted.
UNKNOWN_REASONS = ": it never was, or its end was removed, or the process that accepted it has ended"


class JobTable:
    """All batch jobs of this dispatcher. Finished ones are forgotten by age, by count and by memory."""

    def __init__(
        self, clock: Callable[[], float], limits: JobLimits, memory: MemoryAccount | None = None
    ) -> None:
        """Create an empty table; `clock` returns the time in ms, and `memory` counts the bytes held."""
        self._memory = memory or MemoryBudget().open_account(MemoryPart.JOBS)
        self._clock = clock
        self._limits = limits
        self._held_bytes = 0
        self._jobs: dict[str, BatchJob] = {}
        # Jobs that only this process knows, until a client has their end.
        self._unfetched: dict[str, BatchJob] = {}
        self._finished: OrderedDict[str, BatchJob] = OrderedDict()  # the oldest first

    @property
    def known(self) -> int:
        """Number of all jobs that may be asked about."""
        return len(self._jobs)

    @property
    def unfinished(self) -> int:
        """Number of jobs without a final answer."""
        return len(self._jobs) - len(self._finished)

    @property
    def unfinished_local(self) -> list[BatchJob]:
        """The jobs without a final answer that no other process knows."""
        return [job for job in self._unfetched.values() if job.answer is None]

    @property
    def has_unfetched(self) -> bool:
        """Whether a client has yet to fetch the end of a job that no other process knows."""
        return bool(self._unfetched)

    @property
    def last_finished_at(self) -> float:
        """When the last job got its final answer, in ms; 0 if none has."""
        return next(reversed(self._finished.values())).finished_at if self._finished else 0.0

    @property
    def held_bytes(self) -> int:
        """Size of the bodies of unfinished jobs and of the results of finished ones."""
        return self._held_bytes

    def __contains__(self, job_id: str) -> bool:
        """Return whether a job was submitted here and is remembered."""
        self.forget_expired()
        return job_id in self._jobs

    def get(self, job_id: str) -> BatchJob | None:
        """Return a job, None if it is not known; forgets nothing."""
        return self._jobs.get(job_id)

    def find(self, job_id: str) -> BatchJob:
        """Return a job.

        Raises:
            InvalidJobError: The job is not known, or was forgotten.
        """
        self.forget_expired()
        job = self._jobs.get(job_id)
        if job is None:
            raise InvalidJobError(f"job {job_id[:MAX_NAME_LENGTH]!r} is not known{UNKNOWN_REASONS}")
        return job

    def add(self, job: BatchJob) -> None:
        """Add an unfinished job."""
        self._jobs[job.job_id] = job
        self._change_held_bytes(job.body_size)
        if not job.is_durable:
            self._unfetched[job.job_id] = job

    def mark_fetched(self, job: BatchJob) -> None:
        """Note that a client has been sent the final answer of a job."""
        self._unfetched.pop(job.job_id, None)

    def finish(self, job: BatchJob, answer: Answer) -> None:
        """Record a job's final answer, call its callbacks, and forget finished jobs over the limits."""
        self._change_held_bytes(len(answer.result) - job.body_size)
        job.answer = answer
        job.finished_at = self._clock()
        self._finished[job.job_id] = job
        if not job.accepted:  # the client knows from the response to its submission
            self.mark_fetched(job)
        job.settle_acceptance()  # a job that was never recorded is reported as such
        job.call_end_callbacks()
        self.free_memory(0)
        self.forget_expired()

    def has_slots(self, job_count: int) -> bool:
        """Return whether so many more unfinished jobs are within the limit."""
        return self.unfinished + job_count <= self._limits.max_unfinished_jobs

    def free_memory(self, size: int) -> bool:
        """Forget finished jobs until `size` more bytes fit; return whether they do."""
        while self._held_bytes + size > self._limits.max_bytes or not self._memory.has_room_for_jobs(size):
            if not self._finished:
                return False
            self._forget(next(iter(self._finished.values())))
        return True

    def forget_expired(self) -> None:
        """Forget finished jobs that are too old or too many."""
        oldest = self._clock() - self._limits.max_finished_age_ms
        while self._finished:
            job = next(iter(self._finished.values()))
            if job.finished_at >= oldest and len(self._finished) <= self._limits.max_finished_jobs:
                return
            self._forget(job)

    def _forget(self, job: BatchJob) -> None:
        del self._finished[job.job_id]
        del self._jobs[job.job_id]
        self.mark_fetched(job)
        self._change_held_bytes(-len(job.answer.result) if job.answer is not None else 0)

    def _change_held_bytes(self, change: int) -> None:
        self._held_bytes += change
        self._memory.update(self._held_bytes + JOB_ENTRY_BYTES * len(self._jobs))
