"""Acceptance, claims and answers by members that share a folder."""

from __future__ import annotations

from pathlib import Path

from support.durable_members import DECLINED, SERVED, apply_one, attempt_record, record

from eiderfield.durable_requests.errors import StoreError
from eiderfield.durable_requests.messages import (
    Accept,
    Accepted,
    AlreadyAccepted,
    AlreadyFinal,
    Claim,
    Claimed,
    Conflict,
    Finish,
    NotOwned,
    NotWritten,
    Written,
)


def test_a_job_is_taken_claimed_answered_and_its_answer_given_again(host):
    a, b = host.member("a"), host.member("b")
    assert apply_one(a, Accept(record())) == Accepted()
    assert apply_one(a, Claim("j", attempt_record())) == Claimed("a.1")
    assert apply_one(b, Accept(record())) == AlreadyAccepted("j")
    assert b.poll_answers(["j"]) == []
    assert apply_one(a, Finish("j", SERVED)) == Written()
    assert apply_one(a, Finish("j", DECLINED)) == NotOwned()
    [(id_, there)] = b.poll_answers(["j"])
    assert id_ == "j"
    assert there.answer == SERVED
    assert apply_one(b, Accept(record())) == AlreadyFinal(there)
    assert apply_one(a, Accept(record())) == AlreadyFinal(there)
    assert apply_one(b, Accept(record(body=b"another"))) == Conflict()


def test_of_two_askers_in_one_moment_one_takes_the_job(host):
    members = [host.member(name) for name in "abc"]
    outcomes = [apply_one(member, Accept(record())) for member in members]
    assert outcomes.count(Accepted()) == 1
    assert outcomes.count(AlreadyAccepted("j")) == 2
    assert members[0].apply([Accept(record("k")), Accept(record("k"))]) == [Accepted(), AlreadyAccepted("k")]


def test_a_declined_job_may_be_asked_for_again_anywhere(host):
    a, b = host.member("a"), host.member("b")
    assert apply_one(a, Accept(record())) == Accepted()
    assert apply_one(a, Finish("j", DECLINED)) == Written()
    assert a.poll_answers(["j"])[0][1].answer == DECLINED
    assert apply_one(b, Accept(record())) == Accepted()
    assert apply_one(a, Accept(record())) == AlreadyAccepted("j")
    assert apply_one(b, Finish("j", SERVED)) == Written()
    assert apply_one(a, Accept(record())) == AlreadyFinal(b.find("j"))


def test_two_clients_with_one_key_have_one_job(host):
    a, b = host.member("a"), host.member("b")
    assert apply_one(a, Accept(record("j", key="k"))) == Accepted()
    assert apply_one(b, Accept(record("i", key="k"))) == AlreadyAccepted("j")
    assert apply_one(b, Accept(record("h", key="k", body=b"another"))) == Conflict()
    assert apply_one(a, Finish("j", DECLINED)) == Written()
    assert apply_one(b, Accept(record("i", key="k"))) == Accepted(), "a declined job holds no key"


def test_a_disk_that_takes_nothing_more_refuses_and_loses_nothing(host, monkeypatch):
    a, b = host.member("a"), host.member("b")
    apply_one(a, Accept(record("kept")))

    def full():
        raise StoreError(Path("a.1.db"), "database or disk is full", transient=True)

    monkeypatch.setattr(a.current_incarnation.store, "commit", full)
    refused = a.apply([Accept(record("more")), Claim("kept", attempt_record()), Finish("kept", SERVED)])
    assert isinstance(refused[0], NotWritten)
    assert "full" in refused[0].reason
    assert isinstance(refused[1], NotWritten)
    assert isinstance(refused[2], NotWritten)
    monkeypatch.undo()
    assert apply_one(b, Accept(record("more"))) == Accepted(), "an id that was not written down is free"
    assert apply_one(a, Claim("kept", attempt_record())) == Claimed("a.1")


def test_who_can_write_nothing_lets_an_asker_wait_for_a_job_that_is_somewhere(host):
    """Seen: a process without a life declined a keyed job that had begun elsewhere (custody seed 15)."""
    a, b = host.member("a"), host.member("b")
    apply_one(a, Accept(record()))
    apply_one(a, Claim("j", attempt_record()))
    b.end_incarnation()
    assert apply_one(b, Accept(record())) == AlreadyAccepted("j")
    assert isinstance(apply_one(b, Accept(record("i"))), NotWritten)
    assert apply_one(b, Accept(record(body=b"another"))) == Conflict()
    apply_one(a, Finish("j", SERVED))
    assert apply_one(b, Accept(record())) == AlreadyFinal(a.find("j"))
