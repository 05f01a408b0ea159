"""The batch front on the same core: a stand-in scheduler and workers, without sockets or real time."""

import json
import os
import random
from collections import Counter
from dataclasses import replace

import pytest
from support.memory_dispatcher import SITE, Client, InMemoryDispatcher
from support.policy import KEYED, SAFE, UNSAFE

from eiderfield.batch.front import BatchFront
from eiderfield.batch.registry import JobRegistry
from eiderfield.batch.settings import JobLimits
from eiderfield.exchange.request_table import RequestTable
from eiderfield.interface import Scope
from eiderfield.net.clients import Listener
from eiderfield.net.worker_pool import WorkerPool

JOBS = int(os.environ.get("BATCH_JOBS", "1500"))  # `make batch` plays 10,000


class Batch:
    """A dispatcher with its batch listener and one client of it."""

    def __init__(
        self, workers=1, site=SITE, finished_most=100, finished_age=60_000.0, jobs_most=1000, size=10**7
    ):
        self.dispatcher = InMemoryDispatcher(site, workers)
        limits = JobLimits(jobs_most, finished_most, finished_age, size)
        self.registry = JobRegistry(self.dispatcher.exchange, self.dispatcher.clock, "n0", limits)
        self.listener = Listener(BatchFront(self.registry), self.dispatcher.wheel, self.dispatcher.clock, 50)
        self.client = Client(self.dispatcher, self.listener)

    def ask(self, method, path, told=None):
        [(status, head, body)] = self.client.ask(method, path, told)
        return status, head, json.loads(body)

    def run(self, **template):
        status, _, told = self.ask("POST", "/v1/jobs", {"jobClass": "safe", **template})
        assert status == 201
        return told["jobId"]

    def status(self, job_id):
        return self.ask("GET", f"/v1/jobs/{job_id}")[2]

    def terminate(self, job_id):
        return self.ask("POST", f"/v1/jobs/{job_id}/control", {"action": "terminate"})[2]


def test_a_job_goes_from_queued_to_done_and_its_waiter_hears_at_once():
    batch = Batch()
    job = batch.run(subject="field-7", body="wet")
    waiter = Client(batch.dispatcher, batch.listener)
    assert batch.status(job)["state"] == "queued_active"
    assert waiter.ask("GET", f"/v1/jobs/{job}/wait?timeoutMs=9000") == []
    end = batch.dispatcher.dials[0].up()
    assert end.take() == [job]
    end.say({"id": job, "state": "started"})
    assert batch.status(job)["state"] == "running"
    end.say({"id": job, "state": "done", "result": "42"}, head=False, end=True)
    assert batch.status(job)["result"] == "42"
    [(status, _, body)] = waiter.answers()
    assert status == 200
    assert b'"done"' in body


def test_a_wait_that_takes_too_long_gets_drmaas_timeout():
    batch = Batch()
    job = batch.run()
    waiter = Client(batch.dispatcher, batch.listener)
    waiter.ask("GET", f"/v1/jobs/{job}/wait?timeoutMs=100")
    batch.dispatcher.advance(200.0)
    [(status, _, body)] = waiter.answers()
    assert status == 408
    assert b"ExitTimeoutException" in body
    assert not batch.registry.table.find(job).end_callbacks


def test_a_cancelled_job_that_never_ran_is_final_and_sent_nowhere():
    batch = Batch()
    job = batch.run()
    told = batch.terminate(job)
    assert (told["state"], told["verdict"], told["mayHaveRun"]) == ("failed", "terminated", False)
    assert not batch.dispatcher.dials  # its connection was called off
    assert batch.terminate(job) == told


def test_a_cancelled_job_that_may_run_closes_its_leg_and_says_so():
    batch = Batch()
    job = batch.run(jobClass="unsafe")
    end = batch.dispatcher.dials[0].up()
    end.take()
    told = batch.terminate(job)
    assert (told["verdict"], told["mayHaveRun"]) == ("terminated", True)
    assert not end.pipe.open
    batch.dispatcher.advance(10_000.0)
    assert batch.status(job) == told
    assert not batch.dispatcher.dials


@pytest.mark.parametrize("where", ["waits for its retry", "is being dialled"])
def test_nothing_is_begun_for_a_job_that_was_cancelled(where):
    """Cancelled in the very turn of its retry's timer, too."""
    batch = Batch()
    dispatcher = batch.dispatcher
    job = batch.run()
    dial = dispatcher.dials[0]
    if where == "is being dialled":
        batch.terminate(job)
        dispatcher.dials.append(dial)  # it came up in the moment in which it was called off
        assert not dial.up().pipe.written
        return
    end = dial.up()
    end.status(503, X_Not_Run="1")
    [worker] = dispatcher.exchange.dispatcher.workers.values()
    while dispatcher.now < worker.full_until:
        dispatcher.settle()
        dispatcher.now = max(dispatcher.now, dispatcher.wheel.next_at())
        dispatcher.wheel.advance(dispatcher.now)
    assert dispatcher.woken, "the timer has gone off and its turn has not come yet"
    assert batch.terminate(job)["verdict"] == "terminated"
    dispatcher.advance(1000.0)
    assert end.take() == []
    assert end.came == [job]
    assert not dispatcher.dials


