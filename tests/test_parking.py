"""Parked connections on real sockets and a loop that is turned by hand; the clock is the dispatcher's."""

import errno
import os
import socket
from dataclasses import replace
from math import inf

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)
from support.real_sockets import IDLING, LEAST_KEEP, ListenerHarness, SocketClient, message, play

from eiderfield.connections.idle_connections import EXPIRED_PER_PASS, WOKEN_PER_POLL, IdleConnections
from eiderfield.connections.settings import MESSAGE_TIMEOUT_MS, IdleSettings
from eiderfield.net.clients import ClientConnection, ConnectionHandover
from eiderfield.net.wheel import TICK_MS


@pytest.fixture
def harness():
    harness = ListenerHarness()
    yield harness
    harness.close()


def test_a_quiet_connection_is_parked_and_its_next_job_finds_it_as_it_was(harness):
    [client] = harness.parked()
    assert client.open
    assert harness.listener.connections == 1
    assert client.ask("r2") == [200]
    assert harness.listener.parked == 0
    harness.pass_time(IDLING.park_after + 2 * TICK_MS)
    assert harness.listener.parked == 1
    assert client.ask("r3") == [200]


def test_two_messages_at_once_after_an_hour_are_both_answered():
    harness = ListenerHarness(replace(IDLING, idle_timeout=7_200_000.0))
    [client] = harness.parked()
    harness.pass_time(3_600_000.0)
    client.send(message("a") + message("b"))
    harness.turn()
    harness.work()
    harness.work()
    assert client.statuses() == [200, 200]
    harness.close()


def test_a_new_connection_and_a_half_read_message_are_never_parked(harness):
    silent, half = SocketClient(harness), SocketClient(harness)
    assert half.ask("r1") == [200]
    half.send(b"POST /safe")
    harness.turn()
    harness.pass_time(MESSAGE_TIMEOUT_MS - 1.0)
    assert not harness.listener.parked
    harness.pass_time(100.0)
    assert half.statuses() == [408]
    assert not silent.open


def test_a_message_that_begins_at_the_moment_of_parking_is_not_missed(harness):
    """The poll set tells levels: what came before the descriptor was in it is told of all the same."""
    client = SocketClient(harness)
    assert client.ask("r1") == [200]
    [connection] = harness.listener.open_connections
    client.send(message("r2"))  # unread, and the timer comes first
    assert not connection.is_idle
    connection.time_limit_reached()
    assert not harness.listener.parked, "something has come: it stays"
    real, connection.__class__ = connection.__class__, type("Deaf", (ClientConnection,), {"is_idle": True})
    connection.time_limit_reached()  # the same between the look for unread bytes and the parking
    connection.__class__ = real
    assert harness.listener.parked == 1
    harness.turn()
    harness.work()
    assert client.statuses() == [200]
    assert not harness.listener.parked


def test_a_message_that_begins_at_the_moment_of_expiry_is_answered(harness):
    [client] = harness.parked()
    client.send(message("r2"))
    harness.dispatcher.now += IDLING.idle_timeout + 2000.0
    harness.dispatcher.wheel.advance(
        harness.dispatcher.now
    )  # the timer before the loop could tell of the bytes
    assert harness.listener.parked == 1
    harness.turn()
    harness.work()
    assert client.statuses() == [200]


def test_what_has_begun_after_waking_has_the_time_of_a_message_and_no_more(harness):
    [client] = harness.parked()
    harness.pass_time(30_000.0)
    client.send(b"POST /safe")
    harness.turn()
    for _ in range(10):
        harness.pass_time(MESSAGE_TIMEOUT_MS / 10 - 1.0)
        client.send(b"x")
        harness.turn()
    assert not client.statuses()
    assert not harness.listener.parked
    harness.pass_time(100.0)
    assert client.statuses() == [408], "a drip extends nothing"


def test_an_idle_connection_ends_after_its_time_parked_or_not(harness):
    [client] = harness.parked()
    harness.pass_time(IDLING.idle_timeout - IDLING.park_after - 100.0)
    assert client.open
    harness.pass_time(1200.0)
    assert not client.open
    assert not harness.listener.connections
    assert harness.listener.figures()["expired"] == 1
    assert harness.dispatcher.wheel.next_wakeup() == inf, "nothing wakes a program at rest"


