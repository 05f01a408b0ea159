"""The watch of Consul with a simulated agent: queries, index resets, malformed and partial lists."""

import json
from dataclasses import replace

import pytest
from support.consul import Consul, instance, published_instance

from eiderfield.interface import EndpointState
from eiderfield.net.discovery.consul import MAX_KEPT_MS, MAX_RESPONSE_BYTES, RESPONSE_SLACK_MS


def test_health_api_is_followed_by_blocking_queries():
    consul = Consul()
    assert consul.query() == "/v1/health/service/claim%20workers"
    consul.answer(7, instance("a", 1), instance("b", 2, "critical"), instance("c", 3, "warning"))
    assert consul.states() == {
        "n/a": EndpointState.READY,
        "n/b": EndpointState.DRAINING,
        "n/c": EndpointState.READY,
    }
    assert consul.query() == "/v1/health/service/claim%20workers?index=7&wait=30s"
    consul.answer(9, instance("b", 2))
    assert consul.states() == {"n/b": EndpointState.READY}
    assert consul.dispatcher.exchange.endpoints.any_ready


def test_catalog_api_lists_instances_as_ready():
    consul = Consul("catalog")
    assert consul.query().startswith("/v1/catalog/service/")
    consul.answer(
        3,
        {
            "Node": "n",
            "Address": "127.0.0.9",
            "ServiceID": "a",
            "ServiceAddress": "127.0.0.8",
            "ServicePort": 5,
            "ServiceMeta": {"zone": "kochi"},
            "ServiceWeights": {"Passing": 1},
        },
    )
    assert consul.states() == {"n/a": EndpointState.READY}
    assert list(consul.dispatcher.side.addresses.values()) == [("127.0.0.8", 5)]


def test_index_that_goes_back_is_reset_to_zero():
    consul = Consul()
    consul.query()
    consul.answer(90, instance("a", 1))
    consul.query()
    consul.answer(4, instance("a", 1), instance("b", 2))  # as after the restoration of a snapshot
    assert len(consul.states()) == 2
    assert consul.query() is None  # the next query has no index and does not block, so it is delayed
    consul.dispatcher.advance(1100.0)
    assert consul.query() == "/v1/health/service/claim%20workers"
    consul.answer(5, instance("a", 1))
    assert consul.query().endswith("?index=5&wait=30s")


@pytest.mark.parametrize(
    "body",
    [
        b"{}",
        b"[1]",
        b"nonsense",
        b'[{"Node":{},"Service":{"ID":"a"},"Checks":[]}]',
        b"[" * 9999,
    ],
)
def test_malformed_response_leaves_table_unchanged(body):
    consul = Consul()
    consul.query()
    consul.answer(7, instance("a", 1))
    consul.answer(8, raw=body)
    assert not consul.pipe.open
    assert consul.states() == {"n/a": EndpointState.READY}
    consul.dispatcher.advance(1500.0)
    consul.connect()
    assert consul.query() == "/v1/health/service/claim%20workers"


MALFORMED = [
    ({"Service": {"ID": "a", "Port": "1"}}, "endpoint n/a: no address or port"),
    ({"Service": {"ID": "a", "Port": 0}}, "endpoint n/a: no address or port"),
    ({"Node": {"Node": "n"}}, "endpoint n/a: no address or port"),
    ({"Checks": None}, "endpoint n/a: Checks is not a list"),
    ({"Checks": [{"Status": ["critical"]}]}, "endpoint n/a: Status of a check is not a string"),
    ({"Service": {"ID": "a", "Port": 1, "Meta": "m"}}, "endpoint n/a: Meta is not an object"),
    (
        {"Service": {"ID": "a", "Port": 1, "Meta": {"since_ms": "x"}}},
        "endpoint n/a: since_ms is not a number",
    ),
    ({"Service": {"ID": "a", "Port": 1, "Weights": [1]}}, "endpoint n/a: Weights is not an object"),
]


