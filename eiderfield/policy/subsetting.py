"""Subsetting: which of the ready workers this dispatcher sends to.

Theory of operation. Each of many dispatchers keeps to a part of the fleet: otherwise it meets each worker so
rarely that it learns nothing of it, and pays for a connection to every one. All dispatchers find their
subsets from the endpoint list and the settings alone, without talking. The fleet is split into groups, and a
dispatcher belongs to one of them, with the others whose numbers fall there too:

    BalancedPartition  a few workers to a group: all groups of one size, and of one mix of zones and kinds. A
                       worker stays in its group until it leaves; a new one joins the smallest group.
    HashedPartition    hundreds of workers to a group: each is in the group for which its hash is highest. It
                       needs no memory of the past, so that all dispatchers of a group agree on its members
                       whatever they saw before: they have to find the same homes for a key.

What must never happen: a ready worker in no group; a change of one worker that moves more than itself and, to
keep the sizes even, one other; a change that costs a walk over the whole fleet.
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

SUBSET = 4  # workers that a dispatcher keeps to at least: enough to bear the loss of some
SHARERS = (4, 9)  # dispatchers to one worker: of more each sees too little or, if they talk, hears too much
# Workers that a dispatcher keeps to where requests have keys. The standing test lets a fleet of 3,200 cost
# 2.5 times the connections of one of 200, plus 40: 540 at a worker each, below which this has to stay.
KEYED_SUBSET = 500
SPREAD = 0.1  # part by which the number of groups may be wrong before all workers are dealt anew
KEYED_SPREAD = 0.5  # and by which one of hundreds may: their homes are lost when the groups change
DONORS = 8  # groups that are looked at for a worker, when another has become too small
GOLDEN_RATIO = 0.6180339887498949  # multiples of it, less the whole, lie evenly between 0 and 1

Place = tuple[int, int, int]  # zone, kind and number of a worker: their order in a subset


def place_of(entry: Endpoint) -> Place:
    """The place of a worker in the order of a subset."""
    return entry.zone, entry.kind, entry.worker


def balanced_groups(current: int, dispatchers: int, talk: bool, workers: int) -> int:
    """How many groups of a few workers there should be, given how many there are."""
    sharers = SHARERS[talk]
    wanted = max(1, min(round(dispatchers / sharers), workers // SUBSET))
    return current if abs(wanted - current) <= SPREAD * current else wanted


def keyed_groups(current: int, dispatchers: int, workers: int) -> int:
    """How many groups of hundreds of workers there should be, given how many there are."""
    most = max(1, round(dispatchers / SHARERS[False]))
    wanted = min(most, ceil(workers / KEYED_SUBSET))
    size = workers / max(1, current)
    if current > most or size > KEYED_SUBSET * (1.0 + SPREAD) or size < KEYED_SUBSET * (1.0 - KEYED_SPREAD):
        return max(1, wanted)
    return current


@dataclass(slots=True, frozen=True)
class Move:
    """A worker has come into a group, left one, or both. None: no group."""

    place: Place
    source: int | None
    target: int | None


class Partition(Protocol):
    """A split of the ready workers into groups."""

    group_count: int

    def repartition(self, places: Iterable[Place], groups: int) -> None:
        """Splits all ready workers anew into so many groups."""

    def add(self, place: Place) -> list[Move]:
        """Takes in one more worker."""

    def remove(self, place: Place) -> list[Move]:
        """Lets a worker go."""

    def group_of(self, place: Place) -> int:
        """The group of a worker that has been taken in."""


class BalancedPartition:
    """Groups whose sizes differ by one at most, each of the same mix of zones and kinds."""

    def __init__(self) -> None:
        self.group_count = 1
        self._group_of: dict[Place, int] = {}
        self._members: list[dict[Place, None]] = [{}]
        self._sizes = [0]
        self._sizes_per_kind: Counter[tuple[int, int, int]] = Counter()  # by zone, kind and group

    def repartition(self, places: Iterable[Place], groups: int) -> None:
        """Splits all ready workers anew: in their order each goes to the next group."""
        self.group_count = groups
        self._group_of.clear()
        self._members = [{} for _ in range(groups)]
        self._sizes = [0] * groups
        self._sizes_per_kind.clear()
        for number, place in enumerate(sorted(places)):
            self._add_member(place, number % groups)

    def add(self, place: Place) -> list[Move]:
        """Puts a worker into the smallest group, of these the one that has fewest of its zone and kind."""
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
        """Takes a worker out. Where its group is then two short, one of the largest gives up a worker."""
        group = self._group_of[place]
        self._remove_member(place)
        moves = [Move(place, group, None)]
        if max(self._sizes) - self._sizes[group] > 1:
            moves.append(self._refill(group))
        return moves

    def group_of(self, place: Place) -> int:
        """The group of a worker that has been taken in."""
        return self._group_of[place]

    def _refill(self, group: int) -> Move:
        """Moves a worker to a group from one of the largest: of a zone and kind that the group lacks most."""
        largest = max(self._sizes)
        donors = [donor for donor, size in enumerate(self._sizes) if size == largest]
        first = bisect_left(donors, group)
        asked = [donors[(first + step) % len(donors)] for step in range(min(DONORS, len(donors)))]
        offers = [place for donor in asked for place in self._members[donor]]

        def surplus(place: Place) -> tuple[int, int]:
            zone, kind, worker = place
            donor = self._group_of[place]
            excess = self._sizes_per_kind[zone, kind, group] - self._sizes_per_kind[zone, kind, donor]
            return excess, stable_hash(group, worker)

        place = min(offers, key=surplus)
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
    """Groups by rendezvous hashing: even enough where each has hundreds of workers."""

    def __init__(self) -> None:
        self.group_count = 1

    def repartition(self, places: Iterable[Place], groups: int) -> None:
        """Sets the number of groups. A worker changes its group only for a new one, or from one that goes."""
        self.group_count = groups

    def add(self, place: Place) -> list[Move]:
        """Takes in one more worker."""
        return [Move(place, None, self.group_of(place))]

    def remove(self, place: Place) -> list[Move]:
        """Lets a worker go."""
        return [Move(place, self.group_of(place), None)]

    def group_of(self, place: Place) -> int:
        """The group for which the worker's hash is highest."""
        _, _, worker = place
        return max(range(self.group_count), key=lambda group: stable_hash(group + 1, worker))


