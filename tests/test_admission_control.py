"""Admission control: its rules, and random steps compared with a model that counts in lists."""

from collections import Counter
from dataclasses import replace
from math import inf

from hypothesis import given, settings
from hypothesis import strategies as st

from eiderfield.connections.admission import (
    MIN_CAPACITY,
    AdmissionControl,
    Limit,
    Reason,
    Rejection,
)
from eiderfield.connections.settings import AdmissionSettings, MessageTimeouts, Quota, Watermarks
from eiderfield.connections.sources import FORGET_THRESHOLD, source_keys

CAPACITY = 100


def control_of(max_connections=CAPACITY, **fields):
    return AdmissionControl(AdmissionSettings(**fields), max_connections)


def reason(result):
    return result.reason if isinstance(result, Rejection) else None


def test_admit_address_at_its_limit_is_rejected_and_others_admitted():
    control = control_of(address_quota=Quota(max_connections=10), prefix_quota=Quota(max_connections=25))
    results = [control.admit("192.0.2.1", 0.0) for _ in range(10_000)]
    assert sum(isinstance(result, int) for result in results) == 10
    assert {reason(result) for result in results[10:]} == {Reason.ADDRESS_CONNECTIONS}
    neighbours = [control.admit(f"192.0.2.{n}", 0.0) for n in range(2, 30)]
    assert Counter(map(reason, neighbours)) == {None: 15, Reason.PREFIX_CONNECTIONS: 13}
    assert isinstance(control.admit("198.51.100.1", 0.0), int)
    assert control.figures()["address_held"] == 9990


def test_admit_above_the_rate_is_rejected_without_response_until_a_token_is_regained():
    control = control_of(address_quota=Quota(connections_per_s=2.0, burst=3.0))
    results = [control.admit("192.0.2.1", 0.0) for _ in range(5)]
    assert [reason(result) for result in results] == [
        None,
        None,
        None,
        Reason.ADDRESS_RATE,
        Reason.ADDRESS_RATE,
    ]
    assert not results[-1].answer
    assert results[-1].retry_after == 500.0
    assert reason(control.admit("192.0.2.1", 499.0)) == Reason.ADDRESS_RATE
    assert reason(control.admit("192.0.2.1", 500.0)) is None
    reasons = [reason(control.admit("192.0.2.1", 60_000.0)) for _ in range(4)]
    assert reasons == [None] * 3 + [Reason.ADDRESS_RATE]


def test_admit_after_clock_went_backwards_leaves_buckets_unchanged():
    control = control_of(address_quota=Quota(connections_per_s=1.0, burst=1.0))
    assert reason(control.admit("192.0.2.1", 10_000.0)) is None
    assert reason(control.admit("192.0.2.1", 5000.0)) == Reason.ADDRESS_RATE
    assert reason(control.admit("192.0.2.1", 11_000.0)) is None


def test_begin_message_beyond_a_source_limit_is_rejected_until_one_ends():
    control = control_of(
        address_quota=Quota(max_incomplete_messages=2), prefix_quota=Quota(max_incomplete_messages=3)
    )
    tickets = [control.admit(f"192.0.2.{last}", 0.0) for last in (1, 1, 1, 2, 2)]
    assert [reason(control.begin_message(t)) for t in tickets] == [
        None,
        None,
        Reason.ADDRESS_MESSAGES,
        None,
        Reason.PREFIX_MESSAGES,
    ]
    control.end_message(tickets[0])
    assert control.begin_message(tickets[2]) is None


