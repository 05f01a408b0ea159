"""Two processes of one dispatcher in memory, joined by a link that delivers when the test says so."""

from __future__ import annotations

import asyncio
import json
import os
import socket
from collections.abc import Callable, Mapping, Sequence
from typing import Any, cast

from eiderfield.interface import EndpointState
from eiderfield.net.handover import Handover, HandoverContext
from eiderfield.net.link import Link
from support.memory_dispatcher import InMemoryDispatcher

LISTEN = "listen 127.0.0.1:1"


class Loop:
    """What of an event loop the listeners use here: who reads what."""

    def __init__(self) -> None:
        self.reads: set[object] = set()

    def add_reader(self, sock: object, _call: object) -> None:
        self.reads.add(sock)

    def remove_reader(self, sock: object) -> None:
        self.reads.discard(sock)

    def remove_writer(self, sock: object) -> None:
        pass


class Wire:
    """One end of a link in memory. What is sent waits until it is delivered."""

    def __init__(self) -> None:
        self.peer: Wire | None = None
        self.sent: list[tuple[Any, list[int]]] = []
        self.open = self.flushed = True
        self.on_message: Callable[[Any, list[int]], object] | None = None
        self.on_lost: Callable[[], object] | None = None

    def send(self, told: Mapping[str, Any], fds: Sequence[int] = ()) -> None:
        if self.open:
            self.sent.append((json.loads(json.dumps(told)), [os.dup(fd) for fd in fds]))

    def close(self) -> None:
        self.open = False

    def deliver(self) -> bool:
        sent, self.sent = self.sent, []
        for told, fds in sent:
            assert self.peer is not None
            if self.peer.open:
                assert self.peer.on_message is not None
                self.peer.on_message(told, fds)
        return bool(sent)


class Side:
    """A dispatcher with a port and its end of the handover."""

    def __init__(self, **more: Any) -> None:
        self.dispatcher = InMemoryDispatcher(**more)
        self.loop = Loop()
        d = self.dispatcher
        context = HandoverContext(
            loop=cast(asyncio.AbstractEventLoop, self.loop),
            exchange=d.exchange,
            table=d.table,
            workers=d.side,
            listeners={LISTEN: d.listener},
            timers=d.wheel,
            clock=d.clock,
            log=d.logged.append,
        )
        self.handover = Handover(context, d.wall)
        self.done = False

    def settle(self) -> None:
        self.done = True

    def takes(self) -> bool:
        return self.dispatcher.listener.acceptor.listening_socket in self.loop.reads


class Pair:
    """The old process with its port open, and the new one that asks."""

    def __init__(self, **more: Any) -> None:
        self.old, self.new = Side(**more), Side(workers=0)
        listener = socket.create_server(("127.0.0.1", 0))
        self.old.dispatcher.listener.adopt(cast(asyncio.AbstractEventLoop, self.old.loop), listener)
        here, there = Wire(), Wire()
        here.peer, there.peer = there, here
        self.wires = here, there
        self.old.handover.accept(cast(Link, here))
        self.new.handover.take_over(cast(Link, there), self.new.settle)

    def go(self) -> Pair:
        """Lets the two talk until nothing is left to say."""
        for _ in range(9):
            for side in (self.old, self.new):
                side.dispatcher.settle()
                side.dispatcher.advance(8.0)
            if sum(wire.deliver() for wire in self.wires) == 0:
                return self
        raise AssertionError("they talk without end")

    def part(self, which: int) -> None:
        """One of the processes dies."""
        self.wires[which].close()
        lost = self.wires[1 - which].on_lost
        assert lost is not None
        lost()

    def close(self) -> None:
        for side in (self.old, self.new):
            if side.dispatcher.listener.acceptor.listening_socket is not None:
                side.dispatcher.listener.acceptor.listening_socket.close()


def endpoint_state(side: Side, worker: int) -> EndpointState | None:
    """Return the state in which a side's exchange holds worker `w<worker>`."""
    number = side.dispatcher.ids.find_worker(f"w{worker}")
    return None if number is None else side.dispatcher.exchange.endpoints.states.get(number)