# Regression: one malformed entry set aside what a list says of all other workers, without end (review/3).
@pytest.mark.parametrize(("fields", "problem"), MALFORMED)
def test_malformed_entry_is_refused_alone(fields, problem):
    consul = Consul()
    consul.query()
    consul.answer(7, *[instance(name, number) for number, name in enumerate("abcd", 1)])
    consul.query()
    consul.answer(8, {**instance("a", 1), **fields}, instance("b", 2, "critical"), instance("c", 3))
    assert consul.states() == {
        "n/a": EndpointState.READY,
        "n/b": EndpointState.DRAINING,
        "n/c": EndpointState.READY,
    }
    assert consul.query().endswith("?index=8&wait=30s")
    assert len(consul.dispatcher.table.refused_entries) == 1
    assert any(f"first={problem!r}" in line for line in consul.dispatcher.logged)
    consul.answer(9, instance("a", 1), instance("b", 2))
    assert consul.states() == {"n/a": EndpointState.READY, "n/b": EndpointState.READY}
    assert len(consul.dispatcher.table.refused_entries) == 0


def test_drain_in_malformed_entry_of_listed_worker_is_applied():
    consul = Consul()
    consul.query()
    consul.answer(7, instance("a", 1), instance("b", 2))
    consul.query()
    consul.answer(8, {**instance("a", 1, "critical"), "Service": {"ID": "a"}}, instance("b", 2))
    assert consul.states() == {"n/a": EndpointState.DRAINING, "n/b": EndpointState.READY}
    assert len(consul.dispatcher.side.addresses) == 2


# Regression: a malformed entry that is passing put a draining worker back into service at its last address.
def test_malformed_entry_does_not_bring_a_draining_worker_back():
    consul = Consul()
    consul.query()
    consul.answer(7, instance("a", 1, "critical"), instance("b", 2))
    consul.answer(8, {**instance("a", 1), "Service": {"ID": "a"}}, instance("b", 2))
    assert consul.states() == {"n/a": EndpointState.DRAINING, "n/b": EndpointState.READY}
    consul.answer(9, instance("a", 1), instance("b", 2))
    assert consul.states()["n/a"] == EndpointState.READY


def test_malformed_entry_of_unlisted_worker_adds_no_worker():
    consul = Consul()
    consul.query()
    consul.answer(7, instance("a", 1))
    consul.answer(8, instance("a", 1), {**instance("b", 2), "Service": {"ID": "b"}})
    assert list(consul.states()) == ["n/a"]
    consul.answer(9, instance("a", 1), instance("b", 2))
    assert list(consul.states()) == ["n/a", "n/b"]


def test_nameless_entry_stands_for_no_worker_while_a_ready_one_is_listed():
    consul = Consul()
    consul.query()
    consul.answer(7, instance("a", 1), instance("b", 2), instance("c", 3))
    consul.query()
    consul.answer(8, instance("a", 1), {"Node": {}, "Service": {"ID": "b"}, "Checks": []})
    assert list(consul.states()) == ["n/a"]


def test_nameless_entry_may_stand_for_any_worker_if_no_ready_one_is_listed():
    consul = Consul()
    consul.query()
    consul.answer(7, instance("a", 1), instance("b", 2), instance("c", 3))
    consul.query()
    consul.answer(8, instance("a", 1, "critical"), {"Node": {}, "Service": {"ID": "b"}, "Checks": []})
    assert consul.states() == {
        "n/a": EndpointState.DRAINING,
        "n/b": EndpointState.READY,
        "n/c": EndpointState.READY,
    }
    consul.dispatcher.advance(MAX_KEPT_MS + 50.0)
    assert consul.states() == {"n/a": EndpointState.DRAINING}


def test_lasting_malformed_entry_is_logged_once():
    consul = Consul()
    for index in range(1, 6):
        consul.query()
        consul.answer(index, instance("a", index), {"Node": {"Node": "n"}, "Service": {"ID": "b"}})
    assert sum("discovery: entries refused" in line for line in consul.dispatcher.logged) == 1


