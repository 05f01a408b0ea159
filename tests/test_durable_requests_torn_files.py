"""Files that a kill or a loss of power left torn, empty or outdated: no request is lost or runs twice."""

from __future__ import annotations

import pytest
from support.durable_members import SERVED, Host, apply_one, attempt_record, record
from support.failing_files import BROKEN, failing_files, raise_io_error

from eiderfield.durable_requests import store as store_module
from eiderfield.durable_requests.inspection import Inspection
from eiderfield.durable_requests.messages import (
    Accept,
    Accepted,
    AlreadyAccepted,
    Claim,
    Claimed,
    Finish,
)
from eiderfield.durable_requests.ownership import ownership_chain
from eiderfield.durable_requests.record import Stage
from eiderfield.durable_requests.store import RecordStore


def test_refused_record_that_a_recovery_restored_is_not_taken_over(tmp_path):
    """A sync failed after the write: the client was refused and submitted the request to another member."""
    host = Host(tmp_path)
    a, b, c = (host.member(name) for name in "abc")
    fences = {"a.1": ("b.1", "c.1")}
    id_ = next(id_ for id_ in map(str, range(99)) if ownership_chain(id_, "a.1", fences)[-1] == "c.1")
    a.current_incarnation.store.begin()
    a.current_incarnation.store.put(record(id_))
    a.current_incarnation.store.commit()  # recovered after a kill; its client was refused
    assert apply_one(b, Accept(record(id_))) == Accepted()
    host.outlive(b, c)
    assert (b.take_over(), c.take_over(), len(b.open_records)) == ([], [], 1)
    for member in (a, b, c):
        member.close()


def test_requests_of_a_successor_with_an_empty_store_are_taken_over(tmp_path):
    """An empty store must not count as unreadable."""
    host = Host(tmp_path)
    a, b, c = (host.member(name) for name in "abc")
    fences = {"a.1": ("b.1", "c.1"), "b.1": ("c.1",)}
    id_ = next(id_ for id_ in map(str, range(99)) if "b.1" in ownership_chain(id_, "a.1", fences))
    assert apply_one(a, Accept(record(id_))) == Accepted()
    b.end_incarnation()
    for suffix in ("", "-wal", "-shm"):
        (host.settings.folder / "lives" / f"b.1.db{suffix}").unlink(missing_ok=True)
    (host.settings.folder / "lives" / "b.1.db").touch()
    c.folder.fences.create("a.1", ["b.1", "c.1"], "c.1", "test")
    host.outlive(c)
    assert [each.id for each in c.take_over()] == [id_]
    assert Inspection(host.settings.folder).verify() == []
    for member in (a, c):
        member.close()


def test_second_deletion_of_a_record_keeps_the_new_holder_of_its_id(host_with_two, monkeypatch):
    """A refused deletion leaves a record whose id was released, which may be acquired before the next try."""
    host, a, b = host_with_two
    apply_one(a, Accept(record("j")))
    apply_one(a, Finish("j", SERVED))
    [expired] = a.current_incarnation.store.expired(host.now + 1.0, 0, 0)
    with monkeypatch.context() as patch:
        patch.setattr(a.current_incarnation.store, "delete", raise_io_error)
        a.retention.delete(a.current_incarnation, [expired])
    assert apply_one(b, Accept(record("j"))) == Accepted()
    a.retention.delete(a.current_incarnation, [expired])
    assert b.folder.ids.holder("j") == (1, "b.1")
    assert apply_one(a, Accept(record("j"))) == AlreadyAccepted("j")


def test_unreadable_member_file_leaves_deadlines_unchanged(host_with_two, tmp_path, monkeypatch):
    """If the member counted as one of another boot, the deadlines of its requests would lie in the past."""
    host, a, b = host_with_two
    apply_one(a, Accept(record("j", deadline=host.now + 60_000.0)))
    host.outlive(b)
    with failing_files(tmp_path, monkeypatch) as faults:
        faults.fail("open", BROKEN)
        assert b.take_over() == []
        assert faults.failed == 1
    host.live(1500.0, b)
    assert [(each.id, each.deadline) for each in b.take_over()] == [("j", 61_000.0)]


def test_store_cut_at_any_byte_of_its_last_record_keeps_the_earlier_records(tmp_path, monkeypatch):
    """A kill may cut the last record, which was not acknowledged; acknowledged records must stay."""
    monkeypatch.setattr(store_module, "PAGE_SIZE", 512)  # a smaller page has fewer positions to cut at
    host = Host(tmp_path / "whole")
    member = host.member("a")
    assert apply_one(member, Accept(record("earlier"))) == Accepted()
    assert isinstance(apply_one(member, Claim("earlier", attempt_record())), Claimed)
    journal = host.settings.folder / "lives" / "a.1.db-wal"
    before = journal.stat().st_size
    assert apply_one(member, Accept(record("last"))) == Accepted()
    whole, base = journal.read_bytes(), (host.settings.folder / "lives" / "a.1.db").read_bytes()
    member.close()
    assert len(whole) > before
    for size in range(before, len(whole) + 1):
        path = tmp_path / "cut.db"
        for suffix in ("", "-wal", "-shm"):
            path.with_name(f"cut.db{suffix}").unlink(missing_ok=True)
        path.write_bytes(base)
        path.with_name("cut.db-wal").write_bytes(whole[:size])
        store = RecordStore(path, read_only=True)
        found = {each.id: each.stage for each in store.records()}
        store.close()
        assert found.pop("earlier") == Stage.CLAIMED
        assert found == ({"last": Stage.ACCEPTED} if size == len(whole) else {})


@pytest.mark.parametrize("part", ["members/a.1", "fences/a.1", "wishes"])
def test_small_file_cut_at_any_byte_stops_no_member(part, tmp_path):
    """A loss of power may tear files that were not flushed; other members must still work."""
    host = Host(tmp_path)
    a, b = host.member("a"), host.member("b")
    apply_one(a, Accept(record("j")))
    apply_one(a, Accept(record("cancelled")))
    a.folder.end_requests.add("cancelled")
    if part.startswith("fences"):
        a.leave()
    path = host.settings.folder / part
    path = next(path.iterdir()) if path.is_dir() else path
    whole = path.read_bytes()
    for size in range(len(whole)):
        path.write_bytes(whole[:size])
        new_member = host.member(f"n{size}")
        assert new_member.tick()
        assert apply_one(new_member, Accept(record(f"job-{size}"))) == Accepted()
        new_member.close()
    path.write_bytes(whole)
    assert not [line for line in host.said if "Error" in line]
    a.close()
    b.close()
