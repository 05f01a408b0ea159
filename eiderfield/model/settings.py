"""Settings of the policy."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

MAX_WRITE_DELAY_MS = 150.0
"""Longest delay of a process between reading its clock and writing an attempt."""


class Effect(IntEnum):
    """The effect of running a request more than once."""

    SAFE = 0
    KEYED = 1
    UNSAFE = 2


class Scope(IntEnum):
    """Which workers recognize and discard the repeat of a keyed request."""

    ALL = 0
    ZONE = 1
    CELL = 2


@dataclass(slots=True, frozen=True)
class RequestClass:
    """Class of requests: its weight, latency objective and deadline, and whether requests may be retried.

    A request meets its objective if it is answered within `latency_objective_ms` plus `objective_stretch`
    times its own running time. Its value is `priority_weight` if it meets the objective, else `late_weight`.
    `kind` is the kind of worker that is required, -1 for any. Workers discard a repeat of a keyed request
    within `repeat_window_ms` of the first attempt.
    """

    name: str
    priority_weight: float
    latency_objective_ms: float
    deadline_ms: float
    effect: Effect
    scope: Scope = Scope.ALL
    repeat_window_ms: float = 0.0
    late_weight: float = 0.0
    objective_stretch: float = 0.0
    streamed: bool = False
    kind: int = -1
    priority: int = 0


@dataclass(slots=True, frozen=True)
class Tenant:
    """A tenant and its quota: the requests a second that all dispatchers together accept at full weight."""

    name: str
    quota_per_s: float
    share: float


@dataclass(slots=True, frozen=True)
class Settings:
    """Settings of one dispatcher; the defaults are those of a deployment without any optional feature."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    dispatcher_count: int = 1
    dispatcher_index: int = 0
    zone_index: int = 0
    zone_count: int = 1
    clock_resolution_ms: float = 1.0
    weight_by_work: bool = False
    over_quota_weight: float = 1.0
    subscribes_to_endpoints: bool = False
    load_report_fields: tuple[str, ...] = ()
    workers_report_start: bool = False
    progress_interval_ms: float = 0.0
    cancellation_allowed: bool = False
    probing_allowed: bool = False
    gossip_allowed: bool = False
    hedging_allowed: bool = False
    retry_advice_allowed: bool = False
    max_attempts: int = 1
    max_open_attempts: int = 1_000_000
    max_retry_after_ms: float = 0.0
    answer_slack_ms: float = 0.0
    drain_grace_ms: float = 0.0
    recovery_ramp_multiple: float = 1.0
    recovery_ramp_ms: float = 1000.0
    slow_start_window_ms: float = 0.0
    slow_start_share: float = 1.0
    poll_interval_ms: float = 0.0
    cross_zone_cost: float = 0.0
