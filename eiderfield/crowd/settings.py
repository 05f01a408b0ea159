"""What an operator sets about connections that clients hold."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

KEEP = 300_000.0  # ms that a connection may idle which has brought an authorisation
PARK_AFTER = 5000.0  # ms of silence after which it is parked


@dataclass(slots=True, frozen=True)
class Idling:
    """For connections that have brought an authorisation, in ms: how long they may idle, when they park."""

    keep: float = KEEP
    park_after: float = inf  # never
