"""Coarse timers on a hierarchical timing wheel.

Time is counted in ticks. Level 0 has a slot for each of the next 256 ticks, level 1 one for each of the
next 256 spans of 256 ticks, level 2 one for each of the spans of 65,536 ticks after that. A timer lies in
the lowest level that reaches its tick. When the wheel enters a span, the timers of that span's slot cascade
to the level below, so that each one is moved twice at the most in its life, and a timer for an hour costs
what one for 100 ms costs. A bitmap for each level tells which slots may hold something: empty ones are
never looked at, neither while time passes nor when the next timer is sought.

    at ──> slot ──(its span begins)──> cascading ──> slot ──(its tick)──> due or patient ──> called
            cancel takes it out of its slot; on its way from there it is passed over

What must never happen: a call before its time; a call after `cancel`; a call within the `at` that asked for
it; a cancelled timer that stays in memory until its time (a connection sets one of 300 s with every message);
one turn that calls thousands. What is due beyond the bound of a turn stays due and is the first thing that
`next_at` tells. Patient timers, those of connections that merely idle, wait until no other one is due.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from math import ceil, inf

TICK = 4.0  # ms: well inside the time limits of the rules, which are tens of milliseconds
BITS = 8
SLOTS = 1 << BITS  # of each level: 1 s, 262 s and 18 hours; later timers cascade from the last slot again
LEVELS = 3
MAX_PER_TURN = 1024  # timers called, or moved, in one turn
MAX_PATIENT_PER_TURN = 64  # patient ones called in one turn, once no other one is due

_MASK = SLOTS - 1
_ALL = (1 << SLOTS) - 1
_REACH = (SLOTS - 1) << (BITS * (LEVELS - 1))  # ticks ahead that the wheel can tell apart

Slot = dict["Timer", None]  # timers in the order in which they came; a set has no order to rely on


class Timer:
    """A call at a tick, which may be called off."""

    __slots__ = ("call", "patient", "slot", "tick")

    def __init__(self, tick: int, call: Callable[[], object], patient: bool) -> None:
        """The wheel makes it and puts it into a slot."""
        self.tick = tick
        self.call: Callable[[], object] | None = call
        self.patient = patient
        self.slot: Slot | None = None

    def cancel(self) -> None:
        """Calls it off, in constant time; nothing of it stays behind."""
        self.call = None
        if self.slot is not None:
            self.slot.pop(self, None)
            self.slot = None


class Wheel:
    """Timers in slots by tick. It is told the time and reads no clock."""

    def __init__(
        self,
        now: float,
        changed: Callable[[], None] = lambda: None,
        failed: Callable[[Exception], None] | None = None,
    ) -> None:
        """`changed` is called when a timer is due before the time that `next_at` gave, `failed` for each
        timer that raises; without it the error goes on."""
        self._levels: list[list[Slot | None]] = [[None] * SLOTS for _ in range(LEVELS)]
        self._occupied = [0] * LEVELS  # slots that may hold something
        self._cascading: deque[Timer] = deque()  # timers of a span that has begun, on their way down
        self._due: deque[Timer] = deque()
        self._patient: deque[Timer] = deque()  # due as well, and in no hurry
        self._tick = int(now // TICK)  # up to and with this one all is called, due or on its way down
        self._announced = inf  # the tick that `next_at` gave last; an earlier timer is a change
        self._changed = changed
        self._failed = failed

    def at(self, when: float, call: Callable[[], object], patient: bool = False) -> Timer:
        """Calls at the first tick at or after `when` (ms), never within the call that asks for it.

        Thousands of `patient` ones in one tick are called over several turns, after all others.
        """
        timer = Timer(max(ceil(when / TICK), self._tick + 1), call, patient)
        self._insert(timer)
        # To ask for the next timer at each new one would cost more than all else.
        if timer.tick < self._announced:
            self._changed()
        return timer

    def next_at(self) -> float:
        """When the wheel wants to be turned next, in ms; infinity if it holds nothing.

        That is the tick of the next timer, or the beginning of its span. From then on `changed` is called for
        timers that are due earlier.
        """
        self._announced = self._tick if self._has_backlog else self._next_tick()
        return self._announced * TICK

    def advance(self, now: float) -> None:
        """Calls what has come due, in the order of ticks and within the bounds of a turn."""
        last = int(now // TICK)
        left = MAX_PER_TURN
        while True:
            left = self._cascade(left)
            left = self._run(self._due, left)
            # An overfull tick holds the wheel, but not what is merely patient: that waits for a quiet turn.
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
        """Puts a timer into the lowest level that reaches its tick."""
        tick, now = timer.tick, self._tick
        if tick <= now:
            (self._patient if timer.patient else self._due).append(timer)
            return
        tick = min(tick, now + _REACH)
        level = self._level_of(tick)
        number = (tick >> (BITS * level)) & _MASK
        slot = self._levels[level][number]
        if slot is None:
            slot = self._levels[level][number] = {}
        slot[timer] = None
        timer.slot = slot
        self._occupied[level] |= 1 << number

    def _level_of(self, tick: int) -> int:
        """The lowest level that reaches a tick, which lies within `_REACH`."""
        for level in range(LEVELS - 1):
            shift = BITS * level
            if (tick >> shift) - (self._tick >> shift) < SLOTS:
                return level
        return LEVELS - 1

    def _next_tick(self) -> float:
        """The tick of the next slot that holds something, infinity if there is none."""
        return min([self._next_tick_of(level) for level in range(LEVELS)])

    def _next_tick_of(self, level: int) -> float:
        """The first tick of a level's next slot that holds something, infinity if there is none."""
        shift = BITS * level
        here = self._tick >> shift
        while self._occupied[level]:
            start = (here + 1) & _MASK
            bits = self._occupied[level]
            rotated = ((bits >> start) | (bits << (SLOTS - start))) & _ALL
            ahead = (rotated & -rotated).bit_length()  # 1 for the very next slot
            number = (here + ahead) & _MASK
            if self._levels[level][number]:
                return (here + ahead) << shift
            self._levels[level][number] = None  # all that lay there was called off
            self._occupied[level] &= ~(1 << number)
        return inf

    def _enter_tick(self) -> None:
        """The wheel has come to a tick: its slot is due, and those of spans that begin with it cascade."""
        for level in range(LEVELS):
            shift = BITS * level
            if level and self._tick & ((1 << shift) - 1):
                break
            number = (self._tick >> shift) & _MASK
            slot, self._levels[level][number] = self._levels[level][number], None
            self._occupied[level] &= ~(1 << number)
            for timer in slot or ():
                timer.slot = None
                self._cascading.append(timer)

    def _cascade(self, left: int) -> int:
        """Moves timers down, at most `left` of them; gives how many more may be handled in this turn."""
        while self._cascading and left > 0:
            timer = self._cascading.popleft()
            left -= 1
            if timer.call is not None:
                self._insert(timer)
        return left

    def _run(self, timers: deque[Timer], left: int) -> int:
        """Calls timers, at most `left` of them; gives how many more may be handled in this turn."""
        while timers and left > 0:
            timer = timers.popleft()
            call, timer.call = timer.call, None
            left -= 1
            if call is None:
                continue
            try:
                call()
            except Exception as error:  # one that fails must not take the others of its tick along
                if self._failed is None:
                    raise
                self._failed(error)
        return left
