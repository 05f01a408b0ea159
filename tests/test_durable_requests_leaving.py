"""A dispatcher that has left, and still runs, passes on the end that its successors recorded."""

from __future__ import annotations

import json

import pytest
from support.durable_fleet import DEADLINE_MS, LEASE_MS, DurableFleet

from eiderfield.exchange.request import Verdict

HANDOVER_MS = 500.0  # in which the requests of a dispatcher that leaves are taken over
BEGIN_MS = 1500.0  # in which an attempt begins after a takeover
LAST_POLL_MS = 100.0  # before the deadline
WAIT_MS = 4994.0  # so that a step of the fleet ends between the look-up and the deadline
LOSS_MS = 2.0 * LEASE_MS  # the same for one that is killed


@pytest.fixture
def fleet(tmp_path):
    fleet = DurableFleet(tmp_path / "custody", ("a", "b", "c"), workers=2)
    yield fleet
    fleet.close()


def wait_for_job(process, job_id):
    """Return a batch client that waits for the end of a job."""
    client = process.client()
    client.ask("GET", f"/v1/jobs/{job_id}/wait?timeoutMs=60000")
    return client


def statuses(clients):
    """Return the statuses that batch clients got."""
    return [json.loads(body) for client in clients for _, _, body in client.answers()]


def owner_of(fleet, id_):
    """Return the process that owns a request."""
    [owner] = [each for each in fleet.running if id_ in each.coordinator.member.open_records]
    return owner


def leave(fleet, process):
    """Let a process leave, and the others take over its requests. The process runs on."""
    process.coordinator.leave()
    fleet.run_with_workers(HANDOVER_MS)
    assert process.coordinator.member.has_left


def begin_at_owner(fleet, id_):
    """Let an attempt of a request reach a worker of its owner, and return the owner."""
    fleet.run_with_workers(BEGIN_MS)
    owner = owner_of(fleet, id_)
    assert id_ in owner.begun
    return owner


@pytest.mark.parametrize("successor_ends", ["serves", "leaves", "is killed"])
def test_batch_job_has_the_same_end_at_a_dispatcher_that_has_left(fleet, successor_ends):
    """Regression: it read its own record alone, and answered failed at the deadline (review/6)."""
    first = fleet.all[0]
    job_id = first.submit_job()
    fleet.run(50.0)
    clients = [wait_for_job(process, job_id) for process in fleet.all]
    leave(fleet, first)
    successor = begin_at_owner(fleet, job_id)
    if successor_ends == "leaves":
        leave(fleet, successor)
    elif successor_ends == "is killed":
        clients.pop(fleet.all.index(successor))
        fleet.kill(successor)
        fleet.run_with_workers(LOSS_MS)
    if successor_ends != "serves":
        successor = begin_at_owner(fleet, job_id)
    successor.end_attempts(result="once")
    fleet.run(100.0)
    assert [(status["verdict"], status["result"]) for status in statuses(clients)] == [
        ("served", "once")
    ] * len(clients)
    fleet.run(DEADLINE_MS)
    latecomers = [wait_for_job(process, job_id) for process in fleet.running]
    fleet.run(100.0)
    assert {status["verdict"] for status in statuses(latecomers)} == {"served"}


@pytest.mark.parametrize("call", ["status", "terminate"])
def test_dispatcher_that_has_left_finds_and_ends_a_job_of_its_successor(fleet, call):
    """Regression: the look-up found its own record, and a termination waited for it."""
    first = fleet.all[0]
    job_id = first.submit_job()
    fleet.run(50.0)
    leave(fleet, first)
    successor = begin_at_owner(fleet, job_id)
    client = first.client()
    if call == "status":
        successor.end_attempts(result="once")
        fleet.run(50.0)
        answers = client.ask("GET", f"/v1/jobs/{job_id}")
    else:
        answers = client.ask("POST", f"/v1/jobs/{job_id}/control", {"action": "terminate"})
    fleet.run(LEASE_MS)
    [(_, _, body)] = [*answers, *client.answers()]
    status = json.loads(body)
    assert status["verdict"] == ("served" if call == "status" else "terminated")
    assert fleet.find(job_id).verdict == status["verdict"]


def test_client_of_a_dispatcher_that_has_left_gets_the_result_of_its_successor(fleet):
    """Regression: it got 502 at its deadline, after the result was recorded."""
    first = fleet.all[0]
    client = first.submit()
    fleet.run(50.0)
    first.begin_attempts()
    leave(fleet, first)
    begin_at_owner(fleet, "r1").end_attempts(result="once")
    fleet.run(100.0)
    assert [(status, body) for status, _, body in client.answers()] == [(200, b"once")]


