"""What the next process of a dispatcher knows of Consul when it reads its first list."""

import pytest
from support.consul import Consul, instance
from support.handover import Pair

from eiderfield.net.discovery.consul import MAX_KEPT_MS


@pytest.fixture
def pair():
    pair = Pair()
    yield pair
    pair.close()


def hand_over(pair, *lists):
    """Let the old process read lists, given by index and instances; return the next process's Consul."""
    old = Consul(dispatcher=pair.old.dispatcher)
    for index, *instances in lists:
        old.answer(index, *instances)
        pair.old.dispatcher.advance(1100.0)
    pair.go()
    assert pair.new.done
    return Consul(dispatcher=pair.new.dispatcher)


FLEET = [instance(name, number) for number, name in enumerate("abc", 1)]


# Regression: the next process set its first list aside for 10 s, since its connection was new (review/3).
@pytest.mark.parametrize("left", [0, 1])
def test_first_list_of_the_next_process_is_applied_as_a_whole(pair, left):
    consul = hand_over(pair, (7, *FLEET))
    consul.answer(8, *FLEET[:left])
    assert len(consul.states()) == left


# Regression: the next process did not know the index of the source, and an empty list took all workers away.
def test_empty_list_of_restarted_consul_removes_no_worker_at_the_next_process(pair):
    consul = hand_over(pair, (7, *FLEET))
    consul.answer(2)
    assert len(consul.states()) == 3
    consul.dispatcher.advance(MAX_KEPT_MS + 50.0)
    assert not consul.states()


# Regression: the next process kept workers for a further 10 s, or without end if Consul was silent.
def test_time_limit_of_kept_workers_includes_the_time_at_the_previous_process(pair):
    consul = hand_over(pair, (7, *FLEET), (2,))
    kept_since = consul.dispatcher.table.kept_since
    assert kept_since is not None
    consul.pipe.break_off()
    consul.dispatcher.advance(kept_since + MAX_KEPT_MS - 50.0 - consul.dispatcher.now)
    assert len(consul.states()) == 3
    consul.dispatcher.advance(100.0)
    assert not consul.states()


# Regression: the next process took a worker that had just started for one that had run for long.
def test_start_of_worker_is_kept_by_the_next_process(pair):
    consul = hand_over(pair, (7, *FLEET[:2]), (8, *FLEET))
    handed_over = [worker.entry.ready_at for worker in consul.dispatcher.exchange.dispatcher.workers.values()]
    consul.answer(9, *FLEET)
    workers = consul.dispatcher.exchange.dispatcher.workers.values()
    assert [worker.entry.ready_at for worker in workers] == handed_over
    assert sum(at > 0.0 for at in handed_over) == 1
