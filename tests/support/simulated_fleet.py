"""A simulation of many dispatchers' policies and their workers, with slots and slow start.

A heap of events drives the clock. The simulation models what the rules are about (who was sent what, and
when), and of the network a fixed delay only. Its own record of requests is made from the actions and shares
no code with the policy.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter, defaultdict, deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field, replace
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
    RequestReceived,
    Scope,
    SetTimer,
    StartAttempt,
    TimerFired,
)
from eiderfield.policy.dispatcher import Dispatcher
from support.policy import BASE, KEYED, SAFE

DELAY = 2.0  # ms one way between a node and a worker
SLOTS = 5
RUN = 400.0  # ms of every job
EQUAL = {1.0: 1.0}
MIXED = {0.25: 0.5, 1.0: 0.25, 2.5: 0.25}  # cost of a request in mean ones: how many are like that


def uneven(me: int) -> float:
    """A tenth of the nodes have five times the traffic of the others."""
    return 5.0 if me % 10 == 3 else 1.0


def even(_me: int) -> float:
    """All nodes have the same traffic."""
    return 1.0


SITE = replace(
    BASE,
    classes=(
        replace(
            SAFE,
            name="status",
            priority_weight=5.0,
            latency_objective_ms=250.0,
            deadline_ms=5000.0,
            late_weight=0.0,
            objective_stretch=2.5,
        ),
        replace(
            KEYED,
            name="report",
            priority_weight=3.0,
            latency_objective_ms=400.0,
            deadline_ms=12000.0,
            late_weight=0.0,
            objective_stretch=2.0,
            scope=Scope.ZONE,
            repeat_window_ms=20_000.0,
        ),
    ),
    zone_count=4,
    hedging_allowed=False,
    slow_start_window_ms=8600.0,
    slow_start_share=0.33,
    recovery_ramp_ms=1500.0,
    recovery_ramp_multiple=2.5,
)


@dataclass(eq=False)
class SimulatedWorker:
    """A worker: who runs in its slots, who waits, and what it has been sent."""

    entry: Endpoint
    free: int = SLOTS
    waiting: deque[dict[str, Any]] = field(default_factory=deque)
    silent: bool = False
    sent: list[tuple[float, float, bool]] = field(
        default_factory=list
    )  # time, work, and whether the sender knew of its start

    def share(self, now: float) -> float:
        """The share of its capacity that it has now."""
        if not self.entry.ready_at:
            return 1.0
        age = now - self.entry.ready_at
        return min(
            1.0, SITE.slow_start_share + (1.0 - SITE.slow_start_share) * age / SITE.slow_start_window_ms
        )


class SimulatedFleet:
    """Nodes, workers and a ledger."""

    def __init__(
        self,
        nodes: int,
        workers: int,
        load: float,
        seed: int = 1,
        traffic: Callable[[int], float] = uneven,
        costs: dict[float, float] = EQUAL,
    ) -> None:
        self.rng, self.now, self.order = random.Random(seed), 0.0, count()
        self.events: list[tuple[float, int, Callable[..., object], tuple[Any, ...]]] = []
        self.nodes = [
            Dispatcher(replace(SITE, dispatcher_count=nodes, dispatcher_index=me), me) for me in range(nodes)
        ]
        self.simulated_workers = {
            w: SimulatedWorker(Endpoint(w, zone=w % 4, cell=w % 4)) for w in range(1, workers + 1)
        }
        self.rate = load * workers * SLOTS / RUN  # jobs a ms that take this share of all slots
        self.weights = [traffic(me) for me in range(nodes)]
        self.costs = costs  # of a request, as a multiple of the mean, and how often each is met
        self.starts: dict[
            tuple[int, int], float
        ] = {}  # by node and worker: the start that the node was told of
        self.told: dict[int, dict[int, tuple[EndpointState, float]]] = defaultdict(
            dict
        )  # by node: the state of each worker, and since when
        self.jobs: dict[tuple[int, int], dict[str, Any]] = {}
        self.answers: Counter[object] = Counter()
        self.broken: list[str] = []
        self.ids = count(1)
        for me in range(nodes):
            self.tell(
                me, [simulated.entry for simulated in self.simulated_workers.values()], EndpointListKind.FULL
            )
        self.at(0.0, self.arrive)

    def at(self, when: float, call: Callable[..., object], *more: Any) -> None:
        heapq.heappush(self.events, (when, next(self.order), call, more))

    def run(self, until: float) -> None:
        while self.events and self.events[0][0] <= until:
            self.now, _, call, more = heapq.heappop(self.events)
            call(*more)
        self.now = until

    def change(self, *entries: Endpoint) -> None:
        """Workers change, and every node is told within 0.6 s, each at its own time."""
        for entry in entries:
            simulated = self.simulated_workers.setdefault(entry.worker, SimulatedWorker(entry))
            simulated.entry = entry
        for me in range(len(self.nodes)):
            self.at(self.now + self.rng.uniform(0.0, 600.0), self.tell, me, entries, EndpointListKind.DELTA)

    def fall_silent(self, workers: Iterable[int]) -> None:
        """Machines vanish without a word: what runs there is lost, and new connections never come up."""
        for worker in workers:
            self.simulated_workers[worker].silent = True

    def wake(self, workers: Iterable[int]) -> None:
        """They are back, with empty hands; the connections of before are reset."""
        for worker in workers:
            simulated = self.simulated_workers[worker]
            simulated.silent, simulated.free = False, SLOTS
            simulated.waiting.clear()
        for job in list(self.jobs.values()):
            for leg in [
                leg for leg in job["legs"] if leg["out"] and leg["simulated"].entry.worker in workers
            ]:
                leg["running"] = False
                self.at(self.now + DELAY, self.end, leg, Outcome.RESET)

    def tell(self, me: int, entries: Sequence[Endpoint], kind: EndpointListKind) -> None:
        for entry in entries:
            self.told[me][entry.worker] = (entry.state, self.now)
            self.starts[me, entry.worker] = entry.ready_at
        self.handle(me, EndpointsUpdated(kind, 1, tuple(entries)))

    def arrive(self) -> None:
        self.at(self.now + self.rng.expovariate(self.rate), self.arrive)
        [me] = self.rng.choices(range(len(self.nodes)), self.weights)
        cls, id_ = int(self.rng.random() < 0.4), next(self.ids)
        [cost] = self.rng.choices(list(self.costs), list(self.costs.values()))
        key = min(120, int(self.rng.paretovariate(0.9)))
        due = self.now + SITE.classes[cls].deadline_ms
        self.jobs[me, id_] = {"cls": cls, "due": due, "legs": [], "done": None, "run": cost * RUN}
        self.handle(me, RequestReceived(id_, cls, due, affinity_key=key))

    def handle(self, me: int, *events: Event) -> None:
        for action in self.nodes[me].handle(self.now, list(events)):
            if isinstance(action, StartAttempt):
                self.send(me, action)
            elif isinstance(action, CancelAttempt):
                self.cancel(me, action.request_id, action.attempt_number)
            elif isinstance(action, RejectRequest | FailRequest):
                self.answer(me, action.request_id, type(action))
            elif isinstance(action, SetTimer):
                self.at(action.fires_at, self.handle, me, TimerFired(action.token))

    def send(self, me: int, action: Any) -> None:
        job, simulated = self.jobs[me, action.request_id], self.simulated_workers[action.worker]
        state, since = self.told[me][action.worker]
        if state != EndpointState.READY and self.now > since + SITE.drain_grace_ms:
            self.broken.append(f"3: node {me} to {action.worker}, told {self.now - since:.0f} ms before")
        if any(leg["out"] for leg in job["legs"]) or job["done"] is not None:
            self.broken.append(f"1, 2: job {action.request_id} of node {me} has a leg out or is over")
        ran = [leg for leg in job["legs"] if leg["may"]]
        if ran and SITE.classes[job["cls"]].effect == Effect.KEYED and ran[0]["zone"] != simulated.entry.zone:
            self.broken.append(f"2: job {action.request_id} of node {me} repeated in another zone")
        leg = {
            "me": me,
            "id": action.request_id,
            "n": len(job["legs"]),
            "simulated": simulated,
            "out": True,
            "may": True,
            "zone": simulated.entry.zone,
            "running": False,
            "sent": self.now,
        }
        job["legs"].append(leg)
        simulated.sent.append((self.now, job["run"], self.knows_start(me, simulated)))
        self.at(self.now + DELAY, self.reach, leg)

    def reach(self, leg: dict[str, Any]) -> None:
        if leg["out"] and leg["simulated"].silent:
            self.at(self.now + 100.0, self.end, leg, Outcome.CONNECT_FAILED)
        elif leg["out"] and leg["simulated"].entry.state == EndpointState.GONE:
            self.at(self.now + DELAY, self.end, leg, Outcome.CONNECT_FAILED)
        elif leg["out"]:
            leg["simulated"].waiting.append(leg)
            self.next(leg["simulated"])

    def next(self, simulated: SimulatedWorker) -> None:
        while simulated.free and simulated.waiting and not simulated.silent:
            leg = simulated.waiting.popleft()
            if leg["out"]:
                simulated.free -= 1
                leg["running"] = True
                self.at(self.now + DELAY, self.note, leg)
                run = self.jobs[leg["me"], leg["id"]]["run"]
                self.at(self.now + run / simulated.share(self.now), self.finish, leg)

    def note(self, leg: dict[str, Any]) -> None:
        if leg["out"]:
            self.handle(
                leg["me"],
                AttemptProgressed(
                    leg["id"], leg["n"], leg["simulated"].entry.worker, ProgressKind.STARTED, 0.0
                ),
            )

    def finish(self, leg: dict[str, Any]) -> None:
        if leg["running"]:
            leg["running"] = False
            leg["simulated"].free += 1
            self.next(leg["simulated"])
            if not leg["simulated"].silent:
                self.at(self.now + DELAY, self.end, leg, Outcome.OK)

    def end(self, leg: dict[str, Any], outcome: Outcome) -> None:
        if not leg["out"]:
            return
        leg["out"], leg["may"] = False, outcome not in NEVER_RAN
        me, job = leg["me"], self.jobs[leg["me"], leg["id"]]
        if outcome == Outcome.OK and job["done"] is None:
            self.answer(me, leg["id"], "served")
        over, elapsed = job["done"] is not None, self.now - leg["sent"]
        self.handle(
            me, AttemptEnded(leg["id"], leg["n"], leg["simulated"].entry.worker, outcome, elapsed, over)
        )

    def cancel(self, me: int, id_: int, number: int) -> None:
        leg = self.jobs[me, id_]["legs"][number]
        if leg["running"]:  # a running job is stopped, and its slot is free
            leg["running"] = False
            leg["simulated"].free += 1
            self.next(leg["simulated"])
        self.at(self.now, self.end, leg, Outcome.CANCELLED)

    def answer(self, me: int, id_: int, how: object) -> None:
        job = self.jobs[me, id_]
        if job["done"] is not None:
            self.broken.append(f"1: job {id_} of node {me} answered twice")
        if self.now > job["due"] + SITE.answer_slack_ms:
            self.broken.append(f"1: job {id_} of node {me} answered late")
        job["done"] = how
        self.answers[how] += 1

    def sent_to(self, workers: Iterable[int], since: float) -> int:
        """How many legs workers were sent after a time."""
        return sum(at > since for worker in workers for at, *_ in self.simulated_workers[worker].sent)

    def served(self) -> float:
        """The share of what is over that was served."""
        return self.answers["served"] / max(1, sum(self.answers.values()))

    def owed(self) -> list[dict[str, Any]]:
        """The jobs whose clients have gone without an answer."""
        late = self.now - SITE.answer_slack_ms
        return [job for job in self.jobs.values() if job["done"] is None and job["due"] < late]

    def knows_start(self, me: int, simulated: SimulatedWorker) -> bool:
        """Whether a node was told of the worker's present start."""
        return self.starts.get((me, simulated.entry.worker)) == simulated.entry.ready_at

    def worst(self, worker: int, until: float) -> float:
        """The most work that a worker was sent in a window while it warmed up, as a share of what it can do
        by the settings alone, without the rule's slack."""
        simulated, most = self.simulated_workers[worker], 0.0
        sent = [(at, work) for at, work, _ in simulated.sent if at >= simulated.entry.ready_at]
        for end, _ in sent:
            if end <= min(until, simulated.entry.ready_at + SITE.slow_start_window_ms):
                window = sum(work for at, work in sent if end - SITE.recovery_ramp_ms < at <= end)
                most = max(
                    most,
                    window
                    / (SITE.recovery_ramp_multiple * SLOTS * simulated.share(end) * SITE.recovery_ramp_ms),
                )
        return most

    def slow_start_use(self, worker: int, until: float) -> float:
        """The most that a worker was sent in a window while it warmed up, as a share of its budget.

        Counted are requests of mean work. A window of which a third or more came from nodes that had not
        been told of the start breaks nothing."""
        simulated, most = self.simulated_workers[worker], 0.0
        sent = [one for one in simulated.sent if one[0] >= simulated.entry.ready_at]
        for end, *_ in sent:
            if end <= min(until, simulated.entry.ready_at + SITE.slow_start_window_ms):
                window = [one for one in sent if end - SITE.recovery_ramp_ms < one[0] <= end]
                calls = sum(work for _, work, _ in window) / RUN
                told = sum(work for _, work, knew in window if knew) / RUN
                if told > 2 / 3 * calls:
                    most = max(most, calls / slow_start_budget(simulated.share(end)))
        return most


def slow_start_budget(share: float) -> float:
    """The calls of mean work that a worker bears at this share of its capacity (STANDING.md of the bench)."""
    allowed = SITE.recovery_ramp_multiple * SLOTS * share * SITE.recovery_ramp_ms / RUN
    slack = 3.0 * sqrt(allowed) + 3.0 if allowed < 30.0 else 2.0 * sqrt(allowed) + 2.0
    return allowed + slack
