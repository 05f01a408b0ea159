"""Brings each dispatcher from one version to the other, and back. Performs no I/O and reads no clock.

Each member has a target version. At every poll the reconciler compares it with the processes that are there
and returns the actions that are missing, so that a controller which takes over needs the targets alone:

    processes of the member                         action
    none                                            start one of the target version
    of the other version only                       start one of the target version beside it
    one of the target version, ready                stop the others
    one of the target version, not ready in time    stop it while the other serves; an attempt has failed
    one of the target version, being stopped        wait for its end, then start a new one
    one that does not stop in time                  kill it

If only settings change, the file is put in place and the process asked to reload it; the version of a process
is then that of the settings which its console reports.

A member begins only if fewer are changing than the plan allows. What must never happen: two processes of one
member started at once; a process stopped before one of the target version is ready, except one that never
was; more members changing at once than the plan allows, except those that have no process and so cannot serve
less.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace

from eiderfield.config.address import Address
from eiderfield.rollout.actions import Action, ApplySettings, StartProcess, StopProcess, Version
from eiderfield.rollout.plan import Plan

STOP_TIMEOUT = 20.0  # s from the request to stop a process until it is killed
START_TIMEOUT = 2.0  # s from the start of a process until it has to exist


@dataclass(frozen=True, slots=True)
class ProcessStatus:
    """A process of a member as it was observed."""

    version: Version
    pid: int
    console: Address
    ready: bool | None  # None: its console does not answer
    settings_error: str = ""  # why it refused the settings that it was given last
    installed_settings: Version | None = None  # in the member's file; None where no settings change


@dataclass(slots=True)
class _Transition:
    """The way of a member to its target version."""

    target: Version
    converged: bool = False  # reached once; from then on the member is left alone
    convergence_restored: bool = False  # an earlier controller saw it; an undo may have reverted it since
    waiting_since: float | None = None  # for a process to get ready, or for settings to be reloaded
    started: bool = False  # a process of the target version was started by this reconciler
    attempts: int = 0  # that failed
    changing: bool = False
    stopping: dict[int, float] = field(default_factory=dict)  # by pid: when it was asked to stop
    killed: set[int] = field(default_factory=set)

    def forget_ended(self, processes: Sequence[ProcessStatus]) -> None:
        """Forget the processes that are not there any more."""
        pids = {process.pid for process in processes}
        self.stopping = {pid: since for pid, since in self.stopping.items() if pid in pids}
        self.killed &= pids

    def usable(self, processes: Sequence[ProcessStatus]) -> list[ProcessStatus]:
        """Return the processes of the target version that are not being stopped."""
        return [
            process
            for process in processes
            if process.version is self.target and process.pid not in self.stopping
        ]

    def is_complete(self, processes: Sequence[ProcessStatus]) -> bool:
        """Return whether one ready process of the target version, and nothing else, is there."""
        if len(processes) != 1 or self.needs_settings(processes[0]):
            return False
        return processes[0].ready is True and bool(self.usable(processes))

    def has_current_convergence(self, processes: Sequence[ProcessStatus]) -> bool:
        """Return whether the target was reached and, if only an earlier controller saw that, still holds."""
        if not self.converged or not self.convergence_restored:
            return self.converged
        return all(process.version is self.target for process in processes)

    def needs_settings(self, process: ProcessStatus) -> bool:
        """Return whether the member's file holds the settings of the other version."""
        return process.installed_settings not in (None, self.target)

    def overdue_stops(self, now: float) -> list[int]:
        """Return the pids of processes that did not stop in time and were not killed yet."""
        return [
            pid
            for pid, since in self.stopping.items()
            if now - since > STOP_TIMEOUT and pid not in self.killed
        ]