def test_result_that_is_recorded_just_before_the_deadline_is_not_contradicted(fleet):
    """Regression: the client got 502 between two polls, though the result was recorded."""
    first = fleet.all[0]
    client = first.submit(wait=WAIT_MS)
    sent_at = fleet.now
    fleet.run(50.0)
    first.begin_attempts()
    leave(fleet, first)
    owner = begin_at_owner(fleet, "r1")
    last_poll = sent_at + WAIT_MS - LAST_POLL_MS
    while fleet.now < last_poll:
        fleet.run(10.0)
        owner.begin_attempts()
    first.coordinator.context.commit_thread.polls.unwatch("r1")  # no poll sees the result in time
    owner.end_attempts(result="late")
    fleet.run(200.0)
    assert fleet.find("r1").verdict == Verdict.SERVED.value
    assert [(status, body) for status, _, body in client.answers()] == [(200, b"late")]


@pytest.mark.parametrize("result_first", [True, False])
def test_result_that_crosses_the_handover_gives_one_end(fleet, result_first):
    """Either the result is recorded before the dispatcher leaves, or it is refused as late."""
    first = fleet.all[0]
    job_id = first.submit_job()
    fleet.run(50.0)
    first.begin_attempts()
    clients = [wait_for_job(process, job_id) for process in fleet.all]
    fleet.run(50.0)
    if result_first:
        first.end_attempts(result="first")
        first.coordinator.leave()
    else:
        first.coordinator.leave()
        commit_thread = first.coordinator.context.commit_thread
        group = commit_thread.next_group()
        commit_thread.run_turn(group, commit_thread.due_leave(group))
        first.end_attempts(result="first")  # before the event loop knows that its member has left
    fleet.run(HANDOVER_MS)
    if not result_first:
        begin_at_owner(fleet, job_id).end_attempts(result="second")
        fleet.run(100.0)
    expected = "first" if result_first else "second"
    assert [status["result"] for status in statuses(clients)] == [expected] * 3


def test_figures_of_a_dispatcher_that_has_left_follow_the_folder(fleet):
    """Regression: the members of the last tick and the takeovers of the last scan were shown for ever."""
    first, *others = fleet.all
    first.submit_job()
    fleet.run(50.0)
    leave(fleet, first)
    fleet.run(LEASE_MS)
    figures = first.coordinator.figures()
    assert (figures.member_count, figures.pending_takeovers, figures.owned_requests) == (len(others), 0, 0)


def test_recorded_batch_job_is_not_failed_while_its_end_cannot_be_found(fleet):
    """The client may ask again: what cannot be known yet is no final answer."""
    first = fleet.all[0]
    job_id = first.submit_job()
    fleet.run(50.0)
    client = wait_for_job(first, job_id)
    leave(fleet, first)
    for process in fleet.all[1:]:
        fleet.pause(process)
    fleet.run(DEADLINE_MS + 100.0)
    assert statuses([client]) == []
    client = first.client()
    client.ask("GET", f"/v1/jobs/{job_id}")
    fleet.run(50.0)
    [status] = statuses([client])
    assert status["state"] in ("queued_active", "running")
    for process in fleet.all[1:]:
        fleet.resume(process)
    fleet.run(3.0 * LEASE_MS)
    assert fleet.find(job_id).verdict in (Verdict.FAILED.value, Verdict.DECLINED.value)


@pytest.mark.parametrize("is_recorded", [True, False])
def test_batch_that_is_submitted_as_its_dispatcher_leaves_is_accepted_or_refused_as_a_whole(
    fleet, is_recorded
):
    """A planned end may come before or after the jobs of a submission are recorded."""
    first = fleet.all[0]
    client = first.client()
    client.ask("POST", "/v1/bulk-jobs", {"jobs": [{"jobClass": "safe"}] * 3})
    if is_recorded:
        fleet.run(10.0)
    first.coordinator.leave()
    fleet.run_with_workers(HANDOVER_MS + BEGIN_MS)
    for process in fleet.running:
        process.end_attempts()
    fleet.run(100.0)
    [(status, _, body)] = client.answers()
    assert status in (201, 503)
    begun = {id_ for process in fleet.all for id_ in process.begun}
    if status == 503:
        assert begun == set()
        return
    ids = json.loads(body)["jobIds"]
    assert begun == set(ids)
    assert {fleet.find(id_).verdict for id_ in ids} == {Verdict.SERVED.value}
