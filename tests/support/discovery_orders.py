"""Drawn orders of what may happen to a dispatcher that follows Consul or the platform, on a driven clock.

An order consists of changes of the catalogue, interruptions, changes of the configuration, handovers and
kills, while clients send a request every `STEP_MS`. `ReceivedLists` derives the states of the workers from
the lists that the dispatcher received, apart from the code that applies them. `Play` compares them with the
workers at which requests begin.
"""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Any, cast
from urllib.parse import parse_qs, urlsplit

from eiderfield.interface import EndpointState
from eiderfield.net.discovery.active_watch import ActiveWatch
from eiderfield.net.discovery.consul import ConsulWatch
from eiderfield.net.discovery.platform import PlatformWatch
from eiderfield.net.discovery.settings import DiscoveryKind, DiscoverySettings
from eiderfield.net.discovery.watch import Watch
from eiderfield.net.http import END, Head, Parser
from eiderfield.net.link import Link
from support.consul import instance
from support.handover import Side, Wire
from support.memory_dispatcher import Pipe

GRACE_MS = 500.0  # of the rule
MAX_EXCEPTION_MS = 10_000.0  # as docs/discovery.md states it
STEP_MS = 20.0
STEPS_BETWEEN_EVENTS = (1, 60)
EVENTS = 24  # of an order
CALM_MS = 14_000.0  # after the last event: longer than the exception and any wait between calls
WORKERS = 6
FIRST_AGENT_PORT = 8500
HANDOVER_ROUNDS, HANDOVER_STEP_MS = 9, 8.0
PLATFORM_HEARTBEAT_MS = 2000.0
PLATFORM_STATUSES = {"passing": "SERVING", "critical": "DRAINING"}
JsonObject = dict[str, Any]


@dataclass(slots=True)
class Agent:
    """A source of workers: its list, and whether it can be reached."""

    port: int
    kind: DiscoveryKind
    statuses: dict[int, str] = field(default_factory=dict)  # by worker: of its check
    malformed: dict[int, str] = field(default_factory=dict)  # workers without an address, with their status
    has_nameless_entry: bool = False
    index: int = 10
    has_leader: bool = True
    reachable: bool = True

    def endpoints(self) -> list[JsonObject]:
        """Return the endpoints as the platform lists them."""
        found: list[JsonObject] = [
            {"name": f"n/w{number}", "address": f"127.0.0.9:{number}", "status": PLATFORM_STATUSES[status]}
            for number, status in self.statuses.items()
        ]
        for number, status in self.malformed.items():
            found.append({"name": f"n/w{number}", "address": "", "status": PLATFORM_STATUSES[status]})
        if self.has_nameless_entry:
            found.append({"name": "", "status": "SERVING"})
        return found

    def instances(self) -> list[JsonObject]:
        """Return the instances as Consul's health API lists them."""
        found = [instance(f"w{number}", number, status) for number, status in self.statuses.items()]
        for number, status in self.malformed.items():
            found.append({**instance(f"w{number}", number, status), "Service": {"ID": f"w{number}"}})
        if self.has_nameless_entry:
            found.append({"Node": {}, "Service": {"ID": "x"}, "Checks": []})
        return found


class ReceivedLists:
    """The states of workers by the lists that a dispatcher has received since its last kill."""

    def __init__(self) -> None:
        self.gone_since: dict[int, float] = {}  # by worker: when a list omitted or drained it
        self.listed: set[int] = set()  # as passing, in a well-formed entry, and not omitted or drained since
        self.exceptions_since: float | None = None  # when the first of the latest exceptional lists came
        self._highest_index: dict[int, int] = {}  # by agent

    def receive(self, agent: Agent, now: float) -> None:
        """Record the list that an agent sends now."""
        if not agent.statuses and not agent.malformed and agent.has_nameless_entry:
            return  # no entry names a worker: the list is malformed
        passing = {number for number, status in agent.statuses.items() if status == "passing"}
        still_listed = {n for n, status in agent.malformed.items() if status == "passing"} & self.listed
        went_back = agent.index < self._highest_index.get(agent.port, 0)
        self._highest_index[agent.port] = max(agent.index, self._highest_index.get(agent.port, 0))
        named = agent.statuses.keys() | agent.malformed.keys()
        may_be_incomplete = agent.kind == DiscoveryKind.CONSUL and (went_back or agent.has_nameless_entry)
        if not passing and not still_listed and may_be_incomplete:
            self.exceptions_since = now if self.exceptions_since is None else self.exceptions_since
            self._record_gone(self.listed & named, now)
            return
        self.exceptions_since = None
        self._record_gone(self.listed - passing - still_listed, now)
        for number in passing:
            self.gone_since.pop(number, None)
        self.listed = passing | still_listed

    def _record_gone(self, workers: set[int], now: float) -> None:
        for number in workers:
            self.gone_since.setdefault(number, now)
        self.listed -= workers

    def end_exceptions(self, now: float) -> None:
        """Count the workers as gone that were kept for as long as is allowed."""
        if self.exceptions_since is not None and now > self.exceptions_since + MAX_EXCEPTION_MS:
            self._record_gone(set(self.listed), self.exceptions_since + MAX_EXCEPTION_MS)

    def is_late(self, worker: int, now: float) -> bool:
        """Return whether a request that begins now at a worker begins after the grace."""
        return worker in self.gone_since and now > self.gone_since[worker] + GRACE_MS


