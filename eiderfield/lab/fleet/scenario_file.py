"""Scenarios out of TOML, and the checks that hold for any scenario.

A key that is not known, a fault that does not fit its target, or a target that is not there is an error that
begins with the key.
"""

from __future__ import annotations

import re
import tomllib
from collections.abc import Mapping
from dataclasses import fields
from math import isfinite
from typing import Any

from eiderfield.lab.fleet.scenario import (
    DIRECTIONS,
    DISCOVERY_KINDS,
    EFFECTS,
    EVENT_PATTERN,
    FAULTS,
    JOB_CLASSES,
    LINK_PATTERN,
    Fault,
    JobClass,
    Scenario,
    ScenarioError,
    target_kind,
)

# Keys of a scenario with their least and greatest values.
RANGES: tuple[tuple[str, float, float], ...] = (
    ("dispatchers", 1, 60),
    ("workers", 1, 200),
    ("slots", 1, 64),
    ("queue", 0, 1000),
    ("cell", 1, 200),
    ("zones", 1, 20),
    ("jobs", 1, 100_000),
    ("rate", 0.1, 2000.0),
    ("retries", 0, 100),
    ("notice", 0.0, 60.0),
    ("cold_share", 0.01, 1.0),
    ("fall_multiple", 1.0, 100.0),
    ("fall", 1.0, 60_000.0),
)
NOT_KEYS = (
    "faults",
    "job_classes",
    "floods",
)  # fields of a scenario that a file gives otherwise or not at all
JOB_NAME = re.compile(r"[a-z][a-z0-9-]*")
JOB_NUMBERS = ("share", "worth", "deadline", "goal", "stretch")
FAULT_TEXTS = ("what", "who", "on", "way")


def parse_scenario(text: str) -> Scenario:
    """A scenario out of TOML."""
    try:
        table = tomllib.loads(text)
    except ValueError as error:
        raise ScenarioError(f"not TOML: {error}") from None
    fault_tables = _tables(table, "fault") or []
    job_tables = _tables(table, "job")
    for key, value in table.items():
        _check_key(key, value)
    faults = tuple(_parse_fault(f"fault.{number}", fault) for number, fault in enumerate(fault_tables))
    job_classes = JOB_CLASSES
    if job_tables is not None:
        job_classes = tuple(_parse_job_class(f"job.{number}", job) for number, job in enumerate(job_tables))
    return validated(Scenario(**table, faults=faults, job_classes=job_classes))


def validated(scenario: Scenario) -> Scenario:
    """The scenario, if it can be played."""
    for key, low, high in RANGES:
        if not low <= getattr(scenario, key) <= high:
            raise ScenarioError(f"{key} is not from {low:g} to {high:g}: {getattr(scenario, key)!r}")
    if scenario.source not in DISCOVERY_KINDS:
        raise ScenarioError(f"source is none of {', '.join(DISCOVERY_KINDS)}: {scenario.source!r}")
    _check_job_classes(scenario)
    for number, fault in enumerate(scenario.faults):
        _check_target(f"fault.{number}", fault, scenario)
        _check_moment(f"fault.{number}", fault, scenario)
    return scenario


def _tables(table: dict[str, Any], key: str) -> list[object] | None:
    """Takes a list of tables out of a table."""
    value = table.pop(key, None)
    if value is not None and not isinstance(value, list):
        raise ScenarioError(f"{key} is not a list of tables")
    return value


def _check_key(key: str, value: object) -> None:
    known = {field.name for field in fields(Scenario)} - set(NOT_KEYS)
    if key not in known:
        raise ScenarioError(f"{key} is not a known key")
    default = getattr(Scenario(), key)
    if not _fits(value, default):
        raise ScenarioError(f"{key} is not of the kind of {default!r}: {value!r}")


def _fits(value: object, default: object) -> bool:
    """Whether a value is of the kind of a default."""
    if isinstance(default, Mapping):
        return isinstance(value, Mapping)
    if isinstance(default, str | bool):
        return type(value) is type(default)
    if isinstance(value, bool):
        return False
    if isinstance(default, int):
        return isinstance(value, int)
    return isinstance(value, int | float) and isfinite(value)


