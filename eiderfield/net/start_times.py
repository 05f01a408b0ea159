"""Start times of workers on this process's clock, converted from the Unix times that discovery announces.

Slow start counts from a worker's start. An announced start is converted once, when this process first
sees it, and kept while the worker is listed with the same value: later steps of the wall clock change
nothing. The conversion keeps the result plausible:

- No start lies in the future.
- A start that is announced to a process that follows discovery lies after the last contact with the
source, or at
  most `MAX_ANNOUNCEMENT_DELAY_MS` before it: a change may be announced that late.
- After a recent step of the wall clock the start may have been stamped before the step. Of two plausible
ages the
  lower one counts.

An implausible start counts as just announced. Invariants: no worker in slow start is taken for a warm
one, and none stays in slow start for longer than the settings say.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from math import inf

from eiderfield.net.backoff import NOTIFICATION_DEADLINE_MS
from eiderfield.net.clock import WallClock

MAX_ANNOUNCEMENT_DELAY_MS = (
    NOTIFICATION_DEADLINE_MS  # of a change, though the source was in contact meanwhile
)
MAX_CLOCK_SKEW_MS = 250.0  # by which a start may seem to lie ahead; a larger change of the clock is a step
EARLIEST_START = 1.0  # ms; 0 stands for an unknown start


@dataclass(slots=True, frozen=True)
class AnnouncedStart:
    """A worker's start as announced, and the time on this process's clock that it was converted to."""

    since_ms: float  # Unix time
    started_at: float


@dataclass(slots=True, frozen=True)
class EarlierOffset:
    """Unix time minus this process's clock before a step of the wall clock.

    Starts may be stamped by it until `expires_at`.
    """

    offset: float
    expires_at: float


class StartTimes:
    """The starts of all workers that were ever listed.

    Attributes:
        source_contact_at: When a source last sent a list or a heartbeat, None if never.
    """

    def __init__(self, clock: Callable[[], float], wall: WallClock) -> None:
        """Creates an empty set; `wall` relates `clock`, the process's, to Unix time."""
        self._clock = clock
        self._wall = wall
        self._offset = wall.offset()
        self._earlier_offsets: list[EarlierOffset] = []
        self.source_contact_at: float | None = None
        self._announced: dict[int, AnnouncedStart] = {}  # by worker

    def record_source_contact(self) -> None:
        """Record that a source sent a list or a heartbeat, and so everything that it had to announce."""
        now = self.source_contact_at = self._clock()
        self._detect_step(now)

    def started_at(self, worker: int, since_ms: float) -> float:
        """Return when a worker that is listed with this Unix time started; 0 if that is unknown."""
        if since_ms <= 0.0:
            self._announced.pop(worker, None)
            return 0.0
        known = self._announced.get(worker)
        if known is None or known.since_ms != since_ms:
            known = AnnouncedStart(since_ms, self._convert(since_ms))
            self._announced[worker] = known
        return known.started_at

    def take_over(self, worker: int, since_ms: float, started_at: float) -> None:
        """Adopt a start as the dispatcher's other process has converted it."""
        if since_ms > 0.0:
            plausible = max(EARLIEST_START, min(started_at, self._clock()))
            self._announced[worker] = AnnouncedStart(since_ms, plausible)

    def take_over_offset(self, offset: float) -> None:
        """Accept starts that are stamped by the offset that the dispatcher's other process knew."""
        self._earlier_offsets.append(EarlierOffset(offset, self._clock() + MAX_ANNOUNCEMENT_DELAY_MS))

    def since_ms(self, worker: int, started_at: float) -> float:
        """Return the Unix time of a worker's start, as it was announced if it was."""
        known = self._announced.get(worker)
        if known is not None and known.started_at == started_at:
            return known.since_ms
        return self._wall.to_unix(started_at) if started_at > 0.0 else 0.0

    def _convert(self, since_ms: float) -> float:
        now = self._clock()
        self._detect_step(now)
        offsets = [self._offset, *[earlier.offset for earlier in self._earlier_offsets]]
        max_age = inf
        if self.source_contact_at is not None:
            max_age = now - self.source_contact_at + MAX_ANNOUNCEMENT_DELAY_MS
        ages = [now + offset - since_ms for offset in offsets]
        plausible = [max(0.0, age) for age in ages if -MAX_CLOCK_SKEW_MS <= age <= max_age]
        return max(EARLIEST_START, now - min(plausible, default=0.0))

    def _detect_step(self, now: float) -> None:
        """Keep the offset from before a step of the wall clock while a start may be stamped by it."""
        offset = self._wall.offset()
        self._earlier_offsets = [earlier for earlier in self._earlier_offsets if now < earlier.expires_at]
        if abs(offset - self._offset) > MAX_CLOCK_SKEW_MS:
            self._earlier_offsets.append(EarlierOffset(self._offset, now + MAX_ANNOUNCEMENT_DELAY_MS))
        self._offset = offset
