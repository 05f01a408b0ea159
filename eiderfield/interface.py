"""Public interface of the dispatcher's policy: settings, events and actions.

A `Dispatcher` is created with `Settings`; its method `handle` takes events and returns actions. All times are
in milliseconds of the caller's clock. The types are defined in the modules of `eiderfield.model`.
"""

from __future__ import annotations

from eiderfield.model.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    FetchEndpoints,
    LogMessage,
    ProbeWorker,
    RejectRequest,
    SendPeerReport,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from eiderfield.model.endpoints import Endpoint, EndpointListKind, EndpointState
from eiderfield.model.events import (
    AttemptEnded,
    AttemptProgressed,
    ClientDisconnected,
    EarlierAttempt,
    EndpointsUpdated,
    Event,
    PeerReportReceived,
    ProbeCompleted,
    RequestReceived,
    SiblingReportReceived,
    StreamStarted,
    TimerFired,
)
from eiderfield.model.hashing import stable_hash, stable_hashes_up_to
from eiderfield.model.outcomes import NEVER_RAN, Outcome, ProgressKind
from eiderfield.model.peer_report import decode_peer_report, encode_peer_report
from eiderfield.model.settings import MAX_WRITE_DELAY_MS, Effect, RequestClass, Scope, Settings, Tenant
from eiderfield.model.snapshot import Snapshot

__all__ = [
    "MAX_WRITE_DELAY_MS",
    "NEVER_RAN",
    "Action",
    "AttemptEnded",
    "AttemptProgressed",
    "CancelAttempt",
    "ClientDisconnected",
    "CloseIdleConnections",
    "EarlierAttempt",
    "Effect",
    "Endpoint",
    "EndpointListKind",
    "EndpointState",
    "EndpointsUpdated",
    "Event",
    "FailRequest",
    "FetchEndpoints",
    "LogMessage",
    "Outcome",
    "PeerReportReceived",
    "ProbeCompleted",
    "ProbeWorker",
    "ProgressKind",
    "RejectRequest",
    "RequestClass",
    "RequestReceived",
    "Scope",
    "SendPeerReport",
    "SetTimer",
    "Settings",
    "SiblingReportReceived",
    "Snapshot",
    "StartAttempt",
    "StreamStarted",
    "Tenant",
    "TimerFired",
    "WatchEndpoints",
    "decode_peer_report",
    "encode_peer_report",
    "stable_hash",
    "stable_hashes_up_to",
]
