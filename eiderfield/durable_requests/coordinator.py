"""Durable requests in the event loop: assembles the parts, starts and ends them.

    caller           called part
    fronts           intake.py, answer_lookup.py
    exchange         exchange_hooks.py (claims.py, answer_recorder.py)
    commit thread    thread_events.py

The parts share a `LoopContext` and perform no I/O: all writes go through the commit thread.

Invariants:

- No answer is passed on before it is recorded, with two exceptions: a failure that a client gets over HTTP
  just before its deadline, which promises nothing about the request, and an answer that the disk refuses,
  which is recorded once the disk allows it.
- No attempt starts under the claim of an incarnation that has ended.
"""

from __future__ import annotations

from eiderfield.durable_requests.answer_lookup import AnswerLookup
from eiderfield.durable_requests.answer_recorder import AnswerRecorder
from eiderfield.durable_requests.cancellation import RequestCancellation
from eiderfield.durable_requests.claims import AttemptClaims
from eiderfield.durable_requests.client_presence import ClientPresence
from eiderfield.durable_requests.commit_thread import CommitThread
from eiderfield.durable_requests.errors import DurableRequestsError
from eiderfield.durable_requests.exchange_hooks import ExchangeHooks
from eiderfield.durable_requests.expiry import WaiterExpiry
from eiderfield.durable_requests.figures import DurableRequestFigures
from eiderfield.durable_requests.intake import RequestIntake
from eiderfield.durable_requests.loop_context import LoopContext, ProcessServices
from eiderfield.durable_requests.member import Member
from eiderfield.durable_requests.remote_waiters import RemoteWaiters
from eiderfield.durable_requests.settings import DurableRequestSettings
from eiderfield.durable_requests.submission import RequestSubmission
from eiderfield.durable_requests.thread_events import ThreadEvents
from eiderfield.interface import Effect

LEAVE_RETRY_INTERVAL_MS = 1000.0  # between tries to leave while an attempt is open that must not be repeated


class DurableRequestCoordinator:
    """The durable requests of one process.

    `intake` accepts requests from the fronts, `lookup` finds them by id, `hooks` serves the exchange and
    `thread_events` the commit thread.
    """

    def __init__(self, settings: DurableRequestSettings, name: str, services: ProcessServices) -> None:
        """Open the folder. Raises `FolderError` for a fault that only an operator can mend."""
        classes = services.exchange.settings.classes
        priorities = {each.name: each.priority_weight for each in classes}
        member = Member(settings, name, priorities, services.log, services.monotonic)
        thread = CommitThread(member, services.call_in_loop, settings.max_waiting_operations)
        self.context = LoopContext(services, thread, tuple(each.name for each in classes))
        self._remote_waiters = RemoteWaiters(self.context)
        recorder = AnswerRecorder(self.context, self._remote_waiters)
        presence = ClientPresence(self.context, recorder, self._remote_waiters)
        cancellation = RequestCancellation(self.context, recorder, presence)
        submission = RequestSubmission(self.context, recorder, presence)
        self._claims = AttemptClaims(self.context, cancellation, presence)
        expiry = WaiterExpiry(self.context, self._remote_waiters)
        self.intake = RequestIntake(
            self.context, self._remote_waiters, submission, recorder, presence, expiry
        )
        self.lookup = AnswerLookup(self.context, self._remote_waiters, cancellation)
        self.hooks = ExchangeHooks(self.context, self._claims, recorder, presence)
        self.thread_events = ThreadEvents(
            self.context,
            self._claims,
            self._remote_waiters,
            self.intake,
            submission,
            recorder,
            cancellation,
            presence,
        )
        thread.attach_listener(self.thread_events)
        services.exchange.attach_durable_requests(self.hooks)

    @property
    def member(self) -> Member:
        """This process's member of the shared folder."""
        return self.context.member

    def begin(self) -> None:
        """Begin an incarnation.

        After a transient error of the disk it is begun later, and no request is accepted until then. Raises
        `FolderError` or `StoreError` for a fault that only an operator can mend.
        """
        try:
            self.member.begin()
        except DurableRequestsError as error:
            if not error.transient:
                raise
            self.context.services.log(
                f"durable requests: no incarnation could be begun, requests are refused (error={error})"
            )

    def start(self) -> None:
        """Start the commit thread."""
        self.context.commit_thread.start()

    def close(self) -> None:
        """End the commit thread. Successors own the unanswered requests once this process has exited."""
        self.context.commit_thread.close()

    @property
    def idle(self) -> bool:
        """Whether no operation waits to be written, and all owned requests wait for a client to come back."""
        owned_requests = self.context.owned_requests.values()
        has_work = not all(owned.is_suspended for owned in owned_requests)
        return not has_work and not self.context.commit_thread.waiting_count

    def leave(self) -> None:
        """Give the unanswered requests to the other members.

        While an attempt is open that must not be repeated, try again later: its answer may still arrive.
        """
        if not self.context.owned_requests:
            return
        if self._has_open_unsafe_attempt():
            self.context.call_after(LEAVE_RETRY_INTERVAL_MS, self.leave)
        else:
            owned_requests = self.context.owned_requests
            attended_ids = [id_ for id_, owned in owned_requests.items() if owned.has_waiting_client]
            self.context.commit_thread.leave(attended_ids, self._on_left)

    def _has_open_unsafe_attempt(self) -> bool:
        classes = self.context.exchange.settings.classes
        return any(
            classes[attempt.pending.request.class_index].effect == Effect.UNSAFE
            for attempt in self._claims.open_attempts
        )

    def _on_left(self, has_left: bool) -> None:
        if has_left:
            count = len(self.context.owned_requests)
            self.context.services.log(f"durable requests: left the members (open_requests={count})")
            self.thread_events.on_incarnation_ended()

    def figures(self) -> DurableRequestFigures:
        """Return the figures that the console shows."""
        member = self.member
        return DurableRequestFigures(
            incarnation_name=member.incarnation_name,
            member_count=member.member_count,
            owned_requests=len(self.context.owned_requests),
            suspended_requests=sum(owned.is_suspended for owned in self.context.owned_requests.values()),
            remote_waiters=len(self._remote_waiters),
            pending_takeovers=member.pending_takeovers,
            waiting_operations=self.context.commit_thread.waiting_count,
            counters=member.counters,
        )