class Reconciler:
    """Decides the next actions for all members of a plan."""

    def __init__(self, plan: Plan) -> None:
        self.failures: dict[str, str] = {}  # by member that was given up: why
        self._plan = plan
        self._changes_settings_only = not plan.program
        self._transitions: dict[str, _Transition] = {}

    @property
    def stopping(self) -> set[int]:
        """The pids of processes that were asked to stop and are still there."""
        return {pid for transition in self._transitions.values() for pid in transition.stopping}

    def set_target(self, member: str, version: Version) -> None:
        """Set the version that a member is to have. A member that was given up is tried again."""
        transition = self._transitions.setdefault(member, _Transition(version))
        if transition.target is not version or member in self.failures:
            self._transitions[member] = replace(
                transition,
                target=version,
                converged=False,
                convergence_restored=False,
                waiting_since=None,
                started=False,
                attempts=0,
            )
            self.failures.pop(member, None)

    def restore_converged(self, member: str) -> None:
        """Restore that an earlier controller saw the member reach its target.

        It holds until a process of the other version shows that the change was undone since then.
        """
        self._transitions[member].converged = True
        self._transitions[member].convergence_restored = True

    def has_converged(self, member: str) -> bool:
        """Return whether the member reached its target, with no other process of it left."""
        return member in self._transitions and self._transitions[member].converged

    def has_current_convergence(self, member: str, processes: Sequence[ProcessStatus]) -> bool:
        """Return whether the member reached its target, and no process contradicts an earlier controller."""
        transition = self._transitions.get(member)
        return transition is not None and transition.has_current_convergence(processes)

    def next_actions(
        self, now: float, processes: Mapping[str, Sequence[ProcessStatus]], max_attempts: int
    ) -> list[Action]:
        """Return the actions to carry out now; each counts as carried out.

        Args:
            now: Time of a steady clock in s.
            processes: The processes of each member as they were just observed.
            max_attempts: Failed attempts after which a member is given up.
        """
        for member, transition in self._transitions.items():
            self._update(member, transition, processes.get(member, ()))
        actions: list[Action] = []
        for member, transition in self._transitions.items():
            if not transition.converged and member not in self.failures:
                actions += self._advance(member, transition, processes.get(member, ()), now, max_attempts)
            overdue = transition.overdue_stops(now)
            transition.killed.update(overdue)
            actions += [StopProcess(member, pid, kill=True) for pid in overdue]
        return actions

    def _update(self, member: str, transition: _Transition, processes: Sequence[ProcessStatus]) -> None:
        transition.forget_ended(processes)
        if not transition.has_current_convergence(processes):
            transition.converged = transition.convergence_restored = False
        transition.converged = transition.converged or transition.is_complete(processes)
        if transition.converged or member in self.failures:
            transition.changing = False
        elif len(processes) > 1:  # begun here, or by an earlier controller
            transition.changing = True

    def _advance(
        self,
        member: str,
        transition: _Transition,
        processes: Sequence[ProcessStatus],
        now: float,
        max_attempts: int,
    ) -> Sequence[Action]:
        usable = transition.usable(processes)
        ready = next((process for process in usable if process.ready), None)
        if ready is not None:
            return self._finish(member, transition, ready, processes, now)
        if transition.waiting_since is None:
            if usable:  # a lost controller may have started it, or its console does not answer now
                transition.waiting_since = now
            elif not transition.stopping and self._may_begin(transition, processes):
                return self._begin(member, transition, processes, now)
            return []
        failure = self._failure(transition, usable, processes, now)
        if not failure:
            return []
        transition.waiting_since = None
        transition.attempts += 1
        if transition.attempts >= max_attempts:
            self.failures[member] = failure
        another_serves = len(usable) < len(processes)
        if another_serves or (transition.started and member not in self.failures):
            return [self._stop(member, transition, process, now) for process in usable]
        return []

    def _finish(
        self,
        member: str,
        transition: _Transition,
        ready: ProcessStatus,
        processes: Sequence[ProcessStatus],
        now: float,
    ) -> list[Action]:
        if transition.needs_settings(ready):
            # It never loaded the other version's settings, but would do so at its next start.
            pid = ready.pid if self._changes_settings_only else None
            return [ApplySettings(member, transition.target, pid)]
        others = [
            process
            for process in processes
            if process is not ready and process.pid not in transition.stopping
        ]
        return [self._stop(member, transition, process, now) for process in others]

    def _may_begin(self, transition: _Transition, processes: Sequence[ProcessStatus]) -> bool:
        changing = sum(transition.changing for transition in self._transitions.values())
        return transition.changing or not processes or changing < self._plan.max_concurrent

    def _begin(
        self, member: str, transition: _Transition, processes: Sequence[ProcessStatus], now: float
    ) -> list[Action]:
        if self._changes_settings_only:
            return self._begin_settings(member, transition, processes, now)
        used = {process.console for process in processes}
        free = [address for address in self._plan.member(member).consoles() if address not in used]
        if not free:
            return []
        transition.waiting_since, transition.started, transition.changing = now, True, True
        return [StartProcess(member, transition.target, free[0])]

    def _begin_settings(
        self, member: str, transition: _Transition, processes: Sequence[ProcessStatus], now: float
    ) -> list[Action]:
        transition.waiting_since, transition.changing = now, True
        if not processes:
            self.failures[member] = "it has no process; its file is in place"
            return [ApplySettings(member, transition.target, None)]
        return [ApplySettings(member, transition.target, processes[0].pid)]

    def _failure(
        self,
        transition: _Transition,
        usable: Sequence[ProcessStatus],
        processes: Sequence[ProcessStatus],
        now: float,
    ) -> str:
        """Return why the attempt that is under way has failed; "" if it has not."""
        waited = now - (transition.waiting_since or now)
        if self._changes_settings_only:
            for process in processes:
                if process.settings_error:
                    return process.settings_error
        elif not usable and waited > START_TIMEOUT:
            return "its process ended at once"
        return f"not ready after {waited:.0f} s" if waited > self._plan.watch.ready_timeout else ""

    def _stop(self, member: str, transition: _Transition, process: ProcessStatus, now: float) -> StopProcess:
        transition.stopping[process.pid] = now
        transition.changing = True
        return StopProcess(member, process.pid)
