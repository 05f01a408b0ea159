"""The mechanisms of the policy, each with expected figures that were calculated by hand."""

from dataclasses import replace
from math import inf

import pytest
from support.policy import BASE, SAFE, UNSAFE, Node, learn, sends

from eiderfield.interface import (
    AttemptProgressed,
    Endpoint,
    EndpointListKind,
    EndpointState,
    EndpointsUpdated,
    Outcome,
    ProgressKind,
    RejectRequest,
    RequestReceived,
    SiblingReportReceived,
)
from eiderfield.policy.admission import GRB_REQUESTS_PER_WORKER
from eiderfield.policy.queues import ClassQueue
from eiderfield.policy.rate_control import Pacer
from eiderfield.policy.request import QueuedRequest, QueueId
from eiderfield.policy.selection import NO_HOME_WARM_UP_SHARE


def play_window(pacer, start, sent, fulls, waiting=False):
    for n in range(sent):
        pacer.count_send(start + n)
    pacer.accepted_in_window -= fulls
    pacer.close_window(start + 1000.0, waiting)


def test_rate_is_reduced_by_the_contribution_formula_down_to_its_floor_and_raised_again():
    pacer = Pacer(0.3, 100.0)
    play_window(pacer, 0.0, 40, 0)
    assert pacer.rate is None
    play_window(pacer, 1000.0, 40, 10)  # D = R = 40/s, E = 30/s: 40 + (40/40)(30 - 40)
    assert pacer.rate == pytest.approx(30.0)
    play_window(pacer, 2000.0, 20, 10)  # D = 30, R = 20, E = 10: 30 + (30/20)(10 - 20)
    assert pacer.rate == pytest.approx(15.0)
    play_window(pacer, 3000.0, 10, 10)  # all refused: the floor, 0.3 of 40
    assert pacer.rate == pytest.approx(12.0)
    play_window(pacer, 4000.0, 10, 0)  # no refusal: times 1.25
    assert pacer.rate == pytest.approx(15.0)
    for at in range(5, 10):
        play_window(pacer, at * 1000.0, 10, 0)
    assert pacer.rate is None  # above 40 with nothing waiting: no limit any more


def test_late_full_in_a_window_without_attempts_reduces_no_rate():
    pacer = Pacer(0.3, 100.0)
    play_window(pacer, 0.0, 0, 3)
    assert pacer.rate is None


def test_class_of_the_highest_weight_has_the_higher_floor():
    node = Node()
    assert [p.floor_share for p in node.dispatcher.pacers] == [0.3, 0.7, 0.3]


def test_only_full_counts_as_not_accepted():
    refused_by = {Outcome.FULL: 1, Outcome.TIMEOUT: 0, Outcome.CONNECT_FAILED: 0, Outcome.RESET: 0}
    for outcome, lost in refused_by.items():
        node = Node()
        id_, actions = node.arrive(cls=1)
        pacer = node.dispatcher.pacers[1]
        worker = sends(actions)[0].worker
        for other in node.dispatcher.workers.values():
            other.full_until = 1000.0 * (other.entry.worker != worker)
        before = pacer.sent_in_window - pacer.accepted_in_window
        node.play(
            EndpointsUpdated(
                EndpointListKind.DELTA, 2, tuple(Endpoint(w, state=EndpointState.READY) for w in (worker,))
            )
        )
        node.end(id_, 0, worker, outcome)
        assert pacer.sent_in_window - pacer.accepted_in_window - before == lost


def test_full_reduces_no_rate_while_another_worker_is_free():
    """A single worker that refused everything kept a class at its floor rate for 10 s.

    Most of the fleet was idle meanwhile.
    """
    node = Node()
    id_, actions = node.arrive(cls=1)
    pacer = node.dispatcher.pacers[1]
    node.end(id_, 0, sends(actions)[0].worker, Outcome.FULL)
    assert pacer.sent_in_window - 1 == pacer.accepted_in_window - 1 == 1, (
        "the request was sent again, and neither attempt counts as refused"
    )


def test_worker_that_answers_full_repeatedly_is_tried_less_often():
    node = Node(workers=1)
    worker, waits = node.dispatcher.workers[1], []
    for _ in range(4):
        node.now += 10_000.0
        id_, actions = node.arrive(due=100.0)
        node.end(id_, 0, sends(actions)[0].worker, Outcome.FULL)
        waits.append(worker.full_until - node.now)
        node.play(at=node.now + 100.0)
    assert waits == sorted(waits)
    assert waits[-1] >= 2 * waits[0]
    id_, _ = node.arrive()
    node.now += 10_000.0
    id_, actions = node.arrive()
    node.play(AttemptProgressed(id_, 0, 1, 1, 0.0))
    assert worker.consecutive_fulls == 0


