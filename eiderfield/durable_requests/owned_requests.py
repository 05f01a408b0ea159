"""Requests that this process is accepting or owns."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from eiderfield.durable_requests.record import DEFAULT_FRONT
from eiderfield.durable_requests.waiters import Waiter
from eiderfield.exchange.request import Request
from eiderfield.exchange.timers import Timer

UNKNOWN_CLASS = -1  # class index for a class that the settings do not contain


@dataclass(slots=True, eq=False)
class Suspension:
    """The wait of a request for a client to come back."""

    submit: Callable[[], object]
    earlier_attempts: int  # attempts that may have run
    timer: Timer  # ends the request at its deadline


@dataclass(slots=True, eq=False)
class OwnedRequest:
    """A request between its acceptance by this process and its answer.

    `is_accepting` is true until the commit thread has reported which process owns the request.
    """

    class_index: int
    front: str = DEFAULT_FRONT  # of the client that submitted it first
    exchange_id: int = 0  # assigned by the exchange; 0 until the request is submitted
    waiters: list[Waiter] = field(default_factory=list)
    recording_tries: int = 0  # how often the system refused to record the answer
    is_accepting: bool = True
    held_request: Request | None = None  # the request, while it is recorded and its submission is held back
    is_waited_for_elsewhere: bool = False  # whether a client waited at another dispatcher at the last look-up
    suspension: Suspension | None = None  # while it waits for a client to come back

    @property
    def is_submitted(self) -> bool:
        """Whether the exchange has the request."""
        return self.exchange_id != 0

    @property
    def has_client(self) -> bool:
        """Whether a client waits for the answer here. A batch job is owed also while none waits."""
        return self.front != DEFAULT_FRONT or self.has_waiting_client

    @property
    def has_waiting_client(self) -> bool:
        """Whether a client of this process waits for the answer, other than a batch client's look-up."""
        return any(map(_is_client, self.waiters))

    @property
    def is_waited_for(self) -> bool:
        """Whether an attempt may start: a client waits here, or waited elsewhere at the last look-up."""
        return self.has_client or self.is_waited_for_elsewhere

    @property
    def is_suspended(self) -> bool:
        """Whether it was taken over and waits for a client to come back."""
        return self.suspension is not None


def _is_client(waiter: Waiter) -> bool:
    return not waiter.is_done and not waiter.is_observer
