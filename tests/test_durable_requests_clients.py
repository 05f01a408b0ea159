"""No attempt of a durable request begins while no client waits for it, whichever dispatcher owns it."""

from __future__ import annotations

from dataclasses import replace

import pytest
from support.durable_fleet import DEADLINE_MS, LEASE_MS, DurableFleet

from eiderfield.durable_requests.incarnations import MEMBERS
from eiderfield.exchange.request import Verdict

SETTLED_MS = 3.0 * LEASE_MS  # in which a lost dispatcher's requests are taken over
UNSERVED = (Verdict.FAILED.value, Verdict.DECLINED.value)
NEAR_DEADLINE_MS = 2000.0  # left of a request's deadline at the end of a watch


@pytest.fixture
def fleet(tmp_path):
    fleet = DurableFleet(tmp_path / "custody", workers=2)
    yield fleet
    fleet.close()


@pytest.fixture
def fleet_of_three(tmp_path):
    fleet = DurableFleet(tmp_path / "custody", ("a", "b", "c"), workers=2)
    yield fleet
    fleet.close()


def submit_and_begin(fleet, process):
    """Submit a request, let its attempt reach a worker, and return the client."""
    client = process.submit()
    fleet.run(50.0)
    process.begin_attempts()
    assert process.begun == ["r1"]
    return client


def begun_by(processes):
    return [id_ for process in processes for id_ in process.begun]


@pytest.mark.parametrize("has_attempt", [True, False])
@pytest.mark.parametrize("order", ["read, then killed", "killed before it was read", "killed, then closed"])
def test_no_attempt_begins_for_a_client_that_left_a_killed_dispatcher(fleet, order, has_attempt):
    """Regression: a successor did not know that the client had left, and began an attempt (review/10)."""
    first, successor = fleet.all
    client = first.submit()
    fleet.run(50.0)
    if has_attempt:
        first.begin_attempts()
    if order == "read, then killed":
        client.pipe.break_off()
        fleet.run(700.0)
    elif order == "killed before it was read":
        client.pipe.break_off()
    fleet.kill(first)
    fleet.run_with_workers(DEADLINE_MS)
    assert successor.begun == []
    record = fleet.find("r1")
    assert record.verdict in UNSERVED
    assert record.may_have_run or not has_attempt


@pytest.mark.parametrize("place", ["owner", "another dispatcher"])
@pytest.mark.parametrize("when", ["before the takeover", "after it"])
def test_request_of_a_killed_dispatcher_goes_on_once_its_client_comes_back(fleet_of_three, place, when):
    first, *others = fleet_of_three.all
    submit_and_begin(fleet_of_three, first)
    fleet_of_three.kill(first)
    if when == "after it":
        fleet_of_three.run(SETTLED_MS)
        assert begun_by(others) == []
    returning = []
    for process in others:
        is_owner = "r1" in process.coordinator.member.open_records
        if when == "before the takeover" or is_owner == (place == "owner"):
            returning.append(process.submit())
            break
    fleet_of_three.run_with_workers(SETTLED_MS)
    assert begun_by(others) == ["r1"]
    for process in others:
        process.end_attempts(result="again")
    fleet_of_three.run(200.0)
    assert [answer[2] for client in returning for answer in client.answers()] == [b"again"]


def test_client_that_left_one_dispatcher_and_waits_at_another_has_not_gone(fleet):
    """Regression: the owner looked for clients of its own alone, and failed a request that was waited for."""
    owner, other = fleet.all
    client = submit_and_begin(fleet, owner)
    returned = other.submit()
    fleet.run(50.0)
    client.pipe.break_off()
    fleet.run(50.0)
    owner.end_attempts("failed")
    fleet.run_with_workers(2000.0)
    assert owner.begun == ["r1", "r1"]
    returned.pipe.break_off()
    fleet.run(50.0)
    owner.end_attempts("failed")
    fleet.run_with_workers(DEADLINE_MS - NEAR_DEADLINE_MS)
    assert owner.begun == ["r1", "r1"], "an attempt began after the client had left the other dispatcher too"
    assert fleet.find("r1").verdict in UNSERVED


def test_client_that_joined_by_key_keeps_the_request(fleet):
    """Regression: a client with the same key waits under another id, and did not count at the owner."""
    owner, _ = fleet.all
    client = owner.submit("r1", key="k")
    fleet.run(50.0)
    owner.submit("r2", key="k")
    fleet.run(50.0)
    owner.begin_attempts()
    client.pipe.break_off()
    fleet.run(50.0)
    owner.end_attempts("failed")
    fleet.run_with_workers(2000.0)
    assert owner.begun == ["r1", "r1"]