def test_full_of_a_draining_worker_reduces_no_rate():
    node = Node()
    id_, actions = node.arrive()
    worker = sends(actions)[0].worker
    node.play(EndpointsUpdated(EndpointListKind.DELTA, 2, (Endpoint(worker, state=EndpointState.DRAINING),)))
    node.end(id_, 0, worker, Outcome.FULL)
    pacer = node.dispatcher.pacers[0]
    assert pacer.accepted_in_window == pacer.sent_in_window


def test_slb_of_the_highest_weight_grows_while_its_rate_is_reduced():
    queue = ClassQueue(SAFE, Pacer(0.7, 100.0), 1.0)
    for n in range(6):
        queue.slb[n] = None
    assert not queue.has_room()  # 6 of 8 is nearly full
    queue.pacer.rate, queue.pacer.uncut_rate = 20.0, 40.0
    assert queue.has_room()  # 6 of 16
    rest = ClassQueue(SAFE, Pacer(0.3, 100.0), 1.0)
    rest.slb.update(dict.fromkeys(range(6)))
    rest.pacer.rate, rest.pacer.uncut_rate = 20.0, 40.0
    assert not rest.has_room()


def test_nearly_full_slb_keeps_only_its_own_class_in_the_grb():
    node = Node(workers=0)
    for _ in range(8):
        node.arrive(cls=0)
    node.arrive(cls=1)
    queues = node.dispatcher._queues.by_id
    first, second = queues[0, 0, False], queues[1, 0, False]
    assert [len(x) for x in (first.slb, first.grb, second.slb, second.grb)] == [6, 2, 1, 0]


def test_class_with_a_rate_limit_is_released_in_order_at_its_rate():
    node = Node(workers=8)
    pacer = node.dispatcher.pacers[0]
    pacer.rate, pacer.uncut_rate, pacer.window_start = 10.0, 10.0, 0.0
    ids = [node.next_id + n for n in range(3)]
    got = sends(node.play(*(RequestReceived(i, 0, 5000.0) for i in ids)))
    assert [s.request_id for s in got] == ids[:1]
    assert not sends(node.play(at=99.0))
    assert [s.request_id for s in sends(node.play(at=100.0))] == ids[1:2]
    assert [s.request_id for s in sends(node.play(at=200.0))] == ids[2:]


def test_ready_worker_with_the_fewest_own_requests_is_selected():
    node = Node(workers=3)
    used = []
    for _ in range(3):
        id_, actions = node.arrive()
        used.append(sends(actions)[0].worker)
        node.play(AttemptProgressed(id_, 0, used[-1], 1, 0.0))
    assert sorted(used) == [1, 2, 3]
    node.end(1, 0, used[0], Outcome.OK, final=True)
    assert sends(node.arrive()[1])[0].worker == used[0]


def test_requests_go_to_workers_of_their_kind_only():
    node = Node(replace(BASE, classes=(replace(SAFE, kind=1),)), workers=0)
    node.play(EndpointsUpdated(EndpointListKind.FULL, 2, (Endpoint(1, kind=0), Endpoint(2, kind=1))))
    assert [s.worker for s in sends(node.arrive()[1])] == [2]
    assert not sends(node.arrive()[1])


def test_full_grb_rejects_the_lowest_weight_with_retry_advice():
    node = Node(workers=0)
    room = 12  # at 150 ms a request, a 13th would wait over 4 times a slack of 300 + 2 * 150 - 150 ms
    low = [node.arrive(cls=0)[0] for _ in range(4)]
    for _ in range(room - 4):
        assert not [a for a in node.arrive(cls=1)[1] if isinstance(a, RejectRequest)]
    refused = []
    for _ in range(5):
        id_, actions = node.arrive(cls=1)
        refused += [(a.request_id, a.retry_after_ms) for a in actions if isinstance(a, RejectRequest)]
    assert [r[0] for r in refused] == [*reversed(low), id_]
    assert all(0.0 < r[1] <= 2000.0 for r in refused)


