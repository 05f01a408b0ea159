"""Whether a stage of a rolling change goes on, waits, is held or is undone. No I/O, no clock, no chance.

Theory of operation. It is told windows: what each dispatcher did in the same span of time, old and new ones
side by side. Two things are measured for each class: the share served in time, and the mean logarithm of how
long served jobs took. d is by how much the new ones are worse in a window. What hurts both, a flood or a lost
zone, does not show in d. The evidence is a sequential probability ratio test between "no worse" (mean of d is
0) and "worse" (mean of d is `worse`, or the logarithm of 1 + `slower`), with the variance of d from what was
seen, times how much more the old ones differ from each other than chance makes them: where traffic is uneven
or workers are unlike, it is this spread that a canary has to stand out from.

    evidence >= log((1 - missed) / (false_stop / tests))     worse: undo
    evidence <= log(missed / (1 - false_stop / tests))       no worse: this test is over
    neither when the time to watch is over                     hold: lack of evidence is not a pass

`false_stop` is the chance of the whole change, so each stage gets its part of it. What no chance explains
undoes at once: a new dispatcher that does not get ready, is gone, breaks a rule, or holds far more
descriptors or memory than any old one. Figures that cannot be had are no figures: while less than half of a
group is seen, the answer is wait, and hold in the end. Where little is asked for, windows are put together
until they say something. In the last stage no old ones are left: it is watched for what no chance explains,
until its dispatchers are warm.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from functools import reduce
from math import log

from eiderfield.rollout.plan import WatchSettings

LEAST_LEGS_JOBS = 100  # on either group, for legs a job to be compared: with 100, a third more is no chance
LEAST_JOBS = 5  # of a class on either group, for a window to say anything of it; windows are made that long
FADE = 0.9  # of what is known of the old ones' spread, from window to window
LEAST_SHARE = 0.02  # at which a share is taken for the variance: none failed of few says little
LEAST_LOG = 0.05  # the same for the variance of how long jobs take: all alike of few says little
ALIKE = 0.2  # of what counts as worse, by which dispatchers are taken to differ by themselves
SHARE, WAITS = "share", "waits"  # what is measured

Moments = tuple[int, float, float]  # a count, a sum, and a sum of squares


class Decision(Enum):
    """What is to be done."""

    GO = "go on"
    WAIT = "wait"
    HOLD = "hold"
    UNDO = "undo"


@dataclass(frozen=True, slots=True)
class Observation:
    """One dispatcher in one window. `asked` and `in_time` are counts by class within the window; None of
    `alive` says that its console could not be reached, which is not to say that it is gone."""

    name: str
    new: bool
    alive: bool | None = True
    ready: bool = True
    since_start: float = 1e9  # s since it was started
    asked: Mapping[str, int] = field(default_factory=dict)
    in_time: Mapping[str, int] = field(default_factory=dict)
    descriptors: int = 0
    memory: float = 0.0
    broken: str = ""  # a rule that it broke
    waits: Mapping[str, Moments] = field(default_factory=dict)  # by class, of the logarithms of ms it took
    legs: int | None = None  # written to workers in this window, None where that is not told
    processor: float = 0.0  # s used in this window

    def moments(self, name: str, measure: str) -> Moments:
        """What a class showed in this window."""
        if measure == WAITS:
            return self.waits.get(name, (0, 0.0, 0.0))
        good = self.in_time.get(name, 0)
        return self.asked.get(name, 0), float(good), float(good)

    def watched(self, settle: float) -> bool:
        """Whether its counts say something: seen, and warm."""
        return self.alive is True and self.since_start >= settle


@dataclass(frozen=True, slots=True)
class Judgement:
    """What is to be done, and why, in words for operators."""

    decision: Decision
    why: str


Test = tuple[str, str]  # a class, and what is measured of it


class Baseline:
    """How those that are to change differ from the others while all are old."""

    def __init__(self, classes: Sequence[str]) -> None:
        self._classes = tuple(classes)
        # By dispatcher, class and what is measured: its moments.
        self.counts: dict[str, dict[str, dict[str, list[float]]]] = {}

    def look(self, seen: Sequence[Observation]) -> None:
        """A window before the change."""
        for one in [one for one in seen if one.alive]:
            mine = self.counts.setdefault(one.name, {name: {} for name in self._classes})
            for name, measures in mine.items():
                for measure in (SHARE, WAITS):
                    moments = measures.setdefault(measure, [0, 0.0, 0.0])
                    moments[:] = _sum(moments, one.moments(name, measure))

    def offsets(self, changing: Collection[str]) -> dict[Test, tuple[float, float]]:
        """What a `CanaryAnalysis` is given: by how much those that change were worse, and the variance of
        that. A test for which too little was seen has no offset, and no doubt of it."""
        found = {}
        for name in self._classes:
            for measure in (SHARE, WAITS):
                groups: dict[bool, list[float]] = {True: [0, 0.0, 0.0], False: [0, 0.0, 0.0]}
                for dispatcher, counts in self.counts.items():
                    groups[dispatcher in changing] = _sum(
                        groups[dispatcher in changing], counts[name][measure]
                    )
                if min(groups[True][0], groups[False][0]) >= LEAST_JOBS:
                    chance = _variance(measure, _sum(groups[True], groups[False]))
                    doubt = chance * (1.0 / groups[True][0] + 1.0 / groups[False][0])
                    found[name, measure] = (_worse(measure, groups[True], groups[False]), doubt)
        return found


def _sum(one: Sequence[float], other: Sequence[float]) -> list[float]:
    return [a + b for a, b in zip(one, other, strict=True)]


def _variance(measure: str, moments: Sequence[float]) -> float:
    """Of a single job."""
    n, s, q = moments
    if measure == WAITS:
        return max(LEAST_LOG, q / n - (s / n) ** 2)
    share = min(1.0 - LEAST_SHARE, max(LEAST_SHARE, s / n))
    return share * (1.0 - share)


def _believed(worse: float, seen: tuple[float, float] | None) -> tuple[float, float]:
    """How much those that change differed before, and the doubt of it, in the light of what was seen of it.

    Before anything is seen they are taken to differ by ALIKE of what counts as worse: without that, a short
    baseline would leave a doubt that no watching could ever outweigh."""
    if seen is None:
        return 0.0, 0.0
    d, doubt = seen
    weight = (ALIKE * worse) ** 2 / ((ALIKE * worse) ** 2 + doubt)
    return d * weight, doubt * weight


def _worse(measure: str, new: Sequence[float], old: Sequence[float]) -> float:
    """By how much the new ones are worse."""
    d = new[1] / new[0] - old[1] / old[0]
    return d if measure == WAITS else -d


@dataclass(slots=True)
class _Test:
    """One test of one class."""

    measure: str
    worse: float
    offset: float = 0.0  # of those that change, before they do
    doubt: float = 0.0  # its variance
    known: float = 0.0  # 1 / variance of the mean difference so far
    sum: float = 0.0  # of differences, each times what it adds to `known`
    evidence: float = 0.0
    spread: float = 1.0
    cleared: bool = False
    jobs: int = 0
    pending: dict[str, tuple[bool, list[float]]] = field(default_factory=dict)  # not weighed yet

    def weigh(self, name: str, seen: Sequence[Observation]) -> None:
        """A further window, or a part of one that says nothing by itself."""
        for one in seen:
            before = self.pending[one.name][1] if one.name in self.pending else (0, 0.0, 0.0)
            self.pending[one.name] = (one.new, _sum(before, one.moments(name, self.measure)))
        groups: dict[bool, list[list[float]]] = {True: [], False: []}
        for new, moments in self.pending.values():
            groups[new].append(moments)
        total = {new: reduce(_sum, group, [0, 0.0, 0.0]) for new, group in groups.items()}
        n, m = total[True][0], total[False][0]
        if min(n, m) < LEAST_JOBS:
            return
        self.pending.clear()
        self.jobs += int(n)
        chance = _variance(self.measure, _sum(total[True], total[False]))
        self._spread([x for x in groups[False] if x[0] >= LEAST_JOBS], total[False][1] / m, chance)
        variance = chance * self.spread * (1.0 / n + 1.0 / m)
        self.known += 1.0 / variance
        self.sum += _worse(self.measure, total[True], total[False]) / variance
        d = self.sum / self.known - self.offset
        self.evidence = (self.worse * d - self.worse**2 / 2.0) / (1.0 / self.known + self.doubt)

    def _spread(self, old: Sequence[Sequence[float]], mean: float, chance: float) -> None:
        """How much more the old ones differ from each other than chance makes them; 1 at the least."""
        if len(old) < 2:
            return
        seen = sum(n * (s / n - mean) ** 2 for n, s, _ in old) / ((len(old) - 1) * chance)
        self.spread = max(1.0, FADE * self.spread + (1.0 - FADE) * seen)


def find_fault(settings: WatchSettings, seen: Sequence[Observation]) -> str | None:
    """What a new dispatcher shows that no chance explains, None where there is nothing of the kind."""
    old = [one for one in seen if not one.new and one.alive]
    for one in [one for one in seen if one.new]:
        if one.broken:
            return f"{one.name} broke a rule: {one.broken}"
        if one.alive is False:
            return f"{one.name} is gone"
        if one.alive and not one.ready and one.since_start > settings.ready_timeout:
            return f"{one.name} is not ready after {one.since_start:.0f} s"
        ratios = {"descriptors": settings.max_descriptor_ratio, "memory": settings.max_memory_ratio}
        for what, ratio in ratios.items():
            most = max((getattr(other, what) for other in old), default=0)
            if most and getattr(one, what) > ratio * most:
                return f"{one.name} holds {getattr(one, what):g} of {what}, no old one more than {most:g}"
    return None


class CanaryAnalysis:
    """One stage of a change."""

    def __init__(
        self,
        settings: WatchSettings,
        classes: Sequence[str],
        stages: int = 1,
        offsets: Mapping[Test, tuple[float, float]] | None = None,
    ) -> None:
        self._settings = settings
        sizes = {SHARE: settings.in_time_drop, WAITS: log(1.0 + settings.latency_increase)}
        self._tests = {
            (name, measure): _Test(measure, size, *_believed(size, (offsets or {}).get((name, measure))))
            for name in classes
            for measure, size in sizes.items()
        }
        chance = settings.false_positive_rate / max(1, len(self._tests) * stages)
        self._worse_at = log((1.0 - settings.false_negative_rate) / chance)
        self._cleared_at = log(settings.false_negative_rate / (1.0 - chance))
        self._watched = 0.0
        # By group: jobs over, legs, and s of processor.
        self._legs: dict[bool, list[float]] = {True: [0, 0, 0.0], False: [0, 0, 0.0]}

    @property
    def evidence(self) -> dict[str, float]:
        """By class and test, the logarithm of how much likelier "worse" is than "no worse"."""
        return {
            name if measure == SHARE else f"{name}, {measure}": test.evidence
            for (name, measure), test in self._tests.items()
        }

    def look(self, span: float, seen: Sequence[Observation]) -> Judgement:
        """A further window of `span` s."""
        if (fault := find_fault(self._settings, seen)) is not None:
            return Judgement(Decision.UNDO, fault)
        self._watched += span
        over = self._watched >= self._settings.max_duration
        if seen and all(one.new for one in seen):
            unseen = [one.name for one in seen if not one.watched(self._settings.warm_up)]
            if not unseen:
                return Judgement(Decision.GO, "all have changed, and none shows a fault")
            return Judgement(
                Decision.HOLD if over else Decision.WAIT, f"not seen yet, or not warm: {', '.join(unseen)}"
            )
        for new in (True, False):
            group = [one for one in seen if one.new is new]
            if not group or 2 * sum(one.alive is True for one in group) < len(group):
                why = f"fewer than half of the {'new' if new else 'old'} ones can be seen"
                return Judgement(Decision.HOLD if over else Decision.WAIT, why)
        counted = [one for one in seen if one.watched(self._settings.warm_up)]
        if (many := self._by_job(counted)) is not None:
            return Judgement(Decision.UNDO, many)
        for (name, measure), test in self._tests.items():
            test.weigh(name, counted)
            if test.evidence >= self._worse_at:
                less = f"served in time less by about {self._settings.in_time_drop:.0%}"
                slow = f"slower by about {self._settings.latency_increase:.0%}"
                return Judgement(Decision.UNDO, f"class {name}: {less if measure == SHARE else slow}")
            test.cleared = test.cleared or test.evidence <= self._cleared_at
        return self._standing(over)

    def _by_job(self, counted: Sequence[Observation]) -> str | None:
        """Whether new ones send jobs far more often than old ones, or use far more processor for one: that
        shows before any job is late. Both groups need so many jobs that chance explains no such ratio."""
        for one in [one for one in counted if one.legs is not None]:
            self._legs[one.new][0] += sum(one.asked.values())
            self._legs[one.new][1] += one.legs or 0
            self._legs[one.new][2] += one.processor
        (n, new, used), (m, old, used_before) = self._legs[True], self._legs[False]
        if min(n, m) < LEAST_LEGS_JOBS:
            return None
        if new / n > self._settings.max_attempt_ratio * max(1.0, old / m):
            return f"new ones send {new / n:.2f} legs a job, old ones {old / m:.2f}"
        if used / n > self._settings.max_cpu_ratio * used_before / m > 0.0:
            each, before = 1000.0 * used / n, 1000.0 * used_before / m
            return f"new ones use {each:.1f} ms of processor a job, old ones {before:.1f}"
        return None

    def _standing(self, over: bool) -> Judgement:
        """What follows where no test says "worse"."""
        told = any(test.jobs for (_, measure), test in self._tests.items() if measure == WAITS)
        tests = {key: test for key, test in self._tests.items() if told or key[1] == SHARE}
        open_ = [key for key, test in tests.items() if not test.cleared]
        names = ", ".join(sorted({name for name, _ in open_}))
        few = min(jobs for jobs, _, _ in self._legs.values())
        told_ = any(legs for _, legs, _ in self._legs.values())
        if not open_ and not over and told_ and few < LEAST_LEGS_JOBS:
            return Judgement(Decision.WAIT, f"legs a job are known of {few:.0f} jobs alone")
        if not open_:
            return Judgement(Decision.GO, "no class is worse")
        if not over:
            return Judgement(Decision.WAIT, f"not enough is known of {names}")
        # A class that nobody asked for is no reason to stand still for ever.
        if not any(tests[key].jobs for key in open_) and len(open_) < len(tests):
            return Judgement(Decision.GO, f"no class is worse; nobody asked for {names}")
        return Judgement(Decision.HOLD, f"too little is known of {names} after {self._watched:.0f} s")
