"""Tests of the policy with failed, silent and slow workers, subscriptions, and unexpected events."""

from dataclasses import replace

import pytest
from support.policy import BASE, SAFE, Node, sends

from eiderfield.interface import (
    AttemptEnded,
    AttemptProgressed,
    CancelAttempt,
    ClientDisconnected,
    CloseIdleConnections,
    Endpoint,
    EndpointListKind,
    EndpointState,
    EndpointsUpdated,
    FailRequest,
    LogMessage,
    Outcome,
    PeerReportReceived,
    ProbeCompleted,
    RejectRequest,
    RequestReceived,
    SetTimer,
    Settings,
    SiblingReportReceived,
    StartAttempt,
    TimerFired,
    WatchEndpoints,
)
from eiderfield.policy.dispatcher import Dispatcher
from eiderfield.policy.selection import SLOW_WORKER_SLOWDOWN


def test_failed_dial_retries_the_request_at_another_worker_and_ejects_the_first():
    node = Node(workers=2)
    id_, actions = node.arrive(cls=1)
    failed_worker = sends(actions)[0].worker
    retries = sends(node.end(id_, 0, failed_worker, Outcome.CONNECT_FAILED))
    assert [s.worker for s in retries] == [3 - failed_worker]
    node.play(AttemptProgressed(id_, 1, 3 - failed_worker, 1, 0.0))
    assert sends(node.arrive()[1])[0].worker != failed_worker
    node.now = 600.0  # the ejection of 500 ms is over: one trial request, of a class that is safe to repeat
    assert not [s for s in sends(node.arrive(cls=1)[1]) if s.worker == failed_worker]
    assert [s.worker for s in sends(node.arrive(cls=0)[1])] == [failed_worker]


def test_ejected_workers_get_no_requests_when_all_are_ejected():
    """Guards against repeated attempts at lost workers when most workers are lost.

    Under overload and with a lost zone, 6 attempts per request went to workers that refused connections.
    """
    node = Node(workers=3)
    for worker in (1, 2, 3):
        node.dispatcher.workers[worker].eject(0.0)
    assert not sends(node.arrive()[1])


def test_request_at_a_silent_worker_is_hedged_at_another():
    node = Node(workers=2)
    id_, actions = node.arrive()
    first = sends(actions)[0].worker
    node.play(AttemptProgressed(id_, 0, first, 1, 0.0))
    hedged = sends(node.play(at=1000.0))
    assert [(s.request_id, s.worker) for s in hedged] == [(id_, 3 - first)]


def test_workers_that_are_all_silent_are_still_used():
    node = Node(workers=3)
    for worker in node.dispatcher.workers.values():
        worker.silent = True
    assert sends(node.arrive()[1])


def test_only_a_response_in_time_ends_an_ejection():
    """Guards against using a slow worker again at once because it has reported the start of a request."""
    node = Node(workers=1)
    worker = node.dispatcher.workers[1]
    worker.eject(0.0)
    worker.record_activity(10.0)
    assert worker.ejections == 1
    worker.record_activity(20.0, in_time=True)
    assert worker.ejections == 0


def test_subscription_is_opened_once_and_again_after_a_failure():
    node = Dispatcher(replace(BASE, subscribes_to_endpoints=True), 1)
    assert [a for a in node.handle(0.0, []) if isinstance(a, WatchEndpoints)] == [WatchEndpoints(True)]
    assert not [a for a in node.handle(1.0, []) if isinstance(a, WatchEndpoints)]
    node.handle(2.0, [EndpointsUpdated(EndpointListKind.FAILED, 0, ())])
    assert [a for a in node.handle(3.0, []) if isinstance(a, WatchEndpoints)] == [WatchEndpoints(True)]


def test_policy_uses_only_actions_that_the_settings_allow():
    settings = Settings(classes=(SAFE,))
    node = Node(settings, workers=2)
    actions = [a for _ in range(20) for a in node.arrive()[1]]
    actions += node.play(at=2000.0)
    actions += node.play(at=4999.0)
    allowed = (StartAttempt, SetTimer, RejectRequest, FailRequest, LogMessage, CloseIdleConnections)
    assert all(isinstance(action, allowed) for action in actions)
    assert all(a.retry_after_ms == 0.0 for a in actions if isinstance(a, RejectRequest))


