"""Reads the plan of a rolling change from TOML and checks it.

    name = "release-42"
    [change]
    program = "releases/42"               # folder of the new program
    before = "releases/41"                # folder of the program that runs now
    settings = "classes.toml"             # merged into each dispatcher's own file; with or without a program
    [watch]
    seconds = 120.0                       # longest time for which a stage is watched
    worse = 0.05                          # decrease of the share served in time that counts as worse
    [stages]
    canary = 1
    shares = [0.25, 0.5]
    out = 2                               # dispatchers that may be changing at once
    [[dispatcher]]
    name = "n0"
    console = "127.0.0.1:8070"            # of the running process; the next process gets the other address
    spare = "127.0.0.1:8170"
    zone = "kochi"
    config = "n0.toml"                    # the dispatcher's own file
    start = ["{program}/.venv/bin/python", "-m", "eiderfield", "--config", "{config}"]
    [dispatcher.environment]
    TMPDIR = "run"

The text of every `ConfigError` begins with the faulty key.
"""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass

from eiderfield.config.address import Address
from eiderfield.config.errors import ConfigError
from eiderfield.config.reader import TableReader
from eiderfield.rollout.plan import Member, Plan, WatchSettings, plan_stages

MAX_DISPATCHERS = 1000
DEFAULT_SHARES = (0.25, 0.5)
PLACEHOLDERS = ("program", "config", "console")  # allowed in a start command and its environment


@dataclass(frozen=True, slots=True)
class _WatchKey:
    """A number of the table `[watch]`: its key, the field that holds it, and its bounds."""

    key: str
    field: str
    minimum: float
    maximum: float


_WATCH_NUMBERS = (
    _WatchKey("seconds", "max_duration", 1.0, 86_400.0),
    _WatchKey("before", "baseline_duration", 0.0, 86_400.0),
    _WatchKey("look", "poll_interval", 0.05, 60.0),
    _WatchKey("settle", "warm_up", 0.0, 3600.0),
    _WatchKey("ready", "ready_timeout", 0.1, 3600.0),
    _WatchKey("worse", "in_time_drop", 0.005, 0.5),
    _WatchKey("slower", "latency_increase", 0.02, 10.0),
    _WatchKey("false_stop", "false_positive_rate", 0.0001, 0.2),
    _WatchKey("missed", "false_negative_rate", 0.0001, 0.2),
    _WatchKey("descriptors", "max_descriptor_ratio", 1.0, 100.0),
    _WatchKey("memory", "max_memory_ratio", 1.0, 100.0),
    _WatchKey("legs", "max_attempt_ratio", 1.0, 100.0),
    _WatchKey("processor", "max_cpu_ratio", 1.0, 100.0),
)


@dataclass(frozen=True, slots=True)
class _ChangeTable:
    """The table `[change]`: what is replaced by what; "" for what stays."""

    program: str
    previous_program: str
    settings: str


def parse_plan(text: str) -> Plan:
    """Return the plan that `text` (TOML) describes.

    Raises:
        ConfigError: the text is not TOML, or a key is missing, unknown or wrong.
    """
    try:
        table = TableReader(tomllib.loads(text))
    except ValueError as error:
        raise ConfigError(f"not TOML: {error}") from None
    name = table.text("name")
    change = _parse_change(table.table("change"))
    watch = _parse_watch(table.table("watch"))
    members = _parse_members(table, change)
    stages_table = table.table("stages")
    max_concurrent = stages_table.integer("out", 1, 1, MAX_DISPATCHERS)
    if max_concurrent >= len(members) > 1:
        raise ConfigError(
            f"stages.out is not below the {len(members)} dispatchers: none would be left to serve"
        )
    canaries = stages_table.integer("canary", 1, 1, MAX_DISPATCHERS)
    stages = plan_stages(members, canaries, _parse_shares(stages_table))
    stages_table.reject_unknown_keys()
    table.reject_unknown_keys()
    return Plan(
        name=name,
        program=change.program,
        settings=change.settings,
        members=members,
        stages=stages,
        max_concurrent=max_concurrent,
        watch=watch,
        previous_program=change.previous_program,
    )


def _parse_change(table: TableReader) -> _ChangeTable:
    change = _ChangeTable(
        program=table.text("program", ""),
        settings=table.text("settings", ""),
        previous_program=table.text("before", ""),
    )
    if not change.program and not change.settings:
        raise ConfigError("change names neither program nor settings: nothing would change")
    if change.program and not change.previous_program:
        raise ConfigError("change.before is missing: an undo needs the folder of the running program")
    if change.previous_program and not change.program:
        raise ConfigError("change.before has no effect without change.program")
    table.reject_unknown_keys()
    return change