# Regression: an infinite weight, which JSON's 1e999 stands for, made each handover to the next process fail.
@pytest.mark.parametrize("weight", ["1e999", "-1e999", "NaN", "true", '"2"'])
def test_weight_that_is_not_a_finite_number_counts_as_one(weight):
    consul = Consul()
    body = json.dumps([instance("a", 1)]).replace('"Passing": 2', f'"Passing": {weight}')
    consul.answer(7, raw=body.encode())
    [worker] = consul.dispatcher.exchange.dispatcher.workers.values()
    assert worker.entry.weight == 1.0


# Regression: the list of a fleet of 3,200 workers was refused for its size, again and again.
def test_list_of_thousands_of_workers_is_applied():
    consul = Consul()
    consul.query()
    body = json.dumps([published_instance(number) for number in range(3200)]).encode()
    assert len(body) > 5_000_000
    consul.answer(7, raw=body)
    assert len(consul.states()) == 3200
    consul.answer(8, published_instance(0))
    assert list(consul.states()) == ["node-00000/worker-00000"]


def test_endless_response_is_refused():
    consul = Consul()
    consul.query()
    consul.answer(7, instance("a", 1))
    consul.answer(8, raw=b" " * (MAX_RESPONSE_BYTES + 1))
    assert not consul.pipe.open
    assert consul.states() == {"n/a": EndpointState.READY}
    assert "a list is too long" in consul.dispatcher.logged[-1]


def test_silent_consul_is_disconnected_after_timeout():
    consul = Consul()
    consul.query()
    consul.answer(7, instance("a", 1))
    consul.dispatcher.advance(30_000.0 * 17 / 16 + RESPONSE_SLACK_MS + 50.0)
    assert not consul.pipe.open
    assert consul.states() == {"n/a": EndpointState.READY}


def test_instance_listed_later_without_start_counts_as_just_started():
    consul = Consul()
    consul.answer(7, instance("a", 1), instance("c", 3, since_ms="12"))
    consul.dispatcher.advance(100.0)
    consul.answer(8, instance("a", 1), instance("b", 2), instance("c", 3, since_ms="12"))
    assert starts(consul) == {"n/a": 0.0, "n/b": consul.dispatcher.now, "n/c": 12.0}


def starts(consul):
    workers = consul.dispatcher.exchange.dispatcher.workers.values()
    return {
        consul.dispatcher.ids.worker_name(worker.entry.worker): worker.entry.ready_at for worker in workers
    }


# Regression: the watch that follows a SIGHUP took workers that had just started for such as had run for long.
def test_start_of_worker_is_kept_by_another_watch_of_the_source():
    consul = Consul()
    consul.answer(7, instance("a", 1))
    consul.dispatcher.advance(1000.0)
    consul.answer(8, instance("a", 1), instance("b", 2))
    listed_at = consul.dispatcher.now
    consul.follower.stop()
    consul.follow(replace(consul.settings, token="another"))
    consul.dispatcher.advance(100.0)
    consul.answer(9, instance("a", 1), instance("b", 2), instance("c", 3))
    assert starts(consul) == {"n/a": 0.0, "n/b": listed_at, "n/c": consul.dispatcher.now}


# Regression: workers that were kept throughout an unconfirmed list counted as just started when listed again.
def test_kept_workers_keep_their_starts():
    consul = Consul()
    consul.answer(7, instance("a", 1), instance("b", 2))
    consul.reconnect()
    consul.answer(2)
    consul.dispatcher.advance(1100.0)
    consul.answer(8, instance("a", 1), instance("b", 2))
    assert starts(consul) == {"n/a": 0.0, "n/b": 0.0}


