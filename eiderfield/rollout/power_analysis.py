"""Simulates rollouts to show how often the analysis undoes a good change and lets a bad one pass.

Two other tests are played on the same windows: a z test at every window as if it were the only look, and the
sequential test without the baseline.

Simulated are dispatchers with uneven traffic (up to three times the mean), shares of their own that differ
from each other (`unlike`), and a flood in the middle of every other rollout that affects old and new ones
alike. Latencies are not simulated.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from math import sqrt

import numpy as np

from eiderfield.rollout.baseline import Baseline
from eiderfield.rollout.canary_analysis import CanaryAnalysis, Decision
from eiderfield.rollout.observation import Observation
from eiderfield.rollout.plan import WatchSettings

Window = list[Observation]
CLASS = "jobs"  # the only class
Z_LIMIT = 2.33  # one-sided at 1%
MIN_VARIANCE = 1e-9
FLOOD_DURATION = 20  # windows
FLOOD_LOSS = 0.3  # of the share in time, and additional traffic
BUSY_TRAFFIC = 3.0  # of one dispatcher, against the mean


@dataclass(frozen=True, slots=True)
class SimulatedStage:
    """A fleet in a stage."""

    dispatchers: int = 8
    new_dispatchers: int = 2
    requests: float = 40.0  # per window and dispatcher, in the mean
    share_in_time: float = 0.93
    unlike: float = 0.01  # standard deviation of the dispatchers' own shares
    worse: float = 0.0  # decrease of the share of the new dispatchers
    windows: int = 120
    baseline_windows: int = 60


@dataclass(frozen=True, slots=True)
class SimulatedWindows:
    """The windows of one rollout."""

    baseline: list[Window]
    stage: list[Window]


def simulate(stage: SimulatedStage, seed: int) -> SimulatedWindows:
    """Return the windows of the rollout of a seed."""
    rng = np.random.default_rng([seed, stage.dispatchers, round(1000 * stage.worse)])
    traffic = rng.uniform(0.4, 1.0, stage.dispatchers)
    traffic[rng.integers(stage.dispatchers)] = BUSY_TRAFFIC
    own_shares = rng.normal(0.0, stage.unlike, stage.dispatchers)
    flood_start, flood_end = 0, 0
    if seed % 2:
        flood_start = int(rng.integers(10, 60))
        flood_end = flood_start + FLOOD_DURATION
    is_new = np.arange(stage.dispatchers) < stage.new_dispatchers
    windows = []
    for number in range(-stage.baseline_windows, stage.windows):
        loss = FLOOD_LOSS if flood_start <= number < flood_end else 0.0
        completed = rng.poisson(stage.requests * traffic * (1.0 + loss))
        worse = stage.worse * is_new * (number >= 0)
        shares = np.clip(stage.share_in_time + own_shares - loss - worse, 0.0, 1.0)
        in_time = rng.binomial(completed, shares)
        windows.append(
            [
                Observation(
                    f"n{index}",
                    bool(is_new[index]),
                    completed={CLASS: int(completed[index])},
                    in_time={CLASS: int(in_time[index])},
                )
                for index in range(stage.dispatchers)
            ]
        )
    return SimulatedWindows(windows[: stage.baseline_windows], windows[stage.baseline_windows :])


def decide_with_baseline(settings: WatchSettings, windows: SimulatedWindows) -> Decision:
    """Return the decision of the analysis, with the difference before the change subtracted."""
    baseline = Baseline([CLASS])
    for window in windows.baseline:
        baseline.add_window(window)
    changing = {observation.dispatcher for observation in windows.stage[0] if observation.is_new}
    return _decide(CanaryAnalysis(settings, [CLASS], offsets=baseline.offsets(changing)), windows.stage)


def decide_without_baseline(settings: WatchSettings, windows: SimulatedWindows) -> Decision:
    """Return the decision of the analysis without what was observed before the change."""
    return _decide(CanaryAnalysis(settings, [CLASS]), windows.stage)


def _decide(analysis: CanaryAnalysis, windows: list[Window]) -> Decision:
    for window in windows:
        assessment = analysis.assess(1.0, window)
        if assessment.decision != Decision.WAIT:
            return assessment.decision
    return Decision.HOLD


def decide_by_z_test(_settings: WatchSettings, windows: SimulatedWindows) -> Decision:
    """Return the decision of a z test on all that was observed so far, repeated at every window."""
    totals = {True: [0, 0], False: [0, 0]}
    for window in windows.stage:
        for observation in window:
            totals[observation.is_new][0] += observation.completed[CLASS]
            totals[observation.is_new][1] += observation.in_time[CLASS]
        (new, new_in_time), (old, old_in_time) = totals[True], totals[False]
        share = (new_in_time + old_in_time) / (new + old)
        standard_error = sqrt(max(MIN_VARIANCE, share * (1.0 - share)) * (1.0 / new + 1.0 / old))
        if (new_in_time / new - old_in_time / old) / standard_error < -Z_LIMIT:
            return Decision.UNDO
    return Decision.GO


TESTS: dict[str, Callable[[WatchSettings, SimulatedWindows], Decision]] = {
    "sequential, with the baseline": decide_with_baseline,
    "sequential, without": decide_without_baseline,
    "z test at every window": decide_by_z_test,
}


def decision_shares(
    rollouts: int, worse: float, unlike: float, settings: WatchSettings | None = None
) -> dict[str, dict[str, float]]:
    """Return the share of simulated rollouts with each decision, by test."""
    settings = settings or WatchSettings()
    stage = SimulatedStage(worse=worse, unlike=unlike)
    words = (Decision.UNDO.value, Decision.HOLD.value, Decision.GO.value)
    counts = {name: dict.fromkeys(words, 0) for name in TESTS}
    for seed in range(rollouts):
        windows = simulate(stage, seed)
        for name, decide in TESTS.items():
            counts[name][decide(settings, windows).value] += 1
    return {
        name: {word: count / rollouts for word, count in by_word.items()} for name, by_word in counts.items()
    }
