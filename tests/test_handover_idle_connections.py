"""Handover of parked connections in batches: every connection remains open and is served once.

Losses of either process, full listeners, exhausted descriptors and processes without batch support must not
lose a connection or a request, except for connections that a killed process was reading.
"""

import asyncio
import socket
from dataclasses import replace
from functools import partial
from math import inf

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule
from support.handover import LISTEN, Wire
from support.real_sockets import IDLING, ListenerHarness, SocketClient, message, play

from eiderfield.net.clients import ConnectionHandover
from eiderfield.net.handover import Handover, HandoverContext
from eiderfield.net.handover.old_process import MAX_PARKED_BATCH

KEEP_COPIES = replace(IDLING, keep_copies=True)


class ParkedTransfer:
    """A handover of `count` parked connections; the test delivers messages and runs the event loop."""

    def __init__(self, count, idling=KEEP_COPIES, max_connections=1000):
        self.loop = asyncio.new_event_loop()
        self.old = ListenerHarness(idling, most=1000, loop=self.loop)
        self.new = ListenerHarness(idling, most=max_connections, loop=self.loop)
        self.harnesses = [self.old, self.new]
        self.old.listener.acceptor._socket = socket.create_server(("127.0.0.1", 0))
        self.old.listener.acceptor.listening_socket.setblocking(False)
        self.new.listener.acceptor.listening_socket.close()
        self.new.listener.acceptor._socket = None
        self.clients = [
            SocketClient(self.old, handover=ConnectionHandover(True, self.old.dispatcher.now))
            for _ in range(count)
        ]
        self.old.pass_time(IDLING.park_after + 10.0)
        assert self.old.listener.parked == count
        self.new.dispatcher.now = self.old.dispatcher.now
        self.handovers = []
        self.wires = here, there = Wire(), Wire()
        here.peer, there.peer = there, here
        for harness in self.harnesses:
            dispatcher = harness.dispatcher
            context = HandoverContext(
                loop=self.loop,
                exchange=dispatcher.exchange,
                table=dispatcher.table,
                workers=dispatcher.side,
                listeners={LISTEN: dispatcher.listener},
                timers=dispatcher.wheel,
                clock=dispatcher.clock,
                log=dispatcher.logged.append,
            )
            self.handovers.append(Handover(context))
        self.handovers[0].accept(here)
        self.handovers[1].take_over(there, lambda: None)

    def deliver_once(self):
        """Deliver the messages that wait on the link; return whether there were any."""
        return sum(wire.deliver() for wire in self.wires) > 0

    def deliver_all(self, max_rounds=1000):
        for _ in range(max_rounds):
            if not self.deliver_once():
                return
            for harness in self.harnesses:
                harness.turn(2)

    def settle(self):
        """Run both processes until all messages are delivered and all requests are answered."""
        for _ in range(6):
            for harness in self.harnesses:
                harness.pass_time(8.0)
                harness.turn()
                harness.work()
            self.deliver_all()

    def kill(self, which):
        """Kill the old process (0) or the new one (1).

        The kernel closes the connections that only this process holds, and delivers the messages it has sent.
        """
        killed = self.harnesses[which]
        self.wires[which].close()
        killed.listener.parking.on_borrowed_removed = lambda _keys: None
        for connection in killed.listener.open_connections:
            connection.abort()
        killed.listener.close()
        killed.turn()
        self.harnesses = [harness for harness in self.harnesses if harness is not killed]
        self.wires[which].deliver()
        self.wires[1 - which].on_lost()

    def close(self):
        for harness in self.harnesses:
            harness.listener.close()
        self.old.turn()
        self.loop.close()


@pytest.fixture
def transfer():
    transfer = ParkedTransfer(3 * MAX_PARKED_BATCH + 7)
    yield transfer
    transfer.close()


def response_statuses(transfer, client, id_):
    """Send a request on a client's connection and return the statuses of the responses."""
    client.send(message(id_))
    transfer.settle()
    return client.statuses()


def test_parked_connections_are_passed_in_batches_and_served_by_new_process(transfer):
    transfer.deliver_all()
    assert transfer.new.listener.parked == len(transfer.clients)
    assert transfer.old.listener.parked == 0
    old = transfer.old.listener
    assert old.figures()["lent"] == len(transfer.clients)
    assert old.connections == 0
    for number, client in enumerate(transfer.clients[:20]):
        assert response_statuses(transfer, client, f"r{number}") == [200]
    lent = transfer.old.listener.figures()["lent"]
    assert lent == len(transfer.clients) - 20, "copies of the connections in use were not closed"


