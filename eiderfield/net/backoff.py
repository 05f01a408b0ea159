"""Backoff and rate limit of calls to a discovery source that many dispatchers share.

A source serves a fixed number of calls at a time. A dispatcher that calls at its start, and retries at once
after a failure, does no harm alone. If forty dispatchers start together, the calls that wait too long in the
source's queue fail, their callers retry, and the queue never gets shorter, so that no dispatcher receives
any change. Therefore each dispatcher delays its first call by a time of its own. The waits after failures
grow with the number of dispatchers and are random, so that calls that failed together are not retried
together.

The protocol has a deadline after which a dispatcher counts as notified of a change even if its calls failed,
were refused or were cancelled: 6 s after discovery had the change and was reachable. What the agent on the
dispatcher's own machine holds counts at once, and a drain takes effect after a grace period. Hence:

- All first calls are made within a fraction of the drain's grace period, and so is the first call after the
  loss of a source that had sent a list.
- No wait between two calls exceeds `MAX_WAIT_MS`, for any number of dispatchers and after any number of
  failures. From the time at which a source becomes reachable until its whole list is received, at most

      MAX_WAIT_MS (for a wait that has just begun) + SOURCE_DIAL_TIMEOUT_MS + FIRST_LIST_TIMEOUT_MS
      = NOTIFICATION_DEADLINE_MS

  pass. After a watch that became silent it is HEARTBEAT_TIMEOUT_MS (`discovery/watch`) +
  SOURCE_DIAL_TIMEOUT_MS + FIRST_LIST_TIMEOUT_MS, which is less.
- After a silence the next call is made at once, so that a call is always pending at the source. A silent
  source has no queue that another call would lengthen: the agent on the dispatcher's own machine is silent
  while discovery is down. Once discovery is back the agent responds at once and at no cost, and what it then
  holds takes effect after the grace period.

The module performs no I/O and reads no clock. All times are in ms.
"""

from __future__ import annotations

from math import inf
from random import Random

# Between the first calls of two dispatchers, if that keeps all of them within the fraction below.
FIRST_CALL_SPACING_MS = 8.0
FIRST_CALLS_GRACE_FRACTION = (
    0.6  # of the drain's grace period for all first calls; the rest is for the responses
)
NOTIFICATION_DEADLINE_MS = 6000.0  # set by the protocol, see above
SOURCE_DIAL_TIMEOUT_MS = 1000.0
FIRST_LIST_TIMEOUT_MS = 600.0  # until the agent has sent the first whole list
MAX_WAIT_MS = NOTIFICATION_DEADLINE_MS - SOURCE_DIAL_TIMEOUT_MS - FIRST_LIST_TIMEOUT_MS
WAIT_PER_DISPATCHER_MS = 100.0  # first wait after a failure, per dispatcher if there are many
# Up to this number, dispatchers wait as if each had the source to itself. Forty that did so made far more
# calls than a source that serves eight a second.
MAX_UNSCALED_DISPATCHERS = 8
MAX_UNSCALED_WAIT_MS = 1000.0  # the longest wait with at most that many dispatchers
MAX_CALLS_PER_S = 4.0  # of one dispatcher
MAX_SHARED_CALLS_PER_S = 32.0  # of all dispatchers together, unless that leaves one below `MIN_CALLS_PER_S`
MIN_CALLS_PER_S = 0.5  # that every dispatcher may make
CALL_BURST = 8.0  # calls without a wait: changes often come in groups
MIN_WAIT_FRACTION = 0.25  # of a wait that is fixed; the rest is random
MS_PER_SECOND = 1000.0


class Backoff:
    """The waits of one dispatcher between its calls to the source.

    Attributes:
        max_wait: The upper limit of the random waits after failures, in ms.
    """

    def __init__(
        self,
        dispatcher_count: int = 1,
        dispatcher_index: int = 0,
        rng: Random | None = None,
        drain_grace_ms: float = 500.0,
    ) -> None:
        """Create the backoff of one of `dispatcher_count` dispatchers that share the source.

        Args:
            dispatcher_count: The number of dispatchers.
            dispatcher_index: The index of this one, from 0.
            rng: The source of random numbers; by default one that is seeded with the index.
            drain_grace_ms: The time after which a drain takes effect.
        """
        scale = dispatcher_count if dispatcher_count > MAX_UNSCALED_DISPATCHERS else 1
        self.max_wait = MAX_WAIT_MS if scale > 1 else MAX_UNSCALED_WAIT_MS
        self._initial_wait = self._wait = min(self.max_wait, WAIT_PER_DISPATCHER_MS * scale)
        self._first_call_delay = (
            min(FIRST_CALL_SPACING_MS, FIRST_CALLS_GRACE_FRACTION * drain_grace_ms / max(1, dispatcher_count))
            * dispatcher_index
        )
        self._rng = rng or Random(dispatcher_index)
        calls_per_s = min(MAX_CALLS_PER_S, MAX_SHARED_CALLS_PER_S / max(1, dispatcher_count))
        self._calls_per_ms = max(MIN_CALLS_PER_S, calls_per_s) / MS_PER_SECOND
        self._tokens, self._tokens_updated_at = CALL_BURST, -inf
        self._responded_since_failure = False

    def first_wait(self, has_list: bool) -> float:
        """Return the wait before the first call; 0 without a list.

        A dispatcher without a list serves no requests. One with an old list may send requests to workers that
        drain or are gone and is held responsible for it as if it had been notified, so its wait is short too.
        """
        return self._first_call_delay if has_list else 0.0

    def next_wait(self, now: float) -> float:
        """Return the wait before the next call, after a call failed or a watch was lost."""
        if self._responded_since_failure:
            self._responded_since_failure = False
            wait = self._first_call_delay
        else:
            wait = self._wait * (MIN_WAIT_FRACTION + (1.0 - MIN_WAIT_FRACTION) * self._rng.random())
            self._wait = min(self.max_wait, 2.0 * self._wait)
        self._add_tokens(now)
        self._tokens -= 1.0  # the call after this wait is counted now
        return min(MAX_WAIT_MS, max(wait, -self._tokens / self._calls_per_ms))

    def acquire_call(self, now: float) -> float:
        """Return the wait before a call may be made; if it is 0, count the call as made.

        This limits the rate of calls to a source that responds at once or with errors.
        """
        self._add_tokens(now)
        if self._tokens < 1.0:
            return max(1.0, (1.0 - self._tokens) / self._calls_per_ms)
        self._tokens -= 1.0
        return 0.0

    def _add_tokens(self, now: float) -> None:
        if now > self._tokens_updated_at:
            self._tokens = min(
                CALL_BURST, self._tokens + (now - self._tokens_updated_at) * self._calls_per_ms
            )
            self._tokens_updated_at = now

    def record_success(self) -> None:
        """Record that the source sent a list or a heartbeat, which resets the waits after failures."""
        self._wait, self._responded_since_failure = self._initial_wait, True
