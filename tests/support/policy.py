"""Settings that many tests share, and a driver of one dispatcher's decisions. No server is modelled here."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from typing import Any

from eiderfield.interface import (
    Action,
    AttemptEnded,
    Effect,
    Endpoint,
    EndpointListKind,
    EndpointsUpdated,
    Event,
    RequestClass,
    RequestReceived,
    Settings,
    StartAttempt,
)
from eiderfield.policy.dispatcher import Dispatcher

SAFE = RequestClass(
    "safe",
    1.0,
    latency_objective_ms=300.0,
    deadline_ms=5000.0,
    effect=Effect.SAFE,
    late_weight=0.3,
    objective_stretch=2.0,
)
UNSAFE = replace(SAFE, name="unsafe", priority_weight=10.0, effect=Effect.UNSAFE)
KEYED = replace(SAFE, name="keyed", priority_weight=5.0, effect=Effect.KEYED, repeat_window_ms=2000.0)
BASE = Settings(
    classes=(SAFE, UNSAFE, KEYED),
    clock_resolution_ms=2.0,
    cancellation_allowed=True,
    hedging_allowed=True,
    retry_advice_allowed=True,
    max_attempts=5,
    max_retry_after_ms=2000.0,
    answer_slack_ms=8.0,
    drain_grace_ms=500.0,
    recovery_ramp_multiple=3.0,
    recovery_ramp_ms=2000.0,
    slow_start_window_ms=8000.0,
    slow_start_share=0.3,
    workers_report_start=True,
)


class Node:
    """A dispatcher with a clock and a memory of what it did."""

    def __init__(self, settings: Settings = BASE, workers: int = 3, seed: int = 1) -> None:
        self.dispatcher = Dispatcher(settings, seed)
        self.now = 0.0
        self.next_id = 1
        entries = tuple(Endpoint(w, cell=w % 2, zone=w % 3) for w in range(1, workers + 1))
        self.play(EndpointsUpdated(EndpointListKind.FULL, 1, entries))

    def play(self, *events: Event, at: float | None = None) -> list[Action]:
        """Hands events in at a time and returns the actions."""
        if at is not None:
            self.now = at
        return self.dispatcher.handle(self.now, list(events))

    def arrive(self, cls: int = 0, due: float = 5000.0, **more: Any) -> tuple[int, list[Action]]:
        """One request; returns its id and the actions."""
        id_ = self.next_id
        self.next_id += 1
        return id_, self.play(RequestReceived(id_, cls, self.now + due, **more))

    def end(
        self, id_: int, attempt: int, worker: int, outcome: int, final: bool = False, elapsed: float = 10.0
    ) -> list[Action]:
        """The outcome of one attempt."""
        return self.play(AttemptEnded(id_, attempt, worker, outcome, elapsed, final))


def learn(dispatcher: Dispatcher, **learned: Any) -> None:
    """Let a dispatcher continue with what a previous process has learned: fields of `LearnedState`."""
    nothing_new = replace(dispatcher.learned_state(), recent_work=(), key_counts=())
    dispatcher.resume(replace(nothing_new, **learned))


def sends(actions: Sequence[Action]) -> list[StartAttempt]:
    """The sends among some actions."""
    return [a for a in actions if isinstance(a, StartAttempt)]
