"""Load reports as workers word them, read into the figures that the settings name.

A report comes as text (`TEXT inflight=7, queue=2`), in a header or as a probe's whole body, or as an object
of such figures. It is late and noisy, may lack a figure, repeat one or hold some that nobody asked for; none
of this is an error. Nothing in it is taken on trust: a figure that is no finite number of at least 0, or is
beyond `MOST`, counts as absent, and a report without any known figure is none.
"""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence
from math import nan

MOST = 1_000_000.0  # of any figure: more is a fault of the report
LONGEST = 2048  # characters of a text that are looked at


def from_text(text: str, fields: Sequence[str]) -> tuple[float, ...]:
    """The figures of `TEXT name=value, ...` in the order of `fields`: NaN where absent, () for no report."""
    told: dict[str, object] = {}
    for part in text[:LONGEST].removeprefix("TEXT").split(","):
        name, _, value = part.strip().partition("=")
        try:
            told[name.strip()] = float(value)
        except ValueError:
            continue
    return from_object(told, fields)


def from_object(told: object, fields: Sequence[str]) -> tuple[float, ...]:
    """The same from a mapping of names to numbers; anything else holds no report."""
    if not isinstance(told, Mapping):
        return ()
    found = tuple(_figure(told.get(name)) for name in fields)
    return found if any(value == value for value in found) else ()


def from_body(body: bytes, fields: Sequence[str]) -> tuple[float, ...]:
    """The report that is the whole body of a probe's answer, as text or as a JSON object."""
    text = body.decode("utf-8", "replace").strip()
    if not text.startswith("{"):
        return from_text(text, fields)
    try:
        return from_object(json.loads(text), fields)
    except (ValueError, RecursionError):
        return ()


def _figure(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return nan
    return float(value) if 0.0 <= value <= MOST else nan
