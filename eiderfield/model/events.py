"""Events: what happened since the last call of `Dispatcher.handle`.

Times are in ms of the caller's clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from eiderfield.model.endpoints import Endpoint, EndpointListKind
from eiderfield.model.outcomes import ProgressKind


class EarlierAttempt(NamedTuple):
    """Attempt that another dispatcher sent before it failed; it may have run, and may still run."""

    endpoint: Endpoint
    sent_at: float


@dataclass(slots=True)
class RequestReceived:
    """A request was accepted; the dispatcher must give it exactly one final answer before `deadline`.

    `tenant_index` and `class_index` refer to the settings; `affinity_key` is 0 for none.
    `expected_work` is 0 if unknown. `earlier_attempts` are the attempts of the failed dispatcher from which
    the request was taken over, and `released_attempts` the number of those that never ran.
    """

    request_id: int
    class_index: int
    deadline: float
    tenant_index: int = 0
    affinity_key: int = 0
    expected_work: float = 0.0
    slots: float = 1.0
    memory: float = 0.0
    is_client_retry: bool = False
    earlier_attempts: tuple[EarlierAttempt, ...] = ()
    released_attempts: int = 0


@dataclass(slots=True)
class EndpointsUpdated:
    """The endpoint list changed, or a call for it failed."""

    kind: EndpointListKind
    version: int
    endpoints: tuple[Endpoint, ...]


@dataclass(slots=True)
class StreamStarted:
    """The stream of an attempt started: the request stays with this attempt and no longer has a deadline."""

    request_id: int
    attempt_number: int
    worker: int
    elapsed_ms: float


@dataclass(slots=True)
class AttemptEnded:
    """An attempt ended.

    `outcome` is an `Outcome`, or another status code of the worker. `is_final` is true if the request is
    over. `load_report` is the worker's load report, empty if there is none; it may be old and inexact.
    """

    request_id: int
    attempt_number: int
    worker: int
    outcome: int
    elapsed_ms: float
    is_final: bool
    info: int = 0
    load_report: tuple[float, ...] = ()


@dataclass(slots=True)
class AttemptProgressed:
    """An open attempt started or progressed. `share_done`, from 0 to 1, is set for the kind `SHARE_DONE`."""

    request_id: int
    attempt_number: int
    worker: int
    kind: ProgressKind
    share_done: float


@dataclass(slots=True)
class ClientDisconnected:
    """The client of a request disconnected: an answer can no longer be delivered."""

    request_id: int


@dataclass(slots=True)
class TimerFired:
    """A timer set by `SetTimer` fired."""

    token: int


@dataclass(slots=True)
class ProbeCompleted:
    """A probe requested by `ProbeWorker` ended; the fields mean the same as in `AttemptEnded`."""

    worker: int
    outcome: int
    elapsed_ms: float
    load_report: tuple[float, ...] = ()


@dataclass(slots=True)
class PeerReportReceived:
    """Another dispatcher of the tier sent a report, see `eiderfield.model.peer_report`."""

    peer: int
    data: bytes


@dataclass(slots=True)
class SiblingReportReceived:
    """The other process of this dispatcher sent a report during the handover of a restart.

    `open_attempts` is the number of its open attempts at the worker. `added_work` is the expected work of the
    attempts that it has sent to the worker since its last report.
    """

    worker: int
    open_attempts: int
    added_work: float


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
