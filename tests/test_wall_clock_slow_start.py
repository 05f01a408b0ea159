"""Slow start keeps its age when the wall clock is stepped by seconds or an hour, forward or back."""

import pytest
from support.consul import Consul, instance
from support.wall_clock import COLD, HOUR, SECONDS, Machine, Wall, settled_machine, steps

from eiderfield.net.clock import WallClock
from eiderfield.net.start_times import MAX_ANNOUNCEMENT_DELAY_MS, StartTimes


@pytest.fixture
def machine():
    return settled_machine()


@steps
def test_a_step_in_the_middle_of_slow_start_changes_nothing_of_it(machine, step):
    since = machine.wall()
    machine.tell(("new", since))
    machine.dispatcher.advance(2000.0)
    machine.wall.step(step)
    machine.dispatcher.advance(1000.0)
    machine.beat()
    machine.tell(("new", since), ("old", 0))
    assert machine.started("new") == 3000.0
    assert machine.started("old") is None


@steps
def test_a_start_after_a_step_is_as_old_as_it_is(machine, step):
    machine.wall.step(step)
    machine.dispatcher.advance(1000.0)
    since = machine.wall()
    machine.dispatcher.advance(400.0)
    machine.tell(("new", since))
    assert machine.started("new") == pytest.approx(400.0)


@steps
def test_a_start_before_a_step_that_is_announced_after_it_is_as_old_as_it_is(machine, step):
    since = machine.wall()
    machine.dispatcher.advance(500.0)
    machine.wall.step(step)
    machine.dispatcher.advance(500.0)
    machine.tell(("new", since))
    assert machine.started("new") == pytest.approx(1000.0)


@pytest.mark.parametrize("ahead", [SECONDS, HOUR])
def test_an_announced_start_that_lies_ahead_is_now(machine, ahead):
    machine.tell(("new", machine.wall() + ahead))
    assert machine.started("new") == 0.0
    machine.pass_time(COLD)
    machine.tell(("new", machine.wall() + ahead - COLD))
    assert machine.started("new") == COLD, "the same announcement once more"


def test_a_start_that_is_announced_as_new_did_not_happen_an_hour_ago(machine):
    machine.tell(("new", machine.wall() - HOUR), ("old", machine.wall() - HOUR))
    assert machine.started("new") == machine.started("old") == 0.0


def test_a_start_that_is_announced_late_is_as_old_as_it_says(machine):
    """Many dispatchers share a budget by windows from the start: those that hear later must agree on it."""
    machine.tell(("late", machine.wall() - MAX_ANNOUNCEMENT_DELAY_MS))
    assert machine.started("late") == MAX_ANNOUNCEMENT_DELAY_MS


def test_a_start_in_a_silence_of_discovery_is_as_old_as_it_says(machine):
    machine.dispatcher.advance(1000.0)
    since = machine.wall()
    machine.dispatcher.advance(7000.0)
    started = machine.dispatcher.table.start_times.started_at(machine.dispatcher.ids.worker("x"), since)
    assert machine.dispatcher.now - started == 7000.0


@pytest.mark.parametrize("age", [0.0, 3000.0, HOUR])
def test_the_first_list_of_a_process_is_believed(age):
    machine = Machine()
    machine.tell(("w", machine.wall() - age), snapshot=True)
    assert machine.started("w") == age


def test_a_fresh_start_by_a_clock_that_is_a_little_ahead_is_no_older_after_a_step_back(machine):
    machine.wall.step(-SECONDS)
    machine.beat()
    machine.tell(("new", machine.wall() + 3.0))
    assert machine.started("new") == 0.0


def test_an_earlier_relation_of_the_clocks_is_forgotten(machine):
    machine.wall.step(SECONDS)
    machine.beat()
    machine.pass_time(MAX_ANNOUNCEMENT_DELAY_MS)
    machine.tell(("new", machine.wall() - 5500.0))
    assert machine.started("new") == 5500.0


@steps
def test_an_instance_of_consul_in_slow_start_stays_so_over_a_step(step):
    wall, consul = Wall(), Consul()
    dispatcher = consul.dispatcher
    wall.runs_with(dispatcher)
    dispatcher.table.start_times = StartTimes(dispatcher.clock, WallClock(dispatcher.clock, wall))
    consul.answer(7, instance("a", 1))
    dispatcher.advance(100.0)
    since = str(wall())
    consul.answer(8, instance("a", 1), instance("b", 2, since_ms=since), instance("c", 3))
    dispatcher.advance(1000.0)
    wall.step(step)
    consul.answer(9, instance("a", 1), instance("b", 2, since_ms=since), instance("c", 3))
    workers = dispatcher.exchange.dispatcher.workers.values()
    ages = {dispatcher.ids.worker_name(w.entry.worker): dispatcher.now - w.entry.ready_at for w in workers}
    assert ages["n/b"] == pytest.approx(1000.0)
    assert ages["n/c"] == pytest.approx(1000.0)


@pytest.mark.parametrize("off", [-HOUR, HOUR])
def test_an_instance_of_consul_that_is_new_starts_neither_ahead_nor_an_hour_ago(off):
    wall, consul = Wall(), Consul()
    dispatcher = consul.dispatcher
    wall.runs_with(dispatcher)
    dispatcher.table.start_times = StartTimes(dispatcher.clock, WallClock(dispatcher.clock, wall))
    consul.answer(7, instance("a", 1))
    dispatcher.advance(100.0)
    consul.answer(8, instance("a", 1), instance("b", 2, since_ms=str(wall() + off)))
    worker = dispatcher.exchange.dispatcher.workers[dispatcher.ids.worker("n/b")]
    assert worker.entry.ready_at == dispatcher.now
