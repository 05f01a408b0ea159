"""A stand-in for Consul's health and catalogue API, in memory."""

from __future__ import annotations

import json
from typing import Any

from eiderfield.interface import EndpointState
from eiderfield.net.discovery.consul import ConsulWatch
from eiderfield.net.discovery.settings import DiscoveryKind, DiscoverySettings
from eiderfield.net.http import END, Head, Parser
from support.memory_dispatcher import InMemoryDispatcher, Pipe


def instance(id_: str, port: int, status: str = "passing", node: str = "n", **meta: str) -> dict[str, Any]:
    return {
        "Node": {"Node": node, "Address": "127.0.0.9", "Datacenter": "dc1"},
        "Service": {
            "ID": id_,
            "Address": "",
            "Port": port,
            "Meta": meta,
            "Weights": {"Passing": 2, "Warning": 1},
        },
        "Checks": [{"Status": "passing"}, {"Status": status}],
    }


def published_instance(number: int) -> dict[str, Any]:
    """Return an instance with all fields of Consul's published form, some 1,600 bytes."""
    node, id_, padding = f"node-{number:05d}", f"worker-{number:05d}", "x" * 150
    check = {
        "Node": node,
        "CheckID": f"service:{id_}",
        "Name": "Service 'claim workers' check",
        "Status": "passing",
        "Notes": "",
        "Output": f"HTTP GET http://127.0.0.9:8000/health: 200 OK Output: {padding}",
        "ServiceID": id_,
        "ServiceName": "claim workers",
        "ServiceTags": ["primary", "v1"],
        "Type": "http",
        "Interval": "10s",
        "Timeout": "1s",
        "ExposedPort": 0,
        "Definition": {},
        "CreateIndex": 14,
        "ModifyIndex": 21,
    }
    addresses = dict.fromkeys(("lan", "lan_ipv4", "wan", "wan_ipv4"), "127.0.0.9")
    return {
        "Node": {
            "ID": f"40e4a748-2192-161a-0510-{number:012d}",
            "Node": node,
            "Address": "127.0.0.9",
            "Datacenter": "dc1",
            "TaggedAddresses": addresses,
            "Meta": {"consul-network-segment": "", "instance_type": "m2.large"},
            "CreateIndex": 6,
            "ModifyIndex": 7,
        },
        "Service": {
            "ID": id_,
            "Service": "claim workers",
            "Tags": ["primary", "v1"],
            "Address": "",
            "TaggedAddresses": {name: {"address": "127.0.0.9", "port": 8000} for name in addresses},
            "Meta": {"zone": "kochi", "type": "m2", "group": "3"},
            "Port": 1 + number,
            "Weights": {"Passing": 10, "Warning": 1},
            "EnableTagOverride": False,
            "Proxy": {"Mode": "", "MeshGateway": {}, "Expose": {}},
            "Connect": {},
            "PeerName": "",
            "CreateIndex": 14,
            "ModifyIndex": 14,
        },
        "Checks": [{**check, "CheckID": "serfHealth", "Type": ""}, check],
    }


class Consul:
    """The stand-in: answers one query at a time."""

    def __init__(self, api: str = "health", dispatcher: InMemoryDispatcher | None = None) -> None:
        self.dispatcher = dispatcher or InMemoryDispatcher(workers=0)
        place = DiscoverySettings(
            DiscoveryKind.CONSUL, ("127.0.0.1", 8500), "claim workers", api, "secret", 30_000.0
        )
        self.follow(place)

    def follow(self, settings: DiscoverySettings) -> None:
        """Follow a source with a new watch, which is connected."""
        dispatcher = self.dispatcher
        self.follower = ConsulWatch(
            dispatcher.table,
            dispatcher.wheel,
            dispatcher.clock,
            dispatcher.dial,
            settings,
            dispatcher.logged.append,
        )
        self.settings = settings
        self.follower.start()
        while not self.dispatcher.dials:
            self.dispatcher.advance(10.0)
        self.connect()

    def reconnect(self) -> None:
        """Break the connection off, and answer the dial that follows."""
        self.pipe.break_off()
        while not self.dispatcher.dials:
            self.dispatcher.advance(10.0)
        self.connect()

    def connect(self) -> None:
        dial = self.dispatcher.dials.pop()
        self.pipe = Pipe(dial.connection)
        dial.connection.connection_made(self.pipe)
        self.parser = Parser()

    def query(self) -> str | None:
        """The query that is out, taken once."""
        self.parser.feed(bytes(self.pipe.written))
        self.pipe.written.clear()
        got = [self.parser.poll(), self.parser.poll()]
        if not isinstance(got[0], Head):
            return None
        assert got[1] is END
        assert got[0].get("x-consul-token") == "secret"
        return got[0].target

    def answer(
        self, index: int, *instances: object, raw: bytes | None = None, has_leader: bool = True
    ) -> None:
        body = json.dumps(instances).encode() if raw is None else raw
        head = f"HTTP/1.1 200 OK\r\nX-Consul-Index: {index}\r\n"
        head += "" if has_leader else "X-Consul-KnownLeader: false\r\n"
        head += f"Content-Length: {len(body)}\r\n\r\n"
        self.pipe.send(head.encode() + body)
        self.dispatcher.settle()

    def states(self) -> dict[str, EndpointState]:
        names = self.dispatcher.ids
        return {
            names.worker_name(w): s
            for w, s in self.dispatcher.exchange.endpoints.states.items()
            if s != EndpointState.GONE
        }
