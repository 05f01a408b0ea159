"""Subsetting: which of the ready workers this dispatcher sends requests to.

Each of many dispatchers uses only a part of the fleet. Otherwise it would use each worker too rarely to learn
anything about it, and would keep a connection to all of them. The dispatchers compute their subsets from the
endpoint list and the settings alone, without communication. The fleet is partitioned into groups, and the
subset of a dispatcher is one group, which it shares with some other dispatchers:

    BalancedPartition  groups of a few workers, of equal size and an equal mix of zones and kinds. A worker
                       stays in its group until it leaves; a new one is added to the smallest group.
    HashedPartition    groups of hundreds of workers, for requests with keys. A worker is in the group for
                       which its hash is highest. This does not depend on earlier changes, so all dispatchers
                       of a group agree on its members, as they must to find the same homes for a key.

Invariants: every ready worker is in a group; a change of one worker moves that worker and, to keep the sizes
equal, at most one other; no change costs a scan of the whole fleet.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from math import ceil
from typing import Protocol

from eiderfield.interface import Endpoint, stable_hash
from eiderfield.policy.endpoint import Worker

MIN_SUBSET_SIZE = 4  # minimum number of workers in a subset: enough to tolerate the loss of some
DISPATCHERS_PER_WORKER = 4  # dispatchers that share a group; with more, each would see too little of a worker
DISPATCHERS_PER_WORKER_WITH_GOSSIP = 9  # dispatchers that share a group with gossip: limits the reports
# Workers in a subset if requests have keys. A fleet of 3,200 workers may cost 2.5 times the connections of a
# fleet of 200, plus 40 (docs/standing.md): 540 with one connection to each worker, the upper bound here.
AFFINITY_SUBSET_SIZE = 500
GROUP_COUNT_TOLERANCE = 0.1  # share by which the number of groups may deviate before a repartition
AFFINITY_SIZE_TOLERANCE = (
    0.5  # share by which a subset may be too small, as a repartition moves homes of keys
)
MAX_DONOR_GROUPS = 8  # groups from which a worker is selected to refill another group
GOLDEN_RATIO = 0.6180339887498949  # the fractional parts of its multiples are evenly spread from 0 to 1

Place = tuple[int, int, int]  # zone, kind and number of a worker: their order in a subset


def place_of(entry: Endpoint) -> Place:
    """Return the place of a worker in the order of a subset."""
    return entry.zone, entry.kind, entry.worker


def balanced_group_count(current: int, dispatchers: int, gossip: bool, workers: int) -> int:
    """Return the number of groups of a `BalancedPartition`, given the current one."""
    per_worker = DISPATCHERS_PER_WORKER_WITH_GOSSIP if gossip else DISPATCHERS_PER_WORKER
    wanted = max(1, min(round(dispatchers / per_worker), workers // MIN_SUBSET_SIZE))
    return current if abs(wanted - current) <= GROUP_COUNT_TOLERANCE * current else wanted


def hashed_group_count(current: int, dispatchers: int, workers: int) -> int:
    """Return the number of groups of a `HashedPartition`, given the current one."""
    max_groups = max(1, round(dispatchers / DISPATCHERS_PER_WORKER))
    wanted = min(max_groups, ceil(workers / AFFINITY_SUBSET_SIZE))
    size = workers / max(1, current)
    too_large = size > AFFINITY_SUBSET_SIZE * (1.0 + GROUP_COUNT_TOLERANCE)
    too_small = size < AFFINITY_SUBSET_SIZE * (1.0 - AFFINITY_SIZE_TOLERANCE)
    if current > max_groups or too_large or too_small:
        return max(1, wanted)
    return current


@dataclass(slots=True, frozen=True)
class Move:
    """The move of a worker from one group to another; None stands for no group."""

    place: Place
    source: int | None
    target: int | None


class Partition(Protocol):
    """A partition of the ready workers into groups, which are numbered from 0."""

    group_count: int

    def repartition(self, places: Iterable[Place], groups: int, /) -> None:
        """Divide all ready workers into `groups` groups."""

    def add(self, place: Place) -> list[Move]:
        """Add a worker; return the moves between groups."""

    def remove(self, place: Place) -> list[Move]:
        """Remove a worker; return the moves between groups."""

    def group_of(self, place: Place) -> int:
        """Return the group of a worker that has been added."""


class BalancedPartition:
    """Groups whose sizes differ by at most one, each with the same mix of zones and kinds."""

    def __init__(self) -> None:
        """Create one empty group."""
        self.group_count = 1
        self._group_of: dict[Place, int] = {}
        self._members: list[dict[Place, None]] = [{}]
        self._sizes = [0]
        self._sizes_per_kind: Counter[tuple[int, int, int]] = Counter()  # by zone, kind and group

    def repartition(self, places: Iterable[Place], groups: int) -> None:
        """Divide all ready workers: they are dealt to the groups in turn, in the order of their places."""
        self.group_count = groups
        self._group_of.clear()
        self._members = [{} for _ in range(groups)]
        self._sizes = [0] * groups
        self._sizes_per_kind.clear()
        for number, place in enumerate(sorted(places)):
            self._add_member(place, number % groups)

    def add(self, place: Place) -> list[Move]:
        """Add a worker to the smallest group; a tie goes to the group with fewest of its zone and kind."""
        smallest = min(self._sizes)
        candidates = [group for group, size in enumerate(self._sizes) if size == smallest]
        zone, kind, worker = place
        target = min(
            candidates,
            key=lambda group: (self._sizes_per_kind[zone, kind, group], stable_hash(group, worker)),
        )
        self._add_member(place, target)
        return [Move(place, None, target)]

    def remove(self, place: Place) -> list[Move]:
        """Remove a worker; if its group is then two smaller than the largest, move a worker to it."""
        group = self._group_of[place]
        self._remove_member(place)
        moves = [Move(place, group, None)]
        if max(self._sizes) - self._sizes[group] > 1:
            moves.append(self._refill(group))
        return moves

    def group_of(self, place: Place) -> int:
        """Return the group of a worker that has been added."""
        return self._group_of[place]

    def _refill(self, group: int) -> Move:
        """Move a worker from one of the largest groups, of the zone and kind that this group lacks most."""
        largest = max(self._sizes)
        donors = [donor for donor, size in enumerate(self._sizes) if size == largest]
        start = bisect_left(donors, group)
        donor_groups = [
            donors[(start + offset) % len(donors)] for offset in range(min(MAX_DONOR_GROUPS, len(donors)))
        ]
        candidates = [place for donor in donor_groups for place in self._members[donor]]

        def rank(place: Place) -> tuple[int, int]:
            zone, kind, worker = place
            donor = self._group_of[place]
            excess = self._sizes_per_kind[zone, kind, group] - self._sizes_per_kind[zone, kind, donor]
            return excess, stable_hash(group, worker)

        place = min(candidates, key=rank)
        source = self._group_of[place]
        self._remove_member(place)
        self._add_member(place, group)
        return Move(place, source, group)

    def _add_member(self, place: Place, group: int) -> None:
        zone, kind, _ = place
        self._group_of[place] = group
        self._members[group][place] = None
        self._sizes[group] += 1
        self._sizes_per_kind[zone, kind, group] += 1

    def _remove_member(self, place: Place) -> None:
        zone, kind, _ = place
        group = self._group_of.pop(place)
        del self._members[group][place]
        self._sizes[group] -= 1
        self._sizes_per_kind[zone, kind, group] -= 1


class HashedPartition:
    """Groups by rendezvous hashing, which are of nearly equal size if each has hundreds of workers."""

    def __init__(self) -> None:
        """Create one group."""
        self.group_count = 1

    def repartition(self, _places: Iterable[Place], groups: int) -> None:
        """Set the number of groups; workers move only to new groups or from removed ones."""
        self.group_count = groups

    def add(self, place: Place) -> list[Move]:
        """Add a worker; return who has changed its group."""
        return [Move(place, None, self.group_of(place))]

    def remove(self, place: Place) -> list[Move]:
        """Remove a worker; return who has changed its group."""
        return [Move(place, self.group_of(place), None)]

    def group_of(self, place: Place) -> int:
        """Return the group for which the worker's hash is highest."""
        _, _, worker = place
        return max(range(self.group_count), key=lambda group: stable_hash(group + 1, worker))


