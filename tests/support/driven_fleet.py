"""Dispatchers before modelled workers, on a driven clock: requests come evenly and run equally long.

The model is for extreme settings: it shows how much is served, and raises `RuleBrokenError` on a second or
late answer, an attempt that the retry rules or the list forbid, and a warming worker that gets too much.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from itertools import count
from math import sqrt
from typing import Any

from eiderfield.interface import (
    NEVER_RAN,
    AttemptEnded,
    AttemptProgressed,
    CancelAttempt,
    Effect,
    Endpoint,
    EndpointListKind,
    EndpointState,
    EndpointsUpdated,
    Event,
    FailRequest,
    Outcome,
    ProgressKind,
    RejectRequest,
    RequestClass,
    RequestReceived,
    Scope,
    SetTimer,
    Settings,
    StartAttempt,
    TimerFired,
)
from eiderfield.policy.dispatcher import Dispatcher
from support.random_events import RuleBrokenError


@dataclass(slots=True, eq=False)
class ModelledAttempt:
    """An attempt as the client, the worker and the rules see it."""

    request: ModelledRequest
    number: int
    worker: ModelledWorker
    sent: float
    entry: Endpoint
    open: bool = True
    may_have_run: bool = True
    running: bool = False


@dataclass(slots=True, eq=False)
class ModelledRequest:
    """A request and its attempts."""

    id: int
    node: int
    cls: RequestClass
    due: float
    answered: float | None = None
    served: bool = False
    attempts: list[ModelledAttempt] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class ModelledWorker:
    """A worker with slots and a bounded queue. A hung one takes everything and says nothing."""

    entry: Endpoint
    slots: int
    queue_size: int
    hung: bool = False
    down: bool = False
    running: list[ModelledAttempt] = field(default_factory=list)
    queue: deque[ModelledAttempt] = field(default_factory=deque)
    received: deque[float] = field(default_factory=deque)  # times within the last window of rule 4
    ended: int = 0


@dataclass(frozen=True, slots=True)
class Load:
    """What the modelled clients and workers do. Times are in ms."""

    interval: float  # between two requests, of all dispatchers together
    run: float
    workers: int = 4
    slots: int = 1
    queue_size: int = 8
    round_trip: float = 0.4


class DrivenFleet:
    """Some dispatchers of a tier, and the workers that they share."""

    def __init__(self, settings: Settings, load: Load, nodes: int = 1, start: float = 1.0e6) -> None:
        self.settings, self.load, self.now = settings, load, start
        self.requests: list[ModelledRequest] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        self._pending: dict[int, list[Event]] = {}
        self._version = 0
        self.nodes = [Dispatcher(replace(settings, dispatcher_index=n), n + 1) for n in range(nodes)]
        self.workers = {
            n: ModelledWorker(Endpoint(n, zone=n % 2, cell=n % 2), load.slots, load.queue_size)
            for n in range(1, load.workers + 1)
        }
        self.list_workers(*self.workers)

    # What a test does.

    def at(self, when: float, call: Callable[[], None]) -> None:
        """Calls at a time."""
        heapq.heappush(self._events, (when, next(self._order), call))

    def run(self, duration: float, arrivals: bool = True) -> None:
        """Lets time pass, with requests or without."""
        end = self.now + duration
        if arrivals:
            for number in range(int(duration / self.load.interval)):
                self.at(self.now + (number + 1) * self.load.interval, self._arrive)
        while self._events and self._events[0][0] <= end:
            self.now = self._events[0][0]
            while self._events and self._events[0][0] <= self.now:
                heapq.heappop(self._events)[2]()
            self._turn()
        self.now = end
        self._check_answers()

    def drain_out(self) -> None:
        """Lets the time of all clients end, without further requests."""
        self.run(max(cls.deadline_ms for cls in self.settings.classes) + 1000.0, arrivals=False)
        unanswered = [request.id for request in self.requests if request.answered is None]
        if unanswered:
            raise RuleBrokenError(f"never answered: {unanswered}")

    def list_workers(self, *numbers: int, **changes: Any) -> None:
        """Changes some entries of the list and tells all dispatchers."""
        for number in numbers:
            worker = self.workers[number]
            worker.entry = replace(worker.entry, **changes)
        kind = EndpointListKind.DELTA if self._version else EndpointListKind.FULL
        self._version += 1
        entries = tuple(self.workers[number].entry for number in numbers)
        for node in range(len(self.nodes)):
            self._post(node, EndpointsUpdated(kind, self._version, entries))

    def share_served(self, since: int = 0) -> float:
        """The share of requests served, from the `since`-th on."""
        chosen = self.requests[since:]
        return sum(request.served for request in chosen) / max(1, len(chosen))

    def reset_running(self, number: int) -> None:
        """Breaks the connections of all attempts that run at a worker."""
        worker = self.workers[number]
        for attempt in list(worker.running):
            worker.running.remove(attempt)
            self._end(attempt, Outcome.RESET)

    # Clients.

    def _arrive(self) -> None:
        id_ = len(self.requests)
        number = id_ % len(self.settings.classes)
        cls = self.settings.classes[number]
        request = ModelledRequest(id_, id_ % len(self.nodes), cls, self.now + cls.deadline_ms)
        self.requests.append(request)
        self._post(request.node, RequestReceived(id_, number, request.due))

    def _answer(self, request: ModelledRequest, served: bool) -> None:
        if request.answered is not None:
            raise RuleBrokenError(f"request {request.id}: two answers")
        if self.now > request.due + self.settings.answer_slack_ms:
            raise RuleBrokenError(f"request {request.id}: answered at {self.now}, due {request.due}")
        request.answered, request.served = self.now, served

    def _check_answers(self) -> None:
        for request in self.requests:
            if request.answered is None and self.now > request.due + self.settings.answer_slack_ms:
                raise RuleBrokenError(f"request {request.id}: no answer at {self.now}, due {request.due}")

    # Dispatchers.

    def _post(self, node: int, event: Event) -> None:
        self._pending.setdefault(node, []).append(event)

    def _turn(self) -> None:
        while self._pending:
            pending, self._pending = self._pending, {}
            for node, events in pending.items():
                for action in self.nodes[node].handle(self.now, events):
                    self._carry_out(node, action)

    def _carry_out(self, node: int, action: object) -> None:
        if isinstance(action, SetTimer):
            self.at(action.fires_at, lambda: self._post(node, TimerFired(action.token)))
        elif isinstance(action, StartAttempt):
            self._send(self.requests[action.request_id], self.workers[action.worker])
        elif isinstance(action, CancelAttempt):
            self._end(self.requests[action.request_id].attempts[action.attempt_number], Outcome.CANCELLED)
        elif isinstance(action, RejectRequest | FailRequest):
            request = self.requests[action.request_id]
            if isinstance(action, RejectRequest) and not self._may_refuse(request):
                raise RuleBrokenError(f"request {request.id}: rejected though it may have run")
            self._answer(request, served=False)

    @staticmethod
    def _may_refuse(request: ModelledRequest) -> bool:
        cls = request.cls
        harmless = cls.effect == Effect.SAFE or (cls.effect == Effect.KEYED and cls.scope == Scope.ALL)
        return harmless or not any(attempt.may_have_run for attempt in request.attempts)

    def _send(self, request: ModelledRequest, worker: ModelledWorker) -> None:
        self._check_send(request, worker)
        attempt = ModelledAttempt(request, len(request.attempts), worker, self.now, worker.entry)
        request.attempts.append(attempt)
        self.at(self.now + self.load.round_trip / 2.0, lambda: self._receive(attempt))
        self.at(request.due, lambda: self._end(attempt, Outcome.TIMEOUT))

    def _check_send(self, request: ModelledRequest, worker: ModelledWorker) -> None:
        cls, settings = request.cls, self.settings
        ran = [attempt for attempt in request.attempts if attempt.may_have_run]
        if request.answered is not None or self.now > request.due:
            raise RuleBrokenError(f"request {request.id}: sent after its end")
        if worker.entry.state != EndpointState.READY:
            raise RuleBrokenError(f"request {request.id}: sent to a worker that drains")
        if len(request.attempts) >= settings.max_attempts:
            raise RuleBrokenError(f"request {request.id}: too many attempts")
        if any(attempt.open for attempt in request.attempts) and not settings.hedging_allowed:
            raise RuleBrokenError(f"request {request.id}: two attempts out")
        if ran and cls.effect == Effect.UNSAFE:
            raise RuleBrokenError(f"request {request.id}: sent again though it may have run")
        if ran and cls.effect == Effect.KEYED:
            first = ran[0]
            in_zone = cls.scope != Scope.ZONE or worker.entry.zone == first.entry.zone
            in_cell = cls.scope != Scope.CELL or worker.entry.cell == first.entry.cell
            if self.now > first.sent + cls.repeat_window_ms or not (in_zone and in_cell):
                raise RuleBrokenError(f"request {request.id}: outside its window or group")
        self._check_budget(worker)

    def _check_budget(self, worker: ModelledWorker) -> None:
        """Rule 4, with the slack that the standing test leaves to counts of whole requests."""
        settings = self.settings
        age = self.now - worker.entry.ready_at
        worker.received.append(self.now)
        window_start = max(
            self.now - settings.recovery_ramp_ms, worker.entry.ready_at
        )  # an earlier process is gone
        while worker.received and worker.received[0] <= window_start:
            worker.received.popleft()
        if worker.entry.ready_at == 0.0 or age >= settings.slow_start_window_ms:
            return
        share = (
            settings.slow_start_share
            + (1.0 - settings.slow_start_share) * age / settings.slow_start_window_ms
        )
        rate = self.load.slots / self.load.run  # that a warm worker can bear at the most
        allowed = settings.recovery_ramp_multiple * share * rate * settings.recovery_ramp_ms
        slack = 2.0 * sqrt(allowed) + 2.0 if allowed >= 30.0 else 3.0 * sqrt(allowed) + 3.0
        if len(worker.received) > allowed + slack:
            raise RuleBrokenError(
                f"{len(worker.received)} requests to a warming worker, {allowed:.1f} allowed"
            )

    # Workers.

    def _receive(self, attempt: ModelledAttempt) -> None:
        worker = attempt.worker
        if not attempt.open:
            return
        if worker.down:
            self._end_later(attempt, Outcome.CONNECT_FAILED)
        elif worker.hung or len(worker.queue) + len(worker.running) < worker.slots + worker.queue_size:
            worker.queue.append(attempt)
            self._start(worker)
        else:
            self._end_later(attempt, Outcome.FULL)

    def _start(self, worker: ModelledWorker) -> None:
        while worker.queue and len(worker.running) < worker.slots and not worker.hung:
            attempt = worker.queue.popleft()
            attempt.running = True
            worker.running.append(attempt)
            self._tell_start(attempt)
            self.at(self.now + self.load.run, partial(self._complete, attempt))

    def _tell_start(self, attempt: ModelledAttempt) -> None:
        if self.settings.workers_report_start:
            self.at(self.now + self.load.round_trip / 2.0, lambda: self._note(attempt, ProgressKind.STARTED))
        if self.settings.progress_interval_ms:
            self.at(self.now + self.settings.progress_interval_ms, lambda: self._progress(attempt))

    def _progress(self, attempt: ModelledAttempt) -> None:
        if attempt.open and attempt.running and not attempt.worker.hung:
            self._note(attempt, ProgressKind.SHARE_DONE)
            self.at(self.now + self.settings.progress_interval_ms, lambda: self._progress(attempt))

    def _note(self, attempt: ModelledAttempt, kind: ProgressKind) -> None:
        if attempt.open:
            request, worker = attempt.request, attempt.worker
            self._post(
                request.node, AttemptProgressed(request.id, attempt.number, worker.entry.worker, kind, 0.5)
            )

    def _complete(self, attempt: ModelledAttempt) -> None:
        worker = attempt.worker
        if attempt in worker.running and not worker.hung:
            worker.running.remove(attempt)
            worker.ended += 1
            self._end_later(attempt, Outcome.OK)
            self._start(worker)

    def _end_later(self, attempt: ModelledAttempt, outcome: Outcome) -> None:
        self.at(self.now + self.load.round_trip / 2.0, lambda: self._end(attempt, outcome))

    def _end(self, attempt: ModelledAttempt, outcome: Outcome) -> None:
        if not attempt.open:
            return
        attempt.open = False
        attempt.may_have_run = outcome not in NEVER_RAN
        request, worker = attempt.request, attempt.worker
        if attempt in worker.queue:
            worker.queue.remove(attempt)
        if outcome == Outcome.OK and request.answered is None:
            self._answer(request, served=True)
        final = request.answered is not None
        elapsed = self.now - attempt.sent
        number = worker.entry.worker
        self._post(request.node, AttemptEnded(request.id, attempt.number, number, outcome, elapsed, final))
