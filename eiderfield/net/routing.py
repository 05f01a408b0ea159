"""The routing table and its watch: discovery's list, followed for as long as the program runs.

Theory of operation. A follower has one feed at a time, and one timer that decides what comes next.

    dialling ──(up)──> asked ──(a whole list, or an empty line)──> heard ──┐
       │                 │                                           ^──────┘
       │                 └──(no whole line for SILENCE)──> dialling again, at once
       ├──(DIAL passes)──> dialling again, at once
       └──(refused; from any state: broken off, ended, unreadable)──> waiting ──(`Backoff`)──> dialling

After a new configuration two followers run until the new one has told a list (`Following`).

What must never happen: a table changed by a list that is not whole or not understood; a source that is silent
with no call waiting at it; a wait longer than `Backoff` bounds; a time in which nobody is followed.
"""

from __future__ import annotations

import asyncio
import json
import re
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import replace
from functools import partial
from math import inf, isfinite

from eiderfield.config import ConfigError, address_of
from eiderfield.exchange import Exchange, Timer, Timers
from eiderfield.idmap import IdMap
from eiderfield.interface import Entry, ListKind, State
from eiderfield.net.backoff import DIAL, Backoff
from eiderfield.net.bans import Bans
from eiderfield.net.clock import WallClock
from eiderfield.net.http import Head, Malformed, Parser, request_bytes
from eiderfield.net.start_times import StartTimes
from eiderfield.net.table_state import EndpointState, RoutingTableState, UnbannedWorker
from eiderfield.net.worker import Address, Dial, Dialling, WorkerSide

SILENCE = 2600.0  # ms without even an empty line, which comes every 2 s, until the watch is opened anew
MAX_LIST = 4 * 1024 * 1024  # bytes of one list: thousands of workers
MAX_DEPTH = 64  # brackets open in a list, which has three

SILENT = ("silent", "unreachable")  # kinds of loss at which the source said nothing, good or bad

_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')
_STATES = {"SERVING": State.READY, "DRAINING": State.DRAINING, "DELETED": State.GONE}
_STATUSES = {state: status for status, state in _STATES.items()}
_SCRATCH = memoryview(bytearray(65536))


