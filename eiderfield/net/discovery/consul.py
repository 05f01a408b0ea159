"""Consul as a source of workers: blocking queries to its health or catalogue API.

A list is applied as a whole as soon as it is received, on a new connection too, and the workers that it omits
get no new requests. The exception is a list that shows that Consul has lost its state (`source_history`).
Such a list is unconfirmed: the states in it are applied, since they may include drains, but the workers that
it omits are kept while the queries continue, for at most `MAX_KEPT_MS` after the first such list, even if no
further list is received. The console reports the number of workers that are kept in this way.

`X-Consul-KnownLeader: false` marks a list as possibly old, not as incomplete, so it is only logged.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace
from functools import partial
from urllib.parse import quote

from eiderfield.exchange.timers import Timer, Timers
from eiderfield.interface import EndpointState
from eiderfield.net.dialing import Dial
from eiderfield.net.discovery.consul_instances import parse_catalog_entry, parse_health_entry
from eiderfield.net.discovery.endpoint_list import (
    EndpointList,
    EndpointStatus,
    EntryParser,
    ListedEndpoint,
    ParsedEntries,
)
from eiderfield.net.discovery.json_array import JsonArrayReader
from eiderfield.net.discovery.routing_table import RoutingTable
from eiderfield.net.discovery.settings import ConsulApi, DiscoverySettings
from eiderfield.net.discovery.source_history import SourceHistory
from eiderfield.net.discovery.watch import Watch
from eiderfield.net.http import Head, MalformedMessageError, request_bytes

MAX_KEPT_MS = 10_000.0  # for which workers are kept that an unconfirmed list omits
MAX_WAIT_EXTENSION = 1.0 / 16.0  # share of a query's wait by which Consul may extend the wait
RESPONSE_SLACK_MS = 2000.0  # time for a response after the extended wait has ended
REPEAT_INTERVAL_MS = 1000.0  # delay before a query that does not block
MAX_INDEX_DIGITS = 20
MAX_RESPONSE_BYTES = 32 * 1024 * 1024  # an instance has some 2 KB; a fleet may have thousands of workers
MS_PER_SECOND = 1000.0


class ConsulWatch(Watch):
    """A watch that sends Consul one blocking query after another, each for changes after the last index."""

    def __init__(
        self,
        table: RoutingTable,
        timers: Timers,
        clock: Callable[[], float],
        dial: Dial,
        discovery: DiscoverySettings,
        log: Callable[[str], None],
    ) -> None:
        """Create a watch of the source in `discovery`, which must have an address."""
        assert discovery.address is not None
        super().__init__(table, timers, clock, dial, discovery.address, log)
        self._discovery = discovery
        self._history = self._find_history()
        self.heartbeat_timeout = discovery.wait_ms * (1.0 + MAX_WAIT_EXTENSION) + RESPONSE_SLACK_MS
        self._index = 0  # the next query waits for changes after this index; 0 stands for no wait
        self._response_index = 0  # index of the response that is being received
        self._has_leader = True  # whether the cluster had a leader at the last response
        self._begin_response()
        self._kept_timer: Timer | None = None  # ends the time for which omitted workers are kept

    def start(self) -> None:
        """Open the first connection; workers that the previous process kept stay for the rest of the time."""
        if self.table.kept_since is not None and self.table.source_history is self._history:
            self._start_kept_timer(self.table.index or 0)
        super().start()

    def connect(self) -> None:
        """Open a connection; its first query does not wait, since another server may answer it."""
        self._index = 0
        super().connect()

    def stop(self) -> None:
        """Close the watch permanently."""
        self._stop_kept_timer()
        super().stop()

    def next_request(self) -> bytes:
        """Return a blocking query, or one without a wait if there is no index yet."""
        source = self._discovery
        wait_s = max(1, round(source.wait_ms / MS_PER_SECOND))
        query = f"?index={self._index}&wait={wait_s}s" if self._index else ""
        path = "/v1/health/service/" if source.api == ConsulApi.HEALTH else "/v1/catalog/service/"
        headers = {"X-Consul-Token": source.token} if source.token else {}
        host, port = self.address
        target = f"{path}{quote(source.service, safe='')}{query}"
        return request_bytes("GET", target, f"{host}:{port}", b"", **headers)

    def on_head(self, head: Head) -> None:
        """Read the index, and whether the cluster has a leader; raises `MalformedMessageError`."""
        super().on_head(head)
        text = head.get("x-consul-index")
        if not text.isascii() or not text.isdigit() or len(text) > MAX_INDEX_DIGITS:
            raise MalformedMessageError("X-Consul-Index is not a whole number")
        self._response_index = int(text)
        self._has_leader = head.get("x-consul-knownleader") != "false"
        self._begin_response()

    def on_body(self, data: bytes) -> None:
        """Parse the instances that are complete; raises `ValueError` if the list is malformed or too long."""
        self._body_bytes += len(data)
        if self._body_bytes > MAX_RESPONSE_BYTES:
            raise MalformedMessageError("a list is too long")
        self._add_entries(self._reader.feed(data))

    def on_end(self) -> None:
        """Apply the list and schedule the next query; raises `ValueError` if it is malformed."""
        self.record_heartbeat()
        self._add_entries(self._reader.finish())
        entries = self._entries.finish()
        self._begin_response()
        # After a restart of Consul, or the restoration of a snapshot, its indexes begin at lower values: a
        # query with the old index would wait forever.
        self._index = 0 if self._history.has_gone_back(self._response_index) else self._response_index
        self._apply(entries)
        self.table.start_times.record_source_contact()
        if self._index:
            self._query()
        else:
            self.set_timer(REPEAT_INTERVAL_MS, self._query)

    def _begin_response(self) -> None:
        is_health = self._discovery.api == ConsulApi.HEALTH
        self._body_bytes = 0
        self._reader = JsonArrayReader()
        self._entries = EntryParser(parse_health_entry if is_health else parse_catalog_entry)

    def _add_entries(self, entries: Iterable[object]) -> None:
        for entry in entries:
            self._entries.add(entry)

    def _find_history(self) -> SourceHistory:
        """Return the history that the table holds of this source, which an earlier watch may have begun."""
        source = self._discovery.source
        known = self.table.source_history
        return known if known is not None and known.source == source else SourceHistory(source)

    def _apply(self, entries: ParsedEntries) -> None:
        """Apply a list as a whole, or without its omissions if it may be incomplete."""
        index = self._response_index
        retained = self.table.retained_endpoints(entries.refused)
        listed = {self.table.ids.worker(endpoint.name) for endpoint in entries.endpoints}
        omitted = len(self.table.ready_workers - listed - {endpoint.worker for endpoint in retained})
        keeps_omitted = omitted > 0 and self._history.may_be_incomplete(
            index,
            lists_ready_worker=any(e.status == EndpointStatus.SERVING for e in entries.endpoints)
            or any(endpoint.state == EndpointState.READY for endpoint in retained),
            has_nameless_entry=any(not entry.name for entry in entries.refused),
        )
        endpoints = self._with_first_seen(entries.endpoints)
        self.apply_list(EndpointList(index, not keeps_omitted, endpoints, entries.refused))
        self.table.source_history = self._history
        if keeps_omitted:
            self._keep_omitted(omitted, index)
        else:
            self._accept(index)

    def _accept(self, index: int) -> None:
        """Record that a list is in force as a whole."""
        self._stop_kept_timer()
        self._history.accepted_index = index
        self.report_first_list()

    def _keep_omitted(self, omitted: int, index: int) -> None:
        """Keep the workers that a list omits, unless workers have been kept for too long already."""
        if self.table.kept_since is None:
            self.table.kept_since = self.clock()
            self.log(
                "discovery: list omits ready workers, keeping them until it is confirmed "
                f"(omitted={omitted} ready={len(self.table.ready_workers)} index={index} "
                f"accepted_index={self._history.accepted_index} leader={self._has_leader} "
                f"timeout_ms={MAX_KEPT_MS:.0f})"
            )
        self._start_kept_timer(index)

    def _start_kept_timer(self, index: int) -> None:
        """Remove the kept workers at the time limit; `index` is that of the list that omits them."""
        assert self.table.kept_since is not None
        if self._kept_timer is None:
            drop = partial(self._drop_kept, index)
            self._kept_timer = self.timers.call_at(self.table.kept_since + MAX_KEPT_MS, drop)

    def _drop_kept(self, index: int) -> None:
        """Remove the workers that were kept although lists omit them."""
        if self.table.kept_since is not None:
            self.log(f"discovery: unconfirmed list applied (omitted={self.table.unconfirmed_removals})")
            self.table.remove_kept_workers()
            self._accept(index)

    def _stop_kept_timer(self) -> None:
        if self._kept_timer is not None:
            self._kept_timer.cancel()
            self._kept_timer = None

    def _query(self) -> None:
        """Send the next query, now or when the rate limit of `backoff` allows it."""
        if self.connection is None or self.connection.closed:
            return
        if wait := self.backoff.acquire_call(self.clock()):
            self.set_timer(wait, self._query)
            return
        self.record_heartbeat()
        self.connection.send_request()

    def _with_first_seen(self, endpoints: Iterable[ListedEndpoint]) -> tuple[ListedEndpoint, ...]:
        """Return endpoints with the times of their first listing, used where their starts are unknown.

        A worker that the table holds keeps its start. Those in the first list of a source may have run for
        long; one that is listed later has just started.
        """
        first_seen = 0.0 if self._history.accepted_index is None else self.clock()
        return tuple([self._with_known_start(endpoint, first_seen) for endpoint in endpoints])

    def _with_known_start(self, endpoint: ListedEndpoint, default: float) -> ListedEndpoint:
        started_at = self.table.known_start(endpoint.name)
        return replace(endpoint, first_seen=default if started_at is None else started_at)
