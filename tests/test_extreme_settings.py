"""The rules under extreme settings, on a simulated clock."""

import random
from dataclasses import replace

import pytest
from support.driven_fleet import DrivenFleet, Load
from support.extreme_settings import CASES, SHORT, settings_of
from support.policy import BASE, KEYED, SAFE, UNSAFE, Node, sends
from support.random_events import EventPlayer, RuleBrokenError

from eiderfield.exchange.request import Request
from eiderfield.interface import (
    MAX_WRITE_DELAY_MS,
    AttemptEnded,
    AttemptProgressed,
    Endpoint,
    EndpointListKind,
    EndpointState,
    EndpointsUpdated,
    Outcome,
    StartAttempt,
)
from eiderfield.net.backoff import (
    FIRST_LIST_TIMEOUT_MS,
    NOTIFICATION_DEADLINE_MS,
    SOURCE_DIAL_TIMEOUT_MS,
    Backoff,
)
from eiderfield.net.shutdown_times import KILL_DELAY_MS, MAX_DEADLINE_MS, ShutdownTimes
from eiderfield.net.worker_messages import attempt_request
from eiderfield.policy import endpoint, slow_start
from eiderfield.policy.dispatcher import Dispatcher
from eiderfield.policy.slow_start import SlowStart


def with_objective(objective_ms, **changes):
    classes = [
        replace(cls, latency_objective_ms=objective_ms, objective_stretch=0.0, **changes)
        for cls in (SAFE, KEYED, UNSAFE)
    ]
    return replace(BASE, classes=tuple(classes))


VARIANTS = {
    "objective 20 ms": with_objective(20.0),
    "objective 60 s": with_objective(60_000.0),
    "repeat window below the write delay": with_objective(300.0, repeat_window_ms=MAX_WRITE_DELAY_MS - 1.0),
    "repeat window 5 min": with_objective(300.0, repeat_window_ms=300_000.0),
    "warm-up 0.5 s": replace(BASE, slow_start_window_ms=500.0, slow_start_share=0.05),
    "warm-up 600 s": replace(BASE, slow_start_window_ms=600_000.0, slow_start_share=0.0),
    "recovery ramp 50 ms": replace(BASE, recovery_ramp_ms=50.0),
    "recovery ramp 60 s": replace(BASE, recovery_ramp_ms=60_000.0),
    "200 dispatchers": replace(with_objective(20.0), dispatcher_count=200, dispatcher_index=77),
    "progress every 50 ms": replace(with_objective(20.0), progress_interval_ms=50.0),
    "progress every 10 s, no cancellation": replace(
        with_objective(60_000.0), progress_interval_ms=10_000.0, cancellation_allowed=False
    ),
    "clock resolution 20 ms": replace(BASE, clock_resolution_ms=20.0, answer_slack_ms=0.0),
}


@pytest.mark.parametrize("variant", VARIANTS)
def test_rules_hold_under_random_events(variant):
    for seed in range(20):
        EventPlayer(VARIANTS[variant], random.Random(seed)).run(120)


@pytest.mark.parametrize("name", CASES)
def test_rules_hold_in_a_modelled_fleet(name):
    CASES[name].play()


# The checks of the driven fleet detect violations.


def test_driven_fleet_detects_a_missing_answer(monkeypatch):
    monkeypatch.setattr(Dispatcher, "_expire", lambda _self, _now: None)
    with pytest.raises(RuleBrokenError, match="no answer"):
        CASES["no worker for 3 s, objective 20 ms"].play()


def test_driven_fleet_detects_too_much_work_sent_to_a_warming_worker(monkeypatch):
    monkeypatch.setattr(SlowStart, "budget_left", lambda _self, _worker, _now: float("inf"))
    with pytest.raises(RuleBrokenError, match="warming worker"):
        CASES["one of two restarts, run 5 ms, warm-up 600 s"].play()


def test_driven_fleet_detects_an_attempt_at_a_draining_worker(monkeypatch):
    fleet = DrivenFleet(settings_of(SHORT), Load(4.0, 5.0))
    fleet.run(100.0)
    monkeypatch.setattr(fleet.nodes[0], "handle", lambda _now, _events: [StartAttempt(0, 1)])
    fleet.requests[0].answered = None
    fleet.requests[0].due = fleet.now + 100.0

    def drain_worker():
        fleet.list_workers(1, state=EndpointState.DRAINING)
        fleet.run(10.0)

    with pytest.raises(RuleBrokenError, match="drains"):
        drain_worker()


# Slow start.


