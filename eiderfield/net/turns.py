"""When a source that many dispatchers share is asked, and asked again.

A source of workers serves a fixed number of calls at a time. A dispatcher that calls at its start and tries
again at once does no harm alone. Forty that start together do: each call that has waited too long fails, its
caller tries again, and the queue stays as long as it was, so that nobody is ever told of a change. So each
has a turn of its own for its first call, and the waits after failures grow with the number of those who share
the source and are drawn at random, so that those who failed together do not come back together.

Knows no socket and no clock: it is asked for waits. All times are in milliseconds.
"""

from __future__ import annotations

from random import Random

TURN = 150.0  # between the first calls of two dispatchers: at 40, all within the 6 s that a list may take
WAIT = 100.0  # before the next call after a failure, doubled up to MOST; both for up to FEW dispatchers
MOST = 1000.0
FEW = 4
LEAST = 0.25  # share of a wait that is always kept; the rest is drawn


class Turns:
    """The waits of one dispatcher, the `number`-th of `sharers`."""

    def __init__(self, sharers: int = 1, number: int = 0, rng: Random | None = None) -> None:
        self._crowd = max(1.0, sharers / FEW)
        self._first = TURN * number
        self._rng = rng or Random(number)
        self._wait = WAIT

    @property
    def most(self) -> float:
        """The longest wait that `next` gives."""
        return MOST * self._crowd

    def first(self, knows: bool) -> float:
        """Until the first call. One that knows no list yet serves nobody, and has no time to wait."""
        return self._first if knows else 0.0

    def next(self) -> float:
        """Until the call after one that failed."""
        wait = self._wait * self._crowd
        self._wait = min(MOST, 2.0 * self._wait)
        return wait * (LEAST + (1.0 - LEAST) * self._rng.random())

    def heard(self) -> None:
        """The source has answered: the next failure is the first."""
        self._wait = WAIT
