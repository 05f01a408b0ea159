"""Events: what happened since the last call of `Dispatcher.handle`.

Times are in ms of the caller's clock.
"""

from __future__ import annotations

from dataclasses import dataclass

from eiderfield.model.endpoints import Endpoint, EndpointListKind
from eiderfield.model.outcomes import ProgressKind


@dataclass(slots=True)
class RequestReceived:
    """A request was accepted; it is owed exactly one final answer before `deadline`.

    `tenant_index` and `class_index` refer to the settings; `key` is the affinity key, 0 for none.
    `expected_work` is 0 if unknown. `earlier_attempts` are those of a failed dispatcher from which the
    request was taken over: the endpoint, and when the attempt was sent.
    """

    id: int
    class_index: int
    deadline: float
    tenant_index: int = 0
    key: int = 0
    expected_work: float = 0.0
    slots: float = 1.0
    memory: float = 0.0
    is_client_retry: bool = False
    earlier_attempts: tuple[tuple[Endpoint, float], ...] = ()


@dataclass(slots=True)
class EndpointsUpdated:
    """The endpoint list changed, or a call for it failed."""

    kind: EndpointListKind
    version: int
    entries: tuple[Endpoint, ...]


@dataclass(slots=True)
class StreamStarted:
    """The stream of an attempt started: the request stays with this attempt and has no deadline any more."""

    id: int
    attempt: int
    worker: int
    elapsed: float


@dataclass(slots=True)
class AttemptEnded:
    """An attempt ended.

    `outcome` is an `Outcome`, or another status of the worker's. `final` tells that the request is over.
    `load` is the worker's load report, empty if there is none; it may be old and inexact.
    """

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
    """There is news of an open attempt. `share` is the part of its work that is done, for `SHARE_DONE`."""

    id: int
    attempt: int
    worker: int
    kind: ProgressKind
    share: float


@dataclass(slots=True)
class ClientDisconnected:
    """The client of a request disconnected: its answer will not be delivered."""

    id: int


@dataclass(slots=True)
class TimerFired:
    """A timer set by `SetTimer` fired."""

    token: int


@dataclass(slots=True)
class ProbeCompleted:
    """A probe that `ProbeWorker` asked for ended; `outcome` and `load` are as those of `AttemptEnded`."""

    worker: int
    outcome: int
    elapsed: float
    load: tuple[float, ...] = ()


@dataclass(slots=True)
class PeerReportReceived:
    """Another dispatcher of the tier sent a report, see `eiderfield.model.peer_report`."""

    peer: int
    data: bytes


@dataclass(slots=True)
class SiblingReportReceived:
    """The other process of this dispatcher sent a report, during the handover of a restart.

    `out` are the attempts that it has open at the worker, `work` the expected work of those that it sent
    there since its last report.
    """

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