def test_half_closed_reset_and_vanished_phones_cost_no_connection(harness):
    half, gone, message_and_end = harness.parked(3)
    half.sock.shutdown(socket.SHUT_WR)
    gone.sock.close()
    message_and_end.send(b"POST /safe")
    message_and_end.sock.shutdown(socket.SHUT_WR)
    harness.turn(1)
    assert harness.listener.figures()["left"] == 2
    assert harness.listener.figures()["woken"] == 1
    harness.turn()
    assert not harness.listener.connections


def test_a_reset_on_tcp_is_closed_where_it_lies():
    harness = ListenerHarness()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        client = socket.create_connection(listener.getsockname())
        theirs, _ = listener.accept()
    harness.listener.adopt_connection(theirs, ConnectionHandover(True, harness.dispatcher.now))
    harness.turn()
    harness.pass_time(IDLING.park_after + 2 * TICK_MS)
    assert harness.listener.parked == 1
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    client.close()
    harness.turn()
    assert harness.listener.figures()["left"] == 1
    assert not harness.listener.connections
    harness.close()


def test_a_phone_that_never_reads_is_not_parked_with_an_answer_unsent(harness):
    """A parked connection has no buffer: what was not written yet would be lost."""
    client = SocketClient(harness)
    assert client.ask("r1") == [200]
    [connection] = harness.listener.open_connections
    connection._transport.write(b"x" * 4_000_000)
    assert not harness.listener.parking.park(connection)
    harness.pass_time(IDLING.park_after * 3)
    assert not harness.listener.parked
    assert client.open


def test_thousands_that_end_in_one_second_end_a_few_in_each_tick():
    harness = ListenerHarness(most=1000)
    clients = harness.parked(3 * EXPIRED_PER_PASS)
    harness.pass_time(harness.listener.parking._expiry.tick * TICK_MS - harness.dispatcher.now - 1.0)
    left = []
    while harness.listener.connections:
        harness.dispatcher.now += TICK_MS
        harness.dispatcher.wheel.advance(harness.dispatcher.now)
        left.append(harness.listener.connections)
    assert left[0] >= 2 * EXPIRED_PER_PASS
    assert len(left) <= 5
    assert not any(client.open for client in clients)
    harness.close()


def test_thousands_that_wake_at_once_wake_a_few_in_each_turn():
    harness = ListenerHarness(most=1000)
    clients = harness.parked(3 * WOKEN_PER_POLL)
    for number, client in enumerate(clients):
        client.send(message(f"w{number}"))
    harness.turn(1)
    assert 2 * WOKEN_PER_POLL <= harness.listener.parked < 3 * WOKEN_PER_POLL
    harness.turn(20)
    for _ in range(10):
        harness.work()
        harness.pass_time(5 * TICK_MS)
    answers = [client.statuses() for client in clients]
    assert all(len(statuses) == 1 for statuses in answers), "none lost: one worker alone declines some"
    harness.close()


def test_a_new_idle_time_counts_for_those_that_are_parked(harness):
    [client] = harness.parked()
    harness.listener.set_idle_limits(replace(IDLING, idle_timeout=3000.0))
    harness.pass_time(3100.0)
    assert not client.open
    harness.listener.set_idle_limits(replace(IDLING, idle_timeout=600_000.0))
    [client] = harness.parked()
    harness.pass_time(IDLING.idle_timeout * 2)
    assert client.open


def test_parking_switched_off_keeps_who_is_parked_and_parks_nobody_more(harness):
    [client] = harness.parked()
    harness.listener.set_idle_limits(replace(IDLING, park_after=inf))
    assert client.ask("r2") == [200]
    harness.pass_time(IDLING.idle_timeout / 2)
    assert not harness.listener.parked
    assert client.open


def test_in_a_full_house_the_longest_quiet_gives_way_and_who_has_just_spoken_never_does():
    harness = ListenerHarness(most=4)
    first, second = harness.parked(2)
    assert second.ask("again") == [200]
    harness.pass_time(IDLING.park_after + 2 * TICK_MS)
    first.send(b"P")  # speaks at this very moment
    third, fourth = SocketClient(harness), SocketClient(harness)
    assert third.ask("t") == [200]
    assert fourth.ask("f") == [200]
    assert harness.listener.connections == 4
    assert harness.listener.ensure_capacity()
    assert first.open
    assert not second.open


