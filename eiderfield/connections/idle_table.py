"""The idle connections in the order in which they fell idle. No I/O and no clock.

An entry is a small number, the descriptor, which is a place in arrays: when the connection was last answered,
a mark of its owner's, and its neighbours in a list. There is a list for each second of that time, so that the
eldest entries and those that have expired are found without a look at the others:

    heads: second -> first descriptor of that second's list <-> next <-> next ...

Stored are times of the past and not deadlines: how long a connection may idle is asked with every question,
so a new limit counts for the entries that are there. Adding, removing and each expiry take constant time. A
list is in no order within its second.

What must never happen: a descriptor in two lists, or twice in one; one that was removed and is still found.
`add` of one that is there and `remove` of one that is not are errors of the caller's and raise.
"""

from __future__ import annotations

from array import array
from math import inf

BUCKET_MS = 1000.0  # the time that one list spans
NO_NEIGHBOUR = -1  # no neighbour
_ABSENT = -2  # not in the roster


class IdleTable:
    """Idle connections, by descriptor."""

    def __init__(self) -> None:
        """An empty table."""
        self._since = array("d")
        self._mark = array("I")
        self._next = array("i")
        self._before = array("i")
        self._heads: dict[int, int] = {}
        self._eldest_known: int | None = None  # the first bucket that holds somebody; None if unknown
        self._count = 0

    def __len__(self) -> int:
        """How many connections there are."""
        return self._count

    def __contains__(self, key: int) -> bool:
        """Whether a descriptor is there."""
        return 0 <= key < len(self._next) and self._next[key] != _ABSENT

    def add(self, key: int, since: float, mark: int = 0) -> None:
        """Adds a connection that was last answered at `since` (ms); `mark` is the owner's, up to 32 bits."""
        if key in self:
            raise ValueError(f"descriptor {key} is there already")
        if key < 0:
            raise ValueError(f"{key} is no descriptor")
        if (lack := key + 1 - len(self._next)) > 0:
            lack = max(lack, len(self._next) // 8)  # an eighth to spare, or each would cost a copy
            self._since.frombytes(bytes(8 * lack))
            self._mark.frombytes(bytes(self._mark.itemsize * lack))
            self._next.extend([_ABSENT] * lack)
            self._before.extend([NO_NEIGHBOUR] * lack)
        bucket = int(since // BUCKET_MS)
        head = self._heads.get(bucket, NO_NEIGHBOUR)
        if head != NO_NEIGHBOUR:
            self._before[head] = key
        elif self._eldest_known is not None and bucket < self._eldest_known:
            self._eldest_known = bucket
        self._heads[bucket] = key
        self._next[key] = head
        self._before[key] = NO_NEIGHBOUR
        self._since[key] = since
        self._mark[key] = mark
        self._count += 1

    def remove(self, key: int) -> tuple[float, int]:
        """Removes a connection; gives when it was last answered, and its mark."""
        if key not in self:
            raise KeyError(key)
        after, before = self._next[key], self._before[key]
        since = self._since[key]
        if after != NO_NEIGHBOUR:
            self._before[after] = before
        if before != NO_NEIGHBOUR:
            self._next[before] = after
        else:
            bucket = int(since // BUCKET_MS)
            if after != NO_NEIGHBOUR:
                self._heads[bucket] = after
            else:
                del self._heads[bucket]
                if bucket == self._eldest_known:
                    self._eldest_known = None
        self._next[key] = _ABSENT
        self._count -= 1
        return since, self._mark[key]

    def expired(self, now: float, keep: float, most: int) -> list[int]:
        """At most `most` connections that have idled for `keep` ms and the rest of their second."""
        found: list[int] = []
        for bucket in self._expired_buckets(now, keep):
            key = self._heads[bucket]
            while key != NO_NEIGHBOUR and len(found) < most:
                found.append(key)
                key = self._next[key]
            if len(found) >= most:
                break
        return found

    def next_expiry(self, keep: float) -> float:
        """When `expired` will find the first one, in ms; infinity if there is none."""
        bucket = self._eldest_bucket()
        return inf if bucket is None else (bucket + 1) * BUCKET_MS + keep

    def eldest(self, most: int) -> list[int]:
        """At most `most` connections, the longest idle first."""
        return self.expired(inf, 0.0, most)

    def _eldest_bucket(self) -> int | None:
        if self._eldest_known is None and self._heads:
            self._eldest_known = min(self._heads)  # there is one for each bucket of the idle time at the most
        return self._eldest_known

    def _expired_buckets(self, now: float, keep: float) -> list[int]:
        first = self._eldest_bucket()
        if first is None or (first + 1) * BUCKET_MS + keep > now:
            return []
        return sorted(bucket for bucket in self._heads if (bucket + 1) * BUCKET_MS + keep <= now)
