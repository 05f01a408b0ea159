"""Rate control: the rate at which requests of each class are sent, reduced when workers refuse some.

A class has no rate limit until workers answer 'full'. From then on its requests are released at a rate D,
which the contribution formula of the design sets at the end of each window: D + C x (E - R), where R is the
rate of attempts and E the rate of accepted attempts. The contribution C = D / R estimates the part of the
traffic at the workers that comes from this dispatcher. A window without a refusal raises the rate; the
limit ends when the rate is back at its value before the first reduction and no request of the class waits.

Invariants: a rate is never below the floor of its class, and no outcome but 'full' reduces a rate.
"""

from __future__ import annotations

from dataclasses import dataclass

WINDOW_MS = 1000.0  # the design's delta-T: long enough for some answers of each class, shorter than a burst
RATE_INCREASE_FACTOR = 1.25  # factor on a reduced rate after a window without 'full'
TOP_CLASS_FLOOR_SHARE = 0.7  # share of its unreduced rate that a class of the highest priority weight keeps
OTHER_CLASS_FLOOR_SHARE = 0.3  # share of its unreduced rate that any other class keeps
MIN_RATE_PER_S = 0.5  # enough to notice that workers accept requests again
DURATION_WEIGHT = 0.05  # weight of one request in the mean running time
MS_PER_S = 1000.0


@dataclass(slots=True, eq=False)
class Pacer:
    """The release rate of one class, and the running time of its requests from which rates are planned."""

    floor_share: float
    default_duration_ms: float
    mean_duration: float = 0.0  # ms, or ms per unit of work for requests that state their expected work
    longest_time_limit_ms: float = 0.0  # the longest time limit of any client
    rate: float | None = None  # requests per second; None: no limit
    uncut_rate: float = 0.0  # the rate before it was first reduced
    next_release_at: float = 0.0
    window_start: float = 0.0
    sent_in_window: int = 0
    accepted_in_window: int = 0

    def expected_duration_ms(self, expected_work: float) -> float:
        """Return the expected running time of a request of this class (`expected_work`: 0 if not stated)."""
        if expected_work:
            return expected_work * (self.mean_duration or 1.0)
        return self.mean_duration or self.default_duration_ms

    def record_duration(self, duration_ms: float, expected_work: float) -> None:
        """Update the mean running time with the running time of a request that has ended."""
        observed = duration_ms / (expected_work or 1.0)
        if self.mean_duration:
            self.mean_duration += DURATION_WEIGHT * (observed - self.mean_duration)
        else:
            self.mean_duration = observed

    def count_send(self, now: float) -> None:
        """Count an attempt; while the rate is limited, set when the next request may be released."""
        self.sent_in_window += 1
        self.accepted_in_window += 1
        if self.rate is not None:
            self.next_release_at = max(now, self.next_release_at) + MS_PER_S / self.rate

    def must_wait(self, now: float) -> bool:
        """Return whether the rate limit holds back the next request."""
        return self.rate is not None and now < self.next_release_at

    def close_window(self, now: float, waiting: bool) -> None:
        """Reduce the rate if attempts were refused in this window, else raise a reduced rate.

        `waiting` says whether requests of the class wait here. The contribution formula sets the rate.
        """
        windows_per_s = MS_PER_S / (now - self.window_start)
        sent = windows_per_s * self.sent_in_window
        accepted = windows_per_s * max(0, self.accepted_in_window)  # a refusal can arrive in the next window
        if sent and accepted < sent:
            self._reduce_rate(sent, accepted)
        elif self.rate is not None:
            self.rate *= RATE_INCREASE_FACTOR
            if self.rate >= self.uncut_rate and not waiting:
                self.rate = None  # the limit no longer has an effect
        self.window_start = now
        self.sent_in_window = 0
        self.accepted_in_window = 0

    def _reduce_rate(self, sent: float, accepted: float) -> None:
        """Reduce the rate by the refused part of the traffic, not below the floor of the class."""
        if self.rate is None:
            self.rate = self.uncut_rate = sent
        contribution = self.rate / sent
        rate = self.rate + contribution * (accepted - sent)
        self.rate = max(rate, self.floor_share * self.uncut_rate, MIN_RATE_PER_S)
