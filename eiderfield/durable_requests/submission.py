"""Submits owned requests to the exchange."""

from __future__ import annotations

from dataclasses import replace
from functools import partial

from eiderfield.durable_requests.answer_recorder import AnswerRecorder
from eiderfield.durable_requests.client_presence import ClientPresence
from eiderfield.durable_requests.loop_context import LoopContext
from eiderfield.durable_requests.owned_requests import OwnedRequest
from eiderfield.durable_requests.timing import RECORDING_TIME_MS, RETRY_INTERVAL_MS
from eiderfield.exchange.errors import RequestIdInUseError
from eiderfield.exchange.request import Answer, Request, Verdict
from eiderfield.interface import EarlierAttempt

DEADLINE_EXPIRED = "its time was over"  # the reason of an answer, for operators


class RequestSubmission:
    """Submits requests to the exchange, with a deadline that leaves time to record the answer."""

    def __init__(self, context: LoopContext, recorder: AnswerRecorder, presence: ClientPresence) -> None:
        """Record with `recorder` the failure of a request that expires before it can be submitted."""
        self._context = context
        self._recorder = recorder
        self._presence = presence

    def submit(
        self, request: Request, owned: OwnedRequest, earlier_attempts: tuple[EarlierAttempt, ...] = ()
    ) -> None:
        """Submit a request, with its attempts at earlier owners that may have run.

        While an attempt of an earlier submission is still open in this process, try again later.
        """
        submitted = replace(request, deadline=request.deadline - RECORDING_TIME_MS)
        try:
            owned.exchange_id = self._context.exchange.submit(
                submitted, _ignore_answer, durable=True, earlier_attempts=earlier_attempts
            )
        except RequestIdInUseError:
            self._context.call_after(
                RETRY_INTERVAL_MS, partial(self._submit_again, request, owned, earlier_attempts)
            )
        else:  # its clients may have left while it was being recorded
            self._presence.abandon_unless_waited_for(request.id)

    def _submit_again(
        self, request: Request, owned: OwnedRequest, earlier_attempts: tuple[EarlierAttempt, ...]
    ) -> None:
        if self._context.owned_requests.get(request.id) is not owned:
            return
        if self._context.now() >= request.deadline - RECORDING_TIME_MS:
            answer = Answer(
                Verdict.FAILED, may_have_run=bool(earlier_attempts), attempts=len(earlier_attempts)
            )
            self._recorder.record(request.id, owned, answer, DEADLINE_EXPIRED)
        else:
            self.submit(request, owned, earlier_attempts)


def _ignore_answer(_answer: Answer) -> None:
    """Do nothing: the exchange reports the answer of a durable request to `ExchangeHooks.finish`."""
