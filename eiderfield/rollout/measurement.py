"""Makes windows of what each dispatcher did, from the figures of consoles, which count from a start on.

Performs no I/O and reads no clock. The first figures of a process make no window, nor do those after a time
in which its console did not answer: what it did meanwhile was not observed side by side with the others. A
process that stood still also serves, once it continues, requests that waited for it; it therefore has to warm
up anew from its return on. A window counts if it begins after the warm-up. Where old and new programs do not
both report what was served in time, all that was served counts for both.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from eiderfield.rollout.actions import Version
from eiderfield.rollout.observation import Moments, Observation
from eiderfield.rollout.reconciler import ProcessStatus

Counts = Mapping[str, int]
OUTCOME_FIGURES = ("success", "busy", "failure")  # of a console, by class: all requests that are over


@dataclass(frozen=True, slots=True)
class ProcessReport:
    """What a process's console reports, and what the machine says of the process."""

    status: ProcessStatus
    age: float  # s since its start
    outcomes: Mapping[str, Counts] = field(default_factory=dict)  # by figure and class
    in_time: Counts | None = None  # None where the program does not report it
    latencies: Mapping[str, Sequence[float]] | None = None  # moments of the logarithms of ms; None as above
    descriptors: int = 0
    memory: float = 0.0  # MB
    banned: frozenset[str] = frozenset()  # workers
    violations: Counts = field(default_factory=dict)  # by rule that it broke
    attempts: int | None = None  # written completely to workers; None as above
    cpu_seconds: float = 0.0

    @property
    def completed(self) -> dict[str, int]:
        """The requests that are over, by class."""
        classes = self.outcomes[OUTCOME_FIGURES[0]]
        return {name: sum(self.outcomes[figure][name] for figure in OUTCOME_FIGURES) for name in classes}

    def served(self, only_in_time: bool) -> Counts:
        """Return the requests that were served, or served in time, by class."""
        if only_in_time and self.in_time is not None:
            return self.in_time
        return self.outcomes["success"]


class _ProcessKey(NamedTuple):
    """Names a process of a member."""

    member: str
    pid: int


@dataclass(frozen=True, slots=True)
class _Work:
    """What a process did in a window."""

    completed: Counts = field(default_factory=dict)
    in_time: Counts = field(default_factory=dict)
    latencies: Mapping[str, Moments] = field(default_factory=dict)
    violation: str = ""
    attempts: int | None = None
    cpu_seconds: float = 0.0


class WindowMeter:
    """Makes a window of each poll of all processes."""

    def __init__(self) -> None:
        self._previous: dict[_ProcessKey, ProcessReport] = {}
        self._reports: dict[_ProcessKey, ProcessReport] = {}  # of the present poll
        self._unanswered: set[_ProcessKey] = set()  # whose console did not answer the last poll
        self._age_at_return: dict[_ProcessKey, float] = {}  # when the console answered again
        self._new_pids: dict[str, int] = {}  # by member that is observed as new
        self._banned: dict[str, frozenset[str]] = {}  # by member: what an old process reported last
        self._all_report_in_time = False
        self._all_report_latencies = False

    def add_poll(
        self,
        reports: Mapping[str, Sequence[ProcessReport]],
        changed: Iterable[str],
        stopping: Iterable[int] = (),
    ) -> list[Observation]:
        """Return the window between the last poll and this one.

        Args:
            reports: The processes of each member.
            changed: Members that are observed as their new process; any other as its old one.
            stopping: Pids of processes that were asked to stop, which count for neither version.
        """
        ignored, new_members = set(stopping), set(changed)
        self._previous = self._reports
        self._reports = {
            _ProcessKey(member, report.status.pid): report
            for member, processes in reports.items()
            for report in processes
            if report.status.ready is not None
        }
        answered = self._reports.values()
        self._all_report_in_time = all(report.in_time is not None for report in answered)
        self._all_report_latencies = all(report.latencies is not None for report in answered)
        return [
            self._observe(
                member,
                [report for report in processes if report.status.pid not in ignored],
                Version.NEW if member in new_members else Version.OLD,
            )
            for member, processes in reports.items()
        ]

    def _observe(self, member: str, reports: Iterable[ProcessReport], version: Version) -> Observation:
        is_new = version is Version.NEW
        report = next((report for report in reports if report.status.version is version), None)
        if report is None:
            return Observation(member, is_new, alive=False)
        key = _ProcessKey(member, report.status.pid)
        if report.status.ready is None:
            self._unanswered.add(key)
            return Observation(member, is_new, alive=None, age=report.age)
        if key in self._unanswered:
            self._unanswered.remove(key)
            self._age_at_return[key] = report.age
        previous = self._previous.get(key)
        work = _Work() if previous is None else self._work_between(previous, report)
        age_at_return = self._age_at_return.get(key, 0.0)
        fault = self._check_continuity(member, report, is_new, is_first=previous is None)
        return Observation(
            dispatcher=member,
            is_new=is_new,
            alive=True,
            ready=report.status.ready,
            age=report.age - age_at_return,
            age_before=0.0 if previous is None else previous.age - age_at_return,
            completed=work.completed,
            in_time=work.in_time,
            descriptors=report.descriptors,
            memory=report.memory,
            violation=fault or work.violation,
            latencies=work.latencies,
            attempts=work.attempts,
            cpu_seconds=work.cpu_seconds,
        )

    def _work_between(self, previous: ProcessReport, report: ProcessReport) -> _Work:
        """Return what a process did between two reports."""
        attempts = None
        if report.attempts is not None and previous.attempts is not None:
            attempts = max(0, report.attempts - previous.attempts)
        only_in_time = self._all_report_in_time
        violations = _increase(report.violations, previous.violations)
        return _Work(
            completed=_increase(report.completed, previous.completed),
            in_time=_increase(report.served(only_in_time), previous.served(only_in_time)),
            latencies=self._latencies_between(previous, report),
            violation=", ".join(rule for rule, count in violations.items() if count),
            attempts=attempts,
            cpu_seconds=max(0.0, report.cpu_seconds - previous.cpu_seconds),
        )

    def _latencies_between(self, previous: ProcessReport, report: ProcessReport) -> dict[str, Moments]:
        if not self._all_report_latencies or report.latencies is None or previous.latencies is None:
            return {}
        return {
            name: _moments_increase(moments, previous.latencies.get(name))
            for name, moments in report.latencies.items()
        }

    def _check_continuity(self, member: str, report: ProcessReport, is_new: bool, is_first: bool) -> str:
        """Return a fault that shows between the processes of a member; "" if there is none."""
        previous_pid = self._new_pids.pop(member, None)
        if not is_new:
            self._banned[member] = report.banned
            return ""
        self._new_pids[member] = report.status.pid
        if previous_pid not in (None, report.status.pid):
            return "its process was started again by somebody else"
        forgotten = self._banned.get(member, frozenset()) - report.banned
        return f"it forgot the ban of {', '.join(sorted(forgotten))}" if is_first and forgotten else ""


def _moments_increase(now: Sequence[float], before: Sequence[float] | None) -> Moments:
    count, total, squares = [a - b for a, b in zip(now, before or (0, 0.0, 0.0), strict=True)]
    return Moments(max(0, int(count)), total, squares)


def _increase(now: Counts, before: Counts) -> dict[str, int]:
    return {name: max(0, count - before.get(name, 0)) for name, count in now.items()}
