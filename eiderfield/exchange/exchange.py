"""Owns requests and their attempts between the client side and the worker side.

The client side submits requests and receives one final answer for each. The worker side reports how attempts
end. Each turn of the event loop passes the events since the previous turn to the policy and executes the
actions that the policy returns. The module performs no I/O and reads no clock; all times are in milliseconds
of the caller's clock.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from eiderfield.exchange.actions import ActionExecutor
from eiderfield.exchange.attempt_table import AttemptTable, StopReason
from eiderfield.exchange.begun_ids import BegunIds
from eiderfield.exchange.context import Context
from eiderfield.exchange.endpoint_table import EndpointTable
from eiderfield.exchange.event_queue import EventQueue
from eiderfield.exchange.metrics import Metrics
from eiderfield.exchange.other_process import OtherProcessState
from eiderfield.exchange.protocols import DurableRequests, PeerChannel, WorkerSide
from eiderfield.exchange.request import (
    Answer,
    Attempt,
    PendingRequest,
    Request,
    RequestState,
    Verdict,
    may_have_run,
)
from eiderfield.exchange.request_table import RequestTable
from eiderfield.exchange.settings_check import check_settings
from eiderfield.exchange.timers import Timers
from eiderfield.exchange.worker_reports import WorkerReports
from eiderfield.interface import (
    AttemptEnded,
    AttemptProgressed,
    ClientDisconnected,
    EarlierAttempt,
    Effect,
    Endpoint,
    EndpointListKind,
    EndpointsUpdated,
    Event,
    FailRequest,
    PeerReportReceived,
    ProgressKind,
    RequestReceived,
    Settings,
    Snapshot,
)
from eiderfield.model.learned_state import LearnedState
from eiderfield.policy.dispatcher import Dispatcher

MIN_LOGGED_STALL_MS = 1000.0  # shorter stalls of the event loop are not logged


class Exchange:
    """Connects the client side, the worker side and the policy.

    Attributes:
        metrics: Counters of requests and attempts.
        dispatcher: The policy.
        endpoints: The endpoint list; `update_endpoints` changes it.
        worker_reports: Receives the reports of the worker side.
        other_process: The requests and attempts of the previous or next process of this dispatcher.
    """

    def __init__(
        self,
        settings: Settings,
        seed: int,
        timers: Timers,
        wake: Callable[[], None],
        log: Callable[[str], None],
    ) -> None:
        """Create an exchange without adapters.

        Args:
            settings: The settings of the policy.
            seed: The seed of the policy's random choices.
            timers: Schedules calls on the event loop.
            wake: Called whenever a turn is due.
            log: Called with each line to be logged.
        """
        self.metrics = Metrics()
        self.dispatcher = Dispatcher(settings, seed)
        self._wake = wake
        self._context = Context(settings, timers, log)
        self._events = EventQueue(wake)
        self.endpoints = EndpointTable()
        self.other_process = OtherProcessState(self._events)
        self._overdue: list[PendingRequest] = []  # since the last turn
        self._requests = RequestTable(self._context, self.metrics, self.other_process)
        self._attempts = AttemptTable(
            self._context, self._events, self._requests, self.other_process, self.metrics
        )
        self._actions = ActionExecutor(
            self._context, self._events, self.endpoints, self._requests, self._attempts, self.metrics
        )
        self.worker_reports = WorkerReports(
            self._context, self._events, self.endpoints, self._requests, self._attempts, self.metrics
        )

    def attach_worker_side(self, worker_side: WorkerSide) -> None:
        """Set the adapter that starts attempts; call it before the first turn."""
        self._context.worker_side = worker_side

    def attach_durable_requests(self, durable_requests: DurableRequests) -> None:
        """Set the adapter that persists the requests submitted as durable."""
        self._context.durable_requests = durable_requests

    def attach_begun_ids(self, begun_ids: BegunIds) -> None:
        """Set the table of begun ids, which outlives this process; call it before the first request."""
        self._context.begun_ids = begun_ids

    def attach_peer_channel(self, peer_channel: PeerChannel) -> None:
        """Set the adapter that sends reports to other dispatchers."""
        self._context.peer_channel = peer_channel

    @property
    def settings(self) -> Settings:
        """The current settings."""
        return self._context.settings

    @property
    def pending_requests(self) -> Mapping[int, PendingRequest]:
        """The requests without a final answer, by number."""
        return self._requests.pending

    @property
    def pending_events(self) -> list[Event]:
        """The events that the next turn passes to the policy."""
        return self._events.pending()

    @property
    def pending_request_count(self) -> int:
        """The number of requests without a final answer."""
        return len(self._requests.pending)

    def snapshot(self, now: float) -> Snapshot:
        """Return the state of the policy, which includes the workers that it avoids."""
        return self.dispatcher.snapshot(now)

    def check_settings(self, settings: Settings) -> None:
        """Raise `FixedSettingError` if only a new process can apply `settings`."""
        check_settings(self._context.settings, settings)

    def apply_settings(self, settings: Settings) -> None:
        """Apply settings that `check_settings` accepted. Pending requests keep their class."""
        self.dispatcher.apply_settings(settings)
        self._context.settings = settings
        self._wake()

    # Called by the client side.

    def has_request(self, request_id: str) -> bool:
        """Return whether a request with this id is pending or has an open attempt.

        The requests of the other process are included.
        """
        return self._requests.has_id(request_id)

    def has_begun(self, request: Request) -> bool:
        """Return whether a request must not run twice, and one with its id may have run."""
        effect = self.settings.classes[request.class_index].effect
        return effect == Effect.UNSAFE and request.id in self._context.begun_ids

    def submit(
        self,
        request: Request,
        on_answer: Callable[[Answer], None],
        durable: bool = False,
        earlier_attempts: Iterable[EarlierAttempt] = (),
        is_client_connected: Callable[[], bool] | None = None,
    ) -> int:
        """Accept a request and return its number.

        Args:
            request: The request.
            on_answer: Called once with the final answer, after this method has returned.
            durable: Whether the request is persisted, so that another dispatcher can take it over.
            earlier_attempts: The attempts that a lost dispatcher started, with worker and start time.
            is_client_connected: Returns False once the client has closed, even if the close is not read yet.

        Raises:
            RequestIdInUseError: Another request uses the id.
        """
        earlier = tuple(earlier_attempts)
        pending = self._requests.add(request, on_answer, durable, is_client_connected)
        for number, (endpoint, sent_at) in enumerate(earlier):
            pending.attempts.append(
                Attempt(pending, number, endpoint.worker, sent_at, open=False, may_have_run=True)
            )
        # Guards against a fault of the policy, which should answer before the deadline.
        pending.timer = self._context.timers.call_at(
            request.deadline + self._context.settings.answer_slack_ms, lambda: self._add_overdue(pending)
        )
        self._events.post(_request_received(pending.id, request, earlier))
        return pending.id

    def _add_overdue(self, pending: PendingRequest) -> None:
        """Let the policy answer a request in the next turn, since its own timer may be due just now."""
        self._overdue.append(pending)
        self._wake()

    def _fail_overdue_request(self, pending: PendingRequest) -> None:
        """Fail a request that the policy has not answered in a turn after its deadline."""
        if pending.answered:
            return
        self._context.log(f"exchange: request unanswered at its deadline (request={pending.id})")
        self.metrics.prevented_violations["answered"] += 1
        self._actions.fail_request(FailRequest(pending.id))
        self._attempts.stop_all(pending, StopReason.TIMEOUT)
        self._events.post(ClientDisconnected(pending.id))

    def release_request(self, number: int) -> None:
        """End a request without an answer: another dispatcher has taken it over and will answer it."""
        if (pending := self._requests.pending.get(number)) is not None:
            self._end_unanswered(pending, StopReason.TAKEN_OVER)

    def cancel_request(self, number: int) -> Answer | None:
        """End the request with this number, for which no client waits any longer.

        Returns its final answer, which is not passed to `on_answer`, or None if it was answered already.
        """
        pending = self._requests.pending.get(number)
        if pending is None:
            return None
        answer = Answer(
            Verdict.TERMINATED, may_have_run=may_have_run(pending), attempts=len(pending.attempts)
        )
        self._end_unanswered(pending, StopReason.CLIENT_GONE)
        return answer

    def _end_unanswered(self, pending: PendingRequest, reason: StopReason) -> None:
        self._requests.finish(pending)
        self._attempts.stop_all(pending, reason)
        self._events.post(ClientDisconnected(pending.id))

    def request_state(self, number: int) -> RequestState | None:
        """Return the state of a request, or None once it has its final answer."""
        pending = self._requests.pending.get(number)
        if pending is None:
            return None
        if not any(attempt.open for attempt in pending.attempts):
            return RequestState.QUEUED
        if pending.running or not self.settings.workers_report_start:
            return RequestState.RUNNING
        return RequestState.SENT

    # Called during a handover to or from another process of this dispatcher.

    @property
    def request_ids(self) -> list[str]:
        """The ids that requests of this process use."""
        return list(self._requests.ids)

    @property
    def open_attempts_per_worker(self) -> dict[int, int]:
        """The number of open attempts of each worker that has any."""
        return self._attempts.open_per_worker

    def learned_state(self) -> LearnedState:
        """Return the state that the policy has learned."""
        return self.dispatcher.learned_state()

    def resume(self, learned: LearnedState, now: float) -> None:
        """Continue from the learned state of another process. State that the policy rejects is ignored."""
        self.turn(now)  # passes the endpoint list, to which the learned state refers, to the policy
        try:
            self.dispatcher.resume(learned)
        except (ValueError, TypeError, LookupError, AttributeError) as error:
            self._context.log(f"handover: ignoring learned state of the previous process (error={error!r})")

    # Called by discovery and by the peer channel.

    def update_endpoints(self, kind: EndpointListKind, version: int, endpoints: tuple[Endpoint, ...]) -> None:
        """Apply a change of the endpoint list, at once to every attempt that has not started."""
        self.endpoints.update(kind, endpoints)
        self._events.post_endpoint_update(EndpointsUpdated(kind, version, endpoints))

    def peer_report_received(self, peer: int, data: bytes) -> None:
        """Record a report received from another dispatcher of the tier."""
        self._events.post(PeerReportReceived(peer, data))

    # Called by the event loop.

    def process_resumed(self, stall_ms: float) -> None:
        """Record that the event loop stalled for `stall_ms` and has since read the data received meanwhile.

        Workers with an open attempt count as silent from now on only: until now this process could not read
        what they sent.
        """
        if stall_ms >= MIN_LOGGED_STALL_MS:
            self._context.log(f"exchange: event loop stalled (ms={stall_ms:.0f})")
        for attempt in self._attempts.open.values():
            self._events.post(
                AttemptProgressed(
                    attempt.pending.id, attempt.number, attempt.worker, ProgressKind.UNKNOWN, 0.0
                )
            )

    def turn(self, now: float) -> None:
        """Pass the events since the previous turn to the policy in one call, and execute its actions."""
        events = self._events.take_all()
        for event in events:
            if isinstance(event, AttemptEnded):
                event.elapsed_ms = now - event.elapsed_ms  # until now it held `sent_at`
            elif isinstance(event, AttemptProgressed) and event.kind == ProgressKind.STARTED:
                pending = self._requests.pending.get(event.request_id)
                if pending is not None:
                    pending.started_at = pending.started_at or now
        self._requests.record_times(now)
        self._actions.execute(self.dispatcher.handle(now, events), now)
        overdue, self._overdue = self._overdue, []
        for pending in overdue:
            self._fail_overdue_request(pending)


def _request_received(
    number: int, request: Request, earlier_attempts: tuple[EarlierAttempt, ...]
) -> RequestReceived:
    """Return the event for a request with this number."""
    return RequestReceived(
        request_id=number,
        class_index=request.class_index,
        deadline=request.deadline,
        tenant_index=request.tenant_index,
        affinity_key=request.subject,
        slots=request.slots,
        memory=request.memory,
        is_client_retry=request.is_client_retry,
        earlier_attempts=earlier_attempts,
        released_attempts=request.released_attempts,
    )
