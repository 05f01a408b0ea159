"""Parked connections on real sockets, with an event loop and a clock that the tests advance."""

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


def test_idle_connection_is_parked_and_its_next_request_is_served(harness):
    [client] = harness.parked()
    assert client.open
    assert harness.listener.connections == 1
    assert client.ask("r2") == [200]
    assert harness.listener.parked == 0
    harness.pass_time(IDLING.park_after + 2 * TICK_MS)
    assert harness.listener.parked == 1
    assert client.ask("r3") == [200]


def test_two_messages_at_once_on_a_connection_parked_for_an_hour_are_both_answered():
    harness = ListenerHarness(replace(IDLING, idle_timeout=7_200_000.0))
    [client] = harness.parked()
    harness.pass_time(3_600_000.0)
    client.send(message("a") + message("b"))
    harness.turn()
    harness.work()
    harness.work()
    assert client.statuses() == [200, 200]
    harness.close()


def test_connection_without_a_request_or_with_an_incomplete_message_is_not_parked(harness):
    silent, slow = SocketClient(harness), SocketClient(harness)
    assert slow.ask("r1") == [200]
    slow.send(b"POST /safe")
    harness.turn()
    harness.pass_time(MESSAGE_TIMEOUT_MS - 1.0)
    assert not harness.listener.parked
    harness.pass_time(100.0)
    assert slow.statuses() == [408]
    assert not silent.open


def test_message_that_arrives_before_or_during_parking_is_answered(harness):
    """The poll set is level-triggered: it reports bytes that arrived before the descriptor was added."""
    client = SocketClient(harness)
    assert client.ask("r1") == [200]
    [connection] = harness.listener.open_connections
    client.send(message("r2"))  # unread when the timer fires
    assert not connection.is_idle
    connection.time_limit_reached()
    assert not harness.listener.parked, "it has unread bytes"
    real, connection.__class__ = connection.__class__, type("Idle", (ClientConnection,), {"is_idle": True})
    connection.time_limit_reached()  # as if the bytes arrived after the check for unread bytes
    connection.__class__ = real
    assert harness.listener.parked == 1
    harness.turn()
    harness.work()
    assert client.statuses() == [200]
    assert not harness.listener.parked


def test_message_that_is_unread_at_expiry_is_answered(harness):
    [client] = harness.parked()
    client.send(message("r2"))
    harness.dispatcher.now += IDLING.idle_timeout + 2000.0
    harness.dispatcher.wheel.advance(harness.dispatcher.now)  # before the loop reports the bytes
    assert harness.listener.parked == 1
    harness.turn()
    harness.work()
    assert client.statuses() == [200]


def test_message_begun_on_a_parked_connection_is_ended_at_its_time_limit(harness):
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
    assert client.statuses() == [408], "further bytes do not extend the limit"


def test_parked_connection_is_closed_after_the_idle_timeout(harness):
    [client] = harness.parked()
    harness.pass_time(IDLING.idle_timeout - IDLING.park_after - 100.0)
    assert client.open
    harness.pass_time(1200.0)
    assert not client.open
    assert not harness.listener.connections
    assert harness.listener.figures()["expired"] == 1
    assert harness.dispatcher.wheel.next_wakeup() == inf, "no timer is left"


def test_parked_connections_that_clients_close_or_half_close_are_closed(harness):
    half_closed, closed, message_and_end = harness.parked(3)
    half_closed.sock.shutdown(socket.SHUT_WR)
    closed.sock.close()
    message_and_end.send(b"POST /safe")
    message_and_end.sock.shutdown(socket.SHUT_WR)
    harness.turn(1)
    assert harness.listener.figures()["left"] == 2
    assert harness.listener.figures()["woken"] == 1
    harness.turn()
    assert not harness.listener.connections


def test_parked_tcp_connection_that_is_reset_is_closed_without_waking():
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


def test_connection_with_unsent_bytes_is_not_parked(harness):
    """A parked connection has no write buffer: bytes that are not written yet would be lost."""
    client = SocketClient(harness)
    assert client.ask("r1") == [200]
    [connection] = harness.listener.open_connections
    connection._transport.write(b"x" * 4_000_000)
    assert not harness.listener.parking.park(connection)
    harness.pass_time(IDLING.park_after * 3)
    assert not harness.listener.parked
    assert client.open