class RoutingTable:
    """Takes lists and gives them to the exchange and to the worker side, with operators' bans applied."""

    def __init__(
        self,
        exchange: Exchange,
        workers: WorkerSide,
        ids: IdMap,
        bans: Bans,
        clock: Callable[[], float],
        wall: WallClock | None = None,
    ) -> None:
        self._exchange = exchange
        self._workers = workers
        self._clock = clock
        self.ids = ids
        self.bans = bans
        bans.found_late = self._begin
        # Without a wall clock, discovery's times are those of `clock`.
        self.starts = StartTimes(clock, wall or WallClock(clock, clock))
        self.index: int | None = None
        self.reopened: Counter[str] = Counter()  # watches so far that were lost and opened anew, by why
        self.doubted = 0  # workers that the last list left out and that are kept while it is in doubt
        self.heard: Callable[[], None] = lambda: None  # called when a source has told a list
        # Told of each ban with its time, and of its end with None.
        self.ruled: Callable[[str, float | None], None] = lambda name, since: None
        self._told: dict[int, Entry] = {}  # what discovery last said of each worker that it ever named
        # When a worker given back was banned, and when it is taken to have started.
        self._cold: dict[int, tuple[float, float]] = {}

    @property
    def listed(self) -> set[int]:
        """The workers in the list, whatever their state."""
        return {worker for worker, entry in self._told.items() if entry.state != State.GONE}

    @property
    def ready(self) -> set[int]:
        """The workers that discovery last called ready, banned ones among them."""
        return {worker for worker, entry in self._told.items() if entry.state == State.READY}

    def ban(self, name: str, then: Callable[[bool], None] = lambda written: None) -> bool | None:
        """Leaves a worker out, whatever discovery says. None if it was never listed; else `then` hears
        whether the ban is written down, and it is in force in either case."""
        if not self._named(name):
            return None
        if name not in self.bans.since:  # a ban that is called again began when it was first called
            self._begin(name, self._clock())
        self.bans.keep(then)
        return True

    def _begin(self, name: str, since: float) -> None:
        self.bans.since[name] = since
        worker = self.ids.worker(name)
        self._cold.pop(worker, None)
        self._pass_on(worker)
        self._workers.close_idle(worker)  # its process is about to end
        self.ruled(name, since)

    def unban(self, name: str, then: Callable[[bool], None] = lambda written: None) -> bool | None:
        """Gives a worker back as discovery last told it; answers as `ban` does."""
        if not self._named(name):
            return None
        self._end_ban(name)
        self.bans.keep(then)
        return True

    def _end_ban(self, name: str) -> None:
        since = self.bans.remove(name)
        if since is not None:
            worker = self.ids.worker(name)
            told = self._told.get(worker)
            if told is not None and told.ready_at < since:
                # It may have been restarted since, and discovery tells of that seconds late: sent as much
                # as a warm worker, it could fall over.
                self._cold[worker] = (since, self._clock())
            self._pass_on(worker)
            self.ruled(name, None)

    def state(self) -> RoutingTableState:
        """The table with all workers that were ever listed, for the next process."""
        unbanned = [UnbannedWorker(self.ids.name(worker), *times) for worker, times in self._cold.items()]
        endpoints = [self._endpoint_state(entry) for entry in self._told.values()]
        return RoutingTableState(self.index or 0, tuple(endpoints), tuple(unbanned), self.starts.heard)

    def _endpoint_state(self, entry: Entry) -> EndpointState:
        host, port = self._workers.address(entry.worker) or ("", 0)
        return EndpointState(
            name=self.ids.name(entry.worker),
            address=f"{host}:{port}",
            status=_STATUSES[entry.state],
            zone=self.ids.zone_name(entry.zone),
            kind=self.ids.kind_name(entry.kind),
            group=entry.cell,
            weight=entry.weight,
            since_ms=self.starts.since_ms(entry.worker, entry.ready_at),
            started=entry.ready_at,
        )

    def take_over(self, state: RoutingTableState, bans: Mapping[str, float]) -> None:
        """Goes on from the table and the bans of another process."""
        self.bans.since = dict(bans)
        if not self.bans.written:  # the process before may not have been able to write them
            self.bans.keep()
        for unbanned in state.unbanned:
            self._cold[self.ids.worker(unbanned.name)] = (unbanned.banned, unbanned.unbanned)
        for worker in self._told:
            self._pass_on(worker)
        for endpoint in state.endpoints:
            if endpoint.started is not None:
                self.starts.take_over(self.ids.worker(endpoint.name), endpoint.since_ms, endpoint.started)
        if state.endpoints:
            endpoints = [endpoint.listed() for endpoint in state.endpoints]
            self.load({"index": state.index, "snapshot": True, "endpoints": endpoints}, cached=True)
        self.starts.heard = state.source_heard

    def heed(self, name: str, since: float | None) -> None:
        """The dispatcher's other process banned a worker, or gave it back."""
        if since is None and name in self.bans.since:
            self._end_ban(name)
        elif since is not None and name not in self.bans.since:
            self._begin(name, since)
        self.bans.keep_later()

    def _named(self, name: str) -> bool:
        return name in self.bans.since or self.ids.known(name) in self._told

    def _pass_on(self, worker: int) -> None:
        if worker in self._told:
            entry = self._ruled(self._told[worker])
            self._exchange.routing(ListKind.DELTA, self.index or 0, (entry,))

    def _ruled(self, told: Entry) -> Entry:
        """What the exchange is told of a worker: a banned one drains, one given back may be cold."""
        worker = told.worker
        if told.state == State.READY and self.ids.name(worker) in self.bans.since:
            return replace(told, state=State.DRAINING)
        banned, given_back = self._cold.get(worker, (inf, 0.0))
        if told.ready_at >= banned:
            del self._cold[worker]  # discovery has told of the start by now
            return told
        return replace(told, ready_at=max(told.ready_at, given_back))

    def load(self, told: object, cached: bool = False) -> None:
        """Applies a list in discovery's form; raises `ValueError` and changes nothing if it is malformed."""
        if not isinstance(told, dict) or not isinstance(told.get("endpoints"), list):
            raise ValueError("a list without endpoints")
        index = told.get("index")
        if not isinstance(index, int) or isinstance(index, bool):
            raise ValueError("index is not a whole number")
        named = [self._entry(entry) for entry in told["endpoints"]]
        kind = ListKind.DELTA
        if told.get("snapshot"):
            kind = ListKind.CACHED if cached else ListKind.FULL
        self.replace(index, kind, named)

    def replace(self, index: int, kind: ListKind, named: list[tuple[Entry, Address]]) -> None:
        """Applies a list that is already understood."""
        self.index = index
        if kind != ListKind.DELTA:
            self._workers.keep_only({entry.worker for entry, _ in named})
            self._told = {worker: replace(entry, state=State.GONE) for worker, entry in self._told.items()}
        for entry, address in named:
            self._told[entry.worker] = entry
            self._workers.readdress(entry.worker, None if entry.state == State.GONE else address)
        self._exchange.routing(kind, index, tuple(self._ruled(entry) for entry, _ in named))
        if kind != ListKind.CACHED:
            self.heard()

    def _entry(self, told: object) -> tuple[Entry, Address]:
        if not isinstance(told, Mapping):
            raise ValueError("an endpoint is not an object")
        name, state = told.get("name"), told.get("status")
        if not isinstance(name, str) or not name:
            raise ValueError("an endpoint has no name")
        if state not in _STATES:
            raise ValueError(f"endpoint {name}: unknown status {state!r}")
        group = told.get("group", 0)
        entry = Entry(
            self.ids.worker(name),
            self.ids.zone(str(told.get("zone", ""))),
            self.ids.kind(str(told.get("type", ""))),
            group if isinstance(group, int) else self.ids.cell(str(group)),
            _STATES[state],
            _number(told.get("weight", 1.0), f"endpoint {name}: weight"),
        )
        since_ms = _number(told.get("since_ms", 0), f"endpoint {name}: since_ms")
        entry = replace(entry, ready_at=self.starts.started_at(entry.worker, since_ms))
        if entry.state == State.GONE:
            return entry, ("", 0)
        try:
            return entry, address_of(str(told.get("address")), f"endpoint {name}: address")
        except ConfigError as error:
            raise ValueError(str(error)) from None


