"""Who may act, who is lost, and who takes what over. No I/O, no clock: told of steady times and of beats.

Theory of operation. A process that joins begins a *life*: a name that never comes again (`n1.3`). While it
lives it renews a counter, its *beat*. Its lease runs from the moment before a beat was written down; once
it is over, but for a margin, the holder sends nothing of what it keeps. Others read the beats. A life whose
beat has stood still for a whole lease *of the reader's own watching* is suspected, at once if the machine
says that its process is gone. Since whoever reads a beat reads it after it was written, on any two steady
clocks that part by less than the margin within a lease, nobody suspects a life whose holder still thinks
that it may send.

    alive -> suspected (by one) -> lost (agreed on by most of those that this one does not suspect)
    lost  -> fenced: for ever. What it had goes to its heirs, the lives that were alive then

A suspicion is taken back when the beat moves; a fence never is. Whoever has not watched (it has just joined,
or stood still itself) suspects nobody for silence until it has watched for a lease.

What must never happen: a life that is fenced and sends; two lives that take the same job over. The second
follows from `chain_of` alone: each job of a fenced life has one heir among those written in its fence, and
where that one is fenced too, one among its heirs, and so on.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from math import inf
from zlib import crc32

from eiderfield.interface import mix


@dataclass(slots=True)
class Lease:
    """This process's own right to send. Steady times, in ms."""

    length: float
    margin: float
    since: float = -inf  # the moment before the last beat was written down

    def renewed(self, before: float) -> None:
        """A beat has been written down, which was begun at `before`."""
        self.since = max(self.since, before)

    def holds(self, now: float) -> bool:
        """Whether this process may send what it keeps."""
        return now < self.since + self.length - self.margin


@dataclass(slots=True)
class _Seen:
    beat: int
    moved: float  # when it was first read as it is


@dataclass(slots=True)
class Watch:
    """What one member knows of the others."""

    me: str
    lease: float
    look: float
    _seen: dict[str, _Seen] = field(default_factory=dict)
    _last: float = -inf
    _since: float = inf  # since when it has watched without a gap

    def looked(self, now: float, beats: Mapping[str, int], gone: Iterable[str]) -> set[str]:
        """A look at the beats of all lives that are not fenced, and at those whose process is gone for
        certain. Returns whom this member suspects."""
        if now > self._last + self.lease / 2.0 or self._since == inf:  # it was away, and cannot have heard
            self._since = now
            for seen in self._seen.values():
                seen.moved = now
        self._last = now
        for life, beat in beats.items():
            known = self._seen.get(life)
            if known is None or known.beat != beat:
                self._seen[life] = _Seen(beat, now)
        for life in self._seen.keys() - beats.keys():
            del self._seen[life]
        certain = set(gone) & beats.keys() if self.settled(now) else set()
        silent = {life for life, seen in self._seen.items() if now >= seen.moved + self.lease}
        return (certain | silent) - {self.me}

    def settled(self, now: float) -> bool:
        """Whether it has watched for long enough to know who else is there."""
        return now >= self._since + self.lease / 2.0


def agreed(life: str, voters: Iterable[str], lives: Iterable[str], suspects: Iterable[str]) -> bool:
    """Whether a life is lost: most of the lives that are not suspected say so."""
    electorate = set(lives) - set(suspects) - {life}
    return 2 * len(electorate & set(voters)) > len(electorate)


def chain_of(
    id_: str, life: str, fences: Mapping[str, Sequence[str]], later: Sequence[Sequence[str]] = ()
) -> list[str]:
    """The lives that a job has belonged to, in order, from the one that took it: the last is its owner.

    `fences` holds the heirs of each fenced life. Two lives that were fenced at one moment may be each other's
    heirs; a chain that finds nobody new goes on among the first of `later`, lists of lives that were written
    down when that was seen, and so on. If the last of the chain is fenced, the job has no owner yet.
    """
    chain = [life]
    number = crc32(id_.encode())
    more = iter(later)
    while (heirs := fences.get(chain[-1])) is not None:
        while not (fresh := sorted(set(heirs) - set(chain))):
            if (heirs := next(more, None)) is None:
                return chain
        chain.append(max(fresh, key=lambda heir: mix(number, crc32(heir.encode()))))
    return chain
