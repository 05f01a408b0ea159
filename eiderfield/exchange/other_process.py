"""What the previous or next process of this dispatcher has in flight during a handover."""

from __future__ import annotations

from collections.abc import Iterable

from eiderfield.exchange.event_queue import EventQueue
from eiderfield.exchange.protocols import OtherProcess
from eiderfield.interface import SiblingReportReceived


class OtherProcessState:
    """The request ids and the attempts of the other process, as it last reported them.

    Attributes:
        process: What notifies the other process of the ids and attempts of this one; None if there is none.
        request_ids: The ids in use there.
    """

    def __init__(self, events: EventQueue) -> None:
        """Post changes of attempts to `events`."""
        self.process: OtherProcess | None = None
        self.request_ids: set[str] = set()
        self._events = events
        self._workers: set[int] = set()  # at which it has open attempts

    def attach(self, process: OtherProcess) -> None:
        """Notify the other process of each change of this one from now on."""
        self.process = process

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

    def detach(self) -> None:
        """Forget the other process, its requests and its attempts."""
        self.process = None
        self.request_ids.clear()
        for worker in list(self._workers):
            self.update_attempts(worker, 0, 0.0)
