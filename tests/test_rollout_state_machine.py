"""The course of a rolling change: its moves, phases and journal, on a clock that the tests drive."""

from __future__ import annotations

import json
import subprocess
import sys
from dataclasses import replace

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from eiderfield.rollout.canary_analysis import Observation
from eiderfield.rollout.journal import Journal, JournalError, Locks, ask, read
from eiderfield.rollout.measurement import ProcessReport, WindowMeter
from eiderfield.rollout.plan import Member, Plan, WatchSettings
from eiderfield.rollout.reconciler import ENDING, Configure, End, ProcessStatus, Reconciler, Start, Version
from eiderfield.rollout.state_machine import ENDS, RolloutState, RolloutStateMachine, decode_state

NAMES = ("n0", "n1", "n2", "n3")
WATCH = WatchSettings(
    max_duration=60.0, baseline_duration=3.0, warm_up=0.0, ready_timeout=8.0, max_start_attempts=2
)
MEMBERS = tuple(
    Member(name, ("h", 1 + n), "z", ("s",), spare_console=("h", 101 + n)) for n, name in enumerate(NAMES)
)
PLAN = Plan("p", "new", "", MEMBERS, (("n0",), ("n1", "n2"), ("n3",)), 1, WATCH, "old")


class World:
    """Processes that start, get ready and end as they are told, with a course that leads them."""

    def __init__(self, plan=PLAN, ready_after=1.0):
        self.plan, self.ready_after = plan, ready_after
        self.now, self._pid = 0.0, 100
        self.processes = {
            m.name: [self._process(m.name, Version.OLD, m.console, -100.0)] for m in plan.members
        }
        self.course = RolloutStateMachine(plan)
        self.moves, self.changing_most, self.share = [], 0, {Version.OLD: 0.95, Version.NEW: 0.95}
        self.lazy = set()  # pids that do not end when they are told
        self.broken = set()  # sides whose processes never get ready
        self.dead_at_start = set()  # members whose new process ends at once

    def _process(self, name, side, console, born):
        self._pid += 1
        return {"pid": self._pid, "side": side, "console": console, "born": born, "told": None}

    def found(self):
        def one(p):
            ready = p["side"] not in self.broken and self.now - p["born"] >= self.ready_after
            return ProcessStatus(p["side"], p["pid"], p["console"], ready if p.get("seen", True) else None)

        return {name: [one(p) for p in there] for name, there in self.processes.items()}

    def seen(self, found):
        new = self.course.changed_members(found)
        rows = []
        for name, there in found.items():
            side = Version.NEW if name in new else Version.OLD
            mine = [f for f in there if f.version is side and f.pid not in self.course.ending]
            alive = (None if mine[0].ready is None else True) if mine else False
            counts = {"asked": {"a": 100}, "in_time": {"a": round(100 * self.share[side])}}
            rows.append(Observation(name, name in new, alive, bool(mine and mine[0].ready), 100.0, **counts))
        return rows

    def turn(self, span=1.0):
        self.now += span
        for there in self.processes.values():
            there[:] = [
                p for p in there if p["told"] is None or p["pid"] in self.lazy or self.now < p["told"] + 2.0
            ]
        found = self.found()
        for move in self.course.look(self.now, span, found, self.seen(found)):
            self.moves.append(move)
            if isinstance(move, Start):
                assert all(p["console"] != move.console for p in self.processes[move.member])
                if move.member not in self.dead_at_start:
                    self.processes[move.member].append(
                        self._process(move.member, move.version, move.console, self.now)
                    )
            elif isinstance(move, End):
                for p in self.processes[move.member]:
                    if p["pid"] == move.pid:
                        p["told"] = self.now
                        if move.hard:
                            self.lazy.discard(p["pid"])
                            p["told"] = -100.0
        changing = sum(len(there) > 1 for there in self.processes.values())
        self.changing_most = max(self.changing_most, changing)
        left = [any(p["told"] is None for p in there) or not there for there in self.processes.values()]
        assert all(left) or self.lose_allowed, "the last process of a member was told to end"

    lose_allowed = False

    def run(self, turns=400, until=lambda course: course.over):
        for _ in range(turns):
            self.turn()
            if until(self.course):
                return self.course.state.phase
        return self.course.state.phase

    def sides(self):
        return {name: [p["side"].value for p in there] for name, there in self.processes.items()}

    def another_controller(self):
        """The controller is lost; another goes on from what was written down."""
        self.course = RolloutStateMachine(
            self.plan, decode_state(json.loads(json.dumps(self.course.state.encode())))
        )


