"""Leases, the failure detector, and the owner of a request after losses."""

from __future__ import annotations

from itertools import pairwise

from hypothesis import given, settings
from hypothesis import strategies as st
from support.durable_members import LEASE

from eiderfield.durable_requests.failure_detector import FailureDetector, is_lost
from eiderfield.durable_requests.lease import Lease
from eiderfield.durable_requests.ownership import ownership_chain


def test_a_holder_stops_before_anybody_may_suspect_it():
    lease, watch = Lease(LEASE, 100.0), FailureDetector("b.1", LEASE)
    lease.renew(50.0)
    watch.observe(0.0, {"a.1": 1}, ())
    for now in range(100, 3000, 100):
        suspected = watch.observe(float(now), {"a.1": 2}, ())
        assert not (suspected and lease.holds(float(now)))
    assert suspected == {"a.1"}


def test_who_has_not_watched_suspects_nobody_for_silence_nor_by_the_machines_word():
    watch = FailureDetector("b.1", LEASE)
    assert watch.observe(0.0, {"a.1": 1}, {"a.1"}) == set()
    watch.observe(100.0, {"a.1": 1}, ())
    assert watch.observe(5000.0, {"a.1": 1}, {"a.1"}) == set(), "it stood still itself"
    times = [5000.0 + 100.0 * step for step in range(1, 20)]
    assert next(now for now in times if watch.observe(now, {"a.1": 1}, ())) >= 5000.0 + LEASE


def test_a_loss_takes_most_of_those_that_are_not_suspected():
    lives = ["a.1", "b.1", "c.1", "d.1"]
    assert not is_lost("d.1", ["a.1"], lives, {"d.1"})
    assert is_lost("d.1", ["a.1", "b.1"], lives, {"d.1"})
    assert not is_lost("d.1", ["a.1", "d.1"], lives, {"d.1"}), "its own word counts for nothing"
    assert is_lost("d.1", ["a.1"], lives, {"b.1", "c.1", "d.1"}), "all but one are lost"


LIVES = [f"n{number}.1" for number in range(6)]


@given(
    st.dictionaries(st.sampled_from(LIVES), st.lists(st.sampled_from(LIVES), min_size=1, unique=True)),
    st.lists(st.lists(st.sampled_from(LIVES), min_size=1, unique=True), max_size=3),
    st.text(max_size=4),
)
@settings(derandomize=True, max_examples=400, deadline=None, database=None)
def test_a_job_has_one_owner_and_a_further_fence_only_lengthens_its_chain(fences, later, id_):
    chain = ownership_chain(id_, LIVES[0], fences, later)
    assert len(set(chain)) == len(chain)
    assert all(heir in fences[life] or any(heir in more for more in later) for life, heir in pairwise(chain))
    assert chain[:-1] == [life for life in chain[:-1] if life in fences]
    if chain[-1] not in fences:
        rest = [life for life in LIVES if life != chain[-1]]
        assert (
            ownership_chain(id_, LIVES[0], {**fences, chain[-1]: tuple(rest)}, later)[: len(chain)] == chain
        )


def test_what_is_left_is_spread_over_the_heirs():
    heirs = tuple(LIVES[1:5])
    owners = [ownership_chain(f"job-{number}", LIVES[0], {LIVES[0]: heirs})[-1] for number in range(2000)]
    assert all(400 < owners.count(heir) < 600 for heir in heirs)
