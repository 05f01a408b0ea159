"""Which of the other incarnations are suspected of being lost. No I/O, no clock: told of heartbeats.

States of an incarnation, as one member sees it:

    alive -> suspected (by this member) -> lost (most of the members that are not suspected agree)
    lost  -> fenced, for ever (`fences.py`)

A suspicion ends when the heartbeat moves; a fence never does. A heartbeat that has stood still for a whole
lease of this member's own watching makes its incarnation suspected, and so does the machine's word that its
process is gone.

What must never happen: a member that has not watched for long enough suspects anybody. It has just joined, or
stood still itself, and cannot have seen heartbeats.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from math import inf


@dataclass(slots=True)
class _Heartbeat:
    count: int
    moved: float  # when this count was first read


@dataclass(slots=True)
class FailureDetector:
    """What one member knows of the heartbeats of the others. Times in ms."""

    own: str  # the incarnation of this member
    lease: float
    _heartbeats: dict[str, _Heartbeat] = field(default_factory=dict)
    _last: float = -inf
    _watching_since: float = inf  # without a gap

    def observe(self, now: float, heartbeats: Mapping[str, int], gone: Iterable[str]) -> set[str]:
        """Takes in the heartbeats of all incarnations that are not fenced, and which of their processes are
        gone for certain. Returns whom this member suspects."""
        self._note_gap(now)
        for incarnation, count in heartbeats.items():
            known = self._heartbeats.get(incarnation)
            if known is None or known.count != count:
                self._heartbeats[incarnation] = _Heartbeat(count, now)
        for incarnation in self._heartbeats.keys() - heartbeats.keys():
            del self._heartbeats[incarnation]
        certain = set(gone) & heartbeats.keys() if self.is_settled(now) else set()
        silent = {name for name, seen in self._heartbeats.items() if now >= seen.moved + self.lease}
        return (certain | silent) - {self.own}

    def _note_gap(self, now: float) -> None:
        """After a gap in its own watching it begins anew."""
        if now > self._last + self.lease / 2.0 or self._watching_since == inf:
            self._watching_since = now
            for seen in self._heartbeats.values():
                seen.moved = now
        self._last = now

    def is_settled(self, now: float) -> bool:
        """Whether it has watched for long enough to know who else is there."""
        return now >= self._watching_since + self.lease / 2.0


def is_lost(incarnation: str, voters: Iterable[str], alive: Iterable[str], suspects: Iterable[str]) -> bool:
    """Whether an incarnation is lost: most of those that are not suspected vote for it."""
    electorate = set(alive) - set(suspects) - {incarnation}
    return 2 * len(electorate & set(voters)) > len(electorate)