def test_a_good_change_ends_with_all_new_one_at_a_time():
    world = World()
    assert world.run() == "done"
    assert world.sides() == {name: ["new"] for name in NAMES}
    assert world.changing_most == 1
    assert [m.member for m in world.moves if isinstance(m, Start)] == list(NAMES)


def test_a_worse_one_is_undone_in_its_first_stage():
    world = World()
    world.share[Version.NEW] = 0.7
    assert world.run() == "undone"
    assert "class a" in world.course.state.why
    assert world.sides() == {name: ["old"] for name in NAMES}
    assert {m.member for m in world.moves} == {"n0"}


def test_one_that_never_gets_ready_is_ended_and_the_old_one_serves_on():
    world = World()
    world.broken.add(Version.NEW)
    assert world.run() == "undone"
    assert "not ready" in world.course.state.why
    ended = [m for m in world.moves if isinstance(m, End)]
    assert world.sides()["n0"] == ["old"]
    assert len(ended) == 1


def test_one_that_ends_at_its_start_is_a_fault_not_a_wait():
    world = World()
    world.dead_at_start.add("n0")
    assert world.run() == "undone"
    assert "ended at once" in world.course.state.why


def test_a_new_one_that_is_gone_later_is_brought_back_at_once():
    world = World()
    world.run(until=lambda course: course.state.stage == 1 and course.state.phase == "watching")
    world.processes["n1"].clear()
    assert world.run() == "undone"
    assert "n1 is gone" in world.course.state.why
    assert world.sides() == {name: ["old"] for name in NAMES}


def test_what_does_not_end_in_time_is_ended_hard():
    world = World()
    world.lazy.add(world.processes["n0"][0]["pid"])
    assert world.run() == "done"
    hard = [m for m in world.moves if isinstance(m, End) and m.hard]
    assert [m.member for m in hard] == ["n0"]
    assert world.now > ENDING


def test_a_fleet_that_is_ill_is_not_begun_with_and_the_ill_ones_are_named():
    world = World()
    world.processes["n2"].clear()
    assert world.run() == "refused"
    assert "n2" in world.course.state.why
    assert not world.moves


def test_an_old_one_that_cannot_be_brought_back_is_named():
    world = World()
    world.run(until=lambda course: course.state.phase == "watching")
    world.lose_allowed = True  # one that was started and is not ready makes room for the next trial
    world.broken.add(Version.OLD)
    world.processes["n0"].clear()
    assert world.run() == "stuck"
    assert set(world.course.state.missing) == {"n0"}
    world.broken.clear()
    assert world.course.obey("undo") == ""
    assert world.run() == "undone"
    assert world.sides()["n0"] == ["old"]


def test_a_pause_begins_nothing_and_a_fault_undoes_all_the_same():
    world = World()
    world.run(until=lambda course: course.state.phase == "watching")
    assert world.course.obey("pause") == ""
    before = len(world.moves)
    world.run(100)
    assert world.course.state.phase == "watching"
    assert len(world.moves) == before
    world.processes["n0"].clear()
    assert world.run() == "undone"


def test_an_undo_may_be_undone():
    world = World()
    world.run(until=lambda course: course.state.stage == 1 and course.state.phase == "watching")
    world.course.obey("undo")
    world.turn()
    assert world.course.state.phase == "undoing"
    assert world.course.obey("resume") == ""
    assert world.run() == "done"
    assert world.sides() == {name: ["new"] for name in NAMES}


def test_another_controller_counts_members_that_the_lost_one_was_changing():
    world = World(replace(PLAN, max_concurrent=2))
    world.run(until=lambda course: course.state.stage == 2 and course.state.phase == "moving")
    world.course.obey("undo")
    world.turn()
    changing = [name for name, there in world.processes.items() if len(there) > 1]
    assert len(changing) == 2
    world.another_controller()
    assert world.run() == "undone"
    assert world.changing_most == 2


def test_another_controller_brings_forward_again_what_an_undo_had_brought_back():
    world = World()
    world.run(until=lambda course: course.state.stage == 1 and course.state.phase == "watching")
    world.course.obey("undo")
    world.run(until=lambda course: world.sides()["n0"] == ["old"])
    world.course.obey("resume")
    world.another_controller()
    assert world.run() == "done"
    assert world.sides() == {name: ["new"] for name in NAMES}