def test_traffic_over_quota_has_a_reduced_weight():
    from eiderfield.interface import Tenant

    tenants = (Tenant("a", 2.0, 1.0),)
    node = Node(replace(BASE, classes=(SAFE, UNSAFE), tenants=tenants, over_quota_weight=0.01), 0)
    weights = []
    for _ in range(4):
        id_, _ = node.arrive(cls=1)
        queue_id = node.dispatcher.requests[id_].queue_id
        weights.append(node.dispatcher._queues.by_id[queue_id].weight)
    full, reduced = UNSAFE.priority_weight, 0.01 * UNSAFE.priority_weight
    assert weights == [
        full,
        full,
        reduced,
        reduced,
    ]  # a quota of 2 requests per second, accumulated for one second


def test_grb_is_bounded_by_count():
    node = Node(replace(BASE, classes=(replace(SAFE, latency_objective_ms=4000.0),)), workers=0)
    node.dispatcher.pacers[0].record_duration(1.0, 0.0)  # requests of 1 ms: no wait would fill it
    answers = [node.arrive()[1] for _ in range(GRB_REQUESTS_PER_WORKER * 4 + 1)]
    refused = [any(isinstance(a, RejectRequest) for a in actions) for actions in answers]
    assert refused == [False] * (GRB_REQUESTS_PER_WORKER * 4) + [True]


def workers_used(node, key, count):
    """Send requests of one key, each of which ends at once; return the workers that they were sent to."""
    used = set()
    for _ in range(count):
        id_, actions = node.arrive(affinity_key=key)
        for send in sends(actions):
            used.add(send.worker)
            node.play(AttemptProgressed(id_, 0, send.worker, 1, 0.0))
            node.end(id_, 0, send.worker, Outcome.OK, final=True)
    return used


def request_with_key(key):
    pacer = Pacer(0.3, 100.0)
    queue_id = QueueId(class_index=1, tenant_index=0, over_quota=False)
    return QueuedRequest(0, key, 5000.0, 0.0, queue_id, pacer, UNSAFE, 100.0, 100.0, 5000.0, 5000.0)


def test_home_that_is_full_or_half_open_is_replaced_by_the_next_worker_of_the_key():
    """Requests waited for full and half-open homes while other workers were idle."""
    node = Node(workers=6)
    node.now = 1.0
    first, second = (w.entry.worker for w in node.dispatcher._selector.homes(request_with_key(101), node.now))
    workers = node.dispatcher.workers
    workers[first].consecutive_fulls, workers[first].full_until = 2, 500.0
    workers[second].ejections = 1
    homes = {w.entry.worker for w in node.dispatcher._selector.homes(request_with_key(101), node.now)}
    assert len(homes) == 2
    assert not homes & {first, second}
    assert first in {w.entry.worker for w in node.dispatcher._selector.homes(request_with_key(101), 600.0)}


def test_rare_key_has_the_same_two_homes_at_every_dispatcher():
    first, second = Node(workers=8, seed=1), Node(workers=8, seed=2)
    for node in (first, second):
        for key in range(100, 140):
            workers_used(node, key, 1)
    homes = [
        [w.entry.worker for w in n.dispatcher._selector.homes(request_with_key(101), n.now)]
        for n in (first, second)
    ]
    assert homes[0] == homes[1]
    assert len(homes[0]) == 2


def test_frequent_key_has_as_many_homes_as_its_share_needs():
    """A key that needs more than two workers had only two homes (incident ia7713c)."""
    node = Node(workers=8)
    assert len(workers_used(node, 7, 60)) > 2  # the key has all the traffic


def test_worker_in_its_first_warm_up_is_no_home():
    """New workers replaced the homes of keys, and their slow start budgets covered no request (ia7713c)."""
    node = Node(workers=4)
    node.now = 100_000.0
    node.play(
        EndpointsUpdated(
            EndpointListKind.DELTA, 2, tuple(Endpoint(w, ready_at=99_000.0) for w in range(5, 30))
        )
    )
    for key in range(1, 20):
        assert workers_used(node, key, 1) <= {1, 2, 3, 4}
        assert workers_used(node, key, 1)


def test_key_counts_are_bounded(monkeypatch):
    monkeypatch.setattr("eiderfield.policy.affinity.MAX_COUNTED_REQUESTS", 50)
    node = Node(workers=2)
    for key in range(1, 300):
        workers_used(node, key, 1)
    assert len(node.dispatcher._key_counts.by_key) <= 50
    assert len(node.dispatcher._fleet.key_orders) <= 51


def settings_with_late_requests():
    return replace(BASE, classes=(replace(SAFE, late_weight=0.0, objective_stretch=0.0), UNSAFE))


