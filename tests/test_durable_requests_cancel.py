"""A kept job that was cancelled: no attempt is begun for it, here, elsewhere or after a takeover."""

from collections import deque

import pytest
from support.memory_dispatcher import InMemoryDispatcher

from eiderfield.durable_requests.keeper import Keeper
from eiderfield.durable_requests.settings import Custody
from eiderfield.exchange import Request, Verdict

LEASE = 60_000.0  # ms: it holds for the whole of a test


class DirectWriter:
    """The writer without its thread: what is to be written waits until the test lets it."""

    def __init__(self, member):
        self.member = member
        self.queue = deque()
        self.full = False

    def write(self, op, then):
        self.queue.append((op, then))

    def watch(self, id_, on=True):
        pass

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
        settings = Custody(path / "custody", frozenset({0}), lease=LEASE)
        self.keeper = Keeper(
            settings,
            "a",
            self.dispatcher.exchange,
            self.dispatcher.ids,
            self.dispatcher.wheel,
            self.dispatcher.clock,
            lambda call: call(),
            self.dispatcher.logged.append,
        )
        self.keeper.begin()
        self.keeper.member.look()
        self.keeper._writer = self.writer = DirectWriter(self.keeper.member)

    def take(self, id_="j"):
        self.keeper.take(
            Request(id_, 0, self.dispatcher.now + 5000.0, "/safe/x", body=b"b"), self.answers.append
        )
        self.writer.run()  # it is written down
        self.dispatcher.settle()

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
    kept.keeper.member.close()


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
    kept.keeper.cancel("j", told.append)
    assert dial.cancelled
    kept.dispatcher.dials.append(dial)  # it came up in the moment in which it was called off
    assert not dial.up().pipe.written
    kept.run()
    assert told == [True] and kept.verdicts == [Verdict.TERMINATED]


def test_no_attempt_is_claimed_for_a_job_whose_end_was_asked_for_at_another_dispatcher(kept):
    kept.take()
    kept.keeper.member.folder.wish("j")
    kept.run()
    kept.dispatcher.advance(1000.0)
    assert not kept.dispatcher.dials and kept.verdicts == [Verdict.TERMINATED]


def test_no_attempt_is_claimed_after_a_takeover_of_a_job_that_was_cancelled(kept):
    kept.take()
    [record] = kept.keeper.member._open.values()
    kept.keeper._lost()  # this process gives its jobs up, and the next life has them
    kept.writer.queue.clear()
    kept.dispatcher.settle()
    kept.keeper.member.folder.wish("j")
    kept.keeper._adopted([record])
    kept.run()
    kept.dispatcher.advance(1000.0)
    assert not kept.dispatcher.dials and not kept.dispatcher.exchange.unanswered
