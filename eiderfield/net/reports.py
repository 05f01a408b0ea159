"""Parser of workers' load reports, which yields the values of the fields that the settings name.

A report is a text (`TEXT inflight=7, queue=2`), in a header or as the body of a health check's response, or
a JSON object with such fields. Missing, repeated and unknown fields are not errors. A value that is not a
finite number between 0 and `MAX_VALUE` is treated as missing. A report without any known field is treated
as no report.
"""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence
from math import isnan, nan

MAX_VALUE = 1_000_000.0  # a greater value is an error of the worker that reports it
MAX_TEXT_LENGTH = 2048  # in characters; the rest of a text is ignored


def parse_text_report(text: str, field_names: Sequence[str]) -> tuple[float, ...]:
    """Parse `TEXT name=value, ...` and return the values of `field_names`.

    A missing value is NaN. The result is empty if the text is not a report.
    """
    values: dict[str, object] = {}
    for part in text[:MAX_TEXT_LENGTH].removeprefix("TEXT").split(","):
        name, _, value = part.strip().partition("=")
        try:
            values[name.strip()] = float(value)
        except ValueError:
            continue
    return report_from_mapping(values, field_names)


def report_from_mapping(values: object, field_names: Sequence[str]) -> tuple[float, ...]:
    """Return the values of `field_names` in a mapping of names to numbers.

    A missing value is NaN. The result is empty if `values` is not a report.
    """
    if not isinstance(values, Mapping):
        return ()
    report = tuple(_valid_value(values.get(name)) for name in field_names)
    return () if all(isnan(value) for value in report) else report


def parse_report_body(body: bytes, field_names: Sequence[str]) -> tuple[float, ...]:
    """Return the values of `field_names` in a health check's response body, a text or a JSON object."""
    text = body.decode("utf-8", "replace").strip()
    if not text.startswith("{"):
        return parse_text_report(text, field_names)
    try:
        return report_from_mapping(json.loads(text), field_names)
    except (ValueError, RecursionError):
        return ()


def _valid_value(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return nan
    return float(value) if 0.0 <= value <= MAX_VALUE else nan