def test_late_request_is_released_after_those_in_time():
    """Under overload, requests that were released in order of arrival each made the next one late as well."""
    node = Node(settings_with_late_requests(), workers=1)
    node.arrive()
    late_requests = [node.arrive()[0] for _ in range(3)]
    node.now = 400.0  # later than their latency objective of 300 ms
    fresh, _ = node.arrive()
    order = []
    for _ in range(4):
        worker = node.dispatcher.workers[1]
        [(id_, attempt)] = worker.open_attempts
        actions = node.play(AttemptProgressed(id_, attempt, 1, 1, 0.0))
        worker.full_until = 0.0
        actions += node.end(id_, attempt, 1, Outcome.OK, final=True)
        order += [s.request_id for s in sends(actions)]
    assert order == [fresh, *late_requests], "late requests are sent once no other request waits"


def test_late_request_is_shed_first_unless_late_answers_are_useful():
    node = Node(settings_with_late_requests(), workers=1)
    node.arrive(cls=1)
    late_requests = [node.arrive()[0] for _ in range(3)]
    node.play(at=400.0)
    node.play(at=401.0)
    actions = [a for _ in range(40) for a in node.arrive(cls=1)[1]]
    assert [a.request_id for a in actions if isinstance(a, RejectRequest)][:3] == late_requests[::-1]
    node = Node(replace(BASE, classes=(SAFE, UNSAFE)), workers=1)
    node.arrive()
    node.arrive()
    node.play(at=400.0)
    assert not any(queue.late for queue in node.dispatcher._queues.by_weight)


def test_warming_worker_is_a_home_within_its_budget_after_the_first_part_of_its_warm_up():
    """A worker that operators returned to service was idle for many seconds, until it was warm."""
    node = Node(replace(BASE, hedging_allowed=False), workers=1)
    for _ in range(40):  # the budget follows from the work that workers have served
        node.now += 100.0
        [send] = sends(node.arrive(affinity_key=7)[1])
        node.end(send.request_id, 0, send.worker, Outcome.OK, final=True, elapsed=90.0)
    node.play(EndpointsUpdated(EndpointListKind.FULL, 2, (Endpoint(1, ready_at=node.now), Endpoint(2))))
    started, got = node.now, []
    while not got and node.now < started + BASE.slow_start_window_ms:
        node.now += 50.0
        for send in sends(node.arrive(affinity_key=7)[1]):
            got += [node.now - started] if send.worker == 1 else []
            node.end(send.request_id, 0, send.worker, Outcome.OK, final=True, elapsed=40.0)
    assert got
    assert (
        NO_HOME_WARM_UP_SHARE * BASE.slow_start_window_ms
        <= got[0]
        < (NO_HOME_WARM_UP_SHARE + 0.1) * BASE.slow_start_window_ms
    )
    node.dispatcher.workers[1].recent_sends.append((node.now, inf))
    assert [send.worker for send in sends(node.arrive(affinity_key=7)[1])] == [2], (
        "the budget of worker 1 is spent"
    )


def test_warming_homes_without_budget_delay_no_key():
    node = Node(workers=4)
    node.now = 100_000.0
    started = node.now - 0.5 * BASE.slow_start_window_ms
    node.play(
        EndpointsUpdated(
            EndpointListKind.DELTA, 2, tuple(Endpoint(w, ready_at=started) for w in range(5, 30))
        )
    )
    assert all(workers_used(node, key, 1) for key in range(1, 20))


def test_attempts_of_the_other_process_count_in_selection_and_slow_start():
    """During an upgrade the two processes of a dispatcher would both fill a worker, or overload a new one."""
    node = Node(replace(BASE, hedging_allowed=False), workers=2)
    node.play(SiblingReportReceived(1, 2, 0.0))
    for _ in range(2):
        [send] = sends(node.arrive()[1])
        assert send.worker == 2
        node.play(AttemptProgressed(send.request_id, 0, 2, ProgressKind.STARTED, 0.0))
    node.play(SiblingReportReceived(1, 0, 0.0))
    assert [send.worker for send in sends(node.arrive()[1])] == [1]
    dispatcher, node.now = node.dispatcher, 10_000.0
    learn(dispatcher, served_rate=1.0, served_at=node.now)
    node.play(EndpointsUpdated(EndpointListKind.DELTA, 2, (Endpoint(1, ready_at=node.now - 100.0),)))
    left = dispatcher._slow_start.budget_left(dispatcher.workers[1], node.now)
    node.play(SiblingReportReceived(1, 1, left))
    assert dispatcher._slow_start.budget_left(dispatcher.workers[1], node.now) == pytest.approx(0.0)
