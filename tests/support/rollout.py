"""A plan of four dispatchers, and a simulation of their processes under a rolling change."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass

from eiderfield.config.address import Address
from eiderfield.rollout.actions import Action, StartProcess, StopProcess, Version
from eiderfield.rollout.observation import Observation
from eiderfield.rollout.plan import Member, Plan, WatchSettings
from eiderfield.rollout.reconciler import ProcessStatus
from eiderfield.rollout.state import Phase, decode_state, encode_state
from eiderfield.rollout.state_machine import RolloutStateMachine

NAMES = ("n0", "n1", "n2", "n3")
WATCH = WatchSettings(
    max_duration=60.0, baseline_duration=3.0, warm_up=0.0, ready_timeout=8.0, max_start_attempts=2
)
MEMBERS = tuple(
    Member(name, ("h", 1 + number), "z", ("s",), spare_console=("h", 101 + number))
    for number, name in enumerate(NAMES)
)
PLAN = Plan("p", "new", "", MEMBERS, (("n0",), ("n1", "n2"), ("n3",)), 1, WATCH, "old")

READY_AFTER = 1.0  # s from a process's start
STOP_DURATION = 2.0  # s from the request to stop a process to its end
REQUESTS = 100  # of the class "a", in each window at each dispatcher
LONG_AGO = -100.0


@dataclass
class SimulatedProcess:
    """A process of a dispatcher."""

    pid: int
    version: Version
    console: Address
    started_at: float
    stop_requested_at: float | None = None


def is_over(machine: RolloutStateMachine) -> bool:
    """Return whether the change has ended."""
    return machine.is_over


def never(_machine: RolloutStateMachine) -> bool:
    """Return False: a run goes on for all its polls."""
    return False


class SimulatedRollout:
    """A change of simulated processes, which start, get ready and stop as they are asked to."""

    def __init__(self, plan: Plan = PLAN) -> None:
        self.plan = plan
        self.now = 0.0
        self.machine = RolloutStateMachine(plan)
        self.actions: list[Action] = []
        self.most_changing = 0  # members with two processes at once
        self.share_in_time = {Version.OLD: 0.95, Version.NEW: 0.95}
        self.ignoring_stop: set[int] = set()  # pids
        self.never_ready: set[Version] = set()
        self.dying_at_start: set[str] = set()  # members
        self.outage_allowed = False  # whether the last process of a member may be asked to stop
        self._last_pid = 100
        self.processes = {
            member.name: [self._new_process(Version.OLD, member.console, LONG_AGO)] for member in plan.members
        }

    def run(self, polls: int = 400, until: Callable[[RolloutStateMachine], bool] = is_over) -> Phase:
        """Poll until a condition holds, at most `polls` times. Returns the phase."""
        for _ in range(polls):
            self.poll()
            if until(self.machine):
                break
        return self.machine.state.phase

    def poll(self, duration: float = 1.0) -> None:
        """Let time pass, poll the fleet once and carry the actions out."""
        self.now += duration
        for member, processes in self.processes.items():
            self.processes[member] = [process for process in processes if not self._has_ended(process)]
        statuses = self._statuses()
        for action in self.machine.step(self.now, duration, statuses, self._observations(statuses)):
            self.actions.append(action)
            self._carry_out(action)
        changing = sum(len(processes) > 1 for processes in self.processes.values())
        self.most_changing = max(self.most_changing, changing)
        assert self.outage_allowed or self._all_serve(), "the last process of a member was asked to stop"

    def versions(self) -> dict[str, list[str]]:
        """Return the versions of the processes of each member."""
        return {
            member: [process.version.value for process in processes]
            for member, processes in self.processes.items()
        }

    def replace_controller(self) -> None:
        """Lose the controller; another one continues from the stored state."""
        stored = json.loads(json.dumps(encode_state(self.machine.state)))
        self.machine = RolloutStateMachine(self.plan, decode_state(stored))

    def _new_process(self, version: Version, console: Address, started_at: float) -> SimulatedProcess:
        self._last_pid += 1
        return SimulatedProcess(self._last_pid, version, console, started_at)

    def _has_ended(self, process: SimulatedProcess) -> bool:
        if process.stop_requested_at is None or process.pid in self.ignoring_stop:
            return False
        return self.now >= process.stop_requested_at + STOP_DURATION

    def _all_serve(self) -> bool:
        return all(
            not processes or any(process.stop_requested_at is None for process in processes)
            for processes in self.processes.values()
        )

    def _statuses(self) -> dict[str, list[ProcessStatus]]:
        return {
            member: [self._status(process) for process in processes]
            for member, processes in self.processes.items()
        }

    def _status(self, process: SimulatedProcess) -> ProcessStatus:
        is_warm = self.now - process.started_at >= READY_AFTER
        ready = process.version not in self.never_ready and is_warm
        return ProcessStatus(process.version, process.pid, process.console, ready)

    def _observations(self, statuses: dict[str, list[ProcessStatus]]) -> list[Observation]:
        new_members = self.machine.changed_members(statuses)
        return [
            self._observation(member, of_member, is_new=member in new_members)
            for member, of_member in statuses.items()
        ]

    def _observation(self, member: str, statuses: list[ProcessStatus], is_new: bool) -> Observation:
        version = Version.NEW if is_new else Version.OLD
        stopping = self.machine.stopping
        serving = [status for status in statuses if status.version is version and status.pid not in stopping]
        return Observation(
            member,
            is_new,
            alive=bool(serving),
            ready=bool(serving and serving[0].ready),
            age=-LONG_AGO,
            completed={"a": REQUESTS},
            in_time={"a": round(REQUESTS * self.share_in_time[version])},
        )

    def _carry_out(self, action: Action) -> None:
        processes = self.processes[action.member]
        if isinstance(action, StartProcess):
            assert action.console not in [process.console for process in processes], "the console is in use"
            if action.member not in self.dying_at_start:
                processes.append(self._new_process(action.version, action.console, self.now))
        elif isinstance(action, StopProcess):
            for process in processes:
                if process.pid == action.pid:
                    self._request_stop(process, action.kill)

    def _request_stop(self, process: SimulatedProcess, kill: bool) -> None:
        process.stop_requested_at = self.now
        if kill:
            self.ignoring_stop.discard(process.pid)
            process.stop_requested_at = LONG_AGO
