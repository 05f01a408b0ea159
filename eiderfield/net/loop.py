"""Runs the timing wheel and the turns of the exchange on the event loop.

A process may be stopped, or get no processor time, for several seconds. When it resumes, its timers are due
and its sockets hold unread data, but the poll that the pause interrupted reports no sockets. Judged by the
clock alone, every worker would have been silent, and requests that workers have answered meanwhile would be
sent again. After a pause the loop therefore reads for `READ_ITERATIONS` iterations before it calls timers
or takes turns, and then reports the pause by `on_pause` to the parts that eject silent workers.

    running ──(a turn or timer is late by PAUSE_MS)──> reading ──(READ_ITERATIONS iterations)──> running

Invariant: after a pause no timer is called and no turn is taken before the data received meanwhile is read.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from math import inf

from eiderfield.net.dialer import Dialer
from eiderfield.net.wheel import Wheel

PAUSE_MS = 250.0  # a turn or timer that is late by at least this means that the process was paused
READ_ITERATIONS = 8  # enough to read responses of the largest size and to handle them
TIMER_SLACK_S = 0.0002  # the loop's clock may reach a timer's time just before the wheel's clock does


class Driver:
    """Advances the wheel and takes turns of the exchange, at most one turn per iteration of the loop.

    Attributes:
        turn: Takes a turn of the exchange; called with the current time, in ms. Set by the program.
        on_pause: Called with the length of a pause, in ms, once received data is read. Set by the program.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Callable[[], float]) -> None:
        """Create a driver with nothing scheduled; `clock` returns the process's time, in ms."""
        self._loop = loop
        self.clock = clock
        self.wheel = Wheel(clock(), self._schedule_timer_update, self._report_timer_failure)
        self.dial = Dialer(loop).dial
        self.turn: Callable[[float], None] = lambda _now: None
        self.on_pause: Callable[[float], None] = lambda _span: None
        self._turn_scheduled = self._timer_update_scheduled = False
        self._timer_handle: asyncio.TimerHandle | None = None
        self._turn_due = self._timer_due = 0.0  # when the scheduled turn and timer are due
        self._pause_ms = 0.0  # length of the pause after which data is being read, otherwise 0
        self._deferred_calls: list[Callable[[], None]] = []

    def wake(self) -> None:
        """Schedule a turn of the exchange after the current iteration of the loop and the next poll.

        A poll reports each socket once. If a client sends a request and closes the connection, the close is
        reported only by the poll after the one that reports the request. A turn between the two would send
        the request to a worker although no client waits for it.
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

    def _read_first_after_pause(self, due: float, call: Callable[[], None]) -> bool:
        """Return whether the process was paused; if so, `call` is called once received data is read."""
        if not self._pause_ms:
            delay = self.clock() - due
            if delay < PAUSE_MS:
                return False
            self._pause_ms = delay
            self._loop.call_soon(self._continue_reading, READ_ITERATIONS)
        self._deferred_calls.append(call)
        return True

    def _continue_reading(self, iterations: int) -> None:
        if iterations:
            self._loop.call_soon(self._continue_reading, iterations - 1)
            return
        pause_ms, self._pause_ms = self._pause_ms, 0.0
        calls, self._deferred_calls = self._deferred_calls, []
        self._turn_due = self._timer_due = self.clock()
        self.on_pause(pause_ms)
        for call in calls:
            call()

    # Timers.

    def _schedule_timer_update(self) -> None:
        if not self._timer_update_scheduled:
            self._timer_update_scheduled = True
            self._loop.call_soon(self._update_timer)

    def _update_timer(self) -> None:
        """Set the only timer on the event loop to the time at which the wheel must be advanced."""
        self._timer_update_scheduled = False
        if self._timer_handle is not None:
            self._timer_handle.cancel()
            self._timer_handle = None
        at = self.wheel.next_wakeup()
        if at < inf:
            wait = max(0.0, at - self.clock()) / 1000.0
            self._timer_due = max(at, self.clock())
            self._timer_handle = self._loop.call_later(wait + TIMER_SLACK_S, self._advance_wheel)

    def _advance_wheel(self) -> None:
        if self._read_first_after_pause(self._timer_due, self._advance_wheel):
            return
        self._timer_handle = None
        self.wheel.advance(self.clock())
        self._update_timer()

    def _report_timer_failure(self, error: Exception) -> None:
        self._loop.call_exception_handler({"message": "a timer failed", "exception": error})
