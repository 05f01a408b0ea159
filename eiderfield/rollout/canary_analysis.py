"""Decides whether a stage of a rolling change goes on, waits, is held or is undone.

Performs no I/O, reads no clock and draws no random numbers. Its input are windows: what each dispatcher did
in the same span of time, new and old ones side by side, so that a flood or a lost zone, which affects both,
shows in no difference.

Two measures are compared for each class, by sequential tests (`sequential_test.py`): the share served in time
and the mean logarithm of latency. With alpha the false positive rate of one test and beta the false negative
rate, Wald's bounds on the log-likelihood ratio are

    ratio >= log((1 - beta) / alpha)    worse, after `MIN_COMPARISON_S` at the earliest: undo
    ratio <= log(beta / (1 - alpha))    no worse: this test is cleared
    neither, when the time is over      hold: lack of evidence is no pass

The plan's false positive rate is that of the whole change; each test of each stage gets an equal part of it.

What chance cannot explain undoes at once: a new dispatcher that is gone, does not get ready, breaks a rule,
or holds far more descriptors or memory than any old one; new ones that need far more attempts or CPU per
request. While fewer than half of a group answer, the decision is to wait, and to hold in the end. In the last
stage no old dispatchers are left: it is watched for such faults until its dispatchers are warm.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from math import log

from eiderfield.rollout.baseline import MeasureKey
from eiderfield.rollout.observation import Measure, Observation
from eiderfield.rollout.plan import WatchSettings
from eiderfield.rollout.sequential_test import Offset, SequentialTest

MIN_COMPARISON_S = 5.0  # of watching, before a class is called worse: longer than a moment of overload
MIN_COST_REQUESTS = 100  # of either group, for costs per request to be compared


class Decision(Enum):
    """What to do with a stage."""

    GO = "go on"
    WAIT = "wait"
    HOLD = "hold"
    UNDO = "undo"


@dataclass(frozen=True, slots=True)
class Assessment:
    """A decision, and its reason for operators."""

    decision: Decision
    reason: str


@dataclass(slots=True)
class _Costs:
    """What the requests of a group cost. Only programs that report their attempts are counted."""

    requests: int = 0
    attempts: int = 0
    cpu_seconds: float = 0.0

    def add(self, observation: Observation) -> None:
        if observation.attempts is not None:
            self.requests += sum(observation.completed.values())
            self.attempts += observation.attempts
            self.cpu_seconds += observation.cpu_seconds


def find_fault(settings: WatchSettings, observations: Sequence[Observation]) -> str | None:
    """Return a fault of a new dispatcher that chance cannot explain; None if there is none."""
    old = [observation for observation in observations if not observation.is_new and observation.alive]
    for new in [observation for observation in observations if observation.is_new]:
        fault = _process_fault(settings, new) or _resource_fault(settings, new, old)
        if fault:
            return fault
    return None


def _process_fault(settings: WatchSettings, new: Observation) -> str | None:
    if new.violation:
        return f"{new.dispatcher} broke a rule: {new.violation}"
    if new.alive is False:
        return f"{new.dispatcher} is gone"
    if new.alive and not new.ready and new.age > settings.ready_timeout:
        return f"{new.dispatcher} is not ready after {new.age:.0f} s"
    return None


def _resource_fault(settings: WatchSettings, new: Observation, old: Sequence[Observation]) -> str | None:
    most_descriptors = max((other.descriptors for other in old), default=0)
    if most_descriptors and new.descriptors > settings.max_descriptor_ratio * most_descriptors:
        return (
            f"{new.dispatcher} holds {new.descriptors} descriptors, no old one more than {most_descriptors}"
        )
    most_memory = max((other.memory for other in old), default=0.0)
    if most_memory and new.memory > settings.max_memory_ratio * most_memory:
        return f"{new.dispatcher} holds {new.memory:g} MB of memory, no old one more than {most_memory:g}"
    return None


class CanaryAnalysis:
    """The analysis of one stage of a change.

    Args:
        settings: The limits of the plan.
        classes: The classes of requests to compare.
        stages: The number of stages of the change.
        offsets: How the changing dispatchers differed from the others before the change, by test.
    """

    def __init__(
        self,
        settings: WatchSettings,
        classes: Sequence[str],
        stages: int = 1,
        offsets: Mapping[MeasureKey, Offset] | None = None,
    ) -> None:
        self._settings = settings
        self._tests = _make_tests(settings, classes, offsets or {})
        alpha = settings.false_positive_rate / max(1, len(self._tests) * stages)
        beta = settings.false_negative_rate
        self._upper_bound = log((1.0 - beta) / alpha)
        self._lower_bound = log(beta / (1.0 - alpha))
        self._watched = 0.0
        self._new_costs = _Costs()
        self._old_costs = _Costs()

    @property
    def log_likelihood_ratios(self) -> dict[str, float]:
        """By class and measure, how much likelier "worse" is than "no worse"."""
        return {
            name if measure is Measure.IN_TIME_SHARE else f"{name}, {measure}": test.log_likelihood_ratio
            for (name, measure), test in self._tests.items()
        }

    def assess(self, duration: float, observations: Sequence[Observation]) -> Assessment:
        """Add a window of `duration` s and return the decision after it."""
        if (fault := find_fault(self._settings, observations)) is not None:
            return Assessment(Decision.UNDO, fault)
        self._watched += duration
        if observations and all(observation.is_new for observation in observations):
            return self._assess_last_stage(observations)
        for is_new in (True, False):
            if not _is_mostly_alive(observations, is_new):
                age = "new" if is_new else "old"
                return self._wait_or_hold(f"fewer than half of the {age} dispatchers can be seen")
        counted = [observation for observation in observations if observation.counts(self._settings.warm_up)]
        if (fault := self._compare_costs(counted)) is not None:
            return Assessment(Decision.UNDO, fault)
        if (fault := self._run_tests(counted)) is not None:
            return Assessment(Decision.UNDO, fault)
        return self._assess_open_tests()

    @property
    def _is_over(self) -> bool:
        return self._watched >= self._settings.max_duration

    def _wait_or_hold(self, reason: str) -> Assessment:
        return Assessment(Decision.HOLD if self._is_over else Decision.WAIT, reason)

    def _assess_last_stage(self, observations: Sequence[Observation]) -> Assessment:
        cold = [
            observation.dispatcher
            for observation in observations
            if not observation.counts(self._settings.warm_up)
        ]
        if cold:
            return self._wait_or_hold(f"not seen yet, or not warm: {', '.join(cold)}")
        return Assessment(Decision.GO, "all have changed, and none shows a fault")

    def _compare_costs(self, observations: Sequence[Observation]) -> str | None:
        """Return how new dispatchers need far more attempts or CPU per request; None if they do not.

        This shows before any request is late. Both groups need so many requests that chance explains no such
        ratio.
        """
        new, old = self._new_costs, self._old_costs
        for observation in observations:
            (new if observation.is_new else old).add(observation)
        if min(new.requests, old.requests) < MIN_COST_REQUESTS:
            return None
        new_attempts, old_attempts = new.attempts / new.requests, old.attempts / old.requests
        if new_attempts > self._settings.max_attempt_ratio * max(1.0, old_attempts):
            return f"new ones make {new_attempts:.2f} attempts per request, old ones {old_attempts:.2f}"
        new_cpu, old_cpu = new.cpu_seconds / new.requests, old.cpu_seconds / old.requests
        if new_cpu > self._settings.max_cpu_ratio * old_cpu > 0.0:
            new_ms, old_ms = 1000.0 * new_cpu, 1000.0 * old_cpu
            return f"new ones use {new_ms:.1f} ms of CPU per request, old ones {old_ms:.1f}"
        return None

    def _run_tests(self, observations: Sequence[Observation]) -> str | None:
        """Add a window to all tests. Returns what is worse; None if no test rejects H0."""
        for (class_name, measure), test in self._tests.items():
            test.add_window(class_name, observations)
            if self._watched >= MIN_COMPARISON_S and test.is_worse(self._upper_bound):
                return f"class {class_name}: {self._describe(measure)}"
            test.cleared = test.cleared or test.log_likelihood_ratio <= self._lower_bound
        return None

    def _describe(self, measure: Measure) -> str:
        if measure is Measure.IN_TIME_SHARE:
            return f"served in time less by about {self._settings.in_time_drop:.0%}"
        return f"slower by about {self._settings.latency_increase:.0%}"

    def _assess_open_tests(self) -> Assessment:
        """Return the decision where no test rejects H0."""
        tests = self._applicable_tests()
        open_tests = [key for key, test in tests.items() if not test.cleared]
        if not open_tests and not self._is_over and self._needs_costs():
            requests = min(self._new_costs.requests, self._old_costs.requests)
            return Assessment(Decision.WAIT, f"attempts per request are known of {requests} requests alone")
        if not open_tests:
            return Assessment(Decision.GO, "no class is worse")
        names = ", ".join(sorted({class_name for class_name, _ in open_tests}))
        if not self._is_over:
            return Assessment(Decision.WAIT, f"not enough is known of {names}")
        # A class without requests must not hold the change for ever.
        has_samples = any(tests[key].new_samples for key in open_tests)
        if not has_samples and len(open_tests) < len(tests):
            return Assessment(Decision.GO, f"no class is worse; nobody asked for {names}")
        return Assessment(Decision.HOLD, f"too little is known of {names} after {self._watched:.0f} s")

    def _applicable_tests(self) -> Mapping[MeasureKey, SequentialTest]:
        """Return all tests, without those of latency where no program reports it."""
        latency_tests = [test for key, test in self._tests.items() if key.measure is Measure.LOG_LATENCY]
        if any(test.new_samples for test in latency_tests):
            return self._tests
        return {key: test for key, test in self._tests.items() if key.measure is Measure.IN_TIME_SHARE}

    def _needs_costs(self) -> bool:
        new, old = self._new_costs, self._old_costs
        return bool(new.attempts or old.attempts) and min(new.requests, old.requests) < MIN_COST_REQUESTS


def _make_tests(
    settings: WatchSettings, classes: Sequence[str], offsets: Mapping[MeasureKey, Offset]
) -> dict[MeasureKey, SequentialTest]:
    effect_sizes = {
        Measure.IN_TIME_SHARE: settings.in_time_drop,
        Measure.LOG_LATENCY: log(1.0 + settings.latency_increase),
    }
    tests = {}
    for class_name in classes:
        for measure, effect_size in effect_sizes.items():
            key = MeasureKey(class_name, measure)
            offset = offsets[key].shrunk(effect_size) if key in offsets else Offset()
            tests[key] = SequentialTest(measure, effect_size, offset)
    return tests


def _is_mostly_alive(observations: Sequence[Observation], is_new: bool) -> bool:
    """Return whether at least half of the new, or old, dispatchers answer; False if there are none."""
    group = [observation for observation in observations if observation.is_new is is_new]
    return bool(group) and 2 * sum(observation.alive is True for observation in group) >= len(group)
