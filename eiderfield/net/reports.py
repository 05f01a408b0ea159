"""Load reports of workers, read into the figures that the settings name.

A report comes as text (`TEXT inflight=7, queue=2`), in a header or as a probe's whole body, or as an object
of such figures. It is late and noisy, may lack a figure, repeat one or hold some that nobody asked for; none
of this is an error. Nothing in it is taken on trust: a figure that is no finite number of at least 0, or is
beyond `MAX_FIGURE`, counts as absent, and a report without any known figure is none.
"""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence
from math import isnan, nan

MAX_FIGURE = 1_000_000.0  # of any figure: more is a fault of the report
MAX_TEXT = 2048  # characters of a text that are read


def from_text(text: str, fields: Sequence[str]) -> tuple[float, ...]:
    """The figures of `TEXT name=value, ...` in the order of `fields`: NaN where absent, () for no report."""
    figures: dict[str, object] = {}
    for part in text[:MAX_TEXT].removeprefix("TEXT").split(","):
        name, _, value = part.strip().partition("=")
        try:
            figures[name.strip()] = float(value)
        except ValueError:
            continue
    return from_object(figures, fields)


def from_object(figures: object, fields: Sequence[str]) -> tuple[float, ...]:
    """The same from a mapping of names to numbers; anything else holds no report."""
    if not isinstance(figures, Mapping):
        return ()
    report = tuple(_figure(figures.get(name)) for name in fields)
    return () if all(isnan(value) for value in report) else report


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
    return float(value) if 0.0 <= value <= MAX_FIGURE else nan
