"""Ends the wait for an answer that does not come in time.

Just before the deadline of its request a waiter gets a failure that promises nothing. There are two
exceptions: a request that another process owns is looked up first, and a recorded batch job is waited for
until its end is recorded, since its client asks for that end and has no deadline of its own.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from eiderfield.durable_requests.loop_context import LoopContext
from eiderfield.durable_requests.messages import Find, Found, Outcome
from eiderfield.durable_requests.record import DEFAULT_FRONT, Stage
from eiderfield.durable_requests.remote_waiters import RemoteWaiters
from eiderfield.durable_requests.timing import RECORDING_TIME_MS
from eiderfield.durable_requests.waiters import Waiter

EXPIRY_MARGIN_MS = RECORDING_TIME_MS / 4.0  # time before its deadline at which a waiter expires
LOOK_UP_MARGIN_MS = RECORDING_TIME_MS / 2.0  # the same for the look-up of a request that another process owns


class WaiterExpiry:
    """Ends the waits of one process's waiters in time."""

    def __init__(self, context: LoopContext, remote_waiters: RemoteWaiters) -> None:
        """`remote_waiters` has those whose request another process owns."""
        self._context = context
        self._remote_waiters = remote_waiters

    def schedule(self, waiter: Waiter) -> None:
        """End the wait of a waiter just before the deadline of its request."""
        self._call_before_deadline(LOOK_UP_MARGIN_MS, waiter, self._look_up)

    def _call_before_deadline(
        self, margin: float, waiter: Waiter, callback: Callable[[Waiter], None]
    ) -> None:
        at = waiter.request.deadline - margin
        waiter.timer = self._context.services.timers.call_at(at, partial(callback, waiter))

    def _look_up(self, waiter: Waiter) -> None:
        if waiter not in self._remote_waiters:
            self._call_before_deadline(EXPIRY_MARGIN_MS, waiter, self._expire)
            return
        self._call_before_deadline(0.0, waiter, self._expire)
        self._context.commit_thread.write(Find(waiter.awaited_id), partial(self._on_looked_up, waiter))

    def _on_looked_up(self, waiter: Waiter, outcome: Outcome) -> None:
        record = outcome.record if isinstance(outcome, Found) else None
        if record is not None and record.stage == Stage.FINAL:
            waiter.answer(record.answer)

    @staticmethod
    def _expire(waiter: Waiter) -> None:
        is_owed = waiter.front != DEFAULT_FRONT and waiter.is_recorded
        if not is_owed:
            waiter.expire()
