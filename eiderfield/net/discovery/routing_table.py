"""Routing table: the workers that discovery lists, with operators' bans applied.

The table applies typed lists, and updates the addresses of the worker pool and the endpoints of the exchange.
A banned worker counts as draining, whatever state discovery lists. A worker may be restarted during its ban,
which discovery announces seconds late. Until discovery announces a start after the beginning of the ban, the
worker counts as started when the ban ended, so that it goes through slow start.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace

from eiderfield.exchange.exchange import Exchange
from eiderfield.idmap import IdMap
from eiderfield.interface import Endpoint, EndpointListKind, EndpointState
from eiderfield.net.bans import Bans, SavedCallback, ignore_result
from eiderfield.net.clock import WallClock
from eiderfield.net.discovery.endpoint_list import (
    EndpointList,
    EndpointStatus,
    ListedEndpoint,
    RefusedEntry,
    parse_endpoint_list,
)
from eiderfield.net.discovery.refused_entries import RefusedEntries
from eiderfield.net.discovery.source_history import SourceHistory
from eiderfield.net.start_times import StartTimes
from eiderfield.net.table_state import EndpointRecord, RoutingTableState, SourceState, UnbannedWorker
from eiderfield.net.worker_pool import WorkerPool

_STATES = {
    EndpointStatus.SERVING: EndpointState.READY,
    EndpointStatus.DRAINING: EndpointState.DRAINING,
    EndpointStatus.DELETED: EndpointState.GONE,
}
_STATUSES = {state: status for status, state in _STATES.items()}


class RoutingTable:
    """All workers that were ever listed, each as it was listed last.

    Attributes:
        ids: The numbers of workers, zones, kinds and cells, by name.
        bans: The bans in force.
        start_times: The start times of workers on this process's clock.
        index: The version of the last list, None before the first one.
        watches_reopened: The number of times that a watch was lost and reopened, by reason.
        kept_since: Since when ready workers have been kept although lists omit them, None if none are. All
            workers that are ready are then kept ones.
        refused_entries: The malformed entries of the present list.
        source_history: The history of the source whose list was applied last, None if it has none.
        on_list_applied: Called after each list from a source was applied; not for cached lists.
        on_ban_changed: Called with a worker's name and the start of its ban, or None when it was lifted.
    """

    def __init__(
        self,
        exchange: Exchange,
        workers: WorkerPool,
        ids: IdMap,
        bans: Bans,
        clock: Callable[[], float],
        wall: WallClock | None = None,
    ) -> None:
        """Create an empty table; without `wall`, discovery's Unix times are times of `clock`."""
        self._exchange = exchange
        self._workers = workers
        self._clock = clock
        self.ids = ids
        self.bans = bans
        bans.on_ban_read = self._begin_ban
        self.start_times = StartTimes(clock, wall or WallClock(clock, clock))
        self.index: int | None = None
        self.watches_reopened: Counter[str] = Counter()
        self.kept_since: float | None = None
        self.source_history: SourceHistory | None = None
        self.refused_entries = RefusedEntries()
        self.on_list_applied: Callable[[], None] = lambda: None
        self.on_ban_changed: Callable[[str, float | None], None] | None = None
        self._endpoints: dict[int, Endpoint] = {}  # by worker, without bans
        self._unbanned: dict[int, UnbannedWorker] = {}  # by worker, until a start is announced

    @property
    def listed_workers(self) -> set[int]:
        """The workers in the present list, in any state."""
        return {
            worker for worker, endpoint in self._endpoints.items() if endpoint.state != EndpointState.GONE
        }

    @property
    def ready_workers(self) -> set[int]:
        """The workers that discovery lists as ready, including banned ones."""
        return {
            worker for worker, endpoint in self._endpoints.items() if endpoint.state == EndpointState.READY
        }

    def known_start(self, name: str) -> float | None:
        """Return when a listed worker started, 0 if that is long ago; None if the worker is not listed."""
        endpoint = self._find_listed(name)
        return None if endpoint is None else endpoint.ready_at

    @property
    def unconfirmed_removals(self) -> int:
        """The number of workers that are kept as ready although the last list omits them."""
        return 0 if self.kept_since is None else len(self.ready_workers)

    # Bans.

    def ban(self, name: str, on_saved: SavedCallback = ignore_result) -> bool:
        """Exclude a worker until `unban`, whatever state discovery lists.

        Return False if the worker was never listed. Otherwise the ban is in force at once, and `on_saved` is
        called after the attempt to write it, with whether the file holds it.
        """
        if not self._was_listed(name):
            return False
        if name not in self.bans.since:  # a repeated ban keeps its start time
            self._begin_ban(name, self._clock())
        self.bans.save(on_saved)
        return True

    def unban(self, name: str, on_saved: SavedCallback = ignore_result) -> bool:
        """Lift a ban, which restores the last listed state; return and call `on_saved` as `ban` does."""
        if not self._was_listed(name):
            return False
        self._end_ban(name)
        self.bans.save(on_saved)
        return True

    def apply_ban(self, name: str, since: float | None) -> None:
        """Apply a change of a ban at the dispatcher's other process; `since` is None if it was lifted."""
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
        self._workers.close_idle(worker)  # the worker is about to be stopped
        self._notify_ban_changed(name, since)

    def _end_ban(self, name: str) -> None:
        since = self.bans.remove(name)
        if since is None:
            return
        worker = self.ids.worker(name)
        endpoint = self._endpoints.get(worker)
        if endpoint is not None and endpoint.ready_at < since:
            self._unbanned[worker] = UnbannedWorker(name, since, self._clock())
        self._publish(worker)
        self._notify_ban_changed(name, None)

    def _notify_ban_changed(self, name: str, since: float | None) -> None:
        if self.on_ban_changed is not None:
            self.on_ban_changed(name, since)

    def _find_listed(self, name: str) -> Endpoint | None:
        """Return a worker of the present list, without its ban."""
        worker = self.ids.find_worker(name)
        endpoint = None if worker is None else self._endpoints.get(worker)
        return None if endpoint is None or endpoint.state == EndpointState.GONE else endpoint

    def _was_listed(self, name: str) -> bool:
        return name in self.bans.since or self.ids.find_worker(name) in self._endpoints

    # Lists.

    def load(self, document: object, cached: bool = False) -> None:
        """Apply a list in the platform's form.

        Raises `EndpointListError`, and changes nothing, if it is malformed.
        """
        self.apply(parse_endpoint_list(document), cached)

    def apply(self, endpoint_list: EndpointList, cached: bool = False) -> None:
        """Apply a list; `cached` means that it was not received from a source just now."""
        kind = EndpointListKind.DELTA
        if endpoint_list.snapshot:
            kind = EndpointListKind.CACHED if cached else EndpointListKind.FULL
        retained = self.retained_endpoints(endpoint_list.refused)
        endpoints = [self._to_endpoint(listed) for listed in endpoint_list.endpoints]
        changed = [*retained, *endpoints]
        self.index = endpoint_list.index
        if endpoint_list.snapshot:
            self._begin_snapshot({endpoint.worker for endpoint in changed})
        self.refused_entries.update(endpoint_list)
        self._endpoints.update({endpoint.worker: endpoint for endpoint in changed})
        for endpoint in retained:
            if endpoint.state == EndpointState.GONE:
                self._workers.set_address(endpoint.worker, None)
        for endpoint, listed in zip(endpoints, endpoint_list.endpoints, strict=True):
            self._workers.set_address(endpoint.worker, listed.address)
        with_bans = tuple([self._with_ban(endpoint) for endpoint in changed])
        self._exchange.update_endpoints(kind, endpoint_list.index, with_bans)
        if kind != EndpointListKind.CACHED:
            self.on_list_applied()

    def retained_endpoints(self, refused: Iterable[RefusedEntry]) -> list[Endpoint]:
        """Return the listed workers that malformed entries name.

        Such an entry may drain or remove a worker, but it makes none ready that was not.
        """
        retained = []
        for entry in refused:
            endpoint = self._find_listed(entry.name)
            if endpoint is None:
                continue
            if entry.status is not None and entry.status != EndpointStatus.SERVING:
                endpoint = replace(endpoint, state=_STATES[entry.status])
            retained.append(endpoint)
        return retained

    def _begin_snapshot(self, listed: set[int]) -> None:
        """Remove the workers that are not listed in a snapshot."""
        self.kept_since = None
        self._workers.retain_workers(listed)
        self._endpoints = {
            worker: replace(endpoint, state=EndpointState.GONE)
            for worker, endpoint in self._endpoints.items()
        }

    def remove_kept_workers(self) -> None:
        """Remove the workers that were kept although lists omit them."""
        self.kept_since = None
        gone = [replace(self._endpoints[worker], state=EndpointState.GONE) for worker in self.ready_workers]
        for endpoint in gone:
            self._endpoints[endpoint.worker] = endpoint
            self._workers.set_address(endpoint.worker, None)
        self._exchange.update_endpoints(EndpointListKind.DELTA, self.index or 0, tuple(gone))

    def _to_endpoint(self, listed: ListedEndpoint) -> Endpoint:
        worker, group = self.ids.worker(listed.name), listed.group
        return Endpoint(
            worker=worker,
            zone=self.ids.zone(listed.zone),
            kind=self.ids.kind(listed.kind),
            cell=group if isinstance(group, int) else self.ids.cell(group),
            state=_STATES[listed.status],
            weight=listed.weight,
            ready_at=self.start_times.started_at(worker, listed.since_ms) or listed.first_seen,
        )

    def _with_ban(self, endpoint: Endpoint) -> Endpoint:
        """Return a worker with the state and the start time that the exchange has to use."""
        worker = endpoint.worker
        if endpoint.state == EndpointState.READY and self.ids.worker_name(worker) in self.bans.since:
            return replace(endpoint, state=EndpointState.DRAINING)
        unbanned = self._unbanned.get(worker)
        if unbanned is None:
            return endpoint
        if endpoint.ready_at >= unbanned.banned_at:
            del self._unbanned[worker]  # discovery has announced the restart
            return endpoint
        return replace(endpoint, ready_at=max(endpoint.ready_at, unbanned.unbanned_at))

    def _publish(self, worker: int) -> None:
        """Update the exchange's endpoint of a worker whose ban has begun or ended."""
        if worker in self._endpoints:
            endpoint = self._with_ban(self._endpoints[worker])
            self._exchange.update_endpoints(EndpointListKind.DELTA, self.index or 0, (endpoint,))

    # Handover.

    def state(self) -> RoutingTableState:
        """Return the state of the table for the next process, with all workers that were ever listed."""
        return RoutingTableState(
            index=self.index or 0,
            endpoints=tuple([self._to_record(endpoint) for endpoint in self._endpoints.values()]),
            unbanned_workers=tuple(self._unbanned.values()),
            source_contact_at=self.start_times.source_contact_at,
            source=self._source_state(),
        )

    def _source_state(self) -> SourceState | None:
        history = self.source_history
        if history is None:
            return None
        return SourceState(history.source, history.accepted_index, self.kept_since)

    def take_over(self, state: RoutingTableState, bans: Mapping[str, float]) -> None:
        """Adopt the table and the bans of the previous process."""
        self.bans.since = dict(bans)
        if not self.bans.saved:  # the previous process may not have been able to write them
            self.bans.save()
        for unbanned in state.unbanned_workers:
            self._unbanned[self.ids.worker(unbanned.name)] = unbanned
        for worker in self._endpoints:
            self._publish(worker)
        self._adopt_start_times(state)
        if state.endpoints:
            endpoints = [record.to_platform_form() for record in state.endpoints]
            self.load({"index": state.index, "snapshot": True, "endpoints": endpoints}, cached=True)
        self.start_times.source_contact_at = state.source_contact_at
        if state.source is not None:
            self.source_history = SourceHistory(state.source.source, state.source.accepted_index)
            self.kept_since = state.source.kept_since

    def _adopt_start_times(self, state: RoutingTableState) -> None:
        for record in state.endpoints:
            if record.started_at is not None:
                worker = self.ids.worker(record.name)
                self.start_times.adopt_start(worker, record.since_ms, record.started_at)
        if state.announced_offset is not None:
            self.start_times.adopt_offset(state.announced_offset)

    def _to_record(self, endpoint: Endpoint) -> EndpointRecord:
        host, port = self._workers.address(endpoint.worker) or ("", 0)
        return EndpointRecord(
            name=self.ids.worker_name(endpoint.worker),
            address=f"{host}:{port}",
            status=_STATUSES[endpoint.state].value,
            zone=self.ids.zone_name(endpoint.zone),
            kind=self.ids.kind_name(endpoint.kind),
            group=self.ids.cell_label(endpoint.cell),
            weight=endpoint.weight,
            since_ms=self.start_times.since_ms(endpoint.worker, endpoint.ready_at),
            started_at=endpoint.ready_at,
        )
