"""Key affinity: requests with the same key go to the same few workers, the homes of the key.

The homes are found by rendezvous hashing: the workers are ordered by a hash of the key and the worker,
which is the same at every dispatcher, and the first usable workers are the homes. Only the first part of a
key's order is kept. A change of the endpoint list is appended to a log, and applied to an order when the
order is next used. The cost of a change therefore does not grow with the number of keys, and the use of an
order costs one hash for each change since its last use.

Invariants: an order contains all of the first workers of its key up to its bound; it does not depend on the
sequence of changes.
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

MIN_HOMES = 2  # minimum number of homes of a key, because one may be busy
HOME_FACTOR = 2.0  # homes of a key, as a multiple of its share of the requests times the workers
HOME_FACTOR_MANY_DISPATCHERS = 1.5  # fewer with many dispatchers, which cancel requests that wait
MAX_COUNTED_REQUESTS = 5000  # requests with keys after which all counts are halved
MAX_KEYS_HANDED_OVER = 500  # most frequent keys that are passed on to the next process
MIN_ORDER_LENGTH = 12  # workers that a new order holds at least: two homes and substitutes for them
MIN_CHANGES_KEPT = 256  # an order that has missed more changes is computed anew


@dataclass(slots=True, eq=False)
class _Change:
    """A worker that has been added or removed."""

    worker: Worker
    is_added: bool


@dataclass(slots=True, eq=False)
class _Order:
    """The first workers of a key: those whose hash is not above `bound`."""

    hashes: list[int]
    workers: list[Worker]
    bound: int
    applied_changes: int  # number of changes since the start that the order includes


_MAX_HASH = (1 << 64) - 1


class KeyOrders:
    """The orders of the keys that have been used."""

    def __init__(self) -> None:
        """Create orders of no workers."""
        self._workers: dict[int, Worker] = {}
        self._orders: dict[int, _Order] = {}
        self._changes: list[_Change] = []
        self._dropped_changes = 0  # number of changes that precede the first one kept

    def __len__(self) -> int:
        """Return the number of keys whose order is kept."""
        return len(self._orders)

    def reset(self, workers: Iterable[Worker]) -> None:
        """Forget all keys, and set the workers to be ordered."""
        self._workers = {worker.entry.worker: worker for worker in workers}
        self._changes.clear()
        self.clear()

    def clear(self) -> None:
        """Forget all keys."""
        self._orders.clear()

    def add(self, worker: Worker) -> None:
        """Add a worker."""
        self._workers[worker.entry.worker] = worker
        self._append(_Change(worker, True))

    def remove(self, worker: Worker) -> None:
        """Remove a worker."""
        del self._workers[worker.entry.worker]
        self._append(_Change(worker, False))

    def first_workers(self, key: int, count: int) -> tuple[list[Worker], bool]:
        """Return at least the first `count` workers of a key, and whether these are all workers.

        The list belongs to the order and must not be modified.
        """
        order = self._orders.get(key)
        if order is None or order.applied_changes < self._dropped_changes:
            order = self._orders[key] = self._compute(key, max(count, MIN_ORDER_LENGTH))
        else:
            self._catch_up(key, order)
        if len(order.workers) < count and order.bound < _MAX_HASH:
            order = self._orders[key] = self._compute(key, count)
        return order.workers, order.bound == _MAX_HASH

    def _append(self, change: _Change) -> None:
        self._changes.append(change)
        if len(self._changes) > 2 * MIN_CHANGES_KEPT:
            self._dropped_changes += MIN_CHANGES_KEPT
            del self._changes[:MIN_CHANGES_KEPT]

    def _compute(self, key: int, count: int) -> _Order:
        """Hash every worker and keep those up to a bound, below which twice `count` workers are expected."""
        share = 2 * count / max(1, len(self._workers))
        bound = int(share * _MAX_HASH) if share < 1.0 else _MAX_HASH
        found = sorted(stable_hashes_up_to(key, self._workers, bound))
        if len(found) < count and bound < _MAX_HASH:
            return self._compute(key, 2 * count)
        hashes = [value for value, _ in found]
        workers = [self._workers[number] for _, number in found]
        return _Order(hashes, workers, bound, self._dropped_changes + len(self._changes))

    def _catch_up(self, key: int, order: _Order) -> None:
        """Apply the changes since the order was last used."""
        for change in self._changes[order.applied_changes - self._dropped_changes :]:
            value = stable_hash(key, change.worker.entry.worker)
            if value > order.bound:
                continue
            index = bisect_left(order.hashes, value)
            if change.is_added:
                order.hashes.insert(index, value)
                order.workers.insert(index, change.worker)
            else:
                del order.hashes[index], order.workers[index]
        order.applied_changes = self._dropped_changes + len(self._changes)


class KeyCounts:
    """Counts of recent requests by key, from which the number of homes of a key follows."""

    def __init__(self) -> None:
        """Create counts of no requests."""
        self.by_key: Counter[int] = Counter()
        self.total = 0

    def count(self, key: int) -> bool:
        """Count a request; return whether all counts were halved, which drops keys with a single request."""
        self.by_key[key] += 1
        self.total += 1
        if self.total <= MAX_COUNTED_REQUESTS:
            return False
        self.by_key = Counter({key: requests // 2 for key, requests in self.by_key.items() if requests > 1})
        self.total = self.by_key.total()
        return True

    def home_count(self, key: int, workers: int, many_dispatchers: bool) -> int:
        """Return how many homes a key needs among this number of workers (incident ia7713c).

        With many dispatchers the current request is left out of the count: each dispatcher sees so few
        requests that a single one would make a rare key look frequent.
        """
        share = (self.by_key[key] - many_dispatchers) / max(1, self.total - many_dispatchers)
        factor = HOME_FACTOR_MANY_DISPATCHERS if many_dispatchers else HOME_FACTOR
        return max(MIN_HOMES, ceil(factor * share * workers))

    def most_common(self) -> tuple[KeyCount, ...]:
        """Return the counts of the most frequent keys, for the next process."""
        return tuple(
            KeyCount(key, requests) for key, requests in self.by_key.most_common(MAX_KEYS_HANDED_OVER)
        )

    def resume(self, counts: Iterable[KeyCount]) -> None:
        """Continue with the counts of the previous process."""
        self.by_key.update({count.key: count.requests for count in counts})
        self.total = self.by_key.total()
