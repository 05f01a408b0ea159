"""The coordinator in the event loop, and the start of a dispatcher, while the disk fails."""

from __future__ import annotations

import pytest
from support.durable_members import Host, apply_one, record
from support.durable_play import Play, settle
from support.durable_process import DurableProcess
from support.failing_files import BROKEN, ERRORS, FULL, failing_files, raise_io_error

from eiderfield.durable_requests.errors import FolderError
from eiderfield.durable_requests.member import Member
from eiderfield.durable_requests.messages import (
    Accept,
    Accepted,
    NotWritten,
)
from eiderfield.durable_requests.record import Stage
from eiderfield.exchange.request import Request, Verdict


class CoordinatorHarness(DurableProcess):
    """A process with one submitted request `j`."""

    def __init__(self, folder, class_index=0):
        super().__init__(folder, class_index=class_index)
        self.answers = []
        request = Request("j", class_index, self.dispatcher.now + 4000.0, "/safe/x")
        self.coordinator.intake.accept(request, self.answers.append)

    @property
    def stage(self):
        return self.coordinator.member.find("j").stage


@pytest.fixture
def harness(tmp_path):
    harness = CoordinatorHarness(tmp_path / "custody")
    yield harness
    harness.coordinator.member.close()


def test_answer_passed_on_during_a_full_disk_is_recorded_after_the_disk_recovers(
    harness, tmp_path, monkeypatch
):
    harness.run(30.0)
    end = harness.dispatcher.dials[0].up()
    with failing_files(tmp_path, monkeypatch) as faults:
        faults.fail("database write", FULL)
        end.finish()
        harness.run(1000.0)
        assert [answer.verdict for answer in harness.answers] == [Verdict.SERVED]
        assert harness.stage == Stage.CLAIMED, "recorded on a full disk"
        assert harness.coordinator.idle, "an unrecorded answer keeps the coordinator busy"
        faults.heal()
        harness.run(2000.0)
    assert harness.stage == Stage.FINAL
    assert len(harness.coordinator.member.open_records) == 0
    assert len(harness.answers) == 1


def test_attempt_waits_until_its_claim_can_be_written(harness, tmp_path, monkeypatch):
    with failing_files(tmp_path, monkeypatch) as faults:
        hooks = harness.coordinator.hooks
        monkeypatch.setattr(hooks, "claim", fail_writes_before(faults, hooks.claim))
        harness.run(600.0)
        assert faults.failed
        assert harness.stage == Stage.ACCEPTED
        assert not harness.dispatcher.dials, "sent without a claim"
        assert not harness.dispatcher.ends, "sent without a claim"
        faults.heal()
    for _ in range(200):
        if not harness.dispatcher.dials:
            harness.run(10.0)
    harness.dispatcher.dials[0].up().finish()
    harness.run()
    assert [answer.verdict for answer in harness.answers] == [Verdict.SERVED]
    assert harness.stage == Stage.FINAL


def fail_writes_before(faults, claim):
    def call(attempt, on_claimed):
        if not faults.failed:
            faults.fail("database write", BROKEN)
        claim(attempt, on_claimed)

    return call


def test_each_operation_gets_one_outcome_when_other_steps_fail(harness, monkeypatch):
    monkeypatch.setattr(harness.coordinator.member, "tick", raise_io_error)
    monkeypatch.setattr(harness.coordinator.member, "take_over", raise_io_error)
    monkeypatch.setattr(harness.coordinator.member, "poll_answers", raise_io_error)
    outcomes = []
    harness.coordinator.context.commit_thread.polls.watch("other")
    harness.coordinator.context.commit_thread.run_turn([(Accept(record("k")), outcomes.append)])
    for call in harness.calls:
        call()
    assert outcomes == [Accepted()]


@pytest.mark.parametrize("code", ERRORS, ids=["ENOSPC", "EIO"])
@pytest.mark.parametrize("kind", ["open", "write", "sync", "link", "database write", "database sync"])
def test_dispatcher_starts_on_a_failing_disk_and_begins_its_incarnation_later(
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
        assert member.incarnation_name == "a.1", "each try used a new name, and names fill a full disk"
        assert apply_one(member, Accept(record("j"))) == Accepted()
        member.close()


def test_coordinator_without_an_incarnation_rejects_requests_until_one_begins(tmp_path, monkeypatch):
    with failing_files(tmp_path, monkeypatch) as faults:
        faults.fail("open", FULL)
        harness = CoordinatorHarness(tmp_path / "custody")
        harness.run(100.0)
        assert [answer.verdict for answer in harness.answers] == [Verdict.DECLINED]
        assert any("no incarnation could be begun" in line for line in harness.dispatcher.logged)
        faults.heal()
    assert harness.coordinator.member.incarnation_name == ""
    harness.coordinator.member.begin()
    harness.coordinator.intake.accept(
        Request("k", 0, harness.dispatcher.now + 4000.0, "/safe/x"), harness.answers.append
    )
    harness.run(30.0)
    assert harness.dispatcher.dials
    assert harness.coordinator.member.find("k") is not None
    harness.coordinator.member.close()


def test_folder_fault_that_needs_an_operator_stops_the_start(tmp_path):
    (tmp_path / "custody").mkdir()
    (tmp_path / "custody" / "members").write_text("")
    with pytest.raises(FolderError, match=r"custody\.folder") as error:
        Member(Host(tmp_path).settings, "a", {}, print)
    assert not error.value.transient
