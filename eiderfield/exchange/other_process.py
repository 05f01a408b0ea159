"""What the previous or next process of this dispatcher has in flight during a handover."""

from __future__ import annotations

from collections.abc import Iterable

from eiderfield.exchange.event_queue import EventQueue
from eiderfield.interface import SiblingReportReceived


class OtherProcessState:
    """The request ids and the attempts of the other process, as it last reported them."""

    def __init__(self, events: EventQueue) -> None:
        """Post changes of attempts to `events`."""
        self.request_ids: set[str] = set()
        self._events = events
        self._workers: set[int] = set()  # at which it has open attempts

    def update_request_ids(self, accepted: Iterable[str], released: Iterable[str]) -> None:
        """Apply the ids of requests that it accepted, and those that it released."""
        self.request_ids.update(accepted)
        self.request_ids.difference_update(released)

    def update_attempts(self, worker: int, count: int, work: float) -> None:
        """Set the number of its open attempts at a worker, and add the work that it just sent there."""
        if count:
            self._workers.add(worker)
        else:
            self._workers.discard(worker)
        self._events.post(SiblingReportReceived(worker, count, work))

    def clear(self) -> None:
        """Forget its requests and attempts: it has ended."""
        self.request_ids.clear()
        for worker in list(self._workers):
            self.update_attempts(worker, 0, 0.0)
