"""Coarse timers on a hierarchical timing wheel.

Time is counted in ticks. Level 0 has a slot for each of the next 256 ticks, level 1 has a slot for each of
the next 256 spans of 256 ticks, and level 2 for each of the next 256 spans of 65,536 ticks. A timer is
stored in the lowest level whose range includes its tick. When a span of level 1 or 2 begins, the timers of
its slot cascade to a lower level. A timer is therefore moved twice at most, and a timer for an hour costs
as much as one for 100 ms. Each level has a bitmap of the slots that may hold timers, so empty slots are
skipped both when time passes and when the next timer is looked up.

    call_at ──> slot ──(its span begins)──> cascading ──> slot ──(its tick)──> due or deferrable ──> called
            `cancel` removes a timer from its slot; a cancelled timer that has left its slot is skipped

Invariants: a timer is never called before its time, after `cancel`, or within the `call_at` that schedules
it. A cancelled timer is freed at once, not at its time: a connection schedules a timer of 300 s with every
message. Each turn calls a limited number of timers; the others remain due, and `next_wakeup` then returns
the time of the current tick. Deferrable timers, those of idle connections, are called only when no other
timer is due.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from math import ceil, inf

TICK_MS = 4.0  # small against the shortest time limits of the protocol, which are tens of milliseconds
SLOT_BITS = 8
# The levels cover 1 s, 262 s and 18 h. Timers beyond that are stored in the last slot and cascade repeatedly.
SLOTS_PER_LEVEL = 1 << SLOT_BITS
LEVELS = 3
MAX_TIMERS_PER_TURN = 1024  # timers called or moved in one turn
MAX_DEFERRABLE_TIMERS_PER_TURN = 64  # called in one turn, only when no other timer is due

_SLOT_MASK = SLOTS_PER_LEVEL - 1
_ALL_SLOTS = (1 << SLOTS_PER_LEVEL) - 1
_MAX_TICKS_AHEAD = (SLOTS_PER_LEVEL - 1) << (
    SLOT_BITS * (LEVELS - 1)
)  # the farthest tick with a slot of its own

Slot = dict["Timer", None]  # an ordered set: timers are called in order of insertion


class Timer:
    """A callback scheduled for a tick; it can be cancelled."""

    __slots__ = ("callback", "deferrable", "slot", "tick")

    def __init__(self, tick: int, callback: Callable[[], object], deferrable: bool) -> None:
        """Create a timer that is not in a slot yet; `Wheel.call_at` inserts it."""
        self.tick = tick
        self.callback: Callable[[], object] | None = callback
        self.deferrable = deferrable
        self.slot: Slot | None = None

    def cancel(self) -> None:
        """Cancel the callback and remove the timer from the wheel, in constant time."""
        self.callback = None
        if self.slot is not None:
            self.slot.pop(self, None)
            self.slot = None


class Wheel:
    """A timing wheel. It reads no clock: the current time is passed to its methods, in ms."""

    def __init__(
        self,
        now: float,
        on_earlier_timer: Callable[[], None] = lambda: None,
        on_error: Callable[[Exception], None] | None = None,
    ) -> None:
        """Create an empty wheel at the time `now`.

        Args:
            now: The current time, in ms.
            on_earlier_timer: Called when a timer is scheduled before the last result of `next_wakeup`.
            on_error: Called with the exception of each callback that raises. If it is None, the exception
                propagates from `advance`.
        """
        self._levels: list[list[Slot | None]] = [[None] * SLOTS_PER_LEVEL for _ in range(LEVELS)]
        self._occupied = [0] * LEVELS  # bitmap of slots that may hold timers
        self._cascading: deque[Timer] = (
            deque()
        )  # timers of spans that have begun, to be moved to a lower level
        self._due: deque[Timer] = deque()
        self._deferrable: deque[Timer] = deque()  # timers that are due and deferrable
        self._tick = int(now // TICK_MS)  # timers up to this tick have been called, are due, or are cascading
        self._announced_tick = inf  # the tick that `next_wakeup` returned last
        self._on_earlier_timer = on_earlier_timer
        self._on_error = on_error

    def call_at(self, when: float, callback: Callable[[], object], deferrable: bool = False) -> Timer:
        """Schedule `callback` for the first tick at or after `when`; it is never called within this method.

        Deferrable timers are called after all others. If thousands of them are due in one tick, they are
        called over several turns.
        """
        timer = Timer(max(ceil(when / TICK_MS), self._tick + 1), callback, deferrable)
        self._insert(timer)
        # Calling `next_wakeup` for each new timer would cost more than the rest of this method.
        if timer.tick < self._announced_tick:
            self._on_earlier_timer()
        return timer

    def next_wakeup(self) -> float:
        """Return when `advance` must be called next; infinity if there is no timer.

        This is the tick of the next timer, or the start of the span in which it lies. From now on
        `on_earlier_timer` is called for each timer that is scheduled before that time.
        """
        self._announced_tick = self._tick if self._has_backlog else self._next_tick()
        return self._announced_tick * TICK_MS

    def advance(self, now: float) -> None:
        """Call the timers that are due in order of their ticks, up to the limits of a turn."""
        last = int(now // TICK_MS)
        remaining = MAX_TIMERS_PER_TURN
        while True:
            remaining = self._cascade(remaining)
            remaining = self._run(self._due, remaining)
            # The wheel stays at a tick that has more timers than one turn calls, deferrable timers aside.
            if remaining <= 0 or self._tick >= last:
                break
            self._tick = int(min(self._next_tick(), last))
            self._enter_tick()
        if remaining > 0:
            self._run(self._deferrable, MAX_DEFERRABLE_TIMERS_PER_TURN)

    @property
    def _has_backlog(self) -> bool:
        return bool(self._cascading or self._due or self._deferrable)

    def _insert(self, timer: Timer) -> None:
        """Insert a timer into the lowest level whose range includes its tick."""
        tick, now = timer.tick, self._tick
        if tick <= now:
            (self._deferrable if timer.deferrable else self._due).append(timer)
            return
        tick = min(tick, now + _MAX_TICKS_AHEAD)
        level = self._level_of(tick)
        number = (tick >> (SLOT_BITS * level)) & _SLOT_MASK
        slot = self._levels[level][number]
        if slot is None:
            slot = self._levels[level][number] = {}
        slot[timer] = None
        timer.slot = slot
        self._occupied[level] |= 1 << number

    def _level_of(self, tick: int) -> int:
        """Return the lowest level whose range includes a tick at most `_MAX_TICKS_AHEAD` ahead."""
        for level in range(LEVELS - 1):
            shift = SLOT_BITS * level
            if (tick >> shift) - (self._tick >> shift) < SLOTS_PER_LEVEL:
                return level
        return LEVELS - 1

    def _next_tick(self) -> float:
        """Return the first tick of the next slot that holds a timer; infinity if there is none."""
        return min([self._next_tick_of(level) for level in range(LEVELS)])

    def _next_tick_of(self, level: int) -> float:
        """Return the first tick of the next slot of a level that holds a timer; infinity if there is none."""
        shift = SLOT_BITS * level
        current = self._tick >> shift
        while self._occupied[level]:
            start = (current + 1) & _SLOT_MASK
            bits = self._occupied[level]
            rotated = ((bits >> start) | (bits << (SLOTS_PER_LEVEL - start))) & _ALL_SLOTS
            ahead = (rotated & -rotated).bit_length()  # the number of slots from the current one, at least 1
            number = (current + ahead) & _SLOT_MASK
            if self._levels[level][number]:
                return (current + ahead) << shift
            self._levels[level][number] = None  # all its timers were cancelled
            self._occupied[level] &= ~(1 << number)
        return inf

    def _enter_tick(self) -> None:
        """Move the timers of the current tick, and of the spans that begin at it, to `_cascading`."""
        for level in range(LEVELS):
            shift = SLOT_BITS * level
            if level and self._tick & ((1 << shift) - 1):
                break
            number = (self._tick >> shift) & _SLOT_MASK
            slot, self._levels[level][number] = self._levels[level][number], None
            self._occupied[level] &= ~(1 << number)
            for timer in slot or ():
                timer.slot = None
                self._cascading.append(timer)

    def _cascade(self, remaining: int) -> int:
        """Move at most `remaining` timers to a lower level; return what remains of the limit of this turn."""
        while self._cascading and remaining > 0:
            timer = self._cascading.popleft()
            remaining -= 1
            if timer.callback is not None:
                self._insert(timer)
        return remaining

    def _run(self, timers: deque[Timer], remaining: int) -> int:
        """Call at most `remaining` timers; return what remains of the limit of this turn."""
        while timers and remaining > 0:
            timer = timers.popleft()
            callback, timer.callback = timer.callback, None
            remaining -= 1
            if callback is None:
                continue
            try:
                callback()
            except Exception as error:  # one failing callback must not prevent the others of its tick
                if self._on_error is None:
                    raise
                self._on_error(error)
        return remaining
