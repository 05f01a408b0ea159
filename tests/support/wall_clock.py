"""Processes on a machine whose wall clock a test steps."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any, cast

import pytest

from eiderfield.net.clock import WallClock
from eiderfield.net.discovery.platform import PlatformWatch
from eiderfield.net.handover.codec import Codec
from eiderfield.net.handover.messages import Message
from eiderfield.net.link import Link
from eiderfield.policy.dispatcher import Dispatcher
from support.handover import Side, Wire
from support.memory_dispatcher import InMemoryDispatcher, Pipe

SECONDS, HOUR = 5_000.0, 3_600_000.0
STEPS = [-HOUR, -SECONDS, SECONDS, HOUR]
UNIX = 1_764_600_000_000.0  # what the wall clock shows where the tests' clocks begin
COLD = 8000.0  # ms of slow start in the tests' settings

steps = pytest.mark.parametrize("step", STEPS)


class Wall:
    """A wall clock that can be stepped, over clocks that cannot."""

    def __init__(self) -> None:
        self.stepped = self.start = 0.0
        self.dispatcher: InMemoryDispatcher | None = None

    def runs_with(self, dispatcher: InMemoryDispatcher) -> None:
        """Goes on by the clock of a dispatcher."""
        self.dispatcher, self.start = dispatcher, dispatcher.now

    def __call__(self) -> float:
        elapsed = 0.0 if self.dispatcher is None else self.dispatcher.now - self.start
        return UNIX + elapsed + self.stepped

    def step(self, by: float) -> None:
        self.stepped += by


class Machine:
    """A dispatcher that follows a watch, on a machine with a wall clock."""

    def __init__(self, start: float = 9e9, **more: Any) -> None:
        self.wall = Wall()
        self.dispatcher = dispatcher = InMemoryDispatcher(workers=0, unix=self.wall, start=start, **more)
        self.wall.runs_with(dispatcher)
        self.watch = PlatformWatch(
            dispatcher.table,
            dispatcher.wheel,
            dispatcher.clock,
            dispatcher.dial,
            ("127.0.0.1", 1),
            dispatcher.logged.append,
        )
        self.watch.connect()
        dial = self.dispatcher.dials.pop()
        self.pipe = Pipe(dial.connection)
        dial.connection.connection_made(self.pipe)
        self.pipe.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.index = 0

    def tell(self, *workers: tuple[str, float], snapshot: bool = False) -> None:
        """Discovery tells of workers: their names and Unix times of their starts."""
        self.index += 1
        endpoints = [
            {"name": name, "address": "127.0.0.1:9", "status": "SERVING", "since_ms": since}
            for name, since in workers
        ]
        told = {"index": self.index, "snapshot": snapshot, "endpoints": endpoints}
        self._line(json.dumps(told).encode())

    def beat(self) -> None:
        """Discovery gives a sign of life."""
        self._line(b"")

    def pass_time(self, span: float) -> None:
        """Lets time pass while discovery gives signs of life."""
        while span > 0.0:
            self.dispatcher.advance(min(span, 1000.0))
            self.beat()
            span -= 1000.0

    def _line(self, text: bytes) -> None:
        self.pipe.send(b"%x\r\n%s\n\r\n" % (len(text) + 1, text))
        self.dispatcher.settle()

    def started(self, name: str) -> float | None:
        """How long ago a worker started, as the policy knows it; None for long ago."""
        self.dispatcher.settle()
        worker = self.dispatcher.exchange.dispatcher.workers[self.dispatcher.ids.worker(name)]
        return self.dispatcher.now - worker.entry.ready_at if worker.entry.ready_at > 0.0 else None


class Takeover:
    """Two processes of one machine, whose clocks begin elsewhere, with a step of the wall clock between."""

    def __init__(self, step: float) -> None:
        self.wall = Wall()
        self.old = Side(workers=0, unix=self.wall)
        self.wall.runs_with(self.old.dispatcher)
        self.step = step
        dispatcher = self.old.dispatcher
        self.since = self.wall()
        endpoints = [
            {"name": "slow", "address": "127.0.0.1:1", "status": "SERVING", "since_ms": self.since},
            {"name": "banned", "address": "127.0.0.1:2", "status": "SERVING", "since_ms": self.since},
        ]
        self.list = {"index": 4, "snapshot": True, "endpoints": endpoints}
        dispatcher.table.load(self.list)
        dispatcher.settle()

    def go(self) -> Takeover:
        """The wall clock is stepped, and a new process takes over."""
        self.wall.step(self.step)
        self.new = Side(workers=0, unix=self.wall, start=77_000_000.0)
        old_wire, new_wire = Wire(), Wire()
        old_wire.peer, new_wire.peer = new_wire, old_wire
        self.wires = old_wire, new_wire
        self.old.handover.accept(cast(Link, old_wire))
        self.new.handover.take_over(cast(Link, new_wire), self.new.settle)
        self.talk()
        return self

    def talk(self) -> None:
        while sum([wire.deliver() for wire in self.wires]):
            self.old.dispatcher.settle()
            self.new.dispatcher.settle()

    def module(self) -> Dispatcher:
        return self.new.dispatcher.exchange.dispatcher

    def age(self, at: float) -> float:
        """How long ago a time of the new process is."""
        return self.new.dispatcher.now - at


class Process:
    """The codec of one process of a machine, whose clock begins at a moment of its own."""

    def __init__(self, wall: Callable[[], float], now: float) -> None:
        self.now = now
        self.codec = Codec(lambda: self.now, WallClock(lambda: self.now, wall), lambda _line: None)


def passed_on(message: Message, step: float) -> tuple[Any, float]:
    """A message as the next process has it, with a step before it is read, and that process's clock."""
    wall = Wall()
    old, new = Process(wall, 5e6), Process(wall, 9e9)
    sent = json.loads(json.dumps(old.codec.encode(message)))
    wall.step(step)
    return new.codec.decode(sent), new.now


def settled_machine() -> Machine:
    """Return a machine that has known one worker for 2 s."""
    machine = Machine()
    machine.tell(("old", 0), snapshot=True)
    machine.pass_time(1000.0)
    machine.dispatcher.advance(1000.0)
    return machine
