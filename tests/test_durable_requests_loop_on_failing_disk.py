"""The coordinator in the event loop, and the start of a dispatcher, while the disk fails."""

from __future__ import annotations

import pytest
from support.durable_members import Host, apply_one, record
from support.durable_play import Play, settle
from support.failing_files import BROKEN, ERRORS, FULL, failing_files, raise_io_error
from support.memory_dispatcher import InMemoryDispatcher

from eiderfield.durable_requests.coordinator import DurableRequestCoordinator
from eiderfield.durable_requests.errors import FolderError
from eiderfield.durable_requests.loop_context import ProcessServices
from eiderfield.durable_requests.member import Member
from eiderfield.durable_requests.messages import (
    Accept,
    Accepted,
    NotWritten,
)
from eiderfield.durable_requests.record import Stage
from eiderfield.durable_requests.settings import DurableRequestSettings
from eiderfield.exchange.request import Request, Verdict


class Loop:
    """A coordinator in the loop, whose writer's turns are the test's: no thread, no waiting."""

    def __init__(self, folder, cls=0):
        self.dispatcher = InMemoryDispatcher(workers=1)
        settings = DurableRequestSettings(folder, frozenset({cls}), lease_ms=600_000.0)
        self.calls, self.answers = [], []
        dispatcher = self.dispatcher
        services = ProcessServices(
            exchange=dispatcher.exchange,
            ids=dispatcher.ids,
            timers=dispatcher.wheel,
            clock=dispatcher.clock,
            call_in_loop=self.calls.append,
            log=dispatcher.logged.append,
        )
        self.coordinator = DurableRequestCoordinator(settings, "a", services)
        self.coordinator.begin()
        self.coordinator.member.tick()
        request = Request("j", cls, dispatcher.now + 4000.0, "/safe/x")
        self.coordinator.intake.accept(request, self.answers.append)

    def play(self, span=200.0):
        """Lets time pass in small steps, with the writer's turns between."""
        writer = self.coordinator.context.commit_thread
        for _ in range(int(span / 10.0)):
            writer.run_turn(writer.next_group())
            while self.calls:
                self.calls.pop(0)()
            self.dispatcher.settle()
            self.dispatcher.advance(10.0)

    @property
    def stage(self):
        return self.coordinator.member.find("j").stage


@pytest.fixture
def loop(tmp_path):
    loop = Loop(tmp_path / "custody")
    yield loop
    loop.coordinator.member.close()


def test_an_answer_that_was_told_on_a_full_disk_is_written_once_the_disk_is_well(loop, tmp_path, monkeypatch):
    loop.play(30.0)
    end = loop.dispatcher.dials[0].up()
    with failing_files(tmp_path, monkeypatch) as faults:
        faults.fail("database write", FULL)
        end.finish()
        loop.play(1000.0)
        assert [answer.verdict for answer in loop.answers] == [Verdict.SERVED]
        assert loop.stage == Stage.CLAIMED, "it would hold up no end"
        assert loop.coordinator.idle, "it would hold up no end"
        faults.heal()
        loop.play(2000.0)
    assert loop.stage == Stage.FINAL
    assert len(loop.coordinator.member.open_records) == 0
    assert len(loop.answers) == 1


def test_an_attempt_waits_for_the_disk_and_the_job_is_served_after_that(loop, tmp_path, monkeypatch):
    with failing_files(tmp_path, monkeypatch) as faults:
        hooks = loop.coordinator.hooks
        monkeypatch.setattr(hooks, "claim", fails_from_here(faults, hooks.claim))
        loop.play(600.0)
        assert faults.failed
        assert loop.stage == Stage.ACCEPTED
        assert not loop.dispatcher.dials, "sent without a claim"
        assert not loop.dispatcher.ends, "sent without a claim"
        faults.heal()
    for _ in range(200):
        if not loop.dispatcher.dials:
            loop.play(10.0)
    loop.dispatcher.dials[0].up().finish()
    loop.play()
    assert [answer.verdict for answer in loop.answers] == [Verdict.SERVED]
    assert loop.stage == Stage.FINAL


def fails_from_here(faults, claim):
    def call(leg, go):
        if not faults.failed:
            faults.fail("database write", BROKEN)
        claim(leg, go)

    return call


def test_each_change_hears_once_what_came_of_it_whatever_else_fails(loop, monkeypatch):
    monkeypatch.setattr(loop.coordinator.member, "tick", raise_io_error)
    monkeypatch.setattr(loop.coordinator.member, "take_over", raise_io_error)
    monkeypatch.setattr(loop.coordinator.member, "poll_answers", raise_io_error)
    heard = []
    loop.coordinator.context.commit_thread.watch("other")
    loop.coordinator.context.commit_thread.run_turn([(Accept(record("k")), heard.append)])
    for call in loop.calls:
        call()
    assert heard == [Accepted()]


@pytest.mark.parametrize("code", ERRORS, ids=["ENOSPC", "EIO"])
@pytest.mark.parametrize("kind", ["open", "write", "sync", "link", "database write", "database sync"])
def test_a_dispatcher_starts_on_a_disk_that_fails_and_begins_its_life_later(
    kind, code, tmp_path, monkeypatch
):
    with failing_files(tmp_path, monkeypatch) as faults:
        faults.fail(kind, code)
        play = Play(tmp_path, faults)
        play.begin("a")
        settle(play, 30)
        [member] = play.members.values()
        assert member.incarnation_name == ""
        assert isinstance(apply_one(member, Accept(record("j"))), NotWritten)
        faults.heal()
        settle(play, 20)
        assert member.incarnation_name == "a.1", "a name for each try would fill the disk"
        assert apply_one(member, Accept(record("j"))) == Accepted()
        member.close()


def test_the_loop_starts_without_a_life_and_takes_jobs_once_there_is_one(tmp_path, monkeypatch):
    with failing_files(tmp_path, monkeypatch) as faults:
        faults.fail("open", FULL)
        loop = Loop(tmp_path / "custody")
        loop.play(100.0)
        assert [answer.verdict for answer in loop.answers] == [Verdict.DECLINED]
        assert any("no incarnation could be begun" in line for line in loop.dispatcher.logged)
        faults.heal()
    assert loop.coordinator.member.incarnation_name == ""
    loop.coordinator.member.begin()
    loop.coordinator.intake.accept(
        Request("k", 0, loop.dispatcher.now + 4000.0, "/safe/x"), loop.answers.append
    )
    loop.play(30.0)
    assert loop.dispatcher.dials
    assert loop.coordinator.member.find("k") is not None
    loop.coordinator.member.close()


def test_what_only_an_operator_can_mend_stops_the_start(tmp_path):
    (tmp_path / "custody").mkdir()
    (tmp_path / "custody" / "members").write_text("")
    with pytest.raises(FolderError, match=r"custody\.folder") as error:
        Member(Host(tmp_path).settings, "a", {}, print)
    assert not error.value.transient
