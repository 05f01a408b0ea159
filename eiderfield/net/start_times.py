"""Start times of workers on this process's clock, converted from the Unix times that discovery announces.

Slow start begins at a worker's start. An announced start is converted once, when this process first receives
it, and kept while the worker is listed with the same value, so that later steps of the wall clock change
nothing. A converted start is plausible if:

- It is at most `MAX_CLOCK_SKEW_MS` in the future, in which case it counts as the present time.
- Once a source has sent a list or a heartbeat, it is at most `MAX_ANNOUNCEMENT_DELAY_MS` before the last one,
  since changes are announced within that time.

After a recent step of the wall clock, the start may have been stamped with the time before the step. It is
converted by the offsets before and after the step, and the lower plausible age is used. A start without a
plausible age counts as the present time.

Invariants: a worker in slow start is never treated as one that has completed it, and no worker is in slow
start for longer than the settings say.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from math import inf

from eiderfield.net.backoff import NOTIFICATION_DEADLINE_MS
from eiderfield.net.clock import WallClock

MAX_ANNOUNCEMENT_DELAY_MS = (
    NOTIFICATION_DEADLINE_MS  # from a change to its announcement by a reachable source
)
MAX_CLOCK_SKEW_MS = 250.0  # tolerated for a start in the future; a larger change of the offset is a step
EARLIEST_START_MS = 1.0  # lower bound, since 0 stands for an unknown start


@dataclass(slots=True, frozen=True)
class AnnouncedStart:
    """A worker's start as announced, and its conversion to this process's clock."""

    since_ms: float  # Unix time
    started_at: float  # on this process's clock, in ms


@dataclass(slots=True, frozen=True)
class EarlierOffset:
    """Unix time minus this process's clock before a step of the wall clock, in ms.

    Starts that are announced until `expires_at` may have been stamped before the step.
    """

    offset: float
    expires_at: float


class StartTimes:
    """The start times of all workers that were ever listed.

    Attributes:
        source_contact_at: When a source last sent a list or a heartbeat, None if none did.
    """

    def __init__(self, clock: Callable[[], float], wall: WallClock) -> None:
        """Create an empty set; `wall` converts times of `clock`, the process's clock, to Unix time."""
        self._clock = clock
        self._wall = wall
        self._offset = wall.offset()
        self._earlier_offsets: list[EarlierOffset] = []
        self.source_contact_at: float | None = None
        self._announced: dict[int, AnnouncedStart] = {}  # by worker

    def record_source_contact(self) -> None:
        """Record that a source sent a list or a heartbeat: all changes that it had to announce are known."""
        now = self.source_contact_at = self._clock()
        self._detect_step(now)

    def started_at(self, worker: int, since_ms: float) -> float:
        """Return the start of a worker that is listed with this Unix time; 0 if it is unknown."""
        if since_ms <= 0.0:
            self._announced.pop(worker, None)
            return 0.0
        announced = self._announced.get(worker)
        if announced is None or announced.since_ms != since_ms:
            announced = AnnouncedStart(since_ms, self._convert(since_ms))
            self._announced[worker] = announced
        return announced.started_at

    def adopt_start(self, worker: int, since_ms: float, started_at: float) -> None:
        """Adopt a start that the dispatcher's other process has converted."""
        if since_ms > 0.0:
            plausible = max(EARLIEST_START_MS, min(started_at, self._clock()))
            self._announced[worker] = AnnouncedStart(since_ms, plausible)

    def adopt_offset(self, offset: float) -> None:
        """Adopt an offset of the dispatcher's other process, by which starts may have been stamped."""
        self._earlier_offsets.append(EarlierOffset(offset, self._clock() + MAX_ANNOUNCEMENT_DELAY_MS))

    def since_ms(self, worker: int, started_at: float) -> float:
        """Return the Unix time of a worker's start: the announced one, or the converted `started_at`."""
        announced = self._announced.get(worker)
        if announced is not None and announced.started_at == started_at:
            return announced.since_ms
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
        return max(EARLIEST_START_MS, now - min(plausible, default=0.0))

    def _detect_step(self, now: float) -> None:
        """Update the offset; after a step of the wall clock, keep the earlier one until it expires."""
        offset = self._wall.offset()
        self._earlier_offsets = [earlier for earlier in self._earlier_offsets if now < earlier.expires_at]
        if abs(offset - self._offset) > MAX_CLOCK_SKEW_MS:
            self._earlier_offsets.append(EarlierOffset(self._offset, now + MAX_ANNOUNCEMENT_DELAY_MS))
        self._offset = offset
