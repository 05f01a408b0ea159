"""Durable requests in the loop: joins fronts, exchange and commit thread, and knows no wire.

States of a request, as this process sees it:

    accepting   it is being recorded; waiters join once it is known whose it is
    owned       the exchange has it: attempts are claimed before they begin, its answer is recorded before
                anybody hears it
    elsewhere   another incarnation has it: its waiters wait for the answer, wherever it comes to be

A front brings it to accepting, the commit thread's outcome to owned or elsewhere. A takeover brings it from
elsewhere to owned; the end of this incarnation, from owned to elsewhere.
When its waiters have left, an attempt that is out goes on and its result is kept; nothing more is begun.

What must never happen: an answer is passed on that is not recorded, but for one at the very end of a
client's time that promises nothing, and one that the disk refuses, which is recorded once the disk takes it;
an attempt begins under the claim of an incarnation that is over.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from typing import Any

from eiderfield.durable_requests.claims import (
    RETRY_INTERVAL,
    RETRY_INTERVAL_MOST,
    AttemptClaims,
    Go,
)
from eiderfield.durable_requests.commit_thread import CallInLoop, CommitThread
from eiderfield.durable_requests.errors import DurableRequestsError
from eiderfield.durable_requests.member import Member
from eiderfield.durable_requests.messages import (
    Accept,
    Accepted,
    AlreadyAccepted,
    AlreadyFinal,
    Conflict,
    Find,
    Finish,
    Found,
    NotOwned,
    NotWritten,
    Outcome,
    RequestEnd,
    Written,
)
from eiderfield.durable_requests.record import AttemptRecord, Record, record_of, request_of
from eiderfield.durable_requests.settings import DurableRequestSettings
from eiderfield.durable_requests.waiters import Answered, Waiter
from eiderfield.exchange import (
    Answer,
    Attempt,
    Exchange,
    PendingRequest,
    Request,
    RequestState,
    Timers,
    Verdict,
)
from eiderfield.idmap import IdMap
from eiderfield.interface import Effect, Endpoint
from eiderfield.machine import steady_ms

EARLY = 20.0  # ms before its time is over that a request is decided, so that its answer can be recorded
RETRY_AFTER = 1000.0  # ms after which somebody may come again whose request cannot be recorded
ANSWER_TRIES = 3  # of recording an answer that was refused, before a served one is passed on without

EarlierAttempts = tuple[tuple[Endpoint, float], ...]  # their workers, and when they were sent


@dataclass(slots=True, eq=False)
class OwnedRequest:
    """A request that is being accepted, or owned, by this process."""

    cls: int
    number: int = 0  # the exchange's, 0 while it is being recorded
    waiters: list[Waiter] = field(default_factory=list)
    tries: int = 0
    is_accepting: bool = True  # it is not known yet whose it is

    @property
    def is_waited_for(self) -> bool:
        """Whether somebody waits for its answer, or may come again: one taken over has no waiter yet."""
        return not self.waiters or any(not waiter.is_done for waiter in self.waiters)


class DurableRequestCoordinator:
    """The durable requests of one process, for its fronts and its exchange."""

    def __init__(
        self,
        settings: DurableRequestSettings,
        name: str,
        exchange: Exchange,
        ids: IdMap,
        timers: Timers,
        clock: Callable[[], float],
        call_in_loop: CallInLoop,
        log: Callable[[str], None],
    ) -> None:
        """Opens the folder; `FolderError` if only an operator can make that possible."""
        classes = exchange.settings.classes
        self.settings = settings
        self._exchange = exchange
        self._ids = ids
        self._timers = timers
        self._clock = clock
        self._log = log
        self._class_names = [cls.name for cls in classes]
        self.member = Member(settings, name, {cls.name: cls.priority_weight for cls in classes}, log)
        self.thread = CommitThread(self.member, self, call_in_loop, settings.most_waiting)
        self._claims = AttemptClaims(self.thread, timers, clock, lambda id_: self.on_end_requested([id_]))
        self._owned: dict[str, OwnedRequest] = {}
        self._elsewhere: dict[str, list[Waiter]] = {}  # who waits for requests that are not here
        exchange.durable_requests = self

    def begin(self) -> None:
        """Begins an incarnation, now or, where the disk may take it in a while, later: until then no request
        is accepted. `FolderError` or `StoreError` for what only an operator can mend."""
        try:
            self.member.begin()
        except DurableRequestsError as error:
            if not error.transient:
                raise
            self._log(f"durable requests: no life could be begun, and none is accepted until one is: {error}")

    def start(self) -> None:
        """Begins to write, and to watch the others."""
        self.thread.start()

    def close(self) -> None:
        """Ends: what is left is the others' once this process is gone."""
        self.thread.close()

    def keeps(self, cls: int) -> bool:
        """Whether requests of a class are durable."""
        return cls in self.settings.classes

    @property
    def idle(self) -> bool:
        """Whether nothing is left to write or to answer."""
        return not self._owned and not self.thread.waiting

    @property
    def full(self) -> bool:
        """Whether no new request is to be brought."""
        return self.thread.full or self.member.has_left

    def leave(self) -> None:
        """The end is near: what is left here is given to the others at once, but while an attempt is out that
        may not be repeated, for its answer may still come."""
        if not self._owned:
            return
        classes = self._exchange.settings.classes
        attempts = self._claims.open_attempts
        if any(classes[attempt.pending.request.class_index].effect == Effect.UNSAFE for attempt in attempts):
            self._timers.at(self._clock() + RETRY_AFTER, self.leave)
        else:
            self.thread.leave(self._on_left)

    def _on_left(self, left: bool) -> None:
        if left:
            self._log(f"durable requests: left; {len(self._owned)} requests are the others' now")
            self.on_incarnation_over()

    def figures(self) -> dict[str, Any]:
        """What the console says."""
        counters, member = self.member.counters, self.member
        return {
            "life": member.incarnation,
            "members": member.member_count,
            "held": len(self._owned),
            "askers_elsewhere": sum(map(len, self._elsewhere.values())),
            "awaiting": member.pending_takeovers,
            "unwritten": self.thread.waiting,
            "accepted": counters.accepted,
            "joined": counters.joined,
            "refused": counters.refused,
            "claims_refused": counters.claims_refused,
            "taken_over": counters.taken_over,
            "expired": counters.expired,
            "fenced": counters.fenced,
            "fences": counters.fences,
            "lost_answers": counters.lost_answers,
            "commits": counters.commits,
            "commits_failed": counters.commits_failed,
            "slowest_commit_ms": round(counters.slowest_commit, 3),
        }

    # Fronts.

    def take(
        self,
        request: Request,
        told: Answered,
        front: str = "platform",
        taken: Callable[[], None] = lambda: None,
    ) -> Callable[[], None]:
        """Accepts a request, or joins its client to it. `told` is called once with the answer, `taken` as
        soon as the request is recorded, here or elsewhere. Returns what to call when the client has gone."""
        waiter = Waiter(request, told, front, taken)
        is_here = request.id in self._owned
        if not is_here and self.full and not self._is_known(request.id):
            self.member.counters.refused += 1
            waiter.answer(Answer(Verdict.DECLINED, retry_after=RETRY_AFTER))
            return lambda: None
        waiter.timer = self._timers.at(request.deadline - EARLY / 4.0, partial(self._on_late, waiter))
        if not is_here and self.full:
            self._wait_elsewhere(request.id, waiter)
        else:
            self._accept(waiter)
        return partial(self._on_gone, waiter)

    def _is_known(self, id_: str) -> bool:
        """Whether somebody has taken an id: one look at a link. What cannot be looked for may be known."""
        try:
            return self.member.folder.ids.holder(id_) is not None
        except OSError:
            return True

    def find(self, id_: str, then: Callable[[Record | None], None]) -> None:
        """What is recorded of a request, wherever it is; `then` is called once, later."""
        self.thread.write(Find(id_), lambda outcome: then(_record_found(outcome)))

    def wait(self, id_: str, until: float, told: Answered) -> Callable[[], None]:
        """Waits for a request's answer, wherever it is; `told` hears a failure at `until`. Returns what to
        call when nobody waits any more."""
        waiter = Waiter(Request(id_, -1, until, ""), told)
        waiter.timer = self._timers.at(until, partial(self._on_late, waiter))
        self._wait_elsewhere(id_, waiter)
        return partial(self._on_gone, waiter)

    def cancel(self, id_: str, then: Callable[[bool], None]) -> None:
        """Requests the end of a request, wherever it is. `then(False)` if that cannot be recorded; whether
        the request ends so, or as it would have, is what its answer says."""
        self.thread.write(RequestEnd(id_), lambda outcome: then(isinstance(outcome, Written)))
        self.on_end_requested([id_])  # where it is here, nothing more is begun for it

    def clock_of(self, at: float) -> float:
        """A monotonic time on the clock of this process."""
        return at - steady_ms() + self._clock()

    # Accepting.

    def _accept(self, waiter: Waiter) -> None:
        request = waiter.request
        name = self._class_names[request.class_index]
        record = record_of(request, name, self._clock(), steady_ms(), waiter.front)
        owned = self._owned.setdefault(request.id, OwnedRequest(request.class_index))
        self.thread.write(Accept(record), partial(self._on_accept_outcome, waiter, owned))

    def _on_accept_outcome(self, waiter: Waiter, owned: OwnedRequest, outcome: Outcome) -> None:
        id_ = waiter.request.id
        is_mine = self._owned.get(id_) is owned
        if isinstance(outcome, Accepted) and is_mine:
            owned.waiters.append(waiter)
            owned.is_accepting = False
            waiter.accepted()
            self._submit(waiter.request, owned)
            return
        joins_mine = isinstance(outcome, AlreadyAccepted) and outcome.id == id_ and is_mine
        if joins_mine and not owned.is_accepting:
            owned.waiters.append(waiter)
            self._count_joined(waiter)
            return
        if is_mine and owned.is_accepting:
            del self._owned[id_]
        self._pass_on(waiter, outcome)

    def _pass_on(self, waiter: Waiter, outcome: Outcome) -> None:
        """To a waiter whose request is not owned here."""
        match outcome:
            case AlreadyFinal(record):
                waiter.accepted()
                waiter.answer(record.answer)
            case Conflict():
                waiter.answer(Answer(Verdict.CONFLICT))
            case NotWritten(reason):
                self.member.counters.refused += 1
                self._log(f"durable requests: {waiter.request.id} is not accepted: {reason}")
                waiter.answer(Answer(Verdict.DECLINED, retry_after=RETRY_AFTER))
            case AlreadyAccepted(id_):
                self._count_joined(waiter)
                self._wait_elsewhere(id_, waiter)
            case _:  # accepted by an incarnation that is over: its successors have it
                self._wait_elsewhere(waiter.request.id, waiter)

    def _count_joined(self, waiter: Waiter) -> None:
        self.member.counters.joined += 1
        waiter.accepted()

    def _submit(self, request: Request, owned: OwnedRequest, earlier: EarlierAttempts = ()) -> None:
        early = replace(request, deadline=request.deadline - EARLY)
        try:
            owned.number = self._exchange.submit(early, lambda answer: None, durable=True, before=earlier)
        except ValueError:  # an attempt of its earlier time here is not over yet
            again = partial(self._submit_again, request, owned, earlier)
            self._timers.at(self._clock() + RETRY_INTERVAL, again)
        else:
            self._abandon_unless_waited_for(request.id)  # its client may have left meanwhile

    def _submit_again(self, request: Request, owned: OwnedRequest, earlier: EarlierAttempts) -> None:
        if self._owned.get(request.id) is not owned:
            return
        if self._clock() >= request.deadline - EARLY:
            answer = Answer(Verdict.FAILED, may_have_run=bool(earlier), attempts=len(earlier))
            self._finish(request.id, owned, answer, "its time was over")
        else:
            self._submit(request, owned, earlier)

    # Waiting.

    def _wait_elsewhere(self, id_: str, waiter: Waiter) -> None:
        """A waiter for a request that is elsewhere, or about to be."""
        if not waiter.is_done:
            self._elsewhere.setdefault(id_, []).append(waiter)
            self.thread.watch(id_)

    def on_answer(self, id_: str, record: Record | None) -> None:
        """A request that is waited for has its answer, or nothing is known of it any more."""
        for waiter in self._elsewhere.pop(id_, []):
            if waiter.is_done:
                continue
            if record is not None:
                waiter.answer(record.answer)
            elif waiter.request.class_index >= 0 and self._clock() < waiter.request.deadline - EARLY:
                self._accept(waiter)
            else:
                waiter.answer(Answer(Verdict.FAILED))

    def _on_late(self, waiter: Waiter) -> None:
        """Its time ends, and no answer is recorded: what may be said promises nothing."""
        waiter.answer(Answer(Verdict.FAILED, may_have_run=True))

    def _on_gone(self, waiter: Waiter) -> None:
        """A waiter's client has left."""
        waiter.stop()
        self._abandon_unless_waited_for(waiter.request.id)

    def _abandon_unless_waited_for(self, id_: str) -> None:
        """Begins nothing more for a request whose clients have all left.

        An attempt that is out goes on, and its result is kept for whoever asks again. Where none is out the
        request ends: rejected, which frees its id, unless an attempt may have run."""
        owned = self._owned.get(id_)
        if owned is None or not owned.number or owned.is_waited_for:
            return
        if self._exchange.request_state(owned.number) is not RequestState.HELD:
            return
        ended = self._exchange.cancel_request(owned.number)
        if ended is None:
            return
        if ended.may_have_run:
            answer = Answer(Verdict.FAILED, may_have_run=True, attempts=ended.attempts)
        else:
            answer = Answer(Verdict.DECLINED, retry_after=RETRY_AFTER, attempts=ended.attempts)
        self._finish(id_, owned, answer, "its clients have left")

    # The exchange.

    def claim(self, leg: Attempt, go: Go) -> None:
        """Records an attempt before it begins."""
        entry = self._exchange.endpoint(leg.worker)
        worker, zone = self._ids.name(leg.worker), self._ids.zone_name(entry.zone)
        self._claims.request(leg, AttemptRecord(leg.number, worker, zone, entry.cell, steady_ms()), go)

    def may_write(self, leg: Attempt) -> bool:
        """Whether a claimed attempt may still begin: somebody waits for it, and its claim holds."""
        owned = self._owned.get(leg.pending.request.id)
        is_waited_for = owned is None or owned.is_waited_for
        return is_waited_for and self._claims.allows(leg)

    def attempt_ended(self, leg: Attempt) -> None:
        """An attempt is over."""
        self._claims.end(leg)
        self._abandon_unless_waited_for(leg.pending.request.id)

    def finish(self, pending: PendingRequest, answer: Answer) -> None:
        """Records an answer; its waiters hear it after that."""
        owned = self._owned.get(pending.request.id)
        if owned is not None and owned.number == pending.id:
            self._finish(pending.request.id, owned, answer)

    def _finish(self, id_: str, owned: OwnedRequest, answer: Answer, reason: str = "") -> None:
        finish = Finish(id_, answer, reason)
        self.thread.write(finish, partial(self._on_finish_outcome, finish, owned))

    def _on_finish_outcome(self, finish: Finish, owned: OwnedRequest, outcome: Outcome) -> None:
        id_, answer = finish.id, finish.answer
        if self._owned.get(id_) is not owned:
            return
        if isinstance(outcome, NotWritten):
            owned.tries += 1
            if owned.tries < ANSWER_TRIES:
                again = partial(self._finish, id_, owned, answer, finish.reason)
                self._timers.at(self._clock() + RETRY_INTERVAL, again)
                return
            self._log(f"durable requests: the answer to {id_} is not written down yet: {outcome.reason}")
            if answer.verdict != Verdict.SERVED:  # a rejection that is not recorded promises too much
                answer = Answer(Verdict.FAILED, may_have_run=True, attempts=answer.attempts)
            self._record_later(Finish(id_, answer, finish.reason), RETRY_INTERVAL, outcome)
        del self._owned[id_]
        if isinstance(outcome, NotOwned):  # others have it: their answer is the one
            self.member.counters.lost_answers += 1
            for waiter in owned.waiters:
                self._wait_elsewhere(id_, waiter)
            return
        for waiter in owned.waiters:
            waiter.answer(answer)

    def _record_later(self, finish: Finish, pause: float, outcome: Outcome) -> None:
        """An answer that was passed on is recorded as soon as the disk takes it: until then the request would
        go on at a successor, and who asks for it again would wait."""
        if isinstance(outcome, NotWritten):
            longer = min(2.0 * pause, RETRY_INTERVAL_MOST)
            then = partial(self._record_later, finish, longer)
            self._timers.at(self._clock() + pause, partial(self.thread.write, finish, then))

    # Takeovers, ends that somebody requests, and the end of this incarnation.

    def on_taken_over(self, records: list[Record]) -> None:
        """Requests of lost incarnations are this one's from now on."""
        now, monotonic = self._clock(), steady_ms()
        for record in records:
            cls = self._class_names.index(record.cls) if record.cls in self._class_names else -1
            owned = OwnedRequest(cls, waiters=self._elsewhere.pop(record.id, []), is_accepting=False)
            self.thread.unwatch(record.id)
            self._owned[record.id] = owned
            if cls < 0 or record.due <= monotonic + EARLY:
                self._expire(record, owned)
                continue
            earlier = tuple(self._earlier(attempt, now - monotonic) for attempt in record.attempts)
            self._submit(request_of(record, cls, now, monotonic), owned, earlier)

    def _expire(self, record: Record, owned: OwnedRequest) -> None:
        self.member.counters.expired += 1
        reason = "its time was over" if owned.cls >= 0 else "its class is not known here"
        attempts = len(record.attempts)
        answer = Answer(Verdict.FAILED, may_have_run=attempts > 0, attempts=attempts)
        self._finish(record.id, owned, answer, reason)

    def _earlier(self, attempt: AttemptRecord, ahead: float) -> tuple[Endpoint, float]:
        worker = self._ids.worker(attempt.worker)
        known = self._exchange.endpoint(worker)
        entry = Endpoint(worker, self._ids.zone(attempt.zone), known.kind, attempt.cell, known.state)
        return entry, attempt.sent + ahead

    def on_end_requested(self, ids: list[str]) -> None:
        """Somebody requests the end of some requests."""
        for id_ in ids:
            owned = self._owned.get(id_)
            if owned is None or not owned.number:
                continue
            answer = self._exchange.cancel_request(owned.number)
            if answer is not None:  # else its answer is being recorded: that one wins
                self._finish(id_, owned, answer, "its end was asked for")

    def on_incarnation_over(self) -> None:
        """This process was taken for lost, or left: what it had is the others', who answer it."""
        for id_, owned in [each for each in self._owned.items() if not each[1].is_accepting]:
            del self._owned[id_]
            if owned.number:
                self._exchange.release_request(owned.number)
            for waiter in owned.waiters:
                self._wait_elsewhere(id_, waiter)
        self._claims.drop_all()


def _record_found(outcome: Outcome) -> Record | None:
    return outcome.record if isinstance(outcome, Found) else None
