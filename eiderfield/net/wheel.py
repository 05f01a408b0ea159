"""Coarse timers on a hierarchical timing wheel.

Time is counted in ticks. Level 0 has a slot for each of the next 256 ticks, level 1 one for each of the
next 256 spans of 256 ticks, level 2 one for each of the spans of 65,536 ticks after that. A timer is kept
in the lowest level that reaches its tick. When the wheel enters a span, the timers of that span's slot
cascade to the level below, so that a timer is moved twice at most, and one for an hour costs as much as one
for 100 ms. A bitmap for each level records which slots may hold timers: empty ones are never visited,
neither while time passes nor when the next timer is determined.

    at ──> slot ──(its span begins)──> cascading ──> slot ──(its tick)──> due or patient ──> called
            `cancel` removes it from its slot; a cancelled timer on its way from there is skipped

Invariants: no call before its time, after `cancel`, or within the `at` that schedules it. A cancelled timer
occupies no memory until its time (a connection schedules one of 300 s with every message). A turn calls a
bounded number of timers; those left over stay due, and `next_at` returns their time first. Patient timers,
those of idle connections, wait until no other timer is due.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from math import ceil, inf

TICK_MS = 4.0  # well within the time limits of the rules, which are tens of milliseconds
SLOT_BITS = 8
# Slots of a level, which spans 1 s, 262 s or 18 hours; later timers cascade from the last slot repeatedly.
SLOTS = 1 << SLOT_BITS
LEVELS = 3
MAX_PER_TURN = 1024  # timers called, or moved, in one turn
MAX_PATIENT_PER_TURN = 64  # patient timers called in one turn, once no other one is due

_MASK = SLOTS - 1
_ALL = (1 << SLOTS) - 1
_REACH = (SLOTS - 1) << (SLOT_BITS * (LEVELS - 1))  # the number of ticks ahead that the wheel distinguishes

Slot = dict["Timer", None]  # timers in order of insertion, which a set does not keep


class Timer:
    """A call at a tick, which can be cancelled."""

    __slots__ = ("call", "patient", "slot", "tick")

    def __init__(self, tick: int, call: Callable[[], object], patient: bool) -> None:
        """Create a timer that is in no slot; the wheel inserts it."""
        self.tick = tick
        self.call: Callable[[], object] | None = call
        self.patient = patient
        self.slot: Slot | None = None

    def cancel(self) -> None:
        """Cancel the call, in constant time, and remove the timer from the wheel."""
        self.call = None
        if self.slot is not None:
            self.slot.pop(self, None)
            self.slot = None


class Wheel:
    """Timers in slots by tick. Reads no clock: the time is an argument, in ms."""

    def __init__(
        self,
        now: float,
        changed: Callable[[], None] = lambda: None,
        failed: Callable[[Exception], None] | None = None,
    ) -> None:
        """Create an empty wheel at the time `now`.

        `changed` is called when a timer is due before the time that `next_at` returned last. `failed` is
        called with the error of each timer that raises; without it the error propagates.
        """
        self._levels: list[list[Slot | None]] = [[None] * SLOTS for _ in range(LEVELS)]
        self._occupied = [0] * LEVELS  # bitmap of slots that may hold timers
        self._cascading: deque[Timer] = deque()  # timers of a span that has begun, to be moved down
        self._due: deque[Timer] = deque()
        self._patient: deque[Timer] = deque()  # due as well, called after all others
        self._tick = int(now // TICK_MS)  # timers up to this tick are called, due or cascading
        self._announced = inf  # the tick that `next_at` returned last
        self._changed = changed
        self._failed = failed

    def at(self, when: float, call: Callable[[], object], patient: bool = False) -> Timer:
        """Schedule `call` at the first tick at or after `when`, never within this method.

        Patient timers are called after all others; thousands of them in one tick take several turns.
        """
        timer = Timer(max(ceil(when / TICK_MS), self._tick + 1), call, patient)
        self._insert(timer)
        # Determining the next tick with each new timer would cost more than all the rest.
        if timer.tick < self._announced:
            self._changed()
        return timer

    def next_at(self) -> float:
        """Return when `advance` has to be called next; infinity if there is no timer.

        This is the tick of the next timer, or the beginning of its span. From now on `changed` is called for
        timers that are due earlier.
        """
        self._announced = self._tick if self._has_backlog else self._next_tick()
        return self._announced * TICK_MS

    def advance(self, now: float) -> None:
        """Call the timers that are due, in the order of ticks and within the bounds of a turn."""
        last = int(now // TICK_MS)
        left = MAX_PER_TURN
        while True:
            left = self._cascade(left)
            left = self._run(self._due, left)
            # A tick with too many timers stops the wheel for this turn; patient timers do not.
            if left <= 0 or self._tick >= last:
                break
            self._tick = int(min(self._next_tick(), last))
            self._enter_tick()
        if left > 0:
            self._run(self._patient, MAX_PATIENT_PER_TURN)

    @property
    def _has_backlog(self) -> bool:
        return bool(self._cascading or self._due or self._patient)

    def _insert(self, timer: Timer) -> None:
        """Insert a timer into the lowest level that reaches its tick."""
        tick, now = timer.tick, self._tick
        if tick <= now:
            (self._patient if timer.patient else self._due).append(timer)
            return
        tick = min(tick, now + _REACH)
        level = self._level_of(tick)
        number = (tick >> (SLOT_BITS * level)) & _MASK
        slot = self._levels[level][number]
        if slot is None:
            slot = self._levels[level][number] = {}
        slot[timer] = None
        timer.slot = slot
        self._occupied[level] |= 1 << number

    def _level_of(self, tick: int) -> int:
        """Return the lowest level that reaches a tick, which is within `_REACH`."""
        for level in range(LEVELS - 1):
            shift = SLOT_BITS * level
            if (tick >> shift) - (self._tick >> shift) < SLOTS:
                return level
        return LEVELS - 1

    def _next_tick(self) -> float:
        """Return the tick of the next slot with a timer, infinity if there is none."""
        return min([self._next_tick_of(level) for level in range(LEVELS)])

    def _next_tick_of(self, level: int) -> float:
        """Return the first tick of a level's next slot with a timer, infinity if there is none."""
        shift = SLOT_BITS * level
        current = self._tick >> shift
        while self._occupied[level]:
            start = (current + 1) & _MASK
            bits = self._occupied[level]
            rotated = ((bits >> start) | (bits << (SLOTS - start))) & _ALL
            ahead = (rotated & -rotated).bit_length()  # 1 for the very next slot
            number = (current + ahead) & _MASK
            if self._levels[level][number]:
                return (current + ahead) << shift
            self._levels[level][number] = None  # all its timers were cancelled
            self._occupied[level] &= ~(1 << number)
        return inf

    def _enter_tick(self) -> None:
        """Collect the timers of the current tick, and of the spans that begin with it."""
        for level in range(LEVELS):
            shift = SLOT_BITS * level
            if level and self._tick & ((1 << shift) - 1):
                break
            number = (self._tick >> shift) & _MASK
            slot, self._levels[level][number] = self._levels[level][number], None
            self._occupied[level] &= ~(1 << number)
            for timer in slot or ():
                timer.slot = None
                self._cascading.append(timer)

    def _cascade(self, left: int) -> int:
        """Move at most `left` timers down; return how many more may be handled in this turn."""
        while self._cascading and left > 0:
            timer = self._cascading.popleft()
            left -= 1
            if timer.call is not None:
                self._insert(timer)
        return left

    def _run(self, timers: deque[Timer], left: int) -> int:
        """Call at most `left` timers; return how many more may be handled in this turn."""
        while timers and left > 0:
            timer = timers.popleft()
            call, timer.call = timer.call, None
            left -= 1
            if call is None:
                continue
            try:
                call()
            except Exception as error:  # a failing timer must not prevent the others of its tick
                if self._failed is None:
                    raise
                self._failed(error)
        return left
