"""The state that the parts of a member share: settings, folder, readers, counters, clock and log."""

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
    """Counts of events since the start of this process, for its console."""

    accepted: int = 0
    joined: int = 0  # clients that joined a request that was recorded already
    refused: int = 0  # clients whose request could not be recorded
    claims_refused: int = 0
    taken_over: int = 0
    expired: int = 0  # requests that were taken over after their deadline, or of an unknown class
    fenced: int = 0  # incarnations of this process that other members fenced
    lost_answers: int = 0  # answers that were not recorded because a successor owned the request
    fences: int = 0  # fences that this process wrote
    commits: int = 0
    slowest_commit: float = 0.0  # ms
    commits_failed: int = 0  # writes that the system refused


@dataclass(slots=True)
class Incarnation:
    """The current incarnation of this process."""

    name: str
    store: RecordStore
    lease: Lease
    detector: FailureDetector
    open_records: dict[str, Record] = field(default_factory=dict)  # records without an answer, by request id
    heartbeat: int = 0  # the last count that was written
    suspects: set[str] = field(default_factory=set)  # incarnations that this one votes against


@dataclass(slots=True)
class Context:
    """The state that the parts of one member share.

    `priorities` has the priority weight of each class, by name. `reach_failpoint` is called with the name of
    each failpoint of the protocol; there the laboratory stops or kills the process.
    """

    settings: DurableRequestSettings
    folder: SharedFolder
    readers: StoreReaders
    priorities: Mapping[str, float]
    now: Callable[[], float]
    log: Callable[[str], None]
    reach_failpoint: Callable[[str], None]
    counters: Counters = field(default_factory=Counters)
    incarnation: Incarnation | None = None
    last_own_name: str = ""  # the name of the current or else the last incarnation of this process
    _logged: set[str] = field(default_factory=set)

    @property
    def own_name(self) -> str:
        """The name of the current incarnation, '' while there is none."""
        return "" if self.incarnation is None else self.incarnation.name

    def log_once(self, text: str) -> None:
        """Log a line, unless the same line was logged before."""
        if text not in self._logged:
            self._logged.add(text)
            self.log(text)

    def count_failure(self, error: Exception) -> None:
        """Count and log an operation that the system refused and that will be tried again."""
        self.counters.commits_failed += 1
        self.log_once(f"durable requests: operation refused, retrying (error={error})")

    def end_incarnation(self) -> None:
        """End the current incarnation, whose successors own its requests."""
        if self.incarnation is not None:
            self.incarnation.store.close()
            self.incarnation = None

    def end_if_fenced(self) -> bool:
        """End the current incarnation if it is fenced. Return whether there is no incarnation after that.

        Raises `OSError` if the fence cannot be looked up.
        """
        if self.incarnation is None:
            return True
        name = self.incarnation.name
        if not self.folder.fences.exists(name):
            return False
        self.counters.fenced += 1
        fence = self.folder.fences.read(name)
        self.log(
            f"durable requests: incarnation was fenced (name={name} by={fence.by} reason={fence.reason} "
            f"open_requests={len(self.incarnation.open_records)} successors={','.join(fence.successors)})"
        )
        self.end_incarnation()
        return True

    def end_if_fenced_after_commit(self) -> bool:
        """End the incarnation after a commit if it is, or may be, fenced. Return whether there is none then.

        If the fence cannot be looked up, the incarnation ends: its successors may own the records that it
        wrote, so this process must not act on them.
        """
        try:
            return self.end_if_fenced()
        except OSError as error:
            self.log_once(
                f"durable requests: incarnation ended, its fence is unreadable (name={self.own_name} "
                f"error={error})"
            )
            self.end_incarnation()
            return True
