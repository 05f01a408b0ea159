"""Parser of workers' load reports into the figures that the settings name.

A report is a text (`TEXT inflight=7, queue=2`), in a header or as the body of a health check's response, or
an object of such figures. It may lack a figure, repeat one or contain unknown ones; none of this is an
error. A figure that is not a finite number of at least 0, or exceeds `MAX_FIGURE`, counts as absent, and a
report without any known figure is not a report.
"""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence
from math import isnan, nan

MAX_FIGURE = 1_000_000.0  # a greater value is a fault of the report
MAX_TEXT_LENGTH = 2048  # characters of a text that are parsed


def from_text(text: str, fields: Sequence[str]) -> tuple[float, ...]:
    """Parse `TEXT name=value, ...`; return the figures by `fields`, NaN where absent, () for no report."""
    figures: dict[str, object] = {}
    for part in text[:MAX_TEXT_LENGTH].removeprefix("TEXT").split(","):
        name, _, value = part.strip().partition("=")
        try:
            figures[name.strip()] = float(value)
        except ValueError:
            continue
    return from_object(figures, fields)


def from_object(figures: object, fields: Sequence[str]) -> tuple[float, ...]:
    """Return the figures of a mapping of names to numbers; any other value is no report."""
    if not isinstance(figures, Mapping):
        return ()
    report = tuple(_figure(figures.get(name)) for name in fields)
    return () if all(isnan(value) for value in report) else report


def from_body(body: bytes, fields: Sequence[str]) -> tuple[float, ...]:
    """Parse the body of a health check's response, a text or a JSON object."""
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
    return float(value) if 0.0 <= value <= MAX_FIGURE else nan
