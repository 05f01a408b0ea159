"""The batch front with simulated schedulers and workers, without sockets or real time."""

import json
import os
import random
from collections import Counter
from dataclasses import dataclass, field, replace

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

JOB_COUNT = int(os.environ.get("BATCH_JOBS", "1500"))  # `make batch` plays 10,000


class Batch:
    """A dispatcher with its batch listener and one client of it."""

    def __init__(
        self,
        workers=1,
        settings=SITE,
        *,
        max_unfinished=1000,
        max_finished=100,
        max_age_ms=60_000.0,
        max_bytes=10**7,
    ):
        self.dispatcher = InMemoryDispatcher(settings, workers)
        limits = JobLimits(max_unfinished, max_finished, max_age_ms, max_bytes)
        self.registry = JobRegistry(self.dispatcher.exchange, self.dispatcher.clock, "n0", limits)
        self.listener = Listener(BatchFront(self.registry), self.dispatcher.wheel, self.dispatcher.clock, 50)
        self.client = Client(self.dispatcher, self.listener)

    def ask(self, method, path, message=None):
        """Send a message; return status, head and JSON value of the response."""
        [(status, head, body)] = self.client.ask(method, path, message)
        return status, head, json.loads(body)

    def run(self, **template):
        """Submit a job; return its id."""
        status, _, response = self.ask("POST", "/v1/jobs", {"jobClass": "safe", **template})
        assert status == 201
        return response["jobId"]

    def run_bulk(self, templates):
        """Submit several jobs; return their ids."""
        return self.ask("POST", "/v1/bulk-jobs", {"jobs": templates})[2]["jobIds"]

    def status(self, job_id):
        return self.ask("GET", f"/v1/jobs/{job_id}")[2]

    def terminate(self, job_id):
        return self.ask("POST", f"/v1/jobs/{job_id}/control", {"action": "terminate"})[2]


def test_job_that_runs_goes_from_queued_to_done_and_answers_its_waiter():
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


def test_wait_longer_than_its_timeout_gets_drmaas_timeout_error():
    batch = Batch()
    job = batch.run()
    waiter = Client(batch.dispatcher, batch.listener)
    waiter.ask("GET", f"/v1/jobs/{job}/wait?timeoutMs=100")
    batch.dispatcher.advance(200.0)
    [(status, _, body)] = waiter.answers()
    assert status == 408
    assert b"ExitTimeoutException" in body
    assert not batch.registry.table.find(job).end_callbacks


def test_terminated_job_that_never_ran_is_final_and_never_sent():
    batch = Batch()
    job = batch.run()
    final_status = batch.terminate(job)
    assert (final_status["state"], final_status["verdict"], final_status["mayHaveRun"]) == (
        "failed",
        "terminated",
        False,
    )
    assert not batch.dispatcher.dials  # its connection was called off
    assert batch.terminate(job) == final_status


def test_terminated_job_that_may_run_closes_its_attempt_and_reports_that():
    batch = Batch()
    job = batch.run(jobClass="unsafe")
    end = batch.dispatcher.dials[0].up()
    end.take()
    final_status = batch.terminate(job)
    assert (final_status["verdict"], final_status["mayHaveRun"]) == ("terminated", True)
    assert not end.pipe.open
    batch.dispatcher.advance(10_000.0)
    assert batch.status(job) == final_status
    assert not batch.dispatcher.dials


def test_job_terminated_while_its_connection_is_dialled_is_not_sent():
    batch = Batch()
    job = batch.run()
    dial = batch.dispatcher.dials[0]
    batch.terminate(job)
    batch.dispatcher.dials.append(dial)  # it came up in the moment in which it was called off
    assert not dial.up().pipe.written


