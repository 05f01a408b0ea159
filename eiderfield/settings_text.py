"""Parser of the settings text, which has one `key=value` per line, as sent by the simulator.

The values of a list are separated by commas. A list of tables has its length in `NAME.count` and its items
in `NAME.0`, `NAME.1` and so on. Unknown keys are ignored.

`CLASS_FIELDS`, `TENANT_FIELDS` and `SETTINGS_FIELDS` map each key to the attribute that it sets, with its
parser and its default. Only they relate the keys that operators use to the names of attributes.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, TypeVar

from eiderfield.errors import EiderfieldError
from eiderfield.model.settings import Effect, RequestClass, Scope, Settings, Tenant

T = TypeVar("T")


class SettingsError(EiderfieldError, ValueError):
    """A setting is missing or invalid.

    Attributes:
        key: The key of the setting.
        problem: The predicate of a sentence whose subject is the key, for example "is missing".
    """

    def __init__(self, key: str, problem: str) -> None:
        """Create an error with the message `setting KEY PROBLEM`."""
        super().__init__(f"setting {key} {problem}")
        self.key = key
        self.problem = problem


class SettingsReader:
    """Typed access to the values of a settings text.

    Every method raises `SettingsError` for an invalid value, or for a missing key without a default.
    """

    def __init__(self, text: str) -> None:
        """Read the keys and values of `text`. Lines without `=` are ignored."""
        self._values: dict[str, str] = {}
        for line in text.splitlines():
            key, separator, value = line.partition("=")
            if separator:
                self._values[key.strip()] = value.strip()

    def text(self, key: str, default: str | None = None) -> str:
        """Return a value unchanged."""
        value = self._values.get(key)
        if value is not None:
            return value
        if default is None:
            raise SettingsError(key, "is missing")
        return default

    def number(self, key: str, default: float | None = None, low: float = 0.0) -> float:
        """Return a finite number that is at least `low`."""
        text = self._values.get(key)
        if text is None:
            if default is None:
                raise SettingsError(key, "is missing")
            return default
        try:
            value = float(text)
        except ValueError:
            raise SettingsError(key, f"is not a number: {text}") from None
        if not math.isfinite(value) or value < low:
            raise SettingsError(key, f"must be at least {low:g}: {text}")
        return value

    def integer(self, key: str, default: int | None = None, low: int = 0) -> int:
        """Return a whole number that is at least `low`."""
        value = self.number(key, default, low)
        if value != int(value):
            raise SettingsError(key, f"is not a whole number: {value}")
        return int(value)

    def flag(self, key: str) -> bool:
        """Return a value that is `true` or `false`; false if the key is missing."""
        text = self._values.get(key, "false")
        if text not in ("true", "false"):
            raise SettingsError(key, f"must be true or false: {text}")
        return text == "true"

    def list_items(self, key: str) -> list[str]:
        """Return the items of a list, which is empty if the key is missing."""
        return [item for item in self._values.get(key, "").split(",") if item]

    def choice(self, key: str, choices: Mapping[str, T], default: str | None = None) -> T:
        """Return the entry of `choices` for the value of a key."""
        name = self.text(key, default)
        if name not in choices:
            raise SettingsError(key, f"must be one of {', '.join(choices)}: {name}")
        return choices[name]

    def list_item(self, key: str, index: int, default: float) -> float:
        """Return the number at an index of a list, or `default` if the list is too short."""
        items = self.list_items(key)
        if index >= len(items):
            return default
        try:
            return float(items[index])
        except ValueError:
            raise SettingsError(key, f"is not a list of numbers: {items[index]}") from None

    def list_integer(self, key: str, index: int, default: int) -> int:
        """Return the number at an index of a list, truncated, or `default` if the list is too short."""
        value = self.list_item(key, index, default)
        if not math.isfinite(value):
            raise SettingsError(key, f"is not a list of finite numbers: {value}")
        return int(value)


Parser = Callable[[SettingsReader, str], Any]


@dataclass(frozen=True, slots=True)
class SettingField:
    """The key of a setting, the attribute that it sets, and the parser of its value with the default."""

    key: str
    field: str
    parse: Parser


def _number(default: float | None = None) -> Parser:
    return lambda reader, key: reader.number(key, default)


def _integer(default: int, low: int = 0) -> Parser:
    return lambda reader, key: reader.integer(key, default, low)


def _choice(choices: Mapping[str, object], default: str | None = None) -> Parser:
    return lambda reader, key: reader.choice(key, choices, default)


_flag: Parser = SettingsReader.flag


def _zone_count(reader: SettingsReader, key: str) -> int:
    return max(1, len(reader.list_items(key)))


def _load_report_fields(reader: SettingsReader, key: str) -> tuple[str, ...]:
    reports_load = reader.text("load_info.how", "none") != "none"
    return tuple(reader.list_items(key)) if reports_load else ()


EFFECTS = {"retryable": Effect.SAFE, "dedup": Effect.KEYED, "fragile": Effect.UNSAFE}
SCOPES = {"all": Scope.ALL, "zone": Scope.ZONE, "cell": Scope.CELL}

# Keys below `classes.N.`. `_read_class` reads the name, and the values that are lists over all classes.
CLASS_FIELDS = (
    SettingField("value", "priority_weight", _number()),
    SettingField("goal_time", "latency_objective_ms", _number()),
    SettingField("give_up", "deadline_ms", _number()),
    SettingField("idempotency", "effect", _choice(EFFECTS)),
    SettingField("key_scope", "scope", _choice(SCOPES, "all")),
    SettingField("repeat_window", "repeat_window_ms", _number(0.0)),
    SettingField("late_value", "late_weight", _number(0.0)),
    SettingField("streamed", "streamed", _flag),
)

# Keys below `projects.N.`. `_read_tenant` reads the name.
TENANT_FIELDS = (
    SettingField("quota_per_s", "quota_per_s", _number()),
    SettingField("fraction", "share", _number(0.0)),
)

SETTINGS_FIELDS = (
    SettingField("balancers", "dispatcher_count", _integer(1, low=1)),
    SettingField("me", "dispatcher_index", _integer(0)),
    SettingField("locality", "zone_index", _integer(0)),
    SettingField("zones", "zone_count", _zone_count),
    SettingField("tick", "clock_resolution_ms", _number(1.0)),
    SettingField("counted_by", "weight_by_work", _choice({"request": False, "work": True}, "request")),
    SettingField("over_share_worth", "over_quota_weight", _number(1.0)),
    SettingField(
        "discovery", "subscribes_to_endpoints", _choice({"automatic": False, "subscribe": True}, "automatic")
    ),
    SettingField("load_info.columns", "load_report_fields", _load_report_fields),
    SettingField("family_info.tells_start", "workers_report_start", _flag),
    SettingField("family_info.progress", "progress_interval_ms", _number(0.0)),
    SettingField("policy_limits.cancel", "cancellation_allowed", _flag),
    SettingField("policy_limits.probes", "probing_allowed", _flag),
    SettingField("policy_limits.may_tell", "gossip_allowed", _flag),
    SettingField("policy_limits.may_duplicate", "hedging_allowed", _flag),
    SettingField("policy_limits.retry_after", "retry_advice_allowed", _flag),
    SettingField("policy_limits.max_attempts", "max_attempts", _integer(1, low=1)),
    SettingField("policy_limits.max_open", "max_open_attempts", _integer(1_000_000, low=1)),
    SettingField("policy_limits.max_retry_after", "max_retry_after_ms", _number(0.0)),
    SettingField("rules.answer_slack", "answer_slack_ms", _number(0.0)),
    SettingField("rules.drain_grace", "drain_grace_ms", _number(0.0)),
    SettingField("rules.fall_multiple", "recovery_ramp_multiple", _number(1.0)),
    SettingField("rules.fall", "recovery_ramp_ms", _number(1000.0)),
    SettingField("rules.cold", "slow_start_window_ms", _number(0.0)),
    SettingField("rules.start_capacity", "slow_start_share", _number(1.0)),
    SettingField("rules.ask_within", "poll_interval_ms", _number(0.0)),
    SettingField("penalties.cross_zone", "cross_zone_cost", _number(0.0)),
)


def parse_settings(text: str) -> Settings:
    """Return the settings of a text; raise `SettingsError` for a missing key or an invalid value."""
    reader = SettingsReader(text)
    classes = tuple(_read_class(reader, index) for index in range(reader.integer("classes.count", low=1)))
    tenants = tuple(_read_tenant(reader, index) for index in range(reader.integer("projects.count", 0)))
    settings = Settings(classes=classes, tenants=tenants, **_read_fields(reader, SETTINGS_FIELDS))
    if settings.dispatcher_index >= settings.dispatcher_count:
        raise SettingsError("me", f"is not below balancers: {settings.dispatcher_index}")
    return settings


def _read_class(reader: SettingsReader, index: int) -> RequestClass:
    prefix = f"classes.{index}."
    default_stretch = reader.list_item("family_info.class_stretch", index, 0.0)
    request_class = RequestClass(
        name=reader.text(f"{prefix}name", str(index)),
        objective_stretch=reader.number(f"{prefix}aim_stretch", default_stretch),
        kind=reader.list_integer("family_info.class_kind", index, -1),
        priority=reader.list_integer("family_info.class_priority", index, 0),
        **_read_fields(reader, CLASS_FIELDS, prefix),
    )
    if request_class.latency_objective_ms > request_class.deadline_ms:
        raise SettingsError(f"{prefix}goal_time", f"is longer than {prefix}give_up")
    return request_class


def _read_tenant(reader: SettingsReader, index: int) -> Tenant:
    prefix = f"projects.{index}."
    name = reader.text(f"{prefix}name", str(index))
    return Tenant(name=name, **_read_fields(reader, TENANT_FIELDS, prefix))


def _read_fields(
    reader: SettingsReader, fields: tuple[SettingField, ...], prefix: str = ""
) -> dict[str, Any]:
    """Return the parsed values of the keys, by the names of the attributes that they set."""
    return {row.field: row.parse(reader, f"{prefix}{row.key}") for row in fields}
