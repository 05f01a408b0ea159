"""Plays valid random event sequences on one dispatcher and checks the four rules on its actions.

No worker is simulated: outcomes are drawn at random.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from random import Random
from typing import Any

from eiderfield.interface import (
    NEVER_RAN,
    Action,
    AttemptEnded,
    AttemptProgressed,
    CancelAttempt,
    ClientDisconnected,
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
    Settings,
    StartAttempt,
    Tenant,
    TimerFired,
    stable_hash,
)
from eiderfield.policy.context import MANY_DISPATCHERS
from eiderfield.policy.dispatcher import Dispatcher
from eiderfield.policy.slow_start import SERVED_RATE_MS
from support.policy import BASE, KEYED, SAFE, UNSAFE

LATEST = 60.0  # ms by which this player's steps may be late with a timer
WORK = 100.0  # every job's hint, so that the work sent can be counted
FAILURES = [Outcome.ERROR, Outcome.RESET, Outcome.CONNECT_FAILED, Outcome.CANCELLED, Outcome.TIMEOUT]
FIGURES = [0.0, 0.4, 3.0, 5.0, float("nan")]  # of load reports: noisy, stale and partial
OUTCOMES = [Outcome.OK] * 6 + [Outcome.FULL] * 2 + FAILURES

VARIANTS = {
    "plain": BASE,
    "cells": replace(BASE, classes=(SAFE, replace(KEYED, scope=Scope.CELL), UNSAFE), dispatcher_count=3),
    "zones": replace(BASE, classes=(replace(KEYED, scope=Scope.ZONE, repeat_window_ms=800.0),), zone_count=3),
    "all unsafe": replace(BASE, classes=(UNSAFE,), cancellation_allowed=False),
    "nothing offered": replace(
        BASE,
        classes=(SAFE, UNSAFE, KEYED),
        cancellation_allowed=False,
        hedging_allowed=False,
        retry_advice_allowed=False,
        workers_report_start=False,
        max_attempts=2,
        dispatcher_count=4,
        slow_start_window_ms=3000.0,
        slow_start_share=0.1,
    ),
    "no copies": replace(BASE, classes=(SAFE,), hedging_allowed=False),
    "tenants": replace(BASE, tenants=(Tenant("a", 5.0, 0.5), Tenant("b", 5.0, 0.5)), over_quota_weight=0.1),
}


class RuleBrokenError(AssertionError):
    """One of the four rules does not hold."""


class EventPlayer:
    """The events that have been played and the ledger that the rules are judged by."""

    def __init__(self, settings: Settings, rng: Random) -> None:
        self.settings = settings
        self.rng = rng
        self.node = Dispatcher(settings, rng.randrange(1 << 32))
        self.now = 0.0
        self.timers: list[tuple[float, int]] = []
        self.jobs: dict[int, dict[str, Any]] = {}  # id: dict of class, due, answered, told, attempts
        self.out: list[tuple[int, int]] = []  # (id, attempt)
        self.entries = {w: Endpoint(w, zone=w % 3, cell=w % 2) for w in range(1, 7)}
        self.sent_cold: list[tuple[float, int]] = []  # (time, worker)
        self.served = 0.0
        self.version = 1
        self.play([EndpointsUpdated(EndpointListKind.FULL, 1, tuple(self.entries.values()))])

    def play(self, events: Sequence[Event]) -> None:
        """Hands a batch in and judges the reply."""
        for action in self.node.handle(self.now, list(events)):
            self.judge(action)
        for id_, job in self.jobs.items():
            waits = job["answered"] is None and not job["gone"]
            late = self.settings.answer_slack_ms + LATEST
            if waits and self.now > job["due"] + late:
                raise RuleBrokenError(f"rule 1: {id_} unanswered at {self.now}, due {job['due']}")

    def judge(self, action: Action) -> None:
        """Checks one action against the rules."""
        if isinstance(action, SetTimer):
            self.timers.append((action.fires_at, action.token))
        elif isinstance(action, CancelAttempt):
            if not self.settings.cancellation_allowed or action.attempt_number >= len(
                self.jobs[action.request_id]["attempts"]
            ):
                raise RuleBrokenError("cancel not allowed or of an attempt never sent")
        elif isinstance(action, RejectRequest | FailRequest):
            job = self.jobs[action.request_id]
            if job["answered"] is not None and not job["gone"]:  # naming a client just gone does no harm
                raise RuleBrokenError(f"rule 1: {action.request_id} answered twice")
            job["answered"] = self.now
            cls = self.settings.classes[job["cls"]]
            ran = [a for a in job["attempts"] if a["may"]]
            free = cls.effect == Effect.SAFE or (cls.effect == Effect.KEYED and cls.scope == Scope.ALL)
            if isinstance(action, RejectRequest) and ran and not free:
                raise RuleBrokenError(f"rule 2: {action.request_id} refused though it may have run")
        elif isinstance(action, StartAttempt):
            self.judge_send(action)

    def judge_send(self, action: StartAttempt) -> None:
        """Rules 1 to 4 for a send."""
        job, entry = self.jobs[action.request_id], self.entries[action.worker]
        cls = self.settings.classes[job["cls"]]
        if job["answered"] is not None or job["gone"]:
            raise RuleBrokenError(f"rule 1: {action.request_id} sent after its end")
        ran = [a for a in job["attempts"] if a["may"]]
        if any(a["out"] for a in job["attempts"]) and not self.settings.hedging_allowed:
            raise RuleBrokenError("two attempts at once")
        if ran and cls.effect == Effect.UNSAFE:
            raise RuleBrokenError(f"rule 2: unsafe {action.request_id} sent again")
        if ran and cls.effect == Effect.KEYED:
            first = ran[0]
            zone, cell = entry.zone == first["zone"], entry.cell == first["cell"]
            same = {Scope.ALL: True, Scope.ZONE: zone, Scope.CELL: cell}[cls.scope]
            if not same or self.now > first["sent"] + cls.repeat_window_ms:
                raise RuleBrokenError(f"rule 2: keyed {action.request_id} outside its group or window")
        if entry.state != EndpointState.READY:
            raise RuleBrokenError(f"rule 3: {action.request_id} to a worker that drains or is gone")
        age = self.now - entry.ready_at
        if entry.ready_at > 0 and age < self.settings.slow_start_window_ms:
            self.sent_cold.append((self.now, action.worker))
            recent = sum(
                w == action.worker and t > self.now - self.settings.recovery_ramp_ms
                for t, w in self.sent_cold
            )
            share = (
                self.settings.slow_start_share
                + (1 - self.settings.slow_start_share) * age / self.settings.slow_start_window_ms
            )
            allowed = (
                self.settings.recovery_ramp_multiple
                * share
                * self.served
                / SERVED_RATE_MS
                * self.settings.recovery_ramp_ms
            )
            if (recent - 1 + self.lot(action.worker, age)) * WORK > allowed:
                raise RuleBrokenError(f"rule 4: {recent} jobs to a cold worker")
        place = {"zone": entry.zone, "cell": entry.cell, "w": action.worker}
        job["attempts"].append({"sent": self.now, "may": True, "out": True, **place})
        self.out.append((action.request_id, len(job["attempts"]) - 1))

    def lot(self, worker: int, age: float) -> float:
        """The share of a job that must be left of this node's part for a whole one: 1 where nodes are few. Of
        many each has less than a job, and whose lot is low enough sends a whole one: the sum over all nodes
        keeps the rule (`tests/test_simulated_fleet.py`), which one node's sends alone cannot show."""
        if self.settings.dispatcher_count <= MANY_DISPATCHERS:
            return 1.0
        draw = stable_hash(worker, int(age / self.settings.recovery_ramp_ms)) / 2.0**64
        return (draw + self.settings.dispatcher_index / self.settings.dispatcher_count) % 1.0

    def step(self) -> None:
        """A few events at one time, drawn among those that are legal."""
        rng = self.rng
        self.now += rng.choice([0.0, 1.0, 5.0, 20.0, 60.0])
        due = [t for t in self.timers if t[0] <= self.now]
        self.timers = [t for t in self.timers if t[0] > self.now]
        events: list[Event] = [TimerFired(token) for _, token in due]
        for _ in range(rng.randrange(4)):
            draw = rng.random()
            if draw < 0.45:
                id_ = len(self.jobs) + 1
                cls = rng.randrange(len(self.settings.classes))
                wait = rng.choice([40.0, 300.0, 1000.0])
                due_at = self.now + wait
                self.jobs[id_] = {"cls": cls, "due": due_at, "answered": None, "gone": False, "attempts": []}
                tenant = rng.randrange(max(1, len(self.settings.tenants)))
                key = rng.choice([0, 0, 7, 8])
                slots = rng.choice([1.0, 1.0, 1.0, 2.0, 4.0])
                is_client_retry = rng.choice([False, True])
                events.append(
                    RequestReceived(
                        id_, cls, self.now + wait, tenant, key, WORK, slots, is_client_retry=is_client_retry
                    )
                )
            elif draw < 0.8 and self.out:
                events.append(self.outcome(*self.out.pop(rng.randrange(len(self.out)))))
            elif draw < 0.87 and self.out:
                id_, number = rng.choice(self.out)
                worker = self.jobs[id_]["attempts"][number]["w"]
                events.append(
                    AttemptProgressed(
                        id_, number, worker, rng.choice([ProgressKind.STARTED, ProgressKind.SHARE_DONE]), 0.5
                    )
                )
            elif draw < 0.92 and self.jobs:
                id_ = rng.randrange(len(self.jobs)) + 1
                events.append(ClientDisconnected(id_))
                self.jobs[id_]["gone"] = True
            elif draw < 0.97:
                worker = rng.randrange(6) + 1
                old = self.entries[worker]
                state = rng.choice(list(EndpointState))
                fresh = (
                    self.now
                    if state == EndpointState.READY and old.state == EndpointState.GONE
                    else old.ready_at
                )
                entry = replace(old, state=state, ready_at=fresh, cell=rng.randrange(2))
                self.entries[worker] = entry
                self.version += 1
                events.append(EndpointsUpdated(EndpointListKind.DELTA, self.version, (entry,)))
        for id_, job in self.jobs.items():  # an attempt ends at the client's time
            for number, attempt in enumerate(job["attempts"]):
                if attempt["out"] and self.now >= job["due"] and (id_, number) in self.out:
                    self.out.remove((id_, number))
                    events.append(self.outcome(id_, number, Outcome.TIMEOUT))
        self.play(events)

    def outcome(self, id_: int, number: int, how: Outcome | None = None) -> AttemptEnded:
        """The end of an attempt, kept in the ledger."""
        job = self.jobs[id_]
        attempt = job["attempts"][number]
        how = how or self.rng.choice(OUTCOMES)
        attempt["out"] = False
        attempt["may"] = how not in NEVER_RAN
        if how == Outcome.OK:
            self.served += WORK
            if job["answered"] is None and not job["gone"]:
                job["answered"] = self.now
        over = job["answered"] is not None or job["gone"]
        load = tuple(self.rng.choice(FIGURES) for _ in self.settings.load_report_fields)
        return AttemptEnded(
            id_, number, attempt["w"], how, self.now - attempt["sent"], over, load_report=load
        )

    def run(self, steps: int) -> None:
        """Plays so many steps, then lets the time of all clients run out."""
        for _ in range(steps):
            self.step()
        while any(t for t in self.timers):
            self.now, _ = min(self.timers)
            tokens = [TimerFired(k) for t, k in self.timers if t <= self.now]
            self.timers = [t for t in self.timers if t[0] > self.now]
            self.play(tokens)
            if all(j["answered"] is not None or j["gone"] for j in self.jobs.values()):
                break
        left = [i for i, j in self.jobs.items() if j["answered"] is None and not j["gone"]]
        if left:
            raise RuleBrokenError(f"rule 1: {left} never answered")
