"""Durable requests while the disk fails for a while: each accepted request gets one answer.

Each case plays the same sequence (`support.durable_play`): three members begin, accept requests, claim
attempts and answer some; one of them is lost, and the others take over its requests and answer them. In each
play the n-th operation of a kind and all later ones fail, for less or for more than a lease, on the disk that
all members share.
"""

from __future__ import annotations

import pytest
from support.durable_members import LEASE, Host, apply_one, attempt_record, record
from support.durable_play import Play, settle
from support.failing_files import BROKEN, ERRORS, FULL, KINDS, failing_files, raise_io_error

from eiderfield.durable_requests.messages import (
    Accept,
    Accepted,
    AlreadyAccepted,
    Claim,
    NotOwned,
    NotWritten,
)

SHORT, LONG = 0.3 * LEASE, 2.5 * LEASE  # ms for which the disk fails
POSITIONS = 3  # number of first failing operations, spread over those of a healthy play


def test_sequence_completes_on_a_healthy_disk(tmp_path, monkeypatch):
    with failing_files(tmp_path, monkeypatch) as faults:
        Play(tmp_path, faults).run()


@pytest.mark.parametrize("span", [SHORT, LONG], ids=["short", "long"])
@pytest.mark.parametrize("code", ERRORS, ids=["ENOSPC", "EIO"])
@pytest.mark.parametrize("kind", KINDS)
def test_accepted_requests_are_answered_once_while_operations_fail(kind, code, span, tmp_path, monkeypatch):
    with failing_files(tmp_path, monkeypatch) as faults:
        Play(tmp_path / "healthy", faults).run()
        count = faults.counts[kind]
        step = max(1, count // POSITIONS)
        shift = step * (2 * (code == BROKEN) + (span == LONG)) // 4  # shifts the positions of each case
        for first in range(1 + shift, count + 1, step):
            play = Play(tmp_path / f"{first}", faults)
            play.fail(kind, code, first, span)
            try:
                play.run()
            except AssertionError as error:
                raise AssertionError(f"operation {first} of {count}: {error}; {play.host.said}") from error
            finally:
                faults.heal()


def test_incarnation_with_unreadable_fence_ends_and_the_next_one_takes_over_its_records(
    tmp_path, monkeypatch
):
    """Successors may own the committed records: this incarnation must not act on them."""
    with failing_files(tmp_path, monkeypatch) as faults:
        play = Play(tmp_path, faults)
        play.begin("a")
        member = play.members["a"]
        settle(play, 2)
        with faults.paused():
            assert apply_one(member, Accept(record("first"))) == Accepted()
        monkeypatch.setattr(member, "reach_failpoint", lambda _name: faults.fail("look", BROKEN, 2, 1))
        assert apply_one(member, Claim("first", attempt_record())) == NotOwned()
        assert member.incarnation_name == ""
        monkeypatch.undo()
        taken_over = []
        monkeypatch.setattr(play, "adopted", taken_over.append)
        settle(play)
        assert member.incarnation_name == "a.2"
        assert [(each.id, len(each.attempts)) for each in taken_over] == [("first", 1)]


def test_id_that_could_not_be_released_becomes_free_after_the_disk_recovers(tmp_path, monkeypatch):
    with failing_files(tmp_path, monkeypatch) as faults:
        play = Play(tmp_path, faults)
        play.begin("a")
        play.begin("b")
        settle(play, 2)
        a, b = play.members.values()
        monkeypatch.setattr(a.folder.ids, "release", raise_io_error)
        faults.fail("database write", FULL)
        assert isinstance(apply_one(a, Accept(record("j"))), NotWritten)
        faults.heal()
        assert apply_one(b, Accept(record("j"))) == AlreadyAccepted("j"), "the holder may still record it"
        monkeypatch.undo()
        settle(play, 1)
        assert apply_one(b, Accept(record("j"))) == Accepted()


def test_holder_of_an_unrecorded_id_may_record_it_at_once(tmp_path, monkeypatch):
    host = Host(tmp_path)
    a = host.member("a")
    monkeypatch.setattr(a.folder.ids, "release", raise_io_error)
    with failing_files(tmp_path, monkeypatch) as faults:
        faults.fail("database write", BROKEN)
        assert isinstance(apply_one(a, Accept(record("j"))), NotWritten)
    assert apply_one(a, Accept(record("j"))) == Accepted()
    assert a.folder.ids.holder("j") == (1, "a.1")
    a.close()