class Subset:
    """The workers of one dispatcher's group, in the order of their places."""

    def __init__(self, on_added: Callable[[Worker], None], on_removed: Callable[[Worker], None]) -> None:
        """Create an empty subset; it calls `on_added` and `on_removed` for each single change."""
        self.workers: list[Worker] = []
        self.dispatchers_per_worker = 1.0  # dispatchers that use the same group
        self.group_count = 1
        self._group = 0
        self._places: list[Place] = []  # places of `workers`, in the same order
        self._ready: dict[Place, Worker] = {}
        self._partition: Partition = BalancedPartition()
        self._on_added = on_added
        self._on_removed = on_removed

    def __len__(self) -> int:
        """Return the number of workers."""
        return len(self.workers)

    def __contains__(self, worker: Worker) -> bool:
        """Return whether a worker belongs to the subset."""
        place = place_of(worker.entry)
        index = bisect_left(self._places, place)
        return index < len(self._places) and self._places[index] == place

    def repartition(
        self,
        ready: Iterable[Worker],
        has_affinity: bool,
        groups: int,
        group: int,
        dispatchers_per_worker: float,
    ) -> None:
        """Partition the ready workers and set the subset to one group, without calls for single changes."""
        self._ready = {place_of(worker.entry): worker for worker in ready}
        self._partition = HashedPartition() if has_affinity else BalancedPartition()
        self._partition.repartition(self._ready, groups)
        self.group_count = groups
        self._group = group
        self.dispatchers_per_worker = dispatchers_per_worker
        self._places = sorted(place for place in self._ready if self._partition.group_of(place) == group)
        self.workers = [self._ready[place] for place in self._places]

    def add(self, worker: Worker) -> None:
        """Add a worker that has become ready to its group, which may not be this dispatcher's group."""
        place = place_of(worker.entry)
        self._ready[place] = worker
        self._apply(self._partition.add(place))

    def remove(self, entry: Endpoint) -> None:
        """Remove a worker, given the entry with which it was added."""
        place = place_of(entry)
        self._apply(self._partition.remove(place))
        del self._ready[place]

    def _apply(self, moves: Iterable[Move]) -> None:
        for move in moves:
            if move.source == self._group:
                index = bisect_left(self._places, move.place)
                del self._places[index]
                self._on_removed(self.workers.pop(index))
            if move.target == self._group:
                index = bisect_left(self._places, move.place)
                self._places.insert(index, move.place)
                self.workers.insert(index, self._ready[move.place])
                self._on_added(self._ready[move.place])


def group_of_dispatcher(index: int, dispatchers: int, groups: int, has_affinity: bool) -> int:
    """Return the group of a dispatcher.

    If requests have keys, dispatchers with neighbouring indices are spread over the groups, so that a part of
    the dispatchers, such as those of one zone, still serves all groups.
    """
    if has_affinity:
        return int((index * GOLDEN_RATIO) % 1.0 * groups)
    return index * groups // dispatchers