def test_message_limits_grow_with_body_bytes_up_to_the_message_timeout():
    timeouts = MessageTimeouts(
        message=2800.0, head=1000.0, min_body_rate=1000.0, body_grace=200.0, overloaded_head=300.0
    )
    control = control_of(timeouts=timeouts)
    assert control.head_limit(50.0) == Limit(1050.0, Reason.SLOW_HEAD)
    assert control.body_limit(0.0, 500.0, 0) == Limit(700.0, Reason.SLOW_BODY)
    assert control.body_limit(0.0, 500.0, 1000).at == 1700.0
    assert control.body_limit(0.0, 500.0, 10**9).at == 2800.0
    control.update_usage(0.0, CAPACITY, 0.0)
    assert control.head_limit(50.0).at == 350.0
    control.count(control.head_limit(50.0).reason)
    assert control.figures()["slow_head"] == 1


def test_overload_with_usage_between_the_watermarks_does_not_oscillate():
    control = control_of(
        descriptors=Watermarks(0.9, 0.7), min_overload_time=1000.0, overloaded_idle_timeout=5000.0
    )
    states = []
    for step in range(200):  # usage that alternates between 85 and 95 every 50 ms
        control.update_usage(step * 50.0, 95 if step % 2 else 85, 0.0)
        states.append(control.overloaded)
    assert states[0] is False
    assert all(states[1:])
    assert control.idle_limit(60_000.0) == 5000.0
    control.update_usage(10_400.0, 60, 0.0)
    assert control.overloaded, "overloaded for less than the minimum time"
    control.update_usage(11_000.0, 60, 0.0)
    assert not control.overloaded
    assert control.idle_limit(60_000.0) == 60_000.0


def test_admit_while_overloaded_limits_an_address_to_its_share():
    control = control_of(overloaded_address_share=0.1)
    for _ in range(40):
        assert isinstance(control.admit("192.0.2.1", 0.0), int)
    control.update_usage(0.0, 96, 0.0)
    assert reason(control.admit("192.0.2.1", 0.0)) == Reason.ADDRESS_SHARE
    assert isinstance(control.admit("192.0.2.2", 0.0), int)


def test_capacity_while_memory_is_scarce_stays_at_the_connections_held_at_its_start():
    """A lower capacity could reject every client for ever, since used memory may never be returned."""
    control = control_of(min_overload_time=0.0)
    control.update_usage(0.0, 60, 0.96)
    assert control.capacity == 60
    assert control.overloaded
    control.update_usage(1.0, 20, 0.96)  # most clients disconnect
    assert control.capacity == 60
    control.update_usage(2.0, 20, 0.90)
    assert control.capacity == 60
    control.update_usage(3.0, 20, 0.84)
    assert control.capacity == CAPACITY
    control.update_usage(4.0, 3, 0.99)
    assert control.capacity == MIN_CAPACITY
    small = control_of(max_connections=4)
    small.update_usage(0.0, 1, 0.99)
    assert small.capacity == 4


