"""Tests of the timing wheel, including a comparison with a plain table of scheduled times."""

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
]  # the range of each level, in ms
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
    wheel, called, scheduled, timers = Wheel(now), [], {}, []
    for operation, argument in steps:
        if operation in ("call_at", "deferrable"):
            number = len(timers)
            scheduled[number] = now + max(0.0, argument)
            timers.append(
                wheel.call_at(
                    now + argument, partial(called.append, number), deferrable=operation == "deferrable"
                )
            )
        elif operation == "cancel" and argument < len(timers):
            timers[argument].cancel()
            scheduled.pop(argument, None)
        elif operation == "advance":
            now += argument
            wheel.advance(now)
            assert len(called) == len(set(called))
            for number in called:
                assert scheduled.pop(number) <= now  # raises KeyError for a cancelled timer
            called.clear()
            # The remaining timers are due later, or were scheduled within the current tick.
            assert all(timers[number].tick * TICK_MS > now - TICK_MS for number in scheduled)
            assert all(at > now - 2 * TICK_MS for at in scheduled.values())
        if scheduled:
            assert wheel.next_wakeup() <= min(scheduled.values()) + 2 * TICK_MS
        else:
            assert wheel.next_wakeup() == float("inf"), "an idle process must not be woken"


def test_advance_with_timers_of_all_levels_calls_them_in_order():
    wheel, called = Wheel(0.0), []
    for at in (
        SPANS[1] * 2 + 9 * TICK_MS,
        7 * TICK_MS,
        SPANS[0] + TICK_MS,
        SPANS[2] + 1.0,
        SPANS[1] + 5 * TICK_MS,
    ):
        wheel.call_at(at, lambda at=at: called.append(at))
    wheel.advance(SPANS[2] * 2)
    assert called == sorted(called)
    assert len(called) == 5


def test_advance_with_a_failing_timer_calls_the_others():
    errors, called = [], []
    wheel = Wheel(0.0, on_error=errors.append)
    wheel.call_at(4.0, lambda: 1 / 0)
    wheel.call_at(4.0, lambda: called.append(1))
    wheel.advance(4.0)
    assert called
    assert isinstance(errors[0], ZeroDivisionError)


def test_timer_scheduled_by_a_timer_is_called_at_a_later_tick():
    wheel, called = Wheel(0.0), []
    wheel.call_at(4.0, lambda: wheel.call_at(0.0, lambda: called.append(1)))
    wheel.advance(4.0)
    assert not called
    wheel.advance(8.0)
    assert called


def test_advance_with_many_deferrable_timers_calls_a_bounded_number_after_all_others():
    """Guards against delaying a request's timer behind 10,000 connections that time out in the same tick."""
    wheel, idle, requests = Wheel(0.0), [], []
    for number in range(10_000):
        wheel.call_at(1000.0, lambda number=number: idle.append(number), deferrable=True)
    wheel.call_at(1000.0, lambda: requests.append(1))
    wheel.advance(1000.0)
    turns = 1
    while wheel.next_wakeup() <= 1000.0:
        assert requests or not idle, "the timer that is not deferrable must be called first"
        before = len(idle)
        wheel.advance(1000.0)
        turns += 1
        assert len(idle) - before <= MAX_DEFERRABLE_TIMERS_PER_TURN
    assert idle == list(range(10_000))
    assert turns <= 10_000 / MAX_DEFERRABLE_TIMERS_PER_TURN + 10_000 / MAX_TIMERS_PER_TURN + 2


def test_timer_due_while_deferrable_timers_wait_is_called_before_them():
    wheel, idle, called = Wheel(0.0), [], []
    for _ in range(1000):
        wheel.call_at(4.0, lambda: idle.append(1), deferrable=True)
    wheel.call_at(8.0, lambda: called.append(len(idle)))
    wheel.advance(4.0)
    wheel.advance(8.0)
    assert called == [MAX_DEFERRABLE_TIMERS_PER_TURN]


@pytest.mark.parametrize("delay", [100.0, 300_000.0, 3_600_000.0])
def test_cancelled_timer_is_freed_at_once(delay):
    """Guards against storing cancelled timers: every message of a client schedules one of 300 s."""
    wheel = Wheel(0.0)

    class Call:
        def __call__(self):
            pass

    call = Call()
    call_reference = weakref.ref(call)
    timer = wheel.call_at(delay, call)
    del call
    timer.cancel()
    gc.collect()
    assert call_reference() is None
    assert wheel.next_wakeup() == float("inf")


def test_advance_over_a_long_time_calls_all_timers_and_skips_empty_ticks():
    wheel, called = Wheel(0.0), []
    for at in (10.0, SPANS[0] * 3, SPANS[1] * 7, SPANS[2] * 4):
        wheel.call_at(at, lambda at=at: called.append(at))
    steps = 0
    enter_tick = wheel._enter_tick

    def counted():
        nonlocal steps
        steps += 1
        enter_tick()

    wheel._enter_tick = counted
    wheel.advance(SPANS[2] * 5)
    assert len(called) == 4
    assert steps < 30
    wheel.advance(SPANS[2])  # an earlier time calls nothing, and new timers are not called early
    timer = wheel.call_at(SPANS[2], lambda: called.append(0))
    assert timer.tick * TICK_MS > SPANS[2] * 5
    assert len(called) == 4
