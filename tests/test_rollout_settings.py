"""Settings laid over each dispatcher's own file: checked before anything is touched, and put back whole."""

from __future__ import annotations

import tomllib
from dataclasses import replace

import pytest
from support.rollout import PLAN

from eiderfield.config.errors import ConfigError
from eiderfield.rollout.actions import Version
from eiderfield.rollout.plan import Member
from eiderfield.rollout.settings import merge_settings, prepare_settings

FILE = """# Ours.
name = "n0"
listen = "127.0.0.1:1"
discovery = "127.0.0.1:2"
[settings]  # of the module
[[settings.classes]]
name = "lookup"
value = 1.0  # points
goal_time = 300
give_up = 5000
idempotency = "retryable"
"""


def fleet(tmp_path, over, count=8):
    members = tuple(
        Member(f"n{n}", ("h", 1 + n), "z", ("s",), config_file=f"n{n}.toml") for n in range(count)
    )
    for member in members:
        (tmp_path / member.config_file).write_text(FILE)
    (tmp_path / "over.toml").write_text(over)
    stages = tuple((member.name,) for member in members)
    return replace(
        PLAN, program="", previous_program="", settings="over.toml", members=members, stages=stages
    )


def test_a_class_is_laid_over_by_name_and_comments_stay():
    text = merge_settings(FILE, tomllib.loads('[[settings.classes]]\nname = "lookup"\nvalue = 2.0\n'))
    told = tomllib.loads(text)
    assert told["settings"]["classes"] == [{**tomllib.loads(FILE)["settings"]["classes"][0], "value": 2.0}]
    assert "# Ours." in text
    assert "# of the module" in text
    assert "# points" in text


def test_a_class_that_is_not_there_is_added_and_a_json_file_is_laid_over_too():
    told = tomllib.loads(merge_settings(FILE, tomllib.loads('[[settings.classes]]\nname = "new"\n')))
    assert [each["name"] for each in told["settings"]["classes"]] == ["lookup", "new"]
    assert '"worth": 3' in merge_settings('{"a": {"b": 1}}', {"a": {"worth": 3}}, as_json=True)


def test_one_bad_file_of_eight_is_named_and_no_file_is_touched(tmp_path):
    plan = fleet(tmp_path, "[limits]\nsockets = 900\n")
    (tmp_path / "n5.toml").write_text(FILE.replace('idempotency = "retryable"', 'idempotency = "sometimes"'))
    before = {path.name: path.read_text() for path in tmp_path.glob("n*.toml")}
    with pytest.raises(ConfigError, match=r"dispatcher\.5\.config.*idempotency"):
        prepare_settings(plan, tmp_path, tmp_path / "change")
    assert {path.name: path.read_text() for path in tmp_path.glob("n*.toml")} == before


@pytest.mark.parametrize(
    ("over", "key"),
    [("[limits]\nsokets = 9\n", "limits.sokets"), ("", "empty"), ("x = [", "change.settings")],
)
def test_settings_that_no_dispatcher_would_take_are_refused_before_the_start(over, key, tmp_path):
    with pytest.raises(ConfigError, match=key):
        prepare_settings(fleet(tmp_path, over), tmp_path, tmp_path / "change")


def test_what_was_and_what_is_to_be_are_kept_from_the_beginning(tmp_path):
    plan = fleet(tmp_path, "[limits]\nsockets = 900\n", 1)
    texts = prepare_settings(plan, tmp_path, tmp_path / "change")["n0"]
    assert texts.installed_version() is Version.OLD
    texts.install(Version.NEW)
    (tmp_path / "over.toml").write_text("[limits]\nsockets = 1000\n")
    again = prepare_settings(plan, tmp_path, tmp_path / "change")["n0"]  # another controller, later
    assert again.installed_version() is Version.NEW
    assert again.digests == texts.digests
    again.install(Version.OLD)
    assert (tmp_path / "n0.toml").read_text() == FILE
    (tmp_path / "n0.toml").write_text(FILE + "# by hand\n")
    assert again.installed_version() is None
