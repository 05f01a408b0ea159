"""Actions: what `Dispatcher.handle` asks its caller to do.

Times are in ms of the caller's clock.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class StartAttempt:
    """Send a request to a worker.

    With `timeout_ms` 0 the attempt may run until the deadline. `expected_work` is its expected cost.
    """

    request_id: int
    worker: int
    timeout_ms: float = 0.0
    expected_work: float = 0.0


@dataclass(slots=True)
class CancelAttempt:
    """Stop waiting for an attempt. Whether the worker ran it stays unknown."""

    request_id: int
    attempt_number: int


@dataclass(slots=True)
class RejectRequest:
    """Answer a request with a rejection: it did not run, and the client may retry.

    `retry_after_ms` is the time that the client is advised to wait before the retry, 0 for no advice.
    """

    request_id: int
    retry_after_ms: float = 0.0


@dataclass(slots=True)
class FailRequest:
    """Answer a request with a failure: it may have run."""

    request_id: int


@dataclass(slots=True)
class SetTimer:
    """Deliver `TimerFired` with `token` at the time `fires_at`."""

    fires_at: float
    token: int


@dataclass(slots=True)
class ProbeWorker:
    """Probe a worker; deliver `ProbeCompleted` with the result."""

    worker: int


@dataclass(slots=True)
class CloseIdleConnections:
    """Close the idle connections to a worker."""

    worker: int


@dataclass(slots=True)
class SendPeerReport:
    """Send a report to another dispatcher of the tier, or to all of them if `peer` is -1."""

    peer: int
    data: bytes


@dataclass(slots=True)
class WatchEndpoints:
    """Open or close the subscription to the endpoint list."""

    enabled: bool


@dataclass(slots=True)
class FetchEndpoints:
    """Fetch the whole endpoint list once."""


@dataclass(slots=True)
class LogMessage:
    """Write a line to the log."""

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
