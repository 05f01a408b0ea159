"""The timing wheel, compared with a list of times."""

import gc
import weakref
from functools import partial

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from eiderfield.net.wheel import (
    MAX_DEFERRABLE_TIMERS_PER_TURN,
    MAX_TIMERS_PER_TURN,
    SLOTS_PER_LEVEL,
    TICK_MS,
    Wheel,
)

SPANS = [
    SLOTS_PER_LEVEL * TICK_MS,
    SLOTS_PER_LEVEL**2 * TICK_MS,
    SLOTS_PER_LEVEL**3 * TICK_MS,
]  # what each level reaches, in ms
TIMES = st.one_of(*[st.floats(-50.0, 3.0 * span) for span in SPANS])
STEP = st.one_of(
    st.tuples(st.just("call_at"), TIMES),
    st.tuples(st.just("deferrable"), TIMES),
    st.tuples(st.just("cancel"), st.integers(0, 30)),
    st.tuples(st.just("advance"), st.one_of(*[st.floats(0.0, 1.5 * span) for span in SPANS])),
)


@settings(derandomize=True, max_examples=300, deadline=None, database=None)
@given(st.lists(STEP, max_size=40))
def test_advance_after_random_steps_calls_each_timer_once_and_never_early(steps):
    now = 1e9
    wheel, fired, wanted, timers = Wheel(now), [], {}, []
    for what, value in steps:
        if what in ("call_at", "deferrable"):
            number = len(timers)
            wanted[number] = now + max(0.0, value)
            timers.append(
                wheel.call_at(now + value, partial(fired.append, number), deferrable=what == "deferrable")
            )
        elif what == "cancel" and value < len(timers):
            timers[value].cancel()
            wanted.pop(value, None)
        elif what == "advance":
            now += value
            wheel.advance(now)
            assert len(fired) == len(set(fired))
            for number in fired:
                assert wanted.pop(number) <= now  # a cancelled one would be missing here
            fired.clear()
            # What is left is due later, or within the tick in which it was asked for.
            assert all(timers[number].tick * TICK_MS > now - TICK_MS for number in wanted)
            assert all(at > now - 2 * TICK_MS for at in wanted.values())
        if wanted:
            assert wheel.next_wakeup() <= min(wanted.values()) + 2 * TICK_MS
        else:
            assert wheel.next_wakeup() == float("inf"), "nothing wakes a program at rest"


def test_advance_with_timers_of_all_levels_calls_them_in_order():
    wheel, seen = Wheel(0.0), []
    for at in (
        SPANS[1] * 2 + 9 * TICK_MS,
        7 * TICK_MS,
        SPANS[0] + TICK_MS,
        SPANS[2] + 1.0,
        SPANS[1] + 5 * TICK_MS,
    ):
        wheel.call_at(at, lambda at=at: seen.append(at))
    wheel.advance(SPANS[2] * 2)
    assert seen == sorted(seen)
    assert len(seen) == 5


def test_advance_with_a_failing_timer_calls_the_others():
    failed, seen = [], []
    wheel = Wheel(0.0, on_error=failed.append)
    wheel.call_at(4.0, lambda: 1 / 0)
    wheel.call_at(4.0, lambda: seen.append(1))
    wheel.advance(4.0)
    assert seen
    assert isinstance(failed[0], ZeroDivisionError)


def test_timer_scheduled_by_a_timer_is_called_at_a_later_tick():
    wheel, seen = Wheel(0.0), []
    wheel.call_at(4.0, lambda: wheel.call_at(0.0, lambda: seen.append(1)))
    wheel.advance(4.0)
    assert not seen
    wheel.advance(8.0)
    assert seen


def test_advance_with_many_patient_timers_calls_a_bounded_number_after_all_others():
    """10,000 connections that time out in one tick must not delay the response to a request of that tick."""
    wheel, idle, jobs = Wheel(0.0), [], []
    for number in range(10_000):
        wheel.call_at(1000.0, lambda number=number: idle.append(number), deferrable=True)
    wheel.call_at(1000.0, lambda: jobs.append(1))
    wheel.advance(1000.0)
    turns = 1
    while wheel.next_wakeup() <= 1000.0:
        assert jobs or not idle, "the job comes first"
        before = len(idle)
        wheel.advance(1000.0)
        turns += 1
        assert len(idle) - before <= MAX_DEFERRABLE_TIMERS_PER_TURN
    assert idle == list(range(10_000))
    assert turns <= 10_000 / MAX_DEFERRABLE_TIMERS_PER_TURN + 10_000 / MAX_TIMERS_PER_TURN + 2


def test_timer_due_while_patient_timers_wait_is_called_before_them():
    wheel, idle, seen = Wheel(0.0), [], []
    for _ in range(1000):
        wheel.call_at(4.0, lambda: idle.append(1), deferrable=True)
    wheel.call_at(8.0, lambda: seen.append(len(idle)))
    wheel.advance(4.0)
    wheel.advance(8.0)
    assert seen == [MAX_DEFERRABLE_TIMERS_PER_TURN]


@pytest.mark.parametrize("ahead", [100.0, 300_000.0, 3_600_000.0])
def test_cancelled_timer_is_freed_at_once(ahead):
    """A timer of 300 s is scheduled with every message: a busy client would keep thousands."""
    wheel = Wheel(0.0)

    class Call:
        def __call__(self):
            pass

    call = Call()
    seen = weakref.ref(call)
    timer = wheel.call_at(ahead, call)
    del call
    timer.cancel()
    gc.collect()
    assert seen() is None
    assert wheel.next_wakeup() == float("inf")


def test_advance_over_a_long_time_calls_all_timers_and_skips_empty_ticks():
    wheel, seen = Wheel(0.0), []
    for at in (10.0, SPANS[0] * 3, SPANS[1] * 7, SPANS[2] * 4):
        wheel.call_at(at, lambda at=at: seen.append(at))
    steps = 0
    real = wheel._enter_tick

    def counted():
        nonlocal steps
        steps += 1
        real()

    wheel._enter_tick = counted
    wheel.advance(SPANS[2] * 5)
    assert len(seen) == 4
    assert steps < 30
    wheel.advance(SPANS[2])  # back in time: nothing happens, and what is new is not early
    timer = wheel.call_at(SPANS[2], lambda: seen.append(0))
    assert timer.tick * TICK_MS > SPANS[2] * 5
    assert len(seen) == 4
