"""Accepts durable requests from the fronts.

States of a request, as this process sees it:

    accepting   it is being recorded; waiters join once its owner is known
    held        this process has recorded it, and a front has to release or withdraw it
    owned       this process has recorded it: the exchange serves it, and its answer is recorded before any
                waiter gets it
    remote      another process owns it: its waiters wait until that process has recorded the answer

The outcome of the commit decides whether an accepting request becomes held, owned or remote. A takeover makes
a remote request owned; the end of this process's incarnation makes an owned one remote (`thread_events.py`).
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from functools import partial

from eiderfield.durable_requests.answer_recorder import AnswerRecorder
from eiderfield.durable_requests.client_presence import ClientPresence
from eiderfield.durable_requests.expiry import WaiterExpiry
from eiderfield.durable_requests.loop_context import LoopContext
from eiderfield.durable_requests.messages import (
    Accept,
    Accepted,
    AlreadyAccepted,
    AlreadyFinal,
    Conflict,
    NotWritten,
    Outcome,
)
from eiderfield.durable_requests.owned_requests import OwnedRequest
from eiderfield.durable_requests.record import DEFAULT_FRONT, record_of
from eiderfield.durable_requests.remote_waiters import RemoteWaiters
from eiderfield.durable_requests.submission import RequestSubmission
from eiderfield.durable_requests.timing import REJECTION_RETRY_AFTER_MS
from eiderfield.durable_requests.waiters import AnswerCallback, Waiter
from eiderfield.exchange.request import Answer, Request, Verdict

WITHDRAWN = "others of its submission were refused"  # the reason of an answer, for operators

ClientLeftCallback = Callable[[], None]  # a front calls it when its client has left


def _ignore() -> None:
    """Do nothing."""


class RequestIntake:
    """Accepts the durable requests of one process from its fronts."""

    def __init__(
        self,
        context: LoopContext,
        remote_waiters: RemoteWaiters,
        submission: RequestSubmission,
        recorder: AnswerRecorder,
        presence: ClientPresence,
        expiry: WaiterExpiry,
    ) -> None:
        """Submit accepted requests with `submission`, and record with `recorder` those that are withdrawn."""
        self._context = context
        self._remote_waiters = remote_waiters
        self._submission = submission
        self._recorder = recorder
        self._presence = presence
        self._expiry = expiry

    def is_durable(self, class_index: int) -> bool:
        """Return whether requests of a class are durable."""
        return class_index in self._context.member.settings.classes

    @property
    def max_waiting(self) -> int:
        """The number of requests that may wait to be recorded."""
        return self._context.commit_thread.max_waiting

    def has_capacity(self, count: int) -> bool:
        """Return whether so many new requests are accepted now."""
        return self._context.commit_thread.has_capacity(count) and not self._context.member.has_left

    def accept(
        self,
        request: Request,
        on_answer: AnswerCallback,
        front: str = DEFAULT_FRONT,
        on_recorded: Callable[[], None] = _ignore,
        is_held: bool = False,
    ) -> ClientLeftCallback:
        """Accept a request, or let its client wait for the request that has the id already.

        `on_answer` is called once, with the answer; `on_recorded` is called once the request is recorded, by
        this or by another process. Both may be called before this method returns. A held request is not
        submitted before `release`. Returns a function to call when the client has left.
        """
        waiter = Waiter(request, on_answer, front, on_recorded, is_held=is_held)
        is_tracked = request.id in self._context.owned_requests
        is_full = not is_tracked and not self.has_capacity(1)
        if is_full and not self._is_known(request.id):
            self._reject(waiter)
            return _ignore
        self._expiry.schedule(waiter)
        if is_full:
            self._remote_waiters.add(request.id, waiter)
        else:
            self.record(waiter)
        return partial(self._presence.client_left, waiter)

    def _is_known(self, id_: str) -> bool:
        """Return whether a process has acquired an id. An id that cannot be looked up counts as known."""
        try:
            return self._context.member.folder.ids.holder(id_) is not None
        except OSError:
            return True

    def _reject(self, waiter: Waiter) -> None:
        self._context.member.counters.refused += 1
        waiter.answer(Answer(Verdict.DECLINED, retry_after=REJECTION_RETRY_AFTER_MS))

    def record(self, waiter: Waiter) -> None:
        """Record a waiter's request, and let the waiter wait for its answer."""
        request = waiter.request
        class_name = self._context.class_names[request.class_index]
        record = record_of(
            request,
            class_name,
            self._context.now(),
            self._context.monotonic(),
            waiter.front,
            self._context.tenant_name(request.tenant_index),
        )
        owned = self._context.owned_requests.setdefault(
            request.id, OwnedRequest(request.class_index, waiter.front)
        )
        self._context.commit_thread.write(Accept(record), partial(self._on_outcome, waiter, owned))

    def _on_outcome(self, waiter: Waiter, owned: OwnedRequest, outcome: Outcome) -> None:
        id_ = waiter.request.id
        is_current = self._context.owned_requests.get(id_) is owned
        if isinstance(outcome, Accepted) and is_current:
            owned.waiters.append(waiter)
            owned.is_accepting = False
            if waiter.is_held:
                self._hold(waiter, owned)
            else:
                waiter.mark_recorded()
                self._submission.submit(waiter.request, owned)
            return
        joins_current = isinstance(outcome, AlreadyAccepted) and outcome.id == id_ and is_current
        if joins_current and not owned.is_accepting:
            owned.waiters.append(waiter)
            self._presence.client_joined(id_, owned)
            self._count_joined(waiter)
            return
        if is_current and owned.is_accepting:
            del self._context.owned_requests[id_]
        self._on_remote_outcome(waiter, outcome)

    def _hold(self, waiter: Waiter, owned: OwnedRequest) -> None:
        """Hold back a request that is recorded, or withdraw it if its waiter has expired meanwhile."""
        owned.held_request = waiter.request
        if waiter.is_done:
            self.withdraw([waiter.request.id])
        else:
            waiter.mark_recorded()

    def release(self, ids: Iterable[str]) -> None:
        """Submit the held requests among these. The successors of a lost incarnation submit its requests."""
        for owned, request in self._take_held(ids):
            self._submission.submit(request, owned)

    def withdraw(self, ids: Iterable[str]) -> None:
        """Record that the held requests among these are declined; they are never submitted."""
        answer = Answer(Verdict.DECLINED, retry_after=REJECTION_RETRY_AFTER_MS)
        for owned, request in self._take_held(ids):
            self._recorder.record(request.id, owned, answer, WITHDRAWN)

    def _take_held(self, ids: Iterable[str]) -> Iterator[tuple[OwnedRequest, Request]]:
        for id_ in ids:
            owned = self._context.owned_requests.get(id_)
            if owned is not None and owned.held_request is not None:
                request, owned.held_request = owned.held_request, None
                yield owned, request

    def _on_remote_outcome(self, waiter: Waiter, outcome: Outcome) -> None:
        """Answer a waiter whose request this process does not own, or let it wait for the owner's answer."""
        match outcome:
            case AlreadyFinal(record):
                waiter.mark_recorded()
                waiter.answer(record.answer)
            case Conflict():
                waiter.answer(Answer(Verdict.CONFLICT))
            case NotWritten(reason):
                self._context.services.log(
                    f"durable requests: request refused (id={waiter.request.id} reason={reason})"
                )
                self._reject(waiter)
            case AlreadyAccepted(id_):
                self._count_joined(waiter)
                self._remote_waiters.add(id_, waiter)
            case _:  # accepted by an incarnation that has ended, whose successors own the request
                self._remote_waiters.add(waiter.request.id, waiter)

    def _count_joined(self, waiter: Waiter) -> None:
        self._context.member.counters.joined += 1
        waiter.mark_recorded()
