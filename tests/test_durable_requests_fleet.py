"""Durable requests on real processes that are killed and stopped. The event logs are checked."""

from __future__ import annotations

from dataclasses import replace

import pytest

from eiderfield.lab.fleet.dispatcher import Program
from eiderfield.lab.fleet.durable_draw import FAILPOINTS, JOB_CLASSES
from eiderfield.lab.fleet.durable_run import play_durable
from eiderfield.lab.fleet.rollout_change import Change, FaultInPhase
from eiderfield.lab.fleet.rollout_run import play_change
from eiderfield.lab.fleet.scenario import Fault, Scenario
from eiderfield.lab.fleet.scenario_file import validated

pytestmark = pytest.mark.real_time

SCENARIO = Scenario(
    dispatchers=3,
    workers=6,
    slots=4,
    cell=3,
    jobs=90,
    rate=40.0,
    notice=0.3,
    retries=60,
    one_id=True,
    custody={"lease_ms": 900},
    job_classes=JOB_CLASSES,
)


def run_scenario(tmp_path, *faults, programs=None, **changes):
    scenario = validated(replace(SCENARIO, faults=faults, **changes))
    result = play_durable(scenario, tmp_path / "run", programs or {})
    assert result.findings == [], (result.findings[:3], result.counts)
    assert result.unanswered == 0
    assert result.counts["jobs"] == scenario.jobs
    return result


def failing_program(failpoint, what, lasts=1.0, dispatcher="n1"):
    return {dispatcher: Program(failpoint=f"{failpoint}:4:{what}:{lasts}")}


@pytest.mark.parametrize("failpoint", FAILPOINTS)
def test_requests_of_a_dispatcher_killed_at_a_failpoint_run_once(failpoint, tmp_path):
    result = run_scenario(tmp_path, programs=failing_program(failpoint, "kill"))
    assert [fault.what for fault in result.faults] == ["kill"]
    assert result.fences["its process is gone"] == 1
    assert result.figures["taken_over"] > 0 or failpoint == "accept"


@pytest.mark.parametrize("failpoint", ["accept", "claim", "claim done", "sent", "finish"])
def test_dispatcher_stopped_at_a_failpoint_beyond_its_lease_is_fenced(failpoint, tmp_path):
    result = run_scenario(tmp_path, programs=failing_program(failpoint, "stop", 2.5), jobs=150)
    assert [fault.what for fault in result.faults] == ["stop"]
    assert result.fences["it is silent"] == 1, "the stopped dispatcher was not fenced"
    assert result.figures["fenced"] == 1, "the stopped dispatcher was not fenced"


LONG_RUNS = tuple(replace(job_class, run=(600.0, 1000.0)) for job_class in JOB_CLASSES)


@pytest.mark.parametrize("failpoint", ["adopt", "adopt done"])
def test_requests_of_a_dispatcher_killed_in_a_takeover_are_taken_over(failpoint, tmp_path):
    """Long runs leave seven or eight open requests. Three go to n2, which so reaches the failpoint."""
    programs = {"n2": Program(failpoint=f"{failpoint}:1:kill:2.0")}
    settings = {"job_classes": LONG_RUNS, "slots": 8}
    kill = Fault("kill", "n1", on="begun:30", lasts=2.5)
    result = run_scenario(tmp_path, kill, programs=programs, dispatchers=4, **settings)
    assert result.fences["its process is gone"] == 2


LOSSES = {
    "two killed in one second": (
        Fault("kill", "n1", on="begun:30", lasts=2.0),
        Fault("kill", "n2", on="begun:40", lasts=2.0),
    ),
    "all but one killed": tuple(Fault("kill", f"n{n}", on="begun:30", lasts=2.0) for n in (1, 2, 3)),
    "all killed and started again": tuple(Fault("kill", f"n{n}", on="begun:30", lasts=0.2) for n in range(4)),
    "one killed while another is stopped": (
        Fault("stop", "n1", on="begun:20", lasts=3.0),
        Fault("kill", "n2", on="begun:30", lasts=2.0),
    ),
    "one killed while every attempt is reset": (
        Fault("kill", "n1", on="begun:30", lasts=2.0),
        Fault("reset", "n*>w*", on="begun:31"),
    ),
    "one terminated": (Fault("term", "n1", on="begun:30", lasts=1.0),),
}


