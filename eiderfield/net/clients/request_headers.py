"""The headers of a request in the platform's protocol: ids, deadline and resources."""

from __future__ import annotations

import re
from math import isfinite
from typing import NamedTuple

from eiderfield.interface import Effect, RequestClass
from eiderfield.net.http import Head, MalformedMessageError

MAX_RESOURCES = 100_000.0  # slots or units of memory that a request may need
DEADLINE_DIGITS = 12  # maximum length of X-Deadline-Ms

_RESOURCES = frozenset({"slots", "memory"})
_WORD = re.compile(r"[!-~]{1,256}\Z")


class ResourceNeeds(NamedTuple):
    """The resources of a worker that a request occupies while it runs."""

    slots: float
    memory: float  # in the units of the workers' reports


def check_ids(head: Head, request_class: RequestClass) -> None:
    """Check the request id and the idempotency key.

    Raises:
        MalformedMessageError: one is missing, or is not a word of printable ASCII.
    """
    for name in ("X-Request-Id", "Idempotency-Key"):
        word = head.get(name.lower())
        if not word and (name == "X-Request-Id" or request_class.effect == Effect.KEYED):
            raise MalformedMessageError(f"{name} is missing")
        if word and not _WORD.match(word):
            raise MalformedMessageError(f"{name} is not a plain word")


def read_timeout(head: Head, request_class: RequestClass) -> float:
    """Return the request's timeout in ms, at most the deadline of its class.

    Raises:
        MalformedMessageError: X-Deadline-Ms is not a whole number.
    """
    if "x-deadline-ms" not in head.headers:
        return request_class.deadline_ms
    text = head.get("x-deadline-ms")
    if not text.isascii() or not text.isdigit() or len(text) > DEADLINE_DIGITS:
        raise MalformedMessageError("X-Deadline-Ms is not a whole number")
    return min(float(text), request_class.deadline_ms)


def read_resource_needs(head: Head) -> ResourceNeeds:
    """Return the resources in X-Extras. Other figures in it are checked and ignored.

    Raises:
        MalformedMessageError: a figure is not a finite number, or a resource is out of range.
    """
    figures: dict[str, float] = {}
    for part in head.get("x-extras").split(","):
        name, _, text = part.strip().partition("=")
        if not name:
            continue
        try:
            figures[name] = float(text)
        except ValueError:
            raise MalformedMessageError(f"X-Extras: {name} is not a number") from None
        if not isfinite(figures[name]):
            raise MalformedMessageError(f"X-Extras: {name} is not a number")
        if name in _RESOURCES and not 0.0 <= figures[name] <= MAX_RESOURCES:
            raise MalformedMessageError(f"X-Extras: no worker has such {name}")
    return ResourceNeeds(figures.get("slots", 1.0), figures.get("memory", 0.0))
