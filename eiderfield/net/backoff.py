"""Backoff and pacing of calls to a source that many dispatchers share.

A source of workers serves a fixed number of calls at a time. A dispatcher that calls at its start and
retries at once does no harm alone. Forty that start together do: each call that has waited too long fails,
its caller retries, and the queue stays as long as it was, so that nobody is ever notified of a change. So
each has a turn of its own for its first call, and the waits after failures grow with the number of those
who share the source and are drawn at random, so that those who failed together do not come back together.

The protocol counts what a dispatcher did not ask for as notified, whatever calls failed, were refused or
given up. What the agent on its own machine holds counts at once, and a drain binds after a grace: all first
calls lie within a share of that grace, and so does the first call after a source that had told something
was lost. What discovery has to tell counts 6 s after it had it and could be reached. So no wait between two
calls is longer than `MAX_WAIT`, at any number of sharers and after any number of failures. From the moment
at which a source can be reached to its whole list it takes at most

    MAX_WAIT (a wait that has just begun) + DIAL_TIMEOUT + FIRST_LIST_TIME = NOTIFIED_AFTER

and after a watch that fell silent, SILENCE (`discovery/watch`) + DIAL_TIMEOUT + FIRST_LIST_TIME, which is
less.

A source that says nothing has no queue that a call would lengthen: the agent on the dispatcher's own machine
is silent while discovery is down, replies at once and at no cost when it is back, and what it then holds
binds after a drain's grace. So after a silence a call is left waiting at it always: the next is made at once,
for turns would space nothing where all calls wait for the same moment.

Knows no socket and no clock: it is asked for waits. All times are in milliseconds.
"""

from __future__ import annotations

from math import inf
from random import Random

FIRST_CALL_SPACING = 8.0  # between the first calls of two dispatchers, where all fit into the share below
FIRST_CALLS_SHARE = 0.6  # of a drain's grace, within which all first calls lie; the rest is for the call
NOTIFIED_AFTER = 6000.0  # after which all counts as notified that discovery had and could have told
DIAL_TIMEOUT = 1000.0  # that a connection to the source may take to come up
FIRST_LIST_TIME = 600.0  # that the agent may take for the first whole list
MAX_WAIT = NOTIFIED_AFTER - DIAL_TIMEOUT - FIRST_LIST_TIME  # the longest wait between two calls
WAIT_PER_SHARER = 100.0  # before the call after a failure, for each sharer where there are many
FEW_SHARERS = 8  # who may call together: forty calls left a source that serves eight a second far behind
MAX_WAIT_OF_FEW = 1000.0  # the longest wait of so few
CALLS_PER_S = 4.0  # that one dispatcher makes at the most, whatever its source does
SHARED_CALLS_PER_S = 32.0  # that many dispatchers make together, but for half a call a second each
CALL_BURST = 8.0  # calls that it may make at once: changes come together
LEAST_SHARE_OF_WAIT = 0.25  # that is always kept; the rest is drawn


class Backoff:
    """The waits of one dispatcher."""

    def __init__(
        self, sharers: int = 1, number: int = 0, rng: Random | None = None, grace: float = 500.0
    ) -> None:
        """It is the `number`-th of `sharers`, and a drain binds after `grace` ms."""
        weight = sharers if sharers > FEW_SHARERS else 1
        self.most = MAX_WAIT if weight > 1 else MAX_WAIT_OF_FEW  # the longest wait that `next_wait` draws
        self._initial_wait = self._wait = min(self.most, WAIT_PER_SHARER * weight)
        self._first = min(FIRST_CALL_SPACING, FIRST_CALLS_SHARE * grace / max(1, sharers)) * number
        self._rng = rng or Random(number)
        self._rate = max(0.5, min(CALLS_PER_S, SHARED_CALLS_PER_S / max(1, sharers))) / 1000.0
        self._credit, self._credited_at = CALL_BURST, -inf
        self._heard_since_failure = False  # whether the source has told something since the last failure

    def first_wait(self, has_list: bool) -> float:
        """Until the first call. One that knows no list yet serves nobody, and has no time to wait.

        Nor has one that holds an old list much: it sends to workers that drain or are gone, and answers for
        that as if it had asked."""
        return self._first if has_list else 0.0

    def next_wait(self, now: float) -> float:
        """Until the call after one that failed, or after a watch that broke."""
        if self._heard_since_failure:
            self._heard_since_failure = False
            wait = self._first
        else:
            wait = self._wait * (LEAST_SHARE_OF_WAIT + (1.0 - LEAST_SHARE_OF_WAIT) * self._rng.random())
            self._wait = min(self.most, 2.0 * self._wait)
        self._add_credit(now)
        self._credit -= 1.0  # the call is made after this wait, whatever else comes
        return min(MAX_WAIT, max(wait, -self._credit / self._rate))

    def pace(self, now: float) -> float:
        """Until a call may be made; 0 takes it. A source that answers at once, or badly, is not hammered."""
        self._add_credit(now)
        if self._credit < 1.0:
            return max(1.0, (1.0 - self._credit) / self._rate)
        self._credit -= 1.0
        return 0.0

    def _add_credit(self, now: float) -> None:
        if now > self._credited_at:
            self._credit = min(CALL_BURST, self._credit + (now - self._credited_at) * self._rate)
            self._credited_at = now

    def reset(self) -> None:
        """The source has told a list or given a sign of life: the next failure is the first."""
        self._wait, self._heard_since_failure = self._initial_wait, True