def test_worker_that_is_listed_again_after_a_removal_counts_as_just_started():
    consul = Consul()
    consul.answer(7, instance("a", 1), instance("b", 2))
    consul.answer(8, instance("a", 1))
    consul.dispatcher.advance(1000.0)
    consul.answer(9, instance("a", 1), instance("b", 2))
    assert starts(consul) == {"n/a": 0.0, "n/b": consul.dispatcher.now}


def answered_queries(consul, duration, max_queries=400):
    """At each query yield the number of queries so far; the caller answers it at once."""
    queries = 0
    until = consul.dispatcher.now + duration
    while consul.dispatcher.now < until and queries < max_queries:
        if consul.query() is None:
            consul.dispatcher.advance(10.0)
        else:
            queries += 1
            yield queries


def test_queries_to_agent_that_answers_at_once_are_paced():
    """Without a rate limit, an agent whose index did not change received 45,098 queries in 4 s."""
    consul = Consul()
    calls = []
    for queries in answered_queries(consul, 4000.0):
        consul.answer(7, instance("a", 1))
        calls.append(queries)
    assert 16 <= calls[-1] <= 8 + 4 * 4 + 1


def test_query_follows_at_once_where_changes_are_few():
    consul = Consul()
    for index in range(1, 8):
        assert consul.query() is not None
        consul.answer(index, instance("a", index))
    consul.dispatcher.advance(60_000.0 * 0.5)


def test_queries_after_malformed_responses_are_paced():
    consul = Consul()
    queries = 0
    until = consul.dispatcher.now + 10_000.0
    while consul.dispatcher.now < until:
        if consul.query() is not None:
            queries += 1
            consul.answer(1, raw=b"nonsense")
        consul.dispatcher.advance(10.0)
        if consul.dispatcher.dials:
            consul.connect()
    assert queries <= 8 + 10 * 4


def test_empty_list_of_restarted_agent_removes_no_worker():
    consul = Consul()
    consul.query()
    consul.answer(7, instance("a", 1), instance("b", 2), instance("c", 3))
    consul.query()
    consul.pipe.break_off()
    consul.dispatcher.advance(1500.0)
    consul.connect()
    consul.query()
    consul.answer(2)
    assert len(consul.states()) == 3
    assert consul.dispatcher.table.unconfirmed_removals == 3
    assert any(
        "discovery: list omits ready workers" in line and "omitted=3 ready=3" in line
        for line in consul.dispatcher.logged
    )
    consul.dispatcher.advance(1100.0)
    assert consul.query() == "/v1/health/service/claim%20workers"
    consul.answer(9, instance("a", 1), instance("b", 2), instance("c", 3))
    assert consul.dispatcher.table.unconfirmed_removals == 0
    assert consul.query().endswith("?index=9&wait=30s")


def test_drain_in_unconfirmed_list_is_applied():
    consul = Consul()
    consul.query()
    consul.answer(7, *[instance(c, n) for n, c in enumerate("abcd", 1)])
    consul.query()
    consul.answer(3, instance("a", 1, "critical"))
    assert consul.states()["n/a"] == EndpointState.DRAINING
    assert consul.states()["n/b"] == EndpointState.READY


def test_unconfirmed_list_is_applied_after_time_limit():
    consul = Consul()
    consul.query()
    consul.answer(7, instance("a", 1), instance("b", 2), instance("c", 3))
    for _ in range(30):
        consul.dispatcher.advance(500.0)
        if consul.query() is not None:
            consul.answer(2, instance("a", 1, "critical"), has_leader=False)
    assert consul.states() == {"n/a": EndpointState.DRAINING}
    assert consul.dispatcher.table.unconfirmed_removals == 0
    assert any("discovery: unconfirmed list applied" in line for line in consul.dispatcher.logged)


