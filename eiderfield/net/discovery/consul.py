"""Consul as a source of workers: blocking queries on its health or catalogue API.

An agent that has just begun, or whose cluster has no leader, may list nobody or a few, which is not to say
that the others are gone. Such a list is not confirmed: what it names is taken (a drain above all), what it
leaves out stays for `CONFIRM_AFTER` ms at the most, during which Consul is asked on. The console tells how
many they are.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from dataclasses import replace
from urllib.parse import quote

from eiderfield.exchange.timers import Timers
from eiderfield.net.dialing import Dial
from eiderfield.net.discovery.consul_instances import endpoint_of_catalog, endpoint_of_health
from eiderfield.net.discovery.endpoint_list import EndpointList, EndpointListError, ListedEndpoint
from eiderfield.net.discovery.routing_table import RoutingTable
from eiderfield.net.discovery.settings import DiscoverySettings
from eiderfield.net.discovery.watch import Watch
from eiderfield.net.http import Head, MalformedMessageError, request_bytes

CONFIRM_AFTER = 10_000.0  # ms for which an unconfirmed list takes nobody away: an agent synchronises in that
SHORT_LIST = 0.5  # share of the ready workers known before, under which a list is sharply shorter
ANSWER_SLACK = 2000.0  # ms that an answer may take beyond its wait and the sixteenth that Consul may add
REPEAT_AFTER = 1000.0  # ms before a query that would not block: a source without indexes is not hammered
MAX_INDEX_DIGITS = 20


class ConsulWatch(Watch):
    """Asks again and again for what is newer than the last index."""

    def __init__(
        self,
        table: RoutingTable,
        timers: Timers,
        clock: Callable[[], float],
        dial: Dial,
        discovery: DiscoverySettings,
        log: Callable[[str], None],
    ) -> None:
        """`discovery` is the source's part of the configuration."""
        assert discovery.address is not None
        super().__init__(table, timers, clock, dial, discovery.address, log)
        self._discovery = discovery
        self.silence = discovery.wait_ms * (1.0 + 1.0 / 16.0) + ANSWER_SLACK
        self._index = 0  # that the next query waits beyond; 0: answer at once
        self._answer_index = 0  # of the answer that is coming in
        self._confirmed = False  # whether this connection has brought a list that is beyond doubt
        self._has_leader = True  # whether the cluster has one, as the last answer's head says
        self._unconfirmed_since: float | None = None
        self._first_seen: dict[str, float] | None = None  # by name; 0 for those of the first list

    def connect(self) -> None:
        """Opens a connection, which may lead to another server with indexes of its own."""
        self._index = 0
        self._confirmed = False
        super().connect()

    def next_request(self) -> bytes:
        """A blocking query, or a plain one where there is no index yet."""
        source = self._discovery
        wait_s = max(1, round(source.wait_ms / 1000.0))
        query = f"?index={self._index}&wait={wait_s}s" if self._index else ""
        path = "/v1/health/service/" if source.api == "health" else "/v1/catalog/service/"
        headers = {"X-Consul-Token": source.token} if source.token else {}
        host, port = self.address
        target = f"{path}{quote(source.service, safe='')}{query}"
        return request_bytes("GET", target, f"{host}:{port}", b"", **headers)

    def on_head(self, head: Head) -> None:
        """Takes the index and whether the cluster has a leader."""
        super().on_head(head)
        text = head.get("x-consul-index")
        if not text.isascii() or not text.isdigit() or len(text) > MAX_INDEX_DIGITS:
            raise MalformedMessageError("X-Consul-Index is not a whole number")
        self._answer_index = int(text)
        self._has_leader = head.get("x-consul-knownleader") != "false"
        self.body.clear()

    def on_end(self) -> None:
        """Applies the list and asks for the next one."""
        self.source_alive()
        endpoints = self._endpoints()
        # After a restart or a restored snapshot of Consul an old index would wait for what never comes.
        backwards = self._answer_index < max(1, self._index)
        missing = self._unconfirmed_removals(endpoints, backwards)
        self._index = 0 if backwards or missing else self._answer_index
        self.table.apply(EndpointList(self._answer_index, not missing, self._with_first_seen(endpoints)))
        self.table.start_times.record_source_contact()
        self.table.unconfirmed_removals = missing
        if not missing:
            self.list_applied()
        if self._index:
            self._query()
        else:
            self.set_timer(REPEAT_AFTER, self._query)

    def _endpoints(self) -> list[ListedEndpoint]:
        answer: object = json.loads(self.body)
        self.body.clear()
        if not isinstance(answer, list):
            raise EndpointListError("the answer is not a list")
        read = endpoint_of_health if self._discovery.api == "health" else endpoint_of_catalog
        return [read(entry) for entry in answer]

    def _unconfirmed_removals(self, endpoints: Iterable[ListedEndpoint], backwards: bool) -> int:
        """How many workers a list leaves out that it can't yet take away; 0 if it is beyond doubt."""
        known = self.table.ready_workers
        missing = len(known - {self.table.ids.worker(endpoint.name) for endpoint in endpoints})
        doubtful = not self._confirmed or backwards or not self._has_leader
        if not doubtful or not known or len(known) - missing >= SHORT_LIST * len(known):
            return self._confirm()
        now = self.clock()
        if self._unconfirmed_since is None:
            self._unconfirmed_since = now
            reason = "the agent has just begun" if self._has_leader else "there is no leader"
            self.log(
                f"discovery: a list leaves out {missing} of {len(known)} ready workers and {reason}: "
                f"they are kept for {CONFIRM_AFTER / 1000.0:.0f} s unless it is confirmed or corrected before"
            )
        if now >= self._unconfirmed_since + CONFIRM_AFTER:
            self.log(f"discovery: the list that leaves out {missing} of {len(known)} workers is applied now")
            return self._confirm()
        return missing

    def _confirm(self) -> int:
        """The list is beyond doubt: it keeps nobody that it leaves out."""
        self._confirmed, self._unconfirmed_since = True, None
        return 0

    def _query(self) -> None:
        """Asks on, as often as the pace allows, whatever the source does."""
        if self.connection is None or self.connection.closed:
            return
        if wait := self.backoff.pace(self.clock()):
            self.set_timer(wait, self._query)
            return
        self.source_alive()
        self.connection.send_request()

    def _with_first_seen(self, endpoints: list[ListedEndpoint]) -> tuple[ListedEndpoint, ...]:
        """Instances that appear after the first list have just started, as far as anyone can tell."""
        names = {endpoint.name for endpoint in endpoints}
        if self._first_seen is None:
            self._first_seen = dict.fromkeys(names, 0.0)
        now = self.clock()
        first_seen = self._first_seen = {name: self._first_seen.get(name, now) for name in names}
        return tuple([replace(endpoint, first_seen=first_seen[endpoint.name]) for endpoint in endpoints])
