"""The interfaces that the exchange calls, implemented by the adapters around it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from eiderfield.exchange.request import Answer, Attempt, PendingRequest


class WorkerSide(Protocol):
    """Opens and closes connections to workers."""

    def start(self, attempt: Attempt) -> None:
        """Start an attempt.

        Its end is reported by `WorkerReports.attempt_ended`, `record_result` or `record_rejection`.
        """

    def stop(self, attempt: Attempt) -> None:
        """Abort an attempt by closing its connection. Its end is not reported."""

    def probe(self, worker: int) -> None:
        """Probe the health of a worker; the result is reported by `WorkerReports.probe_completed`."""

    def close_idle(self, worker: int) -> None:
        """Close the idle connections to a worker."""


class PeerChannel(Protocol):
    """Sends load reports to the other dispatchers of the tier, where the settings allow gossip."""

    def send_report(self, peer: int, data: bytes) -> None:
        """Send a datagram to one peer, or to all of them if `peer` is -1. It may be lost."""


class OtherProcess(Protocol):
    """The previous or next process of this dispatcher, during a handover.

    It is notified of what it must know so that both together keep the limits on ids and attempts.
    """

    def id_acquired(self, id_: str) -> None:
        """Notify that a request with this id was accepted."""

    def id_released(self, id_: str) -> None:
        """Notify that the id can be used again."""

    def attempts_changed(self, worker: int, count: int, work: float) -> None:
        """Notify of the number of open attempts at a worker, and of the work that was just sent to it."""


class DurableRequests(Protocol):
    """Persists requests of durable classes so that another dispatcher can take them over."""

    def claim(self, attempt: Attempt, on_claimed: Callable[[bool], None]) -> None:
        """Persist that an attempt of a durable request is about to start.

        Calls `on_claimed(True)` once that is stored, and `on_claimed(False)` if the attempt must not start.
        """

    def may_write(self, attempt: Attempt) -> bool:
        """Return whether a claimed attempt may still start.

        It may not once other dispatchers may consider this one lost and take its requests over.
        """

    def attempt_ended(self, attempt: Attempt) -> None:
        """Persist that an attempt of a durable request ended, and whether it may have run."""

    def finish(self, pending: PendingRequest, answer: Answer) -> None:
        """Persist the final answer of a durable request, then pass it to `pending.on_answer`."""
