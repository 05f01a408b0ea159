"""The loop: what turns the wheel, gives the exchange its turns and dials.

A process may be stopped, or get no processor, for seconds. When it goes on, its timers are due and its
sockets are full, and the poll that the stop cut short reports none of them: judged by the clock alone, every
worker would be silent, and what they have answered meanwhile would be sent again. So after a gap the loop is
given `READS` rounds to read what has come before any timer is let go or any turn is taken, and whoever judges
others by their silence is told of the gap, for during it nobody could have been heard.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from math import inf

from eiderfield.net.faults import RETRY_MS, Cause, cause_of_dial
from eiderfield.net.wheel import Wheel

GAP = 250.0  # ms by which a turn or a timer is late, from which on what has come is read first
READS = 8  # rounds of the loop for that: whole answers of the largest size, and what they set off


class Driver:
    """Turns the wheel and gives the exchange its turns, at most one for each turn of the loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Callable[[], float]) -> None:
        self._loop = loop
        self.clock = clock
        self.wheel = Wheel(clock(), self._arm_soon, self._failed)
        self.turn: Callable[[float], None] = lambda now: None
        self._turn_asked = self._arm_asked = False
        self.absent: Callable[[float], None] = lambda span: None  # told of a gap, in ms, once all is read
        self._handle: asyncio.TimerHandle | None = None
        self._turn_due = self._fire_due = 0.0  # when the turn and the timer that were asked for should be
        self._gap = 0.0  # above 0 while what came during it is read
        self._after: list[Callable[[], None]] = []  # what waits for the end of that
        self._dialling: set[asyncio.Task[None]] = set()

    def wake(self) -> None:
        """Asks for a turn of the exchange after all that this turn of the loop and the next poll bring in.

        A poll tells of a socket once: who sends a request and closes is read first, and heard to have gone
        only after the next poll. A turn between the two would send for nobody."""
        if not self._turn_asked:
            self._turn_asked = True
            self._turn_due = self.clock()
            self._loop.call_soon(self._loop.call_soon, self._turn)

    def _reads_first(self, due: float, again: Callable[[], None]) -> bool:
        """Whether there was a gap: then what has come is read first, and `again` is called after that."""
        if not self._gap:
            late = self.clock() - due
            if late < GAP:
                return False
            self._gap = late
            self._loop.call_soon(self._read, READS)
        self._after.append(again)
        return True

    def _read(self, rounds: int) -> None:
        if rounds:
            self._loop.call_soon(self._read, rounds - 1)
            return
        gap, self._gap = self._gap, 0.0
        after, self._after = self._after, []
        self._turn_due = self._fire_due = self.clock()
        self.absent(gap)
        for call in after:
            call()

    def _turn(self) -> None:
        if self._reads_first(self._turn_due, self._turn):
            return
        self._turn_asked = False
        self.turn(self.clock())

    def dial(
        self,
        protocol: asyncio.BufferedProtocol,
        address: tuple[str, int],
        failed: Callable[[], None],
        delayed: Callable[[Cause], None] = lambda cause: None,
    ) -> asyncio.Task[None]:
        """Connects a protocol to an address, or calls `failed`. For a fault of this host `delayed` is called
        instead, and the dial is tried again until the caller's time limit cancels it."""
        task = self._loop.create_task(self._dial(protocol, address, failed, delayed))
        self._dialling.add(task)  # the loop itself holds a task only weakly
        task.add_done_callback(self._dialling.discard)
        return task

    async def _dial(
        self,
        protocol: asyncio.BufferedProtocol,
        address: tuple[str, int],
        failed: Callable[[], None],
        delayed: Callable[[Cause], None],
    ) -> None:
        while True:
            try:
                await self._loop.create_connection(lambda: protocol, *address)
                return
            except (OSError, ValueError) as error:
                cause = cause_of_dial(error)
            if cause is Cause.CONNECTION:
                failed()
                return
            delayed(cause)
            await asyncio.sleep(RETRY_MS / 1000.0)

    def _failed(self, error: Exception) -> None:
        self._loop.call_exception_handler({"message": "a timer failed", "exception": error})

    def _arm_soon(self) -> None:
        if not self._arm_asked:
            self._arm_asked = True
            self._loop.call_soon(self._arm)

    def _arm(self) -> None:
        self._arm_asked = False
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None
        at = self.wheel.next_at()
        if at < inf:
            wait = max(0.0, at - self.clock()) / 1000.0
            self._fire_due = max(at, self.clock())
            self._handle = self._loop.call_later(wait + 0.0002, self._fire)

    def _fire(self) -> None:
        if self._reads_first(self._fire_due, self._fire):
            return
        self._handle = None
        self.wheel.advance(self.clock())
        self._arm()
