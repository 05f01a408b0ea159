"""Courses of modelled fleets under extreme but valid settings.

`PYTHONPATH=.:tests python -m support.extreme_settings` prints the share of requests that each one serves.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from eiderfield.interface import EndpointState, RequestClass, Scope, Settings
from support.driven_fleet import DrivenFleet, Load
from support.policy import BASE, KEYED, SAFE, UNSAFE

Course = Callable[[DrivenFleet], int]  # returns the number of the first request that is counted

SHORT = replace(SAFE, latency_objective_ms=20.0, deadline_ms=200.0, objective_stretch=0.0, late_weight=0.0)
USUAL = replace(SAFE, latency_objective_ms=500.0, deadline_ms=5000.0, objective_stretch=0.0, late_weight=0.0)
LONG = replace(
    SAFE, latency_objective_ms=60_000.0, deadline_ms=300_000.0, objective_stretch=0.0, late_weight=0.0
)


def settings_of(*classes: RequestClass, **changes: Any) -> Settings:
    """Settings without hedging for some classes."""
    base = replace(
        BASE, classes=classes, hedging_allowed=False, recovery_ramp_ms=1500.0, recovery_ramp_multiple=2.5
    )
    return replace(base, **changes)


def steady(duration: float) -> Course:
    """Nothing happens but requests."""

    def course(fleet: DrivenFleet) -> int:
        fleet.run(duration)
        return 0

    return course


def one_hangs(duration: float) -> Course:
    """A worker takes requests and says nothing from some moment on."""

    def course(fleet: DrivenFleet) -> int:
        fleet.run(duration / 4.0)
        first = len(fleet.requests)
        fleet.workers[1].hung = True
        fleet.run(duration)
        return first

    return course


def all_unreachable(outage: float, after: float) -> Course:
    """No worker can be reached for a while. Counts what comes after that."""

    def course(fleet: DrivenFleet) -> int:
        fleet.run(1000.0)
        for worker in fleet.workers.values():
            worker.down = True
        fleet.run(outage)
        for worker in fleet.workers.values():
            worker.down = False
        first = len(fleet.requests)
        fleet.run(after)
        return first

    return course


def restart(before: float, after: float, *workers: int) -> Course:
    """Some workers start anew. Counts what comes after that."""

    def course(fleet: DrivenFleet) -> int:
        fleet.run(before)
        first = len(fleet.requests)
        fleet.list_workers(*workers, ready_at=fleet.now)
        fleet.run(after)
        return first

    return course


def mixed_faults(step: float) -> Course:
    """Workers break connections, drain, leave, return, hang and can't be reached, one after another."""

    def course(fleet: DrivenFleet) -> int:
        fleet.run(step)
        fleet.reset_running(1)
        fleet.run(step)
        fleet.list_workers(2, state=EndpointState.DRAINING)
        fleet.run(step)
        fleet.list_workers(2, state=EndpointState.GONE)
        fleet.workers[3].hung = True
        fleet.run(step)
        fleet.list_workers(2, state=EndpointState.READY, ready_at=fleet.now)
        fleet.workers[4].down = True
        fleet.run(step)
        fleet.reset_running(1)
        fleet.workers[4].down = False
        fleet.run(step)
        return 0

    return course


@dataclass(frozen=True, slots=True)
class Case:
    """One fleet and what happens to it."""

    settings: Settings
    load: Load
    course: Course
    nodes: int = 1

    def play(self) -> float:
        """Plays the course to the end of all clients' times and returns the share served."""
        fleet = DrivenFleet(self.settings, self.load, self.nodes)
        first = self.course(fleet)
        fleet.drain_out()
        return fleet.share_served(first)


def _fleet_of(aim: float, round_trip: float) -> Case:
    cls = replace(SHORT, latency_objective_ms=aim, deadline_ms=max(200.0, 5.0 * aim))
    load = Load(0.5, 5.0, workers=20, round_trip=round_trip)
    return Case(settings_of(cls, dispatcher_count=16), load, steady(1500.0), 16)


def _warming(cold: float, after: float) -> Case:
    settings = settings_of(USUAL, slow_start_window_ms=cold, slow_start_share=0.3)
    return Case(settings, Load(80.0, 250.0), restart(20_000.0, after, 1, 2, 3, 4))


def _three_effects(aim: float, deadline: float, window: float) -> tuple[RequestClass, ...]:
    times: dict[str, Any] = {"latency_objective_ms": aim, "deadline_ms": deadline, "objective_stretch": 0.0}
    keyed = replace(KEYED, repeat_window_ms=window, scope=Scope.ZONE, **times)
    return replace(SAFE, **times), keyed, replace(UNSAFE, **times)


_SHORT_EFFECTS = _three_effects(20.0, 200.0, 100.0)
_LONG_EFFECTS = _three_effects(60_000.0, 300_000.0, 120_000.0)

