"""Ends owned requests that a client or an operator cancels."""

from __future__ import annotations

from collections.abc import Iterable

from eiderfield.durable_requests.answer_recorder import AnswerRecorder
from eiderfield.durable_requests.client_presence import ClientPresence
from eiderfield.durable_requests.loop_context import LoopContext
from eiderfield.exchange.request import Verdict

END_REQUESTED = "its end was asked for"  # the reason of an answer, for operators


class RequestCancellation:
    """Withdraws requests from the exchange and records their answers."""

    def __init__(self, context: LoopContext, recorder: AnswerRecorder, presence: ClientPresence) -> None:
        """Record answers with `recorder`."""
        self._context = context
        self._recorder = recorder
        self._presence = presence

    def cancel(self, ids: Iterable[str]) -> None:
        """Cancel the given requests, as far as this process owns them.

        A request whose answer is being recorded already keeps that answer.
        """
        for id_ in ids:
            owned = self._context.owned_requests.get(id_)
            if owned is not None:
                self._presence.end_suspended(id_, owned, Verdict.TERMINATED, END_REQUESTED)
            if owned is None or not owned.is_submitted:
                continue
            answer = self._context.exchange.cancel_request(owned.exchange_id)
            if answer is not None:
                self._recorder.record(id_, owned, answer, END_REQUESTED)
