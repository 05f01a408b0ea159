"""A durable request that is cancelled, or whose clients have left: no further attempt starts."""

from collections import deque

import pytest
from support.memory_dispatcher import InMemoryDispatcher

from eiderfield.durable_requests.coordinator import DurableRequestCoordinator
from eiderfield.durable_requests.loop_context import ProcessServices
from eiderfield.durable_requests.settings import DurableRequestSettings
from eiderfield.exchange.request import Request, Verdict

LEASE = 60_000.0  # ms: it holds for the whole of a test


class DirectWriter:
    """The writer without its thread: what is to be written waits until the test lets it."""

    def __init__(self, member):
        self.member = member
        self.queue = deque()
        self.is_full = False

    def write(self, op, then):
        self.queue.append((op, then))

    def watch(self, id_):
        """Nothing is polled."""

    unwatch = watch

    @property
    def waiting_count(self):
        return len(self.queue)

    def run(self):
        while self.queue:
            op, then = self.queue.popleft()
            [outcome] = self.member.apply([op])
            then(outcome)


class KeptJob:
    """A dispatcher that keeps its first class, with one job of it taken."""

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
        self.writer = DirectWriter(self.coordinator.member)
        self.coordinator.context.commit_thread = self.writer

    def ask(self, front="platform"):
        """An asker for the job; gives what to call when it leaves."""
        request = Request("j", 0, 1_005_000.0, "/safe/x", body=b"b")
        return self.coordinator.intake.accept(request, self.answers.append, front)

    def take(self, front="platform"):
        """The job is asked for and written down."""
        leave = self.ask(front)
        self.writer.run()
        self.dispatcher.settle()
        return leave

    def run(self):
        self.writer.run()
        self.dispatcher.settle()
        self.writer.run()

    @property
    def verdicts(self):
        return [answer.verdict for answer in self.answers]


@pytest.fixture
def kept(tmp_path):
    kept = KeptJob(tmp_path)
    yield kept
    kept.coordinator.member.close()


def test_a_kept_job_that_nobody_cancels_is_sent(kept):
    kept.take()
    kept.run()
    [dial] = kept.dispatcher.dials
    dial.up().finish()
    kept.run()
    assert kept.verdicts == [Verdict.SERVED]


def test_a_cancel_at_its_own_dispatcher_calls_off_what_is_being_dialled(kept):
    """It was heard at the next look at the folder, a twelfth of a lease later."""
    kept.take()
    kept.run()
    [dial] = kept.dispatcher.dials
    told = []
    kept.coordinator.lookup.cancel("j", told.append)
    assert dial.cancelled
    kept.dispatcher.dials.append(dial)  # it came up in the moment in which it was called off
    assert not dial.up().pipe.written
    kept.run()
    assert told == [True]
    assert kept.verdicts == [Verdict.TERMINATED]


def test_no_attempt_is_claimed_for_a_job_whose_end_was_asked_for_at_another_dispatcher(kept):
    kept.take()
    kept.coordinator.member.folder.end_requests.add("j")
    kept.run()
    kept.dispatcher.advance(1000.0)
    assert not kept.dispatcher.dials
    assert kept.verdicts == [Verdict.TERMINATED]


def test_no_attempt_is_claimed_after_a_takeover_of_a_job_that_was_cancelled(kept):
    kept.take()
    [record] = kept.coordinator.member.open_records.values()
    kept.coordinator.thread_events.on_incarnation_over()  # the next incarnation has its jobs
    kept.writer.queue.clear()
    kept.dispatcher.settle()
    kept.coordinator.member.folder.end_requests.add("j")
    kept.coordinator.thread_events.on_taken_over([record])
    kept.run()
    kept.dispatcher.advance(1000.0)
    assert not kept.dispatcher.dials
    assert not kept.dispatcher.exchange.pending_request_count


