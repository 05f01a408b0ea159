"""Workers that fail requests at once, requests of several slots, and the cost of retries in tokens."""

from __future__ import annotations

from dataclasses import replace

import pytest
from support.policy import BASE, KEYED, SAFE, UNSAFE, Node, learn

from eiderfield.interface import (
    AttemptEnded,
    AttemptProgressed,
    Endpoint,
    EndpointListKind,
    EndpointsUpdated,
    Outcome,
    PeerReportReceived,
    ProgressKind,
    SendPeerReport,
    StartAttempt,
    encode_peer_report,
)
from eiderfield.model.learned_state import KindSlots

ONE_DISPATCHER = replace(BASE, dispatcher_count=1, load_report_fields=("inflight", "qps", "x0"))


def sends(actions):
    return [action for action in actions if isinstance(action, StartAttempt)]


def node_with_failing_worker(settings, cls):
    """Return a dispatcher whose worker 1 of two has failed requests until it counts as failing."""
    node = Node(settings, workers=2)
    for _ in range(40):
        actions = node.arrive(cls=cls)[1]
        while found := sends(actions):
            send, number = found[0], len(node.dispatcher.requests[found[0].request_id].attempts) - 1
            node.now += 1.0
            node.play(AttemptProgressed(send.request_id, number, send.worker, ProgressKind.STARTED, 0.0))
            node.now += 1.0
            outcome = Outcome.ERROR if send.worker == 1 else Outcome.OK
            actions = node.play(
                AttemptEnded(send.request_id, number, send.worker, outcome, 2.0, send.worker == 2)
            )
        if node.dispatcher.workers[1].ejections:
            return node
    raise AssertionError("the failing worker was never marked")


def test_failing_worker_is_used_only_while_no_other_is_free():
    node = node_with_failing_worker(BASE, 0)
    _, first = node.arrive(cls=0)
    assert [s.worker for s in sends(first)] == [2]
    _, second = node.arrive(cls=0)
    assert [s.worker for s in sends(second)] == [1], "a failing worker is better than waiting"


@pytest.mark.parametrize(("cls", "is_allowed"), [(0, True), (2, True), (1, False)])
def test_unsafe_requests_are_kept_from_a_failing_worker(cls, is_allowed):
    node = node_with_failing_worker(replace(BASE, classes=(SAFE, UNSAFE, KEYED)), 0)
    assert [s.worker for s in sends(node.arrive(cls=cls)[1])] == [2]
    assert bool(sends(node.arrive(cls=cls)[1])) is is_allowed


def test_failing_worker_is_ejected_and_tried_again_where_all_classes_are_unsafe():
    node = node_with_failing_worker(replace(BASE, classes=(UNSAFE,)), 0)
    node.arrive()
    assert not node.play()
    assert not sends(node.arrive()[1])
    assert sends(node.play(at=node.now + 4001.0)), "one trial is sent after the ejection"


def test_refused_connection_ejects_a_failing_worker():
    node = node_with_failing_worker(BASE, 0)
    node.arrive(cls=0)
    id_, actions = node.arrive(cls=0)
    assert [s.worker for s in sends(actions)] == [1]
    node.play(AttemptEnded(id_, 0, 1, Outcome.CONNECT_FAILED, 1.0, False))
    assert 1 in node.dispatcher.snapshot(node.now).avoided_workers


@pytest.mark.parametrize(("ran_ms", "is_retried"), [(1.0, True), (600.0, False)])
def test_error_costs_the_retry_budget_the_time_that_it_ran(ran_ms, is_retried):
    node = Node(BASE)
    id_, actions = node.arrive(cls=0)
    worker = sends(actions)[0].worker
    node.play(AttemptProgressed(id_, 0, worker, ProgressKind.STARTED, 0.0))
    learn(node.dispatcher, retry_tokens=0.1)
    ended = node.play(AttemptEnded(id_, 0, worker, Outcome.ERROR, ran_ms, False), at=node.now + ran_ms)
    assert bool(sends(ended)) is is_retried


