"""Steps of the wall clock, by seconds or an hour, forward or back, do not change the age of slow start."""

import pytest
from support.consul import Consul, instance
from support.wall_clock import COLD, HOUR, SECONDS, Machine, Wall, settled_machine, steps

from eiderfield.net.clock import WallClock
from eiderfield.net.start_times import MAX_ANNOUNCEMENT_DELAY_MS, StartTimes


@pytest.fixture
def machine():
    return settled_machine()


@steps
def test_step_during_slow_start_keeps_worker_age(machine, step):
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
def test_start_after_step_has_its_true_age(machine, step):
    machine.wall.step(step)
    machine.dispatcher.advance(1000.0)
    since = machine.wall()
    machine.dispatcher.advance(400.0)
    machine.tell(("new", since))
    assert machine.started("new") == pytest.approx(400.0)


@steps
def test_start_before_step_and_announced_after_it_has_its_true_age(machine, step):
    since = machine.wall()
    machine.dispatcher.advance(500.0)
    machine.wall.step(step)
    machine.dispatcher.advance(500.0)
    machine.tell(("new", since))
    assert machine.started("new") == pytest.approx(1000.0)


@pytest.mark.parametrize("ahead", [SECONDS, HOUR])
def test_future_start_counts_as_now_when_first_announced(machine, ahead):
    machine.tell(("new", machine.wall() + ahead))
    assert machine.started("new") == 0.0
    machine.pass_time(COLD)
    machine.tell(("new", machine.wall() + ahead - COLD))
    assert machine.started("new") == COLD, "a repeated announcement changed the age"


def test_implausibly_old_start_of_new_worker_counts_as_now(machine):
    machine.tell(("new", machine.wall() - HOUR), ("old", machine.wall() - HOUR))
    assert machine.started("new") == machine.started("old") == 0.0


def test_start_announced_late_has_its_announced_age(machine):
    """The dispatchers share a slow start budget by time windows from the start, which all must agree on."""
    machine.tell(("late", machine.wall() - MAX_ANNOUNCEMENT_DELAY_MS))
    assert machine.started("late") == MAX_ANNOUNCEMENT_DELAY_MS


def test_start_during_silence_of_source_has_its_announced_age(machine):
    machine.dispatcher.advance(1000.0)
    since = machine.wall()
    machine.dispatcher.advance(7000.0)
    started = machine.dispatcher.table.start_times.started_at(machine.dispatcher.ids.worker("x"), since)
    assert machine.dispatcher.now - started == 7000.0


@pytest.mark.parametrize("age", [0.0, 3000.0, HOUR])
def test_starts_in_first_list_have_their_announced_ages(age):
    machine = Machine()
    machine.tell(("w", machine.wall() - age), snapshot=True)
    assert machine.started("w") == age


def test_start_by_slightly_fast_clock_after_step_back_counts_as_now(machine):
    machine.wall.step(-SECONDS)
    machine.beat()
    machine.tell(("new", machine.wall() + 3.0))
    assert machine.started("new") == 0.0


def test_earlier_clock_offset_expires(machine):
    machine.wall.step(SECONDS)
    machine.beat()
    machine.pass_time(MAX_ANNOUNCEMENT_DELAY_MS)
    machine.tell(("new", machine.wall() - 5500.0))
    assert machine.started("new") == 5500.0


@steps
def test_step_during_slow_start_of_consul_instance_keeps_its_age(step):
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


@pytest.mark.parametrize("error", [-HOUR, HOUR])
def test_implausible_start_of_new_consul_instance_counts_as_now(error):
    wall, consul = Wall(), Consul()
    dispatcher = consul.dispatcher
    wall.runs_with(dispatcher)
    dispatcher.table.start_times = StartTimes(dispatcher.clock, WallClock(dispatcher.clock, wall))
    consul.answer(7, instance("a", 1))
    dispatcher.advance(100.0)
    consul.answer(8, instance("a", 1), instance("b", 2, since_ms=str(wall() + error)))
    worker = dispatcher.exchange.dispatcher.workers[dispatcher.ids.worker("n/b")]
    assert worker.entry.ready_at == dispatcher.now
