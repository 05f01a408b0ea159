"""A listener on real sockets, with an event loop and a clock that the test advances."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from typing import Any

from hypothesis import Phase, settings
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test

from eiderfield.connections.admission import AdmissionControl
from eiderfield.connections.settings import AdmissionSettings, IdleSettings
from eiderfield.interface import Settings
from eiderfield.net.clients.detached import ConnectionHandover
from eiderfield.net.http import END, Head, Parser
from eiderfield.net.wheel import TICK_MS
from support.memory_dispatcher import SITE, InMemoryDispatcher

IDLING = IdleSettings(idle_timeout=60_000.0, park_after=1000.0)
LEAST_KEEP = 2000.0


def message(id_: str = "r1", path: str = "/safe/k1") -> bytes:
    return f"POST {path} HTTP/1.1\r\nHost: h\r\nX-Request-Id: {id_}\r\nContent-Length: 1\r\n\r\nb".encode()


class ListeningSocket(socket.socket):
    """A listening socket whose connections have an address that the test chooses."""

    def __init__(self) -> None:
        super().__init__(socket.AF_UNIX, socket.SOCK_STREAM)
        self.waiting: deque[Any] = deque()

    def accept(self) -> tuple[socket.socket, Any]:
        if not self.waiting:
            raise BlockingIOError
        client: tuple[socket.socket, Any] = self.waiting.popleft()
        return client


class SocketClient:
    """A client at the other end of a pair of sockets."""

    def __init__(
        self, harness: ListenerHarness, handover: ConnectionHandover | None = None, address: str = "192.0.2.1"
    ) -> None:
        self.harness = harness
        self.sock, theirs = socket.socketpair()
        self.sock.setblocking(False)
        theirs.setblocking(False)
        self._parser = Parser(responses=True)
        if handover is not None:
            harness.listener.adopt_connection(theirs, handover)
        else:
            harness.listening_socket.waiting.append((theirs, (address, 1)))
            harness.listener.acceptor.accept()
        harness.turn()

    def send(self, data: bytes) -> SocketClient:
        self.sock.send(data)
        return self

    @property
    def open(self) -> bool:
        """Whether the dispatcher keeps the connection open."""
        try:
            return self.sock.recv(1, socket.MSG_PEEK) != b""
        except BlockingIOError:
            return True
        except ConnectionResetError:
            return False

    def statuses(self) -> list[int | None]:
        """Return the statuses of the complete responses so far."""
        found: list[int | None] = []
        status = None
        try:
            while data := self.sock.recv(65536):
                self._parser.feed(data)
        except (BlockingIOError, ConnectionResetError):
            pass
        while (got := self._parser.poll()) is not None:
            if isinstance(got, Head):
                status, self.advice = got.status, got.get("retry-after")
            elif got is END:
                found.append(status)
        return found

    def ask(self, id_: str) -> list[int | None]:
        """Send a request, let the worker respond, and return the statuses received."""
        self.send(message(id_))
        self.harness.turn()
        self.harness.work()
        return self.statuses()


class ListenerHarness:
    """A dispatcher with a parking listener on real sockets."""

    def __init__(
        self,
        idling: IdleSettings = IDLING,
        most: int = 64,
        loop: asyncio.AbstractEventLoop | None = None,
        site: Settings = SITE,
        workers: int = 1,
        **admission: Any,
    ) -> None:
        self.loop = loop or asyncio.new_event_loop()
        self.dispatcher = InMemoryDispatcher(site, workers=workers, most=most)
        self.listener = self.dispatcher.listener
        self.memory = 0.0
        self.admission = self.listener.admission = AdmissionControl(AdmissionSettings(**admission), most)
        self.listener.memory_usage = lambda: self.memory
        self.listener._loop = self.listener.acceptor._loop = self.loop
        self.listening_socket = ListeningSocket()
        self.listener.acceptor._socket = self.listening_socket
        acceptor: Any = self.listener.acceptor
        acceptor.client_waits_in_backlog = lambda: bool(
            getattr(self.listener.acceptor.listening_socket, "waiting", ())
        )
        self.listener.set_idle_limits(idling)

    def turn(self, turns: int = 8) -> None:
        """Run a few iterations of the loop, without waiting."""
        for _ in range(turns):
            self.loop.call_soon(self.loop.stop)
            self.loop.run_forever()
            self.dispatcher.settle()

    def work(self) -> None:
        """Let the worker respond to all its requests."""
        for dial in list(self.dispatcher.dials):
            dial.up()
        for end in self.dispatcher.ends:
            while end.pipe.open and end.take():
                end.finish()
        self.turn()

    def pass_time(self, span: float) -> None:
        """Advance the clock by a time, running the loop at each timer."""
        end = self.dispatcher.now + span
        while (at := self.dispatcher.wheel.next_wakeup()) <= end:
            self.dispatcher.now = max(self.dispatcher.now, at)
            self.dispatcher.wheel.advance(self.dispatcher.now)
            self.dispatcher.settle()
            self.turn(3)
        self.dispatcher.now = end

    def parked(self, count: int = 1) -> list[SocketClient]:
        """Return clients that were each served once and then idle until parked."""
        clients = []
        for number in range(count):
            clients.append(SocketClient(self))
            assert clients[-1].ask(f"first{number}") == [200]
        self.pass_time(IDLING.park_after + 2 * TICK_MS)
        assert self.listener.parked == count
        assert not self.listener.open_connections
        return clients

    def close(self) -> None:
        self.listener.close()
        self.turn()
        assert not any(self.admission.addresses.connections)
        assert not any(self.admission.addresses.incomplete_messages)
        self.loop.close()


def play(machine: type[RuleBasedStateMachine], examples: int, steps: int) -> None:
    """Run random steps of a state machine, the same in each run."""
    run_state_machine_as_test(
        machine,
        settings=settings(
            derandomize=True,
            max_examples=examples,
            stateful_step_count=steps,
            deadline=None,
            database=None,
            phases=[Phase.explicit, Phase.generate, Phase.shrink],
        ),
    )
