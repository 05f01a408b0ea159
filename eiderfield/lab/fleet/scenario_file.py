"""Reads scenarios from TOML, and checks any scenario.

An unknown key, a value outside its range, a fault that its target cannot have and a target that the scenario
does not contain raise a `ScenarioError` whose message begins with the key.
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

# Numeric keys of a scenario with their least and greatest values.
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
# Fields of `Scenario` that are not keys of a file: it has the tables [[fault]] and [[job]], and no floods.
NON_KEY_FIELDS = ("faults", "job_classes", "floods")
JOB_NAME_PATTERN = re.compile(r"[a-z][a-z0-9-]*")
JOB_NUMBER_KEYS = ("share", "worth", "deadline", "goal", "stretch")
FAULT_TEXT_KEYS = ("what", "who", "on", "way")


def parse_scenario(text: str) -> Scenario:
    """Return the scenario of a TOML text."""
    try:
        table = tomllib.loads(text)
    except ValueError as error:
        raise ScenarioError(f"not TOML: {error}") from None
    fault_tables = _pop_tables(table, "fault") or []
    job_tables = _pop_tables(table, "job")
    for key, value in table.items():
        _check_key(key, value)
    faults = tuple(_parse_fault(f"fault.{number}", fault) for number, fault in enumerate(fault_tables))
    job_classes = JOB_CLASSES
    if job_tables is not None:
        job_classes = tuple(_parse_job_class(f"job.{number}", job) for number, job in enumerate(job_tables))
    return validated(Scenario(**table, faults=faults, job_classes=job_classes))


def validated(scenario: Scenario) -> Scenario:
    """Return the scenario unchanged; raise `ScenarioError` if it cannot be run."""
    for key, low, high in RANGES:
        if not low <= getattr(scenario, key) <= high:
            raise ScenarioError(f"{key} is not from {low:g} to {high:g}: {getattr(scenario, key)!r}")
    if scenario.source not in DISCOVERY_KINDS:
        raise ScenarioError(f"source is not one of {', '.join(DISCOVERY_KINDS)}: {scenario.source!r}")
    _check_job_classes(scenario)
    for number, fault in enumerate(scenario.faults):
        _check_target(f"fault.{number}", fault, scenario)
        _check_start(f"fault.{number}", fault, scenario)
    return scenario


def _pop_tables(table: dict[str, Any], key: str) -> list[object] | None:
    """Remove a list of tables from a table and return it, or None if the key is absent."""
    value = table.pop(key, None)
    if value is not None and not isinstance(value, list):
        raise ScenarioError(f"{key} is not a list of tables")
    return value


def _check_key(key: str, value: object) -> None:
    known = {field.name for field in fields(Scenario)} - set(NON_KEY_FIELDS)
    if key not in known:
        raise ScenarioError(f"{key} is not a known key")
    default = getattr(Scenario(), key)
    if not _has_type_of(value, default):
        raise ScenarioError(f"{key} is not of the same type as its default {default!r}: {value!r}")


def _has_type_of(value: object, default: object) -> bool:
    """Return whether a value may replace a default, by its type; an integer may replace a float."""
    if isinstance(default, Mapping):
        return isinstance(value, Mapping)
    if isinstance(default, str | bool):
        return type(value) is type(default)
    if isinstance(value, bool):
        return False
    if isinstance(default, int):
        return isinstance(value, int)
    return isinstance(value, int | float) and isfinite(value)


def _parse_job_class(path: str, table: object) -> JobClass:
    given = _check_keys(path, table, JobClass, required=("name", "effect", "share", "run"))
    if not isinstance(given["name"], str) or not JOB_NAME_PATTERN.fullmatch(given["name"]):
        raise ScenarioError(
            f"{path}.name is not a word of lower-case letters, digits and hyphens: {given['name']!r}"
        )
    if given["effect"] not in EFFECTS:
        raise ScenarioError(f"{path}.effect is not one of {', '.join(EFFECTS)}: {given['effect']!r}")
    for key in ("run", "slots"):
        given[key] = _parse_range(f"{path}.{key}", given.get(key, [1, 1]), whole=key == "slots")
    for key in JOB_NUMBER_KEYS:
        value = given.get(key, 1.0)
        if type(value) not in (int, float) or not isfinite(value) or value < 0.0:
            raise ScenarioError(f"{path}.{key} is not a number of at least 0: {value!r}")
    if not isinstance(given.get("asks_again", True), bool):
        raise ScenarioError(f"{path}.asks_again is not true or false: {given['asks_again']!r}")
    return JobClass(**given)


RANGE_LENGTH = 2


def _parse_range(path: str, value_range: object, whole: bool) -> tuple[float, float]:
    """Return the least and the greatest value of a range; `whole` allows integers only."""
    number_types = (int,) if whole else (int, float)
    if (
        isinstance(value_range, list)
        and len(value_range) == RANGE_LENGTH
        and all(type(number) in number_types for number in value_range)
    ):
        low, high = value_range
        if 0.0 < low <= high:
            return low, high
    raise ScenarioError(f"{path} is not [least, greatest] with 0 < least <= greatest: {value_range!r}")


def _parse_fault(path: str, table: object) -> Fault:
    given = _check_keys(path, table, Fault, required=())
    for key, value in given.items():
        is_text = key in FAULT_TEXT_KEYS
        if is_text != isinstance(value, str) or isinstance(value, bool):
            raise ScenarioError(f"{path}.{key} is not a {'text' if is_text else 'number'}: {value!r}")
    for key in ("what", "who"):
        if key not in given:
            raise ScenarioError(f"{path}.{key} is missing")
    return Fault(**given)


def _check_keys(path: str, table: object, row_class: type[Any], required: tuple[str, ...]) -> dict[str, Any]:
    """Check that the keys of a table are fields of a dataclass and include `required`; return a copy."""
    if not isinstance(table, Mapping):
        raise ScenarioError(f"{path} is not a table")
    known = {field.name for field in fields(row_class)}
    for key in table:
        if key not in known:
            raise ScenarioError(f"{path}.{key} is not a known key")
    for key in required:
        if key not in table:
            raise ScenarioError(f"{path}.{key} is missing")
    return dict(table)


def _check_job_classes(scenario: Scenario) -> None:
    names = [job_class.name for job_class in scenario.job_classes]
    if not names or len(set(names)) < len(names):
        raise ScenarioError(f"job has no table, or two with the same name: {names!r}")
    if sum(job_class.share for job_class in scenario.job_classes) <= 0.0:
        raise ScenarioError("job has no share above 0: no job could be drawn")
    for number, job_class in enumerate(scenario.job_classes):
        max_slots = job_class.slots[1]
        if max_slots > scenario.slots:
            raise ScenarioError(
                f"job.{number}.slots exceeds the {scenario.slots} slots of a worker: {max_slots}"
            )


def _check_target(path: str, fault: Fault, scenario: Scenario) -> None:
    kind = target_kind(fault.who)
    if kind not in FAULTS:
        raise ScenarioError(f"{path}.who is not a dispatcher, worker, link or source: {fault.who!r}")
    if fault.what not in FAULTS[kind]:
        raise ScenarioError(
            f"{path}.what is not one of {', '.join(FAULTS[kind])} for a {kind}: {fault.what!r}"
        )
    if kind == "link" and not LINK_PATTERN.match(fault.who):
        raise ScenarioError(
            f"{path}.who is not a link such as c>n0, n0>w1, n*>w* or n0>source: {fault.who!r}"
        )
    names = {"dispatcher": scenario.dispatcher_names, "worker": scenario.worker_names}
    if kind in names and fault.who not in names[kind]:
        raise ScenarioError(f"{path}.who is not in the scenario: {fault.who!r}")
    if fault.lasts and not FAULTS[kind][fault.what]:
        raise ScenarioError(f"{path}.lasts does not apply: a {fault.what} has no duration")
    if fault.way not in DIRECTIONS:
        raise ScenarioError(f"{path}.way is not one of {', '.join(DIRECTIONS)}: {fault.way!r}")


def _check_start(path: str, fault: Fault, scenario: Scenario) -> None:
    if (fault.at is None) == (not fault.on):
        raise ScenarioError(f"{path} needs exactly one of at and on")
    if fault.on:
        match = EVENT_PATTERN.match(fault.on)
        if match is None or (match[2] and match[2] not in scenario.dispatcher_names):
            raise ScenarioError(f"{path}.on is not an event such as begun:20 or begun:n0:1: {fault.on!r}")
    if min(fault.after, fault.lasts, fault.value, fault.at or 0.0) < 0.0:
        raise ScenarioError(f"{path} has a negative time or value")
