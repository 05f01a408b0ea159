"""The routing table: the workers that discovery lists, with operators' bans applied.

The table takes typed lists, tells the worker side where workers listen, and the exchange which of them may be
sent to. A banned worker counts as draining whatever discovery says. One whose ban has ended may have been
restarted meanwhile, and discovery tells of that seconds late: until it does, the worker is taken to have
started when the ban ended, so that it warms up.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import replace

from eiderfield.exchange.exchange import Exchange
from eiderfield.idmap import IdMap
from eiderfield.interface import Endpoint, EndpointListKind, EndpointState
from eiderfield.net.bans import Bans
from eiderfield.net.clock import WallClock
from eiderfield.net.discovery.endpoint_list import (
    EndpointList,
    EndpointStatus,
    ListedEndpoint,
    parse_endpoint_list,
)
from eiderfield.net.start_times import StartTimes
from eiderfield.net.table_state import EndpointRecord, RoutingTableState, UnbannedWorker
from eiderfield.net.worker_pool import WorkerPool

_STATES = {
    EndpointStatus.SERVING: EndpointState.READY,
    EndpointStatus.DRAINING: EndpointState.DRAINING,
    EndpointStatus.DELETED: EndpointState.GONE,
}
_STATUSES = {state: status for status, state in _STATES.items()}


class RoutingTable:
    """All workers that were ever listed, as they were listed last."""

    def __init__(
        self,
        exchange: Exchange,
        workers: WorkerPool,
        ids: IdMap,
        bans: Bans,
        clock: Callable[[], float],
        wall: WallClock | None = None,
    ) -> None:
        """Without a wall clock, discovery's times are those of `clock`."""
        self._exchange = exchange
        self._workers = workers
        self._clock = clock
        self.ids = ids
        self.bans = bans
        bans.on_late_ban = self._begin_ban
        self.starts = StartTimes(clock, wall or WallClock(clock, clock))
        self.index: int | None = None  # the version of the last list
        self.watches_reopened: Counter[str] = Counter()  # watches lost and opened anew so far, by why
        self.unconfirmed_removals = 0  # workers that a list left out and that stay until it is confirmed
        self.on_list: Callable[[], None] = lambda: None  # a source has told a list
        # Called when a ban begins, with its time, or ends, with None.
        self.on_ban: Callable[[str, float | None], None] | None = None
        self._entries: dict[int, Endpoint] = {}  # as discovery listed each worker last
        self._unbanned: dict[int, UnbannedWorker] = {}

    @property
    def listed(self) -> set[int]:
        """The workers in the list, whatever their state."""
        return {worker for worker, entry in self._entries.items() if entry.state != EndpointState.GONE}

    @property
    def ready(self) -> set[int]:
        """The workers that discovery last called ready, banned ones among them."""
        return {worker for worker, entry in self._entries.items() if entry.state == EndpointState.READY}

    # Bans.

    def ban(self, name: str, then: Callable[[bool], None] = lambda written: None) -> bool | None:
        """Leaves a worker out, whatever discovery says. None if it was never listed; else `then` hears
        whether the ban is written down, and it is in force in either case."""
        if not self._was_listed(name):
            return None
        if name not in self.bans.since:  # a ban that is called again began when it was first called
            self._begin_ban(name, self._clock())
        self.bans.save(then)
        return True

    def unban(self, name: str, then: Callable[[bool], None] = lambda written: None) -> bool | None:
        """Gives a worker back as discovery last listed it; answers as `ban` does."""
        if not self._was_listed(name):
            return None
        self._end_ban(name)
        self.bans.save(then)
        return True

    def apply_ban(self, name: str, since: float | None) -> None:
        """The dispatcher's other process banned a worker, or ended its ban."""
        if since is None and name in self.bans.since:
            self._end_ban(name)
        elif since is not None and name not in self.bans.since:
            self._begin_ban(name, since)
        self.bans.save_later()

    def _begin_ban(self, name: str, since: float) -> None:
        self.bans.since[name] = since
        worker = self.ids.worker(name)
        self._unbanned.pop(worker, None)
        self._publish(worker)
        self._workers.close_idle(worker)  # its process is about to end
        if self.on_ban is not None:
            self.on_ban(name, since)

    def _end_ban(self, name: str) -> None:
        since = self.bans.remove(name)
        if since is None:
            return
        worker = self.ids.worker(name)
        entry = self._entries.get(worker)
        if entry is not None and entry.ready_at < since:
            self._unbanned[worker] = UnbannedWorker(name, since, self._clock())
        self._publish(worker)
        if self.on_ban is not None:
            self.on_ban(name, None)

    def _was_listed(self, name: str) -> bool:
        return name in self.bans.since or self.ids.known(name) in self._entries

    # Lists.

    def load(self, document: object, cached: bool = False) -> None:
        """Applies a list in the platform's form; raises `EndpointListError` and changes nothing if it is
        malformed."""
        self.apply(parse_endpoint_list(document), cached)

    def apply(self, endpoints: EndpointList, cached: bool = False) -> None:
        """Applies a list; `cached` for one that was kept since an earlier time."""
        kind = EndpointListKind.DELTA
        if endpoints.snapshot:
            kind = EndpointListKind.CACHED if cached else EndpointListKind.FULL
        entries = tuple([self._entry(endpoint) for endpoint in endpoints.endpoints])
        self.index = endpoints.index
        if endpoints.snapshot:
            self._workers.keep_only({entry.worker for entry in entries})
            self._entries = {
                worker: replace(old, state=EndpointState.GONE) for worker, old in self._entries.items()
            }
        for entry, endpoint in zip(entries, endpoints.endpoints, strict=True):
            self._entries[entry.worker] = entry
            self._workers.set_address(entry.worker, endpoint.address)
        self._exchange.update_endpoints(
            kind, endpoints.index, tuple([self._with_bans(entry) for entry in entries])
        )
        if kind != EndpointListKind.CACHED:
            self.on_list()

    def _entry(self, endpoint: ListedEndpoint) -> Endpoint:
        worker, group = self.ids.worker(endpoint.name), endpoint.group
        return Endpoint(
            worker=worker,
            zone=self.ids.zone(endpoint.zone),
            kind=self.ids.kind(endpoint.kind),
            cell=group if isinstance(group, int) else self.ids.cell(group),
            state=_STATES[endpoint.status],
            weight=endpoint.weight,
            ready_at=self.starts.started_at(worker, endpoint.since_ms) or endpoint.first_seen,
        )

    def _with_bans(self, entry: Endpoint) -> Endpoint:
        """A worker as the exchange is to see it."""
        worker = entry.worker
        if entry.state == EndpointState.READY and self.ids.name(worker) in self.bans.since:
            return replace(entry, state=EndpointState.DRAINING)
        unbanned = self._unbanned.get(worker)
        if unbanned is None:
            return entry
        if entry.ready_at >= unbanned.banned_at:
            del self._unbanned[worker]  # discovery has told of the restart by now
            return entry
        return replace(entry, ready_at=max(entry.ready_at, unbanned.unbanned_at))

    def _publish(self, worker: int) -> None:
        """Tells the exchange of a worker whose ban has begun or ended."""
        if worker in self._entries:
            entry = self._with_bans(self._entries[worker])
            self._exchange.update_endpoints(EndpointListKind.DELTA, self.index or 0, (entry,))

    # The next process.

    def state(self) -> RoutingTableState:
        """The table with all workers that were ever listed, for the next process."""
        endpoints = [self._endpoint_state(entry) for entry in self._entries.values()]
        unbanned = tuple(self._unbanned.values())
        return RoutingTableState(self.index or 0, tuple(endpoints), unbanned, self.starts.heard)

    def take_over(self, state: RoutingTableState, bans: Mapping[str, float]) -> None:
        """Goes on from the table and the bans of another process."""
        self.bans.since = dict(bans)
        if not self.bans.saved:  # the process before may not have been able to write them
            self.bans.save()
        for unbanned in state.unbanned_workers:
            self._unbanned[self.ids.worker(unbanned.name)] = unbanned
        for worker in self._entries:
            self._publish(worker)
        for endpoint in state.endpoints:
            if endpoint.started_at is not None:
                self.starts.take_over(self.ids.worker(endpoint.name), endpoint.since_ms, endpoint.started_at)
        if state.announced_offset is not None:
            self.starts.take_over_offset(state.announced_offset)
        if state.endpoints:
            endpoints = [endpoint.to_platform_form() for endpoint in state.endpoints]
            self.load({"index": state.index, "snapshot": True, "endpoints": endpoints}, cached=True)
        self.starts.heard = state.source_heard_at

    def _endpoint_state(self, entry: Endpoint) -> EndpointRecord:
        host, port = self._workers.address(entry.worker) or ("", 0)
        return EndpointRecord(
            name=self.ids.name(entry.worker),
            address=f"{host}:{port}",
            status=_STATUSES[entry.state].value,
            zone=self.ids.zone_name(entry.zone),
            kind=self.ids.kind_name(entry.kind),
            group=entry.cell,
            weight=entry.weight,
            since_ms=self.starts.since_ms(entry.worker, entry.ready_at),
            started_at=entry.ready_at,
        )
