"""State that a policy has accumulated and that the next process of its dispatcher continues with.

All times are in milliseconds of the clock of the process that holds the state.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple


class SentWork(NamedTuple):
    """Work that was sent to a worker."""

    at: float
    work: float


class KeyCount(NamedTuple):
    """The number of requests that were received with a routing key."""

    key: int
    requests: int


class KindSlots(NamedTuple):
    """The largest number of slots that was seen at a worker of a machine kind."""

    kind: int
    slots: float


@dataclass(slots=True, frozen=True)
class PacerState:
    """The release rate of a request class."""

    mean_duration: float  # ms, or ms per unit of work; see `Pacer`
    rate: float | None  # requests a second, None for no limit
    uncut_rate: float  # requests a second, before the rate was first reduced
    next_release_at: float


@dataclass(slots=True, frozen=True)
class RecentWork:
    """The work that was sent to a worker during its slow start."""

    worker: int
    sent: tuple[SentWork, ...]


@dataclass(slots=True, frozen=True)
class OutlierState:
    """A worker that is marked as failing some requests."""

    worker: int
    error_score: float
    ejections: int


@dataclass(slots=True, frozen=True)
class LearnedState:
    """The state of a policy that its successor process continues with."""

    pacers: tuple[PacerState, ...]  # by class
    retry_tokens: float
    served_rate: float  # work served in a ms, averaged
    served_at: float  # the time up to which `served_rate` is averaged
    recent_work: tuple[RecentWork, ...]
    key_counts: tuple[KeyCount, ...]
    slots: tuple[KindSlots, ...]
    outliers: tuple[OutlierState, ...]