def test_a_held_stage_waits_for_a_word():
    world = World(replace(PLAN, watch=replace(WATCH, max_duration=3.0)))
    world.share = {Version.OLD: 0.95, Version.NEW: 0.92}
    assert world.run(60, until=lambda course: course.state.phase == "held") == "held"
    world.run(50, until=lambda course: False)
    assert world.course.state.phase == "held"
    assert world.course.obey("undo") == ""
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
        world.run(data.draw(st.integers(1, 25)), until=lambda course: False)
        match data.draw(st.sampled_from(["controller", "kill", "undo", "resume", "pause"])):
            case "controller":
                world.another_controller()
            case "kill":
                there = world.processes[data.draw(st.sampled_from(NAMES))]
                if there and world.course.state.phase not in ("before", *ENDS):
                    there.pop()
            case word:
                world.course.obey(word)
    world.course.obey("resume") if world.course.state.paused else None
    world.run(600)
    phase, sides = world.course.state.phase, world.sides()
    assert phase in ENDS | {"held"}
    assert world.changing_most <= 2
    if phase == "done":
        assert all(there in (["new"], []) for there in sides.values())
    elif phase == "undone":
        assert all("new" not in there for there in sides.values())


@pytest.mark.parametrize("program", ["new", ""])
def test_settings_that_nobody_took_are_put_back_all_the_same(program):
    """The process is of the old side all along; what lies in its file is what its next start would take."""
    plan = replace(PLAN, program=program, settings="s.toml", members=MEMBERS[:1], stages=(("n0",),))
    mover = Reconciler(plan)
    mover.want("n0", Version.OLD)
    one = ProcessStatus(Version.OLD, 7, ("h", 1), True, "", Version.NEW)
    [move] = mover.step(1.0, {"n0": [one]}, 3)
    assert move == Configure("n0", Version.OLD, None if program else 7)
    assert not mover.arrived("n0")
    assert mover.step(2.0, {"n0": [replace(one, lies=Version.OLD)]}, 3) == []
    assert mover.arrived("n0")


# The journal.


def journal(folder, **state):
    found = Journal(folder, PLAN.digest, "id", RolloutState(**state))
    found.write(1.0)
    return found


def test_a_journal_is_read_back_whole(tmp_path):
    journal(tmp_path, phase="watching", stage=1, classes=["a"], before={"n0": {"a": [5, 4]}})
    found = read(tmp_path, PLAN)
    assert found.state == RolloutState("watching", 1, "", False, ["a"], {"n0": {"a": [5, 4]}})
    assert found.said[0]["phase"] == "watching"