def test_job_terminated_in_the_turn_of_its_retry_timer_is_not_sent_again():
    batch = Batch()
    dispatcher = batch.dispatcher
    job = batch.run()
    end = dispatcher.dials[0].up()
    end.status(503, X_Not_Run="1")
    [worker] = dispatcher.exchange.dispatcher.workers.values()
    while dispatcher.now < worker.full_until:
        dispatcher.settle()
        dispatcher.now = max(dispatcher.now, dispatcher.wheel.next_wakeup())
        dispatcher.wheel.advance(dispatcher.now)
    assert dispatcher.woken, "the timer has gone off and its turn has not come yet"
    assert batch.terminate(job)["verdict"] == "terminated"
    dispatcher.advance(1000.0)
    assert end.take() == []
    assert end.came == [job]
    assert not dispatcher.dials


def test_terminated_job_with_a_result_keeps_it():
    batch = Batch()
    job = batch.run()
    batch.dispatcher.dials[0].up().finish(result="paid")
    assert batch.terminate(job)["result"] == "paid"


def test_declined_job_keeps_its_status_with_the_retry_time():
    batch = Batch()
    jobs = [batch.run() for _ in range(60)]
    declined = [
        final_status for final_status in map(batch.status, jobs) if final_status.get("verdict") == "declined"
    ]
    assert declined
    assert all(final_status["state"] == "failed" and final_status["legs"] == 0 for final_status in declined)
    assert all(final_status["retryAfterMs"] > 0 for final_status in declined)


def test_job_with_a_deadline_fails_at_that_deadline():
    batch = Batch(workers=0)
    job = batch.run(deadlineMs=300)
    batch.dispatcher.advance(290.0)
    assert batch.status(job)["state"] == "queued_active"
    batch.dispatcher.advance(20.0)
    assert batch.status(job)["state"] == "failed"