def _number(value: object, key: str) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not isfinite(value):
        raise ValueError(f"{key} is not a number")
    return float(value)


class Feed(asyncio.BufferedProtocol):
    """One connection to a source of workers."""

    def __init__(self, follower: Follower) -> None:
        self._follower = follower
        self._parser = Parser(answers=True, max_body=0)
        self._transport: asyncio.Transport | None = None
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if self.closed:
            transport.abort()
            return
        self._follower.up(self)
        self.ask()

    def get_buffer(self, sizehint: int) -> memoryview:
        return _SCRATCH

    def buffer_updated(self, nbytes: int) -> None:
        if self.closed:
            return
        self._parser.feed(_SCRATCH[:nbytes])
        try:
            # A source that sends nonsense must not end the program: the table stays, the feed is opened anew.
            while not self.closed and (got := self._parser.poll()) is not None:
                if isinstance(got, Head):
                    if got.status >= 200:
                        self._follower.head(got)
                elif isinstance(got, bytes):
                    self._follower.data(got)
                else:
                    self._follower.end()
        except (ValueError, RecursionError) as error:
            self._follower.lost(self, str(error), "malformed")

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.closed:
            self._follower.lost(self, "the connection is lost", "broken")

    def ask(self) -> None:
        """Writes the follower's next request."""
        if self._transport is not None:
            self._transport.write(self._follower.message())

    def close(self) -> None:
        """Closes the connection."""
        self.closed = True
        if self._transport is not None:
            self._transport.abort()


class Follower:
    """Keeps a feed open. While its source is silent or cut off, the table stays as it was."""

    silence = SILENCE

    def __init__(
        self,
        table: RoutingTable,
        timers: Timers,
        clock: Callable[[], float],
        dial: Dial,
        address: Address,
        log: Callable[[str], None],
    ) -> None:
        self.backoff = Backoff()  # the program puts in its own, where others share the source
        self.first: Callable[[], None] = lambda: None  # called when the source has told its first list
        self.table = table
        self.address = address
        self.clock = clock
        self.log = log
        self.text = bytearray()
        self.feed: Feed | None = None
        self._timers = timers
        self._dial = dial
        self._dialling: Dialling | None = None
        self._timer: Timer | None = None

    def message(self) -> bytes:
        """The next request."""
        raise NotImplementedError

    def head(self, head: Head) -> None:
        """An answer's head."""
        if head.status != 200:
            raise Malformed(f"the answer is {head.status}")

    def data(self, data: bytes) -> None:
        """A piece of an answer's body."""
        self.text += data
        if len(self.text) > MAX_LIST:
            raise Malformed("a list is too long")

    def end(self) -> None:
        """An answer's end."""
        raise NotImplementedError

    def begin(self) -> None:
        """Opens the first feed, when it is this dispatcher's turn."""
        if wait := self.backoff.first(self.table.index is not None):
            self.arm(wait, self.start)
        else:
            self.start()

    def start(self) -> None:
        """Opens a feed."""
        feed = self.feed = Feed(self)
        self.text.clear()
        self.arm(DIAL, lambda: self.lost(feed, "it cannot be reached in time", "unreachable"))
        refused = partial(self.lost, feed, "it cannot be reached", "refused")
        self._dialling = self._dial(feed, self.address, refused)

    def up(self, feed: Feed) -> None:
        """A feed's connection has come up."""
        if feed is self.feed:
            self._listen(feed)

    def stop(self) -> None:
        """Ends the feed for good."""
        self._drop()
        if self._timer is not None:
            self._timer.cancel()

    def told(self) -> None:
        """The source has told a list."""
        first, self.first = self.first, lambda: None
        first()

    def heard(self) -> None:
        """A sign of life."""
        feed = self.feed
        self.backoff.heard()
        if feed is not None:
            self._listen(feed)

    def _listen(self, feed: Feed) -> None:
        self.arm(self.silence, lambda: self.lost(feed, "it is silent", "silent"))

    def lost(self, feed: Feed, why: str, kind: str) -> None:
        """A feed is of no use any more: another is opened after a while, which the kind of loss decides."""
        if feed.closed or feed is not self.feed:
            return
        self._drop()
        self.table.reopened[kind] += 1
        wait = 0.0 if kind in SILENT else self.backoff.next(self.clock())
        self.log(f"discovery: {why}; following again after index {self.table.index} in {wait:.0f} ms")
        self.arm(wait, self.start)

    def arm(self, wait: float, call: Callable[[], None]) -> None:
        """Sets the one timer."""
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._timers.at(self.clock() + wait, call)

    def _drop(self) -> None:
        if self.feed is not None:
            self.feed.close()
        if self._dialling is not None:
            self._dialling.cancel()
            self._dialling = None