def test_sources_without_connections_are_forgotten_unless_their_bucket_is_not_full():
    control = control_of(address_quota=Quota(connections_per_s=0.001, burst=1.0))
    assert reason(control.admit("192.0.2.1", 0.0)) is None
    for number in range(5 * FORGET_THRESHOLD):
        control.release(control.register(f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}", 0.0))
    assert control.figures()["addresses"] < 3 * FORGET_THRESHOLD
    assert reason(control.admit("192.0.2.1", 1.0)) == Reason.ADDRESS_RATE, "its bucket is not full yet"


def test_reconfigure_with_another_prefix_length_recounts_prefixes():
    control = control_of(prefix_quota=Quota(max_connections=3))
    for last in (1, 2, 3):
        assert isinstance(control.admit(f"192.0.2.{last}", 0.0), int)
    for last in (1, 2):
        assert isinstance(control.admit(f"2001:db8:{last}::1", 0.0), int)
    assert reason(control.admit("192.0.2.4", 0.0)) == Reason.PREFIX_CONNECTIONS
    control.reconfigure(replace(control.settings, prefix_v4=30, prefix_v6=32))
    assert reason(control.admit("192.0.2.4", 0.0)) is None
    assert reason(control.admit("192.0.2.2", 0.0)) == Reason.PREFIX_CONNECTIONS
    assert reason(control.admit("2001:db8:9::1", 0.0)) is None
    assert reason(control.admit("2001:db8:8::1", 0.0)) == Reason.PREFIX_CONNECTIONS


ADDRESSES = ["192.0.2.1", "192.0.2.2", "192.0.3.1", "2001:db8::1", "2001:db8:0:1::1", "2001:db9::1"]
STEP = st.one_of(
    st.tuples(st.just("admit"), st.sampled_from(ADDRESSES)),
    st.tuples(st.just("register"), st.sampled_from(ADDRESSES)),
    st.tuples(st.sampled_from(["release", "begin", "end"]), st.integers(0, 30)),
    st.tuples(st.just("reconfigure"), st.sampled_from([(24, 48), (16, 32), (32, 64)])),
    st.tuples(st.just("wait"), st.sampled_from([1.0, 400.0, 10_000.0])),
)


@settings(derandomize=True, max_examples=300, deadline=None, database=None)
@given(st.lists(STEP, max_size=80))
def test_counts_after_random_steps_equal_those_of_a_model(steps):
    limits = AdmissionSettings(Quota(3, 2, 5.0, 4.0), Quota(5, 3, 50.0, 20.0))
    control, now, connections, messages = AdmissionControl(limits, CAPACITY), 0.0, [], []
    prefixes = (24, 48)

    def count(entries, kind, key):
        return sum(source_keys(address, *prefixes)[kind] == key for _, address in entries)

    for action, value in steps:
        if action in ("admit", "register"):
            keys = source_keys(value, *prefixes)
            result = getattr(control, action)(value, now)
            if reason(result) in (Reason.ADDRESS_CONNECTIONS, Reason.PREFIX_CONNECTIONS):
                kind = reason(result) == Reason.PREFIX_CONNECTIONS
                assert (
                    count(connections, kind, keys[kind])
                    >= (limits.address_quota, limits.prefix_quota)[kind].max_connections
                )
            elif isinstance(result, int):
                assert action == "register" or all(
                    count(connections, kind, keys[kind])
                    < (limits.address_quota, limits.prefix_quota)[kind].max_connections
                    for kind in (0, 1)
                )
                connections.append((result, value))
        elif action == "release" and connections:
            connection = connections.pop(value % len(connections))
            if connection in messages and messages.count(connection) > connections.count(connection):
                messages.remove(connection)
                control.end_message(connection[0])
            control.release(connection[0])
        elif action == "begin" and connections:
            connection = connections[value % len(connections)]
            if messages.count(connection) >= connections.count(connection):
                continue
            at_limit = [
                count(messages, kind, key)
                >= (limits.address_quota, limits.prefix_quota)[kind].max_incomplete_messages
                for kind, key in enumerate(source_keys(connection[1], *prefixes))
            ]
            rejection = control.begin_message(connection[0])
            assert (rejection is not None) == any(at_limit)
            if rejection is None:
                messages.append(connection)
        elif action == "end" and messages:
            control.end_message(messages.pop(value % len(messages))[0])
        elif action == "reconfigure":
            prefixes = value
            control.reconfigure(replace(limits, prefix_v4=value[0], prefix_v6=value[1]))
        elif action == "wait":
            now += value
        assert sum(control.addresses.connections) == sum(control.prefixes.connections) == len(connections)
        assert (
            sum(control.addresses.incomplete_messages)
            == sum(control.prefixes.incomplete_messages)
            == len(messages)
        )
        assert control.addresses.unused_count == sum(
            not control.addresses.connections[e] for e in control.addresses.keys
        )


def test_admit_without_limits_rejects_nobody():
    control = control_of()
    assert all(isinstance(control.admit("192.0.2.1", 0.0), int) for _ in range(5000))
    assert control.begin_message(control.register("192.0.2.1", 0.0)) is None
    assert control.idle_limit(inf) == inf
