"""Endpoints: workers as discovery lists them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class EndpointState(IntEnum):
    """State of a worker in the endpoint list."""

    GONE = 0
    DRAINING = 1
    READY = 2


class EndpointListKind(IntEnum):
    """What a list holds: changes, all workers, a stored copy of all workers, or nothing (the call failed)."""

    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One worker of the endpoint list.

    `zone`, `kind` and `cell` are indexes. `weight` is the worker's capacity relative to others. `ready_at` is
    when it last started, 0 if that is long ago.
    """

    worker: int
    zone: int = 0
    kind: int = 0
    cell: int = 0
    state: EndpointState = EndpointState.READY
    weight: float = 1.0
    ready_at: float = 0.0