@pytest.mark.parametrize(
    "event",
    [
        AttemptEnded(1, 0, 1, Outcome.OK, 5.0, True),
        AttemptEnded(1, 7, 1, Outcome.RESET, 5.0, False),
        AttemptEnded(99, 0, 5, Outcome.FULL, 5.0, False, 0, (0.5,)),
        AttemptProgressed(99, 0, 1, 1, 0.0),
        AttemptProgressed(1, 3, 1, 2, 0.5),
        ClientDisconnected(1),
        ClientDisconnected(99),
        TimerFired(12345),
        ProbeCompleted(77, Outcome.OK, 1.0, (0.1,)),
        PeerReportReceived(2, b"hello"),
        SiblingReportReceived(77, 3, 9.0),
        EndpointsUpdated(EndpointListKind.DELTA, 9, (Endpoint(55, state=EndpointState.GONE),)),
    ],
    ids=repr,
)
def test_unexpected_events_change_nothing(event):
    node = Node()
    _, actions = node.arrive()
    node.end(1, 0, sends(actions)[0].worker, Outcome.OK, final=True)
    before = node.dispatcher.snapshot()
    assert not [a for a in node.play(event) if not isinstance(a, SetTimer)]
    assert node.dispatcher.snapshot() == before
    assert sends(node.arrive()[1])


def test_invalid_calls_raise_value_errors():
    node = Node()
    node.play(at=10.0)
    with pytest.raises(ValueError, match="backwards"):
        node.play(at=9.0)
    with pytest.raises(ValueError, match="unknown class 9"):
        node.play(RequestReceived(1, 9, 100.0), at=10.0)
    with pytest.raises(ValueError, match="unknown event"):
        node.play("news")
    with pytest.raises(ValueError, match="classes"):
        Dispatcher(Settings(classes=()), 1)


PROGRESS_SETTINGS = replace(BASE, hedging_allowed=False, progress_interval_ms=1000.0)


def start_request(node, cls=0):
    """Start a request; return its id and its worker."""
    id_, actions = node.arrive(cls=cls, due=20_000.0)
    worker = sends(actions)[0].worker
    node.play(AttemptProgressed(id_, 0, worker, 1, 0.0))
    return id_, worker


def test_request_on_a_silent_connection_is_cancelled_and_retried():
    """Guards against a request that waits on a broken connection to a healthy worker until its deadline."""
    node = Node(PROGRESS_SETTINGS, workers=2)
    id_, worker = start_request(node)
    other, _ = start_request(node)
    for at in (1000.0, 2000.0, 3000.0):
        node.play(AttemptProgressed(other, 0, 3 - worker, 2, 0.1), at=at)
        node.dispatcher.workers[worker].record_activity(at)  # by other requests of this dispatcher
    assert not [a for a in node.play(at=3500.0) if isinstance(a, CancelAttempt)]
    assert [
        (a.request_id, a.attempt_number) for a in node.play(at=3650.0) if isinstance(a, CancelAttempt)
    ] == [(id_, 0)]
    assert [s.request_id for s in sends(node.end(id_, 0, worker, Outcome.CANCELLED))] == [id_]


def test_progress_report_lost_in_a_pause_cancels_nothing():
    node = Node(PROGRESS_SETTINGS, workers=2)
    start_request(node)
    for at in (500.0, 1000.0, 1500.0, 2500.0):
        for worker in node.dispatcher.workers.values():
            worker.record_activity(at)
        assert not [a for a in node.play(at=at) if isinstance(a, CancelAttempt)]


def test_silence_of_a_worker_cancels_its_started_requests_and_closes_its_idle_connections():
    node = Node(PROGRESS_SETTINGS, workers=2)
    id_, worker = start_request(node)
    actions = node.play(at=1700.0)
    assert [a.request_id for a in actions if isinstance(a, CancelAttempt)] == [id_]
    assert [a.worker for a in actions if isinstance(a, CloseIdleConnections)] == [worker]
    assert [s.worker for s in sends(node.end(id_, 0, worker, Outcome.CANCELLED))] == [3 - worker]