def test_a_result_that_is_in_wins_over_a_cancel():
    batch = Batch()
    job = batch.run()
    batch.dispatcher.dials[0].up().finish(result="paid")
    assert batch.terminate(job)["result"] == "paid"


def test_a_declined_job_keeps_its_status_with_the_time_to_come_back():
    batch = Batch()
    jobs = [batch.run() for _ in range(60)]
    declined = [told for told in map(batch.status, jobs) if told.get("verdict") == "declined"]
    assert declined
    assert all(told["state"] == "failed" and told["legs"] == 0 for told in declined)
    assert all(told["retryAfterMs"] > 0 for told in declined)


def test_a_deadline_is_the_jobs_own():
    batch = Batch(workers=0)
    job = batch.run(deadlineMs=300)
    batch.dispatcher.advance(290.0)
    assert batch.status(job)["state"] == "queued_active"
    batch.dispatcher.advance(20.0)
    assert batch.status(job)["state"] == "failed"


@pytest.mark.parametrize(
    ("method", "path", "told", "status", "error"),
    [
        ("GET", "/v1/jobs/none", None, 404, "InvalidJobException"),
        ("GET", "/v1/jobs/none/wait", None, 404, "InvalidJobException"),
        ("POST", "/v1/jobs/none/control", {"action": "terminate"}, 404, "InvalidJobException"),
        ("POST", "/v1/jobs/none/control", {"action": "explode"}, 400, "InvalidArgumentException"),
        ("POST", "/v1/jobs", {"jobClass": "none"}, 400, "InvalidArgumentException"),
        ("POST", "/v1/jobs", {"jobClass": "safe", "deadlineMs": -1}, 400, "InvalidArgumentException"),
        ("POST", "/v1/jobs", {"jobClass": "safe", "priority": 1}, 400, "InvalidArgumentException"),
        ("POST", "/v1/jobs", {"jobClass": "safe", "subject": "a b"}, 400, "InvalidArgumentException"),
        ("POST", "/v1/jobs", {"jobClass": "safe", "body": "\ud800"}, 400, "InvalidArgumentException"),
        ("POST", "/v1/jobs", {"jobClass": "unsafe", "idempotencyKey": "k"}, 409, "DeniedByDrmException"),
        ("POST", "/v1/jobs", [], 400, "InvalidArgumentException"),
        ("POST", "/v1/bulk-jobs", {"jobs": []}, 400, "InvalidArgumentException"),
        ("POST", "/v1/bulk-jobs", {"jobs": [{"jobClass": "safe"}] * 21}, 503, "TryLaterException"),
    ],
)
def test_errors_have_drmaas_names(method, path, told, status, error):
    batch = Batch(jobs_most=20)
    got, _, answer = batch.ask(method, path, told)
    assert (got, answer["error"]) == (status, error)
    assert batch.registry.table.known == 0


def test_what_workers_cannot_do_is_denied():
    batch = Batch()
    path = f"/v1/jobs/{batch.run()}/control"
    assert batch.ask("POST", path, {"action": "suspend"})[2]["error"] == "DeniedByDrmException"


def test_finished_jobs_are_forgotten_by_count_and_age():
    batch = Batch(finished_most=3, finished_age=5000.0)
    jobs = [batch.run() for _ in range(5)]
    for job in jobs:
        batch.terminate(job)
    assert batch.registry.table.known == 3
    assert batch.ask("GET", f"/v1/jobs/{jobs[0]}")[0] == 404
    batch.dispatcher.advance(5001.0)
    assert batch.ask("GET", f"/v1/jobs/{jobs[4]}")[0] == 404
    assert batch.registry.table.known == 0


def test_bodies_and_results_stay_within_their_memory():
    batch = Batch(size=250)
    first = batch.run(body="x" * 100)
    batch.dispatcher.dials[0].up().finish(result="y" * 120)
    batch.run(body="z" * 120)
    status, _, told = batch.ask("POST", "/v1/jobs", {"jobClass": "safe", "body": "z" * 200})
    assert (status, told["error"]) == (503, "TryLaterException")
    assert batch.ask("GET", f"/v1/jobs/{first}")[0] == 404  # the finished one gave way
    assert batch.registry.table.held_bytes == 120


def test_a_batch_that_ends_takes_no_more():
    batch = Batch()
    batch.listener.draining = True
    status, head, told = batch.ask("POST", "/v1/jobs", {"jobClass": "safe"})
    assert (status, told["error"]) == (503, "TryLaterException")
    assert head.get("retry-after")


