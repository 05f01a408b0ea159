"""Table of the requests without a final answer, and of the request ids in use."""

from __future__ import annotations

from collections.abc import Callable

from eiderfield.exchange.context import Context
from eiderfield.exchange.errors import RequestIdInUseError
from eiderfield.exchange.metrics import Metrics
from eiderfield.exchange.other_process import OtherProcessState
from eiderfield.exchange.request import Answer, PendingRequest, Request, Verdict


class RequestTable:
    """Pending requests by number, and the request ids that new requests must not use."""

    def __init__(self, context: Context, metrics: Metrics, other_process: OtherProcessState) -> None:
        """Create an empty table. The ids of `other_process` count as in use too."""
        self.pending: dict[int, PendingRequest] = {}
        self.ids: set[str] = set()  # of requests that are pending or have an open attempt
        self._context = context
        self._metrics = metrics
        self._other_process = other_process
        self._last_id = 0
        self._received_since_turn: list[PendingRequest] = []
        self._served_since_turn: list[PendingRequest] = []

    def has_id(self, request_id: str) -> bool:
        """Return whether a request in this or the other process uses the id."""
        return request_id in self.ids or request_id in self._other_process.request_ids

    def add(
        self,
        request: Request,
        on_answer: Callable[[Answer], None],
        durable: bool,
        is_client_connected: Callable[[], bool] | None,
    ) -> PendingRequest:
        """Add a request; raises `RequestIdInUseError` if its id is in use."""
        request_id = request.id
        if request_id in self.ids or request_id in self._other_process.request_ids:
            raise RequestIdInUseError(request_id)
        self._last_id += 1
        pending = PendingRequest(
            self._last_id, request, on_answer, durable=durable, is_client_connected=is_client_connected
        )
        self.pending[pending.id] = pending
        self.ids.add(request_id)
        self._received_since_turn.append(pending)
        if self._other_process.process is not None:
            self._other_process.process.id_acquired(request_id)
        return pending

    def record_times(self, now: float) -> None:
        """Set `received_at` of the requests received since the last turn, and record those served since then.

        Called in each turn, at the time `now`.
        """
        for pending in self._received_since_turn:
            pending.received_at = now
        self._received_since_turn.clear()
        self._metrics.record_served(self._served_since_turn, self._context.settings.classes, now)
        self._served_since_turn.clear()

    def finish(self, pending: PendingRequest, answer: Answer | None = None) -> None:
        """Remove a request and pass it its final answer; it gets none if `answer` is None."""
        pending.answered = True
        del self.pending[pending.id]
        self.release_id(pending)
        if pending.timer is not None:
            pending.timer.cancel()
        if answer is None:
            return
        self._metrics.final_answers[pending.request.class_index, answer.verdict] += 1
        if answer.verdict is Verdict.SERVED:
            self._served_since_turn.append(pending)
        if pending.durable and self._context.durable_requests is not None:
            self._context.durable_requests.finish(pending, answer)
        else:
            pending.on_answer(answer)

    def release_id(self, pending: PendingRequest) -> None:
        """Release the id of a request that is answered and has no open attempt."""
        if pending.answered and not any(attempt.open for attempt in pending.attempts):
            self.ids.discard(pending.request.id)
            if self._other_process.process is not None:
                self._other_process.process.id_released(pending.request.id)
