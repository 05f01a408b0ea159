"""The requests and attempts of the previous or next process of this dispatcher, during a handover."""

from __future__ import annotations

from collections.abc import Iterable

from eiderfield.exchange.event_queue import EventQueue
from eiderfield.exchange.protocols import OtherProcess
from eiderfield.interface import SiblingReportReceived


class OtherProcessState:
    """The request ids and attempts of the other process, as it last reported them.

    Attributes:
        process: Notifies the other process of the ids and attempts of this one; None without another process.
        request_ids: The ids in use in the other process.
    """

    def __init__(self, events: EventQueue) -> None:
        """Create a state without another process. Changes of its attempts are posted to `events`."""
        self.process: OtherProcess | None = None
        self.request_ids: set[str] = set()
        self._events = events
        self._workers: set[int] = set()  # workers at which it has open attempts

    def attach(self, process: OtherProcess) -> None:
        """Notify the other process of each change of this one from now on."""
        self.process = process

    def update_request_ids(self, accepted: Iterable[str], released: Iterable[str]) -> None:
        """Add the ids that the other process accepted, and remove those that it released."""
        self.request_ids.update(accepted)
        self.request_ids.difference_update(released)

    def update_attempts(self, worker: int, count: int, work: float) -> None:
        """Set the number of its open attempts at a worker; `work` is the work that it just sent there."""
        if count:
            self._workers.add(worker)
        else:
            self._workers.discard(worker)
        self._events.post(SiblingReportReceived(worker, count, work))

    def detach(self) -> None:
        """Remove the other process with its requests and its attempts."""
        self.process = None
        self.request_ids.clear()
        for worker in list(self._workers):
            self.update_attempts(worker, 0, 0.0)
