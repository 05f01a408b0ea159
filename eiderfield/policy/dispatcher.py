"""The dispatcher: takes events in, keeps the ledger of requests and attempts, and decides.

Types, events and actions: `eiderfield/interface.py`; reasons: `docs/design.md`. No clock, no I/O; times: ms.

A request, from its arrival to its one final answer:

    held in the GRB ──> held in its class's SLB ──> out at a worker ──(served)──> answered by its result
         │                     │    ^                    │
         │                     │    └────────────────────┘ (failed, called off or silent, and may be retried)
         └──(shed, or its time ends)──> answered with a refusal if rule 2 allows it, else with a failure

What must never happen: two answers to a request, or none before its client's time ends; an attempt for a
client that has gone; an attempt that the retry rules, the list or the slow start budget forbid, whoever asked
for it.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from math import inf
from typing import Any

from eiderfield.interface import (
    NEVER_RAN,
    Action,
    AttemptEnded,
    AttemptProgressed,
    CancelAttempt,
    ClientDisconnected,
    CloseIdleConnections,
    EndpointListKind,
    EndpointState,
    EndpointsUpdated,
    Event,
    FailRequest,
    Outcome,
    PeerReportReceived,
    ProbeCompleted,
    ProgressKind,
    RejectRequest,
    RequestReceived,
    Settings,
    SiblingReportReceived,
    Snapshot,
    StartAttempt,
    StreamStarted,
    TimerFired,
    WatchEndpoints,
)
from eiderfield.policy.admission import TenantQuotas, expected_wait, is_full
from eiderfield.policy.affinity import KeyCounts
from eiderfield.policy.attempt_outcomes import AttemptOutcomes
from eiderfield.policy.context import Context
from eiderfield.policy.endpoint import Worker
from eiderfield.policy.fleet import Fleet
from eiderfield.policy.gossip import Gossip
from eiderfield.policy.load_reports import LoadReports
from eiderfield.policy.outlier_detection import OutlierDetector
from eiderfield.policy.queues import ClassQueue, ClassQueues
from eiderfield.policy.rate_control import WINDOW_MS
from eiderfield.policy.request import AttemptRecord, QueuedRequest, QueueId
from eiderfield.policy.retry_rules import RetryBudget, may_reject, retry_cost
from eiderfield.policy.selection import EndpointSelector
from eiderfield.policy.slow_start import SlowStart
from eiderfield.policy.timer import Timer

LOOK_AGAIN_MS = 200.0  # after which held requests are looked at again, whatever has come in
DEADLINE_TICKS = 2.0  # clock ticks before a client's time ends at which its request is answered


class Dispatcher:
    """One dispatcher's decisions. Feed it events in order; carry out the actions it returns in order."""

    def __init__(self, settings: Settings, seed: int) -> None:
        if not settings.classes:
            raise ValueError("settings.classes is empty")
        self._now = 0.0
        self._context = Context(settings, random.Random(seed))
        self._fleet = Fleet(self._context)
        self._queues = ClassQueues(settings)
        self._quotas = TenantQuotas(self._context)
        self._key_counts = KeyCounts()
        self._slow_start = SlowStart(self._context, self._fleet)
        self._reports = LoadReports(self._context, self._fleet)
        self._gossip = Gossip(self._context, self._fleet)
        self._retry_budget = RetryBudget()
        self._outliers = OutlierDetector(self._context, self._fleet, self._give_up)
        self._selector = EndpointSelector(
            self._context, self._fleet, self._slow_start, self._reports, self._gossip, self._key_counts
        )
        self._outcomes = AttemptOutcomes(
            self._context, self._fleet, self._slow_start, self._reports, self._outliers, self._selector
        )
        self._requests: dict[int, QueuedRequest] = {}
        self._late_attempts: dict[
            tuple[int, int], AttemptRecord
        ] = {}  # of answered requests: still out at a worker
        self._out = 0  # own attempts out
        self._deadlines: list[tuple[float, int]] = []  # a heap of times and requests
        self._timer = Timer(self._context)
        self._watching = False
        self._split_anew()
        self._handlers: dict[type, Callable[[Any, float], None]] = {
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

    def snapshot(self, now: float | None = None) -> Snapshot:
        """What is held and out, the rate of each class, and which listed workers are sent nothing."""
        at = self._now if now is None else now
        known = [
            worker for worker in self._fleet.workers.values() if worker.entry.state != EndpointState.GONE
        ]
        avoided = [
            w for w in known if w.entry.state != EndpointState.READY or not self._fleet.is_usable(w, at)
        ]
        rates = [pacer.rate for pacer in self._queues.pacers]
        numbers = frozenset(worker.entry.worker for worker in avoided)
        return Snapshot(self._queues.held_count, self._out, rates, numbers)

    def adopt(self, settings: Settings) -> None:
        """Takes new numbers of the same classes and tenants. What came before keeps its class as it was."""
        if not settings.classes:
            raise ValueError("settings.classes is empty")
        self._context.settings = settings
        self._queues.apply_settings(settings)
        self._quotas.apply_settings()
        self._fleet.apply_settings()
        self._split_anew()

    def memory(self) -> dict[str, Any]:
        """What the next process in this dispatcher's place goes on from, in plain values."""
        slow_start = self._slow_start
        return {
            "pacers": self._queues.learnt(),
            "spent": (self._retry_budget.tokens, slow_start.served_rate, slow_start.served_rate_at),
            "cold": self._fleet.recent_work(),
            "keys": self._key_counts.most_common(),
            "slots": list(self._reports.slots_per_kind.items()),
            "erring": self._fleet.erring(),
        }

    def resume(self, memory: dict[str, Any]) -> None:
        """Goes on from the memory of the process before. The list must be known."""
        self._queues.resume(memory["pacers"])
        slow_start = self._slow_start
        self._retry_budget.tokens, slow_start.served_rate, slow_start.served_rate_at = memory["spent"]
        self._reports.slots_per_kind.update(memory["slots"])
        self._key_counts.resume(memory["keys"])
        self._fleet.resume_recent_work(memory["cold"])
        self._fleet.resume_erring(memory.get("erring", ()))
        if self._key_counts.total and self._fleet.enable_affinity():
            self._split_anew()

    def handle(self, now: float, events: list[Event]) -> list[Action]:
        """Takes what has come in at this time and decides."""
        if now < self._now:
            raise ValueError(f"time runs backwards: {now} after {self._now}")
        self._now = now
        actions = self._context.actions = []
        self._keep_watching()
        for event in events:  # all before any send: a later one may end or forbid what an earlier asks
            if type(event) not in self._handlers:
                raise ValueError(f"unknown event {event!r}")
            self._handlers[type(event)](event, now)
        self._expire(now)
        self._outliers.check(now)
        self._queues.close_windows(now, WINDOW_MS)
        if self._queues.held_count and opens_something(events):
            self._release(now)
        self._set_timer(now)
        self._gossip.send_reports()
        return actions

    # Events.

    def _timer_fired(self, event: TimerFired, now: float) -> None:
        self._timer.fired(event)

    def _client_disconnected(self, event: ClientDisconnected, now: float) -> None:
        request = self._requests.get(event.request_id)
        if request is not None:
            self._finish(request)

    def _stream_started(self, event: StreamStarted, now: float) -> None:
        request = self._requests.get(event.request_id)
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
            self._split_anew()

    def _request_received(self, event: RequestReceived, now: float) -> None:
        if event.class_index >= len(self._queues.pacers) or event.request_id in self._requests:
            raise ValueError(f"request {event.request_id}: unknown class {event.class_index} or id in use")
        request, slack = self._queue_request(event, now)
        self._slow_start.min_cost = min(self._slow_start.min_cost, request.budget_cost)
        if request.key:
            self._count_key(request.key)
        self._requests[request.id] = request
        for entry, sent in event.earlier_attempts:  # of a lost dispatcher: they may have run or still run
            self._fleet.worker_of(entry)  # listed or not: its attempt refers to it
            attempt = AttemptRecord(request, len(request.attempts), entry, sent, sent, open=False)
            request.attempts.append(attempt)
        deadline = request.deadline - DEADLINE_TICKS * self._context.settings.clock_resolution_ms
        heapq.heappush(self._deadlines, (deadline, request.id))
        self._queues.add(request, self._queues.by_id[request.queue_id].grb)
        if (
            event.earlier_attempts
            and self._fleet.ready.by_number
            and not self._selector.may_retry_anywhere(request, now)
        ):
            self._answer(request)
        wait = expected_wait(self._queues, self._out)
        if is_full(self._queues, wait, slack, len(self._fleet.subset)):
            self._shed(wait)

    def _queue_request(self, event: RequestReceived, now: float) -> tuple[QueuedRequest, float]:
        """The request of a request, and how long it may wait and still be in time."""
        client_retry = event.is_client_retry
        queue_id = self._queue_id(event, client_retry, now)
        queue = self._queues.by_id[queue_id]
        pacer = queue.pacer
        run, left = pacer.expected_duration_ms(event.expected_work), event.deadline - now
        pacer.longest_time_limit_ms = max(pacer.longest_time_limit_ms, left)
        # A client's repeat brings what is left of its time: its aim began with the first try.
        age = pacer.longest_time_limit_ms - left if client_retry else 0.0
        aim = (
            queue.request_class.latency_objective_ms
            + queue.request_class.objective_stretch * (event.expected_work or run)
            - age
        )
        slack = min(aim, left) - run
        request = QueuedRequest(
            id=event.request_id,
            key=event.affinity_key,
            deadline=event.deadline,
            expected_work=event.expected_work,
            queue_id=queue_id,
            pacer=pacer,
            request_class=queue.request_class,
            budget_cost=event.expected_work or run,
            expected_duration_ms=run,
            latest_useful_start=inf if queue.request_class.late_weight else now + slack,
            slots=event.slots or 1.0,
        )
        return request, slack

    def _queue_id(self, event: RequestReceived, client_retry: bool, now: float) -> QueueId:
        over_quota = self._quotas.is_over(event.tenant_index, client_retry, now)
        tenant = event.tenant_index if event.tenant_index < len(self._quotas) else 0
        return QueueId(event.class_index, tenant, over_quota)

    def _count_key(self, key: int) -> None:
        forgot = self._key_counts.count(key)
        if self._fleet.enable_affinity():
            self._split_anew()
        if forgot:
            self._fleet.key_orders.clear()

    def _attempt_ended(self, event: AttemptEnded, now: float) -> None:
        request, attempt = self._find(event.request_id, event.attempt_number)
        if attempt is None or not attempt.open:
            return  # an attempt from before this dispatcher's present life
        self._close(attempt)
        outcome, worker = event.outcome, self._fleet.workers[attempt.entry.worker]
        self._reports.record_report(worker, event.load_report, now)
        attempt.may_have_run = outcome not in NEVER_RAN
        self._fleet.pausing[worker.entry.worker] = worker
        if outcome in (Outcome.OK, Outcome.ERROR):
            worker.record_outcome(outcome == Outcome.ERROR)
        if attempt.started_at is not None:
            worker.record_duration(
                now, (now - attempt.started_at) / attempt.request.expected_duration_ms, outcome == Outcome.OK
            )
        self._outcomes.record_end(attempt, event, now)
        if request is None:
            del self._late_attempts[event.request_id, event.attempt_number]
        elif event.is_final:
            self._finish(request)
        elif not request.has_open_attempt() and request.queue is None:
            self._go_on(request, now, outcome == Outcome.ERROR)

    def _attempt_progressed(self, event: AttemptProgressed, now: float) -> None:
        _, attempt = self._find(event.request_id, event.attempt_number)
        if attempt is None or not attempt.open:
            return
        attempt.last_heard_at = now
        self._fleet.workers[attempt.entry.worker].record_sign_of_life(now)
        if attempt.started_at is None and event.kind == ProgressKind.STARTED:
            self._outcomes.record_start(attempt, now)

    # Ends and retries.

    def _find(self, id_: int, number: int) -> tuple[QueuedRequest | None, AttemptRecord | None]:
        request = self._requests.get(id_)
        attempts = request.attempts if request is not None else []
        if number < len(attempts):
            return request, attempts[number]
        return request, self._late_attempts.get((id_, number))

    def _close(self, attempt: AttemptRecord) -> None:
        """Takes in that an attempt is over."""
        worker = self._fleet.workers[attempt.entry.worker]
        attempt.open = False
        self._out -= 1
        worker.own_slots -= attempt.request.slots
        worker.open_attempts.pop((attempt.request.id, attempt.number), None)
        worker.unstarted -= attempt.started_at is None
        if not worker.open_attempts:
            self._fleet.with_open_attempts.pop(worker.entry.worker, None)
            worker.silent = False  # with nothing left there, a trial must tell
        self._gossip.mark_changed(worker)

    def _finish(self, request: QueuedRequest) -> None:
        """Forget a request that is over and cancel its open attempts, which frees workers that support it."""
        request.answered = True
        self._queues.remove(self._requests.pop(request.id))
        for attempt in request.attempts:
            if attempt.open:
                self._late_attempts[request.id, attempt.number] = attempt
                if self._context.settings.cancellation_allowed:
                    self._context.actions.append(CancelAttempt(request.id, attempt.number))

    def _answer(self, request: QueuedRequest, retry_after: float = 0.0) -> None:
        """The one place of this dispatcher's final answers: a refusal if rule 2 allows it, else a failure."""
        settings = self._context.settings
        self._finish(request)
        advice = min(retry_after, settings.max_retry_after_ms) if settings.retry_advice_allowed else 0.0
        self._context.actions.append(
            RejectRequest(request.id, advice) if may_reject(request) else FailRequest(request.id)
        )

    def _go_on(self, request: QueuedRequest, now: float, failed: bool) -> None:
        """Retries a request that is not out any more, or answers it."""
        if self._may_retry(request, now, failed):
            self._queues.add_first(request)
        else:
            self._answer(request)

    def _may_retry(self, request: QueuedRequest, now: float, failed: bool = False) -> bool:
        """Whether a further attempt is legal and within the retry budget, from which its cost is taken."""
        cost = retry_cost(request, now, self._context.settings.workers_report_start, failed)
        if (
            request.answered
            or self._retry_budget.tokens < cost
            or not self._selector.may_retry_anywhere(request, now)
        ):
            return False
        self._retry_budget.spend(cost)
        return True

    def _give_up(self, attempt: AttemptRecord, now: float) -> None:
        """Sends a request on whose worker or connection says nothing, within what its class allows."""
        request, settings = attempt.request, self._context.settings
        if attempt.given_up or request.answered or request.queue is not None:
            return
        if settings.hedging_allowed:  # a hedged request
            if self._may_retry(request, now):
                attempt.given_up = True
                self._queues.add_first(request)
        elif settings.cancellation_allowed and (
            attempt.started_at is None or self._retry_budget.tokens >= 1.0
        ):
            hopeless = attempt.started_at is None and self._outliers.is_hopeless(request, now)
            if hopeless or self._selector.has_alternative(request, now):
                self._call_off(attempt)

    def _call_off(self, attempt: AttemptRecord) -> None:
        """Cancels an attempt; its end, when that is told, sends the request on."""
        attempt.given_up = True
        self._context.actions.append(CancelAttempt(attempt.request.id, attempt.number))
        # A trial on a connection that is open already would fall silent too.
        if self._fleet.workers[attempt.entry.worker].silent:
            self._context.actions.append(CloseIdleConnections(attempt.entry.worker))

    def _expire(self, now: float) -> None:
        """Rule 1: whatever is left when a client's time ends gets its answer just before."""
        while self._deadlines and self._deadlines[0][0] <= now:
            _, id_ = heapq.heappop(self._deadlines)
            request = self._requests.get(id_)
            if request is not None and not request.streaming:
                self._answer(request)

    def _shed(self, wait: float) -> None:
        """The GRB is full: the lowest worth goes first, the newest of it, with a hint when to come again."""
        for request in self._queues.shed_order():
            if may_reject(request) and not request.has_open_attempt():
                self._answer(request, wait)
                return

    # Sending.

    def _release(self, now: float) -> None:
        """GRB to SLBs, SLBs to workers: highest worth first, first come first within a buffer."""
        for queue in self._queues.by_weight:
            queue.move_late_requests(now)
            for request in [
                request for request in queue.late.values() if self._outliers.is_hopeless(request, now)
            ]:
                self._answer(request, self._outliers.mean_wait_ms)
            queue.fill_slb()
        self._fleet.forget_silence_count()
        self._slow_start.decay_served_rate(now)
        free: list[Worker] | None = (
            None  # found when a request without a key is to go, or probes may be wanted
        )
        if self._reports.probing:
            free = [worker for worker in self._fleet.subset.workers if self._selector.is_free(worker, now)]
            shown = any(self._reports.free_slot_evidence(worker, now) > 0.0 for worker in free)
            if not shown and self._reports.probe(now):
                return
        for queue, requests in self._queues.release_order():
            free = self._release_from(queue, requests, free, now)

    def _release_from(
        self, queue: ClassQueue, requests: list[QueuedRequest], free: list[Worker] | None, now: float
    ) -> list[Worker] | None:
        """Sends the requests of one buffer as its rate lets them go. Returns the free workers, once found."""
        for request in requests:
            if queue.pacer.must_wait(now):
                break
            if not request.key:
                free = self._selector.free_workers(now) if free is None else free
                if not free:
                    break
            worker = self._selector.select(request, free or [], now)
            if worker is not None:
                self._send(request, worker, now)
                if free and worker in free and not self._selector.is_free(worker, now):
                    free.remove(worker)
            elif not request.key and not request.attempts and request.slots <= 1.0:
                break  # the next of this buffer would hardly find one either
        return free

    def _send(self, request: QueuedRequest, worker: Worker, now: float) -> None:
        """The one gate of attempts: enforces rules 2, 3 and 4 whatever the callers meant."""
        if request.answered or worker.entry.state != EndpointState.READY:
            return
        if not self._slow_start.covers(worker, request.budget_cost) or not self._selector.is_legal(
            request, worker, now
        ):
            return
        self._queues.remove(request)
        attempt = AttemptRecord(request, len(request.attempts), worker.entry, now, now)
        request.attempts.append(attempt)
        self._out += 1
        self._add_to_worker(attempt, worker, now)
        self._outliers.record_send(attempt, worker)
        request.pacer.count_send(now)
        self._retry_budget.count_attempt()
        self._context.actions.append(
            StartAttempt(request.id, worker.entry.worker, expected_work=request.budget_cost)
        )

    def _add_to_worker(self, attempt: AttemptRecord, worker: Worker, now: float) -> None:
        """Takes in at its worker that an attempt is out."""
        request = attempt.request
        worker.open_attempts[request.id, attempt.number] = attempt
        worker.unstarted += 1
        worker.own_slots += request.slots
        worker.slots_free -= request.slots
        if worker.slow_start_left < inf:
            worker.recent_sends.append((now, request.budget_cost))
        self._fleet.with_open_attempts[worker.entry.worker] = worker
        self._gossip.mark_changed(worker)

    # The list and the timer.

    def _split_anew(self) -> None:
        """The fleet has been split anew: reports and peers are others."""
        self._reports.update_probing()
        self._gossip.update_peers()

    def _keep_watching(self) -> None:
        """Opens the subscription to the list, where the settings want one, and again after it failed."""
        if self._context.settings.subscribes_to_endpoints and not self._watching:
            self._watching = True
            self._context.actions.append(WatchEndpoints(True))

    def _set_timer(self, now: float) -> None:
        """One pending timer, at the earliest time at which something may change without an event."""
        deadline = self._deadlines[0][0] if self._deadlines else inf
        at = min(deadline, self._outliers.next_check)
        if self._queues.held_count:
            times = [*self._fleet.pause_ends(now), self._reports.probes_pending_until]
            times += [pacer.next_release_at for pacer in self._queues.pacers if pacer.rate is not None]
            at = min([at, now + LOOK_AGAIN_MS, *[time for time in times if time > now]])
        at = max(at, now + self._context.settings.clock_resolution_ms)
        self._timer.schedule(at)


def opens_something(events: list[Event]) -> bool:
    """Whether held requests may find a worker after these events: a request's progress opens nothing."""
    if not events:
        return True
    return any(
        not isinstance(event, AttemptProgressed) or event.kind == ProgressKind.STARTED for event in events
    )