class Subset:
    """The workers of one dispatcher's group, in the order of their places."""

    def __init__(self, joined: Callable[[Worker], None], left: Callable[[Worker], None]) -> None:
        self.workers: list[Worker] = []
        self.dispatchers_per_worker = 1.0  # dispatchers that send to one worker
        self.group_count = 1
        self._group = 0
        self._places: list[Place] = []  # of `workers`, one by one
        self._ready: dict[Place, Worker] = {}
        self._partition: Partition = BalancedPartition()
        self._joined = joined
        self._left = left

    def __len__(self) -> int:
        return len(self.workers)

    def __contains__(self, worker: Worker) -> bool:
        return self._find(place_of(worker.entry)) is not None

    def repartition(
        self, ready: Iterable[Worker], keyed: bool, groups: int, group: int, sharers: float
    ) -> None:
        """Splits the fleet anew and takes the workers of a group."""
        self._ready = {place_of(worker.entry): worker for worker in ready}
        self._partition = HashedPartition() if keyed else BalancedPartition()
        self._partition.repartition(self._ready, groups)
        self.group_count, self._group, self.dispatchers_per_worker = groups, group, sharers
        self._places = sorted(place for place in self._ready if self._partition.group_of(place) == group)
        self.workers = [self._ready[place] for place in self._places]

    def add(self, worker: Worker) -> None:
        """Takes in a worker that has become ready."""
        place = place_of(worker.entry)
        self._ready[place] = worker
        self._apply(self._partition.add(place))

    def remove(self, entry: Endpoint) -> None:
        """Lets a worker go that was ready, at the place that it had then."""
        place = place_of(entry)
        self._apply(self._partition.remove(place))
        del self._ready[place]

    def _apply(self, moves: Iterable[Move]) -> None:
        for move in moves:
            if move.source == self._group:
                index = bisect_left(self._places, move.place)
                del self._places[index]
                self._left(self.workers.pop(index))
            if move.target == self._group:
                index = bisect_left(self._places, move.place)
                self._places.insert(index, move.place)
                self.workers.insert(index, self._ready[move.place])
                self._joined(self._ready[move.place])

    def _find(self, place: Place) -> int | None:
        index = bisect_left(self._places, place)
        found = index < len(self._places) and self._places[index] == place
        return index if found else None


def group_of_dispatcher(number: int, dispatchers: int, groups: int, keyed: bool) -> int:
    """The group of a dispatcher. In keyed fleets neighbours in number are spread over the groups, so that a
    part of the dispatchers, such as one zone's, still serves all groups."""
    if keyed:
        return int((number * GOLDEN_RATIO) % 1.0 * groups)
    return number * groups // dispatchers
