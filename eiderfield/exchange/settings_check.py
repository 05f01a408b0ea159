"""Checks which settings of the policy a running process can take."""

from __future__ import annotations

from eiderfield.exchange.errors import FixedSettingError
from eiderfield.interface import Settings

# Keys of the settings, each with the field of `Settings` that holds it. Requests refer to classes and tenants
# by index, so their names and order stay; their numbers may change.
_FIXED_NAME_LISTS = {"classes": "classes", "projects": "tenants"}
_FIXED_SETTINGS = {
    "load_info.columns": "load_report_fields",
    "zones": "zone_count",
    "discovery": "subscribes_to_endpoints",
    "family_info.tells_start": "workers_report_start",
    "policy_limits.may_tell": "gossip_allowed",
}


def check_settings(current: Settings, new: Settings) -> None:
    """Raise `FixedSettingError` for a change that only a new process can take."""
    for key, attribute in _FIXED_NAME_LISTS.items():
        old_names = [item.name for item in getattr(current, attribute)]
        new_names = [item.name for item in getattr(new, attribute)]
        if old_names != new_names:
            reason = f"names others than at the start: {new_names}, not {old_names}"
            raise FixedSettingError(f"settings.{key}", reason)
    for key, attribute in _FIXED_SETTINGS.items():
        if getattr(new, attribute) != getattr(current, attribute):
            raise FixedSettingError(f"settings.{key}", "takes effect at the next start alone")
