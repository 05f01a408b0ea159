"""Key affinity: the workers to which the requests of one key go, so that they find its data there.

Theory of operation. Rendezvous hashing: a key's workers, in the order of a hash of both, are the same at
every dispatcher, and the first few that may be used are its homes. Only the first part of that order is kept
for a key. A change of the list is written to a log, and a key's order takes in what has changed when it is
next asked for: a change costs the same however many keys there are, and a key one hash for each change since.

What must never happen: an order that lacks one of the first workers, or that depends on which changes came
in which order.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from math import ceil

from eiderfield.interface import stable_hash, stable_hashes_up_to
from eiderfield.model.learned_state import KeyCount
from eiderfield.policy.endpoint import Worker

HOMES = 2  # workers to which the requests of a key go first, at least: one may be busy
HOME_ROOM = 2.0  # homes of a key, in workers that its share of the requests fills
HOME_ROOM_OF_MANY = 1.5  # the same where dispatchers are many and call off what waits
KEY_MEMORY = 5000  # requests with keys that are counted
KEYS_TOLD = 500  # keys, of those counted, that are told to the next process
FIRST_KEPT = 12  # workers of an order that are kept at first: two homes, and those that stand in for them
CHANGES_KEPT = 256  # changes of the list; an order that has missed more is made anew


@dataclass(slots=True, eq=False)
class _Change:
    """A worker has joined or left."""

    worker: Worker
    joined: bool


@dataclass(slots=True, eq=False)
class _Order:
    """The first workers of a key: all whose hash is not above `bound`."""

    hashes: list[int]
    workers: list[Worker]
    bound: int
    taken_in: int  # changes, of all that ever came


_HIGHEST = (1 << 64) - 1  # of all hashes


class KeyOrders:
    """The orders of the keys that were asked for."""

    def __init__(self) -> None:
        self._workers: dict[int, Worker] = {}
        self._orders: dict[int, _Order] = {}
        self._changes: list[_Change] = []
        self._dropped_changes = 0  # changes that came before those that are kept

    def __len__(self) -> int:
        return len(self._orders)

    def reset(self, workers: Iterable[Worker]) -> None:
        """Starts anew with these workers."""
        self._workers = {worker.entry.worker: worker for worker in workers}
        self._changes.clear()
        self.clear()

    def clear(self) -> None:
        """Forgets all keys."""
        self._orders.clear()

    def add(self, worker: Worker) -> None:
        """Takes in one more worker."""
        self._workers[worker.entry.worker] = worker
        self._append(_Change(worker, True))

    def remove(self, worker: Worker) -> None:
        """Lets a worker go."""
        del self._workers[worker.entry.worker]
        self._append(_Change(worker, False))

    def first_workers(self, key: int, count: int) -> tuple[list[Worker], bool]:
        """At least the first `count` workers of a key, and whether these are all. Not to be changed."""
        order = self._orders.get(key)
        if order is None or order.taken_in < self._dropped_changes:
            order = self._orders[key] = self._compute(key, max(count, FIRST_KEPT))
        else:
            self._catch_up(key, order)
        if len(order.workers) < count and order.bound < _HIGHEST:
            order = self._orders[key] = self._compute(key, count)
        return order.workers, order.bound == _HIGHEST

    def _append(self, change: _Change) -> None:
        self._changes.append(change)
        if len(self._changes) > 2 * CHANGES_KEPT:
            self._dropped_changes += CHANGES_KEPT
            del self._changes[:CHANGES_KEPT]

    def _compute(self, key: int, count: int) -> _Order:
        """Hashes every worker once and keeps those below a bound, which lets through twice the `count`."""
        share = 2 * count / max(1, len(self._workers))
        bound = int(share * _HIGHEST) if share < 1.0 else _HIGHEST
        found = sorted(stable_hashes_up_to(key, self._workers, bound))
        if len(found) < count and bound < _HIGHEST:
            return self._compute(key, 2 * count)
        hashes = [value for value, _ in found]
        workers = [self._workers[number] for _, number in found]
        return _Order(hashes, workers, bound, self._dropped_changes + len(self._changes))

    def _catch_up(self, key: int, order: _Order) -> None:
        """Takes in what has changed since the key was last asked for."""
        for change in self._changes[order.taken_in - self._dropped_changes :]:
            value = stable_hash(key, change.worker.entry.worker)
            if value > order.bound:
                continue
            index = bisect_left(order.hashes, value)
            if change.joined:
                order.hashes.insert(index, value)
                order.workers.insert(index, change.worker)
            else:
                del order.hashes[index], order.workers[index]
        order.taken_in = self._dropped_changes + len(self._changes)


class KeyCounts:
    """How many requests there were of each key lately, from which the number of its homes follows."""

    def __init__(self) -> None:
        self.by_key: Counter[int] = Counter()
        self.total = 0

    def count(self, key: int) -> bool:
        """Counts a request; returns whether rare keys were forgotten, or they would fill the memory."""
        self.by_key[key] += 1
        self.total += 1
        if self.total <= KEY_MEMORY:
            return False
        self.by_key = Counter({key: number // 2 for key, number in self.by_key.items() if number > 1})
        self.total = self.by_key.total()
        return True

    def home_count(self, key: int, workers: int, many: bool) -> int:
        """How many homes a key needs among so many workers (incident ia7713c).

        One of many dispatchers counts it without the request itself: of few requests each would make a
        rare key hot."""
        share = (self.by_key[key] - many) / max(1, self.total - many)
        room = HOME_ROOM_OF_MANY if many else HOME_ROOM
        return max(HOMES, ceil(room * share * workers))

    def most_common(self) -> tuple[KeyCount, ...]:
        """Return the counts of the most frequent keys, which the next process should know."""
        return tuple(KeyCount(key, requests) for key, requests in self.by_key.most_common(KEYS_TOLD))

    def resume(self, counts: Iterable[KeyCount]) -> None:
        """Continue with the counts of the previous process."""
        self.by_key.update({count.key: count.requests for count in counts})
        self.total = self.by_key.total()