class Query:
    """A connection of a watch to an agent, and the request that the agent has to answer."""

    def __init__(self, agent: Agent, connection: Any) -> None:
        self.agent = agent
        self.pipe = Pipe(connection)
        self._parser = Parser()
        self._index: int | None = None  # that the request names, 0 for none
        connection.connection_made(self.pipe)

    def answer_if_due(self, now: float) -> bool:
        """Answer the request if there is news; return whether a list was sent."""
        self._parser.feed(bytes(self.pipe.written))
        self.pipe.written.clear()
        while (got := self._parser.poll()) is not None:
            if isinstance(got, Head):
                query = parse_qs(urlsplit(got.target).query)
                self._index = int(query.get("index", query.get("after", ["0"]))[0])
            else:
                assert got is END
        return self._answer(now)

    def _answer(self, now: float) -> bool:
        raise NotImplementedError


class ConsulQuery(Query):
    """A blocking query, which is answered once the agent has another index than the one that it names."""

    def _answer(self, _now: float) -> bool:
        if self._index is None or self._index == self.agent.index:
            return False
        self._index = None
        body = json.dumps(self.agent.instances()).encode()
        head = f"HTTP/1.1 200 OK\r\nX-Consul-Index: {self.agent.index}\r\n"
        head += f"X-Consul-KnownLeader: {str(self.agent.has_leader).lower()}\r\n"
        self.pipe.send(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        return True


class PlatformStream(Query):
    """A watch of the platform: a whole list first, unless none is needed, then changes and empty lines."""

    def __init__(self, agent: Agent, connection: Any) -> None:
        super().__init__(agent, connection)
        self._sent: dict[str, JsonObject] = {}  # the present endpoints by name
        self._sent_index: int | None = None
        self._sent_at = 0.0

    def _answer(self, now: float) -> bool:
        if self._index is None:
            return False
        endpoints = {str(endpoint["name"]): endpoint for endpoint in self.agent.endpoints()}
        if self._sent_index is None:
            self.pipe.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            is_news = self._index != self.agent.index
            changed = list(endpoints.values())
        else:
            is_news = self._sent_index != self.agent.index
            changed = [endpoint for name, endpoint in endpoints.items() if self._sent.get(name) != endpoint]
            removed = self._sent.keys() - endpoints.keys() - {""}
            changed += [{"name": name, "status": "DELETED"} for name in sorted(removed)]
        is_first, self._sent_index, self._sent = self._sent_index is None, self.agent.index, endpoints
        if is_news:
            self._send_line({"index": self.agent.index, "snapshot": is_first, "endpoints": changed}, now)
        elif now >= self._sent_at + PLATFORM_HEARTBEAT_MS:
            self._send_line(None, now)
        return is_news

    def _send_line(self, content: object, now: float) -> None:
        self._sent_at = now
        line = b"\n" if content is None else json.dumps(content).encode() + b"\n"
        self.pipe.send(b"%x\r\n%s\r\n" % (len(line), line))


class Play:
    """One drawn order."""

    def __init__(self, seed: int, kinds: tuple[DiscoveryKind, DiscoveryKind]) -> None:
        self.random = Random(seed)
        self.agents = [Agent(FIRST_AGENT_PORT + number, kind) for number, kind in enumerate(kinds)]
        for agent in self.agents:
            agent.statuses = dict.fromkeys(range(1, WORKERS + 1), "passing")
        self.followed = self.agents[0]
        self.token = 0
        self.is_continued = False  # whether the process has taken over or reloaded
        self.received_lists = ReceivedLists()
        self.late: list[str] = []  # requests that began after the grace
        self.history: list[str] = []
        self.begun = 0
        self.side = Side(workers=0)
        self.side.dispatcher.listener.adopt(
            cast(asyncio.AbstractEventLoop, self.side.loop), socket.create_server(("127.0.0.1", 0))
        )
        self._queries: list[Query] = []
        self._served: dict[int, int] = {}  # by the identity of a worker's connection: requests answered
        self._wires: list[Wire] = []
        self._follow()

    @property
    def now(self) -> float:
        """The time of the present process."""
        return self.side.dispatcher.now

    def run(self) -> None:
        """Play the whole order, then leave the dispatcher alone with sound agents."""
        for _ in range(EVENTS):
            event = self.random.choice(self._events())
            self.history.append(f"{self.now:.0f} {event.__name__}")
            event()
            for _ in range(self.random.randint(*STEPS_BETWEEN_EVENTS)):
                self._step()
        self._recover()
        for _ in range(int(CALM_MS / STEP_MS)):
            self._step()

    def ready_workers(self) -> set[int]:
        """Return the workers to which the dispatcher sends requests."""
        dispatcher = self.side.dispatcher
        states = dispatcher.exchange.endpoints.states.items()
        return {int(dispatcher.ids.worker_name(w)[3:]) for w, s in states if s == EndpointState.READY}

    def close(self) -> None:
        """Close the sockets."""
        self.side.dispatcher.listener.close()
        for wire in self._wires:
            wire.close()

    # Events.

    def _events(self) -> list[Callable[[], None]]:
        return [
            self._change,
            self._change,
            self._shrink,
            self._empty,
            self._drain,
            self._flap,
            self._blip,
            self._cut_off,
            self._go_back,
            self._lose_leader,
            self._spoil_entry,
            self._reload,
            self._hand_over,
            self._kill,
        ]

    def _list(self, agent: Agent, workers: Iterable[int]) -> None:
        agent.statuses = dict.fromkeys(workers, "passing")
        agent.malformed.clear()
        agent.has_nameless_entry = False
        agent.index += 1

    def _draw_workers(self) -> list[int]:
        return self.random.sample(range(1, WORKERS + 1), self.random.randint(1, WORKERS))

    def _change(self) -> None:
        self._list(self.random.choice(self.agents), self._draw_workers())

    def _shrink(self) -> None:
        agent = self.followed
        self._list(agent, list(agent.statuses)[: max(1, len(agent.statuses) // 3)])

    def _empty(self) -> None:
        self._list(self.followed, [])

    def _drain(self) -> None:
        agent = self.followed
        for number in self.random.sample(sorted(agent.statuses), len(agent.statuses) // 2):
            agent.statuses[number] = "critical"
        agent.index += 1

    def _flap(self) -> None:
        for status in ("critical", "passing", "critical", "passing", "critical"):
            number = self.random.randint(1, WORKERS)
            self.followed.malformed.pop(number, None)
            self.followed.statuses[number] = status
            self.followed.index += 1
            self._step()

    def _break(self, agent: Agent) -> None:
        for query in self._queries:
            if query.agent is agent:
                query.pipe.break_off()

    def _blip(self) -> None:
        self._break(self.followed)

    def _cut_off(self) -> None:
        agent = self.followed
        agent.reachable = False
        self._break(agent)
        for _ in range(self.random.randint(1, 100)):
            self._step()
        if self.random.random() < 0.7:
            self._list(agent, self._draw_workers())
        agent.reachable = True

    def _go_back(self) -> None:
        agent = self.followed
        agent.index = self.random.randint(0, max(0, agent.index - 2))
        agent.statuses = dict.fromkeys(self.random.choice(([], self._draw_workers())), "passing")
        agent.malformed.clear()
        if agent.kind == DiscoveryKind.PLATFORM or self.random.random() < 0.5:
            self._break(agent)

    def _lose_leader(self) -> None:
        self.followed.has_leader = not self.followed.has_leader
        self._change()

    def _spoil_entry(self) -> None:
        agent = self.followed
        if self.random.random() < 0.4:
            agent.has_nameless_entry = True
        else:
            number = self.random.randint(1, WORKERS)
            agent.statuses.pop(number, None)
            agent.malformed[number] = self.random.choice(("passing", "critical"))
        agent.index += 1

    def _reload(self) -> None:
        if self.random.random() < 0.5:
            self.followed = self.random.choice(self.agents)
        self.token += 1
        self.is_continued = True
        self._follow_in(self.watch)

    def _hand_over(self) -> None:
        old, new = self.side, Side(workers=0, start=self.now)
        here, there = Wire(), Wire()
        here.peer, there.peer = there, here
        self._wires += [here, there]
        old.handover.accept(cast(Link, here))
        new.handover.take_over(cast(Link, there), new.settle)
        for _ in range(HANDOVER_ROUNDS):
            for side in (old, new):
                side.dispatcher.settle()
                side.dispatcher.advance(HANDOVER_STEP_MS)
            here.deliver()
            there.deliver()
        assert new.done
        here.close()  # the old process ends
        assert there.on_lost is not None
        there.on_lost()
        self.is_continued = True
        self._replace(new)

    def _kill(self) -> None:
        old = self.side.dispatcher
        new = Side(workers=0, start=self.now)
        self.received_lists = ReceivedLists()
        self.is_continued = False
        records = [record.to_platform_form() for record in old.table.state().endpoints]
        new.dispatcher.table.load({"index": 1, "snapshot": True, "endpoints": records}, cached=True)
        new.dispatcher.settle()
        listener = socket.create_server(("127.0.0.1", 0))
        new.dispatcher.listener.adopt(cast(asyncio.AbstractEventLoop, new.loop), listener)
        old.listener.close()
        self._replace(new)

    def _replace(self, side: Side) -> None:
        self.watch.stop()
        self.side = side
        self._queries.clear()
        self._follow()

    def _recover(self) -> None:
        self.history.append(f"{self.now:.0f} calm")
        self._list(self.followed, [1, 2, 3])
        self.followed.reachable = True

    # Activity between events.

    def _follow(self) -> None:
        self.watch = ActiveWatch()
        self._follow_in(self.watch)

    def _new_watch(self, agent: Agent) -> Watch:
        dispatcher = self.side.dispatcher
        common = (dispatcher.table, dispatcher.wheel, dispatcher.clock, dispatcher.dial)
        address = ("127.0.0.1", agent.port)
        if agent.kind == DiscoveryKind.PLATFORM:
            watch = PlatformWatch(*common, address, dispatcher.logged.append)
            watch.needs_snapshot = self.is_continued
            return watch
        settings = DiscoverySettings(agent.kind, address, "workers", token=str(self.token))
        return ConsulWatch(*common, settings, dispatcher.logged.append)

    def _follow_in(self, active: ActiveWatch) -> None:
        active.follow(self._new_watch(self.followed))

    def _step(self) -> None:
        """Let Consul, a client and the workers act, then advance the clock by a step."""
        self._answer_queries()
        self.side.dispatcher.client(id_=f"r{self.begun}-{self.now}")
        self._work()
        self.side.dispatcher.advance(STEP_MS)
        self.received_lists.end_exceptions(self.now)
        self._work()

    def _answer_queries(self) -> None:
        dispatcher = self.side.dispatcher
        for dial in [dial for dial in dispatcher.dials if dial.address[1] >= FIRST_AGENT_PORT]:
            agent = next(agent for agent in self.agents if agent.port == dial.address[1])
            if agent.reachable:
                dispatcher.dials.remove(dial)
                is_platform = agent.kind == DiscoveryKind.PLATFORM
                self._queries.append((PlatformStream if is_platform else ConsulQuery)(agent, dial.connection))
            else:
                dial.refuse()
        for query in self._queries:
            if query.pipe.open and query.answer_if_due(self.now):
                self.received_lists.receive(query.agent, self.now)
                dispatcher.settle()

    def _work(self) -> None:
        """Let the workers accept connections, record what they receive and answer it."""
        dispatcher = self.side.dispatcher
        while True:
            dials = [dial for dial in dispatcher.dials if dial.address[1] < FIRST_AGENT_PORT]
            for dial in dials:
                dial.up()
            waiting = [end for end in dispatcher.ends if end.pipe.open and end.take()]
            for end in waiting:
                self._record(end.worker)
                end.finish()
            if not dials and not waiting:
                return

    def _record(self, worker: int) -> None:
        self.begun += 1
        if self.received_lists.is_late(worker, self.now):
            removed_at = self.received_lists.gone_since[worker]
            self.late.append(
                f"w{worker} at {self.now:.0f}, {self.now - removed_at:.0f} ms after its removal or drain"
            )
