"""How long answers and the stores of lost members are kept."""

from __future__ import annotations

from support.durable_members import SERVED, Host, apply_one, record

from eiderfield.durable_requests.files import hashed_name
from eiderfield.durable_requests.messages import (
    Accept,
    Accepted,
    Finish,
    NotWritten,
    Written,
)


def test_a_store_has_a_bound_beyond_which_new_jobs_are_refused(tmp_path):
    host = Host(tmp_path, max_bytes=100_000)
    a = host.member("a")
    outcomes = [apply_one(a, Accept(record(f"j{number}", body=b"x" * 10_000))) for number in range(40)]
    assert Accepted() in outcomes
    assert isinstance(outcomes[-1], NotWritten)
    assert "full" in outcomes[-1].reason
    assert apply_one(a, Finish("j0", SERVED)) == Written() or isinstance(
        apply_one(a, Finish("j0", SERVED)), NotWritten
    )
    a.close()


def test_answers_are_kept_by_age_count_and_bytes_and_their_ids_are_free_after_that(tmp_path):
    host = Host(tmp_path, max_final_records=3, retention_ms=50_000.0)
    a = host.member("a")
    for number in range(6):
        apply_one(a, Accept(record(f"j{number}", key=f"k{number}")))
        host.now += 10.0
        apply_one(a, Finish(f"j{number}", SERVED))
    host.live(1500.0, a)
    assert [a.find(f"j{number}") is not None for number in range(6)] == [False] * 3 + [True] * 3
    assert apply_one(a, Accept(record("j0", key="k0"))) == Accepted()
    host.live(60_000.0, a)
    assert a.find("j5") is None
    assert a.find("j0") is not None
    a.close()


def test_a_settled_estate_is_removed_once_its_answers_are_old(tmp_path):
    host = Host(tmp_path, retention_ms=20_000.0)
    a, b = host.member("a"), host.member("b")
    a.apply([Accept(record("open")), Accept(record("over"))])
    apply_one(a, Finish("over", SERVED))
    host.outlive(b)
    assert [each.id for each in b.take_over()] == ["open"]
    assert b.folder.store_path("a.1").exists()
    apply_one(b, Finish("open", SERVED))
    host.live(30_000.0, b)
    assert b.folder.store_path("a.1").exists(), "its process is there, and may be writing"
    host.live(12_000.0, a, b)
    assert not b.folder.store_path("a.1").exists()
    assert b.find("over") is None
    assert not (host.settings.folder / "ids" / hashed_name("over")[:2] / hashed_name("over")).is_symlink()
    a.close()
    b.close()
