"""The table `settings`: what the policy decides by."""

from __future__ import annotations

from collections.abc import Mapping

from eiderfield.config.errors import ConfigError
from eiderfield.idmap import normalize_name
from eiderfield.interface import Settings
from eiderfield.settings_text import SettingsError, parse_settings


def read_policy_settings(data: object) -> Settings:
    """Return the settings of the policy from the nested table `settings`."""
    try:
        return parse_settings("\n".join(settings_lines(data)))
    except SettingsError as error:
        key = f"settings.{error.key}"
        raise ConfigError(f"{key} {error.problem}", key=key) from None


def settings_lines(value: object, path: str = "") -> list[str]:
    """Return nested settings as the `path=value` lines that the simulator's wire uses."""
    if isinstance(value, Mapping):
        prefix = f"{path}." if path else ""
        return [line for name, inner in value.items() for line in settings_lines(inner, f"{prefix}{name}")]
    if not isinstance(value, list):
        return [f"{path}={_scalar(value)}"]
    if not any(isinstance(item, Mapping | list) for item in value):
        return [f"{path}={','.join(_scalar(item) for item in value)}"]
    lines = [f"{path}.count={len(value)}"]
    for index, item in enumerate(value):
        lines += settings_lines(item, f"{path}.{index}")
    return lines


def _scalar(value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return "" if value is None else normalize_name(str(value))
