"""When workers started, on this process's clock, from the Unix times that discovery announces.

Slow start counts from a worker's start. An announced start is converted once, when this process first sees
it, and kept for as long as the worker is listed with the same value: a later step of the wall clock moves
nothing.
A conversion is believed only as far as it is plausible:

- no start lies in the future;
- a start that is announced as new to a process that follows discovery began since the source was last heard,
  or at most `ANNOUNCED` before, for a change may be told that late;
- if the wall clock was stepped a moment ago, the start may have been stamped before the step: of two
  plausible ages the younger counts.

A start that is not plausible is taken to be as recent as its announcement. What must never happen: a worker
in slow start that is taken for warm, or one that stays in slow start for longer than the settings say.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from math import inf

from eiderfield.net.backoff import NOTIFIED_AFTER
from eiderfield.net.clock import WallClock

ANNOUNCED = NOTIFIED_AFTER  # ms by which a change may be told late, though the source was heard meanwhile
SKEW = 250.0  # ms by which a fresh start may seem to lie ahead, and from which the wall clock was stepped
EARLIEST = 1.0  # the earliest time of a start; 0 says that it is not known


@dataclass(slots=True, frozen=True)
class AnnouncedStart:
    """A worker's start as discovery announced it, and when that was on this process's clock."""

    since_ms: float  # Unix time, as announced
    started: float


@dataclass(slots=True, frozen=True)
class EarlierOffset:
    """By how much Unix time was ahead of this process's clock before a step, and until when that matters."""

    offset: float
    until: float


class StartTimes:
    """The starts of all workers that were ever listed."""

    def __init__(self, clock: Callable[[], float], wall: WallClock) -> None:
        """`clock` is the process's clock, `wall` its relation to Unix time."""
        self._clock = clock
        self._wall = wall
        self._offset = wall.offset()
        self._earlier: list[EarlierOffset] = []
        self.heard: float | None = None  # when a source was last heard
        self._announced: dict[int, AnnouncedStart] = {}

    def source_heard(self) -> None:
        """A source has told all that it had to tell: a list or a sign of life came."""
        now = self.heard = self._clock()
        self._notice_step(now)

    def started_at(self, worker: int, since_ms: float) -> float:
        """When a worker started that is listed with this Unix time of its start; 0 for long ago."""
        if since_ms <= 0.0:
            self._announced.pop(worker, None)
            return 0.0
        known = self._announced.get(worker)
        if known is None or known.since_ms != since_ms:
            known = AnnouncedStart(since_ms, self._convert(since_ms))
            self._announced[worker] = known
        return known.started

    def take_over(self, worker: int, since_ms: float, started: float) -> None:
        """Another process of this dispatcher has seen the start announced, and when that was."""
        if since_ms > 0.0:
            self._announced[worker] = AnnouncedStart(since_ms, max(EARLIEST, min(started, self._clock())))

    def take_over_offset(self, offset: float) -> None:
        """By another process's clock Unix time was ahead by so much: starts may be stamped by that."""
        self._earlier.append(EarlierOffset(offset, self._clock() + ANNOUNCED))

    def since_ms(self, worker: int, started: float) -> float:
        """The Unix time by which a worker's start is known outside."""
        known = self._announced.get(worker)
        if known is not None and known.started == started:
            return known.since_ms
        return self._wall.to_unix(started) if started > 0.0 else 0.0

    def _convert(self, since_ms: float) -> float:
        now = self._clock()
        self._notice_step(now)
        offsets = [self._offset, *[earlier.offset for earlier in self._earlier]]
        oldest = inf if self.heard is None else now - self.heard + ANNOUNCED
        ages = [now + offset - since_ms for offset in offsets]
        plausible = [max(0.0, age) for age in ages if -SKEW <= age <= oldest]
        return max(EARLIEST, now - min(plausible, default=0.0))

    def _notice_step(self, now: float) -> None:
        """Remembers the earlier relation of the clocks for as long as a start stamped by it may be told."""
        offset = self._wall.offset()
        self._earlier = [earlier for earlier in self._earlier if now < earlier.until]
        if abs(offset - self._offset) > SKEW:
            self._earlier.append(EarlierOffset(self._offset, now + ANNOUNCED))
        self._offset = offset