@pytest.mark.parametrize(
    ("method", "path", "message", "status", "error"),
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
def test_refused_message_gets_the_error_by_drmaas_name_and_adds_no_job(method, path, message, status, error):
    batch = Batch(max_unfinished=20)
    received_status, _, response = batch.ask(method, path, message)
    assert (received_status, response["error"]) == (status, error)
    assert batch.registry.table.known == 0


def test_control_action_that_workers_cannot_carry_out_is_denied():
    batch = Batch()
    path = f"/v1/jobs/{batch.run()}/control"
    assert batch.ask("POST", path, {"action": "suspend"})[2]["error"] == "DeniedByDrmException"


def test_finished_jobs_over_their_count_are_forgotten_oldest_first():
    batch = Batch(max_finished=3)
    jobs = [batch.run() for _ in range(5)]
    for job in jobs:
        batch.terminate(job)
    assert batch.registry.table.known == 3
    assert [batch.ask("GET", f"/v1/jobs/{job}")[0] for job in jobs] == [404, 404, 200, 200, 200]


def test_finished_jobs_over_their_age_are_forgotten():
    batch = Batch(max_age_ms=5000.0)
    job = batch.run()
    batch.terminate(job)
    batch.dispatcher.advance(4999.0)
    assert batch.ask("GET", f"/v1/jobs/{job}")[0] == 200
    batch.dispatcher.advance(2.0)
    assert batch.ask("GET", f"/v1/jobs/{job}")[0] == 404
    assert batch.registry.table.known == 0


def test_memory_at_its_limit_forgets_finished_jobs_and_refuses_others():
    batch = Batch(max_bytes=250)
    first = batch.run(body="x" * 100)
    batch.dispatcher.dials[0].up().finish(result="y" * 120)
    batch.run(body="z" * 120)
    status, _, response = batch.ask("POST", "/v1/jobs", {"jobClass": "safe", "body": "z" * 200})
    assert (status, response["error"]) == (503, "TryLaterException")
    assert batch.ask("GET", f"/v1/jobs/{first}")[0] == 404  # it was forgotten for its memory
    assert batch.registry.table.held_bytes == 120


def test_draining_listener_refuses_jobs_with_a_retry_time():
    batch = Batch()
    batch.listener.draining = True
    status, head, response = batch.ask("POST", "/v1/jobs", {"jobClass": "safe"})
    assert (status, response["error"]) == (503, "TryLaterException")
    assert head.get("retry-after")


THREE_CLASSES = replace(
    SITE,
    classes=(SAFE, UNSAFE, replace(KEYED, scope=Scope.ZONE, repeat_window_ms=3000.0)),
    max_attempts=4,
    zone_count=2,
)
WINDOW = 12  # unfinished jobs from which the scheduler submits no more
MAX_BULK = 8  # jobs of one submission


@dataclass(frozen=True)
class FinishedJob:
    """A job of the scheduler, with the first final status that it was given."""

    job_id: str
    job_class: str
    status: dict


@dataclass
class SchedulerRun:
    """A scheduler that submits jobs in bulk, terminates a tenth, and polls each until it is final.

    Its workers refuse connections, break them off, and fail, lose or return jobs.
    """

    job_count: int
    finished: list[FinishedJob] = field(default_factory=list)
    answers: Counter = field(default_factory=Counter)  # by job id, as the registry was given them
    attempts: Counter = field(default_factory=Counter)  # by job id, those that may have run
    zones: dict[str, list[int]] = field(default_factory=dict)  # by job id, of those attempts
    terminated_count: int = 0

    def __post_init__(self):
        self.random = random.Random(7)
        count = self.job_count
        self.batch = Batch(6, THREE_CLASSES, max_unfinished=count, max_finished=count, max_age_ms=1e9)
        self.dispatcher = self.batch.dispatcher
        self._unsent_count = count
        self._open_jobs = {}  # class by job id
        self._to_terminate = []
        self._seen_requests = Counter()  # by worker end
        self._count_answers(self.batch.registry.table)

    def play(self):
        """Run until each job is final; return the run."""
        while self._unsent_count or self._open_jobs:
            if self._unsent_count and len(self._open_jobs) < WINDOW:
                self._submit()
            self._terminate_some()
            self._open_connections()
            for end in self.dispatcher.ends:
                self._serve(end)
            self.dispatcher.ends = [end for end in self.dispatcher.ends if end.pipe.open]
            self.dispatcher.settle()
            self.dispatcher.advance(self.random.choice([5.0, 20.0, 60.0]))
            self._poll()
        return self

    def _count_answers(self, table):
        finish = table.finish

        def counted_finish(job, answer):
            self.answers[job.job_id] += 1
            finish(job, answer)

        table.finish = counted_finish

    def _submit(self):
        count = min(self._unsent_count, self.random.randint(1, MAX_BULK))
        classes = [self.random.choice(["safe", "unsafe", "keyed"]) for _ in range(count)]
        deadline = self.random.choice([400, 4000])
        job_ids = self.batch.run_bulk(
            [
                {"jobClass": name, "subject": f"d{self.random.randint(0, 9)}", "deadlineMs": deadline}
                for name in classes
            ]
        )
        self._open_jobs.update(zip(job_ids, classes, strict=True))
        self._unsent_count -= count
        self._to_terminate += [job for job in job_ids if self.random.random() < 0.1]

    def _terminate_some(self):
        for job in [job for job in self._to_terminate if self.random.random() < 0.3]:
            self._to_terminate.remove(job)  # some are queued, some are running
            self.batch.terminate(job)
            self.terminated_count += 1

    def _open_connections(self):
        for dial in list(self.dispatcher.dials):
            if dial in self.dispatcher.dials and self.random.random() < 0.9:
                if self.random.random() < 0.05:
                    dial.refuse()
                else:
                    dial.up()

    def _serve(self, end):
        end.take()
        for job in end.came[self._seen_requests[end] :]:
            self.attempts[job] += 1
            self.zones.setdefault(job, []).append(end.worker % 2)
        self._seen_requests[end] = len(end.came)
        if end.requests and end.pipe.open and self.random.random() < 0.5:
            outcomes = ["done", "failed", "lost", "returned", "break"]
            [outcome] = self.random.choices(outcomes, [90, 2, 2, 4, 2])
            job = end.requests[0].get("x-request-id")
            if outcome == "returned":
                self.attempts[job] -= 1
                self.zones[job].pop()
            if outcome == "break":
                end.pipe.break_off()
            else:
                end.finish(outcome, f"of {job}")

    def _poll(self):
        for job in self.random.sample(sorted(self._open_jobs), min(len(self._open_jobs), 40)):
            status = self.batch.status(job)
            if status["state"] in ("done", "failed"):
                self.finished.append(FinishedJob(job, self._open_jobs.pop(job), status))


one_process = pytest.mark.xdist_group("batch scheduler")  # so that one run serves all its tests


@pytest.fixture(scope="module")
def finished_run():
    """Return one whole run of the scheduler, which the tests only read."""
    return SchedulerRun(JOB_COUNT).play()


@one_process
def test_scheduler_sees_each_job_end_once(finished_run):
    assert len({job.job_id for job in finished_run.finished}) == JOB_COUNT
    assert set(finished_run.answers.values()) == {1}
    assert len(finished_run.answers) == JOB_COUNT
    assert finished_run.batch.registry.table.unfinished == 0
    assert not finished_run.dispatcher.exchange.pending_request_count


@one_process
def test_scheduler_sees_each_verdict_often(finished_run):
    verdicts = Counter(job.status["verdict"] for job in finished_run.finished)
    assert finished_run.terminated_count > JOB_COUNT // 20
    assert verdicts["terminated"] > JOB_COUNT // 40
    assert verdicts["served"] > JOB_COUNT // 4


@one_process
def test_scheduler_sees_no_final_status_change(finished_run):
    assert [job for job in finished_run.finished if finished_run.batch.status(job.job_id) != job.status] == []


@one_process
def test_scheduler_sees_each_served_job_with_its_own_result(finished_run):
    served = [job for job in finished_run.finished if job.status["verdict"] == "served"]
    assert [job for job in served if job.status["result"] != f"of {job.job_id}"] == []


@one_process
def test_scheduler_sees_no_job_with_more_attempts_than_the_settings_allow(finished_run):
    assert max(job.status["legs"] for job in finished_run.finished) <= THREE_CLASSES.max_attempts


@one_process
def test_scheduler_sees_no_unsafe_job_attempted_again(finished_run):
    unsafe = [job for job in finished_run.finished if job.job_class == "unsafe"]
    assert [job for job in unsafe if finished_run.attempts[job.job_id] > 1] == []


@one_process
def test_scheduler_sees_no_keyed_job_attempted_in_two_zones(finished_run):
    keyed = [job for job in finished_run.finished if job.job_class == "keyed"]
    assert [job for job in keyed if len(set(finished_run.zones.get(job.job_id, ()))) > 1] == []


@one_process
def test_scheduler_sees_no_job_declined_that_may_have_run(finished_run):
    declined = [job for job in finished_run.finished if job.status["verdict"] == "declined"]
    assert [job for job in declined if job.job_class != "safe" and finished_run.attempts[job.job_id]] == []


def test_scheduler_run_with_answers_given_twice_counts_them(monkeypatch):
    finish = RequestTable.finish

    def finish_twice(self, request, answer=None):
        finish(self, request, answer)
        if answer is not None:
            request.on_answer(answer)

    monkeypatch.setattr(RequestTable, "finish", finish_twice)
    assert set(SchedulerRun(100).play().answers.values()) != {1}


def test_scheduler_run_with_attempts_started_twice_counts_them(monkeypatch):
    start = WorkerPool.start
    monkeypatch.setattr(
        WorkerPool, "start", lambda self, attempt: [start(self, attempt), start(self, attempt)]
    )
    assert max(SchedulerRun(100).play().attempts.values()) > 1
