"""Rate control: the rate at which each class of requests is released, cut where workers refuse some."""

from __future__ import annotations

from dataclasses import dataclass

RAISE = 1.25  # factor on a cut rate after a window without 'full'
FLOOR_REST, FLOOR_TOP = 0.3, 0.7  # shares of its uncut rate that a class keeps, and that of highest worth
EWMA = 0.05  # weight of a new observation in a mean


@dataclass(slots=True, eq=False)
class Pacer:
    """A class's release: its rate, cut by the contribution formula and raised after clean windows."""

    floor_share: float
    run_default: float
    run: float = 0.0  # mean running time; where jobs carry hints, its ratio to the hint
    patience: float = 0.0  # the longest time that a client gave, in ms
    rate: float | None = None  # jobs a second; None: unpaced
    uncut: float = 0.0  # the rate before the first cut
    next_at: float = 0.0
    start: float = 0.0
    sent: int = 0
    accepted: int = 0

    def run_of(self, hint: float) -> float:
        """The expected running time of a job of this class."""
        return hint * (self.run or 1.0) if hint else self.run or self.run_default

    def learn(self, ran: float, hint: float) -> None:
        """Takes in how long a job ran."""
        self.run += EWMA * (ran / (hint or 1.0) - self.run) if self.run else ran / (hint or 1.0)

    def count_send(self, now: float) -> None:
        """Counts a send and, while paced, sets when the next may follow."""
        self.sent, self.accepted = self.sent + 1, self.accepted + 1
        if self.rate is not None:
            self.next_at = max(now, self.next_at) + 1000.0 / self.rate

    def close_window(self, now: float, waiting: bool) -> None:
        """Applies D + C x (E - R) with C = D / R when the window held refusals, else raises."""
        per_s = 1000.0 / (now - self.start)
        sent, accepted = per_s * self.sent, per_s * max(0, self.accepted)  # 'full' may come a window late
        if sent and accepted < sent:
            if self.rate is None:
                self.rate = self.uncut = sent
            rate = self.rate + self.rate / sent * (accepted - sent)
            self.rate = max(rate, self.floor_share * self.uncut, 0.5)
        elif self.rate is not None:
            self.rate *= RAISE
            if self.rate >= self.uncut and not waiting:
                self.rate = None  # the cap binds no longer
        self.start, self.sent, self.accepted = now, 0, 0