class Lines:
    """Cuts a stream into JSON values and the empty lines between them.

    A value may stand on several lines, for lists come indented, and is whole with its last bracket, whether
    or not its line has ended."""

    def __init__(self, most: int) -> None:
        self._most = most
        self._text = bytearray()  # the lines, all whole, of a value that is not
        self._line = bytearray()  # of which no end has come
        self._depth = 0  # brackets open in `_text`

    def feed(self, data: bytes) -> list[bytes]:
        """The values that this completes, and an empty text for each empty line between two."""
        found: list[bytes] = []
        self._line += data
        while (end := self._line.find(b"\n")) >= 0:
            line = bytes(self._line[: end + 1])
            del self._line[: end + 1]
            if not self._depth and not line.strip():
                found.append(b"")
                continue
            self._text += line
            self._depth += _opened(line)
            if self._depth <= 0:  # whole, or no JSON at all
                found.append(self._cut())
        if self._line.endswith((b"}", b"]")) and self._ends():
            self._text += self._line
            self._line.clear()
            found.append(self._cut())
        if len(self._text) + len(self._line) > self._most:
            raise Malformed("a list is too long")
        if self._depth > MAX_DEPTH:
            raise Malformed("a list is too deep")
        return found

    def _ends(self) -> bool:
        """Whether a line that has not ended closes all that is open, and not within a text."""
        return b'"' not in _STRING.sub(b"", self._line) and self._depth + _opened(self._line) == 0

    def _cut(self) -> bytes:
        text = bytes(self._text)
        self._text.clear()
        self._depth = 0
        return text


def _opened(line: bytes | bytearray) -> int:
    """How many brackets a line leaves open; below 0, closes."""
    bare = _STRING.sub(b"", line)
    return sum(bare.count(mark) for mark in (b"{", b"[")) - sum(bare.count(mark) for mark in (b"}", b"]"))


class Watcher(Follower):
    """The platform's watch: one answer that stays open, with a line for each change."""

    # Another source may count on its own, so that its first list must be whole; the table stands until then.
    whole = False

    def message(self) -> bytes:
        """The request for what has changed since the last index, or for everything."""
        after = "" if self.whole or self.table.index is None else f"&after={self.table.index}"
        host, port = self.address
        return request_bytes("GET", f"/v1/endpoints?watch=1{after}", f"{host}:{port}")

    def start(self) -> None:
        """Opens a feed, which begins with a whole line."""
        self._lines = Lines(MAX_LIST)
        super().start()

    def data(self, data: bytes) -> None:
        """Applies each list as it is complete; an empty line is only a sign of life. What never becomes whole
        is none: a source that dribbles tells nobody anything."""
        for text in self._lines.feed(data):
            if text:
                self.table.load(json.loads(text))
                self.whole = False
                self.table.starts.source_heard()
                self.heard()
                self.told()
            else:
                self.table.starts.source_heard()
                self.heard()

    def end(self) -> None:
        """A watch has no end of its own."""
        raise Malformed("the watch has ended")


class Following:
    """The follower in force and, after a new configuration, the one that is to take its place.

    The old source is followed, and opened anew where it breaks, until the new one has told a list: in
    between, a drain may be told, and the new one may never speak.
    """

    def __init__(self) -> None:
        self._current: Follower | None = None
        self._next: Follower | None = None

    def follow(self, follower: Follower | None) -> None:
        """Moves to another source; None for none."""
        if self._next is not None:  # a further configuration came before that one had told anything
            self._next.stop()
            self._next = None
        if self._current is None or follower is None:
            self.stop()
            self._current = follower
        else:
            self._next = follower
            follower.first = self._take_over
        if follower is not None:
            follower.begin()

    def stop(self) -> None:
        """Ends all feeds."""
        for follower in (self._current, self._next):
            if follower is not None:
                follower.stop()
        self._current = self._next = None

    def _take_over(self) -> None:
        if self._current is not None:
            self._current.stop()
        self._current, self._next = self._next, None
