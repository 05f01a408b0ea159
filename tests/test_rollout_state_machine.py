"""The phases and actions of a rolling change, on a clock that the tests drive."""

from __future__ import annotations

import json
from dataclasses import replace

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from support.rollout import MEMBERS, NAMES, PLAN, WATCH

from eiderfield.rollout.actions import ApplySettings, StartProcess, StopProcess, Version
from eiderfield.rollout.observation import Observation
from eiderfield.rollout.operator_command import OperatorCommand
from eiderfield.rollout.reconciler import STOP_TIMEOUT, ProcessStatus, Reconciler
from eiderfield.rollout.state import FINAL_PHASES, decode_state, encode_state
from eiderfield.rollout.state_machine import RolloutStateMachine


class World:
    """Processes that start, get ready and end as they are told, with a machine that leads them."""

    def __init__(self, plan=PLAN, ready_after=1.0):
        self.plan, self.ready_after = plan, ready_after
        self.now, self._pid = 0.0, 100
        self.processes = {
            m.name: [self._process(m.name, Version.OLD, m.console, -100.0)] for m in plan.members
        }
        self.machine = RolloutStateMachine(plan)
        self.moves, self.changing_most, self.share = [], 0, {Version.OLD: 0.95, Version.NEW: 0.95}
        self.lazy = set()  # pids that do not end when they are told
        self.violation = set()  # sides whose processes never get ready
        self.dead_at_start = set()  # members whose new process ends at once

    def _process(self, name, side, console, born):
        self._pid += 1
        return {"pid": self._pid, "side": side, "console": console, "born": born, "told": None}

    def found(self):
        def one(p):
            ready = p["side"] not in self.violation and self.now - p["born"] >= self.ready_after
            return ProcessStatus(p["side"], p["pid"], p["console"], ready if p.get("seen", True) else None)

        return {name: [one(p) for p in there] for name, there in self.processes.items()}

    def seen(self, found):
        new = self.machine.changed_members(found)
        rows = []
        for name, there in found.items():
            side = Version.NEW if name in new else Version.OLD
            mine = [f for f in there if f.version is side and f.pid not in self.machine.stopping]
            alive = (None if mine[0].ready is None else True) if mine else False
            counts = {"completed": {"a": 100}, "in_time": {"a": round(100 * self.share[side])}}
            rows.append(Observation(name, name in new, alive, bool(mine and mine[0].ready), 100.0, **counts))
        return rows

    def turn(self, span=1.0):
        self.now += span
        for there in self.processes.values():
            there[:] = [
                p for p in there if p["told"] is None or p["pid"] in self.lazy or self.now < p["told"] + 2.0
            ]
        found = self.found()
        for move in self.machine.step(self.now, span, found, self.seen(found)):
            self.moves.append(move)
            if isinstance(move, StartProcess):
                assert all(p["console"] != move.console for p in self.processes[move.member])
                if move.member not in self.dead_at_start:
                    self.processes[move.member].append(
                        self._process(move.member, move.version, move.console, self.now)
                    )
            elif isinstance(move, StopProcess):
                for p in self.processes[move.member]:
                    if p["pid"] == move.pid:
                        p["told"] = self.now
                        if move.kill:
                            self.lazy.discard(p["pid"])
                            p["told"] = -100.0
        changing = sum(len(there) > 1 for there in self.processes.values())
        self.changing_most = max(self.changing_most, changing)
        left = [any(p["told"] is None for p in there) or not there for there in self.processes.values()]
        assert all(left) or self.lose_allowed, "the last process of a member was told to end"

    lose_allowed = False

    def run(self, turns=400, until=lambda machine: machine.is_over):
        for _ in range(turns):
            self.turn()
            if until(self.machine):
                return self.machine.state.phase
        return self.machine.state.phase

    def sides(self):
        return {name: [p["side"].value for p in there] for name, there in self.processes.items()}

    def another_controller(self):
        """The controller is lost; another goes on from what was written down."""
        self.machine = RolloutStateMachine(
            self.plan, decode_state(json.loads(json.dumps(encode_state(self.machine.state))))
        )


def test_a_good_change_ends_with_all_new_one_at_a_time():
    world = World()
    assert world.run() == "done"
    assert world.sides() == {name: ["new"] for name in NAMES}
    assert world.changing_most == 1
    assert [m.member for m in world.moves if isinstance(m, StartProcess)] == list(NAMES)


def test_a_worse_one_is_undone_in_its_first_stage():
    world = World()
    world.share[Version.NEW] = 0.7
    assert world.run() == "undone"
    assert "class a" in world.machine.state.reason
    assert world.sides() == {name: ["old"] for name in NAMES}
    assert {m.member for m in world.moves} == {"n0"}


def test_one_that_never_gets_ready_is_ended_and_the_old_one_serves_on():
    world = World()
    world.violation.add(Version.NEW)
    assert world.run() == "undone"
    assert "not ready" in world.machine.state.reason
    ended = [m for m in world.moves if isinstance(m, StopProcess)]
    assert world.sides()["n0"] == ["old"]
    assert len(ended) == 1


def test_one_that_ends_at_its_start_is_a_fault_not_a_wait():
    world = World()
    world.dead_at_start.add("n0")
    assert world.run() == "undone"
    assert "ended at once" in world.machine.state.reason


def test_a_new_one_that_is_gone_later_is_brought_back_at_once():
    world = World()
    world.run(until=lambda machine: machine.state.stage == 1 and machine.state.phase == "watching")
    world.processes["n1"].clear()
    assert world.run() == "undone"
    assert "n1 is gone" in world.machine.state.reason
    assert world.sides() == {name: ["old"] for name in NAMES}


