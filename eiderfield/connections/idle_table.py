"""Table of idle connections by descriptor, in the order in which they became idle. No I/O and no clock.

A descriptor is a small number and indexes the arrays: the time when the connection became idle, its owner's
tag, and its neighbours in a doubly linked list. There is one list for each second in which connections became
idle, so that the longest idle and the expired connections are found without visiting the others:

    heads: second -> first descriptor of that second's list <-> next <-> next ...

The table stores no deadlines: the idle timeout is an argument of each query, so a changed timeout applies to
the connections that are already in the table. Adding, removing and expiring a connection take constant
time. The connections of one list are in no order.

Invariant: a descriptor is in one list at most, and once. `add` raises `ValueError` for a descriptor that is
in the table, `remove` raises `KeyError` for one that is not.
"""

from __future__ import annotations

from array import array
from math import inf
from typing import NamedTuple

BUCKET_MS = 1000.0  # the time span of one list
NO_NEIGHBOUR = -1
_ABSENT = -2  # in `_next`, for a descriptor that is not in the table
_SPARE_FRACTION = 8  # arrays grow by an eighth at least, since each growth copies them


class IdleEntry(NamedTuple):
    """An idle connection: when it became idle, in ms, and its owner's tag."""

    idle_since: float
    tag: int


class IdleTable:
    """Idle connections, by descriptor. Times are in ms."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._idle_since = array("d")
        self._tag = array("I")
        self._next = array("i")
        self._previous = array("i")
        self._heads: dict[int, int] = {}
        self._first_bucket: int | None = None  # the earliest that has connections; None if it is unknown
        self._count = 0

    def __len__(self) -> int:
        """Return the number of connections."""
        return self._count

    def __contains__(self, descriptor: int) -> bool:
        """Return whether a descriptor is in the table."""
        return 0 <= descriptor < len(self._next) and self._next[descriptor] != _ABSENT

    @property
    def array_bytes(self) -> int:
        """The size of the arrays."""
        arrays = (self._idle_since, self._tag, self._next, self._previous)
        return sum(column.itemsize * len(column) for column in arrays)

    def add(self, descriptor: int, idle_since: float, tag: int = 0) -> None:
        """Add a connection that has been idle since `idle_since`; `tag` has up to 32 bits."""
        if descriptor in self:
            raise ValueError(f"descriptor {descriptor} is in the table already")
        if descriptor < 0:
            raise ValueError(f"{descriptor} is not a descriptor")
        self._grow(descriptor + 1)
        bucket = int(idle_since // BUCKET_MS)
        head = self._heads.get(bucket, NO_NEIGHBOUR)
        if head != NO_NEIGHBOUR:
            self._previous[head] = descriptor
        elif self._first_bucket is not None and bucket < self._first_bucket:
            self._first_bucket = bucket
        self._heads[bucket] = descriptor
        self._next[descriptor] = head
        self._previous[descriptor] = NO_NEIGHBOUR
        self._idle_since[descriptor] = idle_since
        self._tag[descriptor] = tag
        self._count += 1

    def remove(self, descriptor: int) -> IdleEntry:
        """Remove a connection and return its entry."""
        if descriptor not in self:
            raise KeyError(descriptor)
        following, previous = self._next[descriptor], self._previous[descriptor]
        entry = IdleEntry(self._idle_since[descriptor], self._tag[descriptor])
        if following != NO_NEIGHBOUR:
            self._previous[following] = previous
        if previous != NO_NEIGHBOUR:
            self._next[previous] = following
        else:
            self._set_head(int(entry.idle_since // BUCKET_MS), following)
        self._next[descriptor] = _ABSENT
        self._count -= 1
        return entry

    def expired(self, now: float, idle_timeout: float, limit: int) -> list[int]:
        """Return at most `limit` connections idle for `idle_timeout` and up to `BUCKET_MS` more."""
        found: list[int] = []
        for bucket in self._expired_buckets(now, idle_timeout):
            descriptor = self._heads[bucket]
            while descriptor != NO_NEIGHBOUR and len(found) < limit:
                found.append(descriptor)
                descriptor = self._next[descriptor]
            if len(found) >= limit:
                break
        return found

    def next_expiry(self, idle_timeout: float) -> float:
        """Return when `expired` finds the first connection; infinity if the table is empty."""
        bucket = self._earliest_bucket()
        return inf if bucket is None else (bucket + 1) * BUCKET_MS + idle_timeout

    def longest_idle(self, limit: int) -> list[int]:
        """Return at most `limit` connections, the longest idle first."""
        return self.expired(inf, 0.0, limit)

    def _grow(self, size: int) -> None:
        """Extend the arrays to at least `size` elements."""
        missing = size - len(self._next)
        if missing <= 0:
            return
        missing = max(missing, len(self._next) // _SPARE_FRACTION)
        self._idle_since.frombytes(bytes(self._idle_since.itemsize * missing))
        self._tag.frombytes(bytes(self._tag.itemsize * missing))
        self._next.extend([_ABSENT] * missing)
        self._previous.extend([NO_NEIGHBOUR] * missing)

    def _set_head(self, bucket: int, descriptor: int) -> None:
        if descriptor != NO_NEIGHBOUR:
            self._heads[bucket] = descriptor
            return
        del self._heads[bucket]
        if bucket == self._first_bucket:
            self._first_bucket = None

    def _earliest_bucket(self) -> int | None:
        if self._first_bucket is None and self._heads:
            self._first_bucket = min(self._heads)  # there is at most one for each second of the idle timeout
        return self._first_bucket

    def _expired_buckets(self, now: float, idle_timeout: float) -> list[int]:
        first = self._earliest_bucket()
        if first is None or (first + 1) * BUCKET_MS + idle_timeout > now:
            return []
        return sorted(bucket for bucket in self._heads if (bucket + 1) * BUCKET_MS + idle_timeout <= now)