def test_connections_that_expire_together_are_closed_a_bounded_number_per_tick():
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


def test_connections_that_wake_together_are_resumed_a_bounded_number_per_turn():
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
    assert all(len(statuses) == 1 for statuses in answers), "each is answered; a single worker declines some"
    harness.close()


def test_set_idle_limits_applies_to_parked_connections(harness):
    [client] = harness.parked()
    harness.listener.set_idle_limits(replace(IDLING, idle_timeout=3000.0))
    harness.pass_time(3100.0)
    assert not client.open
    harness.listener.set_idle_limits(replace(IDLING, idle_timeout=600_000.0))
    [client] = harness.parked()
    harness.pass_time(IDLING.idle_timeout * 2)
    assert client.open


def test_set_idle_limits_without_parking_keeps_parked_connections_and_parks_no_more(harness):
    [client] = harness.parked()
    harness.listener.set_idle_limits(replace(IDLING, park_after=inf))
    assert client.ask("r2") == [200]
    harness.pass_time(IDLING.idle_timeout / 2)
    assert not harness.listener.parked
    assert client.open


def test_eviction_at_full_capacity_closes_the_longest_idle_connection_without_unread_bytes():
    harness = ListenerHarness(most=4)
    first, second = harness.parked(2)
    assert second.ask("again") == [200]
    harness.pass_time(IDLING.park_after + 2 * TICK_MS)
    first.send(b"P")  # unread, so it must not be evicted
    third, fourth = SocketClient(harness), SocketClient(harness)
    assert third.ask("t") == [200]
    assert fourth.ask("f") == [200]
    assert harness.listener.connections == 4
    assert harness.listener.ensure_capacity()
    assert first.open
    assert not second.open


def test_clock_that_jumps_forward_closes_only_expired_connections(harness):
    """The program's clock is monotonic: it can only jump forward, as after a suspension of the machine."""
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


def test_resuming_a_parked_connection_needs_no_descriptor(harness, monkeypatch):
    """Parked connections must be served even if the process has no free descriptor."""
    [client] = harness.parked()

    def refuse(*_args, **_kwargs):
        raise OSError(errno.EMFILE, "too many open files")

    for name in ("dup", "open", "pipe"):
        monkeypatch.setattr(os, name, refuse)
    monkeypatch.setattr(socket.socket, "dup", refuse)
    before = len(harness.listener.open_connections)
    client.send(message("r2"))
    harness.turn()
    assert len(harness.listener.open_connections) == before + 1
    monkeypatch.undo()
    harness.work()
    assert client.statuses() == [200]


def test_no_connection_is_evicted_while_the_backlog_is_empty():
    """At full capacity, each accepted connection caused a second eviction, for a client that might follow."""
    harness = ListenerHarness(most=3)
    clients = harness.parked(3)
    newcomer = SocketClient(harness)
    harness.turn()
    assert sum(client.open for client in clients) == 2
    assert newcomer.ask("n") == [200]
    harness.close()


def test_connection_that_the_poll_set_refuses_stays_open_and_is_served(harness, monkeypatch):
    """The kernel limits the epoll watches of a user. Beyond the limit only parking may fail."""
    client = SocketClient(harness)
    assert client.ask("r1") == [200]

    def refuse(_self, _fd, _idle_since, _tag=0):
        raise OSError(28, "no space left on device")

    monkeypatch.setattr(IdleConnections, "park", refuse)
    harness.pass_time(IDLING.park_after * 5)
    harness.turn()
    assert not harness.listener.parked
    assert client.ask("r2") == [200]


def test_close_idle_closes_parked_connections_without_unread_requests(harness):
    idle, active = harness.parked(2)
    active.send(message("last"))
    harness.listener.keep_alive_disabled = True
    harness.listener.close_idle()
    assert not idle.open
    assert harness.listener.connections == 1
    harness.turn()
    harness.work()
    assert active.statuses() == [200]
    harness.turn()
    harness.listener.close_idle()


def test_handover_of_parked_connections_includes_their_unread_bytes(harness):
    new = ListenerHarness(loop=harness.loop)
    idle, active = harness.parked(2)
    active.send(message("m"))

    def take(detach):
        if (detached := detach()) is None:
            return False
        new.listener.adopt_connection(socket.socket(fileno=detached.descriptor), detached.state)
        return True

    harness.listener.successor = take
    harness.listener.hand_over_batch()
    assert not harness.listener.connections
    assert new.listener.connections == 2
    for client, id_ in ((idle, "q"), (active, None)):
        if id_ is not None:
            client.send(message(id_))
        new.turn()
        new.work()
        assert client.statuses() == [200]
    new.listener.close()


