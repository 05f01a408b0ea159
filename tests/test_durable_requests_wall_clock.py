"""Steps of the wall clock and reboots change no lease and no deadline."""

from __future__ import annotations

import json
import time

import pytest
from support.durable_members import LEASE, apply_one, attempt_record, record

from eiderfield.durable_requests.messages import (
    Accept,
    Claim,
)
from eiderfield.machine import unix_offset


@pytest.mark.parametrize("step", [5.0, 3600.0, -5.0, -3600.0])
def test_wall_clock_step_changes_no_lease_and_no_deadline(step, host_with_two, monkeypatch):
    host, a, b = host_with_two
    apply_one(a, Accept(record("j", deadline=host.now + 60_000.0)))
    real = time.time
    monkeypatch.setattr(time, "time", lambda: real() + step)
    host.live(2.0 * LEASE, a, b)
    assert (a.incarnation_name, b.incarnation_name) == ("a.1", "b.1")
    assert a.holds_lease(host.now)
    host.outlive(b)
    assert [(each.id, each.deadline) for each in b.take_over()] == [("j", 61_000.0)]


@pytest.mark.parametrize("step", [5.0, 3600.0, -5.0, -3600.0])
def test_deadlines_survive_a_wall_clock_step_before_a_reboot(step, host_with_two, monkeypatch):
    """After a reboot, only the wall clock relates the monotonic clocks of the two boots."""
    host, a, b = host_with_two
    apply_one(a, Accept(record("j", at=host.now, deadline=host.now + 60_000.0)))
    real = time.time
    monkeypatch.setattr(time, "time", lambda: real() + step)
    host.live(2.0 * host.settings.tick_interval_ms, a, b)
    member_file = host.settings.folder / "members" / "a.1"
    info = json.loads(member_file.read_text())
    member_file.write_text(json.dumps({**info, "boot": "before"}))
    b.folder.incarnations.offset = unix_offset()
    host.outlive(b)
    [found] = b.take_over()
    assert found.deadline == pytest.approx(61_000.0, abs=50.0)
    assert found.accepted_at == pytest.approx(1000.0, abs=50.0)


def test_wall_clock_step_during_a_reboot_gives_no_request_more_time(host_with_two):
    host, a, b = host_with_two
    apply_one(a, Accept(record("j", at=host.now, deadline=host.now + 60_000.0)))
    apply_one(a, Claim("j", attempt_record(at=host.now)))
    member_file = host.settings.folder / "members" / "a.1"
    info = json.loads(member_file.read_text())
    member_file.write_text(json.dumps({**info, "boot": "before", "offset": info["offset"] + 3_600_000.0}))
    host.outlive(b)
    [found] = b.take_over()
    assert found.deadline <= host.now + 60_000.0
    assert found.accepted_at <= host.now
    assert found.attempts[0].sent_at <= host.now


def test_monotonic_times_of_an_earlier_boot_are_converted_to_the_current_boot(host):
    a, b = host.member("a"), host.member("b")
    apply_one(a, Accept(record(deadline=50_000.0, at=host.now)))
    apply_one(a, Claim("j", attempt_record(at=host.now)))
    member_file = host.settings.folder / "members" / "a.1"
    info = json.loads(member_file.read_text())
    member_file.write_text(json.dumps({**info, "boot": "another", "offset": info["offset"] + 2000.0}))
    host.outlive(b)
    [found] = b.take_over()
    assert found.deadline == pytest.approx(52_000.0, abs=1.0)
    assert found.attempts[0].sent_at == pytest.approx(3000.0, abs=1.0)
