"""A restart with a full harness: parked connections go to the next process in batches, and none is lost."""

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

COPIES = replace(IDLING, keep_copies=True)


class Removal:
    """Two processes, of which the new one takes over from the old one, with their links and loops by hand."""

    def __init__(self, count, idling=COPIES, room=1000):
        self.loop = asyncio.new_event_loop()
        self.old = ListenerHarness(idling, most=1000, loop=self.loop)
        self.new = ListenerHarness(idling, most=room, loop=self.loop)
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
        self.ends = []
        self.wires = here, there = Wire(), Wire()
        here.peer, there.peer = there, here
        for harness in self.harnesses:
            d = harness.dispatcher
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
            self.ends.append(Handover(context))
        self.ends[0].accept(here)
        self.ends[1].take_over(there, lambda: None)

    def step(self):
        """One exchange of what is waiting on the link; whether there was any."""
        return sum(wire.deliver() for wire in self.wires) > 0

    def go(self, most=1000):
        for _ in range(most):
            if not self.step():
                return
            for harness in self.harnesses:
                harness.turn(2)

    def settle(self):
        """All that was said is heard, and all that was asked is answered."""
        for _ in range(6):
            for harness in self.harnesses:
                harness.pass_time(8.0)
                harness.turn()
                harness.work()
            self.go()

    def kill(self, which):
        """The new process (1) or the old one (0) dies.

        The kernel closes what it alone holds, and still delivers what it had sent."""
        dead = self.harnesses[which]
        self.wires[which].close()
        dead.listener.parking.on_borrowed_removed = lambda _keys: None
        for connection in dead.listener.open_connections:
            connection.abort()
        dead.listener.close()
        dead.turn()
        self.harnesses = [harness for harness in self.harnesses if harness is not dead]
        self.wires[which].deliver()
        self.wires[1 - which].lost()

    def close(self):
        for harness in self.harnesses:
            harness.listener.close()
        self.old.turn()
        self.loop.close()


@pytest.fixture
def removal():
    removal = Removal(3 * MAX_PARKED_BATCH + 7)
    yield removal
    removal.close()


def asked(removal, client, id_):
    """What becomes of a job on a client."""
    client.send(message(id_))
    removal.settle()
    return client.statuses()


def test_a_full_house_passes_on_in_batches_and_every_phone_is_served_by_the_new_process(removal):
    removal.go()
    assert removal.new.listener.parked == len(removal.clients)
    assert removal.old.listener.parked == 0
    old = removal.old.listener
    assert old.figures()["lent"] == len(removal.clients)
    assert old.connections == 0
    for number, client in enumerate(removal.clients[:20]):
        assert asked(removal, client, f"r{number}") == [200]
    lent = removal.old.listener.figures()["lent"]
    assert lent == len(removal.clients) - 20, "what woke is the new one's alone"


def test_what_is_on_its_way_is_bounded(removal):
    seen = 0
    for _ in range(100):
        on_its_way = sum(len(fds) for wire in removal.wires for _, fds in wire.sent)
        seen = max(seen, on_its_way)
        assert on_its_way <= MAX_PARKED_BATCH
        if not removal.step():
            break
    assert seen == MAX_PARKED_BATCH


@pytest.mark.parametrize("steps", [3, 4, 5, 6, 8, 50])
def test_a_new_process_that_dies_half_way_gives_all_back(removal, steps):
    for _ in range(steps):
        removal.step()
    woken = removal.clients[-1]  # the first of its second
    taken = removal.new.listener.parked
    if taken:
        woken.send(message("lost"))
        removal.new.turn()
        removal.step()  # the old process has heard of it
    removal.kill(1)
    for _ in range(5):
        removal.old.pass_time(8.0)
    assert removal.old.listener.connections == len(removal.clients) - bool(taken)
    assert woken.open == (not taken), "a connection that the dead process was reading ends with it"
    for number, client in enumerate(removal.clients[:5]):
        assert asked(removal, client, f"r{number}") == [200]


def test_without_copies_nothing_counts_twice_and_nothing_is_lost_in_a_usual_upgrade():
    removal = Removal(MAX_PARKED_BATCH + 5, IDLING)
    removal.go()
    assert removal.old.listener.figures()["lent"] == 0
    assert removal.new.listener.parked == MAX_PARKED_BATCH + 5
    removal.kill(0)
    assert asked(removal, removal.clients[0], "r") == [200]
    removal.close()


def test_the_end_of_the_old_process_leaves_all_with_the_new_one(removal):
    removal.go()
    removal.kill(0)
    assert removal.new.listener.parked == len(removal.clients)
    for number, client in enumerate(removal.clients[:5]):
        assert asked(removal, client, f"r{number}") == [200]
    assert not removal.new.listener.parking._idle.unreported_keys, "there is nobody to tell any more"


def test_what_the_new_process_closes_is_over_for_its_client_though_there_was_a_copy(removal):
    removal.go()
    removal.new.pass_time(IDLING.idle_timeout + 2000.0)
    assert removal.new.listener.parked == 0
    assert any(client.open for client in removal.clients)
    removal.go()
    assert not any(client.open for client in removal.clients)
    assert removal.old.listener.figures()["lent"] == 0


