"""New settings laid over each dispatcher's own file, checked before anything is touched, and put back whole.

Tables are laid over tables; a list of tables that have names (classes, projects) is laid over the one that is
there by name; any other value takes the old one's place. The file keeps its comments and its order (tomlkit).
What a file was, and what it is to be, lie in the change's folder from the beginning:

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
from eiderfield.rollout.plan import Plan
from eiderfield.rollout.reconciler import Version


@dataclass(frozen=True, slots=True)
class Texts:
    """A dispatcher's file, on either side, with the digests by which its console names them."""

    path: Path
    text: Mapping[Version, str]
    digest: Mapping[Version, str]

    def lies(self) -> Version | None:
        """Whose text is in place, None if it is neither's: somebody wrote there meanwhile."""
        try:
            text = self.path.read_text(encoding="utf-8")
        except OSError:
            return None
        return next((side for side, own in self.text.items() if own == text), None)

    def put(self, version: Version) -> None:
        """Puts a version's text in place: renamed, for a reader must never see half of it."""
        replace_file(self.path, self.text[version], SHARED_MODE)


def prepare(plan: Plan, base: Path, folder: Path) -> dict[str, Texts]:
    """The files of all dispatchers on both sides, by name; `ConfigError` where one would not be taken.

    They are made once for a change: one that goes on finds them in its folder, whatever happened since.
    """
    if not plan.settings:
        return {}
    path = base / plan.settings
    try:
        over = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise ConfigError(f"change.settings: {path}: {error}") from None
    if not over:
        raise ConfigError(f"change.settings: {path} is empty: nothing would change")
    place = folder / "settings"
    place.mkdir(parents=True, exist_ok=True)
    found = {}
    for number, member in enumerate(plan.members):
        at = f"dispatcher.{number}.config"
        target = (base / member.config_file).resolve()
        kept = {side: place / f"{member.name}.{side.value}" for side in Version}
        if not all(file.exists() for file in kept.values()):
            try:
                old = target.read_text(encoding="utf-8")
                new = merged(old, over, target.suffix == ".json")
            except (OSError, ValueError) as error:
                raise ConfigError(f"{at}: {target}: {error}") from None
            _check(new, target, at, member.environment)
            replace_file(kept[Version.OLD], old, SHARED_MODE)  # half of one would be put in place by an undo
            replace_file(kept[Version.NEW], new, SHARED_MODE)
        texts = {side: file.read_text(encoding="utf-8") for side, file in kept.items()}
        data = {side: _plain(text, target) for side, text in texts.items()}
        found[member.name] = Texts(target, texts, {side: source_digest(told) for side, told in data.items()})
    return found


def merged(text: str, over: Mapping[str, Any], as_json: bool = False) -> str:
    """A file's text with settings laid over it; `ValueError` if the text cannot be read."""
    if as_json:
        told = json.loads(text)
        if not isinstance(told, dict):
            raise ValueError("not a table")
        _lay(told, over)
        return json.dumps(told, indent=1) + "\n"
    document = tomlkit.parse(text)
    _lay(document, over)
    return tomlkit.dumps(document)


def _lay(under: MutableMapping[str, Any], over: Mapping[str, Any]) -> None:
    for key, value in over.items():
        there = under.get(key)
        if isinstance(value, Mapping) and isinstance(there, MutableMapping):
            _lay(there, value)
        elif _named(value) and _named(there):
            names = {table["name"]: table for table in there or ()}
            for table in value:
                if table["name"] in names:
                    _lay(names[table["name"]], table)
                else:
                    there.append(table)  # type: ignore[union-attr]
        else:
            under[key] = value


def _named(value: object) -> bool:
    return (
        isinstance(value, list)
        and bool(value)
        and all(isinstance(table, Mapping) and "name" in table for table in value)
    )


def _check(text: str, path: Path, at: str, environ: Mapping[str, str]) -> None:
    try:
        if path.suffix == ".json":
            read(json.loads(text), environ)
        else:
            read_text(text, environ)
    except ConfigError as error:
        raise ConfigError(f"{at}: {path.name} with the new settings: {error}") from None


def _plain(text: str, path: Path) -> object:
    return json.loads(text) if path.suffix == ".json" else tomllib.loads(text)
