"""All interleavings of a small machine, breadth first: the shortest way to a broken rule is found first.

A machine is a start and a function from a state to its next ones, each with the name of the step, and a check
that says what is wrong with a state. States are hashable and compared by value.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass
from typing import Generic, TypeVar

S = TypeVar("S", bound=Hashable)

MAX_STATES = 2_000_000


@dataclass(frozen=True, slots=True)
class Explored(Generic[S]):
    """What a search found. `trace` leads to a state with `fault`, which is '' where there is none."""

    states: int
    steps: int
    depth: int  # of the deepest state
    ends: int  # states without a next one
    fault: str
    trace: tuple[str, ...]
    complete: bool  # whether all states within the bounds were seen


@dataclass(frozen=True, slots=True)
class Origin(Generic[S]):
    """How a state was first reached."""

    previous: S | None
    step: str
    depth: int


class Search(Generic[S]):
    """A search that is going on."""

    def __init__(self, start: S, max_states: int) -> None:
        self._origins: dict[S, Origin[S]] = {start: Origin(None, "", 0)}
        self._queue = deque([start])
        self._max_states = max_states
        self._steps = 0
        self._ends = 0
        self._depth = 0

    def run(
        self, next_steps: Callable[[S], Iterable[tuple[str, S]]], wrong: Callable[[S], str]
    ) -> Explored[S]:
        """Looks at states until one is wrong, there are too many, or all have been seen."""
        while self._queue:
            state = self._queue.popleft()
            self._depth = max(self._depth, self._origins[state].depth)
            fault = wrong(state)
            if fault:
                return self._result(fault, self._trace(state), complete=False)
            if not self._add_all(state, next_steps(state)):
                return self._result("", (), complete=False)
        return self._result("", (), complete=True)

    def _add_all(self, state: S, steps: Iterable[tuple[str, S]]) -> bool:
        """Adds the next states of a state; False where there are too many."""
        depth = self._origins[state].depth + 1
        is_end = True
        for step, following in steps:
            self._steps += 1
            is_end = False
            if following not in self._origins:
                if len(self._origins) >= self._max_states:
                    return False
                self._origins[following] = Origin(state, step, depth)
                self._queue.append(following)
        self._ends += is_end
        return True

    def _result(self, fault: str, trace: tuple[str, ...], complete: bool) -> Explored[S]:
        return Explored(len(self._origins), self._steps, self._depth, self._ends, fault, trace, complete)

    def _trace(self, state: S) -> tuple[str, ...]:
        steps: list[str] = []
        origin = self._origins[state]
        while origin.previous is not None:
            steps.append(origin.step)
            origin = self._origins[origin.previous]
        return tuple(reversed(steps))


def explore(
    start: S,
    next_steps: Callable[[S], Iterable[tuple[str, S]]],
    wrong: Callable[[S], str],
    max_states: int = MAX_STATES,
) -> Explored[S]:
    """Searches from `start`, through at most `max_states` states, until something is wrong."""
    return Search(start, max_states).run(next_steps, wrong)
