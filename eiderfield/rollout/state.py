"""The state of a rolling change: all that another controller needs to continue it.

It holds no process and no time, for both are observed anew.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

BaselineCounts = dict[str, dict[str, dict[str, list[float]]]]  # by dispatcher, class and measure


class Phase(StrEnum):
    """Where a change stands; `state_machine.py` draws the transitions."""

    BEFORE = "before"
    REFUSED = "refused"
    MOVING = "moving"
    WATCHING = "watching"
    HELD = "held"
    UNDOING = "undoing"
    DONE = "done"
    UNDONE = "undone"
    STUCK = "stuck"


FINAL_PHASES = frozenset({Phase.REFUSED, Phase.DONE, Phase.UNDONE, Phase.STUCK})


@dataclass(slots=True)
class RolloutState:
    """The stored state of a change."""

    phase: Phase = Phase.BEFORE
    stage: int = 0  # index of the present stage
    reason: str = ""  # why the change is in its phase
    paused: bool = False
    classes: list[str] = field(default_factory=list)  # request classes that the consoles report
    baseline: BaselineCounts = field(default_factory=dict)
    watched: float = 0.0  # s for which the present stage has been watched
    unreachable: dict[str, str] = field(default_factory=dict)  # members that an undo failed for, and why


_KEY_OF_FIELD = {
    "phase": "phase",
    "stage": "stage",
    "reason": "why",
    "paused": "paused",
    "classes": "classes",
    "baseline": "before",
    "watched": "watched",
    "unreachable": "missing",
}
_FIELD_OF_KEY = {key: name for name, key in _KEY_OF_FIELD.items()}


def encode_state(state: RolloutState) -> dict[str, Any]:
    """Return the stored form of `state`: plain values that JSON can hold."""
    return {key: getattr(state, name) for name, key in _KEY_OF_FIELD.items()}


def decode_state(stored: Mapping[str, Any]) -> RolloutState:
    """Return the state whose stored form is `stored`; a missing key keeps its default.

    Raises:
        ValueError: a key or the phase is unknown.
    """
    unknown = sorted(set(stored) - set(_FIELD_OF_KEY))
    if unknown:
        raise ValueError(f"unknown keys of a state: {', '.join(unknown)}")
    state = RolloutState(**{_FIELD_OF_KEY[key]: value for key, value in stored.items()})
    state.phase = Phase(state.phase)
    return state