def test_parked_batches_in_flight_are_bounded(transfer):
    largest = 0
    for _ in range(100):
        in_flight = sum(len(descriptors) for wire in transfer.wires for _, descriptors in wire.sent)
        largest = max(largest, in_flight)
        assert in_flight <= MAX_PARKED_BATCH
        if not transfer.deliver_once():
            break
    assert largest == MAX_PARKED_BATCH


@pytest.mark.parametrize("steps", [3, 4, 5, 6, 8, 50])
def test_loss_of_new_process_during_transfer_returns_connections_to_old_process(transfer, steps):
    for _ in range(steps):
        transfer.deliver_once()
    active_client = transfer.clients[-1]  # within a second of idle time, the last one parked is lent first
    taken = transfer.new.listener.parked
    if taken:
        active_client.send(message("lost"))
        transfer.new.turn()
        transfer.deliver_once()  # the old process closes its copy
    transfer.kill(1)
    for _ in range(5):
        transfer.old.pass_time(8.0)
    assert transfer.old.listener.connections == len(transfer.clients) - bool(taken)
    assert active_client.open == (not taken), (
        "a connection is closed only if the killed process was reading it"
    )
    for number, client in enumerate(transfer.clients[:5]):
        assert response_statuses(transfer, client, f"r{number}") == [200]


def test_transfer_without_copies_counts_no_connection_twice_and_loses_none():
    transfer = ParkedTransfer(MAX_PARKED_BATCH + 5, IDLING)
    transfer.deliver_all()
    assert transfer.old.listener.figures()["lent"] == 0
    assert transfer.new.listener.parked == MAX_PARKED_BATCH + 5
    transfer.kill(0)
    assert response_statuses(transfer, transfer.clients[0], "r") == [200]
    transfer.close()


def test_end_of_old_process_leaves_parked_connections_with_new_process(transfer):
    transfer.deliver_all()
    transfer.kill(0)
    assert transfer.new.listener.parked == len(transfer.clients)
    for number, client in enumerate(transfer.clients[:5]):
        assert response_statuses(transfer, client, f"r{number}") == [200]
    assert not transfer.new.listener.parking._idle.unreported_keys, "no process is left to report to"


def test_connection_closed_by_new_process_is_closed_for_client_despite_copy(transfer):
    transfer.deliver_all()
    transfer.new.pass_time(IDLING.idle_timeout + 2000.0)
    assert transfer.new.listener.parked == 0
    assert any(client.open for client in transfer.clients)
    transfer.deliver_all()
    assert not any(client.open for client in transfer.clients)
    assert transfer.old.listener.figures()["lent"] == 0


def test_connections_above_limit_of_new_process_stay_with_old_process_until_it_ends():
    transfer = ParkedTransfer(MAX_PARKED_BATCH + 50, max_connections=MAX_PARKED_BATCH)
    transfer.deliver_all()
    assert transfer.new.listener.parked == 50, "the limit applies to both processes together"
    assert transfer.old.listener.parked == MAX_PARKED_BATCH
    assert response_statuses(transfer, transfer.clients[0], "r") == [200], "not served by the old process"
    transfer.handovers[0].pass_clients([LISTEN])
    for _ in range(40):
        transfer.handovers[0].pass_idle_clients()
        transfer.deliver_all()
    assert transfer.old.listener.connections == 0
    assert all(client.open for client in transfer.clients)
    transfer.kill(0)
    assert response_statuses(transfer, transfer.clients[50], "s") == [200]
    transfer.close()


def test_new_process_without_parking_adopts_connections_unparked():
    """Without copies at the old process, the new process has the only descriptor of each connection."""
    transfer = ParkedTransfer(30, IDLING)
    transfer.new.listener.parking.close()
    transfer.new.listener.idle_settings = replace(IDLING, park_after=inf)
    transfer.deliver_all()
    assert transfer.new.listener.connections == 30
    assert transfer.new.listener.parked == 0
    assert response_statuses(transfer, transfer.clients[3], "r") == [200]
    assert all(client.open for client in transfer.clients)
    transfer.close()


def test_full_poll_set_refuses_copied_connections_and_adopts_others_unparked(monkeypatch):
    def refuse(_self, _fd, _since, _mark=0, _lender=None):
        raise OSError(28, "no space left on device")

    for idling, there in ((IDLING, 30), (KEEP_COPIES, 0)):
        transfer = ParkedTransfer(30, idling)
        with monkeypatch.context() as patched:
            patched.setattr(
                transfer.new.listener.parking._idle,
                "park",
                partial(refuse, transfer.new.listener.parking._idle),
            )
            transfer.deliver_all()
        assert transfer.new.listener.connections == there
        assert transfer.old.listener.connections == 30 - there
        assert all(client.open for client in transfer.clients)
        assert response_statuses(transfer, transfer.clients[3], "r") == [200]
        transfer.close()


