"""What goes into and comes out of a `Dispatcher`: settings, events and actions.

All times are milliseconds of the caller's clock. A value that a site does not give is 0 or None.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import IntEnum
from struct import Struct


class Outcome(IntEnum):
    """How an attempt or a probe ended."""

    OK = 200
    TIMEOUT = 408
    MOOT = 409
    FULL = 429
    CANCELLED = 444
    ERROR = 502
    RESET = 520
    CONNECT_FAILED = 521


HELD_UP = 150.0  # ms that a dispatcher may be held up between reading its clock and writing (standing test)
AWAY = 0  # AttemptProgressed.what: nothing is known, for this process itself was stopped
STARTED = 1  # AttemptProgressed.what: the job has started
REPEAT = 2  # RequestReceived.flags: a client's retry

# Outcomes which prove that the attempt never ran.
NEVER_RAN = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT})


class Effect(IntEnum):
    """What a repeat of a request does."""

    SAFE = 0
    KEYED = 1
    UNSAFE = 2


class Scope(IntEnum):
    """Which workers discard the repeat of a keyed request."""

    ALL = 0
    ZONE = 1
    CELL = 2


class EndpointState(IntEnum):
    """A worker's state in the list."""

    GONE = 0
    DRAINING = 1
    READY = 2


class EndpointListKind(IntEnum):
    """What an endpoint list holds: changes, all workers, all as last saved, or nothing (a call failed)."""

    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of requests: its priority weight (`worth`), latency objective (`aim`), and what a repeat does.

    `stretch` lengthens the aim by so many own running times."""

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
    """A tenant, with the requests a second that all dispatchers together may take at full worth."""

    name: str
    quota_per_s: float
    share: float


@dataclass(slots=True, frozen=True)
class Settings:
    """What the operator says at the start; the defaults are those of a site that offers nothing."""

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
    progress_interval: float = 0.0
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


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One worker as the list tells it. `ready_at` is when it last started, 0 for long ago."""

    worker: int
    zone: int = 0
    kind: int = 0
    cell: int = 0
    state: EndpointState = EndpointState.READY
    weight: float = 1.0
    ready_at: float = 0.0


# Events.


@dataclass(slots=True)
class RequestReceived:
    """A request has been accepted and is owed exactly one final answer before `due`."""

    id: int
    class_index: int
    deadline: float
    tenant_index: int = 0
    key: int = 0
    expected_work: float = 0.0
    slots: float = 1.0
    memory: float = 0.0
    flags: int = 0
    earlier_attempts: tuple[
        tuple[Endpoint, float], ...
    ] = ()  # attempts of a lost dispatcher: to whom, and when


@dataclass(slots=True)
class EndpointsUpdated:
    """The endpoint list has changed, or a call for it has failed."""

    kind: EndpointListKind
    version: int
    entries: tuple[Endpoint, ...]


@dataclass(slots=True)
class StreamStarted:
    """An attempt's stream has started: the request is bound to it and has no deadline any more."""

    id: int
    attempt: int
    worker: int
    elapsed: float


@dataclass(slots=True)
class AttemptEnded:
    """An attempt has ended. `final`: the request is over. `load`: a late, noisy report or empty."""

    id: int
    attempt: int
    worker: int
    outcome: int
    elapsed: float
    final: bool
    note: int = 0
    load: tuple[float, ...] = ()


@dataclass(slots=True)
class AttemptProgressed:
    """An attempt that is out has started (1), or `share` of it is done (2); 0, see `AWAY`."""

    id: int
    attempt: int
    worker: int
    what: int
    share: float


@dataclass(slots=True)
class ClientDisconnected:
    """The client of a request has gone: nobody waits for its answer any more."""

    id: int


@dataclass(slots=True)
class TimerFired:
    """A time asked for by `SetTimer` has come."""

    token: int


@dataclass(slots=True)
class ProbeCompleted:
    """The answer to a `ProbeWorker`."""

    worker: int
    outcome: int
    elapsed: float
    load: tuple[float, ...] = ()


@dataclass(slots=True)
class PeerReportReceived:
    """Another dispatcher of this tier has sent a report."""

    peer: int
    data: bytes


