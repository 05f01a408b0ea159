"""Coarse timers on one wheel."""

from __future__ import annotations

from collections.abc import Callable
from math import ceil, inf

TICK = 4.0  # ms: well inside the time limits of the rules, which are tens of milliseconds
SLOTS = 1024  # about four seconds a round; later timers stay in their slot for further rounds


class Timer:
    """A call at a tick, which may be called off."""

    __slots__ = ("call", "tick")

    def __init__(self, tick: int, call: Callable[[], object]) -> None:
        self.tick = tick
        self.call: Callable[[], object] | None = call

    def cancel(self) -> None:
        """Calls it off; its place on the wheel is freed when its slot comes round."""
        self.call = None


class Wheel:
    """Timers in slots by tick. It is told the time and reads no clock."""

    def __init__(
        self,
        now: float,
        changed: Callable[[], None] = lambda: None,
        failed: Callable[[Exception], None] | None = None,
    ) -> None:
        self._slots: list[list[Timer]] = [[] for _ in range(SLOTS)]
        self._tick = int(now // TICK)  # up to and with this one all has been called
        self._told = inf  # the tick that `next_at` gave last; an earlier timer is a change
        self._changed = changed
        self._failed = failed

    def at(self, when: float, call: Callable[[], object]) -> Timer:
        """Calls at the first tick at or after `when`, never within the call that asks for it."""
        timer = Timer(max(ceil(when / TICK), self._tick + 1), call)
        self._slots[timer.tick % SLOTS].append(timer)
        if timer.tick < self._told:  # looking through the slots for each timer would cost more than all else
            self._changed()
        return timer

    def next_at(self) -> float:
        """When the next timer is due, at the latest one round from now; infinity if there is none.

        From then on `changed` is called for timers that are due earlier.
        """
        self._told = self._next()
        return self._told * TICK

    def _next(self) -> float:
        later = inf
        for tick in range(self._tick + 1, self._tick + 1 + SLOTS):
            for timer in self._slots[tick % SLOTS]:
                if timer.call is not None:
                    if timer.tick == tick:
                        return tick
                    later = self._tick + SLOTS
        return later

    def advance(self, now: float) -> None:
        """Calls all that has come due, in the order of ticks."""
        last = int(now // TICK)
        while self._tick < last:
            # After a long standstill one round looks at every slot.
            self._tick = max(self._tick + 1, last - SLOTS + 1)
            place = self._tick % SLOTS
            due = [timer for timer in self._slots[place] if timer.tick <= last]
            if self._slots[place]:
                self._slots[place] = [t for t in self._slots[place] if t.tick > last and t.call is not None]
            for timer in due:
                call, timer.call = timer.call, None
                if call is None:
                    continue
                try:
                    call()
                except Exception as error:  # one that fails must not take the others of its tick along
                    if self._failed is None:
                        raise
                    self._failed(error)
