"""Checks whether a running process can apply changed settings of the policy."""

from __future__ import annotations

from eiderfield.exchange.errors import FixedSettingError
from eiderfield.interface import Settings

# Keys of the settings, each with the attribute of `Settings` that holds its value. Requests refer to classes
# and tenants by index, so their names and their order are fixed; their other values may change.
_FIXED_NAME_LISTS = {"classes": "classes", "projects": "tenants"}
_FIXED_SETTINGS = {
    "load_info.columns": "load_report_fields",
    "zones": "zone_count",
    "discovery": "subscribes_to_endpoints",
    "family_info.tells_start": "workers_report_start",
    "policy_limits.may_tell": "gossip_allowed",
}


def check_settings(current: Settings, new: Settings) -> None:
    """Raise `FixedSettingError` if only a new process can apply the change from `current` to `new`."""
    for key, attribute in _FIXED_NAME_LISTS.items():
        old_names = [item.name for item in getattr(current, attribute)]
        new_names = [item.name for item in getattr(new, attribute)]
        if old_names != new_names:
            reason = f"names others than at the start: {new_names}, not {old_names}"
            raise FixedSettingError(f"settings.{key}", reason)
    for key, attribute in _FIXED_SETTINGS.items():
        if getattr(new, attribute) != getattr(current, attribute):
            raise FixedSettingError(f"settings.{key}", "takes effect at the next start alone")