def test_a_clock_that_jumps_ends_only_whose_time_it_ended_and_runs_on(harness):
    """The program's clock is a steady one, so it jumps forward only, as after a machine that slept."""
    clients = harness.parked(3)
    assert clients[0].ask("r") == [200]
    assert harness.listener.parked == 2
    harness.dispatcher.now += IDLING.idle_timeout / 2
    harness.dispatcher.wheel.advance(harness.dispatcher.now)
    harness.turn()
    assert clients[1].open
    harness.dispatcher.now += 86_400_000.0
    harness.pass_time(10 * TICK_MS)
    assert not any(client.open for client in clients)
    assert harness.dispatcher.wheel.next_wakeup() == inf


def test_waking_needs_no_descriptor(harness, monkeypatch):
    """With all of them taken, who is parked must still be served."""
    [client] = harness.parked()

    def none(*_args, **_more):
        raise OSError(errno.EMFILE, "too many open files")

    for name in ("dup", "open", "pipe"):
        monkeypatch.setattr(os, name, none)
    monkeypatch.setattr(socket.socket, "dup", none)
    before = len(harness.listener.open_connections)
    client.send(message("r2"))
    harness.turn()
    assert len(harness.listener.open_connections) == before + 1
    monkeypatch.undo()
    harness.work()
    assert client.statuses() == [200]


def test_nobody_gives_way_while_nobody_waits():
    """After each newcomer to a full harness one more was closed, for whoever might come next."""
    harness = ListenerHarness(most=3)
    clients = harness.parked(3)
    newcomer = SocketClient(harness)
    harness.turn()
    assert sum(client.open for client in clients) == 2
    assert newcomer.ask("n") == [200]
    harness.close()


def test_no_room_in_the_poll_set_leaves_the_connection_as_it_was(harness, monkeypatch):
    """The kernel bounds the watches of a user: past that, parking fails and nothing else may."""
    client = SocketClient(harness)
    assert client.ask("r1") == [200]

    def full(_self, _fd, _since, _mark=0):
        raise OSError(28, "no space left on device")

    monkeypatch.setattr(IdleConnections, "park", full)
    harness.pass_time(IDLING.park_after * 5)
    harness.turn()
    assert not harness.listener.parked
    assert client.ask("r2") == [200]


def test_at_the_end_the_quiet_are_closed_and_who_speaks_is_answered(harness):
    quiet, speaks = harness.parked(2)
    speaks.send(message("last"))
    harness.listener.keep_alive_disabled = True
    harness.listener.close_idle()
    assert not quiet.open
    assert harness.listener.connections == 1
    harness.turn()
    harness.work()
    assert speaks.statuses() == [200]
    harness.turn()
    harness.listener.close_idle()


def test_parked_connections_pass_on_to_the_next_process_with_what_has_come(harness):
    heir = ListenerHarness(loop=harness.loop)
    quiet, speaks = harness.parked(2)
    speaks.send(message("m"))

    def take(detach):
        if (detached := detach()) is None:
            return False
        heir.listener.adopt_connection(socket.socket(fileno=detached.descriptor), detached.state)
        return True

    harness.listener.successor = take
    harness.listener.hand_over_batch()
    assert not harness.listener.connections
    assert heir.listener.connections == 2
    for client, id_ in ((quiet, "q"), (speaks, None)):
        if id_ is not None:
            client.send(message(id_))
        heir.turn()
        heir.work()
        assert client.statuses() == [200]
    heir.listener.close()


