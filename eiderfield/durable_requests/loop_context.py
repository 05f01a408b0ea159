"""The state that the parts of the coordinator share. All of them run in the event loop."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from eiderfield.durable_requests.commit_thread import CallInLoop, CommitThread
from eiderfield.durable_requests.member import Member
from eiderfield.durable_requests.owned_requests import OwnedRequest
from eiderfield.durable_requests.record import Record
from eiderfield.exchange.exchange import Exchange
from eiderfield.exchange.timers import Timers
from eiderfield.idmap import IdMap
from eiderfield.machine import steady_ms


@dataclass(frozen=True, slots=True)
class ProcessServices:
    """The services that the process provides.

    `clock` returns the time of request deadlines, `monotonic` the clock that all processes of the host share;
    both in ms.
    """

    exchange: Exchange
    ids: IdMap
    timers: Timers
    clock: Callable[[], float]
    call_in_loop: CallInLoop
    log: Callable[[str], None]
    monotonic: Callable[[], float] = steady_ms


@dataclass(slots=True)
class LoopContext:
    """The state that the parts of one coordinator share."""

    services: ProcessServices
    commit_thread: CommitThread
    class_names: tuple[str, ...]  # by class index
    owned_requests: dict[str, OwnedRequest] = field(default_factory=dict)  # by request id

    @property
    def exchange(self) -> Exchange:
        """The exchange that serves the requests."""
        return self.services.exchange

    @property
    def member(self) -> Member:
        """This process's member of the shared folder."""
        return self.commit_thread.member

    def tenant_name(self, index: int) -> str:
        """Return the name of a tenant of the settings, '' for one that they do not list."""
        tenants = self.exchange.settings.tenants
        return tenants[index].name if index < len(tenants) else ""

    def tenant_index(self, record: Record) -> int:
        """Return the index of a record's tenant in the settings, or their number if they do not list it."""
        names = [tenant.name for tenant in self.exchange.settings.tenants]
        if record.tenant_name is None:  # an earlier revision recorded only its own index
            return min(record.head.tenant, len(names))
        return names.index(record.tenant_name) if record.tenant_name in names else len(names)

    def now(self) -> float:
        """Return the time of the process's clock, in ms."""
        return self.services.clock()

    def monotonic(self) -> float:
        """Return the machine's monotonic clock, in ms."""
        return self.services.monotonic()

    def call_after(self, delay: float, callback: Callable[[], object]) -> None:
        """Call `callback` in `delay` ms."""
        self.services.timers.call_at(self.now() + delay, callback)

    def from_monotonic(self, at: float) -> float:
        """Convert a time of the machine's monotonic clock, in ms, to the process's clock."""
        return at - self.monotonic() + self.now()
