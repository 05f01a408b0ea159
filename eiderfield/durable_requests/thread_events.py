"""Handles the reports of the commit thread in the event loop (implements `commit_thread.ThreadListener`)."""

from __future__ import annotations

from functools import partial

from eiderfield.durable_requests.answer_recorder import AnswerRecorder
from eiderfield.durable_requests.cancellation import RequestCancellation
from eiderfield.durable_requests.claims import AttemptClaims
from eiderfield.durable_requests.client_presence import ClientPresence
from eiderfield.durable_requests.intake import RequestIntake
from eiderfield.durable_requests.loop_context import LoopContext
from eiderfield.durable_requests.owned_requests import UNKNOWN_CLASS, OwnedRequest
from eiderfield.durable_requests.record import AttemptRecord, Record, request_of
from eiderfield.durable_requests.remote_waiters import RemoteWaiters
from eiderfield.durable_requests.submission import DEADLINE_EXPIRED, RequestSubmission
from eiderfield.durable_requests.timing import RECORDING_TIME_MS
from eiderfield.exchange.request import Answer, Verdict
from eiderfield.interface import EarlierAttempt, Endpoint

CLASS_UNKNOWN = "its class is not known here"  # the reason of an answer, for operators


class ThreadEvents:
    """Handles takeovers, answers of other processes, requested ends and the end of the incarnation."""

    def __init__(
        self,
        context: LoopContext,
        claims: AttemptClaims,
        remote_waiters: RemoteWaiters,
        intake: RequestIntake,
        submission: RequestSubmission,
        recorder: AnswerRecorder,
        cancellation: RequestCancellation,
        presence: ClientPresence,
    ) -> None:
        """Handle reports with the other parts of the coordinator."""
        self._context = context
        self._claims = claims
        self._remote_waiters = remote_waiters
        self._intake = intake
        self._submission = submission
        self._recorder = recorder
        self._cancellation = cancellation
        self._presence = presence

    def on_taken_over(self, records: list[Record]) -> None:
        """Continue requests of lost incarnations, which this process owns from now on."""
        now, monotonic = self._context.now(), self._context.monotonic()
        for record in records:
            class_index = self._class_index(record.class_name)
            owned = OwnedRequest(
                class_index,
                record.front,
                waiters=self._remote_waiters.take_back(record.id),
                is_accepting=False,
            )
            self._context.owned_requests[record.id] = owned
            if class_index == UNKNOWN_CLASS:
                self._expire(record, owned, CLASS_UNKNOWN)
            elif record.deadline <= monotonic + RECORDING_TIME_MS:
                self._expire(record, owned, DEADLINE_EXPIRED)
            else:
                offset = now - monotonic
                earlier_attempts = tuple(
                    self._earlier_attempt(attempt, offset) for attempt in record.attempts
                )
                request = request_of(record, class_index, now, monotonic, self._context.tenant_index(record))
                submit = partial(self._submission.submit, request, owned, earlier_attempts)
                self._presence.submit_once_waited_for(request, owned, len(earlier_attempts), submit)

    def _class_index(self, name: str) -> int:
        names = self._context.class_names
        return names.index(name) if name in names else UNKNOWN_CLASS

    def _expire(self, record: Record, owned: OwnedRequest, reason: str) -> None:
        self._context.member.counters.expired += 1
        attempts = len(record.attempts)
        answer = Answer(Verdict.FAILED, may_have_run=attempts > 0, attempts=attempts)
        self._recorder.record(record.id, owned, answer, reason)

    def _earlier_attempt(self, attempt: AttemptRecord, offset: float) -> EarlierAttempt:
        """Return the endpoint of an earlier attempt and when it was sent, on the process's clock.

        `offset` is the process's clock minus the monotonic clock. Earlier revisions numbered named cells in
        each process by itself: such a number is replaced by the cell in which the worker is listed.
        """
        ids = self._context.services.ids
        worker = ids.worker(attempt.worker)
        known = self._context.exchange.endpoints.endpoint(worker)
        is_foreign = ids.is_named_cell(known.cell) and not ids.is_named_cell(attempt.cell)
        cell = known.cell if is_foreign else attempt.cell
        endpoint = Endpoint(worker, ids.zone(attempt.zone), known.kind, cell, known.state)
        return EarlierAttempt(endpoint, attempt.sent_at + offset)

    def on_answer(self, id_: str, record: Record | None) -> None:
        """Answer the waiters of a remote request. Without a record, accept the request again."""
        for waiter in self._remote_waiters.remove(id_):
            if waiter.is_done:
                continue
            if record is not None:
                waiter.answer(record.answer)
            elif self._may_accept_again(waiter.request.class_index, waiter.request.deadline):
                self._intake.record(waiter)
            else:
                waiter.answer(Answer(Verdict.FAILED))

    def _may_accept_again(self, class_index: int, deadline: float) -> bool:
        return class_index != UNKNOWN_CLASS and self._context.now() < deadline - RECORDING_TIME_MS

    def on_end_requested(self, ids: list[str]) -> None:
        """Cancel requests whose end another process has requested."""
        self._cancellation.cancel(ids)

    def on_clients_found(self, ids: list[str]) -> None:
        """Continue requests for which clients wait at other dispatchers."""
        self._presence.clients_found(ids)

    def on_incarnation_ended(self) -> None:
        """Give up all owned requests, which the successors of this incarnation own and answer."""
        for id_, owned in list(self._context.owned_requests.items()):
            if owned.is_accepting:
                continue
            del self._context.owned_requests[id_]
            self._presence.give_up(id_, owned)
            if owned.is_submitted:
                self._context.exchange.release_request(owned.exchange_id)
            self._remote_waiters.add_all(id_, owned.waiters)
        self._claims.drop_all()
