"""The rolling change: what its plan refuses, and what is decided of a stage."""

from __future__ import annotations

from dataclasses import replace
from math import log

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st
from support.processes import ROOT

from eiderfield.cli import main
from eiderfield.config.errors import ConfigError
from eiderfield.rollout.baseline import Baseline
from eiderfield.rollout.canary_analysis import CanaryAnalysis, Decision
from eiderfield.rollout.observation import Moments, Observation
from eiderfield.rollout.plan import WatchSettings
from eiderfield.rollout.plan_file import parse_plan
from eiderfield.rollout.power_analysis import decision_shares

EXAMPLE = (ROOT / "deploy" / "rollout-example.toml").read_text()


def test_the_example_changes_a_canary_then_shares_and_never_two_zones_at_once():
    plan = parse_plan(EXAMPLE)
    assert plan.stages == (("n0",), ("n1",), ("n2", "n3"), ("n4", "n5", "n6", "n7"))
    zones = {member.name: member.zone for member in plan.members}
    assert all(len({zones[name] for name in stage}) == 1 for stage in plan.stages)


ONE_DISPATCHER = """name = "c"
[change]
settings = "s"
[[dispatcher]]
name = "n0"
config = "n0.toml"
console = "127.0.0.1:8070"
start = ["run"]
[dispatcher.environment]
A = "it's"
"""


@pytest.mark.parametrize(("text", "digest"), [(EXAMPLE, "d265e08f"), (ONE_DISPATCHER, "02df0a42")])
def test_plan_digest_stays_that_of_program_456c0d9(text, digest):
    """Journals hold the digest: a plan whose digest changes could not be resumed."""
    assert parse_plan(text).digest == digest


@settings(derandomize=True, database=None, deadline=None)
@given(
    st.lists(st.sampled_from(["a", "b", "c"]), min_size=2, max_size=30),
    st.integers(1, 5),
    st.lists(st.floats(0.01, 0.99), max_size=4, unique=True).map(sorted),
)
def test_every_dispatcher_changes_once_and_no_stage_spans_zones(zones, canary, shares):
    text = 'name = "x"\n[change]\nprogram = "p"\nbefore = "o"\n'
    text += f"[stages]\ncanary = {canary}\nshares = {shares}\n"
    for number, zone in enumerate(zones):
        text += f'[[dispatcher]]\nname = "n{number}"\nconsole = "h:{number + 1}"\nzone = "{zone}"\n'
        text += f'start = ["s"]\nspare = "h:{1000 + number}"\n'
    plan = parse_plan(text)
    names = [name for stage in plan.stages for name in stage]
    assert sorted(names) == sorted(f"n{n}" for n in range(len(zones)))
    zone_of = {member.name: member.zone for member in plan.members}
    assert all(stage and len({zone_of[name] for name in stage}) == 1 for stage in plan.stages)
    assert len(plan.stages[0]) <= canary


@pytest.mark.parametrize(
    ("old", "new", "key"),
    [
        ('name = "release-42"', "", "name"),
        ('program = "releases/42"', "", "change"),
        ('before = "releases/41"', "", "change.before"),
        ('program = "releases/42"', 'settings = "s.toml"', "change.before"),
        ('spare = "127.0.0.1:8173"', "", "dispatcher.3.spare"),
        ('spare = "127.0.0.1:8173"', 'spare = "127.0.0.1:8072"', "dispatcher.3.spare"),
        ('"{config}"]', '"{nothing}"]', "dispatcher.0.start"),
        ("seconds = 180.0", "look = 0.0", "watch.look"),
        ('program = "releases/42"', 'programme = "x"', "change"),
        ("worse = 0.05", "worse = 0.9", "watch.worse"),
        ("worse = 0.05", "wrose = 0.1", "watch.wrose"),
        ("seconds = 180.0", "seconds = 5.0", "watch.settle"),
        ("canary = 1", "canary = 0", "stages.canary"),
        ("shares = [0.25, 0.5]", "shares = [0.5, 0.25]", "stages.shares"),
        ("shares = [0.25, 0.5]", "shares = [1.5]", "stages.shares"),
        ("shares = [0.25, 0.5]", 'shares = "half"', "stages.shares"),
        ("out = 1", "out = 8", "stages.out"),
        ('name = "n3"', 'name = "n2"', "dispatcher.3.name"),
        ("127.0.0.1:8073", "127.0.0.1:8072", "dispatcher.3.console"),
        ("127.0.0.1:8073", "nowhere", "dispatcher.3.console"),
        (
            'start = ["{program}/.venv/bin/python", "-m", "eiderfield", "--config", "{config}"]',
            "",
            "dispatcher.0.start",
        ),
        (
            'start = ["{program}/.venv/bin/python", "-m", "eiderfield", "--config", "{config}"]',
            "start = []",
            "dispatcher.0.start",
        ),
        ("[[dispatcher]]", "[[dispatchers]]", "dispatcher"),
        ("[watch]", "[watch", "not TOML"),
    ],
)
def test_a_faulty_plan_is_refused_by_the_name_of_its_key(old, new, key):
    assert old in EXAMPLE
    with pytest.raises(ConfigError) as error:
        parse_plan(EXAMPLE.replace(old, new))
    assert str(error.value).startswith(key)


