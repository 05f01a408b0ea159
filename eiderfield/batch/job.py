"""A batch job, and the callbacks that wait for its acceptance and its end.

The states of a job, and what moves it:

    submitted ──(recorded, or not durable)──> accepted ──(answer)──> finished ──(age, count)──> forgotten
        └─────────────────────────(refused before it was accepted)──────^

A job is settled once it is accepted or finished. A finished job never changes. Two jobs never have the same
id.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial

from eiderfield.batch.messages import JobTemplate
from eiderfield.exchange.request import Answer


@dataclass(slots=True, eq=False)
class BatchJob:
    """A batch job. `answer` is None until its final answer is in."""

    job_id: str
    template: JobTemplate  # without the body, which goes with the request and is freed with it
    submitted_at: float  # ms
    body_size: int  # bytes
    is_durable: bool = False  # whether other processes know it
    request_number: int = 0  # the exchange's; 0 for a durable job
    answer: Answer | None = None
    finished_at: float = 0.0  # ms
    accepted: bool = False  # whether the job is recorded, or need not be
    on_settled: Callable[[], None] | None = None  # called once the job is accepted or can't be
    end_callbacks: list[Callable[[], None]] = field(default_factory=list)

    @property
    def is_settled(self) -> bool:
        """Whether it is known if the job is accepted."""
        return self.accepted or self.answer is not None

    def accept(self) -> None:
        """Mark the job as accepted: it is recorded, or need not be."""
        self.accepted = True
        self.settle_acceptance()

    def settle_acceptance(self) -> None:
        """Call and remove the callback that waits for the job's acceptance, if there is one."""
        on_settled, self.on_settled = self.on_settled, None
        if on_settled is not None:
            on_settled()

    def remove_end_callback(self, on_end: Callable[[], None]) -> None:
        """Remove a callback, if it is still there."""
        if on_end in self.end_callbacks:
            self.end_callbacks.remove(on_end)

    def call_end_callbacks(self) -> None:
        """Call and remove the callbacks that wait for the job's end."""
        callbacks, self.end_callbacks = self.end_callbacks, []
        for on_end in callbacks:
            on_end()


def when_settled(jobs: Sequence[BatchJob], on_settled: Callable[[], None]) -> None:
    """Call `on_settled` once all of `jobs` are settled, at once if they are already."""
    pending = {job.job_id for job in jobs if not job.is_settled}
    if not pending:
        on_settled()
        return

    def settle(job: BatchJob) -> None:
        pending.discard(job.job_id)
        if not pending:
            on_settled()

    for job in jobs:
        if job.job_id in pending:
            job.on_settled = partial(settle, job)