@pytest.mark.parametrize("observer_leaves", [True, False])
def test_batch_job_of_a_killed_dispatcher_goes_on_without_a_client(fleet, observer_leaves):
    """Regression: a client that waited for a job that was taken over, and left, ended the job."""
    first, successor = fleet.all
    job_id = first.submit_job()
    fleet.run(50.0)
    if observer_leaves:
        observer = successor.client()
        observer.ask("GET", f"/v1/jobs/{job_id}/wait?timeoutMs=10000")
        fleet.run(50.0)
    fleet.kill(first)
    fleet.run_with_workers(SETTLED_MS)
    assert successor.begun == [job_id]
    if observer_leaves:
        observer.pipe.break_off()
    successor.end_attempts("failed")
    fleet.run_with_workers(2000.0)
    assert successor.begun == [job_id] * 2
    successor.end_attempts()
    fleet.run(50.0)
    assert fleet.find(job_id).verdict == Verdict.SERVED.value


@pytest.mark.parametrize("leaves", [True, False])
def test_request_of_a_dispatcher_that_leaves_goes_on_while_its_client_stays(fleet, leaves):
    first, successor = fleet.all
    client = submit_and_begin(fleet, first)
    first.coordinator.leave()
    fleet.run(20.0)
    if leaves:
        client.pipe.break_off()
    fleet.run_with_workers(2000.0)
    assert successor.begun == ([] if leaves else ["r1"])
    if not leaves:
        client.pipe.break_off()
        fleet.run(50.0)
        successor.end_attempts("failed")
        fleet.run_with_workers(2000.0)
        assert successor.begun == ["r1"], "a further attempt began for a client that had left"


@pytest.mark.parametrize("leaves", [True, False])
def test_request_of_a_paused_dispatcher_goes_on_once_its_client_is_known_to_stay(fleet, leaves):
    """Regression: what a client does at a paused dispatcher is not known before the pause is over."""
    first, successor = fleet.all
    client = submit_and_begin(fleet, first)
    fleet.pause(first)
    fleet.run_with_workers(SETTLED_MS)
    assert successor.begun == []
    if leaves:
        client.pipe.break_off()
    fleet.resume(first)
    fleet.run_with_workers(1000.0)
    assert successor.begun == ([] if leaves else ["r1"])


def test_dispatcher_of_an_earlier_revision_may_still_have_its_clients(fleet):
    """An earlier revision marks no clients: what it hands over while it runs goes on, as it always did."""
    first, successor = fleet.all
    submit_and_begin(fleet, first)
    incarnations = first.coordinator.member.folder.incarnations
    info = incarnations.info("a.1")
    (fleet.folder / MEMBERS / "a.1").write_text(replace(info, marks_clients=False).encode())
    fleet.pause(first)
    fleet.run_with_workers(SETTLED_MS)
    assert successor.begun == ["r1"]


def test_unsafe_request_that_waited_at_a_killed_dispatcher_is_not_run_without_its_client(tmp_path):
    """Regression: it was run, and run again under the fresh id of the client's next try."""
    fleet = DurableFleet(tmp_path / "custody", ("a", "b"), workers=0, class_index=1)
    first, successor = fleet.all
    first.submit(class_name="unsafe")
    fleet.run(50.0)
    fleet.kill(first)
    fleet.run(SETTLED_MS)
    successor.dispatcher.tell((1, "SERVING"), (2, "SERVING"), snapshot=True)
    successor.submit("r2", class_name="unsafe")
    fleet.run_with_workers(DEADLINE_MS)
    assert successor.begun == ["r2"]
    assert fleet.find("r1").verdict in UNSERVED
    fleet.close()


def test_end_of_a_request_without_a_client_can_be_requested(fleet):
    first, successor = fleet.all
    submit_and_begin(fleet, first)
    fleet.kill(first)
    fleet.run(SETTLED_MS)
    successor.coordinator.member.folder.end_requests.add("r1")
    fleet.run(LEASE_MS)
    assert fleet.find("r1").verdict == Verdict.TERMINATED.value
    assert successor.coordinator.idle


@pytest.mark.parametrize("leaves", [True, False])
def test_client_that_waits_at_a_paused_dispatcher_may_have_gone(fleet, leaves):
    """Regression (seeds 1396 and others of the drawn orders): the mark of a stopped process counted."""
    owner, other = fleet.all
    client = submit_and_begin(fleet, owner)
    returned = other.submit()
    fleet.run(50.0)
    client.pipe.break_off()
    fleet.pause(other)
    fleet.run(150.0)
    owner.end_attempts("failed")
    fleet.run_with_workers(500.0)
    assert owner.begun == ["r1"]
    if leaves:
        returned.pipe.break_off()
    fleet.resume(other)
    fleet.run_with_workers(3000.0)
    assert owner.begun == (["r1"] if leaves else ["r1", "r1"])


def test_mark_of_a_killed_dispatcher_does_not_count(fleet_of_three):
    """The client's connection ended with its dispatcher."""
    owner, other, _ = fleet_of_three.all
    client = submit_and_begin(fleet_of_three, owner)
    other.submit()
    fleet_of_three.run(50.0)
    client.pipe.break_off()
    fleet_of_three.kill(other)
    owner.end_attempts("failed")
    fleet_of_three.run_with_workers(2000.0)
    assert owner.begun == ["r1"]
