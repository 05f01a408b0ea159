"""How each dispatcher gets from the old version to the new one, and back. No I/O, no clock, no chance.

What is wanted of each member is a version; what is there is told at every look. An action is made of what is
missing, so that a controller that takes over from a lost one needs to know no more than what is wanted:

    nothing runs                         start one of the wanted version
    only the other version runs          start one of the wanted version beside it, if few enough are changing
    the wanted one is ready              tell the other to end
    the wanted one is not ready in time  end it: the other serves on; a trial has failed
    the wanted one was told to end       it is waited for; then one is started anew
    a process does not end in time       it is ended hard

Where only settings change, a process is given its file and told to read it again, and is of the version whose
settings it says that it runs with.

What must never happen: two starts of one member at once; the end of a process before one of the wanted
version is ready, but for one that never was; more members changing at once than the plan allows, but for
those that have no process and so cannot serve less.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace
from enum import Enum

from eiderfield.config.address import Address
from eiderfield.rollout.plan import Plan

ENDING = 20.0  # s in which a process that was told to end has to be gone
SHOW = 2.0  # s in which a process that was started has to show, as a process


class Version(Enum):
    """Which of the two a process, or a member, is."""

    OLD = "old"
    NEW = "new"


@dataclass(frozen=True, slots=True)
class ProcessStatus:
    """A process of a member as it was seen. `ready` is None where its console says nothing."""

    version: Version
    pid: int
    console: Address
    ready: bool | None
    refused: str = ""  # why it did not take the settings that it was given last
    lies: Version | None = None  # whose settings lie in its file, None where the change is of none


@dataclass(frozen=True, slots=True)
class Start:
    """Start a process of a version, with this console."""

    member: str
    version: Version
    console: Address


@dataclass(frozen=True, slots=True)
class End:
    """Tell a process to end, or end it `hard`."""

    member: str
    pid: int
    hard: bool = False


@dataclass(frozen=True, slots=True)
class Configure:
    """Put a side's settings in place, and tell a process, if there is one, to read them."""

    member: str
    version: Version
    pid: int | None


Action = Start | End | Configure


@dataclass(slots=True)
class _Transition:
    """Where a member is between two versions."""

    wanted: Version
    arrived: bool = False  # from then on it is left alone, whatever becomes of it
    arrival_restored: bool = False  # it arrived under an earlier controller, whose word may be out of date
    begun: float | None = None  # since when a process, or new settings, are waited for
    started: bool = False  # whether a process of the wanted version was started here
    trials: int = 0
    ending: dict[int, float] = field(default_factory=dict)  # processes that were told to end, since when
    hard: set[int] = field(default_factory=set)
    changing: bool = False


