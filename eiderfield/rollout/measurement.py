"""From the figures of consoles, which count since a process began, to windows of what each dispatcher did.

No I/O, no clock. A process's first figures say nothing, nor do those after a time in which it could not be
asked: what it did meanwhile was not seen side by side with what the others did. One that stood still also
serves, once it goes on, jobs that waited for it; so from its return on it is taken for one that has just
started, and settles anew. Where old and new programs
do not both tell what was served in time, all that was served counts for both.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from eiderfield.rollout.canary_analysis import Moments, Observation
from eiderfield.rollout.reconciler import ProcessStatus, Version

Counts = Mapping[str, int]
OVER = ("success", "busy", "failure")  # figures of a console, by class: all jobs that are over


@dataclass(frozen=True, slots=True)
class ProcessReport:
    """What a process's console said, and what the machine says of the process.

    `age` in s since its start, `memory` in MB. `in_time` is None where the program does not tell it."""

    found: ProcessStatus
    age: float
    figures: Mapping[str, Counts] = field(default_factory=dict)
    in_time: Counts | None = None
    waits: Mapping[str, Sequence[float]] | None = None  # count, sum, sum of squares of the logarithms of ms
    descriptors: int = 0
    memory: float = 0.0
    banned: frozenset[str] = frozenset()
    broken: Counts = field(default_factory=dict)  # how often it broke which rule
    legs: int | None = None  # written whole to workers
    processor: float = 0.0  # s that it has used


@dataclass(frozen=True, slots=True)
class _Work:
    """What a process did in a window."""

    asked: Mapping[str, int] = field(default_factory=dict)
    good: Mapping[str, int] = field(default_factory=dict)
    waits: Mapping[str, Moments] = field(default_factory=dict)
    broken: str = ""
    attempts: int | None = None
    processor: float = 0.0


class WindowMeter:
    """Makes windows. `classes` are found at the first figures."""

    def __init__(self) -> None:
        self._before: dict[tuple[str, int], ProcessReport] = {}
        self._away: set[tuple[str, int]] = set()  # processes that could not be asked at the last look
        self._back: dict[tuple[str, int], float] = {}  # their age when they could be asked again
        self._pids: dict[str, int] = {}  # of members that are seen as new
        self._waits = False  # whether all programs tell how long jobs took
        self._banned: dict[str, frozenset[str]] = {}  # by member, what an old process said last

    def look(
        self, told: Mapping[str, Sequence[ProcessReport]], changed: Iterable[str], ending: Iterable[int] = ()
    ) -> list[Observation]:
        """A window. A member that has changed is seen as its new process, any other as its old one."""
        ending, new = set(ending), set(changed)
        before, self._before = self._before, {}
        for name, processes in told.items():
            for one in processes:
                if one.found.ready is not None:
                    self._before[name, one.found.pid] = one
        in_time = all(one.in_time is not None for one in self._before.values())
        self._waits = all(one.waits is not None for one in self._before.values())
        return [
            self._observe(name, processes, name in new, before, in_time, ending)
            for name, processes in told.items()
        ]

    def _observe(
        self,
        name: str,
        reports: Sequence[ProcessReport],
        new: bool,
        before: Mapping[tuple[str, int], ProcessReport],
        in_time: bool,
        ending: set[int],
    ) -> Observation:
        version = Version.NEW if new else Version.OLD
        current = [one for one in reports if one.found.version is version and one.found.pid not in ending]
        if not current:
            return Observation(name, new, alive=False)
        one, key = current[0], (name, current[0].found.pid)
        if one.found.ready is None:
            self._away.add(key)
            return Observation(name, new, alive=None, since_start=one.age)
        if key in self._away:
            self._away.remove(key)
            self._back[key] = one.age
        last = before.get(key)
        work = _Work() if last is None else self._work_between(last, one, in_time)
        broken = self._restart_or_forgotten_ban(name, one, new, last is None) or work.broken
        since_start = one.age - self._back.get(key, 0.0)
        return Observation(
            name,
            new,
            True,
            bool(one.found.ready),
            since_start,
            work.asked,
            work.good,
            one.descriptors,
            one.memory,
            broken,
            work.waits,
            work.attempts,
            work.processor,
        )

    def _work_between(self, last: ProcessReport, one: ProcessReport, in_time: bool) -> _Work:
        """What a process did between two reports."""
        attempts = None
        if one.legs is not None and last.legs is not None:
            attempts = max(0, one.legs - last.legs)
        served = one.in_time if in_time and one.in_time is not None else one.figures["success"]
        earlier = last.in_time if in_time and last.in_time is not None else last.figures["success"]
        waits: dict[str, Moments] = {}
        if self._waits and one.waits is not None and last.waits is not None:
            waits = {name: _less(now, last.waits.get(name)) for name, now in one.waits.items()}
        return _Work(
            asked=_more(_over(one), _over(last)),
            good=_more(served, earlier),
            waits=waits,
            broken=", ".join(rule for rule, more in _more(one.broken, last.broken).items() if more),
            attempts=attempts,
            processor=max(0.0, one.processor - last.processor),
        )

    def _restart_or_forgotten_ban(self, name: str, one: ProcessReport, new: bool, is_first: bool) -> str:
        """A fault that shows between a member's processes, '' for none."""
        pid_before = self._pids.pop(name, None)
        if not new:
            self._banned[name] = one.banned
            return ""
        self._pids[name] = one.found.pid
        if pid_before not in (None, one.found.pid):
            return "its process was started again by somebody else"
        forgotten = self._banned.get(name, frozenset()) - one.banned
        return f"it forgot the ban of {', '.join(sorted(forgotten))}" if is_first and forgotten else ""


def _over(told: ProcessReport) -> dict[str, int]:
    names = told.figures[OVER[0]]
    return {name: sum(told.figures[figure][name] for figure in OVER) for name in names}


def _less(now: Sequence[float], before: Sequence[float] | None) -> Moments:
    n, s, q = [a - b for a, b in zip(now, before or (0, 0.0, 0.0), strict=True)]
    return max(0, int(n)), s, q


def _more(now: Counts, before: Counts) -> dict[str, int]:
    return {name: max(0, count - before.get(name, 0)) for name, count in now.items()}
