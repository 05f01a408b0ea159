"""Backoff and pacing of calls to a discovery source that many dispatchers share.

A source serves a fixed number of calls at a time. A dispatcher that calls at its start and retries at
once does no harm alone. Forty that start together do: each call that has waited too long fails, its
caller retries, and the queue keeps its length, so that no dispatcher receives any change. Therefore each
has a turn of its own for its first call, and the waits after failures grow with the number of sharers and
are drawn at random, so that callers that failed together do not retry together.

The protocol counts a change as notified to a dispatcher that did not ask for it, whatever calls failed,
were refused or cancelled. What the agent on the dispatcher's own machine holds counts at once, and a
drain binds after a grace: all first calls lie within a share of that grace, and so does the first call
after the loss of a source that had sent a list. A change counts 6 s after discovery had it and was
reachable. So no wait between two calls exceeds `MAX_WAIT`, at any number of sharers and after any number
of failures. From the moment at which a source becomes reachable to its whole list it takes at most

    MAX_WAIT (a wait that has just begun) + DIAL_TIMEOUT + FIRST_LIST_TIME = NOTIFIED_AFTER

and after a watch that fell silent, HEARTBEAT_TIMEOUT_MS (`discovery/watch`) + DIAL_TIMEOUT +
FIRST_LIST_TIME, which is less.

A silent source has no queue that another call would lengthen: the agent on the dispatcher's own machine
is silent while discovery is down, answers at once and at no cost when it is back, and what it then holds
binds after a drain's grace. So after a silence the next call is made at once: one call is always waiting
at the source.

The module performs no I/O and reads no clock. All times are in ms.
"""

from __future__ import annotations

from math import inf
from random import Random

FIRST_CALL_SPACING = 8.0  # between the first calls of two dispatchers, if all fit into the share below
FIRST_CALLS_SHARE = 0.6  # of a drain's grace, within which all first calls lie; the rest is for the call
NOTIFIED_AFTER = 6000.0  # after which a change counts as notified if discovery had it and was reachable
DIAL_TIMEOUT = 1000.0  # for a connection to the source
FIRST_LIST_TIME = 600.0  # that the agent may take for the first whole list
MAX_WAIT = NOTIFIED_AFTER - DIAL_TIMEOUT - FIRST_LIST_TIME  # the longest wait between two calls
WAIT_PER_SHARER = 100.0  # before the call after a failure, for each of many sharers
FEW_SHARERS = 8  # that may call together: forty calls left a source that serves eight a second far behind
MAX_WAIT_OF_FEW = 1000.0  # the longest wait of so few
CALLS_PER_S = 4.0  # limit for one dispatcher
SHARED_CALLS_PER_S = 32.0  # limit for all sharers together, if each is left `MIN_CALLS_PER_S`
MIN_CALLS_PER_S = 0.5  # that a dispatcher may always make
CALL_BURST = 8.0  # calls that may be made at once: changes come together
LEAST_SHARE_OF_WAIT = 0.25  # of a wait, that is never shortened; the rest is drawn
MS_PER_SECOND = 1000.0


class Backoff:
    """The waits of one dispatcher between its calls.

    Attributes:
        longest_wait: The longest wait after a failure that is drawn, in ms.
    """

    def __init__(
        self, sharers: int = 1, number: int = 0, rng: Random | None = None, grace: float = 500.0
    ) -> None:
        """Creates the backoff of the `number`-th of `sharers`; a drain binds after `grace` ms."""
        weight = sharers if sharers > FEW_SHARERS else 1
        self.longest_wait = MAX_WAIT if weight > 1 else MAX_WAIT_OF_FEW
        self._initial_wait = self._wait = min(self.longest_wait, WAIT_PER_SHARER * weight)
        self._turn = min(FIRST_CALL_SPACING, FIRST_CALLS_SHARE * grace / max(1, sharers)) * number
        self._rng = rng or Random(number)
        calls_per_s = min(CALLS_PER_S, SHARED_CALLS_PER_S / max(1, sharers))
        self._rate = max(MIN_CALLS_PER_S, calls_per_s) / MS_PER_SECOND  # calls a ms
        self._credit, self._credited_at = CALL_BURST, -inf
        self._heard_since_failure = False

    def first_wait(self, has_list: bool) -> float:
        """Return the wait before the first call, 0 without a list.

        A dispatcher without a list serves nobody. One with an old list sends to workers that drain or are
        gone, and is accountable for that as if it had called, so that its wait is short too.
        """
        return self._turn if has_list else 0.0

    def next_wait(self, now: float) -> float:
        """Return the wait before the call after a failed call or a lost watch."""
        if self._heard_since_failure:
            self._heard_since_failure = False
            wait = self._turn
        else:
            wait = self._wait * (LEAST_SHARE_OF_WAIT + (1.0 - LEAST_SHARE_OF_WAIT) * self._rng.random())
            self._wait = min(self.longest_wait, 2.0 * self._wait)
        self._add_credit(now)
        self._credit -= 1.0  # the call is made after this wait, whatever else comes
        return min(MAX_WAIT, max(wait, -self._credit / self._rate))

    def pace(self, now: float) -> float:
        """Return the wait before a call may be made; if it is 0, count the call as made.

        Limits the calls to a source that answers at once, or with errors.
        """
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
        """Record a list or a heartbeat of the source: the next failure counts as the first."""
        self._wait, self._heard_since_failure = self._initial_wait, True