@pytest.mark.parametrize(
    ("spoil", "why"),
    [
        (lambda text: text[: len(text) // 2], "journal.json"),
        (lambda text: text.replace("watching", "undoing!"), "checksum"),
        (lambda text: "", "journal.json"),
        (lambda text: "[]", "journal.json"),
        (lambda text: text.replace('\\"form\\": 1', '\\"form\\": 9'), "checksum"),
    ],
)
def test_a_journal_that_is_torn_or_changed_is_refused_by_name(spoil, why, tmp_path):
    path = journal(tmp_path, phase="watching").path
    path.write_text(spoil(path.read_text()))
    with pytest.raises(JournalError, match=why):
        read(tmp_path, PLAN)


def test_a_journal_of_another_plan_is_refused(tmp_path):
    journal(tmp_path)
    with pytest.raises(JournalError, match="another plan"):
        read(tmp_path, replace(PLAN, program="newer"))


def test_a_word_waits_until_it_is_heeded_and_nonsense_is_none(tmp_path):
    found = journal(tmp_path)
    assert found.wish() == ""
    ask(tmp_path, "undo")
    assert found.wish() == "undo"
    found.heeded()
    assert found.wish() == ""
    (tmp_path / "wish.json").write_text('{"word": "explode"}')
    assert found.wish() == ""
    with pytest.raises(ValueError, match="explode"):
        ask(tmp_path, "explode")


def test_two_controllers_of_one_dispatcher_are_one_too_many_even_in_two_processes(tmp_path):
    with Locks(PLAN, tmp_path):
        code = (
            "import sys; from pathlib import Path\n"
            "from eiderfield.rollout.journal import Locks, JournalError\n"
            "from eiderfield.rollout.plan import Member, Plan, WatchSettings\n"
            "m = (Member('x', ('h', 101), 'z', ('s',)),)\n"
            "try: Locks(Plan('q', 'n', '', m, (('x',),), 1, WatchSettings(), 'o'), Path(sys.argv[1]))\n"
            "except JournalError as error: print(error)"
        )
        words = [sys.executable, "-c", code, str(tmp_path)]
        ended = subprocess.run(words, capture_output=True, text=True)
        assert "x is being changed already" in ended.stdout, ended
    Locks(PLAN, tmp_path).close()


# Windows from figures.


def told(
    pid=1, version=Version.OLD, ready=True, success=0, busy=0, in_time=None, banned=(), broken=0, age=50.0
):
    figures = {"success": {"a": success}, "busy": {"a": busy}, "failure": {"a": 0}}
    counts = None if in_time is None else {"a": in_time}
    found, rules = ProcessStatus(version, pid, ("h", 1), ready), {"answered": broken}
    waits = None if in_time is None else {"a": [success, 5.0 * success, 26.0 * success]}
    return ProcessReport(found, age, figures, counts, waits, 30, 20.0, frozenset(banned), rules)


def test_one_that_stood_still_settles_anew_for_it_serves_what_waited_meanwhile():
    """Seen: a canary stopped for 2 s was undone as slower by 100%, by the first window after its return."""
    meter = WindowMeter()
    ages = [(30.0, True), (30.3, None), (32.0, True), (32.3, True), (33.0, True)]
    seen = [meter.look({"n0": [told(ready=ready, age=age)]}, [])[0] for age, ready in ages]
    assert [one.alive for one in seen] == [True, None, True, True, True]
    assert [round(one.since_start, 1) for one in seen] == [30.0, 30.3, 0.0, 0.3, 1.0]
    assert [one.watched(0.9) for one in seen] == [True, False, False, False, True]


def test_a_new_process_that_somebody_else_started_again_is_a_fault():
    meter = WindowMeter()
    looks = [(1, Version.OLD), (2, Version.NEW), (2, Version.NEW), (3, Version.NEW)]
    seen = [
        meter.look({"n0": [told(pid=pid, version=side)]}, ["n0"] if side is Version.NEW else [])[0]
        for pid, side in looks
    ]
    assert [bool(one.broken) for one in seen] == [False, False, False, True]
    assert "started again" in seen[-1].broken


def test_windows_are_what_came_since_the_look_before():
    meter = WindowMeter()
    assert meter.look({"n0": [told(success=10, in_time=9)]}, [])[0].asked == {}
    [one] = meter.look({"n0": [told(success=15, busy=5, in_time=13)]}, [])
    assert one.asked == {"a": 10}
    assert one.in_time == {"a": 4}
    assert one.waits == {"a": (5, 25.0, 130.0)}


def test_what_happened_while_a_console_was_silent_is_in_no_window():
    meter = WindowMeter()
    meter.look({"n0": [told(success=10, in_time=9)]}, [])
    [one] = meter.look({"n0": [told(ready=None)]}, [])
    assert one.alive is None
    assert meter.look({"n0": [told(success=99, in_time=9)]}, [])[0].asked == {}


def test_where_one_program_does_not_tell_what_was_in_time_all_that_was_served_counts_for_both():
    meter = WindowMeter()
    meter.look({"n0": [told(1, success=0, in_time=0)], "n1": [told(2)]}, [])
    seen = meter.look({"n0": [told(1, success=10, in_time=2)], "n1": [told(2, success=10)]}, [])
    assert [one.in_time for one in seen] == [{"a": 10}, {"a": 10}]


def test_a_new_process_that_forgot_a_ban_or_broke_a_rule_says_so():
    meter = WindowMeter()
    meter.look({"n0": [told(1, banned=["w1", "w2"])]}, [])
    [one] = meter.look({"n0": [told(1, banned=["w1", "w2"]), told(2, Version.NEW, banned=["w1"])]}, ["n0"])
    assert one.broken == "it forgot the ban of w2"
    assert one.new
    [one] = meter.look({"n0": [told(2, Version.NEW, banned=["w1"], broken=1)]}, ["n0"])
    assert one.broken == "answered"


def test_a_process_that_was_told_to_end_counts_for_neither_side():
    meter = WindowMeter()
    [one] = meter.look({"n0": [told(1)]}, [], ending=[1])
    assert one.alive is False
