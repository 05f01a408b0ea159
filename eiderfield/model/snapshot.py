"""Snapshot of a dispatcher's state, for operators and tests."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class Snapshot:
    """Queued requests, open attempts, rate of each class, and listed workers that are sent nothing now."""

    held: int = 0
    out: int = 0
    rates: list[float | None] = field(default_factory=list)
    avoided: frozenset[int] = frozenset()
