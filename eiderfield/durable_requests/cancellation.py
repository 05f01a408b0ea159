"""Ends owned requests early: when a client or operator cancels them, or when their clients have left."""

from __future__ import annotations

from collections.abc import Iterable

from eiderfield.durable_requests.answer_recorder import AnswerRecorder
from eiderfield.durable_requests.loop_context import LoopContext
from eiderfield.durable_requests.timing import REJECTION_RETRY_AFTER_MS
from eiderfield.durable_requests.waiters import Waiter
from eiderfield.exchange.request import Answer, RequestState, Verdict


class RequestCancellation:
    """Withdraws requests from the exchange and records their answers."""

    def __init__(self, context: LoopContext, recorder: AnswerRecorder) -> None:
        """Record answers with `recorder`."""
        self._context = context
        self._recorder = recorder

    def cancel(self, ids: Iterable[str]) -> None:
        """Cancel the given requests, as far as this process owns them.

        A request whose answer is being recorded already keeps that answer.
        """
        for id_ in ids:
            owned = self._context.owned_requests.get(id_)
            if owned is None or not owned.is_submitted:
                continue
            answer = self._context.exchange.cancel_request(owned.exchange_id)
            if answer is not None:
                self._recorder.record(id_, owned, answer, "its end was asked for")

    def on_client_left(self, waiter: Waiter) -> None:
        """Stop a waiter whose client has left, and abandon the request if it was the last one."""
        waiter.stop()
        self.abandon_unless_waited_for(waiter.request.id)

    def abandon_unless_waited_for(self, id_: str) -> None:
        """Start no further attempt of a request whose clients have all left.

        An open attempt continues, and its result is stored for a client that submits the request again.
        Without an open attempt the request ends: as failed if an attempt may have run, otherwise as rejected,
        which frees its id.
        """
        owned = self._context.owned_requests.get(id_)
        if owned is None or not owned.is_submitted or owned.is_waited_for:
            return
        if self._context.exchange.request_state(owned.exchange_id) is not RequestState.QUEUED:
            return
        exchange_answer = self._context.exchange.cancel_request(owned.exchange_id)
        if exchange_answer is None:
            return
        if exchange_answer.may_have_run:
            answer = Answer(Verdict.FAILED, may_have_run=True, attempts=exchange_answer.attempts)
        else:
            answer = Answer(
                Verdict.DECLINED, retry_after=REJECTION_RETRY_AFTER_MS, attempts=exchange_answer.attempts
            )
        self._recorder.record(id_, owned, answer, "its clients have left")
