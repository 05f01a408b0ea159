"""Every decision of eiderfield: which job goes to which worker and when, and which is refused.

Types, events, actions: `eiderfield/interface.py`; reasons: `docs/design.md`. No clock, no I/O; times: ms."""

from __future__ import annotations

import heapq
import random
from collections import Counter, OrderedDict, defaultdict
from collections.abc import Callable
from dataclasses import replace
from itertools import islice
from math import ceil, inf
from typing import Any

from eiderfield.interface import (
    NEVER_RAN, REPEAT, STARTED, Action, Arrived, Beside, Cancel, ClientGone, CloseIdle, Due, Effect, Ended,
    Entry, Event, Fail, Flowing, Listed, ListKind, Log, Noted, Outcome, PeerSaid, Probe, Probed,
    Refuse, Scope, Send, SetTimer, Settings, Snapshot, State, Tell, Watch, mix, pack_counts, unpack_counts,
)
from eiderfield.policy.affinity import KeyOrders
from eiderfield.policy.endpoint import FAULT_FADE, FAULTY, STRIKE_PAUSE, Worker
from eiderfield.policy.queues import SLB_SIZE, Lane
from eiderfield.policy.rate_control import FLOOR_REST, FLOOR_TOP, Pacer
from eiderfield.policy.ready import ReadyWorkers
from eiderfield.policy.subsetting import (
    SHARERS, Subset, balanced_groups, group_of_dispatcher, keyed_groups, place_of,
)
from eiderfield.policy.request import Attempt, Job, may_refuse, may_resend


WINDOW = 1000.0  # ms, the document's delta-T: a few answers of each class, yet shorter than a burst
GRB_PER_WORKER = 4  # jobs in the GRB for each worker listed: about as long as clients find an answer useful

GRB_WAIT = 4.0  # the GRB is full when what is held would wait so many times the newest job's slack

SPARE = 1  # jobs above its slots that all nodes together should keep at a worker that doesn't tell starts
FRESH = 500.0  # ms for which a report of free slots holds: less than a short job runs
PROBES, PROBE_WAIT = 3, 10.0  # workers probed for a job when no report shows a free slot; ms that it waits
TOLD = 2000.0  # ms for which a peer's count holds: it may have died, or its last message been lost
EXAMINED = 256  # workers looked at for a job without a key: of more, so many drawn at random
HOMES = 2  # workers to which the jobs of one key go first, so that they find their data there
KEY_MEMORY, KEYS_TOLD = 5000, 500  # keyed jobs that are counted; of the keys, those told to the next process
HOME_ROOM = (2.0, 1.5)  # homes of a key for few and many nodes, in workers that its share of the jobs fills
PAUSES = 5.0  # waits for which a worker is left to others, at most: one of many nodes never sees its slots
BURST = 5.0  # repeats that may be saved up
LOOK_AGAIN = 200.0  # ms after which what was full is looked at again: a queue place frees in about that
SILENT_NOTES, STUCK_NOTES = 1.6, 3.6  # intervals without any note; without one job's: pauses swallow some
SILENT_RUNS = 3.0  # mean running times that may pass where there are no notes
STUCK_RUNS, STUCK_MANY = 8.0, 0.2  # mean running times that a job may wait unstarted, and among many nodes
QUEUED = 0.1  # weight of one job's wait in their mean: below that mean, no job of many nodes is called off
COLD_REST = 0.1  # share of the warm-up for which a cold worker is no home: jobs there would mostly be late
MANY = 8  # nodes above which one's part of a cold worker's budget is mostly less than a job
COLD_MARGIN = (0.5, 0.6)  # share of the cold allowance used by few nodes, and by many, whom a lot keeps to it
RETRY_SHARE = 0.1  # repeats of what may have run, as a share of sends
SLOW = 2.3  # how many times longer than usual jobs run where a worker counts as slow
QUIET_RATE = 4000.0  # ms over which the rate of served work is averaged