@dataclass(slots=True)
class SiblingReportReceived:
    """In an upgrade two processes are one dispatcher: what the other one has out at a worker, and the work
    that it has sent there since its last report."""

    worker: int
    out: int
    work: float


Event = (
    RequestReceived
    | EndpointsUpdated
    | StreamStarted
    | AttemptEnded
    | AttemptProgressed
    | ClientDisconnected
    | TimerFired
    | ProbeCompleted
    | PeerReportReceived
    | SiblingReportReceived
)


# Actions.


@dataclass(slots=True)
class StartAttempt:
    """Start an attempt that is expected to cost `work`; `timeout` 0 lets it run until the client gives up."""

    id: int
    worker: int
    timeout: float = 0.0
    work: float = 0.0


@dataclass(slots=True)
class CancelAttempt:
    """Stop waiting for an attempt. It proves nothing about whether the attempt ran."""

    id: int
    attempt: int


@dataclass(slots=True)
class RejectRequest:
    """Final answer: unserved, and the client may safely come again after `retry_after` (0: no advice)."""

    id: int
    retry_after: float = 0.0


@dataclass(slots=True)
class FailRequest:
    """Final answer that promises nothing."""

    id: int


@dataclass(slots=True)
class SetTimer:
    """Ask for a `TimerFired` at a clock time."""

    at: float
    token: int


@dataclass(slots=True)
class ProbeWorker:
    """Ask a worker for a sign of life."""

    worker: int


@dataclass(slots=True)
class CloseIdleConnections:
    """Close idle connections to a worker."""

    worker: int


@dataclass(slots=True)
class SendPeerReport:
    """Send a report to one other dispatcher, or to all of them (-1)."""

    peer: int
    data: bytes


@dataclass(slots=True)
class WatchEndpoints:
    """Open or close the subscription to the list."""

    on: bool


@dataclass(slots=True)
class FetchEndpoints:
    """Ask once for the whole list."""


@dataclass(slots=True)
class LogMessage:
    """A line for the operators."""

    text: str


Action = (
    StartAttempt
    | CancelAttempt
    | RejectRequest
    | FailRequest
    | SetTimer
    | ProbeWorker
    | CloseIdleConnections
    | SendPeerReport
    | WatchEndpoints
    | FetchEndpoints
    | LogMessage
)


@dataclass(slots=True)
class Snapshot:
    """What a dispatcher holds, for operators and tests."""

    held: int = 0
    out: int = 0
    rates: list[float | None] = field(default_factory=list)
    avoided: frozenset[int] = frozenset()  # workers of the list that are sent nothing now


def mix(key: int, worker: int) -> int:
    """A hash that is the same in each process and spreads keys evenly: that of a tuple of numbers doesn't."""
    x = (key ^ (worker * 0x9E3779B97F4A7C15)) & 0xFFFFFFFFFFFFFFFF
    x = ((x ^ (x >> 31)) * 0xBF58476D1CE4E5B9) & 0xFFFFFFFFFFFFFFFF
    return ((x ^ (x >> 29)) * 0x94D049BB133111EB) & 0xFFFFFFFFFFFFFFFF


def mix_below(key: int, workers: Iterable[int], bound: int) -> list[tuple[int, int]]:
    """The hashes by `mix` that are not above a bound, each with its worker: for fleets, without its calls."""
    return [
        (value, worker)
        for worker in workers
        for x in ((key ^ (worker * 0x9E3779B97F4A7C15)) & 0xFFFFFFFFFFFFFFFF,)
        for y in (((x ^ (x >> 31)) * 0xBF58476D1CE4E5B9) & 0xFFFFFFFFFFFFFFFF,)
        if (value := ((y ^ (y >> 29)) * 0x94D049BB133111EB) & 0xFFFFFFFFFFFFFFFF) <= bound
    ]


_COUNT = Struct("<IB")


def pack_counts(counts: list[tuple[int, int]]) -> bytes:
    """A report to peers: workers, and the slots of the sender's jobs at each. A message holds 51 of them."""
    return b"".join([_COUNT.pack(worker, min(255, jobs)) for worker, jobs in counts[:51]])


def unpack_counts(data: bytes) -> Iterator[tuple[int, int]]:
    """The counts in a peer's report; what is cut short at its end is left out."""
    return _COUNT.iter_unpack(data[: len(data) // _COUNT.size * _COUNT.size])