def test_batch_without_free_descriptors_leaves_connections_in_place(transfer, monkeypatch):
    transfer.deliver_once()
    transfer.deliver_once()

    def send_without_descriptors(_message, descriptors=()):
        if descriptors:
            raise OSError(24, "too many open files")

    monkeypatch.setattr(transfer.wires[0], "send", send_without_descriptors)
    transfer.deliver_all()
    monkeypatch.undo()
    transfer.settle()
    assert transfer.old.listener.connections + transfer.new.listener.connections == len(transfer.clients)
    assert response_statuses(transfer, transfer.clients[0], "r") == [200]


def test_connection_parked_after_takeover_is_passed(transfer):
    late_client = SocketClient(transfer.old, handover=ConnectionHandover(True, transfer.old.dispatcher.now))
    transfer.deliver_all()
    assert transfer.old.listener.connections == 1
    transfer.old.pass_time(IDLING.park_after + 10.0)
    transfer.deliver_all()
    assert transfer.old.listener.connections == 0
    assert response_statuses(transfer, late_client, "r") == [200]


def test_new_process_without_batch_support_receives_connections_one_by_one():
    """A process of an earlier revision does not announce batch support in its `taken` message."""
    transfer = ParkedTransfer(20)
    send_message = transfer.wires[1].send
    transfer.wires[1].send = lambda fields, descriptors=(): send_message(
        {k: v for k, v in fields.items() if k != "parks"}, descriptors
    )
    transfer.deliver_all()
    assert transfer.old.listener.parked == 20
    assert transfer.new.listener.parked == 0
    transfer.handovers[0].pass_clients([LISTEN])
    for _ in range(5):
        transfer.handovers[0].pass_idle_clients()
        transfer.deliver_all()
    assert transfer.old.listener.connections == 0
    assert response_statuses(transfer, transfer.clients[3], "r") == [200]
    transfer.close()


def test_connection_read_by_killed_new_process_is_closed():
    """The old process would otherwise keep its copy open, and the client would wait for a lost request.

    Therefore the new process reports that a connection is no longer parked before it reads a byte of it.
    """
    transfer = ParkedTransfer(12)
    transfer.settle()
    transfer.clients[0].send(message("r1"))
    transfer.new.turn(4)
    transfer.kill(1)
    transfer.settle()
    assert [client.open for client in transfer.clients] == [False] + 11 * [True]
    assert response_statuses(transfer, transfer.clients[1], "r2") == [200]
    transfer.close()


class ParkedTransferMachine(RuleBasedStateMachine):
    """Clients send requests at any step of the handover, and the new process may be killed.

    Each request is answered once, unless its connection was being read by the killed process.
    """

    def __init__(self):
        super().__init__()
        self.transfer = ParkedTransfer(12)
        self.unanswered = {}
        self.count = 0
        self.killed = False

    @rule(number=st.integers(0, 11))
    def send_request(self, number):
        if number not in self.unanswered:
            self.count += 1
            self.unanswered[number] = None
            self.transfer.clients[number].send(message(f"m{self.count}"))

    @rule()
    def deliver(self):
        self.transfer.deliver_once()

    @rule(which=st.integers(0, 1), turns=st.integers(1, 4))
    def turn(self, which, turns):
        if which < len(self.transfer.harnesses):
            self.transfer.harnesses[which].turn(turns)

    @rule()
    def settle(self):
        self.transfer.settle()
        for number in list(self.unanswered):
            assert self.transfer.clients[number].statuses() == [200]
            del self.unanswered[number]

    @precondition(lambda self: not self.killed)
    @rule()
    def kill_new_process(self):
        self.killed = True
        open_connections = {a._sock.fileno() for a in self.transfer.new.listener.open_connections}
        open_count = len(open_connections)
        self.transfer.kill(1)
        self.transfer.settle()
        closed = [n for n, client in enumerate(self.transfer.clients) if not client.open]
        assert len(closed) <= open_count
        for number in closed:
            self.unanswered.pop(number, None)
            handover = ConnectionHandover(True, self.transfer.old.dispatcher.now)
            self.transfer.clients[number] = SocketClient(self.transfer.old, handover=handover)
            assert self.transfer.clients[number].ask(f"again{number}") == [200]

    def teardown(self):
        self.settle()
        self.transfer.close()


def test_random_steps_of_parked_transfer_lose_no_request():
    play(ParkedTransferMachine, 60, 20)
