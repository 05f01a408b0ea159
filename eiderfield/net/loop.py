"""What turns the timing wheel and gives the exchange its turns on the event loop.

A process may be stopped, or get no processor, for seconds. When it goes on, its timers are due and its
sockets are full, and the poll that the pause cut short reports none of them: judged by the clock alone,
every worker would be silent, and what they have answered meanwhile would be sent again. So after a pause
the loop is given `READ_ROUNDS` rounds to read what has come before any timer is called or any turn is
taken, and whoever judges others by their silence is told of the pause, for during it nobody could have been
heard.

    running ──(a turn or timer is late by `PAUSE`)──> reading ──(READ_ROUNDS rounds)──> running

What must never happen: a timer called, or a turn taken, after a pause and before what came in it is read.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from math import inf

from eiderfield.net.dialer import Dialer
from eiderfield.net.wheel import Wheel

PAUSE = 250.0  # ms by which a turn or a timer is late, from which on what has come is read first
READ_ROUNDS = 8  # of the loop: whole answers of the largest size, and what they set off
TIMER_SLACK = 0.0002  # s: the loop's clock may reach a timer's moment just before the wheel's does


class Driver:
    """Turns the wheel and gives the exchange its turns, at most one for each turn of the loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Callable[[], float]) -> None:
        """`clock` is the process's clock, in ms; `turn` and `on_pause` are set by whoever joins the parts."""
        self._loop = loop
        self.clock = clock
        self.wheel = Wheel(clock(), self._schedule_arming, self._report_timer_failure)
        self.dial = Dialer(loop).dial
        self.turn: Callable[[float], None] = lambda now: None
        self.on_pause: Callable[[float], None] = lambda span: None  # a pause, in ms, once all is read
        self._turn_scheduled = self._arming_scheduled = False
        self._handle: asyncio.TimerHandle | None = None
        self._turn_due = self._timer_due = 0.0  # when the turn and the timer that were asked for should be
        self._pause = 0.0  # above 0 while what came during it is read
        self._after_reading: list[Callable[[], None]] = []

    def wake(self) -> None:
        """Asks for a turn of the exchange after all that this turn of the loop and the next poll bring in.

        A poll tells of a socket once: who sends a request and closes is read first, and heard to have gone
        only after the next poll. A turn between the two would send for nobody."""
        if not self._turn_scheduled:
            self._turn_scheduled = True
            self._turn_due = self.clock()
            self._loop.call_soon(self._loop.call_soon, self._take_turn)

    def _take_turn(self) -> None:
        if self._reads_first(self._turn_due, self._take_turn):
            return
        self._turn_scheduled = False
        self.turn(self.clock())

    # Pauses.

    def _reads_first(self, due: float, again: Callable[[], None]) -> bool:
        """Whether there was a pause: then what has come is read first, and `again` is called after that."""
        if not self._pause:
            late = self.clock() - due
            if late < PAUSE:
                return False
            self._pause = late
            self._loop.call_soon(self._read_on, READ_ROUNDS)
        self._after_reading.append(again)
        return True

    def _read_on(self, rounds: int) -> None:
        if rounds:
            self._loop.call_soon(self._read_on, rounds - 1)
            return
        pause, self._pause = self._pause, 0.0
        calls, self._after_reading = self._after_reading, []
        self._turn_due = self._timer_due = self.clock()
        self.on_pause(pause)
        for call in calls:
            call()

    # Timers.

    def _schedule_arming(self) -> None:
        if not self._arming_scheduled:
            self._arming_scheduled = True
            self._loop.call_soon(self._arm)

    def _arm(self) -> None:
        """Sets the loop's one timer to when the wheel wants to be turned next."""
        self._arming_scheduled = False
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None
        at = self.wheel.next_at()
        if at < inf:
            wait = max(0.0, at - self.clock()) / 1000.0
            self._timer_due = max(at, self.clock())
            self._handle = self._loop.call_later(wait + TIMER_SLACK, self._turn_wheel)

    def _turn_wheel(self) -> None:
        if self._reads_first(self._timer_due, self._turn_wheel):
            return
        self._handle = None
        self.wheel.advance(self.clock())
        self._arm()

    def _report_timer_failure(self, error: Exception) -> None:
        self._loop.call_exception_handler({"message": "a timer failed", "exception": error})
