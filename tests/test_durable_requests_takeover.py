"""Successors take over the requests of lost members."""

from __future__ import annotations

from dataclasses import replace

import pytest
from support.durable_fleet import DEADLINE_MS, DURABLE_SITE, LEASE_MS, STEP_MS, DurableFleet
from support.durable_members import SERVED, apply_one, attempt_record, record
from support.durable_process import DurableProcess
from support.memory_dispatcher import SITE

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
from eiderfield.exchange.request import Request
from eiderfield.interface import Tenant


def test_successors_take_over_the_open_requests_of_a_lost_member_with_their_attempts(host):
    a, b, c = (host.member(name) for name in "abc")
    ids = [f"j{number}" for number in range(40)]
    assert a.apply([Accept(record(id_)) for id_ in ids]) == [Accepted()] * 40
    a.apply([Claim(id_, attempt_record()) for id_ in ids[:20]])
    a.apply([Finish(id_, SERVED) for id_ in ids[:5]])
    host.outlive(b, c)
    taken_by_member = {member.name: member.take_over() for member in (b, c)}
    taken = {each.id: each for records in taken_by_member.values() for each in records}
    assert sorted(taken) == sorted(ids[5:])
    assert all(taken_by_member.values())
    assert all((each.stage == Stage.CLAIMED) == (id_ in ids[5:20]) for id_, each in taken.items())
    assert apply_one(b, Accept(record("j0"))) == AlreadyFinal(b.find("j0")), (
        "the answer of a lost member was not found"
    )
    assert (
        a.apply([Claim("j6", attempt_record(1)), Finish("j7", SERVED), Accept(record("j99"))])[:2]
        == [NotOwned()] * 2
    )
    assert a.incarnation_name == ""
    assert a.counters.fenced == 1
    assert any("incarnation was fenced (name=a.1" in line for line in host.said)
    host.live(1500.0, a, b, c)
    assert a.incarnation_name == "a.2", "no new incarnation began"
    assert len(a.open_records) == 0, "the new incarnation owns earlier requests"


MAX_ATTEMPTS = DURABLE_SITE.max_attempts
GOLD, SILVER, BRONZE = (Tenant(name, 50.0, 0.3) for name in ("gold", "silver", "bronze"))
TENANTS_OF_SUCCESSOR = (SILVER, GOLD)  # in another order, and without bronze


@pytest.mark.parametrize(("name", "index"), [("gold", 1), ("silver", 0), ("bronze", 2), ("none", 2)])
def test_taken_over_request_counts_for_the_tenant_with_the_same_name(name, index, tmp_path):
    """Regression: the tenant was recorded by its number, which settings in another order give to another."""
    folder = tmp_path / "custody"
    first = DurableProcess(folder, "a", workers=0, site=replace(SITE, tenants=(GOLD, SILVER, BRONZE)))
    names = [tenant.name for tenant in first.dispatcher.exchange.settings.tenants]
    own_index = names.index(name) if name in names else len(names)
    request = Request("j", 0, first.dispatcher.now + 5000.0, "/safe/x", tenant_index=own_index)
    first.coordinator.intake.accept(request, lambda _answer: None)
    first.run(20.0)
    successor = DurableProcess(folder, "b", workers=0, site=replace(SITE, tenants=TENANTS_OF_SUCCESSOR))
    successor.fence("a.1")
    successor.coordinator.intake.accept(request, lambda _answer: None)  # its client comes back
    successor.run(20.0)
    [pending] = successor.dispatcher.exchange.pending_requests.values()
    assert pending.request.tenant_index == index
    for process in (first, successor):
        process.close()


def test_tenant_of_a_record_of_an_earlier_revision_is_within_the_settings(tmp_path):
    process = DurableProcess(tmp_path / "custody", site=replace(SITE, tenants=TENANTS_OF_SUCCESSOR))
    context = process.coordinator.context
    for recorded, index in ((0, 0), (1, 1), (2, 2), (9, 2)):
        head = replace(record().head, tenant=recorded)
        assert context.tenant_index(record(head=head, tenant_name=None)) == index
    process.close()


def test_rate_of_takeovers_counts_the_clock_of_the_process(tmp_path):
    """Regression: it counted the machine's clock, beside which the clock of a test stands still or leaps."""
    folder = tmp_path / "custody"
    first, successor = (DurableProcess(folder, name, workers=0, takeovers_per_second=1.0) for name in "ab")
    for number in range(9):
        request = Request(f"j{number}", 0, first.dispatcher.now + 60_000.0, "/safe/x")
        first.coordinator.intake.accept(request, lambda _answer: None)
    first.run(20.0)
    successor.fence("a.1")
    counters = successor.coordinator.member.counters
    assert counters.taken_over == 1
    successor.run(3000.0)
    assert counters.taken_over == 1 + 3
    for process in (first, successor):
        process.close()


def test_fenced_member_claims_no_attempt(host):
    a, b = host.member("a"), host.member("b")
    apply_one(a, Accept(record()))
    host.outlive(b)
    assert not a.holds_lease(host.now)
    assert apply_one(a, Claim("j", attempt_record())) == NotOwned()
    assert [each.stage for each in b.take_over()] == [Stage.ACCEPTED]


