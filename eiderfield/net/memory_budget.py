"""Bounds the bytes that peers make this process hold, by part, with one limit for the process.

Each connection that buffers bytes of a peer has an account. The owner of the account reports how many bytes
it holds after each change; the budget keeps the sums, so that the check of the limit costs the same with any
number of connections.

    account opened ──(update, any number of times)──> account opened ──(update to 0, at the end)──> empty

Three bounds follow from the limit. Batch jobs, which stay for long, may take half of it. Requests are
accepted up to three quarters of it, so that responses to accepted requests have room. Above the limit itself
`check` calls the parts that can give back bytes at once. The owner of a connection calls it whenever its
state is consistent, after each read. What cannot be given back waits with `call_when_available`.

Invariants: the total is the sum of all accounts; after `check` the total is within the limit, or only
requests, responses and jobs are left, which have bounds of their own.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from enum import StrEnum
from math import inf

BYTES_PER_MB = 1024 * 1024
CONNECTION_BYTES = 10 * 1024  # of an open connection without messages: its objects and those of its request
MIN_LIMIT_BYTES = BYTES_PER_MB
ALLOCATION_FACTOR = 2  # resident bytes for each byte held: copies in transit, and gaps of the allocator
REQUEST_SHARE = 0.75
JOB_SHARE = 0.5
RELIEVED_SHARE = 0.9  # relief that ended at the limit itself would be needed again at once


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

    def has_room_for_jobs(self, size: int) -> bool:
        """Return whether batch jobs may hold `size` more bytes."""
        return self._budget.has_room_for_jobs(size)

    def update(self, held: int) -> None:
        """Record that `held` bytes are held now."""
        if held != self.held:
            self._budget.add(self._part, held - self.held)
            self.held = held


def budget_bytes(memory_mb: int, resident_bytes: int, connections: int) -> int:
    """Return how many bytes peers may make a process hold within its memory limit.

    Args:
        memory_mb: the limit of the process.
        resident_bytes: resident memory of the process without connections.
        connections: how many connections it may have.
    """
    free = memory_mb * BYTES_PER_MB - resident_bytes - connections * CONNECTION_BYTES
    return max(MIN_LIMIT_BYTES, free // ALLOCATION_FACTOR)


class MemoryBudget:
    """The bytes held by all accounts of the process.

    Attributes:
        relievers: called with the number of bytes that may be held, if more are held; each gives back what it
            can.
        held: how many bytes are held.
        peak: the most bytes that were held at any time.
    """

    def __init__(self, limit: float = inf) -> None:
        """Create a budget without accounts; `limit` is in bytes, infinity for none."""
        self.relievers: list[Callable[[int], None]] = []
        self._configured_limit = limit
        self._shared = False
        self._waiting: list[Callable[[], None]] = []
        self.held = 0
        self.peak = 0
        self._by_part: Counter[MemoryPart] = Counter()

    @property
    def limit(self) -> float:
        """How many bytes may be held, infinity for no limit."""
        return self._configured_limit / 2 if self._shared else self._configured_limit

    @property
    def exceeded(self) -> bool:
        """Whether more bytes are held than the limit allows."""
        return self.held > self.limit

    def has_room_for_jobs(self, size: int) -> bool:
        """Return whether batch jobs may hold `size` more bytes."""
        return self._by_part[MemoryPart.JOBS] + size <= JOB_SHARE * self.limit

    def set_limit(self, limit: float) -> None:
        """Set the limit of this process, in bytes."""
        self._configured_limit = limit

    def set_shared(self, shared: bool) -> None:
        """Use half of the limit while another process of this dispatcher uses the other half."""
        self._shared = shared

    def check(self) -> None:
        """Give back bytes if more are held than the limit allows, until there is some room again."""
        if self.exceeded:
            self._relieve(RELIEVED_SHARE)

    def make_room_for_requests(self) -> bool:
        """Give back bytes if there is no room for a request; return whether there is room."""
        if self.held > REQUEST_SHARE * self.limit:
            self._relieve(REQUEST_SHARE)
        return self.held <= REQUEST_SHARE * self.limit

    def _relieve(self, share: float) -> None:
        """Give back bytes until at most a share of the limit is held, or nothing more can be given back."""
        allowed = int(share * self.limit)
        for relieve in self.relievers:
            if self.held <= allowed:
                return
            relieve(allowed)

    def call_when_available(self, callback: Callable[[], None]) -> None:
        """Call `callback` once fewer bytes are held than the limit allows."""
        self._waiting.append(callback)

    def open_account(self, part: MemoryPart) -> MemoryAccount:
        """Return a new account of a part."""
        return MemoryAccount(self, part)

    def add(self, part: MemoryPart, change: int) -> None:
        """Change the sums; called by accounts."""
        self.held += change
        self._by_part[part] += change
        self.peak = max(self.peak, self.held)
        if self._waiting and not self.exceeded:
            waiting, self._waiting = self._waiting, []
            for callback in waiting:
                callback()

    def figures(self) -> dict[str, int]:
        """Return the console's figures, in bytes: the limit (0 for none), the sums and the peak."""
        by_part = {part.value: self._by_part[part] for part in MemoryPart}
        return {
            "limit": 0 if self.limit == inf else int(self.limit),
            "held": self.held,
            "peak": self.peak,
            **by_part,
        }
