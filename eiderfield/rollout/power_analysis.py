"""How often the test stops a good change and lets a bad one pass, over simulated rollouts, beside two others.

The two: a z test at every window as if it were the only look, and the sequential test without what was seen
before the change.

What is simulated: dispatchers with uneven traffic (up to three times the mean), shares of their own
that differ from each other (`unlike`), a flood in the middle of every other rollout that hurts old and new
ones alike.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from math import sqrt

import numpy as np

from eiderfield.rollout.canary_analysis import Baseline, CanaryAnalysis, Decision, Observation
from eiderfield.rollout.plan import WatchSettings

Window = list[Observation]
Z = 2.33  # one-sided at 1%


@dataclass(frozen=True, slots=True)
class World:
    """A fleet in a stage: `jobs` a window and dispatcher on the mean, `good` the share in time."""

    dispatchers: int = 8
    new: int = 2
    jobs: float = 40.0
    good: float = 0.93
    unlike: float = 0.01
    worse: float = 0.0  # of the new ones
    windows: int = 120
    before: int = 60  # windows in which all were old


def windows(world: World, seed: int) -> tuple[list[Window], list[Window]]:
    """The windows of one rollout: before the change, and in the stage."""
    rng = np.random.default_rng([seed, world.dispatchers, round(1000 * world.worse)])
    traffic = rng.uniform(0.4, 1.0, world.dispatchers)
    traffic[rng.integers(world.dispatchers)] = 3.0
    own = rng.normal(0.0, world.unlike, world.dispatchers)
    flood = (rng.integers(10, 60), 20) if seed % 2 else (0, 0)
    found = []
    for window in range(-world.before, world.windows):
        hurt = 0.3 if flood[0] <= window < flood[0] + flood[1] else 0.0
        asked = rng.poisson(world.jobs * traffic * (1.0 + hurt))
        new = np.arange(world.dispatchers) < world.new
        share = np.clip(world.good + own - hurt - world.worse * new * (window >= 0), 0.0, 1.0)
        in_time = rng.binomial(asked, share)
        found.append(
            [
                Observation(
                    f"n{n}", bool(new[n]), asked={"jobs": int(asked[n])}, in_time={"jobs": int(in_time[n])}
                )
                for n in range(world.dispatchers)
            ]
        )
    return found[: world.before], found[world.before :]


def sequential(settings: WatchSettings, before: list[Window], seen: list[Window]) -> Decision:
    """The judge's test, with the difference before the change taken off."""
    baseline = Baseline(["jobs"])
    for window in before:
        baseline.look(window)
    changing = {one.name for one in seen[0] if one.new}
    return _sequential(CanaryAnalysis(settings, ["jobs"], offsets=baseline.offsets(changing)), seen)


def without_baseline(settings: WatchSettings, before: list[Window], seen: list[Window]) -> Decision:
    """The same without what was seen before the change."""
    return _sequential(CanaryAnalysis(settings, ["jobs"]), seen)


def _sequential(judge: CanaryAnalysis, seen: list[Window]) -> Decision:
    for window in seen:
        said = judge.look(1.0, window)
        if said.decision != Decision.WAIT:
            return said.decision
    return Decision.HOLD


def z_test(settings: WatchSettings, before: list[Window], seen: list[Window]) -> Decision:
    """A z test on all that has come, at every window; it goes on when the time to watch is over."""
    totals = {True: [0, 0], False: [0, 0]}
    for window in seen:
        for one in window:
            totals[one.new][0] += one.asked["jobs"]
            totals[one.new][1] += one.in_time["jobs"]
        (n, good), (m, fine) = totals[True], totals[False]
        whole = (good + fine) / (n + m)
        error = sqrt(max(1e-9, whole * (1.0 - whole)) * (1.0 / n + 1.0 / m))
        if (good / n - fine / m) / error < -Z:
            return Decision.UNDO
    return Decision.GO


TESTS: dict[str, Callable[[WatchSettings, list[Window], list[Window]], Decision]] = {
    "sequential, with the baseline": sequential,
    "sequential, without": without_baseline,
    "z test at every window": z_test,
}


def weigh(
    rollouts: int, worse: float, unlike: float, settings: WatchSettings | None = None
) -> dict[str, dict[str, float]]:
    """Shares of rollouts that each test undid, held and let go on, by test."""
    settings = settings or WatchSettings()
    world = World(worse=worse, unlike=unlike)
    counts = {name: dict.fromkeys(("undo", "hold", "go on"), 0) for name in TESTS}
    for seed in range(rollouts):
        before, seen = windows(world, seed)
        for name, test in TESTS.items():
            counts[name][test(settings, before, seen).value] += 1
    return {name: {word: count / rollouts for word, count in found.items()} for name, found in counts.items()}
