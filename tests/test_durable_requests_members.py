"""Members that share a folder accept, claim and answer requests."""

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


def test_request_is_accepted_claimed_and_answered_and_the_answer_is_repeated(host):
    a, b = host.member("a"), host.member("b")
    assert apply_one(a, Accept(record())) == Accepted()
    assert apply_one(a, Claim("j", attempt_record())) == Claimed("a.1")
    assert apply_one(b, Accept(record())) == AlreadyAccepted("j")
    assert b.poll_answers(["j"]) == []
    assert apply_one(a, Finish("j", SERVED)) == Written()
    assert apply_one(a, Finish("j", DECLINED)) == NotOwned()
    [(id_, final_record)] = b.poll_answers(["j"])
    assert id_ == "j"
    assert final_record.answer == SERVED
    assert apply_one(b, Accept(record())) == AlreadyFinal(final_record)
    assert apply_one(a, Accept(record())) == AlreadyFinal(final_record)
    assert apply_one(b, Accept(record(body=b"another"))) == Conflict()


def test_simultaneous_submissions_are_accepted_by_one_member(host):
    members = [host.member(name) for name in "abc"]
    outcomes = [apply_one(member, Accept(record())) for member in members]
    assert outcomes.count(Accepted()) == 1
    assert outcomes.count(AlreadyAccepted("j")) == 2
    assert members[0].apply([Accept(record("k")), Accept(record("k"))]) == [Accepted(), AlreadyAccepted("k")]


def test_declined_request_may_be_submitted_again_to_any_member(host):
    a, b = host.member("a"), host.member("b")
    assert apply_one(a, Accept(record())) == Accepted()
    assert apply_one(a, Finish("j", DECLINED)) == Written()
    assert a.poll_answers(["j"])[0][1].answer == DECLINED
    assert apply_one(b, Accept(record())) == Accepted()
    assert apply_one(a, Accept(record())) == AlreadyAccepted("j")
    assert apply_one(b, Finish("j", SERVED)) == Written()
    assert apply_one(a, Accept(record())) == AlreadyFinal(b.find("j"))


def test_requests_with_one_key_are_one_request(host):
    a, b = host.member("a"), host.member("b")
    assert apply_one(a, Accept(record("j", key="k"))) == Accepted()
    assert apply_one(b, Accept(record("i", key="k"))) == AlreadyAccepted("j")
    assert apply_one(b, Accept(record("h", key="k", body=b"another"))) == Conflict()
    assert apply_one(a, Finish("j", DECLINED)) == Written()
    assert apply_one(b, Accept(record("i", key="k"))) == Accepted(), (
        "the key of a declined request was not free"
    )


def test_full_disk_refuses_changes_and_loses_no_record(host, monkeypatch):
    a, b = host.member("a"), host.member("b")
    apply_one(a, Accept(record("recorded")))

    def raise_disk_full():
        raise StoreError(Path("a.1.db"), "database or disk is full", transient=True)

    monkeypatch.setattr(a.current_incarnation.store, "commit", raise_disk_full)
    outcomes = a.apply(
        [Accept(record("refused")), Claim("recorded", attempt_record()), Finish("recorded", SERVED)]
    )
    assert isinstance(outcomes[0], NotWritten)
    assert "full" in outcomes[0].reason
    assert isinstance(outcomes[1], NotWritten)
    assert isinstance(outcomes[2], NotWritten)
    monkeypatch.undo()
    assert apply_one(b, Accept(record("refused"))) == Accepted(), "the id of a refused request was not free"
    assert apply_one(a, Claim("recorded", attempt_record())) == Claimed("a.1")


def test_member_without_incarnation_lets_a_client_wait_for_a_recorded_request(host):
    """Such a member declined a keyed request that had an attempt at another member (custody seed 15)."""
    a, b = host.member("a"), host.member("b")
    apply_one(a, Accept(record()))
    apply_one(a, Claim("j", attempt_record()))
    b.end_incarnation()
    assert apply_one(b, Accept(record())) == AlreadyAccepted("j")
    assert isinstance(apply_one(b, Accept(record("i"))), NotWritten)
    assert apply_one(b, Accept(record(body=b"another"))) == Conflict()
    apply_one(a, Finish("j", SERVED))
    assert apply_one(b, Accept(record())) == AlreadyFinal(a.find("j"))
