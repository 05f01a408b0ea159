"""The dispatcher: handles events, keeps track of requests and attempts, and returns actions.

`eiderfield/interface.py` defines its types, events and actions; `docs/design.md` gives the reasons. The
module does no I/O and reads no clock; times are in ms.

The path of a request from its arrival to its only final answer:

    waits in the GRB --> waits in the SLB of its class --> attempt at a worker --(served)--> its result
         |                      |   ^                           |
         |                      |   '---------------------------' (failed, cancelled or silent; retried)
         '--(shed, or its deadline is near)--> rejected if rule 2 allows it, else failed

Invariants: a request gets exactly one final answer, before its client's deadline; no attempt is started for a
client that has disconnected, or against the retry rules, the endpoint list or a slow start budget.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from eiderfield.interface import (
    NEVER_RAN,
    Action,
    AttemptEnded,
    AttemptProgressed,
    ClientDisconnected,
    EndpointListKind,
    EndpointState,
    EndpointsUpdated,
    Event,
    Outcome,
    PeerReportReceived,
    ProbeCompleted,
    ProgressKind,
    RequestReceived,
    Settings,
    SiblingReportReceived,
    Snapshot,
    StreamStarted,
    TimerFired,
    WatchEndpoints,
)
from eiderfield.model.learned_state import LearnedState
from eiderfield.policy.admission import AdmissionController
from eiderfield.policy.affinity import KeyCounts
from eiderfield.policy.attempt_outcomes import AttemptOutcomes
from eiderfield.policy.attempt_starter import AttemptStarter
from eiderfield.policy.completion import RequestCompletion
from eiderfield.policy.context import Context
from eiderfield.policy.endpoint import Worker
from eiderfield.policy.fleet_state import FleetState
from eiderfield.policy.outlier_detection import OutlierDetector
from eiderfield.policy.queues import ClassQueues
from eiderfield.policy.rate_control import WINDOW_MS, Pacer
from eiderfield.policy.release import RequestReleaser
from eiderfield.policy.request import AttemptRecord, QueuedRequest
from eiderfield.policy.request_table import RequestTable
from eiderfield.policy.retries import RetryController
from eiderfield.policy.retry_rules import RetryBudget
from eiderfield.policy.selection import EndpointSelector
from eiderfield.policy.timer import Timer

QUEUE_CHECK_INTERVAL_MS = 200.0  # longest time until the release of waiting requests is tried again
DEADLINE_TICKS = 2.0  # clock ticks before its deadline at which a request is answered


class Dispatcher:
    """The policy of one dispatcher. The caller passes events, and carries out the actions, in order."""

    def __init__(self, settings: Settings, seed: int) -> None:
        """Create a dispatcher that knows no worker; `seed` initializes its random number generator."""
        if not settings.classes:
            raise ValueError("settings.classes is empty")
        self._now = 0.0
        self._watching = False
        context = self._context = Context(settings, random.Random(seed))
        state = FleetState.create(context)
        self._state = state
        self._fleet = state.fleet
        self._slow_start = state.slow_start
        self._reports = state.reports
        self._gossip = state.gossip
        self._key_counts = KeyCounts()
        self._requests = RequestTable()
        self._queues = ClassQueues(settings)
        self._retry_budget = RetryBudget()
        self._timer = Timer(context)
        self._outliers = OutlierDetector(context, self._fleet)
        self._selector = EndpointSelector(context, state, self._key_counts)
        self._outcomes = AttemptOutcomes(context, state, self._outliers, self._selector)
        self._completion = RequestCompletion(context, self._requests, self._queues)
        self._admission = AdmissionController(
            context, self._fleet, self._requests, self._queues, self._completion
        )
        self._retries = self._create_retries()
        self._releaser = self._create_releaser()
        state.update_after_repartition()
        self._handlers = self._event_handlers()

    def _create_retries(self) -> RetryController:
        return RetryController(
            self._context,
            self._fleet,
            self._queues,
            self._selector,
            self._outliers,
            self._retry_budget,
            self._completion,
        )

    def _create_releaser(self) -> RequestReleaser:
        starter = AttemptStarter(
            self._context,
            self._state,
            self._requests,
            self._queues,
            self._selector,
            self._outliers,
            self._retry_budget,
        )
        return RequestReleaser(
            self._state, self._queues, self._selector, self._outliers, self._completion, starter
        )

    @property
    def requests(self) -> Mapping[int, QueuedRequest]:
        """The requests that have no final answer yet, by id."""
        return self._requests.by_id

    @property
    def workers(self) -> Mapping[int, Worker]:
        """All workers that have ever been listed, by number."""
        return self._fleet.workers

    @property
    def subset(self) -> Sequence[Worker]:
        """The ready workers to which this dispatcher sends requests."""
        return self._fleet.subset.workers

    @property
    def group_count(self) -> int:
        """The number of groups into which the fleet is partitioned."""
        return self._fleet.subset.group_count

    @property
    def peers(self) -> Sequence[int]:
        """The dispatchers to which this one reports its slots."""
        return self._gossip.peers

    @property
    def pacers(self) -> Sequence[Pacer]:
        """The rate control of each class, in the order of the settings."""
        return self._queues.pacers

    def snapshot(self, now: float | None = None) -> Snapshot:
        """Return the queued requests, open attempts, rates, and the listed workers that get no requests."""
        at = self._now if now is None else now
        avoided = [
            worker.entry.worker
            for worker in self._fleet.workers.values()
            if worker.entry.state != EndpointState.GONE and not self._receives_requests(worker, at)
        ]
        rates = [pacer.rate for pacer in self._queues.pacers]
        return Snapshot(self._queues.held_count, self._requests.open_attempts, rates, frozenset(avoided))

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings with the same classes and tenants; accepted requests keep the old settings."""
        if not settings.classes:
            raise ValueError("settings.classes is empty")
        self._context.settings = settings
        self._queues.apply_settings(settings)
        self._admission.apply_settings()
        self._fleet.apply_settings()
        self._state.update_after_repartition()

    def learned_state(self) -> LearnedState:
        """Return the state that the next process of this dispatcher needs to continue."""
        return LearnedState(
            pacers=self._queues.pacer_states(),
            retry_tokens=self._retry_budget.tokens,
            served_rate=self._slow_start.served_rate,
            served_at=self._slow_start.served_rate_at,
            recent_work=self._fleet.recent_work(),
            key_counts=self._key_counts.most_common(),
            slots=self._reports.slots_by_kind(),
            outliers=self._fleet.failing_workers(),
        )

    def resume(self, learned: LearnedState) -> None:
        """Continue with the learned state of the previous process. The endpoint list must be known.

        Raises:
            ValueError: The state has a different number of classes.
        """
        self._queues.resume(learned.pacers)
        self._retry_budget.tokens = learned.retry_tokens
        self._slow_start.served_rate = learned.served_rate
        self._slow_start.served_rate_at = learned.served_at
        self._reports.resume(learned.slots)
        self._key_counts.resume(learned.key_counts)
        self._fleet.resume_recent_work(learned.recent_work)
        self._fleet.resume_failing_workers(learned.outliers)
        if self._key_counts.total and self._fleet.enable_affinity():
            self._state.update_after_repartition()

    def handle(self, now: float, events: list[Event]) -> list[Action]:
        """Handle the events that were received until `now`, and return the actions to carry out."""
        if now < self._now:
            raise ValueError(f"time runs backwards: {now} after {self._now}")
        self._now = now
        actions = self._context.actions = []
        self._watch_endpoints()
        for event in events:  # before any attempt is started: a later event may end the request
            if type(event) not in self._handlers:
                raise ValueError(f"unknown event {event!r}")
            self._handlers[type(event)](event, now)
        self._expire(now)
        for attempt in self._outliers.stalled_attempts(now):
            self._retries.replace_stalled(attempt, now)
        self._queues.close_windows(now, WINDOW_MS)
        if self._queues.held_count and may_free_a_worker(events):
            self._releaser.release(now)
        self._schedule_timer(now)
        self._gossip.send_reports()
        return actions

    def _event_handlers(self) -> dict[type[Event], Callable[[Any, float], None]]:
        return {
            RequestReceived: self._request_received,
            EndpointsUpdated: self._endpoints_updated,
            StreamStarted: self._stream_started,
            AttemptEnded: self._attempt_ended,
            AttemptProgressed: self._attempt_progressed,
            ClientDisconnected: self._client_disconnected,
            TimerFired: self._timer_fired,
            ProbeCompleted: self._probe_completed,
            PeerReportReceived: self._peer_report_received,
            SiblingReportReceived: self._sibling_report_received,
        }

    def _timer_fired(self, event: TimerFired, _now: float) -> None:
        self._timer.fired(event)

    def _client_disconnected(self, event: ClientDisconnected, _now: float) -> None:
        request = self._requests.by_id.get(event.request_id)
        if request is not None:
            self._completion.finish(request)

    def _stream_started(self, event: StreamStarted, _now: float) -> None:
        request = self._requests.by_id.get(event.request_id)
        if request is not None:
            request.streaming = True
            self._queues.remove(request)

    def _probe_completed(self, event: ProbeCompleted, now: float) -> None:
        self._reports.record_report(self._fleet.workers.get(event.worker), event.load_report, now)

    def _peer_report_received(self, event: PeerReportReceived, now: float) -> None:
        self._gossip.record_report(event.peer, event.data, now)

    def _sibling_report_received(self, event: SiblingReportReceived, now: float) -> None:
        worker = self._fleet.workers.get(event.worker)
        if worker is not None:
            worker.sibling_attempts = event.open_attempts
            worker.recent_sends.append((now, event.added_work))
            self._gossip.mark_changed(worker)

    def _endpoints_updated(self, event: EndpointsUpdated, now: float) -> None:
        if event.kind == EndpointListKind.FAILED:
            self._watching = False
        elif self._fleet.apply_entries(event.endpoints, event.kind != EndpointListKind.DELTA, now):
            self._state.update_after_repartition()

    def _request_received(self, event: RequestReceived, now: float) -> None:
        if event.class_index >= len(self._queues.pacers) or event.request_id in self._requests.by_id:
            raise ValueError(f"request {event.request_id}: unknown class {event.class_index} or id in use")
        request = self._admission.create_request(event, now)
        self._slow_start.min_cost = min(self._slow_start.min_cost, request.budget_cost)
        if request.key:
            self._count_key(request.key)
        answer_by = request.deadline - DEADLINE_TICKS * self._context.settings.clock_resolution_ms
        self._requests.add(request, answer_by)
        for entry, sent_at in event.earlier_attempts:  # sent by a failed dispatcher; they may still run
            self._fleet.get_or_add(entry)  # the attempt may name a worker that was never listed
            attempt = AttemptRecord(request, len(request.attempts), entry, sent_at, sent_at, open=False)
            request.attempts.append(attempt)
        self._queues.add(request, self._queues.by_id[request.queue_id].grb)
        if event.earlier_attempts and self._is_retry_forbidden(request, now):
            self._completion.answer(request)
        self._admission.shed_if_full(request)

    def _is_retry_forbidden(self, request: QueuedRequest, now: float) -> bool:
        """Return whether workers are ready, but the request may be sent to none of them."""
        any_ready = bool(self._fleet.ready.by_number)
        return any_ready and not self._selector.may_retry_anywhere(request, now)

    def _count_key(self, key: int) -> None:
        halved = self._key_counts.count(key)
        if self._fleet.enable_affinity():
            self._state.update_after_repartition()
        if halved:
            self._fleet.key_orders.clear()

    def _attempt_ended(self, event: AttemptEnded, now: float) -> None:
        request, attempt = self._requests.find_attempt(event.request_id, event.attempt_number)
        if attempt is None or not attempt.open:
            return  # the attempt was sent by an earlier process of this dispatcher
        outcome, worker = event.outcome, self._fleet.workers[attempt.entry.worker]
        self._fleet.remove_attempt(attempt, worker)
        self._requests.open_attempts -= 1
        self._gossip.mark_changed(worker)
        self._reports.record_report(worker, event.load_report, now)
        attempt.may_have_run = outcome not in NEVER_RAN
        self._fleet.paused_workers[worker.entry.worker] = worker
        if outcome in (Outcome.OK, Outcome.ERROR):
            worker.record_outcome(outcome == Outcome.ERROR)
        if attempt.started_at is not None:
            duration = (now - attempt.started_at) / attempt.request.expected_duration_ms
            worker.record_duration(now, duration, outcome == Outcome.OK)
        self._outcomes.record_end(attempt, event, now)
        if request is None:
            del self._requests.late_attempts[event.request_id, event.attempt_number]
        elif event.is_final:
            self._completion.finish(request)
        elif not request.has_open_attempt() and request.queue is None:
            self._retries.retry_or_answer(request, now, outcome == Outcome.ERROR)

    def _attempt_progressed(self, event: AttemptProgressed, now: float) -> None:
        _, attempt = self._requests.find_attempt(event.request_id, event.attempt_number)
        if attempt is None or not attempt.open:
            return
        attempt.last_activity_at = now
        self._fleet.workers[attempt.entry.worker].record_activity(now)
        if attempt.started_at is None and event.kind == ProgressKind.STARTED:
            self._outcomes.record_start(attempt, now)

    def _expire(self, now: float) -> None:
        """Answer the requests whose deadline is about to be reached (rule 1)."""
        for request in self._requests.expired(now):
            self._completion.answer(request)

    def _receives_requests(self, worker: Worker, now: float) -> bool:
        return worker.entry.state == EndpointState.READY and self._fleet.is_usable(worker, now)

    def _watch_endpoints(self) -> None:
        """Subscribe to the endpoint list if the settings ask for it, and again after a failure."""
        if self._context.settings.subscribes_to_endpoints and not self._watching:
            self._watching = True
            self._context.actions.append(WatchEndpoints(True))

    def _schedule_timer(self, now: float) -> None:
        """Set the timer to the earliest time at which a decision may be due without an event."""
        at = min(self._requests.next_deadline(), self._outliers.next_check)
        if self._queues.held_count:
            times = [*self._fleet.pause_ends(now), self._reports.probes_pending_until]
            times += [pacer.next_release_at for pacer in self._queues.pacers if pacer.rate is not None]
            at = min([at, now + QUEUE_CHECK_INTERVAL_MS, *[time for time in times if time > now]])
        at = max(at, now + self._context.settings.clock_resolution_ms)
        self._timer.schedule(at)


def may_free_a_worker(events: list[Event]) -> bool:
    """Return whether these events can free a worker: progress of attempts, other than starts, cannot."""
    if not events:
        return True
    return any(
        not isinstance(event, AttemptProgressed) or event.kind == ProgressKind.STARTED for event in events
    )
