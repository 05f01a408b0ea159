"""A sequential probability ratio test (Wald) of whether new dispatchers are worse than old ones.

One test compares one measure of one class. Each window adds the difference of the means of both groups,
positive where the new ones are worse. The hypotheses on its expectation d, once the difference that was there
before the change is subtracted, are

    H0: d = 0              the new dispatchers are no worse
    H1: d = effect_size    they are worse

With the estimate d' of variance v, the log-likelihood ratio of H1 to H0 is

    (effect_size * d' - effect_size**2 / 2) / v

d' is the mean of the windows' differences, each weighted by n * m / (n + m) for n new and m old samples
(Cochran and Mantel-Haenszel). The weight must not depend on the variance that a window shows: a window whose
samples are all alike, by chance or because the machine stood still, shows little variance and no difference,
and would outweigh those that show one.

The variance of a window is that of its samples, times the dispersion: how much more the old dispatchers
differ from each other than chance explains. Uneven traffic and unlike workers make it large.

The samples of one window are not independent: what slows a dispatcher for a moment slows all requests that
it has at that time. The variance of the estimate is therefore multiplied by the Birge ratio, by which the
differences of the windows scatter more around their mean than their variances explain. The new dispatchers
are not called worse before `MIN_WINDOWS` windows, which show that scatter. Otherwise one moment of an
overloaded machine, in which the old dispatchers recover first, passes for evidence on the program.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from eiderfield.rollout.observation import NO_SAMPLES, Measure, Moments, Observation

MIN_SAMPLES = 5  # of either group, for a window to count; smaller windows are merged
DISPERSION_MEMORY = 0.9  # weight of the earlier windows in the dispersion
MIN_WINDOWS = 8  # before the new dispatchers are called worse: fewer show little of the scatter
SCATTER_PRIOR_WINDOWS = 4.0  # windows that scatter as chance explains, assumed beforehand
MIN_SHARE = 0.02  # a variance is that of a share between this and 1 - this: few samples may all be alike
MIN_LATENCY_VARIANCE = 0.05  # of a logarithm, for the same reason
PRIOR_DEVIATION = 0.2  # of what dispatchers differ by before a change, as a share of the effect size


class Offset(NamedTuple):
    """By how much the changing dispatchers were worse before the change, and the variance of that."""

    difference: float = 0.0
    variance: float = 0.0

    def shrunk(self, effect_size: float) -> Offset:
        """Return the posterior of this estimate under a normal prior around 0.

        Without the prior, a short baseline would leave a variance that no time of watching outweighs.
        """
        prior_variance = (PRIOR_DEVIATION * effect_size) ** 2
        weight = prior_variance / (prior_variance + self.variance)
        return Offset(self.difference * weight, self.variance * weight)


def sample_variance(measure: Measure, moments: Moments) -> float:
    """Return the variance of a single sample, with a lower bound."""
    if measure is Measure.LOG_LATENCY:
        return max(MIN_LATENCY_VARIANCE, moments.variance)
    share = min(1.0 - MIN_SHARE, max(MIN_SHARE, moments.mean))
    return share * (1.0 - share)


def deterioration(measure: Measure, new: Moments, old: Moments) -> float:
    """Return by how much the mean of `new` is worse than that of `old`."""
    difference = new.mean - old.mean
    return difference if measure is Measure.LOG_LATENCY else -difference


class _Sample(NamedTuple):
    """The samples of one dispatcher that no window has counted yet."""

    is_new: bool
    moments: Moments


@dataclass(slots=True)
class SequentialTest:
    """The test of one measure of one class, over the windows of one stage."""

    measure: Measure
    effect_size: float
    offset: Offset
    log_likelihood_ratio: float = 0.0
    cleared: bool = False  # the lower bound was crossed once
    new_samples: int = 0
    windows: int = 0
    _total_weight: float = 0.0
    _weighted_difference: float = 0.0  # sum over the windows
    _weighted_variance: float = 0.0  # sum over the windows, of the variance of a single sample
    _dispersion: float = 1.0
    _weighted_square: float = 0.0  # sum over the windows, of the squared difference
    _pending: dict[str, _Sample] = field(default_factory=dict)  # by dispatcher

    def add_window(self, class_name: str, observations: Iterable[Observation]) -> None:
        """Add a window of one class; it is merged with the next one if it has too few samples."""
        for observation in observations:
            self._add_pending(observation, class_name)
        new = self._total(is_new=True)
        old = self._total(is_new=False)
        if min(new.size, old.size) < MIN_SAMPLES:
            return
        variance = sample_variance(self.measure, new.merged(old))
        self._update_dispersion(old.mean, variance)
        self._pending.clear()
        self.new_samples += int(new.size)
        weight = new.size * old.size / (new.size + old.size)
        self._total_weight += weight
        difference = deterioration(self.measure, new, old)
        self.windows += 1
        self._weighted_difference += weight * difference
        self._weighted_square += weight * difference**2
        self._weighted_variance += weight * variance * self._dispersion
        self._update_ratio()

    def _add_pending(self, observation: Observation, class_name: str) -> None:
        moments = observation.moments(class_name, self.measure)
        if (earlier := self._pending.get(observation.dispatcher)) is not None:
            moments = earlier.moments.merged(moments)
        self._pending[observation.dispatcher] = _Sample(observation.is_new, moments)

    def _total(self, is_new: bool) -> Moments:
        total = NO_SAMPLES
        for sample in self._pending.values():
            if sample.is_new is is_new:
                total = total.merged(sample.moments)
        return total

    def _update_dispersion(self, old_mean: float, variance: float) -> None:
        """Update how much more the old dispatchers differ than chance explains; 1 at the least."""
        old = [sample.moments for sample in self._pending.values() if not sample.is_new]
        old = [moments for moments in old if moments.size >= MIN_SAMPLES]
        if len(old) > 1:
            observed = _between_variance(old, old_mean) / variance
            smoothed = DISPERSION_MEMORY * self._dispersion + (1.0 - DISPERSION_MEMORY) * observed
            self._dispersion = max(1.0, smoothed)

    def _scatter(self) -> float:
        """Return how much more the windows' differences scatter than chance explains; 1 at the least."""
        mean_square = self._weighted_difference**2 / self._total_weight
        variance = self._weighted_variance / self._total_weight
        scatter = (self._weighted_square - mean_square) / variance
        return max(1.0, (SCATTER_PRIOR_WINDOWS + scatter) / (SCATTER_PRIOR_WINDOWS + self.windows - 1))

    def is_worse(self, upper_bound: float) -> bool:
        """Return whether the test rejects H0 at a bound on the log-likelihood ratio."""
        return self.windows >= MIN_WINDOWS and self.log_likelihood_ratio >= upper_bound

    def _update_ratio(self) -> None:
        difference = self._weighted_difference / self._total_weight - self.offset.difference
        variance = self._scatter() * self._weighted_variance / self._total_weight**2 + self.offset.variance
        gain = self.effect_size * difference - self.effect_size**2 / 2.0
        self.log_likelihood_ratio = gain / variance


def _between_variance(groups: Sequence[Moments], mean: float) -> float:
    """Return the mean square between groups: what the variance of a sample would explain their means by."""
    return sum(group.size * (group.mean - mean) ** 2 for group in groups) / (len(groups) - 1)