def test_handover_of_an_incomplete_head_keeps_its_time_limit(harness):
    """Its time counted from the last response, so after an hour the next process responded 408 at once."""
    client = SocketClient(harness)
    assert client.ask("r1") == [200]
    harness.pass_time(900.0)
    client.send(message("r2")[:20])
    harness.turn()
    [connection] = harness.listener.open_connections
    harness.dispatcher.now += 30_000.0  # as if the process had been suspended
    connection._timer.started_at = harness.dispatcher.now - 100.0
    detached = connection.detach()
    new = ListenerHarness(loop=harness.loop)
    new.dispatcher.now = harness.dispatcher.now
    new.listener.adopt_connection(socket.socket(fileno=detached.descriptor), detached.state)
    new.turn()
    new.pass_time(MESSAGE_TIMEOUT_MS - 200.0)
    assert client.open
    assert not client.statuses()
    client.send(message("r2")[20:])
    new.turn()
    new.work()
    assert client.statuses() == [200]
    new.listener.close()


class RandomClients(RuleBasedStateMachine):
    """Random clients: each complete message is answered once, whatever the state of its connection; a
    connection is closed only at its time limit or by its client."""

    def __init__(self):
        super().__init__()
        self.harness = ListenerHarness()
        self.clients = {}  # number -> client, responses due, unsent part of a message, last activity
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
    def send_part(self, data, cut, turns):
        number = self.pick(data)
        state = self.clients[number]
        if not state[1]:
            self.check_responses(number)
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
            state[3] = inf  # not idle until it is answered
        self.harness.turn(turns)

    @precondition(lambda self: self.clients)
    @rule(data=st.data())
    def disconnect(self, data):
        client, *_ = self.clients.pop(self.pick(data))
        client.sock.close()

    @rule(span=st.sampled_from([1.0, 900.0, 1100.0, 2700.0, 30_000.0, 70_000.0]), turns=st.integers(0, 2))
    def wait(self, span, turns):
        """Advance the clock, after the loop has or has not reported earlier bytes."""
        self.harness.turn(turns)
        self.harness.work()
        self.check_all()
        self.harness.pass_time(span)

    @rule(
        timeout=st.sampled_from([LEAST_KEEP, 60_000.0, 600_000.0]),
        park_after=st.sampled_from([10.0, 1000.0, inf]),
    )
    def reload(self, timeout, park_after):
        self.harness.listener.set_idle_limits(IdleSettings(timeout, park_after))

    @rule()
    def check_all(self):
        self.harness.turn()
        self.harness.work()
        self.harness.work()
        for number in list(self.clients):
            self.check_responses(number)

    def check_responses(self, number):
        state = self.clients[number]
        client, due, begun, since = state
        statuses = client.statuses()
        if statuses and statuses[-1] == 408:
            assert begun
            assert self.harness.dispatcher.now >= since + MESSAGE_TIMEOUT_MS
            assert statuses == [200] * due + [408]
            del self.clients[number]
        elif client.open:
            assert statuses == [200] * due
            if due:
                state[1], state[3] = 0, self.harness.dispatcher.now
        else:
            assert not due, "closed with a response due"
            assert not begun, "closed during a message"
            assert self.harness.dispatcher.now >= since + LEAST_KEEP, "closed before its idle timeout"
            del self.clients[number]

    @invariant()
    def counts_are_consistent(self):
        listener = self.harness.listener
        assert listener.connections == len(listener.open_connections) + listener.parked
        assert sum(self.harness.admission.addresses.connections) == listener.connections
        assert sum(self.harness.admission.addresses.incomplete_messages) == sum(
            a.admission.message_counted for a in listener.open_connections
        )

    def teardown(self):
        self.check_all()
        for client, *_ in self.clients.values():
            client.sock.close()
        self.harness.pass_time(10_000.0)
        self.harness.turn()
        assert not self.harness.listener.connections
        self.harness.close()


def test_model_random_steps_keep_the_rules():
    play(RandomClients, 150, 25)
