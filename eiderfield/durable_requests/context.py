"""What the parts of a member share: settings, folder, readers, counts, clock and log."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from eiderfield.durable_requests.failure_detector import FailureDetector
from eiderfield.durable_requests.folder import SharedFolder
from eiderfield.durable_requests.lease import Lease
from eiderfield.durable_requests.readers import StoreReaders
from eiderfield.durable_requests.record import Record
from eiderfield.durable_requests.settings import DurableRequestSettings
from eiderfield.durable_requests.store import RecordStore


@dataclass(slots=True)
class Counters:
    """What was done since this process began, for its console."""

    accepted: int = 0
    joined: int = 0  # waiters for a request that was recorded already
    refused: int = 0  # waiters for whom nothing could be written
    claims_refused: int = 0
    taken_over: int = 0
    expired: int = 0  # taken over with their time over
    fenced: int = 0  # incarnations of this process that others took for lost
    lost_answers: int = 0  # results of requests that had been taken over meanwhile
    fences: int = 0  # written by this process
    commits: int = 0
    slowest_commit: float = 0.0  # ms
    commits_failed: int = 0  # what the system refused


@dataclass(slots=True)
class Incarnation:
    """The incarnation of this process: its store and what it has there without an answer."""

    name: str
    store: RecordStore
    lease: Lease
    detector: FailureDetector
    open_records: dict[str, Record] = field(default_factory=dict)
    heartbeat: int = 0
    suspects: set[str] = field(default_factory=set)


@dataclass(slots=True)
class Context:
    """Shared by the parts of one member. `priorities` orders classes, by name."""

    settings: DurableRequestSettings
    folder: SharedFolder
    readers: StoreReaders
    priorities: Mapping[str, float]
    now: Callable[[], float]
    log: Callable[[str], None]
    point: Callable[[str], None]  # called at named points, where the laboratory stops a process
    counters: Counters = field(default_factory=Counters)
    incarnation: Incarnation | None = None  # None while there is none
    _logged: set[str] = field(default_factory=set)

    @property
    def own_name(self) -> str:
        """The name of this process's incarnation, '' while there is none."""
        return "" if self.incarnation is None else self.incarnation.name

    def log_once(self, text: str) -> None:
        """A line for operators, not repeated."""
        if text not in self._logged:
            self._logged.add(text)
            self.log(text)

    def count_failure(self, error: Exception) -> None:
        """Something was refused by the system, and is tried again."""
        self.counters.commits_failed += 1
        self.log_once(f"durable requests: {error}")

    def end_incarnation(self) -> None:
        """Gives up all that this incarnation has: it is its successors'."""
        if self.incarnation is not None:
            self.incarnation.store.close()
            self.incarnation = None

    def is_over(self) -> bool:
        """Whether there is no incarnation, or it is fenced; it ends then. What cannot be looked at may be:
        `OSError`."""
        if self.incarnation is None:
            return True
        name = self.incarnation.name
        if not self.folder.fences.exists(name):
            return False
        self.counters.fenced += 1
        fence = self.folder.fences.read(name)
        self.log(
            f"durable requests: {name} was taken for lost by {fence.by}: {fence.reason}; "
            f"{len(self.incarnation.open_records)} requests went to {', '.join(fence.successors)}"
        )
        self.end_incarnation()
        return True

    def is_over_after_commit(self) -> bool:
        """Whether this incarnation is over, after it has written. Where that cannot be found out it is over:
        what it wrote may be its successors' already, and nothing may follow from it here."""
        try:
            return self.is_over()
        except OSError as error:
            self.log_once(
                f"durable requests: {self.own_name} ends: whether it is fenced cannot be read: {error}"
            )
            self.end_incarnation()
            return True