WATCH = WatchSettings(max_duration=60.0)


def window(new=0.95, old=0.95, asked=200, **more):
    """Two new ones and six old ones, with these shares in time."""

    def one(name, is_new, share):
        counts = {"completed": {"a": asked}, "in_time": {"a": round(share * asked)}}
        return Observation(name, is_new, descriptors=40, memory=16.0, **counts)

    seen = [one(f"n{n}", n < 2, new if n < 2 else old) for n in range(8)]
    seen[0] = replace(seen[0], **more)
    return seen


def decide(analysis, seen, most=200):
    for _ in range(most):
        if (assessment := analysis.assess(1.0, seen)).decision != Decision.WAIT:
            return assessment
    raise AssertionError("it waits for ever")


def test_a_change_that_is_no_worse_goes_on_and_a_worse_one_is_undone_by_class():
    assert decide(CanaryAnalysis(WATCH, ["a"]), window()).decision == Decision.GO
    assessment = decide(CanaryAnalysis(WATCH, ["a"]), window(new=0.85))
    assert assessment.decision == Decision.UNDO
    assert "class a" in assessment.reason


def test_windows_without_a_failure_do_not_outweigh_those_with_failures():
    """Seen: a change that failed one request in six was held or let go on beside busy processes."""
    analysis = CanaryAnalysis(replace(WATCH, in_time_drop=0.2), ["a"])
    for number in range(60):
        failed = 0 if number % 2 else 2  # of the six requests of each new dispatcher
        observations = [
            Observation(f"n{n}", n < 2, completed={"a": 6}, in_time={"a": 6 - failed * (n < 2)})
            for n in range(4)
        ]
        assessment = analysis.assess(1.0, observations)
        if assessment.decision is not Decision.WAIT:
            break
    assert assessment.decision is Decision.UNDO
    assert "class a" in assessment.reason


def waiting(new, old, asked=50):
    """The usual window, with jobs that take so many ms, each a third more or less."""

    def moments(ms):
        logs = [log(ms * 4.0 / 3.0), log(ms * 2.0 / 3.0)]
        return Moments(asked, sum(logs) * asked / 2.0, sum(x * x for x in logs) * asked / 2.0)

    return [replace(one, latencies={"a": moments(new if one.is_new else old)}) for one in window(asked=asked)]


def test_one_that_serves_in_time_but_slower_is_undone_and_one_as_fast_goes_on():
    assert decide(CanaryAnalysis(WATCH, ["a"]), waiting(200.0, 200.0)).decision == Decision.GO
    assessment = decide(CanaryAnalysis(WATCH, ["a"]), waiting(260.0, 200.0))
    assert assessment.decision == Decision.UNDO
    assert "slower" in assessment.reason
    assert decide(CanaryAnalysis(WATCH, ["a"]), waiting(160.0, 200.0)).decision == Decision.GO


def test_a_flood_that_hurts_both_stops_nothing():
    analysis = CanaryAnalysis(WATCH, ["a"])
    analysis.assess(1.0, window(asked=20))
    assert decide(analysis, window(new=0.4, old=0.4)).decision == Decision.GO


def test_a_canary_with_little_traffic_is_held_and_not_passed():
    assessment = decide(CanaryAnalysis(replace(WATCH, max_duration=20.0), ["a"]), window(asked=1))
    assert assessment.decision == Decision.HOLD
    assert "a" in assessment.reason


def test_a_class_that_nobody_asks_for_holds_nothing_up():
    assessment = decide(CanaryAnalysis(WATCH, ["a", "b"]), window())
    assert assessment.decision == Decision.GO
    assert "b" in assessment.reason


def test_one_bad_class_of_two_is_enough():
    seen = [
        replace(one, completed={"a": 200, "b": 200}, in_time={"a": 190, "b": 150 if one.is_new else 190})
        for one in window()
    ]
    assert "class b" in decide(CanaryAnalysis(WATCH, ["a", "b"]), seen).reason


@pytest.mark.parametrize(
    ("more", "why"),
    [
        ({"alive": False}, "gone"),
        ({"ready": False, "age": 31.0}, "not ready"),
        ({"violation": "drain"}, "broke a rule: drain"),
        ({"descriptors": 100}, "descriptors"),
        ({"memory": 60.0}, "memory"),
    ],
)
def test_what_no_chance_explains_undoes_at_once(more, why):
    assessment = CanaryAnalysis(WATCH, ["a"]).assess(1.0, window(**more))
    assert assessment.decision == Decision.UNDO
    assert why in assessment.reason


