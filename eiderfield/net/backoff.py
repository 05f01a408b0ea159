"""Backoff and pacing of calls to a source that many dispatchers share.

A source of workers serves a fixed number of calls at a time. A dispatcher that calls at its start and tries
again at once does no harm alone. Forty that start together do: each call that has waited too long fails, its
caller tries again, and the queue stays as long as it was, so that nobody is ever told of a change. So each
has a turn of its own for its first call, and the waits after failures grow with the number of those who share
the source and are drawn at random, so that those who failed together do not come back together.

The protocol counts what a dispatcher did not ask for as told, whatever calls failed, were refused or given
up. What the agent on its own machine holds counts at once, and a drain binds after a grace: all first calls
lie within a share of that grace, and so does the first call after a source that had told something was lost.
What discovery has to tell counts 6 s after it had it and could be reached. So no wait between two calls is
longer than `MOST`, at any number of sharers and after any number of failures. From the moment at which a
source can be reached to its whole list it takes at most

    MOST (a wait that has just begun) + DIAL (the connection) + ANSWER (the first whole list) = TOLD

and after a watch that fell silent, SILENCE (`routing`) + DIAL + ANSWER, which is less.

A source that says nothing has no queue that a call would lengthen: the agent on the dispatcher's own machine
is silent while discovery is down, replies at once and at no cost when it is back, and what it then holds
binds after a drain's grace. So after a silence a call is left waiting at it always: the next is made at once,
for turns would space nothing where all calls wait for the same moment.

Knows no socket and no clock: it is asked for waits. All times are in milliseconds.
"""

from __future__ import annotations

from math import inf
from random import Random

TURN = 8.0  # between the first calls of two dispatchers, where all of them fit into FIRST
FIRST = 0.6  # share of a drain's grace within which all first calls lie; the rest is for the call itself
TOLD = 6000.0  # after which all counts as told that discovery had and could have told (protocol page)
DIAL = 1000.0  # that a connection to the source may take to come up
ANSWER = 600.0  # that the agent may take for the first whole list
MOST = TOLD - DIAL - ANSWER  # the longest wait between two calls
WAIT = 100.0  # before a second call that follows a failure, for each sharer where there are more than FEW
FEW = 8  # who may call together: forty calls at once left a source that serves eight a second far behind
FEW_MOST = 1000.0  # the longest wait of so few
CALLS = 4.0  # calls a second that one dispatcher makes at the most, whatever its source does; among many
SHARED = 32.0  # they share so many, but for half a call a second each
BURST = 8.0  # calls that it may make at once: changes come together
LEAST = 0.25  # share of a wait that is always kept; the rest is drawn


class Backoff:
    """The waits of one dispatcher, the `number`-th of `sharers`, where a drain binds after `grace` ms."""

    def __init__(
        self, sharers: int = 1, number: int = 0, rng: Random | None = None, grace: float = 500.0
    ) -> None:
        crowd = sharers if sharers > FEW else 1
        self.most = MOST if crowd > 1 else FEW_MOST  # the longest wait that `next` gives
        self._least = self._wait = min(self.most, WAIT * crowd)
        self._first = min(TURN, FIRST * grace / max(1, sharers)) * number
        self._rng = rng or Random(number)
        self._rate = max(0.5, min(CALLS, SHARED / max(1, sharers))) / 1000.0
        self._calls, self._at = BURST, -inf
        self._fresh = False  # whether the source has told something since the last failure

    def first(self, knows: bool) -> float:
        """Until the first call. One that knows no list yet serves nobody, and has no time to wait.

        Nor has one that holds an old list much: it sends to workers that drain or are gone, and answers for
        that as if it had asked."""
        return self._first if knows else 0.0

    def next(self, now: float) -> float:
        """Until the call after one that failed, or after a watch that broke."""
        if self._fresh:
            self._fresh = False
            wait = self._first
        else:
            wait = self._wait * (LEAST + (1.0 - LEAST) * self._rng.random())
            self._wait = min(self.most, 2.0 * self._wait)
        self._save_up(now)
        self._calls -= 1.0  # the call is made after this wait, whatever else comes
        return min(MOST, max(wait, -self._calls / self._rate))

    def pace(self, now: float) -> float:
        """Until a call may be made; 0 takes it. A source that answers at once, or badly, is not hammered."""
        self._save_up(now)
        if self._calls < 1.0:
            return max(1.0, (1.0 - self._calls) / self._rate)
        self._calls -= 1.0
        return 0.0

    def _save_up(self, now: float) -> None:
        if now > self._at:
            self._calls = min(BURST, self._calls + (now - self._at) * self._rate)
            self._at = now

    def heard(self) -> None:
        """The source has told something whole: the next failure is the first."""
        self._wait, self._fresh = self._least, True
