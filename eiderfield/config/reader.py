"""Typed reading of one table of a configuration, with errors that name the faulty key."""

from __future__ import annotations

from collections.abc import Mapping
from math import isfinite

from eiderfield.config.address import Address, parse_address
from eiderfield.config.errors import ConfigError

MAX_NUMBER = 1e12
MAX_INTEGER = 10**9


class TableReader:
    """Reads the values of one table and remembers which keys were asked for.

    Every method raises `ConfigError` with the full name of the key if its value is of another type or out
    of range.
    """

    def __init__(self, data: object, path: str = "") -> None:
        """`path` is the full name of the table, empty for the whole configuration."""
        if not isinstance(data, Mapping):
            raise ConfigError(f"{path or 'configuration'} is not a table", key=path)
        self._data = data
        self._path = path
        self._known_keys: set[str] = set()

    def key(self, name: str) -> str:
        """Return the full name of a key of this table."""
        return f"{self._path}.{name}" if self._path else name

    def error(self, name: str, problem: str) -> ConfigError:
        """Return an error of the key `name`; `problem` continues the sentence that starts with the key."""
        key = self.key(name)
        return ConfigError(f"{key} {problem}", key=key)

    def mark_known(self, name: str) -> None:
        """Accept a key that is not read, since something else has precedence over it."""
        self._known_keys.add(name)

    def has(self, name: str) -> bool:
        """Return whether the key is present."""
        self._known_keys.add(name)
        return name in self._data

    def table(self, name: str) -> TableReader:
        """Return a nested table, an empty one if it is absent."""
        self._known_keys.add(name)
        return TableReader(self._data.get(name, {}), self.key(name))

    def raw(self, name: str) -> object:
        """Return a value unchecked, None if it is absent."""
        self._known_keys.add(name)
        return self._data.get(name)

    def text(self, name: str, default: str | None = None) -> str:
        """Return a text that is not empty; without `default` the key is required."""
        value = self.raw(name)
        if value is None and default is not None:
            return default
        if value is None:
            raise self.error(name, "is missing")
        if not isinstance(value, str) or not value:
            raise self.error(name, f"is not a text: {value!r}")
        return value

    def number(self, name: str, default: float, low: float, high: float = MAX_NUMBER) -> float:
        """Return a number from `low` to `high`."""
        value = self.raw(name)
        if value is None:
            return default
        if isinstance(value, bool) or not isinstance(value, int | float) or not isfinite(value):
            raise self.error(name, f"is not a number: {value!r}")
        if not low <= value <= high:
            raise self.error(name, f"is not from {low:g} to {high:g}: {value!r}")
        return float(value)

    def integer(self, name: str, default: int, low: int, high: int = MAX_INTEGER) -> int:
        """Return a whole number from `low` to `high`."""
        value = self.number(name, default, low, high)
        if value != int(value):
            raise self.error(name, f"is not a whole number: {value!r}")
        return int(value)

    def flag(self, name: str, default: bool) -> bool:
        """Return true or false."""
        value = self.raw(name)
        if value is None:
            return default
        if not isinstance(value, bool):
            raise self.error(name, f"is not true or false: {value!r}")
        return value

    def texts(self, name: str, content: str) -> tuple[str, ...]:
        """Return a list of texts, an empty one if it is absent; `content` describes it in an error."""
        value = self.raw(name)
        if value is None:
            return ()
        if not isinstance(value, list) or not all(isinstance(text, str) for text in value):
            raise self.error(name, f"is not a list of {content}")
        return tuple(value)

    def address(self, name: str) -> Address:
        """Return host and port; the key is required."""
        return parse_address(self.text(name), self.key(name))

    def reject_unknown_keys(self) -> None:
        """Raise `ConfigError` for a key that nothing has read, as after a slip of the pen."""
        for name in self._data:
            if name not in self._known_keys:
                raise self.error(str(name), "is not a known key")
