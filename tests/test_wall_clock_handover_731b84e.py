"""Handover with processes of revision 731b84e.

Their clocks show the Unix time of their start plus the time elapsed since, and do not follow later steps of
the wall clock.
"""

import pytest
from support.golden_messages import recorded
from support.handover import LISTEN
from support.memory_dispatcher import InMemoryDispatcher
from support.wall_clock import HOUR, SECONDS, UNIX, Process, Takeover, Wall, steps

from eiderfield.net.handover.messages import BanChanged, ParkedBatch

STATE_AT = UNIX + 40.0  # reading of the recorded process's clock when it sent its state


def decode_state_of_731b84e(step, elapsed=0.0):
    """Decode the recorded state in a process that starts after a step; return the state and the process."""
    now = 9e9
    process = Process(lambda: STATE_AT + elapsed + step, now)
    return process.codec.decode(recorded("731b84e", "state")[0]), process


@steps
def test_state_of_731b84e_after_step_has_no_future_times(step):
    """A release time in the future would delay the first class for an hour."""
    state, process = decode_state_of_731b84e(step)
    pacer = state.learned.pacers[0]
    assert process.now <= pacer.next_release_at <= process.now + 1000.0 / pacer.rate
    assert state.learned.served_at <= process.now
    assert all(since <= process.now for since in state.bans.values())
    assert all(
        worker.banned_at <= worker.unbanned_at <= process.now for worker in state.table.unbanned_workers
    )


@steps
def test_recent_work_of_731b84e_after_step_keeps_its_age(step):
    state, process = decode_state_of_731b84e(step)
    [(at, _)] = state.learned.recent_work[0].sent
    assert process.now - at == 30.0


@steps
def test_slow_start_of_731b84e_after_step_keeps_its_age(step):
    """After a step forward, the worker would count as started long ago if the step were not detected."""
    process = Process(lambda: STATE_AT + step, 9e9)
    table = process.codec.decode(recorded("731b84e", "state")[0]).table
    dispatcher = InMemoryDispatcher(workers=0, unix=lambda: STATE_AT + step, start=process.now)
    dispatcher.table.take_over(table, {})
    dispatcher.settle()
    worker = dispatcher.exchange.dispatcher.workers[dispatcher.ids.worker("w3")]
    assert process.now - worker.entry.ready_at == 140.0


@pytest.mark.parametrize("step", [-HOUR, -SECONDS])
def test_worker_started_after_step_back_is_in_slow_start_despite_clock_of_731b84e(step):
    unix = STATE_AT + step
    message = recorded("731b84e", "state")[0]
    for endpoint in message["table"]["endpoints"]:
        endpoint["since_ms"] = unix - 100.0
    process = Process(lambda: unix, 9e9)
    dispatcher = InMemoryDispatcher(workers=0, unix=lambda: unix, start=process.now)
    dispatcher.table.take_over(process.codec.decode(message).table, {})
    dispatcher.settle()
    worker = dispatcher.exchange.dispatcher.workers[dispatcher.ids.worker("w3")]
    assert process.now - worker.entry.ready_at == 100.0


def test_state_of_731b84e_without_step_keeps_exact_ages():
    state, process = decode_state_of_731b84e(0.0, elapsed=50.0)
    assert state.learned.served_at == process.now - 50.0
    assert state.table.unbanned_workers[0].unbanned_at == process.now - 50.0


@steps
def test_connections_passed_by_731b84e_after_step_have_ages_within_timeouts(step):
    _, process = decode_state_of_731b84e(step)
    batch = process.codec.decode(recorded("731b84e", "parked")[0])
    idle = {HOUR: 0.0, SECONDS: 1500.0 + SECONDS}.get(step, 1500.0)
    assert process.now - batch.since[0] == idle
    passed = process.codec.decode(recorded("731b84e", "client-begun")[0])
    assert 0.0 <= process.now - passed.since <= 2800.0


@steps
def test_times_sent_to_731b84e_after_step_are_unix_times(step):
    """A process that starts after the step has a clock that agrees with the stepped wall clock."""
    wall = Wall()
    wall.step(step)
    process = Process(wall, 9e9)
    ban = process.codec.encode(BanChanged("w1", process.now - 100.0))
    assert ban["since"] == wall() - 100.0
    parked = process.codec.encode(ParkedBatch(LISTEN, (process.now - 700.0,), (), {}))
    assert parked["since"] == [wall() - 700.0]


@steps
def test_starts_sent_to_731b84e_are_those_that_discovery_announced(step):
    """With other values, discovery's next list would count as a new start of each worker."""
    takeover = Takeover(step)
    takeover.old.dispatcher.advance(500.0)
    takeover.wall.step(step)
    state = takeover.old.dispatcher.table.state()
    assert [endpoint.since_ms for endpoint in state.endpoints] == [takeover.since] * 2
