"""Durable requests on real processes that are killed and stopped, judged by the event logs."""

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


def played(tmp_path, *faults, programs=None, **more):
    scenario = validated(replace(SCENARIO, faults=faults, **more))
    found = play_durable(scenario, tmp_path / "run", programs or {})
    assert found.findings == [], (found.findings[:3], found.counts)
    assert found.unanswered == 0
    assert found.counts["jobs"] == scenario.jobs
    return found


def pointed(point, what, lasts=1.0, who="n1"):
    return {who: Program(failpoint=f"{point}:4:{what}:{lasts}")}


@pytest.mark.parametrize("point", FAILPOINTS)
def test_wherever_a_dispatcher_is_killed_its_work_is_done_once(point, tmp_path):
    found = played(tmp_path, programs=pointed(point, "kill"))
    assert [fault.what for fault in found.faults] == ["kill"]
    assert found.fences["its process is gone"] == 1
    assert found.figures["taken_over"] > 0 or point == "accept"


@pytest.mark.parametrize("point", ["accept", "claim", "claim done", "sent", "finish"])
def test_wherever_a_dispatcher_is_stopped_for_longer_than_its_lease_it_takes_nothing_back(point, tmp_path):
    found = played(tmp_path, programs=pointed(point, "stop", 2.5), jobs=150)
    assert [fault.what for fault in found.faults] == ["stop"]
    assert found.fences["it is silent"] == 1, "it is told, and begins anew"
    assert found.figures["fenced"] == 1, "it is told, and begins anew"


LONG_RUNS = tuple(replace(job_class, run=(600.0, 1000.0)) for job_class in JOB_CLASSES)


@pytest.mark.parametrize("point", ["adopt", "adopt done"])
def test_a_taker_that_is_killed_while_taking_over_passes_it_on(point, tmp_path):
    """Long runs leave seven or eight open requests; n2 owns three of them, and so is killed in a takeover."""
    programs = {"n2": Program(failpoint=f"{point}:1:kill:2.0")}
    load = {"job_classes": LONG_RUNS, "slots": 8}
    killed = Fault("kill", "n1", on="begun:30", lasts=2.5)
    found = played(tmp_path, killed, programs=programs, dispatchers=4, **load)
    assert found.fences["its process is gone"] == 2


LOST = {
    "two in one second": (
        Fault("kill", "n1", on="begun:30", lasts=2.0),
        Fault("kill", "n2", on="begun:40", lasts=2.0),
    ),
    "all but one": tuple(Fault("kill", f"n{n}", on="begun:30", lasts=2.0) for n in (1, 2, 3)),
    "all, and started again": tuple(Fault("kill", f"n{n}", on="begun:30", lasts=0.2) for n in range(4)),
    "one killed while another stands still": (
        Fault("stop", "n1", on="begun:20", lasts=3.0),
        Fault("kill", "n2", on="begun:30", lasts=2.0),
    ),
    "one killed amid resets of every leg": (
        Fault("kill", "n1", on="begun:30", lasts=2.0),
        Fault("reset", "n*>w*", on="begun:31"),
    ),
    "one told to end": (Fault("term", "n1", on="begun:30", lasts=1.0),),
}


@pytest.mark.parametrize("name", LOST)
def test_however_many_are_lost_every_job_gets_its_one_answer(name, tmp_path):
    played(tmp_path, *LOST[name], dispatchers=4, jobs=160)


def test_one_that_can_write_nothing_more_keeps_nothing_new_and_its_work_is_taken_over(tmp_path):
    """The register refuses it: it cannot renew its lease, says so to its askers, and others go on."""
    found = played(tmp_path, Fault("disk", "n1", on="begun:30", lasts=3.0), jobs=160)
    assert found.figures["fenced"] == 1
    assert found.figures["commits_failed"] > 0
    assert found.counts["declined"] > 0


def test_a_slow_register_within_the_lease_loses_nobody(tmp_path):
    found = played(tmp_path, programs=pointed("claim", "stop", 0.3))
    assert found.fences["it is silent"] == 0
    assert found.counts["begun_twice"] == 0


def test_a_client_that_asks_two_survivors_at_once_has_one_job(tmp_path):
    found = played(tmp_path, Fault("kill", "n1", on="begun:30", lasts=2.0), asks_both=True, dispatchers=4)
    assert found.figures["joined"] > 0


def test_without_custody_the_same_kill_begins_jobs_twice_or_loses_them(tmp_path):
    """What the checkers see when nothing is kept: they are no checks that cannot fail."""
    scenario = validated(
        replace(
            SCENARIO,
            custody={},
            jobs=160,
            dispatchers=4,
            faults=(Fault("kill", "n1", on="begun:30", lasts=2.0),),
        )
    )
    found = play_durable(scenario, tmp_path / "run", {})
    assert any(finding.rule == "once" for finding in found.findings)


ROLLING = replace(SCENARIO, jobs=6000, rate=60.0, workers=6, floods=())
QUICK = {"before": 1.5, "worse": 0.2, "slower": 1.0, "settle": 0.5}


def test_a_rolling_change_with_a_kill_in_its_middle_begins_nothing_twice(tmp_path):
    """Each upgrade is two lives beside each other; what the killed one had is taken over by the others."""
    faults = (FaultInPhase("watching", Fault("kill", "n1", at=0.0, lasts=1.0)),)
    change = Change(watch=QUICK, faults=faults, decision="undo")
    found = play_change(ROLLING, change, tmp_path / "run")
    assert found.phase in ("done", "undone"), found
    assert found.findings == [], found
    assert found.counts["served"] > 0.9 * found.counts["jobs"]


def test_a_job_that_runs_longer_than_its_dispatcher_is_left_is_taken_over(tmp_path):
    """Told to end and killed 4 s later, as by a platform: what is safe or keyed goes on elsewhere."""
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
    found = play_durable(scenario, tmp_path / "run", {})
    assert found.findings == [], (found.findings[:3], found.counts)
    assert found.unanswered == 0, (found.findings[:3], found.counts)
    assert found.figures["taken_over"] > 0
    assert found.counts["served"] >= scenario.jobs - found.may_have_run