def test_requests_of_a_lost_successor_are_taken_over_as_the_successor_recorded_them(host):
    a, b, c = (host.member(name) for name in "abc")
    ids = [f"j{number}" for number in range(12)]
    a.apply([Accept(record(id_)) for id_ in ids])
    host.outlive(b, c)
    taken_by_b = {each.id for each in b.take_over()}
    b.apply([Claim(id_, attempt_record()) for id_ in taken_by_b])
    taken_by_c = {each.id for each in c.take_over()}
    host.outlive(c)
    host.now += 1000.0
    taken_after_b_was_lost = {each.id: each for each in c.take_over()}
    assert set(taken_after_b_was_lost) == taken_by_b
    assert not taken_by_c & taken_by_b
    assert all(
        each.stage == Stage.CLAIMED and each.takeovers == 2 for each in taken_after_b_was_lost.values()
    )


def test_requests_of_members_that_fence_each_other_go_to_the_next_incarnations(host):
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


def test_record_that_is_committed_after_the_fence_is_taken_over(host):
    """A commit that was in progress when its member stopped may complete after the fence."""
    a, b = host.member("a"), host.member("b")
    a.reach_failpoint = lambda name: host.outlive(b) if name == "accept" else None
    assert apply_one(a, Accept(record())) == AlreadyAccepted("j")
    assert b.take_over() == []
    host.live(500.0, b)
    assert [each.id for each in b.take_over()] == ["j"]


def test_id_of_a_member_that_was_lost_before_it_recorded_becomes_free(host):
    a, b = host.member("a"), host.member("b")
    assert a.folder.ids.acquire("j", "a.1")
    assert apply_one(b, Accept(record())) == AlreadyAccepted("j"), "the holder may still record it"
    assert b.poll_answers(["j"]) == []
    host.outlive(b)
    assert b.poll_answers(["j"]) == [("j", None)]
    assert apply_one(b, Accept(record())) == Accepted()


class StoppedAtFailpoint(Exception):
    """Stops a member permanently at a failpoint."""


@pytest.mark.parametrize(
    "failpoint", ["accept", "accept done", "claim", "claim done", "finish", "finish done"]
)
def test_request_of_a_member_that_stops_at_a_failpoint_is_taken_over_once(host, failpoint):
    a, b = host.member("a"), host.member("b")

    def stop(name):
        if name == failpoint:
            raise StoppedAtFailpoint

    def serve_request():
        for operation in (Accept(record()), Claim("j", attempt_record()), Finish("j", SERVED)):
            apply_one(a, operation)

    a.reach_failpoint = stop
    with pytest.raises(StoppedAtFailpoint):
        serve_request()
    host.outlive(b)
    stages = [each.stage for each in b.take_over()]
    is_sent = failpoint in ("claim done", "finish", "finish done")
    is_final = failpoint == "finish done"
    assert stages == (
        [] if failpoint == "accept" or is_final else [Stage.CLAIMED if is_sent else Stage.ACCEPTED]
    )
    expected = (
        AlreadyFinal(b.find("j"))
        if is_final
        else Accepted()
        if failpoint == "accept"
        else AlreadyAccepted("j")
    )
    assert apply_one(b, Accept(record())) == expected


def test_unreadable_store_of_a_lost_member_does_not_count_as_empty(host):
    """A request in it may have run: a client that submits it again must wait."""
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


def test_store_that_could_not_be_opened_is_read_again(host, monkeypatch):
    a, b = host.member("a"), host.member("b")
    apply_one(a, Accept(record()))
    with monkeypatch.context() as patch:
        patch.setattr(StoreReaders, "open", lambda _readers, _incarnation: None)
        host.outlive(b)
        assert b.take_over() == []
    host.live(1500.0, b)
    assert [each.id for each in b.take_over()] == ["j"]


def test_requests_of_a_member_that_leaves_are_taken_over_at_once(host):
    a, b = host.member("a"), host.member("b")
    apply_one(a, Accept(record()))
    assert a.leave()
    assert a.has_left
    assert not a.tick()
    b.tick()
    assert [each.id for each in b.take_over()] == ["j"]


def test_attempts_that_never_ran_count_after_a_takeover(tmp_path):
    """Regression: a successor forgot them, and began as many attempts again as the settings allow in all."""
    fleet = DurableFleet(tmp_path / "custody", ("a", "b"), workers=2)
    first, successor = fleet.all
    first.submit()
    for _ in range(MAX_ATTEMPTS - 1):
        let_attempt_be_turned_away(fleet, first)
    assert len(first.begun) == MAX_ATTEMPTS - 1
    fleet.kill(first)
    fleet.run(3.0 * LEASE_MS)
    returned = successor.submit()
    for _ in range(MAX_ATTEMPTS):
        let_attempt_be_turned_away(fleet, successor)
    assert len(first.begun) + len(successor.begun) == MAX_ATTEMPTS
    fleet.run(DEADLINE_MS)
    assert [status for status, _, _ in returned.answers()] == [503]
    fleet.close()


def let_attempt_be_turned_away(fleet, process):
    """Let time pass until an attempt reaches a worker, which turns it away unstarted, if one does."""
    for _ in range(100):
        fleet.run(STEP_MS)
        while process.dispatcher.dials:
            process.dispatcher.dials[0].up()
        for end in process.dispatcher.ends:
            if end.pipe.open and end.take():
                end.status(503, X_Not_Run="1")
                return