def _parse_members(table: TableReader, change: _ChangeTable) -> tuple[Member, ...]:
    entries = table.raw("dispatcher")
    if not isinstance(entries, list) or not entries:
        raise ConfigError("dispatcher is missing: a change needs at least one dispatcher")
    if len(entries) > MAX_DISPATCHERS:
        raise ConfigError(f"dispatcher has more than {MAX_DISPATCHERS} entries")
    members = tuple(
        _parse_member(TableReader(entry, f"dispatcher.{number}")) for number, entry in enumerate(entries)
    )
    _check_distinct_names(members)
    _check_distinct_consoles(members)
    for number, member in enumerate(members):
        if change.program and member.spare_console is None:
            raise ConfigError(f"dispatcher.{number}.spare is missing: the new process needs its own console")
        if change.settings and not member.config_file:
            raise ConfigError(f"dispatcher.{number}.config is missing: the new settings are merged into it")
    return members


def _check_distinct_names(members: tuple[Member, ...]) -> None:
    names: set[str] = set()
    for number, member in enumerate(members):
        if member.name in names:
            raise ConfigError(f"dispatcher.{number}.name is that of another dispatcher: {member.name!r}")
        names.add(member.name)


def _check_distinct_consoles(members: tuple[Member, ...]) -> None:
    consoles: set[Address] = set()
    for number, member in enumerate(members):
        for key, address in (("console", member.console), ("spare", member.spare_console)):
            if address is None:
                continue
            if address in consoles:
                raise ConfigError(f"dispatcher.{number}.{key} is used twice in the plan")
            consoles.add(address)


def _parse_member(table: TableReader) -> Member:
    member = Member(
        name=table.text("name"),
        console=table.address("console"),
        zone=table.text("zone", "-"),
        start_command=_parse_start_command(table),
        environment=_parse_environment(table),
        spare_console=table.address("spare") if table.has("spare") else None,
        config_file=table.text("config", ""),
    )
    table.reject_unknown_keys()
    return member


def _parse_start_command(table: TableReader) -> tuple[str, ...]:
    words = table.raw("start")
    key = table.key("start")
    if not isinstance(words, list) or not words or not all(isinstance(word, str) and word for word in words):
        raise ConfigError(f"{key} is not a list of words: a command is needed")
    for word in words:
        _check_placeholders(word, key)
    return tuple(words)


def _parse_environment(table: TableReader) -> dict[str, str]:
    environment = table.raw("environment") or {}
    key = table.key("environment")
    if not isinstance(environment, Mapping) or not all(isinstance(v, str) for v in environment.values()):
        raise ConfigError(f"{key} is not a table of texts")
    for name, value in environment.items():
        _check_placeholders(value, f"{key}.{name}")
    return dict(environment)


def _check_placeholders(text: str, key: str) -> None:
    """Raise `ConfigError` if `text` has a placeholder that has no value."""
    try:
        text.format(**dict.fromkeys(PLACEHOLDERS, ""))
    except (LookupError, ValueError, AttributeError):
        allowed = ", ".join(f"{{{name}}}" for name in PLACEHOLDERS)
        raise ConfigError(f"{key} has a placeholder other than {allowed}: {text!r}") from None


def _parse_watch(table: TableReader) -> WatchSettings:
    defaults = WatchSettings()
    numbers = {
        row.field: table.number(row.key, getattr(defaults, row.field), row.minimum, row.maximum)
        for row in _WATCH_NUMBERS
    }
    max_start_attempts = table.integer("trials", defaults.max_start_attempts, 1, 100)
    watch = WatchSettings(**numbers, max_start_attempts=max_start_attempts)
    if watch.warm_up >= watch.max_duration:
        raise ConfigError(f"{table.key('settle')} is not below seconds: nothing would be watched")
    table.reject_unknown_keys()
    return watch


def _parse_shares(table: TableReader) -> tuple[float, ...]:
    values = table.raw("shares")
    if values is None:
        return DEFAULT_SHARES
    key = table.key("shares")
    if not isinstance(values, list) or not all(_is_share(value) for value in values):
        raise ConfigError(f"{key} is not a list of shares between 0 and 1: {values!r}")
    if sorted(set(values)) != values:
        raise ConfigError(f"{key} is not in ascending order: {values!r}")
    return tuple(float(value) for value in values)


def _is_share(value: object) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool) and 0.0 < value < 1.0
