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


def test_full_store_refuses_new_requests(tmp_path):
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


def test_answers_expire_by_number_and_age_and_their_ids_become_free(tmp_path):
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


def test_store_of_a_lost_member_is_removed_after_its_answers_expire(tmp_path):
    host = Host(tmp_path, retention_ms=20_000.0)
    a, b = host.member("a"), host.member("b")
    a.apply([Accept(record("open")), Accept(record("answered"))])
    apply_one(a, Finish("answered", SERVED))
    host.outlive(b)
    assert [each.id for each in b.take_over()] == ["open"]
    assert b.folder.store_path("a.1").exists()
    apply_one(b, Finish("open", SERVED))
    host.live(30_000.0, b)
    assert b.folder.store_path("a.1").exists(), "removed while its process may still write to it"
    host.live(12_000.0, a, b)
    assert not b.folder.store_path("a.1").exists()
    assert b.find("answered") is None
    assert not (
        host.settings.folder / "ids" / hashed_name("answered")[:2] / hashed_name("answered")
    ).is_symlink()
    a.close()
    b.close()
