"""Rate control: the rate at which each class of requests is released, cut where workers refuse some.

Theory of operation. A class is unpaced until workers answer 'full'. From then on it is released at a rate D,
which the design's contribution formula sets at the end of each window: with R the rate of attempts and E that
of the accepted ones, D + C x (E - R). The contribution C = D / R is the part of the traffic at the workers
that is this dispatcher's own, as far as its rate shows. A window without a refusal raises the rate again, and
a rate that is back where it was before its first cut, with nothing waiting, ends the pacing.

What must never happen: a rate under the class's floor; an end other than 'full' that cuts a rate.
"""

from __future__ import annotations

from dataclasses import dataclass

WINDOW_MS = 1000.0  # the design's delta-T: a few answers of each class, yet shorter than a burst
RAISE = 1.25  # factor on a cut rate after a window without 'full'
FLOOR_TOP = 0.7  # share of its uncut rate that the class of highest worth keeps
FLOOR_REST = 0.3  # and each of the others
LEAST_RATE = 0.5  # requests a second: a class that is cut must still find out that workers take some again
RUN_WEIGHT = 0.05  # of a new observation in the mean running time
MS_PER_S = 1000.0


@dataclass(slots=True, eq=False)
class Pacer:
    """A class's release: its rate, cut by the contribution formula and raised after clean windows."""

    floor_share: float
    run_default: float
    run: float = 0.0  # mean running time; where requests carry hints, its ratio to the hint
    patience: float = 0.0  # the longest time that a client gave, in ms
    rate: float | None = None  # requests a second; None: unpaced
    uncut: float = 0.0  # the rate before the first cut
    next_at: float = 0.0
    start: float = 0.0
    sent: int = 0
    accepted: int = 0

    def run_of(self, hint: float) -> float:
        """The expected running time of a request of this class."""
        return hint * (self.run or 1.0) if hint else self.run or self.run_default

    def learn(self, ran: float, hint: float) -> None:
        """Takes in how long a request ran."""
        self.run += RUN_WEIGHT * (ran / (hint or 1.0) - self.run) if self.run else ran / (hint or 1.0)

    def count_send(self, now: float) -> None:
        """Counts an attempt and, while paced, sets when the next may follow."""
        self.sent += 1
        self.accepted += 1
        if self.rate is not None:
            self.next_at = max(now, self.next_at) + MS_PER_S / self.rate

    def must_wait(self, now: float) -> bool:
        """Whether the next request may not be released yet."""
        return self.rate is not None and now < self.next_at

    def close_window(self, now: float, waiting: bool) -> None:
        """Applies the contribution formula when the window held refusals, else raises a cut rate."""
        windows_per_s = MS_PER_S / (now - self.start)
        sent = windows_per_s * self.sent
        accepted = windows_per_s * max(0, self.accepted)  # 'full' may come a window late
        if sent and accepted < sent:
            self._cut(sent, accepted)
        elif self.rate is not None:
            self.rate *= RAISE
            if self.rate >= self.uncut and not waiting:
                self.rate = None  # the cap binds no longer
        self.start = now
        self.sent = 0
        self.accepted = 0

    def _cut(self, sent: float, accepted: float) -> None:
        """Cuts the rate by the refused part of the traffic, down to the class's floor."""
        if self.rate is None:
            self.rate = self.uncut = sent
        contribution = self.rate / sent
        rate = self.rate + contribution * (accepted - sent)
        self.rate = max(rate, self.floor_share * self.uncut, LEAST_RATE)
