"""Those who wait for a request's answer: clients of the fronts, each of whom hears it once."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from eiderfield.exchange import Answer, Request, Timer

Answered = Callable[[Answer], None]


@dataclass(slots=True, eq=False)
class Waiter:
    """One who waits. `accepted` is called once the request is recorded, here or elsewhere."""

    request: Request
    answered: Answered
    front: str = "platform"
    accepted: Callable[[], None] = lambda: None
    timer: Timer | None = None
    is_done: bool = False

    def answer(self, answer: Answer) -> None:
        """Passes the answer on, once."""
        if not self.is_done:
            self.stop()
            self.answered(answer)

    def stop(self) -> None:
        """Nobody waits any more."""
        self.is_done = True
        if self.timer is not None:
            self.timer.cancel()