def test_what_does_not_end_in_time_is_ended_hard():
    world = World()
    world.lazy.add(world.processes["n0"][0]["pid"])
    assert world.run() == "done"
    hard = [m for m in world.moves if isinstance(m, StopProcess) and m.kill]
    assert [m.member for m in hard] == ["n0"]
    assert world.now > STOP_TIMEOUT


def test_a_fleet_that_is_ill_is_not_begun_with_and_the_ill_ones_are_named():
    world = World()
    world.processes["n2"].clear()
    assert world.run() == "refused"
    assert "n2" in world.machine.state.reason
    assert not world.moves


def test_an_old_one_that_cannot_be_brought_back_is_named():
    world = World()
    world.run(until=lambda machine: machine.state.phase == "watching")
    world.lose_allowed = True  # one that was started and is not ready makes room for the next trial
    world.violation.add(Version.OLD)
    world.processes["n0"].clear()
    assert world.run() == "stuck"
    assert set(world.machine.state.unreachable) == {"n0"}
    world.violation.clear()
    assert world.machine.apply_command(OperatorCommand.UNDO) == ""
    assert world.run() == "undone"
    assert world.sides()["n0"] == ["old"]


def test_a_pause_begins_nothing_and_a_fault_undoes_all_the_same():
    world = World()
    world.run(until=lambda machine: machine.state.phase == "watching")
    assert world.machine.apply_command(OperatorCommand.PAUSE) == ""
    before = len(world.moves)
    world.run(100)
    assert world.machine.state.phase == "watching"
    assert len(world.moves) == before
    world.processes["n0"].clear()
    assert world.run() == "undone"


def test_an_undo_may_be_undone():
    world = World()
    world.run(until=lambda machine: machine.state.stage == 1 and machine.state.phase == "watching")
    world.machine.apply_command(OperatorCommand.UNDO)
    world.turn()
    assert world.machine.state.phase == "undoing"
    assert world.machine.apply_command(OperatorCommand.RESUME) == ""
    assert world.run() == "done"
    assert world.sides() == {name: ["new"] for name in NAMES}


def test_another_controller_counts_members_that_the_lost_one_was_changing():
    world = World(replace(PLAN, max_concurrent=2))
    world.run(until=lambda machine: machine.state.stage == 2 and machine.state.phase == "moving")
    world.machine.apply_command(OperatorCommand.UNDO)
    world.turn()
    changing = [name for name, there in world.processes.items() if len(there) > 1]
    assert len(changing) == 2
    world.another_controller()
    assert world.run() == "undone"
    assert world.changing_most == 2


def test_another_controller_brings_forward_again_what_an_undo_had_brought_back():
    world = World()
    world.run(until=lambda machine: machine.state.stage == 1 and machine.state.phase == "watching")
    world.machine.apply_command(OperatorCommand.UNDO)
    world.run(until=lambda machine: world.sides()["n0"] == ["old"])
    world.machine.apply_command(OperatorCommand.RESUME)
    world.another_controller()
    assert world.run() == "done"
    assert world.sides() == {name: ["new"] for name in NAMES}


def test_a_held_stage_waits_for_a_word():
    world = World(replace(PLAN, watch=replace(WATCH, max_duration=3.0)))
    world.share = {Version.OLD: 0.95, Version.NEW: 0.92}
    assert world.run(60, until=lambda machine: machine.state.phase == "held") == "held"
    world.run(50, until=lambda machine: False)
    assert world.machine.state.phase == "held"
    assert world.machine.apply_command(OperatorCommand.UNDO) == ""
    assert world.run() == "undone"


@settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=150,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(st.data())
def test_whatever_fails_and_whoever_leads_a_change_ends_and_no_member_has_two_moves_at_once(data):
    """Random losses of controllers and processes, and words, at random turns; each run ends old or new."""
    world = World(replace(PLAN, max_concurrent=data.draw(st.integers(1, 2))))
    world.lose_allowed = True  # a kill may take the one that was to serve on
    world.share[Version.NEW] = data.draw(st.sampled_from([0.95, 0.6]))
    for _ in range(data.draw(st.integers(0, 6))):
        world.run(data.draw(st.integers(1, 25)), until=lambda machine: False)
        match data.draw(st.sampled_from(["controller", "kill", "undo", "resume", "pause"])):
            case "controller":
                world.another_controller()
            case "kill":
                there = world.processes[data.draw(st.sampled_from(NAMES))]
                if there and world.machine.state.phase not in ("before", *FINAL_PHASES):
                    there.pop()
            case word:
                world.machine.apply_command(OperatorCommand(word))
    world.machine.apply_command(OperatorCommand.RESUME) if world.machine.state.paused else None
    world.run(600)
    phase, sides = world.machine.state.phase, world.sides()
    assert phase in FINAL_PHASES | {"held"}
    assert world.changing_most <= 2
    if phase == "done":
        assert all(there in (["new"], []) for there in sides.values())
    elif phase == "undone":
        assert all("new" not in there for there in sides.values())


@pytest.mark.parametrize("program", ["new", ""])
def test_settings_that_nobody_took_are_put_back_all_the_same(program):
    """The process is of the old side all along; what lies in its file is what its next start would take."""
    plan = replace(PLAN, program=program, settings="s.toml", members=MEMBERS[:1], stages=(("n0",),))
    reconciler = Reconciler(plan)
    reconciler.set_target("n0", Version.OLD)
    one = ProcessStatus(Version.OLD, 7, ("h", 1), True, "", Version.NEW)
    [move] = reconciler.next_actions(1.0, {"n0": [one]}, 3)
    assert move == ApplySettings("n0", Version.OLD, None if program else 7)
    assert not reconciler.has_converged("n0")
    assert reconciler.next_actions(2.0, {"n0": [replace(one, installed_settings=Version.OLD)]}, 3) == []
    assert reconciler.has_converged("n0")