def test_a_head_that_passes_on_half_read_keeps_the_time_that_it_has_left(harness):
    """It was given the time since the last answer as its start, and an hour later 408 at once."""
    client = SocketClient(harness)
    assert client.ask("r1") == [200]
    harness.pass_time(900.0)
    client.send(message("r2")[:20])
    harness.turn()
    [connection] = harness.listener.open_connections
    harness.dispatcher.now += 30_000.0  # a dispatcher that stood still
    connection._timer.started_at = harness.dispatcher.now - 100.0
    detached = connection.detach()
    heir = ListenerHarness(loop=harness.loop)
    heir.dispatcher.now = harness.dispatcher.now
    heir.listener.adopt_connection(socket.socket(fileno=detached.descriptor), detached.state)
    heir.turn()
    heir.pass_time(MESSAGE_TIMEOUT_MS - 200.0)
    assert client.open
    assert not client.statuses()
    client.send(message("r2")[20:])
    heir.turn()
    heir.work()
    assert client.statuses() == [200]
    heir.listener.close()


class Crowd(RuleBasedStateMachine):
    """Random clients: each whole message is answered once, in whatever state its connection was; a connection
    ends only when its time has ended or its client is done."""

    def __init__(self):
        super().__init__()
        self.harness = ListenerHarness()
        self.clients = {}  # number -> client, ids sent and unanswered, bytes begun, time of its last word
        self.count = 0

    def pick(self, data):
        return data.draw(st.sampled_from(sorted(self.clients)))

    @rule()
    def connect(self):
        self.count += 1
        client = SocketClient(self.harness)
        assert client.ask(f"c{self.count}") == [200]
        self.clients[self.count] = [client, 0, b"", self.harness.dispatcher.now]

    @precondition(lambda self: self.clients)
    @rule(data=st.data(), cut=st.integers(1, 90), turns=st.integers(0, 3))
    def speak(self, data, cut, turns):
        number = self.pick(data)
        state = self.clients[number]
        if not state[1]:
            self.judge(number)
            if number not in self.clients:
                return
        client, _, begun, _ = state
        if not begun:
            self.count += 1
            begun = message(f"m{self.count}")
            state[3] = self.harness.dispatcher.now
        client.send(begun[:cut])
        state[2] = begun[cut:]
        if not state[2]:
            state[1] += 1
            state[3] = inf  # until it is answered
        self.harness.turn(turns)

    @precondition(lambda self: self.clients)
    @rule(data=st.data())
    def hang_up(self, data):
        client, *_ = self.clients.pop(self.pick(data))
        client.sock.close()

    @rule(span=st.sampled_from([1.0, 900.0, 1100.0, 2700.0, 30_000.0, 70_000.0]), turns=st.integers(0, 2))
    def wait(self, span, turns):
        """Time passes, with or without the loop having seen what came before it."""
        self.harness.turn(turns)
        self.harness.work()
        self.answered()
        self.harness.pass_time(span)

    @rule(keep=st.sampled_from([LEAST_KEEP, 60_000.0, 600_000.0]), after=st.sampled_from([10.0, 1000.0, inf]))
    def reload(self, keep, after):
        self.harness.listener.set_idle_limits(IdleSettings(keep, after))

    @rule()
    def answered(self):
        self.harness.turn()
        self.harness.work()
        self.harness.work()
        for number in list(self.clients):
            self.judge(number)

    def judge(self, number):
        state = self.clients[number]
        client, owed, begun, since = state
        statuses = client.statuses()
        if statuses and statuses[-1] == 408:
            assert begun
            assert self.harness.dispatcher.now >= since + MESSAGE_TIMEOUT_MS
            assert statuses == [200] * owed + [408]
            del self.clients[number]
        elif client.open:
            assert statuses == [200] * owed
            if owed:
                state[1], state[3] = 0, self.harness.dispatcher.now
        else:
            assert not owed, "closed on a message"
            assert not begun, "closed on a message"
            assert self.harness.dispatcher.now >= since + LEAST_KEEP, "closed before its time"
            del self.clients[number]

    @invariant()
    def counted(self):
        listener = self.harness.listener
        assert listener.connections == len(listener.open_connections) + listener.parked
        assert sum(self.harness.admission.addresses.connections) == listener.connections
        assert sum(self.harness.admission.addresses.incomplete_messages) == sum(
            a.admission.message_counted for a in listener.open_connections
        )

    def teardown(self):
        self.answered()
        for client, *_ in self.clients.values():
            client.sock.close()
        self.harness.pass_time(10_000.0)
        self.harness.turn()
        assert not self.harness.listener.connections
        self.harness.close()


def test_random_steps_of_a_crowd():
    play(Crowd, 150, 25)
