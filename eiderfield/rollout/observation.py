"""The results of one dispatcher in one time window, and the sample moments that they are reduced to."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple


class Measure(StrEnum):
    """A measure that is compared between new and old dispatchers for each class. The values are stored."""

    IN_TIME_SHARE = "share"  # 1 for a request that was served in time, 0 for any other
    LOG_LATENCY = "waits"  # natural logarithm of a served request's latency in ms


class Moments(NamedTuple):
    """The size, sum and sum of squares of a sample."""

    size: float = 0
    total: float = 0.0
    total_of_squares: float = 0.0

    @property
    def mean(self) -> float:
        """The mean of the sample, which must not be empty."""
        return self.total / self.size

    @property
    def variance(self) -> float:
        """The population variance of the sample, which must not be empty."""
        return self.total_of_squares / self.size - self.mean**2

    def merged(self, other: Sequence[float]) -> Moments:
        """Return the moments of this sample and the other one combined."""
        size, total, total_of_squares = other
        return Moments(self.size + size, self.total + total, self.total_of_squares + total_of_squares)


NO_SAMPLES = Moments()


@dataclass(frozen=True, slots=True)
class Observation:
    """The results of a dispatcher in one time window. `completed`, `in_time` and `latencies` are by class."""

    dispatcher: str
    is_new: bool
    alive: bool | None = True  # None: its console did not answer; the process may still run
    ready: bool = True
    age: float = 1e9  # time in s since the process started, or since its console answered again
    age_before: float = 1e9  # the same at the beginning of the window, 0 or less if it began before that
    completed: Mapping[str, int] = field(default_factory=dict)
    in_time: Mapping[str, int] = field(default_factory=dict)
    descriptors: int = 0
    memory: float = 0.0  # MB
    violation: str = ""  # the rule that the dispatcher broke; empty if none
    latencies: Mapping[str, Moments] = field(default_factory=dict)  # of natural logarithms of ms
    attempts: int | None = None  # written to workers; None where the program does not report it
    cpu_seconds: float = 0.0

    def moments(self, class_name: str, measure: Measure) -> Moments:
        """Return the moments of the sample of `measure` for one class."""
        if measure is Measure.LOG_LATENCY:
            return self.latencies.get(class_name, NO_SAMPLES)
        in_time = float(self.in_time.get(class_name, 0))
        return Moments(self.completed.get(class_name, 0), in_time, in_time)

    def counts(self, warm_up: float) -> bool:
        """Return whether the figures count.

        The console answered, and the process had run for `warm_up` s when the window began: a window that
        begins earlier holds requests of the warm-up.
        """
        return self.alive is True and min(self.age, self.age_before) >= warm_up