class Dispatcher:
    """One node's decisions. Feed it events in order; carry out the actions it returns in order."""

    def __init__(self, settings: Settings, seed: int) -> None:
        if not settings.classes:
            raise ValueError("settings.classes is empty")
        self._set, self._rng, self._now = settings, random.Random(seed), 0.0
        self._workers, self._jobs = dict[int, Worker](), dict[int, Job]()
        self._ready_workers = ReadyWorkers()  # of the whole fleet
        self._orders = KeyOrders()  # of this node's subset, for each key
        self._subset = Subset(self._orders.join, self._orders.leave)
        # Workers with own attempts out; that may be resting; that may be warming up. By number.
        self._busy, self._resting = dict[int, Worker](), dict[int, Worker]()
        self._warming = dict[int, Worker]()
        self._late_attempts: dict[tuple[int, int], Attempt] = {}  # of answered jobs: still out at a worker
        floors = {max(c.worth for c in settings.classes): FLOOR_TOP}
        self._pacers = [Pacer(floors.get(c.worth, FLOOR_REST), 0.5 * c.aim) for c in settings.classes]
        self._trials = min(c.effect for c in settings.classes)  # sent first to whom little is known of
        self._lanes = {
            (number, tenant, over): Lane(c, p, c.worth * (settings.over_share_worth if over else 1.0))
            for number, (c, p) in enumerate(zip(settings.classes, self._pacers, strict=True))
            for tenant in range(max(1, len(settings.tenants))) for over in (False, True)
        }  # fmt: skip
        self._by_worth = sorted(self._lanes.values(), key=lambda lane: lane.worth, reverse=True)
        self._shares = [1.0 * t.quota_per_s / settings.balancers for t in settings.tenants]
        self._credit = [(0.0, s) for s in self._shares]  # time and tokens of each tenant's share
        self._free_slots = settings.report_fields.index("x0") if "x0" in settings.report_fields else -1
        # Jobs in the buffers, and their running time; own attempts out; keyed jobs so far; the timer's token.
        self._held, self._held_run, self._out, self._keyed, self._token = 0, 0.0, 0, 0, 0
        # Work served in a ms, averaged, and until when; until when jobs wait for probes; the timer, 0: none.
        self._served_rate = self._served_at = self._probing = self._wake = 0.0
        # Work a warm worker serves for this node in a ms; when; the least of a job; nobody is suspect before.
        self._each, self._each_at, self._least, self._silence_at = 0.0, -inf, inf, inf
        self._slots = defaultdict[int, float](lambda: 2.0)  # most slots seen at a worker of each kind
        self._keys: Counter[int] = Counter()  # jobs of each key so far
        self._has_keys = False  # whether any job so far had one
        self._retry_tokens, self._queued = BURST, 0.0  # repeats saved up; mean wait of jobs to start, in ms
        # Nodes that share this node's workers and may talk; workers where own jobs came or went in this call.
        self._peers, self._changed = list[int](), dict[int, Worker]()
        self._many = settings.balancers > MANY
        self._probes = self._sees = self._watching = False
        self._doubt: bool | None = None  # whether most of the subset is silent; None: not counted yet
        self._deal()
        self._deadlines, self._actions = list[tuple[float, int]](), list[Action]()
        self._takers: dict[type, Callable[[Any, float], None]] = {
            Ended: self._ended, Noted: self._noted, Arrived: self._arrived, Due: self._due,
            Listed: self._list, ClientGone: self._gone, Flowing: self._flowing, PeerSaid: self._told,
            Beside: self._beside, Probed: lambda e, at: self._report(self._workers.get(e.worker), e.load, at),
        }  # fmt: skip

    def snapshot(self, now: float | None = None) -> Snapshot:
        """What is held and out, the rate of each class, and which listed workers are sent nothing."""
        at = self._now if now is None else now
        known = [w for w in self._workers.values() if w.entry.state != State.GONE]
        rests = [w.entry.worker for w in known if w.entry.state != State.READY or not self._usable(w, at)]
        return Snapshot(self._held, self._out, [p.rate for p in self._pacers], frozenset(rests))

    def adopt(self, settings: Settings) -> None:
        """Takes new numbers of the same classes and tenants. What came before keeps its class as it was."""
        fresh = Dispatcher(settings, 0)
        for name in ("_set", "_trials", "_shares", "_free_slots", "_many"):
            setattr(self, name, getattr(fresh, name))
        for lane, new in zip(self._lanes.values(), fresh._lanes.values(), strict=True):
            lane.cls, lane.worth, lane.pacer.floor_share = new.cls, new.worth, new.pacer.floor_share
        self._by_worth.sort(key=lambda lane: lane.worth, reverse=True)
        self._warming = {id_: w for id_, w in self._workers.items() if w.entry.ready_at > 0.0}
        self._deal()

    def memory(self) -> dict[str, Any]:
        """What the next process in this node's place goes on from, in plain values."""
        cold = [(w.entry.worker, list(w.recent)) for w in self._workers.values() if w.recent]
        pacers = [(p.run, p.rate, p.uncut, p.next_at) for p in self._pacers]
        keys, slots = self._keys.most_common(KEYS_TOLD), list(self._slots.items())
        spent = (self._retry_tokens, self._served_rate, self._served_at)
        bad = [(w.entry.worker, w.faults, w.strikes) for w in self._workers.values() if w.erring]
        return {"pacers": pacers, "spent": spent, "cold": cold, "keys": keys, "slots": slots, "erring": bad}

    def resume(self, memory: dict[str, Any]) -> None:
        """Goes on from the memory of the process before. The list must be known."""
        for pacer, told in zip(self._pacers, memory["pacers"], strict=True):
            pacer.run, pacer.rate, pacer.uncut, pacer.next_at = told
        self._retry_tokens, self._served_rate, self._served_at = memory["spent"]
        self._slots.update(memory["slots"])
        self._keys.update(dict(memory["keys"]))
        self._keyed = self._keys.total()
        self._has_keys = self._has_keys or self._keyed > 0
        for id_, recent in [(id_, recent) for id_, recent in memory["cold"] if id_ in self._workers]:
            self._workers[id_].recent.extend((at, work) for at, work in recent)
        for w, faults, strikes in [(self._workers.get(x), *told) for x, *told in memory.get("erring", ())]:
            if w is not None:
                w.faults, w.strikes, w.erring = faults, strikes, True
        self._deal()

    def handle(self, now: float, events: list[Event]) -> list[Action]:
        """Takes what has come in at this time and decides."""
        if now < self._now:
            raise ValueError(f"time runs backwards: {now} after {self._now}")
        self._now, self._actions = now, []
        if self._set.subscribe and not self._watching:
            self._watching = True
            self._actions.append(Watch(True))
        for event in events:  # all before any send: a later one may end or forbid what an earlier asks
            if type(event) not in self._takers:
                raise ValueError(f"unknown event {event!r}")
            self._takers[type(event)](event, now)
        self._expire(now)
        self._check_silence(now)
        for pacer in self._pacers:
            if now >= pacer.start + WINDOW:
                pacer.close_window(now, any(x.slb or x.grb for x in self._by_worth if x.pacer is pacer))
        opens = not events or any(type(e) is not Noted or e.what == STARTED for e in events)
        if self._held and opens:  # a job's progress opens nothing
            self._pump(now)
        self._set_wake(now)
        self._tell()
        return self._actions

    # Events.

    def _due(self, event: Due, now: float) -> None:
        self._wake *= event.token != self._token  # only the latest timer counts

    def _gone(self, event: ClientGone, now: float) -> None:
        if (job := self._jobs.get(event.id)) is not None:
            self._finish(job)

    def _flowing(self, event: Flowing, now: float) -> None:
        if (job := self._jobs.get(event.id)) is not None:
            job.bound = True
            self._unqueue(job)

    def _arrived(self, event: Arrived, now: float) -> None:
        if event.cls >= len(self._pacers) or event.id in self._jobs:
            raise ValueError(f"request {event.id}: unknown class {event.cls} or id in use")
        over = self._over_share(event.tenant, bool(event.flags & REPEAT), now)
        lane = self._lanes[event.cls, event.tenant if event.tenant < len(self._shares) else 0, over]
        run, left = lane.pacer.run_of(event.work), event.due - now
        lane.pacer.patience = max(lane.pacer.patience, left)
        # A client's repeat brings what is left of its time: its aim began with the first try.
        age = lane.pacer.patience - left if event.flags & REPEAT else 0.0
        slack = min(lane.cls.aim + lane.cls.stretch * (event.work or run) - age, left) - run
        timely = inf if lane.cls.late_worth else now + slack
        rest = (event.work or run, run, timely, event.slots or 1.0)
        job = Job(event.id, event.key, event.due, event.work, lane, lane.cls, *rest)
        self._least = min(self._least, job.cost)
        if job.key:
            self._keys[job.key] += 1
            self._keyed += 1
            if not self._has_keys:
                self._has_keys = True
                self._deal()
            if self._keyed > KEY_MEMORY:  # forget what is rare, or keys asked for once fill the memory
                self._keys = Counter({key: n // 2 for key, n in self._keys.items() if n > 1})
                self._keyed = self._keys.total()
                self._orders.forget()
        self._jobs[job.id] = job
        for entry, sent in event.before:  # legs of a node that is lost, which may have run or still do so
            worker = self._workers.setdefault(entry.worker, Worker(replace(entry, state=State.GONE)))
            job.attempts.append(Attempt(job, len(job.attempts), worker, entry, sent, sent, open=False))
        heapq.heappush(self._deadlines, (job.due - 2.0 * self._set.tick, job.id))
        self._enqueue(job, lane.grb)
        if event.before and self._ready_workers.by_number and not self._may_go_on(job, now):
            self._answer(job)
        # Bounded by count alone, a GRB holds seconds of work for aims of half a second (incident i1da742).
        wait, most = self._held_run / max(1, self._out), GRB_PER_WORKER * max(4, len(self._subset))
        if self._held > most or (self._held > SLB_SIZE and wait > GRB_WAIT * slack):
            self._shed(wait)

    def _over_share(self, tenant: int, repeat: bool, now: float) -> bool:
        """Whether a tenant is above this node's part of its share, which clients' repeats do not use."""
        if tenant >= len(self._shares):
            return bool(self._shares)  # who is not of the settings' tenants has no share
        rate, (at, tokens) = self._shares[tenant], self._credit[tenant]
        tokens = min(2.0 * rate, tokens + (now - at) * rate / 1000.0)
        self._credit[tenant] = (now, tokens if tokens < 1.0 or repeat else tokens - 1.0)
        return tokens < 1.0

    def _find(self, id_: int, number: int) -> tuple[Job | None, Attempt | None]:
        tries = job.attempts if (job := self._jobs.get(id_)) is not None else []
        return job, tries[number] if number < len(tries) else self._late_attempts.get((id_, number))

    def _ended(self, event: Ended, now: float) -> None:
        job, attempt = self._find(event.id, event.attempt)
        if attempt is None or not attempt.open:
            return  # an attempt from before this node's present life
        self._close(attempt, now)
        worker, outcome, waited = attempt.worker, event.outcome, now - attempt.sent
        self._report(worker, event.load, now)
        attempt.may_have_run = outcome not in NEVER_RAN
        self._resting[worker.entry.worker] = worker
        if outcome in (Outcome.OK, Outcome.ERROR):
            worker.faults = worker.faults * FAULT_FADE + (outcome == Outcome.ERROR)
        if attempt.started is not None:
            worker.learn(now, (now - attempt.started) / attempt.job.run, outcome == Outcome.OK)
        if outcome == Outcome.OK:
            self._served(attempt, event, now)
        elif outcome == Outcome.FULL:
            worker.alive(now)
            worker.fulls += 1
            worker.full_until = now + LOOK_AGAIN * min(worker.fulls, 2)
            # No sign: a draining worker's hand-backs, nor one worker's word while others are free.
            if worker.entry.state == State.READY and not any(self._free(w, now) for w in self._examined()):
                attempt.job.lane.pacer.accepted -= 1
        elif outcome == Outcome.CONNECT_FAILED:
            worker.strike(now)
        elif outcome == Outcome.RESET:
            worker.resets += 1
            worker.full_until = now + LOOK_AGAIN
            if worker.resets > 1 and now >= worker.suspect_until:  # one can break under a worker that is well
                worker.strike(now)
        elif outcome == Outcome.ERROR:
            worker.alive(now)
            if worker.faults > FAULTY:  # who fails its jobs at once holds fewest and would draw all others in
                worker.strike(now, erring=self._trials != Effect.UNSAFE)
        elif outcome == Outcome.CANCELLED and attempt.started is None and waited >= self._soon(attempt.job):
            self._queued += QUEUED * (waited - self._queued)
            worker.full_until = now + 2.0 * LOOK_AGAIN  # where one has waited too long the next would too
        if job is None:
            del self._late_attempts[event.id, event.attempt]
        elif event.final:
            self._finish(job)
        elif not job.out() and job.queue is None:
            self._hold(job) if self._may_help(job, now, outcome == Outcome.ERROR) else self._answer(job)

    def _report(self, worker: Worker | None, load: tuple[float, ...], now: float) -> None:
        if worker is not None and load and self._free_slots >= 0 and load[self._free_slots] >= 0.0:
            worker.slots_free, worker.reported, kind = round(load[self._free_slots]), now, worker.entry.kind
            self._slots[kind] = max(self._slots[kind], worker.slots_free)

    def _served(self, attempt: Attempt, event: Ended, now: float) -> None:
        job = attempt.job
        late = event.elapsed >= SILENT_RUNS * max(job.lane.pacer.run_of(job.hint), job.cls.aim)
        attempt.worker.alive(now, not late)
        job.lane.pacer.learn(event.elapsed if attempt.started is None else now - attempt.started, job.hint)
        self._fade(now)
        self._served_rate += job.cost / QUIET_RATE

    def _fade(self, now: float) -> None:
        self._served_rate *= max(0.0, 1.0 - (now - self._served_at) / QUIET_RATE)
        self._served_at = now

    def _noted(self, event: Noted, now: float) -> None:
        _, attempt = self._find(event.id, event.attempt)
        if attempt is None or not attempt.open:
            return
        worker, attempt.heard = attempt.worker, now
        worker.alive(now)
        if attempt.started is None and event.what == STARTED:
            attempt.started, worker.fulls = now, 0
            worker.unstarted -= 1
            self._queued += QUEUED * (now - attempt.sent - self._queued)
            taken = sum([a.job.slots for a in worker.open.values() if a.started is not None])
            kind = worker.entry.kind
            self._slots[kind] = max(self._slots[kind], taken)
            # One waiting job of each node is a long queue (incident i1da742): after a wait others come first.
            pause = (now - attempt.sent) * min(PAUSES, self._subset.sharers / self._slots[kind] - 1.0)
            worker.full_until = max(worker.full_until, now + pause)
            self._resting[worker.entry.worker] = worker

    def _told(self, event: PeerSaid, now: float) -> None:
        """A peer that shares workers with this node tells how many jobs it has at them."""
        for id_, count in unpack_counts(event.data):
            if (worker := self._workers.get(id_)) is not None:
                worker.told[event.peer], worker.others_until = (now, count), now + TOLD
                worker.others = sum([n for at, n in worker.told.values() if at > now - TOLD])

    def _beside(self, event: Beside, now: float) -> None:
        if (worker := self._workers.get(event.worker)) is not None:
            worker.beside, self._changed[event.worker] = event.out, worker
            worker.recent.append((now, event.work))

    def _tell(self) -> None:
        """Tells the peers how many jobs this node has where that changed (cooperation)."""
        data = pack_counts([(id_, round(w.taken) + w.beside) for id_, w in self._changed.items()])
        self._actions += [Tell(peer, data) for peer in self._peers if data]
        self._changed.clear()

    def _list(self, event: Listed, now: float) -> None:
        if event.kind == ListKind.FAILED:
            self._watching = False
            return
        first = not self._ready_workers.by_number
        for entry in event.entries:
            self._update(entry, now, first)
        if event.kind != ListKind.DELTA:
            for id_ in self._workers.keys() - {entry.worker for entry in event.entries}:
                worker = self._workers[id_]
                if worker.entry.state != State.GONE:
                    self._update(replace(worker.entry, state=State.GONE), now, first)
        if first or self._groups() != self._subset.groups:
            self._deal()

    def _update(self, entry: Entry, now: float, first: bool) -> None:
        """Takes in what the list says of one worker, at a cost that does not grow with the fleet. After the
        `first` list all are dealt anew."""
        worker = self._workers.get(entry.worker)
        if worker is None:
            worker = self._workers[entry.worker] = Worker(replace(entry, state=State.GONE))
        old = worker.entry
        if entry is old:
            return
        if entry.ready_at != old.ready_at:
            worker.faults, worker.reported = 0.0, -inf  # a new process owes nothing to the past
            worker.alive(now, True)
        if entry.ready_at > 0.0:
            self._warming[entry.worker] = worker
        was, is_ready = old.state == State.READY, entry.state == State.READY
        stays = was and is_ready and place_of(old) == place_of(entry) and old.cell == entry.cell
        if was and not stays:
            self._ready_workers.remove(old)
            if not first:
                self._subset.leave(old)
        worker.entry = entry
        if is_ready and not stays:
            self._ready_workers.add(worker)
            if not first:
                self._subset.join(worker)

    def _groups(self) -> int:
        """How many groups the fleet should be split into."""
        site, ready = self._set, len(self._ready_workers.by_number)
        if self._has_keys:
            return keyed_groups(self._subset.groups, site.balancers, ready)
        return balanced_groups(self._subset.groups, site.balancers, site.may_tell, ready)

    def _deal(self) -> None:
        """Subsetting: each of many nodes keeps to a part of the fleet."""
        site, nodes, groups = self._set, self._set.balancers, self._groups()
        group = group_of_dispatcher(site.me, nodes, groups, self._has_keys)
        sharers = nodes / groups
        self._subset.deal(self._ready_workers.by_number.values(), self._has_keys, groups, group, sharers)
        self._orders.reset(self._subset.workers)
        # Where starts are not told, reports show whether slots are taken; few nodes see enough by themselves.
        self._sees = nodes == 1 and self._free_slots >= 0
        whole = groups == 1 or self._has_keys
        self._probes = site.may_probe and not (site.tells_start or whole or self._free_slots < 0)
        talkers = range(nodes if site.may_tell and sharers < 2 * SHARERS[True] else 0)
        alike = [n for n in talkers if group_of_dispatcher(n, nodes, groups, self._has_keys) == group]
        self._peers = [n for n in alike if n != site.me]

    @property
    def _mine(self) -> list[Worker]:
        return self._subset.workers

    def _examined(self) -> list[Worker]:
        """The workers that are looked at for what may go to any: all of a subset or, of hundreds, some."""
        workers = self._subset.workers
        return workers if len(workers) <= EXAMINED else self._rng.sample(workers, EXAMINED)

    # Ends and repeats.

    def _close(self, attempt: Attempt, now: float) -> None:
        worker, attempt.open = attempt.worker, False
        self._out, worker.taken = self._out - 1, worker.taken - attempt.job.slots
        worker.open.pop((attempt.job.id, attempt.number), None)
        if not worker.open:
            self._busy.pop(worker.entry.worker, None)
        worker.unstarted -= attempt.started is None
        self._changed[worker.entry.worker] = worker
        worker.silent = worker.silent and bool(worker.open)  # with nothing left there, a trial must tell

    def _enqueue(self, job: Job, queue: OrderedDict[int, Job]) -> None:
        job.queue, queue[job.id] = queue, job
        self._held, self._held_run = self._held + 1, self._held_run + job.run

    def _unqueue(self, job: Job) -> None:
        if job.queue is not None:
            del job.queue[job.id]
            job.queue = None
            self._held, self._held_run = self._held - 1, self._held_run - job.run

    def _finish(self, job: Job) -> None:
        """Forgets a job that is over. What is still out is called off, which frees workers that heed it."""
        job.answered = True
        self._unqueue(self._jobs.pop(job.id))
        for attempt in [a for a in job.attempts if a.open]:
            self._late_attempts[(job.id, attempt.number)] = attempt
            if self._set.may_cancel:
                self._actions.append(Cancel(job.id, attempt.number))

    def _answer(self, job: Job, retry_after: float = 0.0) -> None:
        """The one place of this node's final answers: a refusal if rule 2 allows it, else a failure."""
        self._finish(job)
        advice = min(retry_after, self._set.max_retry_after) if self._set.may_advise else 0.0
        self._actions.append(Refuse(job.id, advice) if may_refuse(job) else Fail(job.id))

    def _legal(self, job: Job, worker: Worker, now: float) -> bool:
        return may_resend(job, worker, now, self._set.may_copy, self._set.max_attempts)

    def _may_go_on(self, job: Job, now: float) -> bool:
        """Whether any ready worker may be sent the job (again)."""
        return any(self._legal(job, worker, now) for worker in islice(self._allowed(job).values(), 1))

    def _allowed(self, job: Job) -> dict[int, Worker]:
        """The ready workers within which the job's class allows a repeat: all of them or none are legal."""
        first = job.first_run()
        if first is None or job.cls.effect != Effect.KEYED or job.cls.scope == Scope.ALL:
            return self._ready_workers.by_number
        if job.cls.scope == Scope.ZONE:
            return self._ready_workers.in_zone(first.entry.zone)
        return self._ready_workers.in_cell(first.entry.cell)

    def _may_help(self, job: Job, now: float, failed: bool = False) -> bool:
        """Whether a further attempt is allowed, and in the retry budget what the last one may have cost."""
        last = job.attempts[-1]  # called off unstarted it cost nothing, and once failed only until then
        spent = float(last.may_have_run and (last.started is not None or not self._set.tells_start))
        if failed and last.started is not None:
            spent = min(spent, (now - last.started) / job.run)
        helped = not job.answered and self._retry_tokens >= spent
        helped = helped and self._may_go_on(job, now)
        self._retry_tokens -= helped and spent
        return helped

    def _hold(self, job: Job) -> None:
        self._enqueue(job, job.lane.slb)
        job.lane.slb.move_to_end(job.id, last=False)  # it has waited longest

    def _expire(self, now: float) -> None:
        """Rule 1: whatever is left when a client's time ends gets its answer just before."""
        while self._deadlines and self._deadlines[0][0] <= now:
            job = self._jobs.get(heapq.heappop(self._deadlines)[1])
            if job is not None and not job.bound:
                self._answer(job)

    def _shed(self, wait: float) -> None:
        """The GRB is full: the lowest worth goes first, the newest of it, with a hint when to come again."""
        held = [(x.worth, x.grb) for x in self._by_worth] + [(x.worth, x.slb) for x in self._by_worth]
        for queue in [x.late for x in self._by_worth] + [q for _, q in sorted(held, key=lambda p: p[0])]:
            for job in reversed(queue.values()):
                if may_refuse(job) and not job.out():
                    self._answer(job, wait)
                    return

    # Health.

    def _silence(self, worker: Worker) -> float:
        """When the worker's silence becomes suspect: measured from its last sign of life."""
        oldest = next(iter(worker.open.values()))
        runs = SILENT_RUNS * max(oldest.job.lane.pacer.run_of(oldest.job.hint), oldest.job.cls.aim)
        return max(worker.heard, oldest.sent) + (SILENT_NOTES * self._set.progress or runs)

    def _check_silence(self, now: float) -> None:
        """Looks at the workers only when one may have become suspect: each look costs (incident ic8135f)."""
        if now < self._silence_at:
            return
        self._silence_at = inf
        for worker in list(self._busy.values()):
            if not worker.silent and worker.entry.state == State.READY and now >= self._silence(worker):
                worker.silent = True
                worker.strike(now)
                self._resting[worker.entry.worker] = worker
                self._actions.append(Log(f"worker {worker.entry.worker} silent, {len(worker.open)} jobs out"))
            elif not worker.silent:
                self._silence_at = min(self._silence_at, self._silence(worker))
            for attempt in worker.open.values():
                at = self._stuck(attempt)
                if now >= at or worker.silent:
                    self._give_up(attempt, now)
                else:
                    self._silence_at = min(self._silence_at, at)
        self._silence_at = self._silence_at if self._silence_at > now else now + LOOK_AGAIN

    def _stuck(self, attempt: Attempt) -> float:
        """When an attempt is stuck: no note came in time or, if it has not started, its wait is too long."""
        if attempt.given_up or attempt.job.bound:
            return inf
        if attempt.started is not None:
            notes = SILENT_NOTES if attempt.worker.silent else STUCK_NOTES
            return attempt.heard + notes * self._set.progress if self._set.progress else inf
        soon = self._soon(attempt.job)
        if not self._many or not self._set.tells_start:
            return attempt.sent + STUCK_RUNS / STUCK_MANY * soon if self._set.tells_start else inf
        # Each wait is twice the last. Where all queues are long, leaving one loses the place and the data.
        at = attempt.sent + max(soon, self._queued) * 2.0**attempt.number
        return min(at, max(attempt.job.timely, attempt.sent + soon)) if self._queued > soon else at

    def _soon(self, job: Job) -> float:
        """The wait that one of many nodes takes for a short one, in ms."""
        return STUCK_MANY * max(job.lane.pacer.run_of(job.hint), job.cls.aim)

    def _hopeless(self, job: Job, now: float) -> bool:
        """Whether a job that can't be in time would, at queues everywhere, make others late as well."""
        return self._many and now >= job.timely and self._queued > self._soon(job)

    def _give_up(self, attempt: Attempt, now: float) -> None:
        """Sends a job on whose worker or connection says nothing, within what its class allows."""
        job = attempt.job
        if attempt.given_up or job.answered or job.queue is not None:
            return
        if self._set.may_copy:
            if self._may_help(job, now):
                attempt.given_up = True
                self._hold(job)
        elif self._set.may_cancel and (attempt.started is None or self._retry_tokens >= 1.0):
            allowed, limit = self._allowed(job).values(), self._set.max_attempts
            others = any(may_resend(job, w, now, True, limit) for w in islice(allowed, 1))
            others = others and any(self._usable(w, now) for w in allowed)
            if others or (attempt.started is None and self._hopeless(job, now)):
                attempt.given_up = True  # its end, when that is told, sends it on
                self._actions.append(Cancel(job.id, attempt.number))
                if attempt.worker.silent:  # a trial on a connection open already would fall silent too
                    self._actions.append(CloseIdle(attempt.worker.entry.worker))

    # Sending.

    def _pump(self, now: float) -> None:
        """GRB to SLBs, SLBs to workers: highest worth first, first come first within a buffer."""
        for lane in self._by_worth:
            for queue in (lane.slb, lane.grb):  # what is late must not make what comes after it late as well
                for job in [job for job in islice(queue.values(), SLB_SIZE) if now > job.timely]:
                    job.queue, lane.late[job.id] = lane.late, queue.pop(job.id)
            for job in [job for job in lane.late.values() if self._hopeless(job, now)]:
                self._answer(job, self._queued)
            while lane.grb and lane.room():
                _, job = lane.grb.popitem(last=False)
                job.queue, lane.slb[job.id] = lane.slb, job
        self._doubt = None
        self._fade(now)
        free: list[Worker] | None = None  # found when a job without a key is to go, or probes may be wanted
        if self._probes:
            free = [w for w in self._subset.workers if self._free(w, now)]
            if not any(self._shown(w, now) > 0.0 for w in free) and self._probe(now):
                return
        timely = any(lane.slb for lane in self._by_worth)
        for lane in self._by_worth:
            for job in list(islice((lane.slb if timely else lane.late).values(), SLB_SIZE)):
                if lane.pacer.rate is not None and now < lane.pacer.next_at:
                    break
                if not job.key:
                    free = [w for w in self._examined() if self._free(w, now)] if free is None else free
                    if not free:
                        break
                picked = self._pick(job, free or [], now)
                if picked is not None:
                    self._send(job, picked, now)
                    if free and picked in free and not self._free(picked, now):
                        free.remove(picked)
                elif not job.key and not job.attempts and job.slots <= 1.0:
                    break  # the next of this buffer would hardly find one either

    def _probe(self, now: float) -> bool:
        """Asks some workers for a report, and tells whether jobs wait for it."""
        old = now - LOOK_AGAIN
        asked = [w for w in self._mine if max(w.reported, w.probed) < old and self._usable(w, now)]
        for worker in self._rng.sample(asked, min(PROBES, len(asked))):
            worker.probed, self._probing = now, now + PROBE_WAIT
            self._actions.append(Probe(worker.entry.worker))
        return now < self._probing

    def _most_silent(self) -> bool:
        """If most workers are silent, doubt the evidence and keep serving. A failed connection is certain."""
        if self._doubt is None:
            self._doubt = 2 * sum([w.silent for w in self._mine]) > len(self._mine)
        return self._doubt

    def _shown(self, worker: Worker, now: float) -> float:
        """1 where a fresh report shows a free slot, -1 where it shows none, else 0."""
        return (self._probes and now <= worker.reported + FRESH) * (1.0 if worker.slots_free >= 1 else -1.0)

    def _usable(self, worker: Worker, now: float) -> bool:
        """Whether the worker is neither silent nor, after a strike, left alone."""
        return now >= worker.suspect_until or worker.erring if not worker.silent else self._most_silent()

    def _free(self, worker: Worker, now: float) -> bool:
        """Whether the worker can take one more own job now."""
        trial = worker.strikes and worker.open and not worker.erring  # half-open: one at a time
        if now < worker.full_until or trial or not self._usable(worker, now):
            return False
        most = self._slots[worker.entry.kind] + SPARE
        out = (len(worker.open) + worker.beside) * self._subset.sharers
        full = out >= most and self._shown(worker, now) <= 0.0
        if self._set.tells_start:  # one own job may wait there: more would do so unseen and unmovable
            full = worker.unstarted > 0
        if full or (self._peers and worker.total(now) >= most):
            return False
        worker.cold_left = self._cold_left(worker, now) if worker.entry.ready_at > 0.0 else inf
        return worker.cold_left >= self._least * worker.ticket

    def _pick(self, job: Job, free: list[Worker], now: float) -> Worker | None:
        """The ready worker of the job's kind that holds fewest own jobs, ties broken at random."""
        pool = self._homes(job, now) if job.key else free
        if not job.key and job.first_run() is not None:  # its group may have no worker in this node's part
            pool = [w for w in free if self._legal(job, w, now)] or self._free_of_group(job, now)
        ready = [(self._rank(w, job, now), w) for w in pool if self._ready(w, job, now)]
        lowest = min([rank for rank, _ in ready], default=None)
        return self._rng.choice([w for rank, w in ready if rank == lowest]) if ready else None

    def _free_of_group(self, job: Job, now: float) -> list[Worker]:
        """The free ones of all workers to which a job may go (again), in this node's subset or not."""
        allowed = self._allowed(job).values()
        return [w for w in allowed if self._legal(job, w, now) and self._free(w, now)]

    def _rank(self, worker: Worker, job: Job, now: float) -> tuple[float, bool, int]:
        """Own jobs, and before them what makes a worker ready only while no better one is."""
        tight = (self._peers or job.slots > 1.0) and not self._fits(worker, job, now)
        pace = worker.pace(now) if self._set.tells_start else 1.0
        tier = (1.0 if tight else -self._shown(worker, now)) + 2.0 * worker.erring + (pace > SLOW)
        tier -= self._many and worker.cold_left < inf  # a lot that is drawn is used at once
        load = (len(worker.open) + worker.beside + 1) * (pace if pace > SLOW else 1.0)
        return tier, self._set.cross_zone_price > 0.0 and worker.entry.zone != self._set.zone, ceil(load)

    def _homes(self, job: Job, now: float) -> list[Worker]:
        """The free ones of a key's homes, as many as its share needs (ia7713c), by rendezvous hashing."""
        # One of many nodes counts it without the job itself: of few jobs each would make a rare key hot.
        share = (self._keys[job.key] - self._many) / max(1, self._keyed - self._many)
        most = max(HOMES, ceil(HOME_ROOM[self._many] * share * len(self._subset)))
        within, whole_fleet = self._allowed(job), self._ready_workers.by_number
        if not self._may_go_on(job, now):
            return []
        if most > EXAMINED:  # so many homes that some of them, drawn at random, do as well
            ring, _ = self._orders.first(job.key, most)
            drawn = self._rng.sample(ring[:most], min(EXAMINED, len(ring)))
            drawn = [w for w in drawn if w.entry.worker in within]
            return [w for w in drawn if self._open_home(w, job, now) and self._free(w, now)]
        count, enough = 2 * most, False
        while not enough:
            ring, enough = self._orders.first(job.key, count)
            homes, warm = list[Worker](), 0
            for worker in ring:
                legal = within is whole_fleet or worker.entry.worker in within
                if legal and self._open_home(worker, job, now):
                    homes.append(worker)
                    # A cold home takes nobody's place: its budget could let nothing through (ia7713c).
                    warm += not self._cold(worker, now)
                    if warm == most:
                        enough = True
                        break
            count = 4 * len(ring)
        if within is not whole_fleet and self._subset.groups > 1:
            tried = [attempt.worker for attempt in job.attempts]
            if all(worker in tried for worker in homes):  # its group may have no other in this node's subset
                return self._free_of_group(job, now)
        return [w for w in homes if self._free(w, now)]

    def _open_home(self, worker: Worker, job: Job, now: float) -> bool:
        """Whether jobs should wait for this home: not if just started, taking nothing, or trials alone."""
        if (worker.fulls > 1 and now < worker.full_until) or not self._trusted(worker, job):
            return False
        return self._usable(worker, now) and not self._cold(worker, now + (1.0 - COLD_REST) * self._set.cold)

    def _trusted(self, worker: Worker, job: Job) -> bool:
        alone = not worker.erring and self._now >= worker.suspect_until + STRIKE_PAUSE  # no other has tried
        return not worker.strikes or alone or job.cls.effect <= max(self._trials, worker.erring)

    def _ready(self, worker: Worker, job: Job, now: float) -> bool:
        """Whether this worker may take this job: its kind, rule 2's group, and rule 4's budget."""
        if not self._trusted(worker, job) or (job.cls.kind >= 0 and worker.entry.kind != job.cls.kind):
            return False
        # Who waits for several slots keeps free ones from others; where all is seen, none need wait there.
        no = (job.slots > 1.0 or self._sees) and worker.total(now) and not self._fits(worker, job, now)
        no = no or any(a.worker is worker and a.open for a in job.attempts)
        return not no and job.cost * worker.ticket <= worker.cold_left and self._legal(job, worker, now)

    def _fits(self, worker: Worker, job: Job, now: float) -> bool:
        """Whether the worker has the slots that a job takes, as far as this node knows."""
        room = self._slots[worker.entry.kind] - worker.total(now)
        return job.slots <= room + SPARE * (self._free_slots < 0 or now >= job.timely)

    def _cold(self, worker: Worker, now: float) -> bool:
        return worker.entry.ready_at > 0.0 and max(0.0, now - worker.entry.ready_at) < self._set.cold

    def _share(self, worker: Worker, now: float) -> float:
        """The part of its capacity that a worker has at the least: it rises evenly over the warm-up."""
        warmed = max(0.0, now - worker.entry.ready_at) / self._set.cold if self._cold(worker, now) else 1.0
        return self._set.cold_share + (1.0 - self._set.cold_share) * warmed

    def _cold_left(self, worker: Worker, now: float) -> float:
        """Rule 4: the work a cold worker may still be sent, from what each warm one serves for this node."""
        if not self._cold(worker, now):
            return inf
        if now >= self._each_at + LOOK_AGAIN:
            # Cold ones served a part; half at least, or few warm ones would allow many cold ones too much.
            size = len(self._subset)
            missing = sum([1.0 - self._share(w, now) for w in self._warming_here(now)])
            whole = max(size - missing, size / 2.0)
            self._each, self._each_at = self._served_rate / max(1.0, whole), now
        allowed = COLD_MARGIN[self._many] * self._set.fall_multiple * self._each * self._set.fall
        allowed *= self._share(worker, now)
        while worker.recent and worker.recent[0][0] <= now - self._set.fall:
            worker.recent.popleft()
        if self._many:  # parts of a job, rounded, starve it or push it over: lots, evenly spread, decide
            draw = mix(worker.entry.worker, int((now - worker.entry.ready_at) / self._set.fall)) / 2.0**64
            worker.ticket = (draw + self._set.me / self._set.balancers) % 1.0
        return allowed - sum([work for _, work in worker.recent])

    def _warming_here(self, now: float) -> list[Worker]:
        """The workers of the subset that are warming up."""
        for id_ in [id_ for id_, w in self._warming.items() if not self._cold(w, now)]:
            del self._warming[id_]
        return [w for w in self._warming.values() if w.entry.state == State.READY and w in self._subset]

    def _send(self, job: Job, worker: Worker, now: float) -> None:
        """The one gate of sends: enforces rules 2, 3 and 4 whatever the callers meant."""
        over = job.answered or worker.entry.state != State.READY
        if over or job.cost * worker.ticket > worker.cold_left or not self._legal(job, worker, now):
            return
        self._unqueue(job)
        attempt = Attempt(job, len(job.attempts), worker, worker.entry, now, now)
        job.attempts.append(attempt)
        worker.open[(job.id, attempt.number)] = attempt
        self._busy[worker.entry.worker] = worker
        worker.unstarted, self._out = worker.unstarted + 1, self._out + 1
        worker.taken, worker.slots_free = worker.taken + job.slots, worker.slots_free - job.slots
        self._changed[worker.entry.worker] = worker
        if worker.cold_left < inf:
            worker.recent.append((now, job.cost))
        self._silence_at = min(self._silence_at, self._silence(worker), self._stuck(attempt))
        job.lane.pacer.count_send(now)
        self._retry_tokens = min(BURST, self._retry_tokens + RETRY_SHARE)
        self._actions.append(Send(job.id, worker.entry.worker, work=job.cost))

    def _set_wake(self, now: float) -> None:
        """One pending timer, at the earliest time at which something may change without an event."""
        at = min(self._deadlines[0][0] if self._deadlines else inf, self._silence_at)
        if self._held:
            for id_ in [id_ for id_, w in self._resting.items() if max(w.full_until, w.suspect_until) <= now]:
                del self._resting[id_]
            here = [w for w in self._resting.values() if w in self._subset]
            times = [t for w in here for t in (w.full_until, w.suspect_until)] + [self._probing]
            times += [p.next_at for p in self._pacers if p.rate is not None]
            at = min([at, now + LOOK_AGAIN, *[t for t in times if t > now]])
        at = max(at, now + self._set.tick)
        if at < inf and (not self._wake or at < self._wake):
            self._wake, self._token = at, self._token + 1
            self._actions.append(SetTimer(at, self._token))