MIXED = replace(
    SITE,
    classes=(SAFE, UNSAFE, replace(KEYED, scope=Scope.ZONE, repeat_window_ms=3000.0)),
    max_attempts=4,
    zone_count=2,
)


def play_scheduler(jobs):
    """A stand-in scheduler submits in bulk, cancels a tenth, and asks about each until it is final."""
    rng = random.Random(7)
    batch = Batch(6, MIXED, finished_most=jobs, finished_age=1e9, jobs_most=jobs)
    dispatcher, left, open_jobs, final, answers = batch.dispatcher, jobs, {}, {}, Counter()
    sent, zones, cancelled, doomed, shown = Counter(), {}, 0, [], Counter()
    finish = batch.registry.table.finish

    def counted(record, answer):
        answers[record.job_id] += 1
        finish(record, answer)

    batch.registry.table.finish = counted
    while left or open_jobs:
        if left and len(open_jobs) < 12:  # a scheduler that heeds declines keeps a window
            classes = [rng.choice(["safe", "unsafe", "keyed"]) for _ in range(min(left, rng.randint(1, 8)))]
            wait = rng.choice([400, 4000])
            told = batch.ask(
                "POST",
                "/v1/bulk-jobs",
                {
                    "jobs": [
                        {"jobClass": c, "subject": f"d{rng.randint(0, 9)}", "deadlineMs": wait}
                        for c in classes
                    ]
                },
            )[2]
            open_jobs.update(zip(told["jobIds"], classes, strict=True))
            left -= len(classes)
            doomed += [job for job in told["jobIds"] if rng.random() < 0.1]
        for job in [job for job in doomed if rng.random() < 0.3]:  # some while held, some while they run
            doomed.remove(job)
            batch.terminate(job)
            cancelled += 1
        for dial in list(dispatcher.dials):
            if dial in dispatcher.dials and rng.random() < 0.9:
                dial.refuse() if rng.random() < 0.05 else dial.up()
        for end in dispatcher.ends:
            end.take()
            for job in end.came[shown[end] :]:
                sent[job] += 1
                zones.setdefault(job, []).append(end.worker % 2)
            shown[end] = len(end.came)
            if end.requests and end.pipe.open and rng.random() < 0.5:
                how = rng.choices(["done", "failed", "lost", "returned", "break"], [90, 2, 2, 4, 2])[0]
                job = end.requests[0].get("x-request-id")
                if how == "returned":
                    sent[job] -= 1
                    zones[job].pop()
                end.pipe.break_off() if how == "break" else end.finish(how, f"of {job}")
        dispatcher.ends = [end for end in dispatcher.ends if end.pipe.open]
        dispatcher.settle()
        dispatcher.advance(rng.choice([5.0, 20.0, 60.0]))
        for job in rng.sample(sorted(open_jobs), min(len(open_jobs), 40)):
            told = batch.status(job)
            if told["state"] in ("done", "failed"):
                final[job] = (open_jobs.pop(job), told)
    return batch, final, answers, sent, zones, cancelled


def test_a_scheduler_sees_every_job_end_once_within_its_classs_rule():
    batch, final, answers, sent, zones, cancelled = play_scheduler(JOBS)
    assert len(final) == JOBS
    assert set(answers.values()) == {1}
    assert len(answers) == JOBS
    assert batch.registry.table.unfinished == 0
    assert not batch.dispatcher.exchange.unanswered
    verdicts = Counter(told["verdict"] for _, told in final.values())
    assert cancelled > JOBS // 20
    assert verdicts["terminated"] > JOBS // 40
    assert verdicts["served"] > JOBS // 4
    for job, (cls, told) in final.items():
        assert batch.status(job) == told, "a final status changed"
        assert told["legs"] <= MIXED.max_attempts
        assert cls != "unsafe" or sent[job] <= 1
        assert cls != "keyed" or len(set(zones.get(job, ()))) <= 1, "repeated out of its group"
        if told["verdict"] == "served":
            assert told["result"] == f"of {job}"
        if told["verdict"] == "declined":
            assert cls == "safe" or not sent[job], "declined what may have run"


def test_the_scheduler_would_see_a_second_answer_and_a_leg_too_many(monkeypatch):
    real = RequestTable.finish

    def twice(self, job, answer=None):
        real(self, job, answer)
        if answer is not None:
            job.on_answer(answer)

    monkeypatch.setattr(RequestTable, "finish", twice)
    assert set(play_scheduler(100)[2].values()) != {1}
    monkeypatch.undo()
    start = WorkerPool.start
    monkeypatch.setattr(WorkerPool, "start", lambda self, leg: [start(self, leg), start(self, leg)])
    assert max(play_scheduler(100)[3].values()) > 1