def test_what_the_new_process_has_no_room_for_stays_until_the_old_one_ends():
    removal = Removal(MAX_PARKED_BATCH + 50, room=MAX_PARKED_BATCH)
    removal.go()
    assert removal.new.listener.parked == 50, "both are one dispatcher"
    assert removal.old.listener.parked == MAX_PARKED_BATCH
    assert asked(removal, removal.clients[0], "r") == [200], "at the old process"
    removal.ends[0].pass_clients([LISTEN])
    for _ in range(40):
        removal.ends[0].pass_idle_clients()
        removal.go()
    assert removal.old.listener.connections == 0
    assert all(client.open for client in removal.clients)
    removal.kill(0)
    assert asked(removal, removal.clients[50], "s") == [200]
    removal.close()


def test_a_new_process_that_parks_nobody_takes_them_as_they_are():
    """It has the only descriptor of each: refused, they would be closed."""
    removal = Removal(30, IDLING)
    removal.new.listener.parking.close()
    removal.new.listener.idle_settings = replace(IDLING, park_after=inf)
    removal.go()
    assert removal.new.listener.connections == 30
    assert removal.new.listener.parked == 0
    assert asked(removal, removal.clients[3], "r") == [200]
    assert all(client.open for client in removal.clients)
    removal.close()


def test_a_poll_set_that_is_full_refuses_copies_and_takes_up_what_it_alone_has(monkeypatch):
    def full(_self, _fd, _since, _mark=0, _lender=None):
        raise OSError(28, "no space left on device")

    for idling, there in ((IDLING, 30), (COPIES, 0)):
        removal = Removal(30, idling)
        with monkeypatch.context() as patched:
            patched.setattr(
                removal.new.listener.parking._idle, "park", partial(full, removal.new.listener.parking._idle)
            )
            removal.go()
        assert removal.new.listener.connections == there
        assert removal.old.listener.connections == 30 - there
        assert all(client.open for client in removal.clients)
        assert asked(removal, removal.clients[3], "r") == [200]
        removal.close()


def test_descriptors_that_run_short_half_way_leave_all_where_they_are(removal, monkeypatch):
    removal.step()
    removal.step()

    def short(_told, fds=()):
        if fds:
            raise OSError(24, "too many open files")

    monkeypatch.setattr(removal.wires[0], "send", short)
    removal.go()
    monkeypatch.undo()
    removal.settle()
    assert removal.old.listener.connections + removal.new.listener.connections == len(removal.clients)
    assert asked(removal, removal.clients[0], "r") == [200]


def test_what_is_parked_later_follows(removal):
    late = SocketClient(removal.old, handover=ConnectionHandover(True, removal.old.dispatcher.now))
    removal.go()
    assert removal.old.listener.connections == 1
    removal.old.pass_time(IDLING.park_after + 10.0)
    removal.go()
    assert removal.old.listener.connections == 0
    assert asked(removal, late, "r") == [200]


def test_a_process_of_the_version_before_gets_them_one_by_one():
    """It does not say that it takes batches."""
    removal = Removal(20)
    real = removal.wires[1].send
    removal.wires[1].send = lambda told, fds=(): real({k: v for k, v in told.items() if k != "parks"}, fds)
    removal.go()
    assert removal.old.listener.parked == 20
    assert removal.new.listener.parked == 0
    removal.ends[0].pass_clients([LISTEN])
    for _ in range(5):
        removal.ends[0].pass_idle_clients()
        removal.go()
    assert removal.old.listener.connections == 0
    assert asked(removal, removal.clients[3], "r") == [200]
    removal.close()


def test_a_client_whose_message_a_killed_process_had_read_is_closed():
    """The new process says that a connection is its own alone before it reads a byte of it; the old one
    hears of that and does not keep its copy open for a message that nobody has."""
    removal = Removal(12)
    removal.settle()
    removal.clients[0].send(message("r1"))
    removal.new.turn(4)
    removal.kill(1)
    removal.settle()
    assert [client.open for client in removal.clients] == [False] + 11 * [True]
    assert asked(removal, removal.clients[1], "r2") == [200]
    removal.close()


class Passing(RuleBasedStateMachine):
    """Phones speak while they pass on, at any step of it, and the new process may die: each message that was
    sent is answered once, unless its connection was being read by a process that died."""

    def __init__(self):
        super().__init__()
        self.removal = Removal(12)
        self.sent = {}
        self.count = 0
        self.dead = False

    @rule(number=st.integers(0, 11))
    def speak(self, number):
        if number not in self.sent:
            self.count += 1
            self.sent[number] = None
            self.removal.clients[number].send(message(f"m{self.count}"))

    @rule()
    def hear(self):
        self.removal.step()

    @rule(which=st.integers(0, 1), turns=st.integers(1, 4))
    def turn(self, which, turns):
        if which < len(self.removal.harnesses):
            self.removal.harnesses[which].turn(turns)

    @rule()
    def settle(self):
        self.removal.settle()
        for number in list(self.sent):
            assert self.removal.clients[number].statuses() == [200]
            del self.sent[number]

    @precondition(lambda self: not self.dead)
    @rule()
    def die(self):
        self.dead = True
        held = {a._sock.fileno() for a in self.removal.new.listener.open_connections}
        lost = len(held)
        self.removal.kill(1)
        self.removal.settle()
        gone = [n for n, client in enumerate(self.removal.clients) if not client.open]
        assert len(gone) <= lost
        for number in gone:
            self.sent.pop(number, None)
            handover = ConnectionHandover(True, self.removal.old.dispatcher.now)
            self.removal.clients[number] = SocketClient(self.removal.old, handover=handover)
            assert self.removal.clients[number].ask(f"again{number}") == [200]

    def teardown(self):
        self.settle()
        self.removal.close()


def test_random_steps_of_passing_on():
    play(Passing, 60, 20)
