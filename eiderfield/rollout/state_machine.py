"""The state machine of one rolling change: the baseline, the stages and, after a fault, the rollback.

The state machine performs no I/O and reads no clock. Its phases:

    before    waits until all dispatchers run the old version and are ready, and measures the baseline
    refused   the fleet was not healthy before the start, and nothing was changed               (final)
    moving    the dispatchers of the current stage are being brought to the new version
    watching  new and old dispatchers are compared until the analysis decides
    held      the analysis had too few observations to decide, and an operator has to
    undoing   all changed dispatchers are being brought back to the old version
    done      all dispatchers run the new version                                               (final)
    undone    all dispatchers run the old version again                                         (final)
    stuck     the undo has ended, but some dispatchers could not be brought back                (final)

A change is undone when the analysis decides so, when a new dispatcher has a fault that chance cannot explain
(in the phases `moving`, `watching` and `held`), when a dispatcher cannot be brought to the new version, or by
an operator's command at any time. An operator may also pause a change: the actions that have begun are
finished, and no others begin. The command to resume continues a paused change, repeats the comparison of a
held stage, and lets a change that is being undone, or was undone, go forward again.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from eiderfield.rollout.actions import Action, Version
from eiderfield.rollout.baseline import Baseline
from eiderfield.rollout.canary_analysis import CanaryAnalysis, Decision, find_fault
from eiderfield.rollout.observation import Observation
from eiderfield.rollout.operator_command import OperatorCommand
from eiderfield.rollout.plan import Plan
from eiderfield.rollout.reconciler import ProcessStatus, Reconciler
from eiderfield.rollout.state import FINAL_PHASES, Phase, RolloutState

Processes = Mapping[str, Sequence[ProcessStatus]]  # by member

_PHASES_BEFORE_START = (Phase.BEFORE, Phase.REFUSED)
_FORWARD_PHASES = (Phase.MOVING, Phase.WATCHING, Phase.HELD)
_ROLLBACK_PHASES = (Phase.UNDOING, Phase.UNDONE, Phase.STUCK)


class RolloutStateMachine:
    """The state machine of one change, which starts or continues from a stored state."""

    def __init__(self, plan: Plan, state: RolloutState | None = None) -> None:
        self.plan = plan
        self.state = state or RolloutState()
        self._reconciler = Reconciler(plan)
        self._analysis: CanaryAnalysis | None = None
        self._baseline = Baseline(self.state.classes, self.state.baseline)
        self._healthy_since: float | None = None
        self._unhealthy_since: float | None = None
        if self.state.phase not in _PHASES_BEFORE_START:
            self._set_targets()
            self._restore_converged()

    @property
    def is_over(self) -> bool:
        """Whether the change is in a final phase."""
        return self.state.phase in FINAL_PHASES

    @property
    def started_members(self) -> list[str]:
        """The members of the current stage and of all earlier stages, in the order in which they change."""
        if self.state.phase in _PHASES_BEFORE_START:
            return []
        return [name for stage in self.plan.stages[: self.state.stage + 1] for name in stage]

    @property
    def stopping(self) -> set[int]:
        """The pids of processes that were asked to stop; their results count for neither version."""
        return self._reconciler.stopping

    @property
    def log_likelihood_ratios(self) -> dict[str, float]:
        """The log-likelihood ratios of the current stage, by class and measure."""
        return {} if self._analysis is None else self._analysis.log_likelihood_ratios

    def changed_members(self, processes: Processes) -> set[str]:
        """Return the members that count as new: those whose process of the new version is or was ready."""
        if self.state.phase is Phase.UNDOING or self.is_over:
            return set()
        ready = {
            member
            for member, statuses in processes.items()
            if any(status.version is Version.NEW and status.ready for status in statuses)
        }
        return {
            member
            for member in self.started_members
            if member in ready or self._reconciler.has_current_convergence(member, processes.get(member, ()))
        }

    def apply_command(self, command: OperatorCommand) -> str:
        """Apply an operator's command. Return why it has no effect, or "" if it was applied."""
        match command:
            case OperatorCommand.PAUSE:
                applied = self._pause()
            case OperatorCommand.RESUME:
                applied = self._resume()
            case OperatorCommand.UNDO:
                applied = self._undo()
        return "" if applied else f"{command} has no effect while the change is {self.state.phase}"

    def step(
        self,
        now: float,
        duration: float,
        processes: Processes,
        observations: Sequence[Observation],
    ) -> list[Action]:
        """Return the actions to carry out after a poll of the whole fleet.

        Args:
            now: Time of a monotonic clock in s.
            duration: Time since the previous poll in s.
            processes: The processes that this poll found, by member.
            observations: Each dispatcher's results between the previous poll and this one.
        """
        if self.is_over:
            return []
        if self.state.phase is Phase.BEFORE:
            self._step_before(now, processes, observations)
        elif self.state.phase in _FORWARD_PHASES:
            self._step_forward(duration, observations)
        if self.state.paused and self.state.phase is not Phase.UNDOING:
            return []
        undoing = self.state.phase is Phase.UNDOING
        max_attempts = self.plan.watch.max_start_attempts if undoing else 1
        actions = self._reconciler.next_actions(now, processes, max_attempts)
        if self.state.phase is Phase.MOVING:
            self._step_moving()
        elif undoing:
            self._step_undoing()
        return actions

    def _pause(self) -> bool:
        if self.is_over:
            return False
        self.state.paused = True
        return True

    def _resume(self) -> bool:
        state = self.state
        if state.paused and not self.is_over:
            state.paused = False
        elif state.phase is Phase.HELD:
            self._start_watching("watched anew by an operator's command")
        elif state.phase in _ROLLBACK_PHASES:
            state.unreachable.clear()
            self._enter(Phase.MOVING, "resumed by an operator's command")
        else:
            return False
        return True

    def _undo(self) -> bool:
        state = self.state
        if state.phase is Phase.BEFORE:
            self._enter(Phase.UNDONE, "cancelled by an operator before anything changed")
        elif state.phase not in (Phase.REFUSED, Phase.UNDONE):
            state.paused = False
            state.unreachable.clear()
            self._enter(Phase.UNDOING, "undone by an operator's command")
        else:
            return False
        return True

    def _step_before(self, now: float, processes: Processes, observations: Sequence[Observation]) -> None:
        names = [member.name for member in self.plan.members]
        unhealthy = [name for name in names if not _is_healthy(processes.get(name, ()))]
        if unhealthy:
            self._refuse_after_timeout(now, unhealthy)
            return
        self._unhealthy_since = None
        state = self.state
        classes = sorted({name for observation in observations for name in observation.completed})
        if self._healthy_since is None or classes != state.classes:
            self._healthy_since, state.classes = now, classes
            self._baseline = Baseline(classes)
        self._baseline.add_window(observations)
        state.baseline = self._baseline.counts
        if now - self._healthy_since >= self.plan.watch.baseline_duration and not state.paused:
            self._enter(Phase.MOVING, "all dispatchers are ready")

    def _refuse_after_timeout(self, now: float, unhealthy: Sequence[str]) -> None:
        self._healthy_since = None
        if self._unhealthy_since is None:
            self._unhealthy_since = now
        if now - self._unhealthy_since > self.plan.watch.ready_timeout:
            self._enter(Phase.REFUSED, f"not ready before the start: {', '.join(unhealthy)}")

    def _step_forward(self, duration: float, observations: Sequence[Observation]) -> None:
        new = [observation for observation in observations if observation.is_new]
        fault = find_fault(self.plan.watch, new) or self._reconciler_failure()
        if fault:
            self._enter(Phase.UNDOING, fault)
        elif self.state.phase is Phase.WATCHING and not self.state.paused:
            self._step_watching(duration, observations)

    def _reconciler_failure(self) -> str | None:
        failures = self._reconciler.failures.items()
        return next((f"{member}: {reason}" for member, reason in failures), None)

    def _step_watching(self, duration: float, observations: Sequence[Observation]) -> None:
        state = self.state
        if self._analysis is None:
            offsets = self._baseline.offsets(self.started_members)
            self._analysis = CanaryAnalysis(self.plan.watch, state.classes, len(self.plan.stages), offsets)
        assessment = self._analysis.assess(duration, observations)
        state.watched += duration
        match assessment.decision:
            case Decision.UNDO:
                self._enter(Phase.UNDOING, assessment.reason)
            case Decision.HOLD:
                self._enter(Phase.HELD, assessment.reason)
            case Decision.GO if state.stage + 1 < len(self.plan.stages):
                state.stage += 1
                self._enter(Phase.MOVING, assessment.reason)
            case Decision.GO:
                self._enter(Phase.DONE, assessment.reason)

    def _step_moving(self) -> None:
        if not self._unconverged_members() and not self._reconciler.failures:
            self._start_watching("")

    def _step_undoing(self) -> None:
        failures = self._reconciler.failures
        if any(member not in failures for member in self._unconverged_members()):
            return
        self.state.unreachable = dict(failures)
        if failures:
            failure_list = "; ".join(f"{member}: {reason}" for member, reason in failures.items())
            self._enter(Phase.STUCK, f"{self.state.reason}. Not brought back: {failure_list}")
        else:
            self._enter(Phase.UNDONE, self.state.reason)

    def _unconverged_members(self) -> list[str]:
        return [member for member in self.started_members if not self._reconciler.has_converged(member)]

    def _start_watching(self, reason: str) -> None:
        self._analysis = None
        self.state.watched = 0.0
        self._enter(Phase.WATCHING, reason)

    def _enter(self, phase: Phase, reason: str) -> None:
        """Enter a phase. If `reason` is empty, the reason of the previous phase is kept."""
        self.state.phase, self.state.reason = phase, reason or self.state.reason
        # A pause must not delay an undo or the effect of an operator's later command.
        self.state.paused = False
        if phase in (Phase.MOVING, Phase.UNDOING):
            self._set_targets()

    def _restore_converged(self) -> None:
        """Mark the members that the previous controller brought to their target as converged.

        If the process of such a member is gone, that is a fault, and it is not started again.
        """
        completed_stages = self.state.stage
        if self.state.phase in (Phase.WATCHING, Phase.HELD):
            completed_stages += 1
        elif self.state.phase is not Phase.MOVING:
            return
        for stage in self.plan.stages[:completed_stages]:
            for member in stage:
                self._reconciler.restore_converged(member)

    def _set_targets(self) -> None:
        """Set the target version of all started members. A rollback takes them in reverse order."""
        rolling_back = self.state.phase in _ROLLBACK_PHASES
        members = self.started_members
        for member in reversed(members) if rolling_back else members:
            self._reconciler.set_target(member, Version.OLD if rolling_back else Version.NEW)


def _is_healthy(processes: Sequence[ProcessStatus]) -> bool:
    """Return whether a member has exactly one process, and it runs the old version and is ready."""
    return len(processes) == 1 and processes[0].ready is True and processes[0].version is Version.OLD
