"""The subsets of dispatchers and the homes of keys, in fleets of up to 3,200 workers."""

import random
from collections import Counter
from dataclasses import replace

import pytest
from support.policy import BASE, KEYED, SAFE, Node, sends

from eiderfield.interface import (
    AttemptEnded,
    Endpoint,
    EndpointListKind,
    EndpointState,
    EndpointsUpdated,
    Outcome,
    Scope,
    stable_hash,
)
from eiderfield.policy import affinity, subsetting
from eiderfield.policy.affinity import MIN_CHANGES_KEPT, KeyOrders
from eiderfield.policy.endpoint import Worker
from eiderfield.policy.fleet import MAX_CANDIDATES, Fleet
from eiderfield.policy.selection import EndpointSelector
from eiderfield.policy.slow_start import SlowStart
from eiderfield.policy.subsetting import AFFINITY_SUBSET_SIZE, DISPATCHERS_PER_WORKER, MIN_SUBSET_SIZE

SETTINGS = replace(BASE, hedging_allowed=False, zone_count=4)


def endpoints_of(size):
    return [Endpoint(1 + number, zone=number % 4, kind=number // 4 % 2) for number in range(size)]


def create_node(size, own_index=0, dispatchers=None, has_affinity=True, entries=None):
    """Return a dispatcher that knows a fleet and, with `has_affinity`, has received a request with a key."""
    node = Node(
        replace(SETTINGS, dispatcher_count=dispatchers or size, dispatcher_index=own_index), workers=0
    )
    node.play(EndpointsUpdated(EndpointListKind.FULL, 1, tuple(entries or endpoints_of(size))))
    if has_affinity:
        serve_request(node, affinity_key=1)
    return node


def serve_request(node, **more):
    id_, actions = node.arrive(**more)
    for send in sends(actions):
        node.play(AttemptEnded(id_, 0, send.worker, Outcome.OK, 10.0, True))
    return [send.worker for send in sends(actions)]


def subset_numbers(node):
    return {worker.entry.worker for worker in node.dispatcher.subset}


@pytest.fixture
def examined_workers(monkeypatch):
    """Count how often a worker is examined: checked for being free, or hashed for a key or a group."""
    count = Counter()

    def count_calls(owner, name, amount):
        real = getattr(owner, name)

        def call(*args):
            count[name] += amount(args)
            return real(*args)

        monkeypatch.setattr(owner, name, call)

    for owner, name in (
        (EndpointSelector, "is_free"),
        (EndpointSelector, "_is_available_home"),
        (Fleet, "is_usable"),
        (SlowStart, "capacity_share"),
    ):
        count_calls(owner, name, lambda _args: 1)
    count_calls(affinity, "stable_hash", lambda _args: 1)
    count_calls(subsetting, "stable_hash", lambda _args: 1)
    count_calls(affinity, "stable_hashes_up_to", lambda args: len(args[1]))
    count_calls(subsetting, "place_of", lambda _args: 1)
    return count


def max_counts(count, calls, times=50):
    """Return the largest value of each count for a single call."""
    most = Counter()
    for number in range(times):
        count.clear()
        calls(number)
        most |= count
    return most


@pytest.mark.parametrize("size", [200, 3200])
@pytest.mark.parametrize("has_affinity", [False, True])
def test_list_change_costs_no_walk_over_the_fleet(size, has_affinity, examined_workers):
    """A change took 22 ms with 3,200 workers and 1.5 ms with 200, as all workers were compared and sorted."""
    node = create_node(size, has_affinity=has_affinity)

    def change(number):
        previous, new = Endpoint(1 + number, zone=number % 4, kind=number // 4 % 2), Endpoint(10_000 + number)
        node.play(
            EndpointsUpdated(EndpointListKind.DELTA, 2, (replace(previous, state=EndpointState.GONE), new))
        )

    most = max_counts(examined_workers, change)
    assert most.total() <= 20 + subsetting.MAX_DONOR_GROUPS * (MIN_SUBSET_SIZE + 1), most


@pytest.mark.parametrize("size", [200, 3200])
def test_request_of_a_known_key_costs_no_walk_over_the_fleet(size, examined_workers):
    node = create_node(size)
    for key in range(100, 1100):
        serve_request(node, affinity_key=key)
    assert (
        max_counts(examined_workers, lambda number: serve_request(node, affinity_key=100 + number)).total()
        <= 40
    )


@pytest.mark.parametrize(("dispatchers", "size"), [(200, 200), (3200, 3200), (200, 3200)])
def test_request_of_a_new_key_hashes_a_subset_once(dispatchers, size, examined_workers):
    node = create_node(size, dispatchers=dispatchers)
    for key in range(100, 1100):
        serve_request(node, affinity_key=key)
    most = max_counts(examined_workers, lambda number: serve_request(node, affinity_key=2000 + number))
    assert most["stable_hashes_up_to"] <= AFFINITY_SUBSET_SIZE * 1.1
    assert (most - Counter(stable_hashes_up_to=size)).total() <= 40, most


@pytest.mark.parametrize("has_affinity", [False, True])
def test_request_without_a_key_considers_a_bounded_number_of_workers(has_affinity, examined_workers):
    """This holds also if a single dispatcher uses the whole fleet."""
    node = create_node(3200, dispatchers=1, has_affinity=has_affinity)
    assert max_counts(examined_workers, lambda _number: serve_request(node)).total() <= 3 * MAX_CANDIDATES


def test_frequent_key_considers_a_bounded_number_of_its_homes(examined_workers):
    node = create_node(3200, dispatchers=1)
    assert (
        max_counts(examined_workers, lambda _number: serve_request(node, affinity_key=1)).total()
        <= 6 * MAX_CANDIDATES
    )


@pytest.mark.parametrize("size", [200, 3200])
def test_waiting_requests_cost_no_walk_over_the_fleet(size, examined_workers):
    """Each turn searched all workers for the next time to wake up and for silent workers."""
    node = create_node(size)
    for key in range(100, 1100):
        serve_request(node, affinity_key=key)
    busy, _ = node.arrive(affinity_key=7)
    for worker in node.dispatcher._fleet.key_orders.first_workers(7, 20)[0]:
        worker.full_until = 1e9
    waiting = [node.arrive(affinity_key=7)[0] for _ in range(4)]
    assert busy in node.dispatcher.requests
    assert waiting[-1] in node.dispatcher.requests

    def wake(number):
        node.play(at=100.0 + number)

    assert max_counts(examined_workers, wake).total() <= 40 * len(waiting)


# Subsets.


@pytest.mark.parametrize("has_affinity", [False, True])
def test_one_change_of_a_worker_changes_one_place_in_few_subsets(has_affinity):
    """Each change shifted the subset of every dispatcher: 692 connections were opened again within 30 s."""
    size, dispatchers = 400, 400
    if has_affinity:
        size, dispatchers = 1600, 16
    nodes = [
        create_node(size, own_index, dispatchers, has_affinity)
        for own_index in range(0, dispatchers, max(1, dispatchers // 100))
    ]
    rng = random.Random(1)
    entries = {entry.worker: entry for entry in endpoints_of(size)}
    for number in range(20):
        before = [subset_numbers(node) for node in nodes]
        gone = entries.pop(rng.choice(sorted(entries)))
        new = replace(gone, worker=10_000 + number)
        entries[new.worker] = new
        for updates in ((replace(gone, state=EndpointState.GONE),), (new,)):
            for node in nodes:
                node.play(EndpointsUpdated(EndpointListKind.DELTA, 2, updates))
            after = [subset_numbers(node) for node in nodes]
            changed = [previous ^ now for previous, now in zip(before, after, strict=True) if previous != now]
            moved = set().union(*changed)
            own = {gone.worker, new.worker}
            assert moved <= own if has_affinity else len(moved - own) <= 1, (
                "the worker itself, and at most one other to keep sizes equal"
            )
            assert all(len(change - own) <= 1 for change in changed)
            before = after
    assert set().union(*before) <= set(entries)


def test_small_subsets_stay_even_and_cover_the_fleet_through_changes():
    size, rng = 120, random.Random(2)
    nodes = [create_node(size, own_index, size, has_affinity=False) for own_index in range(size)]
    entries = {entry.worker: entry for entry in endpoints_of(size)}
    for number in range(60):
        updates = []
        for _ in range(2):
            gone = entries.pop(rng.choice(sorted(entries)))
            updates.append(replace(gone, state=EndpointState.GONE))
        if number % 4:
            updates += [replace(gone, worker=1000 + 2 * number + more) for more in range(2)]
        entries.update((entry.worker, entry) for entry in updates if entry.state == EndpointState.READY)
        for node in nodes:
            node.play(EndpointsUpdated(EndpointListKind.DELTA, 2, tuple(updates)))
        sizes = Counter(len(subset_numbers(node)) for node in nodes)
        assert max(sizes) - min(sizes) <= 1, sizes
        dispatchers_per_worker = Counter(worker for node in nodes for worker in subset_numbers(node))
        assert set(dispatchers_per_worker) == set(entries)
        assert min(dispatchers_per_worker.values()) >= DISPATCHERS_PER_WORKER
        assert max(dispatchers_per_worker.values()) <= 2 * DISPATCHERS_PER_WORKER
    assert min(sizes) >= MIN_SUBSET_SIZE - 1


def test_small_subsets_keep_a_mix_of_zones_and_kinds():
    size, rng = 160, random.Random(3)
    nodes = [create_node(size, own_index, size, has_affinity=False) for own_index in range(0, size, 4)]
    entries = {entry.worker: entry for entry in endpoints_of(size)}
    for number in range(80):
        gone = entries.pop(rng.choice(sorted(entries)))
        new = replace(gone, worker=1000 + number)
        entries[new.worker] = new
        for node in nodes:
            node.play(
                EndpointsUpdated(EndpointListKind.DELTA, 2, (replace(gone, state=EndpointState.GONE), new))
            )
    zones = [Counter(worker.entry.zone for worker in node.dispatcher.subset) for node in nodes]
    assert sum(max(each.values()) <= 2 for each in zones) >= 0.8 * len(zones)


@pytest.mark.parametrize(("dispatchers", "size"), [(200, 3200), (3200, 3200)])
def test_large_subsets_cover_the_fleet_evenly_by_zone_and_kind(dispatchers, size):
    groups = create_node(size, 0, dispatchers).dispatcher.group_count
    group_of = {
        own_index: subsetting.group_of_dispatcher(own_index, dispatchers, groups, True)
        for own_index in range(dispatchers)
    }
    dispatchers_per_worker = Counter(group_of.values())
    assert max(dispatchers_per_worker.values()) - min(dispatchers_per_worker.values()) <= 3
    one_of_each = {group: own_index for own_index, group in group_of.items()}
    nodes = [create_node(size, own_index, dispatchers) for own_index in one_of_each.values()]
    assert sorted(worker for node in nodes for worker in subset_numbers(node)) == list(range(1, size + 1))
    for node in nodes:
        subset = node.dispatcher.subset
        assert 0.9 * size / groups <= len(subset) <= 1.1 * size / groups
        parts = Counter((worker.entry.zone, worker.entry.kind) for worker in subset)
        even = len(subset) / 8
        assert len(parts) == 8
        assert 0.67 * even <= min(parts.values()) <= max(parts.values()) <= 1.5 * even


@pytest.mark.parametrize("zones", [3, 4, 5])
def test_dispatchers_of_one_zone_serve_every_group_of_a_large_fleet(zones):
    """If all dispatchers of a group were in one zone, the loss of the zone would leave the group idle."""
    groups = create_node(3200, 0, 200).dispatcher.group_count
    seen = {
        subsetting.group_of_dispatcher(own_index, 200, groups, has_affinity=True)
        for own_index in range(0, 200, zones)
    }
    assert groups > 1
    assert seen == set(range(groups))


@pytest.mark.parametrize(("dispatchers", "size"), [(4, 12), (200, 200), (40, 60), (200, 400), (3, 3200)])
def test_small_fleet_or_few_dispatchers_with_affinity_use_one_group(dispatchers, size):
    assert len(subset_numbers(create_node(size, 0, dispatchers))) == size


def test_large_fleet_of_varying_size_is_not_repartitioned():
    """A change of the number of groups changes all homes of keys."""
    node = create_node(3200, 0, 3200)
    groups = node.dispatcher.group_count
    entries = endpoints_of(3200)
    for removed_count in (600, 1200):
        node.play(EndpointsUpdated(EndpointListKind.FULL, 2, tuple(entries[removed_count:])))
        assert node.dispatcher.group_count == groups
        node.play(EndpointsUpdated(EndpointListKind.FULL, 3, tuple(entries)))
    assert node.dispatcher.group_count == groups


# Homes of keys.


def test_all_dispatchers_of_a_group_find_the_same_homes_after_any_history():
    long_running, rng = create_node(3200, 0, 3200), random.Random(4)
    entries = {entry.worker: entry for entry in endpoints_of(3200)}
    for number in range(300):
        gone = entries.pop(rng.choice(sorted(entries)))
        new = replace(gone, worker=10_000 + number)
        entries[new.worker] = new
        long_running.play(
            EndpointsUpdated(EndpointListKind.DELTA, 2, (replace(gone, state=EndpointState.GONE), new))
        )
        serve_request(long_running, affinity_key=rng.randrange(1, 400))
    new_dispatcher = create_node(3200, 0, 3200, entries=list(entries.values()))
    assert subset_numbers(long_running) == subset_numbers(new_dispatcher)
    for key in range(1, 400):
        homes = [
            node.dispatcher._fleet.key_orders.first_workers(key, 4)[0][:4]
            for node in (long_running, new_dispatcher)
        ]
        assert [w.entry.worker for w in homes[0]] == [w.entry.worker for w in homes[1]]


def test_key_order_updated_by_changes_equals_one_computed_anew():
    rng, orders = random.Random(5), KeyOrders()
    workers = {number: Worker(Endpoint(number)) for number in range(1, 60)}
    orders.reset(workers.values())
    for number in range(100, 100 + 8 * MIN_CHANGES_KEPT):
        if rng.random() < 0.5 and len(workers) > 5:
            orders.remove(workers.pop(rng.choice(sorted(workers))))
        else:
            workers[number] = Worker(Endpoint(number))
            orders.add(workers[number])
        key, count = rng.choice([7, 8, 9, rng.randrange(10, 200)]), rng.choice([2, 2, 5, 30])
        if rng.random() < 0.3:  # the order of a rarely used key has missed many changes
            found, is_whole = orders.first_workers(key, count)
            wanted = sorted(workers, key=lambda worker: stable_hash(key, worker))
            numbers = [worker.entry.worker for worker in found]
            assert numbers == wanted[: len(numbers)]
            assert len(numbers) >= count or is_whole
            assert not is_whole or len(numbers) == len(wanted)


@pytest.mark.parametrize("has_affinity", [0, 5])
def test_retry_bound_to_workers_outside_the_subset_finds_one(has_affinity):
    """The subset of a dispatcher may contain no other worker of a cell."""
    cellular = replace(KEYED, scope=Scope.CELL, repeat_window_ms=20_000.0)
    entries = [Endpoint(1 + n, zone=n % 4, cell=n // 2) for n in range(3200)]
    node = Node(
        replace(SETTINGS, classes=(SAFE, cellular), dispatcher_count=3200, dispatcher_index=3), workers=0
    )
    node.play(EndpointsUpdated(EndpointListKind.FULL, 1, tuple(entries)))
    for key in (5, 6, 7, 8):
        id_, actions = node.arrive(cls=1, affinity_key=key if has_affinity else 0)
        [first] = sends(actions)
        [again] = sends(node.end(id_, 0, first.worker, Outcome.RESET))
        assert again.request_id == id_
        assert again.worker != first.worker
        assert (again.worker - 1) // 2 == (first.worker - 1) // 2
        node.end(id_, 1, again.worker, Outcome.OK, final=True)
        node.now += 1000.0  # the pause of the workers with a reset is over
