"""The state of a rolling change, as stored for a controller that continues it after a restart or takeover.

The state holds no processes and no clock times: each controller observes these itself.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

BaselineCounts = dict[str, dict[str, dict[str, list[float]]]]  # moments by dispatcher, class and measure


class Phase(StrEnum):
    """The phases of a change; `state_machine.py` describes them. The values are stored."""

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
    """The stored state of a change, under the keys of `_KEY_OF_FIELD`."""

    phase: Phase = Phase.BEFORE
    stage: int = 0  # index of the current stage
    reason: str = ""  # why the change is in its phase
    paused: bool = False
    classes: list[str] = field(default_factory=list)  # names of the request classes that the consoles report
    baseline: BaselineCounts = field(default_factory=dict)
    watched: float = 0.0  # time in s for which the current stage has been watched
    unreachable: dict[str, str] = field(default_factory=dict)  # why an undo failed, by member


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
    """Return the stored form of `state`, which can be serialized as JSON."""
    return {key: getattr(state, name) for name, key in _KEY_OF_FIELD.items()}


def decode_state(stored: Mapping[str, Any]) -> RolloutState:
    """Return the state whose stored form is `stored`; a field whose key is missing has its default value.

    Raises:
        ValueError: `stored` has an unknown key or phase.
    """
    unknown = sorted(set(stored) - set(_FIELD_OF_KEY))
    if unknown:
        raise ValueError(f"unknown keys in the stored state: {', '.join(unknown)}")
    state = RolloutState(**{_FIELD_OF_KEY[key]: value for key, value in stored.items()})
    state.phase = Phase(state.phase)
    return state
