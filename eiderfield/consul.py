"""Consul as a source of workers: blocking queries on its health or catalogue API.

An instance is ready while its checks pass or warn, draining while one is critical (maintenance is a critical
check) and gone once it is not listed. Service metadata may hold `zone`, `type`, `group` and `since_ms`.

An agent that has just begun, or whose cluster has no leader, may list nobody or a few, which is not to say
that the others are gone. Such a list is in doubt: what it names is taken (a drain above all), what it leaves
out stays for `DOUBT` ms at the most, during which Consul is asked on. The console tells how many they are.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from dataclasses import replace
from math import isfinite
from typing import Any
from urllib.parse import quote

from eiderfield.config import Address, Discovery
from eiderfield.exchange import Timers
from eiderfield.interface import Entry, ListKind, State
from eiderfield.net.http import Head, Malformed, request_bytes
from eiderfield.net.routing import Follower, RoutingTable
from eiderfield.net.worker import Dial

DOUBT = 10_000.0  # ms for which a list in doubt takes nobody away: an agent has synchronised by then
SHORT = 0.5  # share of the ready workers known before, under which a list is sharply shorter
SLACK = 2000.0  # ms that an answer may take beyond its wait and the sixteenth that Consul may add


class ConsulFollower(Follower):
    """Asks again and again for what is newer than the last index."""

    pause = 1000.0  # ms before a query that would not block, so that a source without indexes is not hammered

    def __init__(
        self,
        table: RoutingTable,
        timers: Timers,
        clock: Callable[[], float],
        dial: Dial,
        discovery: Discovery,
        log: Callable[[str], None],
    ) -> None:
        assert discovery.address is not None
        super().__init__(table, timers, clock, dial, discovery.address, log)
        self._discovery = discovery
        self.silence = discovery.wait * (1.0 + 1.0 / 16.0) + SLACK
        self._index = 0  # 0: answer at once
        self._next = 0
        self._first = True  # whether the connection has brought no list that is beyond doubt
        self._leader = True  # whether the cluster has one, as the last answer's head says
        self._doubt: float | None = None  # since when lists have been in doubt
        self._since: dict[str, float] | None = None  # when instances without since_ms were first seen

    def start(self) -> None:
        """A new connection may be to another server with indexes of its own."""
        self._index = 0
        self._first = True
        super().start()

    def message(self) -> bytes:
        """A blocking query, or a plain one where there is no index yet."""
        d = self._discovery
        wait = f"?index={self._index}&wait={max(1, round(d.wait / 1000.0))}s" if self._index else ""
        path = "/v1/health/service/" if d.api == "health" else "/v1/catalog/service/"
        headers = {"X-Consul-Token": d.token} if d.token else {}
        host, port = self.address
        target = f"{path}{quote(d.service, safe='')}{wait}"
        return request_bytes("GET", target, f"{host}:{port}", b"", **headers)

    def head(self, head: Head) -> None:
        """Takes the index. One that goes backwards, or is no index at all, is begun anew from nothing."""
        super().head(head)
        text = head.get("x-consul-index")
        if not text.isascii() or not text.isdigit() or len(text) > 20:
            raise Malformed("X-Consul-Index is not a whole number")
        self._next = int(text)
        self._leader = head.get("x-consul-knownleader") != "false"
        self.text.clear()

    def end(self) -> None:
        """Applies the list and asks for the next one."""
        self.heard()
        told: object = json.loads(self.text)
        self.text.clear()
        if not isinstance(told, list):
            raise Malformed("the answer is not a list")
        read = self._health if self._discovery.api == "health" else self._catalogue
        named = [read(entry) for entry in told]
        # After a restart or a restored snapshot of Consul an old index would wait for what never comes.
        backwards = self._next < max(1, self._index)
        kept = self._in_doubt({entry.worker for _, entry, _ in named}, backwards)
        self._index = 0 if backwards or kept else self._next
        self._learn(named)
        kind = ListKind.DELTA if kept else ListKind.FULL
        self.table.replace(self._next, kind, [(entry, address) for _, entry, address in named])
        self.table.starts.source_heard()
        self.table.doubted = kept
        if not kept:
            self.told()
        if self._index:
            self._ask()
        else:
            self.arm(self.pause, self._ask)

    def _in_doubt(self, named: set[int], backwards: bool) -> int:
        """How many workers a list leaves out that it can't yet take away; 0 if it is beyond doubt."""
        known = self.table.ready
        missing = len(known - named)
        reason = self._first or backwards or not self._leader
        if not reason or len(known) - missing >= SHORT * len(known) or not known:
            self._first, self._doubt = False, None
            return 0
        now = self.clock()
        if self._doubt is None:
            self._doubt = now
            why = "there is no leader" if not self._leader else "the agent has just begun"
            self.log(
                f"discovery: a list leaves out {missing} of {len(known)} ready workers and {why}: "
                f"they are kept for {DOUBT / 1000.0:.0f} s unless it is borne out or mended before"
            )
        if now >= self._doubt + DOUBT:
            self.log(f"discovery: the list that leaves out {missing} of {len(known)} workers is taken now")
            self._first, self._doubt = False, None
            return 0
        return missing

    def _ask(self) -> None:
        """Asks on, as often as the pace allows, whatever the source does."""
        if self.feed is None or self.feed.closed:
            return
        if wait := self.backoff.pace(self.clock()):
            self.arm(wait, self._ask)
            return
        self.heard()
        self.feed.ask()

    def _learn(self, named: list[tuple[str, Entry, Address]]) -> None:
        """Instances that appear later have just started, as far as anyone can tell: they are cold."""
        names = {name for name, _, _ in named}
        if self._since is None:
            self._since = dict.fromkeys(names, 0.0)
        now = self.clock()
        self._since = {name: self._since.get(name, now) for name in names}
        for place, (name, entry, address) in enumerate(named):
            if not entry.ready_at and self._since[name]:
                named[place] = (name, replace(entry, ready_at=self._since[name]), address)

    def _health(self, told: object) -> tuple[str, Entry, Address]:
        node, service = _part(told, "Node"), _part(told, "Service")
        checks = told.get("Checks") if isinstance(told, Mapping) else None
        if not isinstance(checks, list) or not all(isinstance(check, Mapping) for check in checks):
            raise ValueError("Checks is not a list")
        statuses = {check.get("Status") for check in checks}
        state = State.READY if statuses <= {"passing", "warning"} else State.DRAINING
        weight = _part(service, "Weights").get("Warning" if "warning" in statuses else "Passing", 1)
        address = service.get("Address") or node.get("Address")
        return self._instance(
            node.get("Node"), service.get("ID"), address, service.get("Port"), node.get("Datacenter"),
            _part(service, "Meta"), state, weight,
        )  # fmt: skip

    def _catalogue(self, told: object) -> tuple[str, Entry, Address]:
        if not isinstance(told, Mapping):
            raise ValueError("an instance is not an object")
        return self._instance(
            told.get("Node"), told.get("ServiceID"), told.get("ServiceAddress") or told.get("Address"),
            told.get("ServicePort"), told.get("Datacenter"), _part(told, "ServiceMeta"), State.READY,
            _part(told, "ServiceWeights").get("Passing", 1),
        )  # fmt: skip

    def _instance(
        self, node: Any, id_: Any, host: Any, port: Any, centre: Any, meta: Mapping[str, Any], state: State,
        weight: Any,
    ) -> tuple[str, Entry, Address]:  # fmt: skip
        if not isinstance(node, str) or not isinstance(id_, str) or not id_:
            raise ValueError("an instance has no Node or no ID")
        name = f"{node}/{id_}"  # an ID is unique on its node alone
        if not isinstance(host, str) or not host or not isinstance(port, int) or not 0 < port < 65536:
            raise ValueError(f"{name}: no address or port")
        ids = self.table.ids
        entry = Entry(
            ids.worker(name),
            ids.zone(str(meta.get("zone") or centre or "")),
            ids.kind(str(meta.get("type", ""))),
            ids.cell(str(meta.get("group", ""))),
            state,
            float(weight) if isinstance(weight, int | float) else 1.0,
        )
        started = self.table.starts.started_at(entry.worker, _since(meta.get("since_ms"), name))
        entry = replace(entry, ready_at=started)
        return name, entry, (host, port)


def _part(told: object, key: str) -> Mapping[str, Any]:
    if not isinstance(told, Mapping):
        raise ValueError(f"{key} is missing")
    part = told.get(key) or {}
    if not isinstance(part, Mapping):
        raise ValueError(f"{key} is not an object")
    return part


def _since(text: object, name: str) -> float:
    """Metadata are texts."""
    if text is None:
        return 0.0
    try:
        since = float(str(text))
    except ValueError:
        since = -1.0
    if not isfinite(since) or since < 0.0:
        raise ValueError(f"{name}: since_ms is not a number")
    return since
