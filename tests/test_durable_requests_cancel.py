"""A durable request that is cancelled, or whose clients have left, starts no further attempt."""

import threading
from collections import deque

import pytest
from support.memory_dispatcher import InMemoryDispatcher

from eiderfield.durable_requests.coordinator import DurableRequestCoordinator
from eiderfield.durable_requests.folder_polls import FolderPolls
from eiderfield.durable_requests.loop_context import ProcessServices
from eiderfield.durable_requests.settings import DurableRequestSettings
from eiderfield.exchange.request import Request, Verdict

LEASE = 60_000.0  # ms; longer than any test


class ManualCommitThread:
    """Stands in for the commit thread: queued operations wait until the test calls `run`."""

    def __init__(self, member):
        self.member = member
        self.queue = deque()
        self.max_waiting = 1000
        self.polls = FolderPolls(member, threading.Condition())  # which nobody polls

    def write(self, operation, on_outcome):
        self.queue.append((operation, on_outcome))

    @property
    def waiting_count(self):
        return len(self.queue)

    def has_capacity(self, count):
        return len(self.queue) + count <= self.max_waiting

    def run(self):
        while self.queue:
            operation, on_outcome = self.queue.popleft()
            [outcome] = self.member.apply([operation])
            on_outcome(outcome)


class DurableRequestHarness:
    """A dispatcher whose first class is durable, and one request `j` of that class."""

    def __init__(self, path):
        self.dispatcher = InMemoryDispatcher(workers=1)
        self.answers = []
        settings = DurableRequestSettings(path / "custody", frozenset({0}), lease_ms=LEASE)
        services = ProcessServices(
            exchange=self.dispatcher.exchange,
            ids=self.dispatcher.ids,
            timers=self.dispatcher.wheel,
            clock=self.dispatcher.clock,
            call_in_loop=lambda call: call(),
            log=self.dispatcher.logged.append,
        )
        self.coordinator = DurableRequestCoordinator(settings, "a", services)
        self.coordinator.begin()
        self.coordinator.member.tick()
        self.commit_thread = ManualCommitThread(self.coordinator.member)
        self.coordinator.context.commit_thread = self.commit_thread

    def submit(self, front="platform"):
        """Submit the request for a further client. Return the function to call when that client leaves."""
        request = Request("j", 0, 1_005_000.0, "/safe/x", body=b"b")
        return self.coordinator.intake.accept(request, self.answers.append, front)

    def submit_and_record(self, front="platform"):
        """Submit the request and record it."""
        client_left = self.submit(front)
        self.commit_thread.run()
        self.dispatcher.settle()
        return client_left

    def run(self):
        self.commit_thread.run()
        self.dispatcher.settle()
        self.commit_thread.run()

    @property
    def verdicts(self):
        return [answer.verdict for answer in self.answers]


@pytest.fixture
def harness(tmp_path):
    harness = DurableRequestHarness(tmp_path)
    yield harness
    harness.coordinator.member.close()


def test_request_that_is_not_cancelled_is_sent(harness):
    harness.submit_and_record()
    harness.run()
    [dial] = harness.dispatcher.dials
    dial.up().finish()
    harness.run()
    assert harness.verdicts == [Verdict.SERVED]


def test_cancel_at_the_owner_aborts_the_open_dial(harness):
    """The owner must not wait for its next tick, at which it would find the end request in the folder."""
    harness.submit_and_record()
    harness.run()
    [dial] = harness.dispatcher.dials
    is_recorded = []
    harness.coordinator.lookup.cancel("j", is_recorded.append)
    assert dial.cancelled
    harness.dispatcher.dials.append(dial)  # the connection was established just before the abort
    assert not dial.up().pipe.written
    harness.run()
    assert is_recorded == [True]
    assert harness.verdicts == [Verdict.TERMINATED]


def test_request_cancelled_at_another_dispatcher_claims_no_attempt(harness):
    harness.submit_and_record()
    harness.coordinator.member.folder.end_requests.add("j")
    harness.run()
    harness.dispatcher.advance(1000.0)
    assert not harness.dispatcher.dials
    assert harness.verdicts == [Verdict.TERMINATED]


def test_cancelled_request_claims_no_attempt_after_a_takeover(harness):
    harness.submit_and_record()
    [record] = harness.coordinator.member.open_records.values()
    harness.coordinator.thread_events.on_incarnation_ended()  # the successors own its requests
    harness.commit_thread.queue.clear()
    harness.dispatcher.settle()
    harness.coordinator.member.folder.end_requests.add("j")
    harness.coordinator.thread_events.on_taken_over([record])
    harness.run()
    harness.dispatcher.advance(1000.0)
    assert not harness.dispatcher.dials
    assert not harness.dispatcher.exchange.pending_request_count


