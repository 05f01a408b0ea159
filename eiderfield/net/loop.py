"""Runs the timing wheel and the turns of the exchange on the event loop.

A process may be stopped, or get no processor time, for seconds. When it resumes, its timers are due and its
sockets hold unread data, but the poll that the pause interrupted reports none of them: by the clock alone
every worker would have been silent, and requests that they have answered would be sent again. Therefore,
after a pause, the loop reads for `READ_ROUNDS` iterations before any timer is called or any turn is taken,
and `on_pause` reports the pause to those that judge workers by their silence.

    running ──(a turn or timer is late by PAUSE_MS)──> reading ──(READ_ROUNDS iterations)──> running

Invariant: after a pause no timer is called and no turn is taken before the data that arrived in it is read.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from math import inf

from eiderfield.net.dialer import Dialer
from eiderfield.net.wheel import Wheel

PAUSE_MS = 250.0  # delay of a turn or a timer that counts as a pause of the process
READ_ROUNDS = 8  # iterations of the loop: enough for responses of the largest size and what follows from them
TIMER_SLACK_S = 0.0002  # the loop's clock may reach a timer's time just before the wheel's clock does


class Driver:
    """Advances the wheel and takes turns of the exchange, at most one in each iteration of the loop.

    Attributes:
        turn: takes a turn of the exchange at a time, in ms; set by the program.
        on_pause: receives the length of a pause, in ms, after all data is read; set by the program.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Callable[[], float]) -> None:
        """Create a driver that is idle; `clock` returns the process's time, in ms."""
        self._loop = loop
        self.clock = clock
        self.wheel = Wheel(clock(), self._schedule_timer_update, self._report_timer_failure)
        self.dial = Dialer(loop).dial
        self.turn: Callable[[float], None] = lambda _now: None
        self.on_pause: Callable[[float], None] = lambda _span: None
        self._turn_scheduled = self._timer_update_scheduled = False
        self._handle: asyncio.TimerHandle | None = None
        self._turn_due = self._timer_due = 0.0  # when the scheduled turn and timer should run
        self._pause = 0.0  # above 0 while data that arrived in it is read
        self._after_reading: list[Callable[[], None]] = []

    def wake(self) -> None:
        """Schedule a turn of the exchange after this iteration of the loop and the next poll.

        A poll reports a socket once: the request of a client that sends and closes is read first, and the
        close is reported by the next poll only. A turn between the two would send the request for nobody.
        """
        if not self._turn_scheduled:
            self._turn_scheduled = True
            self._turn_due = self.clock()
            self._loop.call_soon(self._loop.call_soon, self._take_turn)

    def _take_turn(self) -> None:
        if self._read_first_after_pause(self._turn_due, self._take_turn):
            return
        self._turn_scheduled = False
        self.turn(self.clock())

    # Pauses.

    def _read_first_after_pause(self, due: float, again: Callable[[], None]) -> bool:
        """Return whether there was a pause, after which received data is read before `again` is called."""
        if not self._pause:
            late = self.clock() - due
            if late < PAUSE_MS:
                return False
            self._pause = late
            self._loop.call_soon(self._continue_reading, READ_ROUNDS)
        self._after_reading.append(again)
        return True

    def _continue_reading(self, rounds: int) -> None:
        if rounds:
            self._loop.call_soon(self._continue_reading, rounds - 1)
            return
        pause, self._pause = self._pause, 0.0
        calls, self._after_reading = self._after_reading, []
        self._turn_due = self._timer_due = self.clock()
        self.on_pause(pause)
        for call in calls:
            call()

    # Timers.

    def _schedule_timer_update(self) -> None:
        if not self._timer_update_scheduled:
            self._timer_update_scheduled = True
            self._loop.call_soon(self._update_timer)

    def _update_timer(self) -> None:
        """Set the loop's only timer to the time at which the wheel has to be advanced."""
        self._timer_update_scheduled = False
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None
        at = self.wheel.next_wakeup()
        if at < inf:
            wait = max(0.0, at - self.clock()) / 1000.0
            self._timer_due = max(at, self.clock())
            self._handle = self._loop.call_later(wait + TIMER_SLACK_S, self._advance_wheel)

    def _advance_wheel(self) -> None:
        if self._read_first_after_pause(self._timer_due, self._advance_wheel):
            return
        self._handle = None
        self.wheel.advance(self.clock())
        self._update_timer()

    def _report_timer_failure(self, error: Exception) -> None:
        self._loop.call_exception_handler({"message": "a timer failed", "exception": error})