def test_a_client_that_leaves_while_its_job_is_written_down_has_nothing_begun(kept):
    leave = kept.ask()
    leave()
    kept.run()
    kept.run()
    kept.dispatcher.advance(1000.0)
    assert not kept.dispatcher.dials
    assert not kept.dispatcher.exchange.pending_request_count
    assert kept.coordinator.idle


@pytest.mark.parametrize("when", ["before the claim", "while it is dialled", "in the moment it is up"])
def test_a_client_that_leaves_before_its_attempt_begins_has_none_and_may_ask_anew(kept, when):
    """A kept job went on for a client that had left, with further attempts up to its deadline."""
    leave = kept.take()
    if when == "before the claim":
        leave()
        kept.run()
    else:
        kept.run()
        [dial] = kept.dispatcher.dials
        leave()
        end = dial.up()
        assert not end.pipe.written
        kept.run()
    kept.dispatcher.advance(1000.0)
    kept.run()
    assert not any(end.pipe.written for end in kept.dispatcher.ends)
    assert kept.coordinator.idle
    kept.take()
    kept.run()
    end = kept.dispatcher.dials[0].up() if kept.dispatcher.dials else kept.dispatcher.ends[-1]
    end.finish()
    kept.run()
    assert kept.verdicts == [Verdict.SERVED], "the id was free again"


def test_an_attempt_that_is_out_when_the_client_leaves_goes_on_and_its_result_is_kept(kept):
    leave = kept.take()
    kept.run()
    end = kept.dispatcher.dials[0].up()
    assert end.take() == ["j"]
    leave()
    end.finish()
    kept.run()
    assert kept.answers == []
    kept.take()
    assert kept.verdicts == [Verdict.SERVED]
    assert end.came == ["j"]
    assert not kept.dispatcher.dials


@pytest.mark.parametrize(("status", "verdict"), [(500, Verdict.FAILED), (503, Verdict.DECLINED)])
def test_no_retry_is_begun_for_a_client_that_has_left(kept, status, verdict):
    leave = kept.take()
    kept.run()
    end = kept.dispatcher.dials[0].up()
    end.take()
    leave()
    end.status(status, **({"X_Not_Run": "1"} if status == 503 else {}))
    kept.run()
    kept.dispatcher.advance(2000.0)
    assert end.came == ["j"]
    assert not kept.dispatcher.dials
    assert kept.coordinator.idle
    assert kept.coordinator.member.find("j").answer.verdict == verdict


def test_a_job_goes_on_while_one_of_two_clients_waits(kept):
    first = kept.take()
    kept.take()
    first()
    kept.run()
    end = kept.dispatcher.dials[0].up()
    end.status(503, X_Not_Run="1")
    kept.dispatcher.advance(500.0)
    kept.run()
    kept.dispatcher.advance(500.0)
    assert end.take() == ["j"]
    end.finish()
    kept.run()
    assert kept.verdicts == [Verdict.SERVED]


def test_a_job_that_was_taken_over_goes_on_without_a_client(kept):
    kept.take()
    [record] = kept.coordinator.member.open_records.values()
    kept.coordinator.context.owned_requests.clear()
    kept.dispatcher.exchange.cancel_request(1)
    kept.writer.queue.clear()
    kept.dispatcher.settle()
    kept.writer.queue.clear()
    kept.coordinator.thread_events.on_taken_over([record])
    kept.dispatcher.settle()
    kept.run()
    kept.dispatcher.dials[0].up().finish()
    kept.run()
    assert kept.coordinator.member.find("j").answer.verdict == Verdict.SERVED


def test_a_job_that_waits_for_its_retry_ends_at_once_when_its_client_leaves(kept):
    leave = kept.take()
    kept.run()
    end = kept.dispatcher.dials[0].up()
    end.status(503, X_Not_Run="1")
    kept.run()
    leave()
    kept.run()
    assert kept.coordinator.idle
    assert kept.coordinator.member.find("j").answer.verdict == Verdict.DECLINED