def test_client_that_leaves_while_its_request_is_recorded_starts_no_attempt(harness):
    client_left = harness.submit()
    client_left()
    harness.run()
    harness.run()
    harness.dispatcher.advance(1000.0)
    assert not harness.dispatcher.dials
    assert not harness.dispatcher.exchange.pending_request_count
    assert harness.coordinator.idle


@pytest.mark.parametrize("when", ["before the claim", "while dialling", "as the connection opens"])
def test_client_that_leaves_before_its_attempt_starts_frees_the_id(harness, when):
    """Guards against attempts for a client that has left, which would be retried until the deadline."""
    client_left = harness.submit_and_record()
    if when == "before the claim":
        client_left()
        harness.run()
    else:
        harness.run()
        [dial] = harness.dispatcher.dials
        client_left()
        end = dial.up()
        assert not end.pipe.written
        harness.run()
    harness.dispatcher.advance(1000.0)
    harness.run()
    assert not any(end.pipe.written for end in harness.dispatcher.ends)
    assert harness.coordinator.idle
    harness.submit_and_record()
    harness.run()
    end = harness.dispatcher.dials[0].up() if harness.dispatcher.dials else harness.dispatcher.ends[-1]
    end.finish()
    harness.run()
    assert harness.verdicts == [Verdict.SERVED], "the id was not free"


def test_open_attempt_continues_after_the_client_left_and_its_result_is_stored(harness):
    client_left = harness.submit_and_record()
    harness.run()
    end = harness.dispatcher.dials[0].up()
    assert end.take() == ["j"]
    client_left()
    end.finish()
    harness.run()
    assert harness.answers == []
    harness.submit_and_record()
    assert harness.verdicts == [Verdict.SERVED]
    assert end.came == ["j"]
    assert not harness.dispatcher.dials


@pytest.mark.parametrize(("status", "verdict"), [(500, Verdict.FAILED), (503, Verdict.DECLINED)])
def test_client_that_has_left_gets_no_retry(harness, status, verdict):
    client_left = harness.submit_and_record()
    harness.run()
    end = harness.dispatcher.dials[0].up()
    end.take()
    client_left()
    end.status(status, **({"X_Not_Run": "1"} if status == 503 else {}))
    harness.run()
    harness.dispatcher.advance(2000.0)
    assert end.came == ["j"]
    assert not harness.dispatcher.dials
    assert harness.coordinator.idle
    assert harness.coordinator.member.find("j").answer.verdict == verdict


def test_request_continues_while_one_of_two_clients_waits(harness):
    first_client_left = harness.submit_and_record()
    harness.submit_and_record()
    first_client_left()
    harness.run()
    end = harness.dispatcher.dials[0].up()
    end.status(503, X_Not_Run="1")
    harness.dispatcher.advance(500.0)
    harness.run()
    harness.dispatcher.advance(500.0)
    assert end.take() == ["j"]
    end.finish()
    harness.run()
    assert harness.verdicts == [Verdict.SERVED]


@pytest.mark.parametrize("front", ["batch", "platform"])
def test_request_that_was_taken_over_continues_for_a_batch_client_or_one_that_comes_back(harness, front):
    harness.submit_and_record(front)
    [record] = harness.coordinator.member.open_records.values()
    harness.coordinator.context.owned_requests.clear()
    harness.dispatcher.exchange.cancel_request(1)
    harness.commit_thread.queue.clear()
    harness.dispatcher.settle()
    harness.commit_thread.queue.clear()
    harness.coordinator.thread_events.on_taken_over([record])
    harness.dispatcher.settle()
    harness.run()
    if front == "platform":
        assert not harness.dispatcher.dials, "an attempt began though no client waits"
        harness.submit_and_record(front)
        harness.run()
    harness.dispatcher.dials[0].up().finish()
    harness.run()
    assert harness.coordinator.member.find("j").answer.verdict == Verdict.SERVED


def test_request_that_waits_for_its_retry_ends_when_its_client_leaves(harness):
    client_left = harness.submit_and_record()
    harness.run()
    end = harness.dispatcher.dials[0].up()
    end.status(503, X_Not_Run="1")
    harness.run()
    client_left()
    harness.run()
    assert harness.coordinator.idle
    assert harness.coordinator.member.find("j").answer.verdict == Verdict.DECLINED
