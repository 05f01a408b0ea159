"""Custody in the loop: joins fronts, exchange and writer, and knows no wire.

Theory of operation. An asker brings a request of a kept class. It is written down before the exchange
hears of it (`accept`); each leg is written down before its first byte leaves (`claim`); the answer is written
down before anybody is told it (`finish`). An asker for a job that is somewhere already waits for its answer,
wherever it comes to be. When its askers have left, an attempt that is out goes on and its result is kept, and
nothing more is begun (`_abandon_unless_waited_for`).

Jobs of lost dispatchers come in with `adopted` and go through the same exchange and the same decisions. When
this process is the one that was taken for lost (`lost`), all its kept jobs are the others': their legs are
called off, and their askers wait for the others' answers.

What must never happen: an answer told that is not written down, but for one at the very end of a client's
time that promises nothing; a leg begun under a claim of a life that is over.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from eiderfield.durable_requests.folder import FolderError
from eiderfield.durable_requests.member import (
    Accept,
    Claim,
    Claimed,
    Conflict,
    EndRequested,
    Find,
    Finish,
    Found,
    Joined,
    Member,
    Outcome,
    Over,
    Refused,
    Taken,
    Unclaim,
    Wish,
)
from eiderfield.durable_requests.record import LegNote, Record, record_of, request_of
from eiderfield.durable_requests.settings import Custody
from eiderfield.durable_requests.store import StoreError
from eiderfield.durable_requests.writer import Call, Writer
from eiderfield.exchange import Answer, Exchange, Job, Leg, Request, Standing, Timer, Timers, Verdict
from eiderfield.idmap import IdMap
from eiderfield.interface import Effect, Entry
from eiderfield.machine import steady_ms

EARLY = 20.0  # ms before its time is over that a kept job is decided, so that its answer can be written down
REST = 1000.0  # ms after which somebody may come again whose job cannot be written down
TRIES = 3  # of writing an answer that was refused, before a served one is told without
AGAIN = 30.0  # ms between them
AGAIN_MOST = 1000.0  # ms to which that grows while the disk refuses

Told = Callable[[Answer], None]


@dataclass(slots=True, eq=False)
class Asker:
    """Somebody who waits for a job's answer."""

    request: Request
    told: Told
    front: str = "platform"
    taken: Callable[[], None] = lambda: None  # called once the job is written down
    timer: Timer | None = None
    over: bool = False

    def tell(self, answer: Answer) -> None:
        """Tells the answer, once."""
        if not self.over:
            self.over = True
            if self.timer is not None:
                self.timer.cancel()
            self.told(answer)


@dataclass(slots=True, eq=False)
class Held:
    """A kept job of this process."""

    cls: int
    number: int = 0  # the exchange's, 0 while it is being written down
    askers: list[Asker] = field(default_factory=list)
    tries: int = 0
    asked: bool = True  # whether it is not known yet if the job is this process's

    @property
    def waited_for(self) -> bool:
        """Whether somebody waits for its answer, or may come again: one taken over has no asker yet."""
        return not self.askers or any(not asker.over for asker in self.askers)


