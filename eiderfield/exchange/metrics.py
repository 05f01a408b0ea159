"""Counters of requests and attempts since the start of the process. `net/console.py` names them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from math import log

from eiderfield.exchange.request import PendingRequest, Verdict
from eiderfield.interface import RequestClass


@dataclass(slots=True)
class ResponseTimes:
    """Sums over ln(response time in ms), from which the mean and the standard deviation are computed."""

    count: int = 0
    sum: float = 0.0
    sum_of_squares: float = 0.0

    def record(self, milliseconds: float) -> None:
        """Add a response time. Times below 1 ms count as 1 ms."""
        logarithm = log(max(1.0, milliseconds))
        self.count += 1
        self.sum += logarithm
        self.sum_of_squares += logarithm * logarithm


@dataclass(slots=True)
class Metrics:
    """The counters of the exchange. Counters per class are keyed by the class index."""

    final_answers: Counter[tuple[int, Verdict]] = field(default_factory=Counter)
    served_within_objective: Counter[int] = field(default_factory=Counter)
    response_times: dict[int, ResponseTimes] = field(default_factory=dict)
    attempts_written: int = 0  # attempts whose last byte was sent
    cancelled_attempts: Counter[str] = field(default_factory=Counter)  # by `StopReason`
    malformed_responses: int = 0
    prevented_violations: Counter[str] = field(default_factory=Counter)  # by the rule that a guard enforced

    def response_time_sums(self, class_index: int) -> tuple[int, float, float]:
        """Return the count, the sum and the sum of squares of the logarithms of a class's response times."""
        times = self.response_times.get(class_index, ResponseTimes())
        return times.count, times.sum, times.sum_of_squares

    def record_served(
        self, served: Iterable[PendingRequest], classes: Sequence[RequestClass], now: float
    ) -> None:
        """Record the response times of served requests, and count those within their latency objective."""
        for pending in served:
            class_index = pending.request.class_index
            cls = classes[class_index]
            response_time = now - pending.received_at
            running_time = now - pending.started_at if pending.started_at else 0.0
            if class_index not in self.response_times:
                self.response_times[class_index] = ResponseTimes()
            self.response_times[class_index].record(response_time)
            if response_time <= cls.latency_objective_ms + cls.objective_stretch * running_time:
                self.served_within_objective[class_index] += 1
