"""The course of one change: from a look at the whole fleet before it to its end, or back. No I/O, no clock.

Theory of operation. A course is in one phase, and actions as it is told what is there:

    before    all are old and well, and are watched so that what they lacked before is known
    refused   the fleet was ill before the start: nothing was touched                              (an end)
    moving    the dispatchers of a stage are being brought to the new side
    watching  old and new ones side by side, until the judge says go on, hold or undo
    held      too little is known, or seen: somebody decides
    undoing   all that was changed is being brought back
    done      all are new                                                                          (an end)
    undone    all are old again                                                                    (an end)
    stuck     as undone, but for dispatchers that could not be reached, with the reason of each    (an end)

The judge undoes; so does a fault that no chance explains, in any phase between; so does an operator's word at
any time. An operator may also pause (what is begun is finished, nothing else begins), and resume: a held
stage is watched anew, an undoing one goes forward again. `state` is all that another controller needs to go
on: it holds no process and no time, for both are seen anew.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import asdict, dataclass, field
from typing import Any

from eiderfield.rollout.canary_analysis import (
    Baseline,
    CanaryAnalysis,
    Decision,
    Judgement,
    Observation,
    find_fault,
)
from eiderfield.rollout.plan import Plan
from eiderfield.rollout.reconciler import Action, ProcessStatus, Reconciler, Version

ENDS = frozenset({"refused", "done", "undone", "stuck"})
PHASES = ENDS | {"before", "moving", "watching", "held", "undoing"}
COMMANDS = ("pause", "resume", "undo")  # of operators


@dataclass(slots=True)
class RolloutState:
    """What is written down of a course."""

    phase: str = "before"
    stage: int = 0
    why: str = ""
    paused: bool = False
    classes: list[str] = field(default_factory=list)
    before: dict[str, dict[str, dict[str, list[float]]]] = field(default_factory=dict)  # a baseline's counts
    watched: float = 0.0  # s of the present stage
    missing: dict[str, str] = field(default_factory=dict)  # members that could not be brought back, and why

    def encode(self) -> dict[str, Any]:
        """Its stored form."""
        return asdict(self)


def decode_state(told: Mapping[str, Any]) -> RolloutState:
    """A state out of plain values; `ValueError` if they are none."""
    try:
        state = RolloutState(**told)
    except TypeError as error:
        raise ValueError(f"not a state: {error}") from None
    if state.phase not in PHASES:
        raise ValueError(f"no phase: {state.phase!r}")
    return state


class RolloutStateMachine:
    """One change."""

    def __init__(self, plan: Plan, state: RolloutState | None = None) -> None:
        self.plan = plan
        self.state = state or RolloutState()
        self._reconciler = Reconciler(plan)
        self._analysis: CanaryAnalysis | None = None
        self._baseline = Baseline(self.state.classes)
        self._baseline.counts = self.state.before
        self._well_since: float | None = None
        self._ill_since: float | None = None
        if self.state.phase not in ("before", "refused"):
            self._want()
            self._restore()

    @property
    def over(self) -> bool:
        """Whether nothing more is done."""
        return self.state.phase in ENDS

    @property
    def changed(self) -> list[str]:
        """The members that are to be new, or were to be so before they were to go back."""
        last = self.state.stage + 1 if self.state.phase not in ("before", "refused") else 0
        return [name for stage in self.plan.stages[:last] for name in stage]

    @property
    def ending(self) -> set[int]:
        """Processes that were told to end: what they do counts for neither side."""
        return self._reconciler.ending

    @property
    def evidence(self) -> dict[str, float]:
        """Of the present stage, by class."""
        return {} if self._analysis is None else self._analysis.evidence

    def changed_members(self, told: Mapping[str, Sequence[ProcessStatus]]) -> set[str]:
        """The members that are seen as new: those that are to be, once their new process has been ready."""
        if self.state.phase in ("undoing", *ENDS):
            return set()
        now_ready = {
            name for name, there in told.items() if any(x.version is Version.NEW and x.ready for x in there)
        }
        reconciler = self._reconciler
        return {
            name
            for name in self.changed
            if name in now_ready or reconciler.has_current_arrival(name, told.get(name, ()))
        }

    # What operators say.

    def obey(self, command: str) -> str:
        """Obeys an operator's command. Returns why it cannot be obeyed, or ''."""
        state = self.state
        if command == "pause" and not self.over:
            state.paused = True
        elif command == "resume" and state.paused and not self.over:
            state.paused = False
        elif command == "resume" and state.phase == "held":
            self._watch("watched anew, as asked")
        elif command == "resume" and state.phase in ("undoing", "undone", "stuck"):
            state.missing.clear()
            self._to("moving", "forward again, as asked")
        elif command == "undo" and state.phase == "before":
            self._to("undone", "called off before anything changed")
        elif command == "undo" and state.phase not in ("refused", "undone"):
            state.paused = False
            state.missing.clear()
            self._to("undoing", "as asked")
        else:
            return f"{command} says nothing while the change is {state.phase}"
        return ""

    # What is seen.

    def look(
        self,
        now: float,
        span: float,
        found: Mapping[str, Sequence[ProcessStatus]],
        seen: Sequence[Observation],
    ) -> list[Action]:
        """A look at the whole fleet, `span` s after the last: what is to be done now."""
        state = self.state
        if self.over:
            return []
        if state.phase == "before":
            self._look_before(now, found, seen)
        elif state.phase in ("moving", "watching", "held"):
            fault = find_fault(self.plan.watch, [one for one in seen if one.new])
            fault = fault or next((f"{n}: {why}" for n, why in self._reconciler.given_up.items()), None)
            if fault:
                self._to("undoing", fault)
            elif state.phase == "watching" and not state.paused:
                self._look_watching(span, seen)
        if state.paused and state.phase != "undoing":
            return []
        trials = self.plan.watch.max_start_attempts if state.phase == "undoing" else 1
        actions = self._reconciler.step(now, found, trials)
        if state.phase == "moving":
            waited = [name for name in self.changed if not self._reconciler.arrived(name)]
            if not waited and not self._reconciler.given_up:
                self._watch("")
        elif state.phase == "undoing":
            self._look_undoing(found)
        return actions

    def _look_before(
        self, now: float, found: Mapping[str, Sequence[ProcessStatus]], seen: Sequence[Observation]
    ) -> None:
        state, watching = self.state, self.plan.watch
        names = [member.name for member in self.plan.members]
        ill = [name for name in names if not _well(found.get(name, ()))]
        if ill:
            self._ill_since = now if self._ill_since is None else self._ill_since
            self._well_since = None
            if now - self._ill_since > watching.ready_timeout:
                self._to("refused", f"ill before the start: {', '.join(ill)}")
            return
        self._ill_since = None
        classes = sorted({name for one in seen for name in one.asked})
        if self._well_since is None or classes != state.classes:
            self._well_since, state.classes, state.before = now, classes, {}
            self._baseline = Baseline(classes)
        self._baseline.look(seen)
        state.before = self._baseline.counts
        if now - self._well_since >= watching.baseline_duration and not state.paused:
            self._to("moving", "all are well")

    def _look_watching(self, span: float, seen: Sequence[Observation]) -> None:
        state = self.state
        if self._analysis is None:
            stages = len(self.plan.stages)
            offsets = self._baseline.offsets(self.changed)
            self._analysis = CanaryAnalysis(self.plan.watch, state.classes, stages, offsets)
        said: Judgement = self._analysis.look(span, seen)
        state.watched += span
        if said.decision is Decision.UNDO:
            self._to("undoing", said.why)
        elif said.decision is Decision.HOLD:
            self._to("held", said.why)
        elif said.decision is Decision.GO and state.stage + 1 < len(self.plan.stages):
            state.stage += 1
            self._to("moving", said.why)
        elif said.decision is Decision.GO:
            self._to("done", said.why)

    def _look_undoing(self, found: Mapping[str, Sequence[ProcessStatus]]) -> None:
        open_ = [
            name
            for name in self.changed
            if not self._reconciler.arrived(name) and name not in self._reconciler.given_up
        ]
        if open_:
            return
        self.state.missing = dict(self._reconciler.given_up)
        named = "; ".join(f"{name}: {why}" for name, why in self.state.missing.items())
        if named:
            self._to("stuck", f"{self.state.why}. Not brought back: {named}")
        else:
            self._to("undone", self.state.why)

    def _watch(self, why: str) -> None:
        self._analysis = None
        self.state.watched = 0.0
        self._to("watching", why)

    def _to(self, phase: str, why: str) -> None:
        self.state.phase, self.state.why = phase, why or self.state.why
        self.state.paused = False  # an undoing is not held up, and what is asked for begins anew
        if phase in ("moving", "undoing"):
            self._want()

    def _restore(self) -> None:
        """What another controller saw arrive is not brought there anew: if it is gone, that is a fault."""
        settled = {"watching": 1, "held": 1, "moving": 0}.get(self.state.phase)
        if settled is not None:
            for stage in self.plan.stages[: self.state.stage + settled]:
                for name in stage:
                    self._reconciler.has_arrived(name)

    def _want(self) -> None:
        """Tells the mover what is wanted: members back in the reverse of the order in which they changed."""
        back = self.state.phase in ("undoing", "undone", "stuck")
        names = self.changed
        for name in reversed(names) if back else names:
            self._reconciler.want(name, Version.OLD if back else Version.NEW)


def _well(there: Sequence[ProcessStatus]) -> bool:
    return len(there) == 1 and there[0].ready is True and there[0].version is Version.OLD
