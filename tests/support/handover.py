"""Two processes of one dispatcher in memory, joined by a link that delivers when the test says so."""

import json
import os
import socket

from eiderfield.net.handover import Handover, HandoverContext
from support.memory_dispatcher import InMemoryDispatcher

LISTEN = "listen 127.0.0.1:1"


class Loop:
    """What of an event loop the listeners use here: who reads what."""

    def __init__(self):
        self.reads = set()

    def add_reader(self, sock, call):
        self.reads.add(sock)

    def remove_reader(self, sock):
        self.reads.discard(sock)

    def remove_writer(self, sock):
        pass


class Wire:
    """One end of a link in memory. What is sent waits until it is delivered."""

    def __init__(self):
        self.peer = None
        self.sent = []
        self.open = self.flushed = True
        self.receive = self.lost = None

    def send(self, told, fds=()):
        if self.open:
            self.sent.append((json.loads(json.dumps(told)), [os.dup(fd) for fd in fds]))

    def close(self):
        self.open = False

    def deliver(self):
        sent, self.sent = self.sent, []
        for told, fds in sent:
            if self.peer.open:
                self.peer.receive(told, fds)
        return bool(sent)


class Side:
    """A dispatcher with a port and its end of the handover."""

    def __init__(self, **more):
        self.dispatcher = InMemoryDispatcher(**more)
        self.loop = Loop()
        d = self.dispatcher
        context = HandoverContext(
            loop=self.loop,
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

    def settle(self):
        self.done = True

    def takes(self):
        return self.dispatcher.listener.acceptor.listening_socket in self.loop.reads


class Pair:
    """The old process with its port open, and the new one that asks."""

    def __init__(self, **more):
        self.old, self.new = Side(**more), Side(workers=0)
        listener = socket.create_server(("127.0.0.1", 0))
        self.old.dispatcher.listener.adopt(self.old.loop, listener)
        here, there = Wire(), Wire()
        here.peer, there.peer = there, here
        self.wires = here, there
        self.old.handover.accept(here)
        self.new.handover.take_over(there, self.new.settle)

    def go(self):
        """Lets the two talk until nothing is left to say."""
        for _ in range(9):
            for side in (self.old, self.new):
                side.dispatcher.settle()
                side.dispatcher.advance(8.0)
            if sum(wire.deliver() for wire in self.wires) == 0:
                return self
        raise AssertionError("they talk without end")

    def part(self, which):
        """One of the processes dies."""
        self.wires[which].close()
        self.wires[1 - which].lost()

    def close(self):
        for side in (self.old, self.new):
            if side.dispatcher.listener.acceptor.listening_socket is not None:
                side.dispatcher.listener.acceptor.listening_socket.close()
