"""Waiters for the answers of durable requests: clients of the fronts, each answered once."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from eiderfield.durable_requests.record import DEFAULT_FRONT
from eiderfield.exchange.request import Answer, Request, Verdict
from eiderfield.exchange.timers import Timer

AnswerCallback = Callable[[Answer], None]


def _ignore() -> None:
    """Do nothing: the default of `Waiter.on_recorded`."""


@dataclass(slots=True, eq=False)
class Waiter:
    """A client that waits for an answer.

    `on_recorded` is called once the request is recorded, by this process or by another one; `on_answer` is
    called once with the answer. The request of a held waiter is not submitted before it is released.
    """

    request: Request
    on_answer: AnswerCallback
    front: str = DEFAULT_FRONT
    on_recorded: Callable[[], None] = _ignore
    timer: Timer | None = None
    is_done: bool = False
    is_recorded: bool = False
    is_held: bool = False
    is_observer: bool = False  # asks for the answer of a request that another client has submitted
    awaited_id: str = ""  # the id of the request that it waits for: another one holds the key of its own

    def __post_init__(self) -> None:
        """Wait for its own request at first."""
        self.awaited_id = self.awaited_id or self.request.id

    def mark_recorded(self) -> None:
        """Note that its request is recorded, and pass that on."""
        self.is_recorded = True
        self.on_recorded()

    def answer(self, answer: Answer) -> None:
        """Pass the answer on, unless the waiter is done."""
        if not self.is_done:
            self.stop()
            self.on_answer(answer)

    def expire(self) -> None:
        """Answer that the request failed and may have run, as no answer was recorded in time."""
        self.answer(Answer(Verdict.FAILED, may_have_run=True))

    def stop(self) -> None:
        """Stop waiting. No callback is called after that."""
        self.is_done = True
        if self.timer is not None:
            self.timer.cancel()