def test_warming_worker_is_sent_no_more_requests_than_are_recorded(monkeypatch):
    monkeypatch.setattr(endpoint, "MAX_RECENT_SENDS", 8)
    monkeypatch.setattr(slow_start, "MAX_RECENT_SENDS", 8)
    settings = replace(
        BASE,
        slow_start_window_ms=600_000.0,
        slow_start_share=0.5,
        recovery_ramp_ms=1500.0,
        workers_report_start=False,
    )
    node = Node(settings, workers=1)
    for _ in range(200):
        id_, actions = node.arrive()
        node.now += 1.0
        node.end(id_, 0, sends(actions)[0].worker, Outcome.OK, final=True)
    node.play(EndpointsUpdated(EndpointListKind.DELTA, 2, (Endpoint(1, cell=1, zone=1, ready_at=node.now),)))
    sent = 0
    for _ in range(50):
        id_, actions = node.arrive()
        node.now += 1.0
        sent += len(sends(actions))
        if sends(actions):
            node.end(id_, 0, 1, Outcome.OK, final=True)
    assert 1 <= sent <= 8


def test_warming_worker_without_a_ramp_window_is_sent_requests():
    node = Node(
        replace(BASE, slow_start_window_ms=1000.0, recovery_ramp_ms=0.0, dispatcher_count=200), workers=1
    )
    node.now = 10.0
    node.play(EndpointsUpdated(EndpointListKind.DELTA, 2, (Endpoint(1, cell=1, zone=1, ready_at=5.0),)))
    assert sends(node.arrive()[1])


# Objectives, windows, deadlines.


def test_request_with_a_latency_objective_of_zero_is_served():
    node = Node(with_objective(0.0, deadline_ms=200.0))
    id_, actions = node.arrive(due=200.0)
    worker = sends(actions)[0].worker
    node.play(AttemptProgressed(id_, 0, worker, 1, 0.0), at=1.0)
    node.play(AttemptEnded(id_, 0, worker, Outcome.OK, 3.0, True), at=3.0)
    assert node.dispatcher.snapshot().open_attempts == 0


@pytest.mark.parametrize("window", [1.0, MAX_WRITE_DELAY_MS - 1.0, MAX_WRITE_DELAY_MS + 20.0, 300_000.0])
def test_keyed_request_is_not_retried_near_the_end_of_its_repeat_window(window):
    for wait in (10.0, MAX_WRITE_DELAY_MS, 1000.0, 200_000.0):
        node = Node(with_objective(20.0, repeat_window_ms=window, deadline_ms=300_000.0), workers=4)
        id_, actions = node.arrive(cls=1, due=300_000.0)
        first = sends(actions)[0]
        node.now = wait
        again = sends(node.end(id_, 0, first.worker, Outcome.RESET))
        assert bool(again) is (wait <= window - MAX_WRITE_DELAY_MS)


@pytest.mark.parametrize("deadline", [1.0, 60.0, 200.0, 300_000.0])
def test_announced_deadline_is_at_most_the_time_left_to_the_client(deadline):
    request = Request("id", 0, deadline, "/safe/1")
    head = attempt_request(request, 0.0).decode()
    announced = int(head.split("X-Deadline-Ms: ")[1].split("\r\n")[0])
    assert 1 <= announced <= max(1.0, deadline)


# Calls to discovery, and shutdown.


@pytest.mark.parametrize("grace", [0.0, 250.0, 500.0, 30_000.0])
@pytest.mark.parametrize("sharers", [1, 8, 200, 3200])
def test_first_calls_to_discovery_lie_within_the_grace(grace, sharers):
    waits = [Backoff(sharers, number, drain_grace_ms=grace).first_wait(True) for number in (0, sharers - 1)]
    assert waits[0] == 0.0
    assert waits[1] == 0.0 if grace == 0.0 else waits[1] < grace


@pytest.mark.parametrize("sharers", [1, 200, 3200])
def test_waits_between_calls_leave_time_to_receive_a_list(sharers):
    backoff = Backoff(sharers, sharers - 1)
    now = 0.0
    for _ in range(50):
        wait = backoff.next_wait(now)
        assert wait + SOURCE_DIAL_TIMEOUT_MS + FIRST_LIST_TIMEOUT_MS <= NOTIFICATION_DEADLINE_MS
        now += wait


@pytest.mark.parametrize("deadline", [0.0, 200.0, 1000.0, 3000.0, 300_000.0])
def test_shutdown_answers_every_request_before_the_kill(deadline):
    times = ShutdownTimes.of(deadline)
    kill = min(deadline, MAX_DEADLINE_MS) + KILL_DELAY_MS
    assert 0.0 < times.close_listeners_after < times.disable_keep_alive_after < times.answered_after < kill
