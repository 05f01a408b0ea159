"""The failure detector of one member. Performs no I/O and reads no clock: it is given the heartbeats.

States of another incarnation:

    alive -> suspected (by this member) -> lost (a majority of the unsuspected members suspects it)
    lost  -> fenced, for ever (`fences.py`)

An incarnation is suspected when its heartbeat has stood still for a whole lease of this member's own
watching, or when its process is known to be gone. A suspicion ends when the heartbeat moves; a fence never
does.

Invariant: a member that has not watched for long enough suspects nobody. It has just joined, or was stopped
itself, and cannot have seen the heartbeats.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from math import inf


@dataclass(slots=True)
class _Heartbeat:
    count: int
    seen_at: float  # when this count was read first


@dataclass(slots=True)
class FailureDetector:
    """The heartbeats of the other incarnations, as one member sees them. All times in ms."""

    own: str  # the incarnation of this member
    lease: float
    _heartbeats: dict[str, _Heartbeat] = field(default_factory=dict)
    _observed_at: float = -inf
    _watching_since: float = inf  # without a gap

    def observe(self, now: float, heartbeats: Mapping[str, int], gone: Iterable[str]) -> set[str]:
        """Record the heartbeats of all incarnations that are not fenced. Return those that are suspected.

        `gone` names incarnations whose process is known to be gone.
        """
        self._restart_after_gap(now)
        for incarnation, count in heartbeats.items():
            known = self._heartbeats.get(incarnation)
            if known is None or known.count != count:
                self._heartbeats[incarnation] = _Heartbeat(count, now)
        for incarnation in self._heartbeats.keys() - heartbeats.keys():
            del self._heartbeats[incarnation]
        certain = set(gone) & heartbeats.keys() if self.is_settled(now) else set()
        silent = {name for name, seen in self._heartbeats.items() if now >= seen.seen_at + self.lease}
        return (certain | silent) - {self.own}

    def _restart_after_gap(self, now: float) -> None:
        """Restart watching if this member has not watched for half a lease."""
        if now > self._observed_at + self.lease / 2.0 or self._watching_since == inf:
            self._watching_since = now
            for seen in self._heartbeats.values():
                seen.seen_at = now
        self._observed_at = now

    def is_settled(self, now: float) -> bool:
        """Return whether this member has watched for long enough to know the others."""
        return now >= self._watching_since + self.lease / 2.0


def is_lost(incarnation: str, voters: Iterable[str], alive: Iterable[str], suspects: Iterable[str]) -> bool:
    """Return whether a majority of the incarnations that are not suspected votes against an incarnation."""
    electorate = set(alive) - set(suspects) - {incarnation}
    return 2 * len(electorate & set(voters)) > len(electorate)
