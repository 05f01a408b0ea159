"""Looks up durable requests by id, in the store of whichever incarnation has recorded them.

Serves clients other than the one that submitted the request.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from eiderfield.durable_requests.cancellation import RequestCancellation
from eiderfield.durable_requests.loop_context import LoopContext
from eiderfield.durable_requests.messages import Find, Found, Outcome, RequestEnd, Written
from eiderfield.durable_requests.owned_requests import UNKNOWN_CLASS
from eiderfield.durable_requests.record import Record
from eiderfield.durable_requests.remote_waiters import RemoteWaiters
from eiderfield.durable_requests.waiters import AnswerCallback, Waiter
from eiderfield.exchange.request import Request


class AnswerLookup:
    """Finds, awaits and cancels requests by id (implements `batch.durable.DurableJobLookup`)."""

    def __init__(
        self, context: LoopContext, remote_waiters: RemoteWaiters, cancellation: RequestCancellation
    ) -> None:
        """Cancel requests with `cancellation`, and let waiters wait in `remote_waiters`."""
        self._context = context
        self._remote_waiters = remote_waiters
        self._cancellation = cancellation

    def find(self, id_: str, on_found: Callable[[Record | None], None]) -> None:
        """Look up the record of a request. `on_found` is called once, after this call has returned."""
        self._context.commit_thread.write(Find(id_), lambda outcome: on_found(_record_found(outcome)))

    def wait(self, id_: str, until: float, on_answer: AnswerCallback) -> Callable[[], None]:
        """Call `on_answer` with the answer of a request, or with a failure if there is none by `until` (ms).

        Returns a function that stops the waiting.
        """
        waiter = Waiter(Request(id_, UNKNOWN_CLASS, until, ""), on_answer, is_observer=True)
        waiter.timer = self._context.services.timers.call_at(until, waiter.expire)
        self._remote_waiters.add(id_, waiter)
        return partial(self._stop_waiting, waiter)

    def _stop_waiting(self, waiter: Waiter) -> None:
        waiter.stop()
        self._remote_waiters.discard(waiter)

    def cancel(self, id_: str, on_requested: Callable[[bool], None]) -> None:
        """Request the end of a request that any process owns.

        `on_requested` is called with whether the end request is recorded. The answer of the request tells
        whether it was cancelled or ended otherwise before.
        """
        self._context.commit_thread.write(
            RequestEnd(id_), lambda outcome: on_requested(isinstance(outcome, Written))
        )
        self._cancellation.cancel([id_])

    def from_monotonic(self, at: float) -> float:
        """Convert a monotonic time, in ms, to the process's clock."""
        return self._context.from_monotonic(at)


def _record_found(outcome: Outcome) -> Record | None:
    return outcome.record if isinstance(outcome, Found) else None