# Regression: workers that a list omitted got requests for 10 s (review/3).
@pytest.mark.parametrize("has_leader", [True, False])
@pytest.mark.parametrize("reconnects", [True, False])
@pytest.mark.parametrize(
    ("index", "left"), [(8, 5), (8, 1), (8, 0), (7, 5), (7, 0), (3, 5), (3, 1)], ids=lambda value: f"{value}"
)
def test_list_that_omits_most_workers_is_applied_at_once(index, left, reconnects, has_leader):
    consul = Consul()
    fleet = [instance(f"w{number}", number) for number in range(1, 13)]
    consul.query()
    consul.answer(7, *fleet)
    if reconnects:
        consul.reconnect()
    consul.query()
    consul.answer(index, *fleet[:left], has_leader=has_leader)
    assert list(consul.states()) == [f"n/w{number}" for number in range(1, left + 1)]
    assert consul.dispatcher.table.unconfirmed_removals == 0


# Regression: a source that sent nothing after an unconfirmed list extended the time without limit (review/3).
def test_kept_workers_are_removed_at_time_limit_if_consul_is_silent():
    consul = Consul()
    consul.query()
    consul.answer(7, instance("a", 1), instance("b", 2))
    consul.reconnect()
    consul.answer(2)
    consul.pipe.break_off()
    consul.dispatcher.advance(MAX_KEPT_MS - 50.0)
    assert len(consul.states()) == 2
    consul.dispatcher.advance(100.0)
    assert not consul.states()
    assert consul.dispatcher.table.unconfirmed_removals == 0


def test_time_limit_of_kept_workers_is_not_extended_by_further_lists_or_watches():
    consul = Consul()
    consul.query()
    consul.answer(7, instance("a", 1), instance("b", 2))
    for index in range(2, 6):
        consul.reconnect()
        consul.answer(index)
        consul.dispatcher.advance(1000.0)
    consul.follower.stop()
    consul.follow(replace(consul.settings, token="another"))
    kept_since = consul.dispatcher.table.kept_since
    consul.answer(1)
    consul.dispatcher.advance(kept_since + MAX_KEPT_MS - 50.0 - consul.dispatcher.now)
    assert len(consul.states()) == 2
    consul.dispatcher.advance(100.0)
    assert not consul.states()


def test_kept_workers_are_removed_at_once_by_empty_list_with_forward_index():
    consul = Consul()
    consul.query()
    consul.answer(7, instance("a", 1))
    consul.reconnect()
    consul.answer(2)
    assert len(consul.states()) == 1
    consul.dispatcher.advance(1100.0)
    consul.answer(8)
    assert not consul.states()
    consul.dispatcher.advance(1100.0)
    consul.answer(9, instance("a", 1))
    consul.dispatcher.advance(MAX_KEPT_MS)
    assert list(consul.states()) == ["n/a"]


def test_first_list_of_another_consul_is_applied_as_a_whole():
    consul = Consul()
    consul.query()
    consul.answer(70, instance("a", 1), instance("b", 2), instance("c", 3))
    consul.follower.stop()
    consul.follow(replace(consul.settings, address=("127.0.0.1", 8600)))
    consul.answer(3, instance("c", 3))
    assert list(consul.states()) == ["n/c"]


def test_shorter_list_with_leader_and_growing_index_is_applied():
    consul = Consul()
    consul.query()
    consul.answer(7, instance("a", 1), instance("b", 2), instance("c", 3))
    consul.query()
    consul.answer(8)
    assert not consul.states()
    assert consul.dispatcher.table.unconfirmed_removals == 0


def test_banned_worker_that_is_omitted_and_listed_again_stays_banned():
    consul = Consul()
    consul.query()
    consul.answer(7, instance("a", 1), instance("b", 2))
    consul.dispatcher.table.ban("n/a")
    for index, listed in ((8, False), (9, True)):
        consul.reconnect()
        consul.query()
        consul.answer(index, *([instance("a", 1)] if listed else []), instance("b", 2))
        assert consul.states().get("n/a") == (EndpointState.DRAINING if listed else None)
    consul.dispatcher.table.unban("n/a")
    assert consul.states()["n/a"] == EndpointState.READY
