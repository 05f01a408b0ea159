"""Snapshot of a dispatcher's state, for operators and tests."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class Snapshot:
    """Queued requests, open attempts, the rate of each class, and listed workers that get no requests now."""

    queued_requests: int = 0
    open_attempts: int = 0
    class_rates: list[float | None] = field(default_factory=list)
    avoided_workers: frozenset[int] = frozenset()
