"""Who is parked, since when, and who goes first. No I/O, no clock: it is told what happens, and when.

Theory of operation. A parked connection is a small number, its descriptor, and its entry is a place in
arrays: when it was last answered, a mark of its owner's, and its neighbours in a list. There is a list for
each second of that time, so that the oldest are found, and those whose time has ended, without a look at
the others:

    heads: second -> first descriptor of that second's list <-> next <-> next ...

Kept are times of the past and not deadlines: how long a connection may idle is asked with every question,
so a new value counts for those that are parked already. Joining, leaving and each expiry take constant
time. A list is in no order within its second.

What must never happen: a descriptor in two lists, or twice in one; one that left and is still found. `join`
of one that is there and `leave` of one that is not are errors of the caller's and raise.
"""

from __future__ import annotations

from array import array
from math import inf

SPAN = 1000.0  # ms of one list
NONE = -1  # no neighbour
_AWAY = -2  # not in the roster


class Roster:
    """The parked connections, by descriptor."""

    def __init__(self) -> None:
        self._since = array("d")
        self._mark = array("I")
        self._next = array("i")
        self._before = array("i")
        self._heads: dict[int, int] = {}
        self._eldest: int | None = None  # the first second that holds somebody; None if unknown
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def __contains__(self, key: int) -> bool:
        return 0 <= key < len(self._next) and self._next[key] != _AWAY

    def join(self, key: int, since: float, mark: int = 0) -> None:
        """One is parked that was last answered at `since` (ms). `mark` is the owner's, up to 32 bits."""
        if key in self:
            raise ValueError(f"descriptor {key} is parked already")
        if key < 0:
            raise ValueError(f"{key} is no descriptor")
        if (lack := key + 1 - len(self._next)) > 0:
            lack = max(lack, len(self._next) // 8)  # an eighth to spare, or each would cost a copy
            self._since.frombytes(bytes(8 * lack))
            self._mark.frombytes(bytes(self._mark.itemsize * lack))
            self._next.extend([_AWAY] * lack)
            self._before.extend([NONE] * lack)
        second = int(since // SPAN)
        head = self._heads.get(second, NONE)
        if head != NONE:
            self._before[head] = key
        elif self._eldest is not None and second < self._eldest:
            self._eldest = second
        self._heads[second] = key
        self._next[key] = head
        self._before[key] = NONE
        self._since[key] = since
        self._mark[key] = mark
        self._count += 1

    def leave(self, key: int) -> tuple[float, int]:
        """One is parked no more; gives since when it was, and its mark."""
        if key not in self:
            raise KeyError(key)
        after, before = self._next[key], self._before[key]
        since = self._since[key]
        if after != NONE:
            self._before[after] = before
        if before != NONE:
            self._next[before] = after
        else:
            second = int(since // SPAN)
            if after != NONE:
                self._heads[second] = after
            else:
                del self._heads[second]
                if second == self._eldest:
                    self._eldest = None
        self._next[key] = _AWAY
        self._count -= 1
        return since, self._mark[key]

    def ended(self, now: float, keep: float, most: int) -> list[int]:
        """Those that have been quiet for `keep` ms and the rest of their second, at most so many."""
        found: list[int] = []
        for second in self._ended_seconds(now, keep):
            key = self._heads[second]
            while key != NONE and len(found) < most:
                found.append(key)
                key = self._next[key]
            if len(found) >= most:
                break
        return found

    def ends_at(self, keep: float) -> float:
        """When `ended` will find the first one, in ms; infinity if nobody is parked."""
        second = self._first()
        return inf if second is None else (second + 1) * SPAN + keep

    def some(self, most: int) -> list[int]:
        """Up to so many of them, the eldest first."""
        return self.ended(inf, 0.0, most)

    def _first(self) -> int | None:
        if self._eldest is None and self._heads:
            self._eldest = min(self._heads)  # there is one for each second of the idle time at the most
        return self._eldest

    def _ended_seconds(self, now: float, keep: float) -> list[int]:
        first = self._first()
        if first is None or (first + 1) * SPAN + keep > now:
            return []
        return sorted(second for second in self._heads if (second + 1) * SPAN + keep <= now)