def test_one_that_is_not_ready_yet_or_cold_is_waited_for():
    analysis = CanaryAnalysis(WATCH, ["a"])
    slow = [replace(one, ready=False, age=5.0) if one.is_new else one for one in window(new=0.2)]
    assert analysis.assess(1.0, slow).decision == Decision.WAIT
    cold = [replace(one, age=5.0) if one.is_new else one for one in window(new=0.2)]
    assert analysis.assess(1.0, cold).decision == Decision.WAIT
    assert not analysis.log_likelihood_ratios["a"], "nobody that counts was seen"


def test_unreachable_is_not_gone_it_waits_and_then_holds():
    seen = [replace(one, alive=None) if one.is_new else one for one in window()]
    analysis = CanaryAnalysis(WATCH, ["a"])
    assert analysis.assess(1.0, seen).decision == Decision.WAIT
    assert decide(analysis, seen).decision == Decision.HOLD


def test_what_differed_before_the_change_is_not_its_fault():
    seen = window(new=0.88, old=0.95)
    baseline = Baseline(["a"])
    for _ in range(60):
        baseline.add_window(seen)
    assert decide(CanaryAnalysis(WATCH, ["a"]), seen).decision == Decision.UNDO
    assert (
        decide(CanaryAnalysis(WATCH, ["a"], offsets=baseline.offsets({"n0", "n1"})), seen).decision
        == Decision.GO
    )


def test_the_chances_of_error_hold_over_simulated_rollouts():
    """100 each here; the figures of 1,000 are in docs/rollout.md."""
    good, bad = (decision_shares(100, worse, 0.03)["sequential, with the baseline"] for worse in (0.0, 0.08))
    assert good["undo"] <= 0.05
    assert bad["undo"] >= 0.9


@pytest.mark.parametrize(("new", "word"), [(1.05, Decision.GO), (1.6, Decision.UNDO)])
def test_a_change_that_sends_requests_far_more_often_is_undone_before_any_is_late(new, word):
    analysis = CanaryAnalysis(WatchSettings(), ["a"], 1)
    assessment = None
    for _ in range(400):
        seen = [
            Observation(
                f"n{n}",
                n < 2,
                completed={"a": 20},
                in_time={"a": 20},
                attempts=round(20 * (new if n < 2 else 1.0)),
            )
            for n in range(8)
        ]
        assessment = analysis.assess(1.0, seen)
        if assessment.decision is not Decision.WAIT:
            break
    assert assessment.decision is word
    assert ("attempts per request" in assessment.reason) == (word is Decision.UNDO)


@pytest.mark.parametrize(("new", "word"), [(1.5, Decision.GO), (2.5, Decision.UNDO)])
def test_a_change_that_uses_far_more_cpu_per_request_is_undone(new, word):
    analysis, assessment = CanaryAnalysis(WatchSettings(), ["a"], 1), None
    for _ in range(400):
        seen = [
            Observation(
                f"n{n}", n < 2, completed={"a": 20}, in_time={"a": 20}, attempts=20, cpu_seconds=0.1 * times
            )
            for n in range(8)
            for times in [new if n < 2 else 1.0]
        ]
        assessment = analysis.assess(1.0, seen)
        if assessment.decision is not Decision.WAIT:
            break
    assert assessment.decision is word
    assert ("CPU per request" in assessment.reason) == (word is Decision.UNDO)


def test_the_command_shows_the_stages_and_names_a_fault(tmp_path):
    told = CliRunner().invoke(main, ["rollout", "plan", str(ROOT / "deploy" / "rollout-example.toml")])
    assert told.exit_code == 0
    assert "canary, zone kochi, 1 at once: n0" in told.output
    assert "zone kollam changes in the last stage alone" in told.output, "its second zone has no other"
    late = [("a", "z0"), ("b", "z0"), ("c", "z1")]
    text = EXAMPLE.split("[[dispatcher]]")[0].replace("shares = [0.25, 0.5]", "shares = [0.5]")
    for number, (name, zone) in enumerate(late):
        text += (
            f'[[dispatcher]]\nname = "{name}"\nzone = "{zone}"\nconsole = "127.0.0.1:{number + 1}"\n'
            f'spare = "127.0.0.1:{number + 9}"\nconfig = "c"\nstart = ["s"]\n'
        )
    path = tmp_path / "zones.toml"
    path.write_text(text)
    assert parse_plan(text).uncompared_zones == ("z1",)
    told = CliRunner().invoke(main, ["rollout", "plan", str(path)])
    assert "zone z1 changes in the last stage alone" in told.output
    path = tmp_path / "p.toml"
    path.write_text(EXAMPLE.replace("out = 1", "out = 9"))
    told = CliRunner().invoke(main, ["rollout", "plan", str(path)])
    assert told.exit_code == 2
    assert "stages.out" in told.output
    told = CliRunner().invoke(main, ["rollout", "weigh", "--rollouts", "3"])
    assert told.exit_code == 0
    assert "z test" in told.output
