"""Consul as a source of workers: blocking queries to its health or catalogue API.

An agent that has just started, or whose cluster has no leader, may list none or only some of the instances
that are running. Such a list is unconfirmed: the states in it are applied, since they may include drains, but
the workers that it omits are kept for up to `CONFIRMATION_TIMEOUT_MS` while the queries continue. The console
reports the number of workers that are kept in this way.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from dataclasses import replace
from urllib.parse import quote

from eiderfield.exchange.timers import Timers
from eiderfield.net.dialing import Dial
from eiderfield.net.discovery.consul_instances import parse_catalog_entry, parse_health_entry
from eiderfield.net.discovery.endpoint_list import EndpointList, EndpointListError, ListedEndpoint
from eiderfield.net.discovery.routing_table import RoutingTable
from eiderfield.net.discovery.settings import ConsulApi, DiscoverySettings
from eiderfield.net.discovery.watch import Watch
from eiderfield.net.http import Head, MalformedMessageError, request_bytes

CONFIRMATION_TIMEOUT_MS = 10_000.0  # until an unconfirmed list is applied; an agent syncs in less time
MIN_LISTED_SHARE = 0.5  # share of the known ready workers below which a list may need confirmation
MAX_WAIT_EXTENSION = 1.0 / 16.0  # share of a query's wait by which Consul may extend the wait
RESPONSE_SLACK_MS = 2000.0  # time for a response after the extended wait has ended
REPEAT_INTERVAL_MS = 1000.0  # delay before a query that does not block
MAX_INDEX_DIGITS = 20
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
        self.heartbeat_timeout = discovery.wait_ms * (1.0 + MAX_WAIT_EXTENSION) + RESPONSE_SLACK_MS
        self._index = 0  # the next query waits for changes after this index; 0 stands for no wait
        self._response_index = 0  # index of the response that is being received
        self._confirmed = False  # whether a list was confirmed on this connection
        self._has_leader = True  # whether the cluster had a leader at the last response
        self._unconfirmed_since: float | None = None
        self._first_seen: dict[str, float] | None = None  # by instance name; 0 for those in the first list

    def connect(self) -> None:
        """Open a connection; the indexes are reset, since another server may answer, with other indexes."""
        self._index = 0
        self._confirmed = False
        super().connect()

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
        self.body.clear()

    def on_end(self) -> None:
        """Apply the list and schedule the next query; raises `EndpointListError`."""
        self.record_heartbeat()
        endpoints = self._parse_endpoints()
        # After a restart of Consul, or the restoration of a snapshot, its indexes begin at lower values: a
        # query with the old index would wait forever.
        index_went_back = self._response_index < max(1, self._index)
        unconfirmed = self._count_unconfirmed_removals(endpoints, index_went_back)
        self._index = 0 if index_went_back or unconfirmed else self._response_index
        listed = self._with_first_seen(endpoints)
        self.table.apply(EndpointList(self._response_index, snapshot=not unconfirmed, endpoints=listed))
        self.table.start_times.record_source_contact()
        self.table.unconfirmed_removals = unconfirmed
        if not unconfirmed:
            self.report_first_list()
        if self._index:
            self._query()
        else:
            self.set_timer(REPEAT_INTERVAL_MS, self._query)

    def _parse_endpoints(self) -> list[ListedEndpoint]:
        answer: object = json.loads(self.body)
        self.body.clear()
        if not isinstance(answer, list):
            raise EndpointListError("the answer is not a list")
        parse = parse_health_entry if self._discovery.api == ConsulApi.HEALTH else parse_catalog_entry
        return [parse(entry) for entry in answer]

    def _count_unconfirmed_removals(self, endpoints: Iterable[ListedEndpoint], index_went_back: bool) -> int:
        """Return the number of omitted workers to be kept for now; 0 if the list is confirmed.

        A list is unconfirmed if it lists less than `MIN_LISTED_SHARE` of the known ready workers, and no list
        of its connection is confirmed, its index went back or the cluster has no leader. After
        `CONFIRMATION_TIMEOUT_MS` it counts as confirmed.
        """
        known = self.table.ready_workers
        omitted = len(known - {self.table.ids.worker(endpoint.name) for endpoint in endpoints})
        needs_confirmation = not self._confirmed or index_went_back or not self._has_leader
        if not needs_confirmation or not known or len(known) - omitted >= MIN_LISTED_SHARE * len(known):
            self._confirm()
            return 0
        now = self.clock()
        if self._unconfirmed_since is None:
            self._unconfirmed_since = now
            reason = "new connection" if self._has_leader else "no leader"
            self.log(
                f"discovery: list omits ready workers, keeping them until it is confirmed "
                f"(omitted={omitted} ready={len(known)} reason={reason!r} "
                f"timeout_ms={CONFIRMATION_TIMEOUT_MS:.0f})"
            )
        if now >= self._unconfirmed_since + CONFIRMATION_TIMEOUT_MS:
            self.log(f"discovery: unconfirmed list applied (omitted={omitted} ready={len(known)})")
            self._confirm()
            return 0
        return omitted

    def _confirm(self) -> None:
        """Record that a list of this connection is confirmed."""
        self._confirmed, self._unconfirmed_since = True, None

    def _query(self) -> None:
        """Send the next query, now or when the rate limit of `backoff` allows it."""
        if self.connection is None or self.connection.closed:
            return
        if wait := self.backoff.acquire_call(self.clock()):
            self.set_timer(wait, self._query)
            return
        self.record_heartbeat()
        self.connection.send_request()

    def _with_first_seen(self, endpoints: list[ListedEndpoint]) -> tuple[ListedEndpoint, ...]:
        """Return endpoints with the times of their first listing, used where their starts are unknown."""
        names = {endpoint.name for endpoint in endpoints}
        if self._first_seen is None:
            self._first_seen = dict.fromkeys(names, 0.0)
        now = self.clock()
        first_seen = self._first_seen = {name: self._first_seen.get(name, now) for name in names}
        return tuple([replace(endpoint, first_seen=first_seen[endpoint.name]) for endpoint in endpoints])
