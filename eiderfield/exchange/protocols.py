"""The interfaces that the exchange calls. The adapters around it implement them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from eiderfield.exchange.request import Answer, Attempt, PendingRequest


class WorkerSide(Protocol):
    """Opens and closes connections to workers."""

    def start(self, attempt: Attempt) -> None:
        """Start an attempt.

        The worker side reports its end by `attempt_ended`, `record_result` or `record_rejection` of
        `WorkerReports`.
        """

    def stop(self, attempt: Attempt) -> None:
        """Abort an attempt by closing its connection. The worker side does not report its end."""

    def probe(self, worker: int) -> None:
        """Check the health of a worker, and report the outcome by `WorkerReports.probe_completed`."""

    def close_idle(self, worker: int) -> None:
        """Close the idle connections to a worker."""


class PeerChannel(Protocol):
    """Sends load reports to the other dispatchers of the tier, if the settings allow gossip."""

    def send_report(self, peer: int, data: bytes) -> None:
        """Send a datagram, which may be lost, to one peer, or to all peers if `peer` is -1."""


class OtherProcess(Protocol):
    """The previous or next process of this dispatcher, during a handover.

    It is notified of the ids and attempts of this process, so that both processes together use each id once
    and stay within the limits on attempts.
    """

    def id_acquired(self, id_: str) -> None:
        """Notify the other process that a request with this id was accepted."""

    def id_released(self, id_: str) -> None:
        """Notify the other process that the id may be used again."""

    def attempts_changed(self, worker: int, count: int, work: float) -> None:
        """Notify the other process of the number of open attempts at a worker.

        `work` is the work expected of the attempt that was just sent there, 0 if none was.
        """


class DurableRequests(Protocol):
    """Persists requests of durable classes so that another dispatcher can take them over."""

    def claim(self, attempt: Attempt, on_claimed: Callable[[bool], None]) -> None:
        """Persist that an attempt of a durable request is about to start.

        Calls `on_claimed(True)` once that is stored, or `on_claimed(False)` if the attempt must not start.
        """

    def may_write(self, attempt: Attempt) -> bool:
        """Return whether a claimed attempt may still start.

        It must not start once other dispatchers may consider this one lost and take over its requests.
        """

    def attempt_ended(self, attempt: Attempt) -> None:
        """Persist that an attempt of a durable request has ended, and whether it may have run."""

    def finish(self, pending: PendingRequest, answer: Answer) -> None:
        """Persist the final answer of a durable request, then pass it to `pending.on_answer`."""
