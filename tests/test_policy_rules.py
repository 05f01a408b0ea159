"""The four rules, case by case, checked by the policy's actions alone."""

from dataclasses import replace

from support.policy import BASE, KEYED, UNSAFE, Node, sends

from eiderfield.interface import (
    AttemptEnded,
    CancelAttempt,
    ClientDisconnected,
    Endpoint,
    EndpointListKind,
    EndpointState,
    EndpointsUpdated,
    FailRequest,
    Outcome,
    RejectRequest,
    Scope,
)


def action_types(actions):
    return [type(a) for a in actions]


def test_waiting_request_is_rejected_just_before_its_deadline():
    node = Node(workers=0)
    id_, actions = node.arrive(due=100.0)
    assert not sends(actions)
    actions = node.play(at=97.0)
    assert [a.request_id for a in actions if isinstance(a, RejectRequest)] == [id_]


def test_unsafe_request_in_progress_is_failed_at_its_deadline_and_not_rejected(node):
    _, actions = node.arrive(cls=1, due=100.0)
    assert len(sends(actions)) == 1
    actions = node.play(at=97.0)
    assert FailRequest in action_types(actions)
    assert RejectRequest not in action_types(actions)
    assert CancelAttempt in action_types(actions)


def test_unsafe_request_is_retried_only_if_it_never_ran():
    for outcome, is_retried in (
        (Outcome.FULL, True),
        (Outcome.CONNECT_FAILED, True),
        (Outcome.RESET, False),
        (Outcome.ERROR, False),
        (Outcome.TIMEOUT, False),
        (Outcome.CANCELLED, False),
    ):
        node = Node()
        id_, actions = node.arrive(cls=1)
        actions = node.end(id_, 0, sends(actions)[0].worker, outcome)
        assert bool(sends(actions)) is is_retried, outcome
        assert (FailRequest in action_types(actions)) is not is_retried, outcome
        assert RejectRequest not in action_types(actions)


def test_keyed_request_that_may_have_run_is_retried_in_its_cell_and_window_only():
    keyed = replace(KEYED, scope=Scope.CELL)
    for workers, elapsed, is_retried in ((4, 10.0, True), (2, 10.0, False), (4, 2500.0, False)):
        node = Node(replace(BASE, classes=(keyed,)), workers=workers)
        id_, actions = node.arrive()
        first = sends(actions)[0].worker
        node.now = elapsed
        actions = node.end(id_, 0, first, Outcome.RESET)
        got = sends(actions)
        assert bool(got) is is_retried
        if is_retried:
            assert got[0].worker % 2 == first % 2
            assert got[0].worker != first
        else:  # held while a reset pauses the only worker of its cell; failed after its window
            assert (FailRequest in action_types(actions)) is (elapsed > keyed.repeat_window_ms)


def test_draining_worker_is_sent_nothing(node):
    node.play(
        EndpointsUpdated(
            EndpointListKind.DELTA, 2, tuple(Endpoint(w, state=EndpointState.DRAINING) for w in (1, 2, 3))
        )
    )
    for _ in range(5):
        assert not sends(node.arrive()[1])


def test_worker_missing_from_a_full_list_is_gone(node):
    node.play(EndpointsUpdated(EndpointListKind.FULL, 2, (Endpoint(2),)))
    assert {s.worker for _ in range(4) for s in sends(node.arrive()[1])} == {2}


def test_client_disconnect_in_the_same_batch_prevents_a_retry(node):
    id_, actions = node.arrive()
    worker = sends(actions)[0].worker
    actions = node.play(AttemptEnded(id_, 0, worker, Outcome.RESET, 5.0, False), ClientDisconnected(id_))
    assert not sends(actions)
    assert FailRequest not in action_types(actions)


def test_outcome_after_the_final_answer_changes_nothing(node):
    id_, actions = node.arrive(cls=1, due=100.0)
    worker = sends(actions)[0].worker
    node.play(at=97.0)
    for outcome in (Outcome.CANCELLED, Outcome.OK):
        actions = node.end(id_, 0, worker, outcome, final=True)
        assert not [a for a in actions if not isinstance(a, CancelAttempt)]
    assert node.dispatcher.snapshot().open_attempts == 0


def test_warming_worker_is_sent_nothing_while_nothing_has_been_served():
    node = Node(replace(BASE, classes=(UNSAFE,)), workers=0)
    node.play(EndpointsUpdated(EndpointListKind.FULL, 2, (Endpoint(1, ready_at=1.0),)), at=2.0)
    assert not sends(node.arrive()[1])
    node.now = 9000.0
    assert sends(node.arrive()[1])


def test_start_in_the_future_without_slow_start_is_harmless():
    node = Node(replace(BASE, slow_start_window_ms=0.0), workers=0)
    node.play(EndpointsUpdated(EndpointListKind.FULL, 2, (Endpoint(1, ready_at=500.0),)), at=2.0)
    assert sends(node.arrive()[1])
