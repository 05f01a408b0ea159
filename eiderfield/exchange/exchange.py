"""Owns requests and their attempts between the client side and the worker side; no I/O, no clock.

Fronts hand requests in with `submit` and get one final answer each. The worker side reports how attempts
fare. Whatever came in during a turn of the loop reaches the module in one call, `turn`.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from functools import partial
from math import log
from typing import Any

from eiderfield.exchange.protocols import DurableRequests, OtherProcess, PeerChannel, WorkerSide
from eiderfield.exchange.request import (
    Answer,
    Attempt,
    PendingRequest,
    Request,
    RequestState,
    Verdict,
    may_have_run,
)
from eiderfield.exchange.timers import Timers
from eiderfield.interface import (
    AWAY,
    HELD_UP,
    NEVER_RAN,
    REPEAT,
    STARTED,
    Action,
    AttemptEnded,
    AttemptProgressed,
    CancelAttempt,
    ClientDisconnected,
    CloseIdleConnections,
    Effect,
    Endpoint,
    EndpointListKind,
    EndpointState,
    EndpointsUpdated,
    Event,
    FailRequest,
    FetchEndpoints,
    LogMessage,
    Outcome,
    PeerReportReceived,
    ProbeCompleted,
    ProbeWorker,
    RejectRequest,
    RequestReceived,
    SendPeerReport,
    SetTimer,
    Settings,
    SiblingReportReceived,
    Snapshot,
    StartAttempt,
    TimerFired,
    WatchEndpoints,
)
from eiderfield.policy.dispatcher import Dispatcher

NAMED = 1000.0  # ms that this process stood still, from which on the log says so


class Exchange:
    """Where the client side and the worker side meet."""

    def __init__(
        self, site: Settings, seed: int, timers: Timers, wake: Callable[[], None], log: Callable[[str], None]
    ) -> None:
        self.settings = site
        self._dispatcher = Dispatcher(site, seed)
        self._timers = timers
        self._wake = wake
        self._log = log
        self._worker_side: WorkerSide | None = None
        self._pending: dict[int, PendingRequest] = {}
        self._ids: set[str] = set()  # of the requests that are not over or still have an attempt out
        self._last_id = 0
        self._news: list[Event] = []  # of the routing table: applied before anything else of the turn
        self._events: list[Event] = []
        self._out: dict[tuple[int, int], Attempt] = {}  # every attempt that is out, also of answered requests
        self._out_at: Counter[int] = Counter()  # how many of them at each worker
        self.other_process: OtherProcess | None = None
        self.durable_requests: DurableRequests | None = None
        self.peer_channel: PeerChannel | None = None
        self._other_process_ids: set[str] = set()  # those that the dispatcher's other process holds
        self._other_process_workers: set[int] = set()  # workers at which that process has attempts out
        self._table: dict[int, EndpointState] = {}
        self._entries: dict[int, Endpoint] = {}  # all that were ever listed, as they were last
        self.final_answers: Counter[tuple[int, Verdict]] = Counter()  # final answers so far, by class
        self.attempts_written = 0  # attempts whose last byte has left, so far
        self.served_within_objective: Counter[int] = Counter()  # by class, within the latency objective
        # By class: number of served requests, sum and sum of squares of ln(response time in ms).
        self.response_time_sums: dict[int, list[float]] = {}
        self.prevented_violations: Counter[str] = Counter()  # violations that a guard prevented, by rule
        self.malformed_responses = 0  # of workers, that could not be used, so far
        self.cancelled_attempts: Counter[str] = Counter()  # attempts given up before their end so far, by why
        self._new: list[PendingRequest] = []  # that came since the last turn
        self._served: list[PendingRequest] = []  # and that were served
        self._takers: dict[type[Action], Callable[[Any, float], None]] = {
            StartAttempt: self._send,
            CancelAttempt: self._cancel,
            RejectRequest: self._refuse,
            FailRequest: self._fail,
            SetTimer: self._set_timer,
            ProbeWorker: self._probe,
            CloseIdleConnections: self._close_idle,
            LogMessage: self._note,
            SendPeerReport: self._tell,
            WatchEndpoints: self._follow,
            FetchEndpoints: self._follow,
        }

    def attach_worker_side(self, worker_side: WorkerSide) -> None:
        """Joins the worker side."""
        self._worker_side = worker_side

    @property
    def knows_workers(self) -> bool:
        """Whether the routing table names a worker that may be sent to."""
        return EndpointState.READY in self._table.values()

    @property
    def unanswered(self) -> int:
        """How many requests still lack their final answer."""
        return len(self._pending)

    def snapshot(self, now: float) -> Snapshot:
        """What the module holds, and whom it avoids."""
        return self._dispatcher.snapshot(now)

    def check_settings(self, site: Settings) -> None:
        """Raises `ValueError`, which names the key, for what only a new process can take.

        Requests refer to classes and tenants by index, and load reports to columns, so these stay."""
        for key, name in (("classes", "classes"), ("projects", "tenants")):
            old, new = ([one.name for one in getattr(each, name)] for each in (self.settings, site))
            if old != new:
                raise ValueError(f"settings.{key} names others than at the start: {new}, not {old}")
        for key, name in (
            ("load_info.columns", "load_report_fields"),
            ("zones", "zone_count"),
            ("discovery", "subscribes_to_endpoints"),
            ("family_info.tells_start", "workers_report_start"),
            ("policy_limits.may_tell", "gossip_allowed"),
        ):
            if getattr(site, name) != getattr(self.settings, name):
                raise ValueError(f"settings.{key} takes effect at the next start alone")

    def apply_settings(self, site: Settings) -> None:
        """Takes new numbers, which fit. What came before keeps the class with which it came."""
        self._dispatcher.adopt(site)
        self.settings = site
        self._wake()

    # Fronts.

    def has_request(self, id_: str) -> bool:
        """Whether a request of this id is pending or still has an open attempt."""
        return id_ in self._ids or id_ in self._other_process_ids

    def submit(
        self,
        request: Request,
        answer: Callable[[Answer], None],
        durable: bool = False,
        before: Iterable[tuple[Endpoint, float]] = (),
        client_waits: Callable[[], bool] | None = None,
    ) -> int:
        """Takes a request. `answer` is called once, never before this returns.

        `client_waits` tells whether the client is still connected, also where its close has not been read.
        `before` are attempts that a dispatcher which is lost had begun: the worker as it was, and when.
        """
        if self.has_request(request.id):
            raise ValueError(f"request {request.id} is there already")
        self._ids.add(request.id)
        if self.other_process is not None:
            self.other_process.request_taken(request.id)
        self._last_id += 1
        pending = PendingRequest(self._last_id, request, answer, durable=durable, client_waits=client_waits)
        before = tuple(before)
        for number, (entry, sent) in enumerate(before):
            pending.attempts.append(
                Attempt(pending, number, entry.worker, sent, open=False, may_have_run=True)
            )
        self._pending[pending.id] = pending
        self._new.append(pending)
        a = request
        # The module answers just before the time ends; this guards against one that does not.
        pending.timer = self._timers.at(
            a.deadline + self.settings.answer_slack_ms, lambda: self._overdue(pending)
        )
        flags = REPEAT if a.is_client_retry else 0
        self._post(
            RequestReceived(
                pending.id,
                a.class_index,
                a.deadline,
                a.tenant_index,
                a.subject,
                0.0,
                a.slots,
                a.memory,
                flags,
                before,
            )
        )
        return pending.id

    def release_request(self, id_: int) -> None:
        """Ends a request that another dispatcher has taken over from this one: it is answered there."""
        if (pending := self._pending.get(id_)) is not None:
            self._finish(pending)
            for attempt in pending.attempts:
                self._stop(attempt, "taken over")
            self._post(ClientDisconnected(id_))

    def cancel_request(self, id_: int) -> Answer | None:
        """Ends a request that nobody waits for. None if it has its final answer already: that one wins."""
        pending = self._pending.get(id_)
        if pending is None:
            return None
        answer = Answer(
            Verdict.TERMINATED, may_have_run=may_have_run(pending), attempts=len(pending.attempts)
        )
        self._finish(pending)
        for attempt in pending.attempts:
            self._stop(attempt, "nobody waits")
        self._post(ClientDisconnected(id_))
        return answer

    def request_state(self, id_: int) -> RequestState | None:
        """Where a request stands, None once it has its final answer."""
        pending = self._pending.get(id_)
        if pending is None:
            return None
        if not any(attempt.open for attempt in pending.attempts):
            return RequestState.HELD
        return (
            RequestState.RUNNING
            if pending.running or not self.settings.workers_report_start
            else RequestState.OUT
        )

    # The dispatcher's other process, while one hands over to the next.

    @property
    def request_ids(self) -> list[str]:
        """The ids that may not be taken again yet."""
        return list(self._ids)

    @property
    def open_attempts_per_worker(self) -> dict[int, int]:
        """How many attempts are out at each worker."""
        return {worker: out for worker, out in self._out_at.items() if out}

    def memory(self) -> dict[str, Any]:
        """What the module has learnt and spent, in plain values."""
        return self._dispatcher.memory()

    def resume(self, memory: dict[str, Any], now: float) -> None:
        """Goes on from the memory of another process. What can't be read of it is left."""
        self.turn(now)  # the list first
        try:
            self._dispatcher.resume(memory)
        except (ValueError, TypeError, LookupError, AttributeError) as error:
            self._log(f"what the process before had learnt is not taken: {error!r}")

    def update_other_process_ids(self, came: Iterable[str], went: Iterable[str]) -> None:
        """The other process took requests, or let ids go."""
        self._other_process_ids.update(came)
        self._other_process_ids.difference_update(went)

    def update_other_process_attempts(self, worker: int, out: int, work: float) -> None:
        """The other process has so many attempts out at a worker and has just sent it so much work."""
        (self._other_process_workers.add if out else self._other_process_workers.discard)(worker)
        self._post(SiblingReportReceived(worker, out, work))

    def other_process_ended(self) -> None:
        """There is no other process any more."""
        self.other_process = None
        self._other_process_ids.clear()
        for worker in list(self._other_process_workers):
            self.update_other_process_attempts(worker, 0, 0.0)

    # Worker side and routing table.

    def update_endpoints(self, kind: EndpointListKind, version: int, entries: tuple[Endpoint, ...]) -> None:
        """News of the routing table; binding at once for every attempt that has not begun to be written."""
        if kind != EndpointListKind.DELTA:
            self._table = dict.fromkeys(self._table, EndpointState.GONE)
        self._table.update((entry.worker, entry.state) for entry in entries)
        self._entries.update((entry.worker, entry) for entry in entries)
        self._news.append(EndpointsUpdated(kind, version, entries))
        self._wake()

    def may_write(self, attempt: Attempt, now: float) -> bool:
        """Whether an attempt whose connection is up may still begin.

        A connection may come up late and this process be held up since the attempt was decided: meanwhile a
        drain may have been told, the client have left, its time or the window for repeats have ended.
        """
        pending = attempt.pending
        if not attempt.open or pending.answered or self._table.get(attempt.worker) != EndpointState.READY:
            return False
        if now > self._begin_by(attempt) or (pending.client_waits is not None and not pending.client_waits()):
            return False
        return (
            not pending.durable or self.durable_requests is None or self.durable_requests.may_write(attempt)
        )

    def _begin_by(self, attempt: Attempt) -> float:
        """When an attempt must have begun at the latest.

        That is in its client's time and, where an attempt before it may have run, within the window in which
        workers discard the repeat of a keyed request.
        """
        request = attempt.pending.request
        cls = self.settings.classes[request.class_index]
        if cls.effect != Effect.KEYED:
            return request.deadline
        ran = [
            other.sent for other in attempt.pending.attempts if other is not attempt and other.may_have_run
        ]
        return min([request.deadline, *[sent + cls.repeat_window_ms - HELD_UP for sent in ran]])

    def endpoint(self, worker: int) -> Endpoint:
        """A worker as the list told it last; one of no place, and gone, where it never did."""
        return self._entries.get(worker, Endpoint(worker, state=EndpointState.GONE))

    def request_written(self, attempt: Attempt) -> None:
        """The attempt's last byte has left."""
        attempt.may_have_run = True
        self.attempts_written += 1

    def record_progress(self, attempt: Attempt, what: int, share: float = 0.0) -> None:
        """A worker told of a start or of progress."""
        if attempt.open:
            attempt.pending.running = attempt.pending.running or what == STARTED
            self._post(AttemptProgressed(attempt.pending.id, attempt.number, attempt.worker, what, share))

    def record_result(self, attempt: Attempt, result: bytes, load: tuple[float, ...] = ()) -> None:
        """A worker gave the whole result: the first one is the final answer. `load` is its report, if any."""
        if not attempt.open:
            return
        pending = attempt.pending
        if not pending.answered:
            self._finish(
                pending, Answer(Verdict.SERVED, result, may_have_run=True, attempts=len(pending.attempts))
            )
        self.attempt_ended(attempt, Outcome.OK, load)

    def record_malformed_response(self, worker: int, why: str) -> None:
        """A worker's answer cannot be read, or is not about what it was asked."""
        self.malformed_responses += 1
        self._log(f"worker {worker}: an answer cannot be used: {why}")

    def record_rejection(self, attempt: Attempt) -> None:
        """Record that a worker rejected the request itself: the worker is healthy, a retry is useless."""
        if not attempt.open:
            return
        pending = attempt.pending
        if not pending.answered:
            self._finish(
                pending,
                Answer(Verdict.REJECTED, may_have_run=may_have_run(pending), attempts=len(pending.attempts)),
            )
        self.attempt_ended(attempt, Outcome.ERROR)

    def attempt_ended(self, attempt: Attempt, outcome: Outcome, load: tuple[float, ...] = ()) -> None:
        """An attempt is over. `load` is the report that came with its end, if any."""
        if not attempt.open:
            return
        attempt.open = False
        self._let_go(attempt.pending)
        if self._out.pop((attempt.pending.id, attempt.number), None) is not None:
            self._count_out(attempt.worker, -1)
        attempt.may_have_run = attempt.may_have_run and outcome not in NEVER_RAN
        attempt.pending.running = False
        if attempt.pending.durable and self.durable_requests is not None:
            self.durable_requests.attempt_ended(attempt)
        if attempt.timer is not None:
            attempt.timer.cancel()
        # The time that it took is filled in at the turn, which alone knows the clock.
        ended = AttemptEnded(
            attempt.pending.id,
            attempt.number,
            attempt.worker,
            outcome,
            attempt.sent,
            attempt.pending.answered,
            0,
            load,
        )
        self._post(ended)

    def probe_completed(
        self, worker: int, outcome: Outcome, elapsed: float, load: tuple[float, ...] = ()
    ) -> None:
        """A worker's answer to a probe."""
        self._post(ProbeCompleted(worker, outcome, elapsed, load))

    def peer_report_received(self, peer: int, data: bytes) -> None:
        """Another dispatcher of the tier said something to this one."""
        self._post(PeerReportReceived(peer, data))

    def process_resumed(self, span: float) -> None:
        """This process was stopped, or got no processor, for `span` ms, and has read what came meanwhile.

        From what it did not hear nothing follows: the silence of workers with an attempt counts from now.
        """
        if span >= NAMED:
            self._log(f"this process stood still for {span:.0f} ms")
        for attempt in self._out.values():
            self._post(AttemptProgressed(attempt.pending.id, attempt.number, attempt.worker, AWAY, 0.0))

    # The turn.

    def turn(self, now: float) -> None:
        """Hands what came in to the module, in one call, and carries out what it decides."""
        events, self._news, self._events = self._news + self._events, [], []
        for event in events:
            if isinstance(event, AttemptEnded):
                event.elapsed = now - event.elapsed
            elif isinstance(event, AttemptProgressed) and event.what == STARTED and event.id in self._pending:
                pending = self._pending[event.id]
                pending.started_at = pending.started_at or now
        self._date(now)
        for action in self._dispatcher.handle(now, events):
            try:
                self._takers[type(action)](action, now)
            except Exception as error:  # a port that fails must not take the turn's other actions along
                self._log(f"{type(action).__name__} failed: {error!r}")

    def _date(self, now: float) -> None:
        """Dates what came since the last turn, and counts what was served within its class's aim."""
        for pending in self._new:
            pending.received_at = now
        self._new.clear()
        for pending in self._served:
            cls = self.settings.classes[pending.request.class_index]
            ran = now - pending.started_at if pending.started_at else 0.0
            took = log(max(1.0, now - pending.received_at))
            moments = self.response_time_sums.setdefault(pending.request.class_index, [0, 0.0, 0.0])
            moments[:] = moments[0] + 1, moments[1] + took, moments[2] + took * took
            if now - pending.received_at <= cls.latency_objective_ms + cls.objective_stretch * ran:
                self.served_within_objective[pending.request.class_index] += 1
        self._served.clear()

    def _post(self, event: Event) -> None:
        self._events.append(event)
        self._wake()

    def _send(self, action: StartAttempt, now: float) -> None:
        pending = self._pending.get(action.id)
        if pending is None or self._worker_side is None:
            self._log(f"an attempt of request {action.id}, which is over, was not sent")
            return
        attempt = Attempt(pending, len(pending.attempts), action.worker, now)
        out = any(other.open for other in pending.attempts)
        pending.attempts.append(attempt)
        pending.started_at = 0.0  # an attempt before this one may have begun it
        # Guards the wire against a module that errs: it hears that the attempt was never sent.
        if len(pending.attempts) > self.settings.max_attempts or (out and not self.settings.hedging_allowed):
            self.prevented_violations["attempts"] += 1
            self.attempt_ended(attempt, Outcome.MOOT)
            return
        due = pending.request.deadline
        end = min(due, now + action.timeout) if action.timeout > 0.0 else due
        self._out[pending.id, attempt.number] = attempt
        self._count_out(attempt.worker, 1, action.work)
        attempt.timer = self._timers.at(end, lambda: self._stop(attempt, "timed out", Outcome.TIMEOUT))
        if pending.durable and self.durable_requests is not None:
            self.durable_requests.claim(attempt, partial(self._claimed, attempt))
        else:
            self._worker_side.start(attempt)

    def _claimed(self, attempt: Attempt, may: bool) -> None:
        """A kept request's attempt has been written down and may begin, or may not."""
        if attempt.open and self._worker_side is not None:
            if may:
                self._worker_side.start(attempt)
            else:
                self.attempt_ended(attempt, Outcome.MOOT)

    def _count_out(self, worker: int, more: int, work: float = 0.0) -> None:
        self._out_at[worker] += more
        if self.other_process is not None:
            self.other_process.attempts_changed(worker, self._out_at[worker], work)

    def _cancel(self, action: CancelAttempt, now: float) -> None:
        if (attempt := self._out.get((action.id, action.attempt))) is not None:
            self._stop(attempt, "decided")

    def _stop(self, attempt: Attempt, why: str, outcome: Outcome = Outcome.CANCELLED) -> None:
        """Gives an attempt up. One whose last byte had not left is known never to have run."""
        if attempt.open and self._worker_side is not None:
            self.cancelled_attempts[why] += 1
            self._worker_side.stop(attempt)
            self.attempt_ended(attempt, outcome if attempt.may_have_run else Outcome.MOOT)

    def _refuse(self, action: RejectRequest, now: float) -> None:
        if (pending := self._pending.get(action.id)) is not None:
            ran = may_have_run(pending)
            self._finish(
                pending, Answer(Verdict.DECLINED, b"", action.retry_after, ran, len(pending.attempts))
            )

    def _fail(self, action: FailRequest, now: float) -> None:
        if (pending := self._pending.get(action.id)) is not None:
            self._finish(
                pending,
                Answer(Verdict.FAILED, may_have_run=may_have_run(pending), attempts=len(pending.attempts)),
            )

    def _set_timer(self, action: SetTimer, now: float) -> None:
        self._timers.at(action.at, lambda: self._post(TimerFired(action.token)))

    def _probe(self, action: ProbeWorker, now: float) -> None:
        if self._worker_side is not None:
            self._worker_side.probe(action.worker)

    def _close_idle(self, action: CloseIdleConnections, now: float) -> None:
        if self._worker_side is not None:
            self._worker_side.close_idle(action.worker)

    def _note(self, action: LogMessage, now: float) -> None:
        self._log(action.text)

    def _tell(self, action: SendPeerReport, now: float) -> None:
        if self.peer_channel is not None:
            self.peer_channel.tell(action.peer, action.data)

    def _follow(self, action: WatchEndpoints | FetchEndpoints, now: float) -> None:
        """Nothing: on sockets the routing table is followed from the start, asked for or not."""

    # Ends.

    def _finish(self, pending: PendingRequest, answer: Answer | None = None) -> None:
        """The one place where a request gets its final answer, or ends without one."""
        pending.answered = True
        del self._pending[pending.id]
        self._let_go(pending)
        if pending.timer is not None:
            pending.timer.cancel()
        if answer is not None:
            self.final_answers[pending.request.class_index, answer.verdict] += 1
            if answer.verdict is Verdict.SERVED:
                self._served.append(pending)
            if pending.durable and self.durable_requests is not None:
                self.durable_requests.finish(pending, answer)
            else:
                pending.answer(answer)

    def _let_go(self, pending: PendingRequest) -> None:
        if pending.answered and not any(attempt.open for attempt in pending.attempts):
            self._ids.discard(pending.request.id)
            if self.other_process is not None:
                self.other_process.id_released(pending.request.id)

    def _overdue(self, pending: PendingRequest) -> None:
        if not pending.answered:
            self._log(f"request {pending.id} had no answer when its time ended")
            self.prevented_violations["answered"] += 1
            self._fail(FailRequest(pending.id), 0.0)
            for attempt in pending.attempts:
                self._stop(attempt, "timed out")
            self._post(ClientDisconnected(pending.id))
