"""The takeover of what lost members left."""

from __future__ import annotations

import pytest
from support.durable_members import SERVED, apply_one, attempt_record, record

from eiderfield.durable_requests.messages import (
    Accept,
    Accepted,
    AlreadyAccepted,
    AlreadyFinal,
    Claim,
    Finish,
    NotOwned,
)
from eiderfield.durable_requests.readers import StoreReaders
from eiderfield.durable_requests.record import Stage


def test_a_lost_members_jobs_go_to_its_heirs_with_what_may_have_run(host):
    a, b, c = (host.member(name) for name in "abc")
    ids = [f"j{number}" for number in range(40)]
    assert a.apply([Accept(record(id_)) for id_ in ids]) == [Accepted()] * 40
    a.apply([Claim(id_, attempt_record()) for id_ in ids[:20]])
    a.apply([Finish(id_, SERVED) for id_ in ids[:5]])
    host.outlive(b, c)
    found = {member.name: member.take_over() for member in (b, c)}
    taken = {each.id: each for records in found.values() for each in records}
    assert sorted(taken) == sorted(ids[5:])
    assert all(found.values())
    assert all((each.stage == Stage.CLAIMED) == (id_ in ids[5:20]) for id_, each in taken.items())
    assert apply_one(b, Accept(record("j0"))) == AlreadyFinal(b.find("j0")), "an answer outlives who gave it"
    assert (
        a.apply([Claim("j6", attempt_record(1)), Finish("j7", SERVED), Accept(record("j99"))])[:2]
        == [NotOwned()] * 2
    )
    assert a.incarnation_name == ""
    assert a.counters.fenced == 1
    assert any("incarnation was fenced (name=a.1" in line for line in host.said)
    host.live(1500.0, a, b, c)
    assert a.incarnation_name == "a.2", "it begins anew with nothing"
    assert len(a.open_records) == 0, "it begins anew with nothing"


def test_who_is_told_last_of_its_own_loss_sends_nothing_it_claimed(host):
    a, b = host.member("a"), host.member("b")
    apply_one(a, Accept(record()))
    host.outlive(b)
    assert not a.holds_lease(host.now)
    assert apply_one(a, Claim("j", attempt_record())) == NotOwned()
    assert [each.stage for each in b.take_over()] == [Stage.ACCEPTED]


def test_an_heir_that_is_lost_too_passes_on_what_it_wrote_not_what_it_found(host):
    a, b, c = (host.member(name) for name in "abc")
    ids = [f"j{number}" for number in range(12)]
    a.apply([Accept(record(id_)) for id_ in ids])
    host.outlive(b, c)
    mine = {each.id for each in b.take_over()}
    b.apply([Claim(id_, attempt_record()) for id_ in mine])
    first = {each.id for each in c.take_over()}
    host.outlive(c)
    host.now += 1000.0
    second = {each.id: each for each in c.take_over()}
    assert set(second) == mine
    assert not first & mine
    assert all(each.stage == Stage.CLAIMED and each.takeovers == 2 for each in second.values())


def test_two_that_fence_each_other_leave_their_jobs_to_who_comes_next(host):
    a, b = host.member("a"), host.member("b")
    apply_one(a, Accept(record("ja")))
    apply_one(b, Accept(record("jb")))
    a.folder.fences.create("b.1", ["a.1"], "a.1", "test")
    b.folder.fences.create("a.1", ["b.1"], "b.1", "test")
    host.live(2500.0, a, b)
    assert (a.incarnation_name, b.incarnation_name) == ("a.2", "b.2")
    host.live(1000.0, a, b)
    taken = [each.id for member in (a, b) for each in member.take_over()]
    assert sorted(taken) == ["ja", "jb"]


def test_a_commit_that_comes_after_the_fence_is_taken_over_as_well(host):
    """It was under way when its member was stopped, and its asker waits for it at another one."""
    a, b = host.member("a"), host.member("b")
    a.reach_failpoint = lambda name: host.outlive(b) if name == "accept" else None
    assert apply_one(a, Accept(record())) == AlreadyAccepted("j")
    assert b.take_over() == []
    host.live(500.0, b)
    assert [each.id for each in b.take_over()] == ["j"]


def test_who_died_between_an_id_and_its_record_blocks_nobody(host):
    a, b = host.member("a"), host.member("b")
    assert a.folder.ids.acquire("j", "a.1")
    assert apply_one(b, Accept(record())) == AlreadyAccepted("j"), "it may be writing just now"
    assert b.poll_answers(["j"]) == []
    host.outlive(b)
    assert b.poll_answers(["j"]) == [("j", None)]
    assert apply_one(b, Accept(record())) == Accepted()


class Stopped(Exception):
    """A member stops at a point for ever."""


@pytest.mark.parametrize("point", ["accept", "accept done", "claim", "claim done", "finish", "finish done"])
def test_wherever_a_member_stops_its_job_is_the_heirs_once(host, point):
    a, b = host.member("a"), host.member("b")

    def stop(name):
        if name == point:
            raise Stopped

    def serve_request():
        for operation in (Accept(record()), Claim("j", attempt_record()), Finish("j", SERVED)):
            apply_one(a, operation)

    a.reach_failpoint = stop
    with pytest.raises(Stopped):
        serve_request()
    host.outlive(b)
    found = [each.stage for each in b.take_over()]
    sent = point in ("claim done", "finish", "finish done")
    final = point == "finish done"
    assert found == ([] if point == "accept" or final else [Stage.CLAIMED if sent else Stage.ACCEPTED])
    expected = (
        AlreadyFinal(b.find("j")) if final else Accepted() if point == "accept" else AlreadyAccepted("j")
    )
    assert apply_one(b, Accept(record())) == expected


def test_what_cannot_be_read_of_a_lost_member_is_not_taken_for_nothing(host):
    """A job in it may have begun: who asks for it waits, and is told at the end that it may have run."""
    a, b = host.member("a"), host.member("b")
    apply_one(a, Accept(record()))
    apply_one(a, Claim("j", attempt_record()))
    a.end_incarnation()
    for end in ("-wal", "-shm"):
        (host.settings.folder / "lives" / f"a.1.db{end}").unlink(missing_ok=True)
    (host.settings.folder / "lives" / "a.1.db").write_bytes(b"spoilt" * 2000)
    host.outlive(b)
    assert b.take_over() == []
    assert any("store of a lost incarnation is unreadable (name=a.1" in line for line in host.said)
    assert apply_one(b, Accept(record())) == AlreadyAccepted("j")
    assert b.poll_answers(["j"]) == []
    assert apply_one(b, Accept(record("other"))) == Accepted()


def test_a_store_that_was_locked_for_a_moment_is_read_again(host, monkeypatch):
    a, b = host.member("a"), host.member("b")
    apply_one(a, Accept(record()))
    with monkeypatch.context() as locked:
        locked.setattr(StoreReaders, "open", lambda _readers, _incarnation: None)
        host.outlive(b)
        assert b.take_over() == []
    host.live(1500.0, b)
    assert [each.id for each in b.take_over()] == ["j"]


def test_a_member_that_leaves_is_not_waited_for(host):
    a, b = host.member("a"), host.member("b")
    apply_one(a, Accept(record()))
    assert a.leave()
    assert a.has_left
    assert not a.tick()
    b.tick()
    assert [each.id for each in b.take_over()] == ["j"]
