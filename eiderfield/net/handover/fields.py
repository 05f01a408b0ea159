"""Typed access to the fields of a JSON message.

Unless its docstring says otherwise, a function or method raises `MalformedMessageError` with the name of the
field if the value is missing or has another type.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from math import isfinite

from eiderfield.net.handover.errors import MalformedMessageError


class Fields:
    """The fields of a JSON object."""

    def __init__(self, values: Mapping[str, object]) -> None:
        """Create an accessor for the fields of a decoded object."""
        self._values = values

    def __contains__(self, name: str) -> bool:
        """Return whether a field is present."""
        return name in self._values

    def required(self, name: str) -> object:
        """Return the value of a field, which may have any type."""
        if name not in self._values:
            raise MalformedMessageError(name, "is missing")
        return self._values[name]

    def flag(self, name: str) -> bool:
        """Return whether a field is present and `true`; any other value counts as false."""
        return self._values.get(name) is True

    def text(self, name: str) -> str:
        """Return a string."""
        return text(self.required(name), name)

    def number(self, name: str) -> float:
        """Return a finite number."""
        return number(self.required(name), name)

    def optional_number(self, name: str) -> float | None:
        """Return a finite number, or None if the field is missing or null."""
        return optional_number(self._values.get(name), name)

    def integer(self, name: str) -> int:
        """Return an integer."""
        return integer(self.required(name), name)

    def nested(self, name: str) -> Fields:
        """Return the fields of a nested object."""
        return Fields(mapping(self.required(name), name))

    def items(self, name: str) -> Mapping[str, object]:
        """Return a nested object as a mapping."""
        return mapping(self.required(name), name)

    def objects(self, name: str) -> list[Fields]:
        """Return the objects of an array."""
        return [Fields(mapping(value, name)) for value in self.sequence(name)]

    def sequence(self, name: str) -> Sequence[object]:
        """Return an array."""
        return sequence(self.required(name), name)

    def rows(self, name: str, length: int) -> list[Sequence[object]]:
        """Return an array of arrays of `length` values each."""
        return [row(value, length, name) for value in self.sequence(name)]

    def optional_rows(self, name: str, length: int) -> list[Sequence[object]]:
        """Return an array of arrays of `length` values each, empty if the field is missing."""
        return self.rows(name, length) if name in self else []

    def texts(self, name: str) -> tuple[str, ...]:
        """Return an array of strings."""
        return tuple(text(value, name) for value in self.sequence(name))

    def numbers(self, name: str) -> tuple[float, ...]:
        """Return an array of finite numbers."""
        return tuple(number(value, name) for value in self.sequence(name))

    def integers(self, name: str) -> tuple[int, ...]:
        """Return an array of integers."""
        return tuple(integer(value, name) for value in self.sequence(name))

    def counts(self, name: str) -> dict[str, int]:
        """Return an object whose values are integers."""
        return {key: integer(count, f"{name}.{key}") for key, count in self.items(name).items()}


def mapping(value: object, name: str) -> Mapping[str, object]:
    """Return `value` if it is a JSON object."""
    if not isinstance(value, Mapping):
        raise MalformedMessageError(name, "is not an object")
    return value


def sequence(value: object, name: str) -> Sequence[object]:
    """Return `value` if it is a JSON array."""
    if not isinstance(value, list):
        raise MalformedMessageError(name, "is not an array")
    return value


def row(value: object, length: int, name: str) -> Sequence[object]:
    """Return `value` if it is a JSON array of `length` values."""
    values = sequence(value, name)
    if len(values) != length:
        raise MalformedMessageError(name, f"has {len(values)} values, not {length}")
    return values


def text(value: object, name: str) -> str:
    """Return `value` if it is a string."""
    if not isinstance(value, str):
        raise MalformedMessageError(name, "is not a string")
    return value


def number(value: object, name: str) -> float:
    """Return `value` if it is a finite number."""
    if isinstance(value, bool) or not isinstance(value, int | float) or not isfinite(value):
        raise MalformedMessageError(name, "is not a number")
    return float(value)


def optional_number(value: object, name: str) -> float | None:
    """Return `value` if it is a finite number or None."""
    return None if value is None else number(value, name)


def integer(value: object, name: str) -> int:
    """Return `value` if it is an integer."""
    if isinstance(value, bool) or not isinstance(value, int):
        raise MalformedMessageError(name, "is not an integer")
    return value
