"""The methods that the exchange calls for durable requests (implements `exchange.DurableRequests`)."""

from __future__ import annotations

from eiderfield.durable_requests.answer_recorder import AnswerRecorder
from eiderfield.durable_requests.claims import AttemptClaims, ClaimCallback
from eiderfield.durable_requests.client_presence import ClientPresence
from eiderfield.durable_requests.loop_context import LoopContext
from eiderfield.durable_requests.record import AttemptRecord
from eiderfield.exchange.request import Answer, Attempt, PendingRequest


class ExchangeHooks:
    """Claims attempts before they start, and records answers before they are passed on."""

    def __init__(
        self,
        context: LoopContext,
        claims: AttemptClaims,
        recorder: AnswerRecorder,
        presence: ClientPresence,
    ) -> None:
        """Serve the exchange of `context`."""
        self._context = context
        self._claims = claims
        self._recorder = recorder
        self._presence = presence

    def claim(self, attempt: Attempt, on_claimed: ClaimCallback) -> None:
        """Record an attempt; `on_claimed` is called with whether it may start."""
        ids = self._context.services.ids
        endpoint = self._context.exchange.endpoints.endpoint(attempt.worker)
        worker, zone = ids.worker_name(attempt.worker), ids.zone_name(endpoint.zone)
        record = AttemptRecord(attempt.number, worker, zone, endpoint.cell, self._context.monotonic())
        self._claims.request(attempt, record, on_claimed)

    def may_write(self, attempt: Attempt) -> bool:
        """Return whether a claimed attempt may still start: its claim holds and a client waits."""
        owned = self._context.owned_requests.get(attempt.pending.request.id)
        is_waited_for = owned is None or owned.is_waited_for
        return is_waited_for and self._claims.holds(attempt)

    def attempt_ended(self, attempt: Attempt) -> None:
        """Release the claim of an attempt that has ended, and abandon its request if no client waits."""
        self._claims.end(attempt)
        self._presence.abandon_unless_waited_for(attempt.pending.request.id)

    def finish(self, pending: PendingRequest, answer: Answer) -> None:
        """Record the answer of a request, then pass it to the waiters."""
        id_ = pending.request.id
        owned = self._context.owned_requests.get(id_)
        if owned is not None and owned.exchange_id == pending.id:
            self._recorder.record(id_, owned, answer)