CASES = {
    "steady, objective 20 ms": Case(settings_of(SHORT), Load(2.1, 5.0), steady(4000.0)),
    "steady, objective 60 s": Case(settings_of(LONG), Load(4200.0, 10_000.0), steady(600_000.0)),
    "burst of 12 s of work, objective 60 s": Case(settings_of(LONG), Load(5.0, 250.0), steady(1000.0)),
    "full workers, run 5 ms": Case(
        settings_of(SHORT, workers_report_start=False), Load(1.04, 5.0, queue_size=1), steady(5000.0)
    ),
    "full workers, run 250 ms": Case(
        settings_of(replace(USUAL, latency_objective_ms=500.0), workers_report_start=False),
        Load(52.0, 250.0, queue_size=1),
        steady(250_000.0),
    ),
    "hung worker, deadline 200 ms, notes each 1 s": Case(
        settings_of(SHORT, cancellation_allowed=False, progress_interval_ms=1000.0),
        Load(40.0, 5.0),
        one_hangs(20_000.0),
    ),
    "hung worker, deadline 200 ms, no notes": Case(
        settings_of(SHORT, cancellation_allowed=False), Load(40.0, 5.0), one_hangs(20_000.0)
    ),
    "hung worker, deadline 400 ms, objective 150 ms, no notes": Case(
        settings_of(
            replace(USUAL, latency_objective_ms=150.0, deadline_ms=400.0), cancellation_allowed=False
        ),
        Load(60.0, 50.0),
        one_hangs(20_000.0),
    ),
    "hung worker, deadline 300 s": Case(
        settings_of(LONG, cancellation_allowed=False), Load(1000.0, 2000.0), one_hangs(600_000.0)
    ),
    "no worker for 3 s, objective 20 ms": Case(
        settings_of(SHORT), Load(4.0, 5.0), all_unreachable(3000.0, 5000.0)
    ),
    "all workers restart, warm-up 0.5 s": _warming(500.0, 10_000.0),
    "all workers restart, warm-up 8 s": _warming(8000.0, 10_000.0),
    "all workers restart, warm-up 60 s": _warming(60_000.0, 60_000.0),
    "all workers restart, warm-up 600 s": _warming(600_000.0, 120_000.0),
    "the sole worker restarts, a request each 5 s, warm-up 600 s": Case(
        settings_of(USUAL, slow_start_window_ms=600_000.0, slow_start_share=0.3),
        Load(5000.0, 100.0, workers=1),
        restart(100_000.0, 600_000.0, 1),
    ),
    "one of two restarts, run 5 ms, warm-up 0.5 s": Case(
        settings_of(SHORT, slow_start_window_ms=500.0, slow_start_share=0.3),
        Load(0.8, 5.0, workers=2, slots=4, queue_size=50),
        restart(2000.0, 1500.0, 1),
    ),
    "one of two restarts, run 5 ms, warm-up 600 s": Case(
        settings_of(SHORT, slow_start_window_ms=600_000.0, slow_start_share=0.1),
        Load(1.5625, 5.0, workers=2, slots=4, queue_size=50),
        restart(3000.0, 3000.0, 1),
    ),
    "one of four restarts, run 10 s, warm-up 600 s": Case(
        settings_of(LONG, slow_start_window_ms=600_000.0, slow_start_share=0.3),
        Load(3000.0, 10_000.0),
        restart(120_000.0, 300_000.0, 1),
    ),
    "16 dispatchers, objective 20 ms, round trip 0.4 ms": _fleet_of(20.0, 0.4),
    "16 dispatchers, objective 20 ms, round trip 5 ms": _fleet_of(20.0, 5.0),
    "16 dispatchers, objective 100 ms, round trip 5 ms": _fleet_of(100.0, 5.0),
    "faults, deadline 200 ms, window 100 ms": Case(
        settings_of(*_SHORT_EFFECTS, slow_start_window_ms=500.0), Load(4.0, 5.0), mixed_faults(500.0)
    ),
    "faults, deadline 200 ms, warm-up 600 s": Case(
        settings_of(*_SHORT_EFFECTS, slow_start_window_ms=600_000.0, progress_interval_ms=50.0),
        Load(4.0, 5.0),
        mixed_faults(500.0),
    ),
    "faults, deadline 300 s, window 120 s": Case(
        settings_of(*_LONG_EFFECTS, slow_start_window_ms=500.0), Load(1000.0, 2000.0), mixed_faults(60_000.0)
    ),
    "faults, deadline 300 s, hedging": Case(
        settings_of(
            *_LONG_EFFECTS, hedging_allowed=True, cancellation_allowed=False, progress_interval_ms=1000.0
        ),
        Load(1000.0, 2000.0),
        mixed_faults(60_000.0),
    ),
    "faults, 200 dispatchers": Case(
        settings_of(*_SHORT_EFFECTS, dispatcher_count=200, slow_start_window_ms=8000.0),
        Load(2.0, 5.0, workers=100),
        mixed_faults(300.0),
        200,
    ),
}


def main() -> None:
    """Prints the share served in each case."""
    for name, case in CASES.items():
        print(f"{case.play():.3f}  {name}")


if __name__ == "__main__":
    main()
