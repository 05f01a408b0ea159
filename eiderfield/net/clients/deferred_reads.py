"""Continues messages whose bytes take more work than one turn of the loop allows.

A connection that has used up its share of a turn is not read until its turn comes again. The connections
take turns in the order in which they were deferred, a bounded number of parsed elements in all at each tick,
so that the time left for the other clients does not depend on how many connections have work.

    not deferred ──(add)──> deferred ──(its turn)──> not deferred, or deferred again
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from eiderfield.exchange.timers import Timers

MAX_ELEMENTS_PER_TICK = 1024  # parsed heads, chunks and lines of all deferred connections
MAX_REPEATED_TURNS = 32  # in a tick, where few connections are deferred


class DeferredReads:
    """The connections of a listener whose messages are to be continued."""

    def __init__(self, timers: Timers, clock: Callable[[], float]) -> None:
        """Continue messages by `timers`, on the clock `clock` in ms."""
        self._timers = timers
        self._clock = clock
        self._scheduled = False
        self._waiting: deque[Callable[[], int]] = deque()

    def __len__(self) -> int:
        """Return the number of connections that wait for their turn."""
        return len(self._waiting)

    def add(self, continue_message: Callable[[], int]) -> None:
        """Call `continue_message` in its turn; it returns how many elements it has parsed."""
        self._waiting.append(continue_message)
        self._schedule()

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            self._timers.call_at(self._clock(), self._continue)

    def _continue(self) -> None:
        self._scheduled = False
        turns, elements = len(self._waiting) + MAX_REPEATED_TURNS, 0
        if len(self._waiting) > 1:
            self._schedule()  # also if a connection fails
        while turns and self._waiting and elements < MAX_ELEMENTS_PER_TICK:
            turns -= 1
            elements += self._waiting.popleft()()
