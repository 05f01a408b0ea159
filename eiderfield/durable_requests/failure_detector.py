"""The failure detector of one member. Performs no I/O and reads no clock.

States of another incarnation:

    alive -> suspected (by this member) -> lost (a majority of the unsuspected members suspects it)
    lost  -> fenced, permanently (`fences.py`)

This member suspects an incarnation when it has read the same heartbeat count for a whole lease, or when the
incarnation's process is known to have exited. A suspicion ends when the count changes; a fence never ends.

Invariant: a member that is not warmed up suspects no incarnation. It has just joined, or was stopped itself,
and cannot have read the heartbeats.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from math import inf


@dataclass(slots=True)
class _Heartbeat:
    count: int
    seen_at: float  # when this member first read this count


@dataclass(slots=True)
class FailureDetector:
    """The heartbeats of the other incarnations, as one member sees them. All times in ms."""

    own: str  # the incarnation of this member
    lease: float
    _heartbeats: dict[str, _Heartbeat] = field(default_factory=dict)
    _observed_at: float = -inf
    _watching_since: float = inf  # when the current period without a gap began

    def observe(self, now: float, heartbeats: Mapping[str, int], exited: Iterable[str]) -> set[str]:
        """Record the heartbeats of all incarnations that are not fenced. Return the suspected incarnations.

        `exited` has the incarnations whose process is known to have exited.
        """
        self._restart_after_gap(now)
        for incarnation, count in heartbeats.items():
            known = self._heartbeats.get(incarnation)
            if known is None or known.count != count:
                self._heartbeats[incarnation] = _Heartbeat(count, now)
        for incarnation in self._heartbeats.keys() - heartbeats.keys():
            del self._heartbeats[incarnation]
        known_exited = set(exited) & heartbeats.keys() if self.is_warmed_up(now) else set()
        silent = {
            name for name, heartbeat in self._heartbeats.items() if now >= heartbeat.seen_at + self.lease
        }
        return (known_exited | silent) - {self.own}

    def _restart_after_gap(self, now: float) -> None:
        """Restart the warm-up if this member has read no heartbeats for half a lease."""
        if now > self._observed_at + self.lease / 2.0 or self._watching_since == inf:
            self._watching_since = now
            for heartbeat in self._heartbeats.values():
                heartbeat.seen_at = now
        self._observed_at = now

    def is_warmed_up(self, now: float) -> bool:
        """Return whether this member has read the heartbeats for half a lease without a gap."""
        return now >= self._watching_since + self.lease / 2.0


def is_lost(incarnation: str, voters: Iterable[str], alive: Iterable[str], suspects: Iterable[str]) -> bool:
    """Return whether a majority of the incarnations that are not suspected votes against `incarnation`."""
    electorate = set(alive) - set(suspects) - {incarnation}
    return 2 * len(electorate & set(voters)) > len(electorate)
