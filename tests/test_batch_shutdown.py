"""Batch jobs that no other process knows while their process ends as planned: each end can be fetched."""

from __future__ import annotations

import json

import pytest
from support.running_program import RunningProgram

from eiderfield.batch.drain import FETCH_TIME_MS
from eiderfield.net.shutdown_times import ACCEPT_TIME_MS, KEEP_ALIVE_TIME_MS, ShutdownTimes

DEADLINE_MS = 12_000.0
KILL_AFTER_MS = 3700.0  # the longest deadline, 3 s at most, and 0.7 s
FINAL = ("done", "failed")


@pytest.fixture
def running():
    running = RunningProgram(DEADLINE_MS, has_batch=True)
    yield running
    running.close()


def batch_client(running):
    return running.connect(running.ports[1])


def submit(running, client, count):
    """Submit jobs and return their ids."""
    running.call(client, "POST", "/v1/bulk-jobs", {"jobs": [{"jobClass": "echo"}] * count})
    assert client.statuses[-1] == 201
    return json.loads(client.bodies[-1])["jobIds"]


def submit_and_serve(running, client):
    """Submit a job whose end nobody has fetched yet, and return its id."""
    [job_id] = submit(running, client, 1)
    running.run(50.0)
    running.worker.serve(job_id)
    running.run(20.0)
    return job_id


def begin_wait(running, client, job_id):
    running.call(client, "GET", f"/v1/jobs/{job_id}/wait?timeoutMs=60000")


def last_status(client):
    return json.loads(client.bodies[-1])


def run_until_ended(running, span=KILL_AFTER_MS):
    """Let the program end. Return when it did, in ms after now."""
    begun_at = running.now
    while not running.program.ended.is_set() and running.now < begun_at + span:
        running.step()
    assert running.program.ended.is_set(), "the program had to be killed"
    return running.now - begun_at


def test_client_fetches_the_ends_of_all_jobs_in_turn_on_one_connection(running):
    """Regression: the address was closed and connections were not kept, so that ends got lost (review/8)."""
    client = batch_client(running)
    ids = submit(running, client, 4)
    running.run(50.0)
    running.program.stop()
    for number, job_id in enumerate(ids):
        begin_wait(running, client, job_id)
        running.run(600.0)  # the last job ends 2.4 s after SIGTERM
        running.worker.serve(job_id)
        running.run(20.0)
        assert len(client.statuses) == 2 + number
        assert last_status(client)["verdict"] == "served"
        assert client.open
    run_until_ended(running, 500.0)


def test_job_that_no_worker_has_run_ends_as_declined_before_the_kill(running):
    """Regression: a job that still waited when the program ended got no end at all."""
    running.worker.listening_socket.close()  # no dial succeeds
    client = batch_client(running)
    [job_id] = submit(running, client, 1)
    running.program.stop()
    begin_wait(running, client, job_id)
    run_until_ended(running)
    assert last_status(client)["verdict"] == "declined"
    assert last_status(client)["mayHaveRun"] is False


def test_job_that_runs_until_the_kill_ends_as_failed(running):
    client = batch_client(running)
    [job_id] = submit(running, client, 1)
    running.run(50.0)
    running.program.stop()
    begin_wait(running, client, job_id)
    run_until_ended(running)
    assert (last_status(client)["verdict"], last_status(client)["mayHaveRun"]) == ("failed", True)


@pytest.mark.parametrize("call", ["wait", "status", "terminate"])
def test_address_stays_open_for_what_is_owed_and_closed_to_new_jobs(running, call):
    client = batch_client(running)
    ids = submit(running, client, 2)
    running.run(50.0)
    running.program.stop()
    running.run(KEEP_ALIVE_TIME_MS + 100.0)
    late = batch_client(running)
    running.call(late, "POST", "/v1/jobs", {"jobClass": "echo"})
    assert late.statuses == [503]
    assert late.open
    paths = {"wait": "/wait?timeoutMs=60000", "status": "", "terminate": "/control"}
    if call != "terminate":
        running.worker.serve(ids[0])
        running.run(20.0)
        running.call(late, "GET", f"/v1/jobs/{ids[0]}{paths[call]}")
    else:
        running.call(late, "POST", f"/v1/jobs/{ids[0]}{paths[call]}", {"action": "terminate"})
    running.run(20.0)
    assert late.statuses == [503, 200]
    assert last_status(late)["state"] in FINAL


def test_client_that_never_comes_holds_the_process_for_a_bounded_time(running):
    client = batch_client(running)
    submit_and_serve(running, client)
    client.close()
    running.run(2.0 * FETCH_TIME_MS)
    running.program.stop()
    ended_after = run_until_ended(running)
    assert ACCEPT_TIME_MS <= ended_after <= FETCH_TIME_MS + 200.0


def test_client_that_asks_now_and_then_finds_its_end_until_the_bound(running):
    """A client may poll on a new connection each time, rather than wait."""
    client = batch_client(running)
    ids = submit(running, client, 2)
    running.run(50.0)
    for job_id in ids:
        running.worker.serve(job_id)
    running.run(20.0)
    client.close()
    running.program.stop()
    for job_id in ids:
        running.run(FETCH_TIME_MS - 200.0)
        late = batch_client(running)
        running.call(late, "GET", f"/v1/jobs/{job_id}")
        assert last_status(late)["verdict"] == "served"
        late.close()
    run_until_ended(running, 500.0)


def test_process_whose_ends_are_all_fetched_ends_as_before(running):
    client = batch_client(running)
    job_id = submit_and_serve(running, client)
    begin_wait(running, client, job_id)
    assert last_status(client)["verdict"] == "served"
    client.close()
    running.program.stop()
    assert run_until_ended(running) <= ACCEPT_TIME_MS + 200.0


def test_client_that_never_leaves_does_not_hold_the_process_beyond_the_bound(running):
    """It asks again and again, but never for its job."""
    client = batch_client(running)
    submit_and_serve(running, client)
    running.program.stop()
    begun_at = running.now
    while running.now < begun_at + KILL_AFTER_MS and not running.program.ended.is_set():
        if client.open and not client.awaits_response:
            running.call(client, "GET", "/v1/jobs/none")
        running.step()
    assert running.program.ended.is_set()
    assert running.now - begun_at <= ShutdownTimes.of(DEADLINE_MS).answered_after + 200.0


def test_jobs_of_a_refused_submission_hold_no_process(running):
    """Its client knows from the response that none of them was accepted."""
    client = batch_client(running)
    running.call(client, "POST", "/v1/bulk-jobs", {"jobs": [{"jobClass": "echo"}, {"jobClass": "none"}]})
    assert client.statuses == [400]
    client.close()
    running.program.stop()
    assert run_until_ended(running) <= ACCEPT_TIME_MS + 200.0


def test_second_sigterm_changes_nothing(running):
    client = batch_client(running)
    [job_id] = submit(running, client, 1)
    running.run(50.0)
    running.program.stop()
    running.run(1000.0)
    running.program.stop()
    begin_wait(running, client, job_id)
    run_until_ended(running, KILL_AFTER_MS - 1000.0)
    assert last_status(client)["state"] in FINAL


def test_client_of_an_ended_process_is_told_why_its_job_may_be_unknown(running):
    client = batch_client(running)
    running.call(client, "GET", "/v1/jobs/n0-0123456789abcdef.1")
    assert client.statuses == [404]
    assert last_status(client)["error"] == "InvalidJobException"
    assert "the process that accepted it has ended" in last_status(client)["message"]
