"""Bans keep their age when the wall clock is stepped by seconds or an hour, forward or back."""

import json

import pytest
from support.wall_clock import (
    COLD,
    Machine,
    settled_machine,
    steps,
)

from eiderfield.interface import EndpointState


@pytest.fixture
def machine():
    return settled_machine()


@steps
def test_unbanned_worker_after_step_during_ban_is_in_slow_start(machine, step):
    """The worker is restarted during its ban, and discovery has not announced that when the ban is lifted."""
    machine.tell(("w", machine.wall()))
    machine.dispatcher.advance(500.0)
    machine.dispatcher.table.ban("w")
    machine.dispatcher.advance(500.0)
    machine.wall.step(step)
    machine.pass_time(COLD)
    machine.dispatcher.table.unban("w")
    assert machine.started("w") == 0.0
    machine.dispatcher.advance(1000.0)
    machine.tell(("w", machine.wall() - 1500.0))
    assert machine.started("w") == pytest.approx(1500.0), "the announced start is not used"


@steps
def test_stored_ban_after_step_between_processes_is_later_than_worker_start(tmp_path, step):
    first = Machine(bans=tmp_path / "bans.json")
    started = first.wall()
    first.tell(("w", started), snapshot=True)
    first.dispatcher.advance(1000.0)
    assert first.dispatcher.table.ban("w")
    stored = json.loads((tmp_path / "bans.json").read_text())
    assert stored == {"banned": {"w": started + 1000.0}}, "the file does not hold Unix time"
    second = Machine(bans=tmp_path / "bans.json", start=77e9)
    second.wall.step(step)
    second.tell(("w", started), snapshot=True)
    endpoint_state = second.dispatcher.exchange.endpoints.states[second.dispatcher.ids.worker("w")]
    assert endpoint_state == EndpointState.DRAINING
    second.dispatcher.table.unban("w")
    assert second.started("w") == 0.0