class Reconciler:
    """All members of a plan."""

    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self._by_settings = not plan.program
        self._transitions: dict[str, _Transition] = {}
        self.given_up: dict[str, str] = {}  # members that were not brought to what is wanted, and why

    def want(self, member: str, version: Version) -> None:
        """A member is to be of a version. Where it was given up, it is tried again."""
        transition = self._transitions.setdefault(member, _Transition(version))
        if transition.wanted is not version or member in self.given_up:
            self._transitions[member] = replace(
                transition,
                wanted=version,
                arrived=False,
                arrival_restored=False,
                begun=None,
                started=False,
                trials=0,
            )
            self.given_up.pop(member, None)

    def step(
        self, now: float, found: Mapping[str, Sequence[ProcessStatus]], most_trials: int
    ) -> list[Action]:
        """What is to be done now. What was returned counts as done."""
        actions: list[Action] = []
        for name, transition in self._transitions.items():
            there = found.get(name, ())
            pids = {one.pid for one in there}
            transition.ending = {pid: at for pid, at in transition.ending.items() if pid in pids}
            transition.hard &= pids
            if not self.has_current_arrival(name, there):
                transition.arrived = transition.arrival_restored = False
            transition.arrived = transition.arrived or self._settled(transition, there)
            if transition.arrived or name in self.given_up:
                transition.changing = False
            elif len(there) > 1:  # begun by an earlier controller, or here
                transition.changing = True
        for name, transition in self._transitions.items():
            there = found.get(name, ())
            if not transition.arrived and name not in self.given_up:
                actions += self._next_actions(name, transition, there, now, most_trials)
            late = [
                pid
                for pid, at in transition.ending.items()
                if now - at > ENDING and pid not in transition.hard
            ]
            transition.hard.update(late)
            actions += [End(name, pid, hard=True) for pid in late]
        return actions

    @property
    def ending(self) -> set[int]:
        """Processes that were told to end and are still there."""
        return {pid for transition in self._transitions.values() for pid in transition.ending}

    def has_arrived(self, name: str) -> None:
        """Restore that an earlier controller saw the member arrive.

        It holds until a process of the other version shows that the change was undone since then.
        """
        self._transitions[name].arrived = True
        self._transitions[name].arrival_restored = True

    def arrived(self, name: str) -> bool:
        """Whether a member became what is wanted, with nothing else of it left."""
        return name in self._transitions and self._transitions[name].arrived

    def has_current_arrival(self, name: str, there: Sequence[ProcessStatus]) -> bool:
        """Whether a member arrived and, if only an earlier controller saw that, no process contradicts it."""
        if not self.arrived(name):
            return False
        transition = self._transitions[name]
        is_contradicted = any(process.version is not transition.wanted for process in there)
        return not (transition.arrival_restored and is_contradicted)

    def _settled(self, transition: _Transition, there: Sequence[ProcessStatus]) -> bool:
        if len(there) != 1 or there[0].lies not in (None, transition.wanted):
            return False
        return there[0].ready is True and there[0] in self._usable(transition, there)

    def _usable(self, transition: _Transition, there: Sequence[ProcessStatus]) -> list[ProcessStatus]:
        return [one for one in there if one.version is transition.wanted and one.pid not in transition.ending]

    def _may_begin(self, transition: _Transition, there: Sequence[ProcessStatus]) -> bool:
        changing = sum(transition.changing for transition in self._transitions.values())
        return transition.changing or not there or changing < self._plan.max_concurrent

    def _next_actions(
        self, name: str, transition: _Transition, there: Sequence[ProcessStatus], now: float, most_trials: int
    ) -> Sequence[Action]:
        usable = self._usable(transition, there)
        ready = next((one for one in usable if one.ready), None)
        if ready is not None and ready.lies not in (None, transition.wanted):
            # It never took the other side's settings, but would at its next start.
            return [Configure(name, transition.wanted, ready.pid if self._by_settings else None)]
        if ready is not None:
            left = [one for one in there if one is not ready and one.pid not in transition.ending]
            return [self._end(name, transition, one, now) for one in left]
        if transition.begun is None:
            if usable:  # a controller that is lost may have started it, or it does not answer at the moment
                transition.begun = now
            elif not transition.ending and self._may_begin(transition, there):
                return self._begin(name, transition, there, now)
            return []
        why = self._failed(transition, usable, there, now)
        if not why:
            return []
        transition.begun, transition.trials = None, transition.trials + 1
        if transition.trials >= most_trials:
            self.given_up[name] = why
        # Another one serves; or it is ours, does not, and makes room for the next trial.
        if len(usable) < len(there) or (transition.started and name not in self.given_up):
            return [self._end(name, transition, one, now) for one in usable]
        return []

    def _failed(
        self,
        transition: _Transition,
        usable: Sequence[ProcessStatus],
        there: Sequence[ProcessStatus],
        now: float,
    ) -> str:
        waited = now - (transition.begun or now)
        if self._by_settings and any(one.refused for one in there):
            return next(one.refused for one in there if one.refused)
        if not usable and waited > SHOW and not self._by_settings:
            return "its process ended at once"
        return f"not ready after {waited:.0f} s" if waited > self._plan.watch.ready_timeout else ""

    def _begin(
        self, name: str, transition: _Transition, there: Sequence[ProcessStatus], now: float
    ) -> list[Action]:
        member = self._plan.member(name)
        if self._by_settings:
            transition.begun, transition.changing = now, True
            if not there:
                self.given_up[name] = "it has no process; its file is in place"
            return [Configure(name, transition.wanted, there[0].pid if there else None)]
        taken = {one.console for one in there}
        free = [address for address in member.consoles() if address not in taken]
        if not free:
            return []
        transition.begun, transition.started, transition.changing = now, True, True
        return [Start(name, transition.wanted, free[0])]

    def _end(self, name: str, transition: _Transition, one: ProcessStatus, now: float) -> End:
        transition.ending[one.pid] = now
        transition.changing = True
        return End(name, one.pid)
