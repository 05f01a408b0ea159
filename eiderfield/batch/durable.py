"""What the batch front needs of the store that keeps jobs beyond their dispatcher."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

from eiderfield.exchange.request import Answer, Request


class DurableJobs(Protocol):
    """The store, as the registry hands jobs to it."""

    @property
    def full(self) -> bool:
        """Whether it accepts no new job now."""

    def keeps(self, cls: int) -> bool:
        """Whether it keeps the jobs of a class."""

    def take(
        self,
        request: Request,
        told: Callable[[Answer], None],
        front: str,
        taken: Callable[[], None],
    ) -> Callable[[], None]:
        """Accepts a job; `taken` is called once it is stored, `told` with its answer."""


class DurableJob(Protocol):
    """A job that the store knows (`durable_requests/record.py`)."""

    @property
    def id(self) -> str:
        """Its id."""

    @property
    def class_name(self) -> str:
        """The name of its class."""

    @property
    def accepted_at(self) -> float:
        """When it was accepted, on the monotonic clock."""

    @property
    def finished_at(self) -> float:
        """When it had its answer, on the monotonic clock."""

    @property
    def verdict(self) -> str:
        """Of its answer, '' without one."""

    @property
    def attempts(self) -> Sequence[object]:
        """The attempts that may have run."""

    @property
    def answer(self) -> Answer:
        """Its answer."""


class DurableJobLookup(Protocol):
    """The store, as it is asked about jobs, wherever they are (`durable_requests/answer_lookup.py`)."""

    def find(self, id_: str, then: Callable[[DurableJob | None], None]) -> None:
        """Looks a job up; `then` is called once, later."""

    def wait(self, id_: str, until: float, told: Callable[[Answer], None]) -> Callable[[], None]:
        """Waits for a job's answer; returns what to call when nobody waits any more."""

    def cancel(self, id_: str, then: Callable[[bool], None]) -> None:
        """Requests the end of a job; `then` is told whether the request is stored."""

    def clock_of(self, at: float) -> float:
        """A monotonic time on this process's clock."""