def test_request_that_may_not_be_repeated_stays_at_a_silent_worker():
    node = Node(PROGRESS_SETTINGS, workers=2)
    start_request(node, cls=1)
    assert not [a for a in node.play(at=4000.0) if isinstance(a, CancelAttempt)]


def test_worker_is_ejected_by_two_resets_in_a_row_and_not_by_one():
    node = Node(workers=2)
    worker = node.dispatcher.workers[1]
    for _ in range(2):
        node.dispatcher.workers[2].full_until = node.now + 1.0
        id_, actions = node.arrive(cls=1)
        assert [s.worker for s in sends(actions)] == [1]
        node.end(id_, 0, 1, Outcome.RESET)
        node.now += 300.0
        node.dispatcher.workers[2].full_until = node.now + 1.0
    assert worker.ejections == 1
    worker.record_activity(node.now, in_time=True)
    assert worker.consecutive_resets == 0


def test_requests_at_a_slow_worker_count_for_more():
    """Guards against sending a slow worker as many requests as the others, all of which it would serve late.

    A request that still runs counts for the slowdown of its worker, not only one that has been answered.
    """
    node = Node(PROGRESS_SETTINGS, workers=2)
    slow_worker, other_worker = node.dispatcher.workers[1], node.dispatcher.workers[2]
    other_worker.full_until = 1.0
    id_, _ = start_request(node)  # it runs at worker 1 for ten times the usual time
    node.play(AttemptProgressed(id_, 0, 1, 2, 0.1), at=1000.0)
    selected_workers = []
    for at in (1500.0, 1501.0):
        node.now = at
        selected_workers.append(start_request(node)[1])
    assert slow_worker.slowdown(1500.0) > SLOW_WORKER_SLOWDOWN
    assert selected_workers == [2, 2]
    for _ in range(20):
        slow_worker.record_duration(1502.0, 1.0, True)
    slow_worker.open_attempts.clear()
    assert slow_worker.slowdown(1502.0) < 1.1
    assert slow_worker.slowdown(20_000.0) == 1.0, (
        "an old slowdown expires: the program that caused it may have ended"
    )


def test_worker_that_fails_fast_does_not_attract_all_requests():
    """Guards against preferring a failing worker because it has the fewest open requests.

    In one run, every third request failed there.
    """
    node = Node(workers=2)
    failed_worker = node.dispatcher.workers[1]
    attempts_at_failed_worker = 0
    for _ in range(40):
        node.now += 20.0
        id_, actions = node.arrive(cls=1)
        [attempt] = sends(actions) or [None]
        if attempt is not None and attempt.worker == 1:
            attempts_at_failed_worker += 1
            node.end(id_, 0, 1, Outcome.ERROR)
        elif attempt is not None:
            node.play(AttemptProgressed(id_, 0, 2, 1, 0.0))
    assert attempts_at_failed_worker == 2
    assert failed_worker.ejections


def test_one_success_does_not_end_the_ejection_of_a_worker_with_a_high_error_score():
    """Guards against using a worker that fails every third request again after each success."""
    node = Node(workers=1)
    worker = node.dispatcher.workers[1]
    worker.error_score = 3.0
    worker.eject(0.0)
    worker.record_activity(1.0, in_time=True)
    assert worker.ejections
    worker.error_score = 1.0
    worker.record_activity(1.0, in_time=True)
    assert not worker.ejections


def test_unstarted_request_does_not_keep_a_silent_worker_ejected():
    """Guards against leaving a worker unused for ten seconds because of one request on a broken connection.

    In one run this affected half of the workers at once.
    """
    node = Node(PROGRESS_SETTINGS, workers=2)
    id_, actions = node.arrive(due=12_000.0)
    worker = sends(actions)[0].worker
    actions = node.play(at=1700.0)
    assert [a.request_id for a in actions if isinstance(a, CancelAttempt)] == [id_]
    assert [a.worker for a in actions if isinstance(a, CloseIdleConnections)] == [worker]
    node.end(id_, 0, worker, Outcome.CANCELLED)
    node.now = 2300.0  # the ejection is over: one trial request
    assert worker in [s.worker for _ in range(2) for s in sends(node.arrive()[1])]
