"""The types that the client side and the worker side share: requests, attempts and final answers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from eiderfield.exchange.timers import Timer


@dataclass(slots=True, frozen=True)
class Request:
    """A request as sent by a client. After `deadline` (ms) no client waits for its answer."""

    id: str
    class_index: int
    deadline: float
    target: str
    host: str = "backend.local"
    body: bytes = b""
    idempotency_key: str = ""
    subject: int = 0
    is_client_retry: bool = False
    tenant_index: int = 0  # index in the settings; for a tenant that they do not name, the number of tenants
    slots: float = 1.0
    memory: float = 0.0
    released_attempts: int = 0  # of a lost dispatcher, proven never to have run; they count as attempts


class Verdict(Enum):
    """The kind of final answer."""

    SERVED = "served"
    DECLINED = "declined"
    FAILED = "failed"
    REJECTED = "rejected"  # a worker found the request invalid
    TERMINATED = "terminated"
    CONFLICT = "conflict"  # another durable request already uses the id or the key


@dataclass(slots=True, frozen=True)
class Answer:
    """The final answer to a request. `retry_after` is in ms; 0 means no advice."""

    verdict: Verdict
    result: bytes = b""
    retry_after: float = 0.0
    may_have_run: bool = False
    attempts: int = 0


class RequestState(Enum):
    """The state of a request that has no final answer."""

    QUEUED = "queued"  # no attempt is open
    SENT = "sent"  # an attempt is open, and no worker has reported a start
    RUNNING = "running"


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt to serve a request at one worker.

    `may_have_run` is set when the last byte of the attempt is sent, and cleared if its outcome proves that
    the worker never ran the request.
    """

    pending: PendingRequest
    number: int
    worker: int
    sent_at: float  # ms, the time at which the policy decided on the attempt
    open: bool = True
    may_have_run: bool = False
    timer: Timer | None = None


@dataclass(slots=True, eq=False)
class PendingRequest:
    """An accepted request, which exists until it is answered and its last attempt has ended."""

    id: int
    request: Request
    on_answer: Callable[[Answer], None]
    attempts: list[Attempt] = field(default_factory=list)
    answered: bool = False
    durable: bool = False  # whether `DurableRequests` persists it
    is_client_connected: Callable[[], bool] | None = None  # called before each attempt starts; None: always
    running: bool = False
    received_at: float = 0.0  # ms, time of the turn that passed the request to the policy
    started_at: float = 0.0  # ms, time of the turn in which a worker reported the start; 0 if none did
    timer: Timer | None = None


def may_have_run(pending: PendingRequest) -> bool:
    """Return whether any attempt of a request may have run or may still run."""
    return any(attempt.may_have_run for attempt in pending.attempts)
