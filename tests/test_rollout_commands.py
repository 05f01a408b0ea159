"""The commands of `eiderfield rollout` that lead no change."""

from __future__ import annotations

import pytest
from click.testing import CliRunner
from support.processes import ROOT

from eiderfield.cli import main

EXAMPLE = ROOT / "deploy" / "rollout-example.toml"


@pytest.fixture
def run():
    """Run `eiderfield rollout` with some arguments, and return its result."""

    def run_rollout(*arguments):
        return CliRunner().invoke(main, ["rollout", *arguments])

    return run_rollout


def test_plan_command_shows_the_stages(run):
    result = run("plan", str(EXAMPLE))
    assert result.exit_code == 0
    assert "canary, zone kochi, 1 at once: n0" in result.output


def test_plan_command_names_a_zone_without_a_dispatcher_to_compare_with(run):
    assert "zone kollam changes in the last stage alone" in run("plan", str(EXAMPLE)).output


def test_plan_command_names_the_zone_of_a_last_stage(run, tmp_path):
    late = [("a", "z0"), ("b", "z0"), ("c", "z1")]
    text = EXAMPLE.read_text().split("[[dispatcher]]")[0].replace("shares = [0.25, 0.5]", "shares = [0.5]")
    for number, (name, zone) in enumerate(late):
        text += (
            f'[[dispatcher]]\nname = "{name}"\nzone = "{zone}"\nconsole = "127.0.0.1:{number + 1}"\n'
            f'spare = "127.0.0.1:{number + 9}"\nconfig = "c"\nstart = ["s"]\n'
        )
    path = tmp_path / "zones.toml"
    path.write_text(text)
    assert "zone z1 changes in the last stage alone" in run("plan", str(path)).output


def test_plan_command_names_the_key_of_a_faulty_plan(run, tmp_path):
    path = tmp_path / "plan.toml"
    path.write_text(EXAMPLE.read_text().replace("out = 1", "out = 9"))
    result = run("plan", str(path))
    assert result.exit_code == 2
    assert "stages.out" in result.output


def test_weigh_command_shows_all_tests(run):
    result = run("weigh", "--rollouts", "3")
    assert result.exit_code == 0
    assert "z test" in result.output
