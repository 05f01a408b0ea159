"""Durable requests while the disk fails for a while: what was accepted is answered, once.

One sequence is played over and over: three members begin, take jobs, claim attempts, answer some; one of them
is lost, and the others take over what it had and answer it. In each play the n-th operation of a kind and all
that follow fail, for less than a lease or for more, on the disk that all of them share.
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
POSITIONS = 3  # of the first operation that fails, spread over those of a healthy play


def test_the_sequence_is_whole_on_a_healthy_disk(tmp_path, monkeypatch):
    with failing_files(tmp_path, monkeypatch) as faults:
        Play(tmp_path, faults).run()


@pytest.mark.parametrize("span", [SHORT, LONG], ids=["short", "long"])
@pytest.mark.parametrize("code", ERRORS, ids=["ENOSPC", "EIO"])
@pytest.mark.parametrize("kind", KINDS)
def test_what_was_taken_is_owed_and_comes_back(kind, code, span, tmp_path, monkeypatch):
    with failing_files(tmp_path, monkeypatch) as faults:
        Play(tmp_path / "healthy", faults).run()
        many = faults.counts[kind]
        step = max(1, many // POSITIONS)
        shift = step * (2 * (code == BROKEN) + (span == LONG)) // 4  # each case has positions of its own
        for first in range(1 + shift, many + 1, step):
            play = Play(tmp_path / f"{first}", faults)
            play.fail(kind, code, first, span)
            try:
                play.run()
            except AssertionError as error:
                raise AssertionError(f"operation {first} of {many}: {error}; {play.host.said}") from error
            finally:
                faults.heal()


def test_a_life_that_ends_because_its_fence_cannot_be_read_leaves_all_it_wrote_to_the_next(
    tmp_path, monkeypatch
):
    """What was committed may be the heirs' already: nothing follows from it here, and nothing is lost."""
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


def test_an_id_that_could_not_be_let_go_is_free_once_the_disk_is_well(tmp_path, monkeypatch):
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
        assert apply_one(b, Accept(record("j"))) == AlreadyAccepted("j"), "its taker may still write it"
        monkeypatch.undo()
        settle(play, 1)
        assert apply_one(b, Accept(record("j"))) == Accepted()


def test_an_id_that_was_taken_and_not_written_down_is_its_takers_at_once(tmp_path, monkeypatch):
    host = Host(tmp_path)
    a = host.member("a")
    monkeypatch.setattr(a.folder.ids, "release", raise_io_error)
    with failing_files(tmp_path, monkeypatch) as faults:
        faults.fail("database write", BROKEN)
        assert isinstance(apply_one(a, Accept(record("j"))), NotWritten)
    assert apply_one(a, Accept(record("j"))) == Accepted()
    assert a.folder.ids.holder("j") == (1, "a.1")
    a.close()