def test_broken_connection_costs_the_retry_budget_a_whole_run():
    node = Node(BASE)
    id_, actions = node.arrive(cls=0)
    worker = sends(actions)[0].worker
    node.play(AttemptProgressed(id_, 0, worker, ProgressKind.STARTED, 0.0))
    learn(node.dispatcher, retry_tokens=0.1)
    assert not sends(node.play(AttemptEnded(id_, 0, worker, Outcome.RESET, 1.0, False), at=node.now + 1.0))


def node_with_slots(settings, slots=4.0, workers=2):
    """Return a dispatcher that knows how many slots the workers of its one kind have."""
    node = Node(settings, workers=workers)
    learn(node.dispatcher, slots=(KindSlots(0, slots),))
    return node


def test_request_of_several_slots_waits_in_the_dispatcher_until_they_are_free():
    node = node_with_slots(BASE, workers=1)
    first, actions = node.arrive(cls=0, slots=2.0)
    assert sends(actions), "an idle worker takes a request of any size"
    node.play(AttemptProgressed(first, 0, 1, ProgressKind.STARTED, 0.0))
    assert not sends(node.arrive(cls=0, slots=4.0)[1])
    small_request, actions = node.arrive(cls=0, slots=1.0)
    assert [s.request_id for s in sends(actions)] == [small_request], "a request that fits is sent first"
    node.play(AttemptProgressed(small_request, 0, 1, ProgressKind.STARTED, 0.0))
    node.play(AttemptEnded(small_request, 0, 1, Outcome.OK, 5.0, True), at=5.0)
    assert [s.request_id for s in sends(node.play(AttemptEnded(first, 0, 1, Outcome.OK, 5.0, True)))] == [2]


def test_request_of_several_slots_waits_at_a_worker_once_it_would_be_late():
    node = node_with_slots(
        replace(ONE_DISPATCHER, classes=(replace(SAFE, late_weight=0.0),)), slots=2.0, workers=1
    )
    first, _ = node.arrive(cls=0)
    node.play(AttemptProgressed(first, 0, 1, ProgressKind.STARTED, 0.0))
    large_request, actions = node.arrive(cls=0, slots=2.0)
    assert not sends(actions)
    assert [s.request_id for s in sends(node.play(at=500.0))] == [large_request]


def test_nothing_waits_at_a_worker_with_one_dispatcher_and_reports():
    node = node_with_slots(ONE_DISPATCHER, slots=2.0, workers=1)
    for expected in (True, True, False):
        id_, actions = node.arrive(cls=0)
        assert bool(sends(actions)) is expected
        if expected:
            node.play(AttemptProgressed(id_, 0, 1, ProgressKind.STARTED, 0.0))


def test_one_request_may_wait_at_a_worker_without_reports():
    node = node_with_slots(replace(ONE_DISPATCHER, load_report_fields=()), slots=1.0, workers=1)
    for expected in (True, True, False):  # the second waits at the worker, so that the third may not
        assert bool(sends(node.arrive(cls=0)[1])) is expected
        if expected:
            node.play(AttemptProgressed(1, 0, 1, ProgressKind.STARTED, 0.0))


def test_peers_report_slots_and_respect_those_reported():
    settings = replace(BASE, dispatcher_count=2, gossip_allowed=True)
    reports = [
        a for a in Node(settings, workers=2).arrive(cls=0, slots=3.0)[1] if isinstance(a, SendPeerReport)
    ]
    assert reports[0].data[-1] == 3
    peer = Node(replace(settings, dispatcher_index=1), workers=1)
    peer.play(EndpointsUpdated(EndpointListKind.DELTA, 2, (Endpoint(1),)))
    learn(peer.dispatcher, slots=(KindSlots(0, 4.0),))
    peer.play(PeerReportReceived(0, encode_peer_report([(1, 3)])))
    assert not sends(peer.arrive(cls=0, slots=3.0)[1])