class Keeper:
    """The custodian of one process, and its fronts' way to it."""

    def __init__(
        self, settings: Custody, name: str, exchange: Exchange, ids: IdMap, timers: Timers,
        clock: Callable[[], float], call: Call, log: Callable[[str], None],
    ) -> None:  # fmt: skip
        classes = exchange.site.classes
        self.settings = settings
        self._exchange, self._ids, self._timers, self._clock, self._log = exchange, ids, timers, clock, log
        self._names = [cls.name for cls in classes]
        self.member = Member(settings, name, {cls.name: cls.worth for cls in classes}, log)
        self._writer = Writer(self.member, call, settings.queue_most)
        self._writer.adopted, self._writer.answered = self._adopted, self._answered
        self._writer.lost, self._writer.wished = self._lost, self._wished
        self._held: dict[str, Held] = {}
        self._elsewhere: dict[str, list[Asker]] = {}  # who waits for jobs that are not here
        self._claims: dict[Leg, str] = {}  # the life that claimed a leg which is out
        exchange.custodian = self

    def begin(self) -> None:
        """Begins a life, now or, where the disk may take it in a while, later: until then no job is taken.
        Raises `FolderError` or `StoreError` for what only an operator can mend."""
        try:
            self.member.begin()
        except (FolderError, StoreError) as error:
            if not error.transient:
                raise
            self._log(f"custody: no life could be begun, and no job is taken until one is: {error}")

    def start(self) -> None:
        """Begins to write, and to look at the others."""
        self._writer.start()

    def close(self) -> None:
        """Ends: what is left is the others' once this process is gone."""
        self._writer.close()

    def keeps(self, cls: int) -> bool:
        """Whether jobs of a class are kept."""
        return cls in self.settings.classes

    @property
    def idle(self) -> bool:
        """Whether nothing is left to write or to answer."""
        return not self._held and not self._writer.waiting

    def leave(self) -> None:
        """The end is near: what is left here is given to the others at once, but while a leg is out that may
        not be repeated, for its answer may still come."""
        legs = [leg for leg in self._claims if leg.open]
        classes = self._exchange.site.classes
        if self._held and any(classes[leg.job.request.cls].effect == Effect.UNSAFE for leg in legs):
            self._timers.at(self._clock() + REST, self.leave)
        elif self._held:
            self._writer.leave(self._has_left)

    def _has_left(self, left: bool) -> None:
        if left:
            self._log(f"custody: left; {len(self._held)} jobs are the others' now")
            self._lost()

    def figures(self) -> dict[str, Any]:
        """What the console says."""
        counts, member = self.member.counts, self.member
        return {
            "life": member.life, "members": member.members, "held": len(self._held),
            "askers_elsewhere": sum(map(len, self._elsewhere.values())), "awaiting": member.awaiting,
            "unwritten": self._writer.waiting, "accepted": counts.accepted, "joined": counts.joined,
            "refused": counts.refused, "claims_refused": counts.claims_refused,
            "taken_over": counts.taken_over, "expired": counts.expired, "fenced": counts.fenced,
            "fences": counts.fences, "lost_answers": counts.lost_answers, "commits": counts.written,
            "commits_failed": counts.failed, "slowest_commit_ms": round(counts.slowest, 3),
        }  # fmt: skip

    # Fronts.

    def take(
        self, request: Request, told: Told, front: str = "platform",
        taken: Callable[[], None] = lambda: None,
    ) -> Callable[[], None]:  # fmt: skip
        """Takes a job, or joins its asker to it. `told` is called once with the answer, `taken` as soon as
        the job is written down, here or elsewhere. Returns what to call when the asker has gone."""
        asker = Asker(request, told, front, taken)
        held = self._held.get(request.id)
        if held is None and self.full and not self._is_known(request.id):
            self.member.counts.refused += 1
            asker.tell(Answer(Verdict.DECLINED, retry_after=REST))
            return lambda: None
        asker.timer = self._timers.at(request.due - EARLY / 4.0, partial(self._late, asker))
        if held is None and self.full:
            self._wait(request.id, asker)
        else:
            self._ask(asker)
        return partial(self._gone, asker)

    def _is_known(self, id_: str) -> bool:
        """Whether somebody has taken an id: one look at a link. What cannot be looked for may be known."""
        try:
            return self.member.folder.holder(id_) is not None
        except OSError:
            return True

    @property
    def full(self) -> bool:
        """Whether no new job is to be brought."""
        return self._writer.full or self.member.left

    def find(self, id_: str, then: Callable[[Record | None], None]) -> None:
        """What is known of a job, wherever it is; `then` is called once, later."""

        def tell(outcome: Outcome) -> None:
            then(outcome.record if isinstance(outcome, Found) else None)

        self._writer.write(Find(id_), tell)

    def wait(self, id_: str, until: float, told: Told) -> Callable[[], None]:
        """Waits for a job's answer, wherever it is; `told` hears a failure at `until`. Returns what to call
        when nobody waits any more."""
        request = Request(id_, -1, until, "")
        asker = Asker(request, told)
        asker.timer = self._timers.at(until, partial(self._late, asker))
        self._wait(id_, asker)
        return partial(self._gone, asker)

    def cancel(self, id_: str, then: Callable[[bool], None]) -> None:
        """Asks for the end of a job, wherever it is. `then(False)` if that cannot be written down; whether
        the job ends so, or as it would have, is what its answer tells."""
        self._writer.write(Wish(id_), lambda outcome: then(outcome is True))
        self._wished([id_])  # where it is here, nothing more is begun for it

    def _wished(self, ids: list[str]) -> None:
        for id_ in ids:
            held = self._held.get(id_)
            if held is None or not held.number:
                continue
            answer = self._exchange.withdraw(held.number)
            if answer is not None:  # else its answer is being written down: that one wins
                self._finish(id_, held, answer, "its end was asked for")

    def clock_of(self, at: float) -> float:
        """A steady time on the clock of this process."""
        return at - steady_ms() + self._clock()

    def _ask(self, asker: Asker) -> None:
        a = asker.request
        record = record_of(a, self._names[a.cls], self._clock(), steady_ms(), asker.front)
        held = self._held.get(a.id)
        if held is None:
            held = self._held[a.id] = Held(a.cls)
        self._writer.write(Accept(record), partial(self._accepted, asker, held))

    def _accepted(self, asker: Asker, held: Held, outcome: Outcome) -> None:
        a = asker.request
        mine = self._held.get(a.id) is held
        if isinstance(outcome, Taken) and mine:
            held.askers.append(asker)
            held.asked = False
            asker.taken()
            self._submit(a, held)
            return
        if isinstance(outcome, Joined) and outcome.id == a.id and mine and not held.asked:
            held.askers.append(asker)
            self._join(asker)
            return
        if mine and held.asked:
            del self._held[a.id]
        match outcome:
            case Over(record):
                asker.taken()
                asker.tell(record.answer)
            case Conflict():
                asker.tell(Answer(Verdict.CONFLICT))
            case Refused(why):
                self.member.counts.refused += 1
                self._log(f"custody: job {a.id} is not taken: {why}")
                asker.tell(Answer(Verdict.DECLINED, retry_after=REST))
            case Joined(id_):
                self._join(asker)
                self._wait(id_, asker)
            case _:  # taken by a life that is over: its heirs have it
                self._wait(a.id, asker)

    def _join(self, asker: Asker) -> None:
        self.member.counts.joined += 1
        asker.taken()

    def _submit(self, a: Request, held: Held, before: tuple[tuple[Entry, float], ...] = ()) -> None:
        early = Request(
            a.id, a.cls, a.due - EARLY, a.target, a.host, a.body, a.idempotency_key, a.subject, a.repeat,
            a.tenant, a.slots, a.memory,
        )  # fmt: skip
        try:
            held.number = self._exchange.submit(early, lambda answer: None, kept=True, before=before)
        except ValueError:  # a leg of its earlier time here is not over yet
            self._timers.at(self._clock() + AGAIN, partial(self._submit_again, a, held, before))
        else:
            self._abandon_unless_waited_for(a.id)  # its client may have left while it was written down

    def _submit_again(self, a: Request, held: Held, before: tuple[tuple[Entry, float], ...]) -> None:
        if self._held.get(a.id) is not held:
            return
        if self._clock() >= a.due - EARLY:
            answer = Answer(Verdict.FAILED, may_have_run=bool(before), legs=len(before))
            self._finish(a.id, held, answer, "its time was over")
        else:
            self._submit(a, held, before)

    def _wait(self, id_: str, asker: Asker) -> None:
        """An asker for a job that is elsewhere, or about to be."""
        if not asker.over:
            self._elsewhere.setdefault(id_, []).append(asker)
            self._writer.watch(id_)

    def _answered(self, id_: str, record: Record | None) -> None:
        """A job that is waited for has its answer, or nothing is known of it any more."""
        for asker in self._elsewhere.pop(id_, []):
            if asker.over:
                continue
            if record is not None:
                asker.tell(record.answer)
            elif asker.request.cls >= 0 and self._clock() < asker.request.due - EARLY:
                self._ask(asker)
            else:
                asker.tell(Answer(Verdict.FAILED))

    def _late(self, asker: Asker) -> None:
        """Its time ends, and no answer is written down: what may be said promises nothing."""
        asker.tell(Answer(Verdict.FAILED, may_have_run=True))

    def _gone(self, asker: Asker) -> None:
        """An asker's client has left."""
        asker.over = True
        if asker.timer is not None:
            asker.timer.cancel()
        self._abandon_unless_waited_for(asker.request.id)

    def _abandon_unless_waited_for(self, id_: str) -> None:
        """Begins nothing more for a job whose clients have all left.

        An attempt that is out goes on, and its result is kept for whoever asks again. Where none is out the
        job ends: declined, which frees its id, unless an attempt may have run."""
        held = self._held.get(id_)
        if held is None or not held.number or held.waited_for:
            return
        if self._exchange.standing(held.number) is not Standing.HELD:
            return
        ended = self._exchange.withdraw(held.number)
        if ended is None:
            return
        if ended.may_have_run:
            answer = Answer(Verdict.FAILED, may_have_run=True, legs=ended.legs)
        else:
            answer = Answer(Verdict.DECLINED, retry_after=REST, legs=ended.legs)
        self._finish(id_, held, answer, "its clients have left")

    # The exchange.

    def claim(self, leg: Leg, go: Callable[[bool], None]) -> None:
        """Writes a leg down before it begins."""
        entry = self._exchange.entry(leg.worker)
        note = LegNote(
            leg.number, self._ids.name(leg.worker), self._ids.zone_name(entry.zone), entry.cell, steady_ms()
        )
        self._write_claim(leg, note, go, AGAIN)

    def _write_claim(self, leg: Leg, note: LegNote, go: Callable[[bool], None], pause: float) -> None:
        if leg.open:  # else its time was over while the disk refused it
            claim = Claim(leg.job.request.id, note)
            self._writer.write(claim, partial(self._claimed, leg, note, go, pause))

    def _claimed(
        self, leg: Leg, note: LegNote, go: Callable[[bool], None], pause: float, outcome: Outcome
    ) -> None:
        if isinstance(outcome, Refused):  # the job is still owed: the leg waits, as long as its time allows
            longer = min(2.0 * pause, AGAIN_MOST)
            self._timers.at(self._clock() + pause, partial(self._write_claim, leg, note, go, longer))
            return
        if isinstance(outcome, EndRequested):
            self._wished([leg.job.request.id])
        if isinstance(outcome, Claimed) and leg.open:
            self._claims[leg] = outcome.life
        go(isinstance(outcome, Claimed))

    def may_write(self, leg: Leg) -> bool:
        """Whether a leg may begin under its claim: somebody waits for the job, and the claiming life is not
        over, nor can it be taken for that."""
        held = self._held.get(leg.job.request.id)
        if held is not None and not held.waited_for:
            return False
        member = self.member
        return self._claims.get(leg) == member.life != "" and member.lease.holds(steady_ms())

    def ended(self, leg: Leg) -> None:
        """A leg is over; one that never ran is taken off the record."""
        self._claims.pop(leg, None)
        if not leg.may_have_run:
            self._writer.write(Unclaim(leg.job.request.id, leg.number), lambda outcome: None)
        self._abandon_unless_waited_for(leg.job.request.id)

    def finish(self, job: Job, answer: Answer) -> None:
        """Writes an answer down; its askers are told after that."""
        id_ = job.request.id
        held = self._held.get(id_)
        if held is None or held.number != job.id:
            return
        self._finish(id_, held, answer, "")

    def _finish(self, id_: str, held: Held, answer: Answer, why: str) -> None:
        self._writer.write(Finish(id_, answer, why), partial(self._finished, id_, held, answer, why))

    def _finished(self, id_: str, held: Held, answer: Answer, why: str, outcome: Outcome) -> None:
        if self._held.get(id_) is not held:
            return
        if isinstance(outcome, Refused):
            held.tries += 1
            if held.tries < TRIES:
                self._timers.at(self._clock() + AGAIN, partial(self._finish, id_, held, answer, why))
                return
            self._log(f"custody: the answer to job {id_} is not written down yet: {outcome.why}")
            if answer.verdict != Verdict.SERVED:  # a decline that is not written down promises too much
                answer = Answer(Verdict.FAILED, may_have_run=True, legs=answer.legs)
            self._write_later(Finish(id_, answer, why), AGAIN, outcome)
        del self._held[id_]
        if outcome is False:  # others have it: their answer is the one
            self.member.counts.lost_answers += 1
            for asker in held.askers:
                self._wait(id_, asker)
            return
        for asker in held.askers:
            asker.tell(answer)

    def _write_later(self, finish: Finish, pause: float, outcome: Outcome) -> None:
        """An answer that was told is written as soon as the disk takes it: until then the job would go on at
        an heir, and who asks for it again would wait."""
        if isinstance(outcome, Refused):
            longer = min(2.0 * pause, AGAIN_MOST)
            then = partial(self._write_later, finish, longer)
            self._timers.at(self._clock() + pause, partial(self._writer.write, finish, then))

    # Lost and found.

    def _adopted(self, records: list[Record]) -> None:
        """Jobs of lost dispatchers, which are this one's from now on."""
        now, at = self._clock(), steady_ms()
        for record in records:
            cls = self._names.index(record.cls) if record.cls in self._names else -1
            held = Held(cls)
            held.askers = self._elsewhere.pop(record.id, [])
            held.asked = False
            self._writer.watch(record.id, False)
            self._held[record.id] = held
            if cls < 0 or record.due <= at + EARLY:
                self.member.counts.expired += 1
                why = "its time was over" if cls >= 0 else "its class is not known here"
                answer = Answer(Verdict.FAILED, may_have_run=bool(record.legs), legs=len(record.legs))
                self._finish(record.id, held, answer, why)
                continue
            before = tuple(self._before(leg, now - at) for leg in record.legs)
            self._submit(request_of(record, cls, now, at), held, before)

    def _before(self, leg: LegNote, ahead: float) -> tuple[Entry, float]:
        worker = self._ids.worker(leg.worker)
        known = self._exchange.entry(worker)
        entry = Entry(worker, self._ids.zone(leg.zone), known.kind, leg.cell, known.state)
        return entry, leg.sent + ahead

    def _lost(self) -> None:
        """This process was taken for lost, or left: what it had is the others', who answer it."""
        held = {id_: job for id_, job in self._held.items() if not job.asked}
        for id_, job in held.items():
            del self._held[id_]
            if job.number:
                self._exchange.give_up(job.number)
            for asker in job.askers:
                self._wait(id_, asker)
        self._claims.clear()