@pytest.mark.parametrize("name", LOSSES)
def test_every_request_gets_one_answer_after_the_loss_of_dispatchers(name, tmp_path):
    run_scenario(tmp_path, *LOSSES[name], dispatchers=4, jobs=160)


def test_requests_of_a_dispatcher_with_a_failing_disk_are_taken_over(tmp_path):
    """The dispatcher cannot renew its lease, rejects new requests and is fenced."""
    result = run_scenario(tmp_path, Fault("disk", "n1", on="begun:30", lasts=3.0), jobs=160)
    assert result.figures["fenced"] == 1
    assert result.figures["commits_failed"] > 0
    assert result.counts["declined"] > 0


def test_stop_within_the_lease_fences_no_dispatcher(tmp_path):
    result = run_scenario(tmp_path, programs=failing_program("claim", "stop", 0.3))
    assert result.fences["it is silent"] == 0
    assert result.counts["begun_twice"] == 0


def test_request_submitted_to_two_dispatchers_at_once_runs_once(tmp_path):
    result = run_scenario(
        tmp_path, Fault("kill", "n1", on="begun:30", lasts=2.0), asks_both=True, dispatchers=4
    )
    assert result.figures["joined"] > 0


def test_kill_without_durable_requests_is_found_by_the_checks(tmp_path):
    """Shows that the checks of the other tests can fail."""
    scenario = validated(
        replace(
            SCENARIO,
            custody={},
            jobs=160,
            dispatchers=4,
            faults=(Fault("kill", "n1", on="begun:30", lasts=2.0),),
        )
    )
    result = play_durable(scenario, tmp_path / "run", {})
    assert any(finding.rule == "once" for finding in result.findings)


ROLLOUT = replace(SCENARIO, jobs=6000, rate=60.0, workers=6, floods=())
SHORT_WATCH = {"before": 1.5, "worse": 0.2, "slower": 1.0, "settle": 0.5}


def test_rollout_with_a_killed_dispatcher_starts_no_request_twice(tmp_path):
    """An upgrade runs two incarnations of a dispatcher side by side. Others take over from the killed one."""
    faults = (FaultInPhase("watching", Fault("kill", "n1", at=0.0, lasts=1.0)),)
    change = Change(watch=SHORT_WATCH, faults=faults, decision="undo")
    result = play_change(ROLLOUT, change, tmp_path / "run")
    assert result.phase in ("done", "undone"), result
    assert result.findings == [], result
    assert result.counts["served"] > 0.9 * result.counts["jobs"]


def test_requests_that_outlast_the_shutdown_of_their_dispatcher_are_taken_over(tmp_path):
    """A platform terminates a dispatcher and kills it 4 s later; others continue safe and keyed requests."""
    classes = tuple(
        replace(each, run=(5000.0, 6000.0), deadline=20_000.0, goal=15_000.0) for each in JOB_CLASSES
    )
    scenario = validated(
        replace(
            SCENARIO,
            job_classes=classes,
            jobs=18,
            rate=30.0,
            window=15_000.0,
            faults=(
                Fault("term", "n1", on="begun:16"),
                Fault("kill", "n1", on="begun:16", after=4.0, lasts=1.0),
            ),
        )
    )
    result = play_durable(scenario, tmp_path / "run", {})
    assert result.findings == [], (result.findings[:3], result.counts)
    assert result.unanswered == 0, (result.findings[:3], result.counts)
    assert result.figures["taken_over"] > 0
    assert result.counts["served"] >= scenario.jobs - result.may_have_run
