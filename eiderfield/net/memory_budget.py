"""Counts the bytes that peers make this process hold, by part, against one limit for the process.

Each connection that buffers bytes of a peer has an account. The owner of the account reports how many bytes
it holds after each change; the budget keeps the sums, so that the check of the limit costs the same with any
number of connections.

    account opened ──(update, any number of times)──> account opened ──(update to 0, at the end)──> empty

Invariant: the total is the sum of all accounts.
"""

from __future__ import annotations

from collections import Counter
from enum import StrEnum
from math import inf


class MemoryPart(StrEnum):
    """What holds the bytes. The values are names of the console's figures."""

    CLIENTS = "clients"  # messages that arrive, requests without a response, responses not yet sent
    WORKERS = "workers"  # requests not yet sent to workers, and responses that arrive
    JOBS = "jobs"  # batch jobs: bodies, results and the entries themselves


class MemoryAccount:
    """The bytes that one connection, or one table, holds."""

    __slots__ = ("_budget", "_part", "held")

    def __init__(self, budget: MemoryBudget, part: MemoryPart) -> None:
        """Open an empty account; `MemoryBudget.open_account` calls this."""
        self._budget = budget
        self._part = part
        self.held = 0

    def update(self, held: int) -> None:
        """Record that `held` bytes are held now."""
        if held != self.held:
            self._budget.add(self._part, held - self.held)
            self.held = held


class MemoryBudget:
    """The bytes held by all accounts of the process.

    Attributes:
        limit: how many bytes may be held; infinity for no limit.
        held: how many bytes are held.
        peak: the most bytes that were held at any time.
    """

    def __init__(self, limit: float = inf) -> None:
        """Create a budget without accounts."""
        self.limit = limit
        self.held = 0
        self.peak = 0
        self._by_part: Counter[MemoryPart] = Counter()

    def open_account(self, part: MemoryPart) -> MemoryAccount:
        """Return a new account of a part."""
        return MemoryAccount(self, part)

    def add(self, part: MemoryPart, change: int) -> None:
        """Change the sums; called by accounts."""
        self.held += change
        self._by_part[part] += change
        self.peak = max(self.peak, self.held)

    def figures(self) -> dict[str, int]:
        """Return the console's figures, in bytes: the limit (0 for none), the sums and the peak."""
        by_part = {part.value: self._by_part[part] for part in MemoryPart}
        return {
            "limit": 0 if self.limit == inf else int(self.limit),
            "held": self.held,
            "peak": self.peak,
            **by_part,
        }
