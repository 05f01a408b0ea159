"""The plan of a rolling change: its stages, its digest, and what is refused."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from support.processes import ROOT

from eiderfield.config.errors import ConfigError
from eiderfield.rollout.plan_file import parse_plan

EXAMPLE = (ROOT / "deploy" / "rollout-example.toml").read_text()


def test_stages_of_the_example_are_a_canary_then_shares_within_one_zone():
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
def test_stages_hold_every_dispatcher_once_and_never_span_zones(zones, canary, shares):
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
def test_faulty_plan_is_refused_by_the_name_of_its_key(old, new, key):
    assert old in EXAMPLE
    with pytest.raises(ConfigError) as error:
        parse_plan(EXAMPLE.replace(old, new))
    assert str(error.value).startswith(key)


def test_zones_that_change_in_the_last_stage_alone_are_uncompared():
    text = EXAMPLE.split("[[dispatcher]]")[0].replace("shares = [0.25, 0.5]", "shares = [0.5]")
    for number, zone in enumerate(("z0", "z0", "z1")):
        text += f'[[dispatcher]]\nname = "n{number}"\nzone = "{zone}"\nconsole = "127.0.0.1:{number + 1}"\n'
        text += f'spare = "127.0.0.1:{number + 9}"\nconfig = "c"\nstart = ["s"]\n'
    assert parse_plan(text).uncompared_zones == ("z1",)
