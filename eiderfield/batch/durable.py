"""What the batch front needs of the store of durable jobs."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from typing import Protocol

from eiderfield.exchange.request import Answer, Request


class DurableJobs(Protocol):
    """Accepts durable jobs (`durable_requests/intake.py`)."""

    @property
    def max_waiting(self) -> int:
        """The number of jobs that may wait to be recorded."""

    def has_capacity(self, count: int) -> bool:
        """Return whether so many new jobs are accepted now."""

    def is_durable(self, class_index: int) -> bool:
        """Return whether jobs of a class are durable."""

    def accept(
        self,
        request: Request,
        on_answer: Callable[[Answer], None],
        front: str,
        on_recorded: Callable[[], None],
        is_held: bool,
    ) -> Callable[[], None]:
        """Accept a job.

        `on_recorded` is called once the job is recorded, `on_answer` with its answer; both may be called
        before this method returns. A held job is not sent before `release`. Returns what to call when the
        client has left.
        """

    def release(self, ids: Iterable[str]) -> None:
        """Send the held jobs among these."""

    def withdraw(self, ids: Iterable[str]) -> None:
        """End the held jobs among these as declined, without sending them."""


class DurableJob(Protocol):
    """A recorded job (`durable_requests/record.py`)."""

    @property
    def id(self) -> str:
        """The job's id."""

    @property
    def class_name(self) -> str:
        """The name of the job's class."""

    @property
    def accepted_at(self) -> float:
        """When it was accepted, in ms of the monotonic clock."""

    @property
    def finished_at(self) -> float:
        """When it had its answer, in ms of the monotonic clock."""

    @property
    def verdict(self) -> str:
        """The verdict of its answer, '' without one."""

    @property
    def attempts(self) -> Sequence[object]:
        """The attempts that may have run."""

    @property
    def answer(self) -> Answer:
        """The answer of a job that has a verdict."""


class DurableJobLookup(Protocol):
    """Looks up jobs of any dispatcher (`durable_requests/answer_lookup.py`)."""

    def find(self, id_: str, on_found: Callable[[DurableJob | None], None]) -> None:
        """Look up a job; `on_found` is called once, later."""

    def wait(self, id_: str, until: float, on_answer: Callable[[Answer], None]) -> Callable[[], None]:
        """Wait for the answer of a job until a time in ms. Returns what to call to stop waiting."""

    def cancel(self, id_: str, on_requested: Callable[[bool], None]) -> None:
        """Request the end of a job; `on_requested` is called with whether that is recorded."""

    def from_monotonic(self, at: float) -> float:
        """Convert a time of the monotonic clock to the process's clock, both in ms."""
