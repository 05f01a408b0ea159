"""Leases, the failure detector, and the owner of a request after losses."""

from __future__ import annotations

from itertools import pairwise

from hypothesis import given, settings
from hypothesis import strategies as st
from support.durable_members import LEASE

from eiderfield.durable_requests.failure_detector import FailureDetector, is_lost
from eiderfield.durable_requests.lease import Lease
from eiderfield.durable_requests.ownership import ownership_chain


def test_lease_ends_before_another_member_suspects_its_holder():
    lease, detector = Lease(LEASE, 100.0), FailureDetector("b.1", LEASE)
    lease.renew(50.0)
    detector.observe(0.0, {"a.1": 1}, ())
    for now in range(100, 3000, 100):
        suspected = detector.observe(float(now), {"a.1": 2}, ())
        assert not (suspected and lease.holds(float(now)))
    assert suspected == {"a.1"}


def test_detector_that_is_not_warmed_up_suspects_no_incarnation():
    detector = FailureDetector("b.1", LEASE)
    assert detector.observe(0.0, {"a.1": 1}, {"a.1"}) == set()
    detector.observe(100.0, {"a.1": 1}, ())
    assert detector.observe(5000.0, {"a.1": 1}, {"a.1"}) == set(), (
        "the detector did not restart its warm-up after a gap"
    )
    times = [5000.0 + 100.0 * step for step in range(1, 20)]
    assert next(now for now in times if detector.observe(now, {"a.1": 1}, ())) >= 5000.0 + LEASE


def test_incarnation_is_lost_with_a_majority_of_the_unsuspected_votes():
    incarnations = ["a.1", "b.1", "c.1", "d.1"]
    assert not is_lost("d.1", ["a.1"], incarnations, {"d.1"})
    assert is_lost("d.1", ["a.1", "b.1"], incarnations, {"d.1"})
    assert not is_lost("d.1", ["a.1", "d.1"], incarnations, {"d.1"}), "the vote of the suspect was counted"
    assert is_lost("d.1", ["a.1"], incarnations, {"b.1", "c.1", "d.1"}), (
        "the only unsuspected vote was no majority"
    )


INCARNATIONS = [f"n{number}.1" for number in range(6)]


@given(
    st.dictionaries(
        st.sampled_from(INCARNATIONS), st.lists(st.sampled_from(INCARNATIONS), min_size=1, unique=True)
    ),
    st.lists(st.lists(st.sampled_from(INCARNATIONS), min_size=1, unique=True), max_size=3),
    st.text(max_size=4),
)
@settings(derandomize=True, max_examples=400, deadline=None, database=None)
def test_ownership_chain_has_no_repeats_and_a_further_fence_only_lengthens_it(fences, further, id_):
    chain = ownership_chain(id_, INCARNATIONS[0], fences, further)
    assert len(set(chain)) == len(chain)
    assert all(
        successor in fences[incarnation] or any(successor in names for names in further)
        for incarnation, successor in pairwise(chain)
    )
    assert chain[:-1] == [incarnation for incarnation in chain[:-1] if incarnation in fences]
    if chain[-1] not in fences:
        successors = [incarnation for incarnation in INCARNATIONS if incarnation != chain[-1]]
        assert (
            ownership_chain(id_, INCARNATIONS[0], {**fences, chain[-1]: tuple(successors)}, further)[
                : len(chain)
            ]
            == chain
        )


def test_requests_of_a_lost_incarnation_are_spread_over_its_successors():
    successors = tuple(INCARNATIONS[1:5])
    owners = [
        ownership_chain(f"job-{number}", INCARNATIONS[0], {INCARNATIONS[0]: successors})[-1]
        for number in range(2000)
    ]
    assert all(400 < owners.count(successor) < 600 for successor in successors)
