"""The phases and actions of a rolling change, on a clock that the tests drive."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from support.rollout import MEMBERS, NAMES, PLAN, WATCH, SimulatedRollout, never

from eiderfield.rollout.actions import ApplySettings, StartProcess, StopProcess, Version
from eiderfield.rollout.operator_command import OperatorCommand
from eiderfield.rollout.reconciler import STOP_TIMEOUT, ProcessStatus, Reconciler
from eiderfield.rollout.state import FINAL_PHASES, Phase


def is_in(phase, stage=None):
    """Return a condition: the change is in a phase, and in a stage if one is given."""
    return lambda machine: machine.state.phase is phase and stage in (None, machine.state.stage)


def test_good_change_ends_with_all_members_new_one_at_a_time():
    rollout = SimulatedRollout()
    assert rollout.run() == "done"
    assert rollout.versions() == {name: ["new"] for name in NAMES}
    assert rollout.most_changing == 1
    assert [action.member for action in rollout.actions if isinstance(action, StartProcess)] == list(NAMES)


def test_worse_change_is_undone_in_its_first_stage():
    rollout = SimulatedRollout()
    rollout.share_in_time[Version.NEW] = 0.7
    assert rollout.run() == "undone"
    assert "class a" in rollout.machine.state.reason
    assert rollout.versions() == {name: ["old"] for name in NAMES}
    assert {action.member for action in rollout.actions} == {"n0"}


def test_process_that_never_gets_ready_is_stopped_and_the_old_one_serves_on():
    rollout = SimulatedRollout()
    rollout.never_ready.add(Version.NEW)
    assert rollout.run() == "undone"
    assert "not ready" in rollout.machine.state.reason
    stops = [action for action in rollout.actions if isinstance(action, StopProcess)]
    assert rollout.versions()["n0"] == ["old"]
    assert len(stops) == 1


def test_process_that_ends_at_its_start_is_a_fault():
    rollout = SimulatedRollout()
    rollout.dying_at_start.add("n0")
    assert rollout.run() == "undone"
    assert "ended at once" in rollout.machine.state.reason


def test_new_process_that_is_gone_later_undoes_the_change_at_once():
    rollout = SimulatedRollout()
    rollout.run(until=is_in(Phase.WATCHING, stage=1))
    rollout.processes["n1"].clear()
    assert rollout.run() == "undone"
    assert "n1 is gone" in rollout.machine.state.reason
    assert rollout.versions() == {name: ["old"] for name in NAMES}


def test_process_that_does_not_stop_in_time_is_killed():
    rollout = SimulatedRollout()
    rollout.ignoring_stop.add(rollout.processes["n0"][0].pid)
    assert rollout.run() == "done"
    kills = [action for action in rollout.actions if isinstance(action, StopProcess) and action.kill]
    assert [action.member for action in kills] == ["n0"]
    assert rollout.now > STOP_TIMEOUT


def test_fleet_that_is_not_ready_is_refused_and_the_members_are_named():
    rollout = SimulatedRollout()
    rollout.processes["n2"].clear()
    assert rollout.run() == "refused"
    assert "n2" in rollout.machine.state.reason
    assert not rollout.actions


def test_member_that_cannot_be_brought_back_is_named():
    rollout = SimulatedRollout()
    rollout.run(until=is_in(Phase.WATCHING))
    rollout.outage_allowed = True  # a process that does not get ready is stopped before the next attempt
    rollout.never_ready.add(Version.OLD)
    rollout.processes["n0"].clear()
    assert rollout.run() == "stuck"
    assert set(rollout.machine.state.unreachable) == {"n0"}
    rollout.never_ready.clear()
    assert rollout.machine.apply_command(OperatorCommand.UNDO) == ""
    assert rollout.run() == "undone"
    assert rollout.versions()["n0"] == ["old"]


def test_paused_change_begins_nothing_and_a_fault_still_undoes_it():
    rollout = SimulatedRollout()
    rollout.run(until=is_in(Phase.WATCHING))
    assert rollout.machine.apply_command(OperatorCommand.PAUSE) == ""
    actions = list(rollout.actions)
    rollout.run(100)
    assert rollout.machine.state.phase == "watching"
    assert rollout.actions == actions
    rollout.processes["n0"].clear()
    assert rollout.run() == "undone"


def test_undo_may_be_undone():
    rollout = SimulatedRollout()
    rollout.run(until=is_in(Phase.WATCHING, stage=1))
    rollout.machine.apply_command(OperatorCommand.UNDO)
    rollout.poll()
    assert rollout.machine.state.phase == "undoing"
    assert rollout.machine.apply_command(OperatorCommand.RESUME) == ""
    assert rollout.run() == "done"
    assert rollout.versions() == {name: ["new"] for name in NAMES}


def test_next_controller_counts_members_that_the_lost_one_was_changing():
    rollout = SimulatedRollout(replace(PLAN, max_concurrent=2))
    rollout.run(until=is_in(Phase.MOVING, stage=2))
    rollout.machine.apply_command(OperatorCommand.UNDO)
    rollout.poll()
    changing = [name for name, processes in rollout.processes.items() if len(processes) > 1]
    assert len(changing) == 2
    rollout.replace_controller()
    assert rollout.run() == "undone"
    assert rollout.most_changing == 2


def test_next_controller_brings_forward_again_what_an_undo_had_brought_back():
    rollout = SimulatedRollout()
    rollout.run(until=is_in(Phase.WATCHING, stage=1))
    rollout.machine.apply_command(OperatorCommand.UNDO)
    rollout.run(until=lambda _machine: rollout.versions()["n0"] == ["old"])
    rollout.machine.apply_command(OperatorCommand.RESUME)
    rollout.replace_controller()
    assert rollout.run() == "done"
    assert rollout.versions() == {name: ["new"] for name in NAMES}


def test_held_stage_waits_for_a_command():
    rollout = SimulatedRollout(replace(PLAN, watch=replace(WATCH, max_duration=3.0)))
    rollout.share_in_time = {Version.OLD: 0.95, Version.NEW: 0.92}
    assert rollout.run(60, until=is_in(Phase.HELD)) == "held"
    rollout.run(50, until=never)
    assert rollout.machine.state.phase == "held"
    assert rollout.machine.apply_command(OperatorCommand.UNDO) == ""
    assert rollout.run() == "undone"


@settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=150,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(st.data())
def test_change_ends_with_one_version_whatever_fails_and_whoever_leads_it(data):
    """Controllers and processes are lost, and commands come, at random polls; each run ends old or new."""
    rollout = SimulatedRollout(replace(PLAN, max_concurrent=data.draw(st.integers(1, 2))))
    rollout.outage_allowed = True  # a kill may hit the process that was to go on serving
    rollout.share_in_time[Version.NEW] = data.draw(st.sampled_from([0.95, 0.6]))
    for _ in range(data.draw(st.integers(0, 6))):
        rollout.run(data.draw(st.integers(1, 25)), until=never)
        match data.draw(st.sampled_from(["controller", "kill", "undo", "resume", "pause"])):
            case "controller":
                rollout.replace_controller()
            case "kill":
                processes = rollout.processes[data.draw(st.sampled_from(NAMES))]
                if processes and rollout.machine.state.phase not in (Phase.BEFORE, *FINAL_PHASES):
                    processes.pop()
            case command:
                rollout.machine.apply_command(OperatorCommand(command))
    if rollout.machine.state.paused:
        rollout.machine.apply_command(OperatorCommand.RESUME)
    rollout.run(600)
    phase, versions = rollout.machine.state.phase, rollout.versions()
    assert phase in FINAL_PHASES | {"held"}
    assert rollout.most_changing <= 2
    if phase == "done":
        assert all(of_member in (["new"], []) for of_member in versions.values())
    elif phase == "undone":
        assert all("new" not in of_member for of_member in versions.values())


@pytest.mark.parametrize("program", ["new", ""])
def test_settings_that_no_process_loaded_are_put_back(program):
    """The process is old all along, but its next start would load the new settings from its file."""
    plan = replace(PLAN, program=program, settings="s.toml", members=MEMBERS[:1], stages=(("n0",),))
    reconciler = Reconciler(plan)
    reconciler.set_target("n0", Version.OLD)
    status = ProcessStatus(Version.OLD, 7, ("h", 1), True, "", Version.NEW)
    [action] = reconciler.next_actions(1.0, {"n0": [status]}, 3)
    assert action == ApplySettings("n0", Version.OLD, None if program else 7)
    assert not reconciler.has_converged("n0")
    assert reconciler.next_actions(2.0, {"n0": [replace(status, installed_settings=Version.OLD)]}, 3) == []
    assert reconciler.has_converged("n0")