def _parse_job_class(at: str, table: object) -> JobClass:
    given = _known_table(at, table, JobClass, required=("name", "effect", "share", "run"))
    if not isinstance(given["name"], str) or not JOB_NAME.fullmatch(given["name"]):
        raise ScenarioError(f"{at}.name is not a word: {given['name']!r}")
    if given["effect"] not in EFFECTS:
        raise ScenarioError(f"{at}.effect is none of {', '.join(EFFECTS)}: {given['effect']!r}")
    for key in ("run", "slots"):
        given[key] = _rising_pair(f"{at}.{key}", given.get(key, [1, 1]), whole=key == "slots")
    for key in JOB_NUMBERS:
        value = given.get(key, 1.0)
        if type(value) not in (int, float) or not isfinite(value) or value < 0.0:
            raise ScenarioError(f"{at}.{key} is not a number from 0: {value!r}")
    if not isinstance(given.get("asks_again", True), bool):
        raise ScenarioError(f"{at}.asks_again is not true or false: {given['asks_again']!r}")
    return JobClass(**given)


PAIR_LENGTH = 2


def _rising_pair(at: str, pair: object, whole: bool) -> tuple[float, float]:
    kinds = (int,) if whole else (int, float)
    if isinstance(pair, list) and len(pair) == PAIR_LENGTH and all(type(number) in kinds for number in pair):
        low, high = pair
        if 0.0 < low <= high:
            return low, high
    raise ScenarioError(f"{at} is not a pair that rises from above 0: {pair!r}")


def _parse_fault(at: str, table: object) -> Fault:
    given = _known_table(at, table, Fault, required=())
    for key, value in given.items():
        is_text = key in FAULT_TEXTS
        if is_text != isinstance(value, str) or isinstance(value, bool):
            raise ScenarioError(f"{at}.{key} is not a {'text' if is_text else 'number'}: {value!r}")
    for key in ("what", "who"):
        if key not in given:
            raise ScenarioError(f"{at}.{key} is missing")
    return Fault(**given)


def _known_table(at: str, table: object, kind: type[Any], required: tuple[str, ...]) -> dict[str, Any]:
    """A table whose keys are fields of a dataclass."""
    if not isinstance(table, Mapping):
        raise ScenarioError(f"{at} is not a table")
    known = {field.name for field in fields(kind)}
    for key in table:
        if key not in known:
            raise ScenarioError(f"{at}.{key} is not a known key")
    for key in required:
        if key not in table:
            raise ScenarioError(f"{at}.{key} is missing")
    return dict(table)


def _check_job_classes(scenario: Scenario) -> None:
    names = [job_class.name for job_class in scenario.job_classes]
    if not names or len(set(names)) < len(names):
        raise ScenarioError(f"job names none, or one twice: {names!r}")
    if sum(job_class.share for job_class in scenario.job_classes) <= 0.0:
        raise ScenarioError("job has no share above 0: nothing would be asked for")
    for number, job_class in enumerate(scenario.job_classes):
        most = job_class.slots[1]
        if most > scenario.slots:
            raise ScenarioError(f"job.{number}.slots is more than a worker's {scenario.slots}: {most}")


def _check_target(at: str, fault: Fault, scenario: Scenario) -> None:
    kind = target_kind(fault.who)
    if kind not in FAULTS:
        raise ScenarioError(f"{at}.who is no dispatcher, worker, link or source: {fault.who!r}")
    if fault.what not in FAULTS[kind]:
        raise ScenarioError(f"{at}.what is none of {', '.join(FAULTS[kind])} for a {kind}: {fault.what!r}")
    if kind == "link" and not LINK_PATTERN.match(fault.who):
        raise ScenarioError(f"{at}.who is no link such as c>n0, n0>w1, n*>w* or n0>source: {fault.who!r}")
    names = {"dispatcher": scenario.dispatcher_names, "worker": scenario.worker_names}
    if kind in names and fault.who not in names[kind]:
        raise ScenarioError(f"{at}.who is not there: {fault.who!r}")
    if fault.lasts and not FAULTS[kind][fault.what]:
        raise ScenarioError(f"{at}.lasts says nothing: a {fault.what} has no end")
    if fault.way not in DIRECTIONS:
        raise ScenarioError(f"{at}.way is none of {', '.join(DIRECTIONS)}: {fault.way!r}")


def _check_moment(at: str, fault: Fault, scenario: Scenario) -> None:
    if (fault.at is None) == (not fault.on):
        raise ScenarioError(f"{at} needs one of at and on")
    if fault.on:
        match = EVENT_PATTERN.match(fault.on)
        if match is None or (match[2] and match[2] not in scenario.dispatcher_names):
            raise ScenarioError(f"{at}.on is no event such as begun:20 or begun:n0:1: {fault.on!r}")
    if min(fault.after, fault.lasts, fault.value, fault.at or 0.0) < 0.0:
        raise ScenarioError(f"{at} has a time or value below 0")
