"""Merges new settings into each dispatcher's own file, checks the result, and puts either version in place.

Tables are merged key by key. A list of tables that have names (classes, projects) is merged by name. Any
other value replaces the old one. A TOML file keeps its comments and its order (tomlkit).

Both versions of a file lie in the change's folder from the beginning:

    settings/NAME.old, settings/NAME.new
"""

from __future__ import annotations

import json
import tomllib
from collections.abc import Mapping, MutableMapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import tomlkit

from eiderfield.config.errors import ConfigError
from eiderfield.config.loader import read, read_text
from eiderfield.config.source import source_digest
from eiderfield.durable import SHARED_MODE, replace_file
from eiderfield.rollout.actions import Version
from eiderfield.rollout.plan import Member, Plan

SETTINGS_FOLDER = "settings"
JSON_SUFFIX = ".json"  # of a dispatcher's file; any other file is TOML


@dataclass(frozen=True, slots=True)
class SettingsFile:
    """A dispatcher's file: its path, and the text and the digest of either version.

    The console of a process reports the digest of the settings that it runs with.
    """

    path: Path
    texts: Mapping[Version, str]
    digests: Mapping[Version, str]

    def installed_version(self) -> Version | None:
        """Return the version that is in place; None if somebody else wrote the file, or it cannot be read."""
        try:
            text = self.path.read_text(encoding="utf-8")
        except OSError:
            return None
        return next((version for version, own in self.texts.items() if own == text), None)

    def install(self, version: Version) -> None:
        """Put a version in place by a rename, so that no reader sees half of it."""
        replace_file(self.path, self.texts[version], SHARED_MODE)

    def version_of(self, digest: str) -> Version:
        """Return the version that a process runs with, by the digest that its console reports."""
        return Version.NEW if digest == self.digests[Version.NEW] else Version.OLD


def prepare_settings(plan: Plan, base: Path, folder: Path) -> dict[str, SettingsFile]:
    """Return the settings file of each dispatcher by name; none if the plan changes no settings.

    Both versions are made once for a change: the next controller finds them in the change's folder.

    Args:
        plan: The plan of the change.
        base: The folder that the plan's paths are relative to.
        folder: The folder of the change.

    Raises:
        ConfigError: a file cannot be read, or a dispatcher would refuse the new settings.
    """
    if not plan.settings:
        return {}
    changes = _read_changes(base / plan.settings)
    place = folder / SETTINGS_FOLDER
    place.mkdir(parents=True, exist_ok=True)
    return {
        member.name: _prepare_member(member, f"dispatcher.{number}.config", base, place, changes)
        for number, member in enumerate(plan.members)
    }


def _read_changes(path: Path) -> dict[str, Any]:
    try:
        changes = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise ConfigError(f"change.settings: {path}: {error}") from None
    if not changes:
        raise ConfigError(f"change.settings: {path} is empty: nothing would change")
    return changes


def _prepare_member(
    member: Member, key: str, base: Path, place: Path, changes: Mapping[str, Any]
) -> SettingsFile:
    path = (base / member.config_file).resolve()
    copies = {version: place / f"{member.name}.{version.value}" for version in Version}
    if not all(copy.exists() for copy in copies.values()):
        try:
            old = path.read_text(encoding="utf-8")
            new = merge_settings(old, changes, path.suffix == JSON_SUFFIX)
        except (OSError, ValueError) as error:
            raise ConfigError(f"{key}: {path}: {error}") from None
        _check_accepted(new, path, key, member.environment)
        replace_file(copies[Version.OLD], old, SHARED_MODE)  # an undo would put half of a copy in place
        replace_file(copies[Version.NEW], new, SHARED_MODE)
    texts = {version: copy.read_text(encoding="utf-8") for version, copy in copies.items()}
    digests = {version: source_digest(_parse(text, path)) for version, text in texts.items()}
    return SettingsFile(path, texts, digests)


def merge_settings(text: str, changes: Mapping[str, Any], as_json: bool = False) -> str:
    """Return the text of a settings file with `changes` merged into it.

    Raises:
        ValueError: the text cannot be parsed.
    """
    if as_json:
        table = json.loads(text)
        if not isinstance(table, dict):
            raise ValueError("not a table")
        _merge(table, changes)
        return json.dumps(table, indent=1) + "\n"
    document = tomlkit.parse(text)
    _merge(document, changes)
    return tomlkit.dumps(document)


def _merge(table: MutableMapping[str, Any], changes: Mapping[str, Any]) -> None:
    for key, value in changes.items():
        present = table.get(key)
        if isinstance(value, Mapping) and isinstance(present, MutableMapping):
            _merge(present, value)
        elif isinstance(present, list) and _is_list_of_named(value) and _is_list_of_named(present):
            _merge_by_name(present, value)
        else:
            table[key] = value


def _merge_by_name(tables: list[Any], changes: list[Any]) -> None:
    by_name = {table["name"]: table for table in tables}
    for change in changes:
        if change["name"] in by_name:
            _merge(by_name[change["name"]], change)
        else:
            tables.append(change)


def _is_list_of_named(value: object) -> bool:
    if not isinstance(value, list) or not value:
        return False
    return all(isinstance(table, Mapping) and "name" in table for table in value)


def _check_accepted(text: str, path: Path, key: str, environment: Mapping[str, str]) -> None:
    """Raise `ConfigError` if a dispatcher would refuse the text."""
    try:
        if path.suffix == JSON_SUFFIX:
            read(json.loads(text), environment)
        else:
            read_text(text, environment)
    except ConfigError as error:
        raise ConfigError(f"{key}: {path.name} with the new settings: {error}") from None


def _parse(text: str, path: Path) -> object:
    return json.loads(text) if path.suffix == JSON_SUFFIX else tomllib.loads(text)
