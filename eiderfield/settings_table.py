"""Tables of a configuration, whose look-ups name the key that they fail on."""

from __future__ import annotations

from collections.abc import Mapping
from math import isfinite

Address = tuple[str, int]


class ConfigError(ValueError):
    """A setting that is missing or wrong. The text begins with its key; `told` is what the file holds, if it
    could be read."""

    told: object = None


class Tree:
    """A table of the configuration whose look-ups name the key they fail on."""

    def __init__(self, data: object, at: str = "") -> None:
        """`at` is the table's own key, '' for the whole configuration."""
        if not isinstance(data, Mapping):
            raise ConfigError(f"{at or 'configuration'} is not a table")
        self._data = data
        self._at = at
        self._asked: set[str] = set()

    def key(self, name: str) -> str:
        """A key's full name."""
        return f"{self._at}.{name}" if self._at else name

    def has(self, name: str) -> bool:
        """Whether the key is there."""
        self._asked.add(name)
        return name in self._data

    def table(self, name: str) -> Tree:
        """A table, empty if it is not there."""
        self._asked.add(name)
        return Tree(self._data.get(name, {}), self.key(name))

    def raw(self, name: str) -> object:
        """A value as it stands, None if it is not there."""
        self._asked.add(name)
        return self._data.get(name)

    def text(self, name: str, default: str | None = None) -> str:
        """A text."""
        value = self.raw(name)
        if value is None and default is not None:
            return default
        if value is None:
            raise ConfigError(f"{self.key(name)} is missing")
        if not isinstance(value, str) or not value:
            raise ConfigError(f"{self.key(name)} is not a text: {value!r}")
        return value

    def number(self, name: str, default: float, low: float, high: float = 1e12) -> float:
        """A number within bounds."""
        value = self.raw(name)
        if value is None:
            return default
        if isinstance(value, bool) or not isinstance(value, int | float) or not isfinite(value):
            raise ConfigError(f"{self.key(name)} is not a number: {value!r}")
        if not low <= value <= high:
            raise ConfigError(f"{self.key(name)} is not from {low:g} to {high:g}: {value!r}")
        return float(value)

    def whole(self, name: str, default: int, low: int, high: int = 10**9) -> int:
        """A whole number within bounds."""
        value = self.number(name, default, low, high)
        if value != int(value):
            raise ConfigError(f"{self.key(name)} is not a whole number: {value!r}")
        return int(value)

    def flag(self, name: str, default: bool) -> bool:
        """True or false."""
        value = self.raw(name)
        if value is None:
            return default
        if not isinstance(value, bool):
            raise ConfigError(f"{self.key(name)} is not true or false: {value!r}")
        return value

    def address(self, name: str) -> Address:
        """Host and port."""
        return address_of(self.text(name), self.key(name))

    def nothing_else(self) -> None:
        """Raises on a key that nobody asked for: it would be a slip of the pen."""
        for name in self._data:
            if name not in self._asked:
                raise ConfigError(f"{self.key(str(name))} is not a known key")


def address_of(text: str, key: str) -> Address:
    """Host and port of `host:port`."""
    host, _, port = text.rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or not 0 <= int(port) < 65536:
        raise ConfigError(f"{key} is not host:port: {text!r}")
    return host.strip("[]"), int(port)
