"""The windows of a rolling change, from what consoles report."""

from __future__ import annotations

from eiderfield.rollout.actions import Version
from eiderfield.rollout.measurement import ProcessReport, WindowMeter
from eiderfield.rollout.reconciler import ProcessStatus


def report(
    pid=1, version=Version.OLD, ready=True, success=0, busy=0, in_time=None, banned=(), broken=0, age=50.0
):
    figures = {"success": {"a": success}, "busy": {"a": busy}, "failure": {"a": 0}}
    counts = None if in_time is None else {"a": in_time}
    status, rules = ProcessStatus(version, pid, ("h", 1), ready), {"answered": broken}
    waits = None if in_time is None else {"a": [success, 5.0 * success, 26.0 * success]}
    return ProcessReport(status, age, figures, counts, waits, 30, 20.0, frozenset(banned), rules)


def test_one_that_stood_still_settles_anew_for_it_serves_what_waited_meanwhile():
    """Seen: a canary stopped for 2 s was undone as slower by 100%, by the first window after its return."""
    meter = WindowMeter()
    ages = [(30.0, True), (30.3, None), (32.0, True), (32.3, True), (33.0, True)]
    seen = [meter.add_poll({"n0": [report(ready=ready, age=age)]}, [])[0] for age, ready in ages]
    assert [one.alive for one in seen] == [True, None, True, True, True]
    assert [round(one.age, 1) for one in seen] == [30.0, 30.3, 0.0, 0.3, 1.0]
    assert [one.counts(0.9) for one in seen] == [True, False, False, False, True]


def test_a_new_process_that_somebody_else_started_again_is_a_fault():
    meter = WindowMeter()
    looks = [(1, Version.OLD), (2, Version.NEW), (2, Version.NEW), (3, Version.NEW)]
    seen = [
        meter.add_poll({"n0": [report(pid=pid, version=side)]}, ["n0"] if side is Version.NEW else [])[0]
        for pid, side in looks
    ]
    assert [bool(one.violation) for one in seen] == [False, False, False, True]
    assert "started again" in seen[-1].violation


def test_windows_are_what_came_since_the_look_before():
    meter = WindowMeter()
    assert meter.add_poll({"n0": [report(success=10, in_time=9)]}, [])[0].completed == {}
    [window] = meter.add_poll({"n0": [report(success=15, busy=5, in_time=13)]}, [])
    assert window.completed == {"a": 10}
    assert window.in_time == {"a": 4}
    assert window.latencies == {"a": (5, 25.0, 130.0)}


def test_what_happened_while_a_console_was_silent_is_in_no_window():
    meter = WindowMeter()
    meter.add_poll({"n0": [report(success=10, in_time=9)]}, [])
    [window] = meter.add_poll({"n0": [report(ready=None)]}, [])
    assert window.alive is None
    assert meter.add_poll({"n0": [report(success=99, in_time=9)]}, [])[0].completed == {}


def test_where_one_program_does_not_tell_what_was_in_time_all_that_was_served_counts_for_both():
    meter = WindowMeter()
    meter.add_poll({"n0": [report(1, success=0, in_time=0)], "n1": [report(2)]}, [])
    seen = meter.add_poll({"n0": [report(1, success=10, in_time=2)], "n1": [report(2, success=10)]}, [])
    assert [one.in_time for one in seen] == [{"a": 10}, {"a": 10}]


def test_a_new_process_that_forgot_a_ban_or_broke_a_rule_says_so():
    meter = WindowMeter()
    meter.add_poll({"n0": [report(1, banned=["w1", "w2"])]}, [])
    [window] = meter.add_poll(
        {"n0": [report(1, banned=["w1", "w2"]), report(2, Version.NEW, banned=["w1"])]}, ["n0"]
    )
    assert window.violation == "it forgot the ban of w2"
    assert window.is_new
    [window] = meter.add_poll({"n0": [report(2, Version.NEW, banned=["w1"], broken=1)]}, ["n0"])
    assert window.violation == "answered"


def test_a_process_that_was_told_to_end_counts_for_neither_side():
    meter = WindowMeter()
    [window] = meter.add_poll({"n0": [report(1)]}, [], stopping=[1])
    assert window.alive is False
