"""Reads fields of a message that came as JSON.

What is missing or of another type is a `MalformedMessageError`."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from math import isfinite

from eiderfield.net.handover.messages import MalformedMessageError


def field(fields: Mapping[str, object], name: str) -> object:
    """A field that has to be there."""
    if name not in fields:
        raise MalformedMessageError(f"{name} is missing")
    return fields[name]


def mapping(value: object, name: str) -> Mapping[str, object]:
    """A JSON object."""
    if not isinstance(value, Mapping):
        raise MalformedMessageError(f"{name} is not an object")
    return value


def sequence(value: object, name: str) -> Sequence[object]:
    """A JSON array."""
    if not isinstance(value, list):
        raise MalformedMessageError(f"{name} is not an array")
    return value


def row(value: object, length: int, name: str) -> Sequence[object]:
    """A JSON array of a certain length."""
    values = sequence(value, name)
    if len(values) != length:
        raise MalformedMessageError(f"{name} has {len(values)} values, not {length}")
    return values


def text(value: object, name: str) -> str:
    """A text."""
    if not isinstance(value, str):
        raise MalformedMessageError(f"{name} is not a text")
    return value


def number(value: object, name: str) -> float:
    """A finite number."""
    if isinstance(value, bool) or not isinstance(value, int | float) or not isfinite(value):
        raise MalformedMessageError(f"{name} is not a number")
    return float(value)


def optional_number(value: object, name: str) -> float | None:
    """A finite number or null."""
    return None if value is None else number(value, name)


def integer(value: object, name: str) -> int:
    """A whole number."""
    if isinstance(value, bool) or not isinstance(value, int):
        raise MalformedMessageError(f"{name} is not a whole number")
    return value


def texts(value: object, name: str) -> tuple[str, ...]:
    """An array of texts."""
    return tuple(text(each, name) for each in sequence(value, name))


def integers(value: object, name: str) -> tuple[int, ...]:
    """An array of whole numbers."""
    return tuple(integer(each, name) for each in sequence(value, name))


def counts(value: object, name: str) -> dict[str, int]:
    """An object of whole numbers."""
    return {key: integer(count, f"{name}.{key}") for key, count in mapping(value, name).items()}
