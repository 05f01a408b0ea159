"""Admission control at a listener: rejected connections, slow messages, and the counts after them."""

import socket

import pytest
from support.real_sockets import IDLING, ListenerHarness, SocketClient, message

from eiderfield.connections.settings import (
    MESSAGE_TIMEOUT_MS,
    AdmissionSettings,
    MessageTimeouts,
    Quota,
    Watermarks,
)
from eiderfield.net.clients import ConnectionHandover
from eiderfield.net.clients.connection import LINGER_TIME_MS
from eiderfield.net.clients.listener import MAX_PENDING_REJECTIONS
from eiderfield.net.wheel import TICK_MS


def test_address_at_its_limit_receives_503_and_others_are_served():
    harness = ListenerHarness(address_quota=Quota(max_connections=3), retry_after=1500.0)
    clients = [SocketClient(harness) for _ in range(5)]
    assert [client.statuses() for client in clients] == [[], [], [], [503], [503]]
    assert clients[4].advice == "1.500"
    assert SocketClient(harness, address="192.0.2.2").ask("other") == [200]
    harness.pass_time(LINGER_TIME_MS + TICK_MS)
    assert not clients[4].open
    assert harness.admission.figures()["address_held"] == 2
    harness.close()


def test_rejection_reaches_a_client_that_has_sent_its_request():
    """A close with unread input would reset the connection and discard the response."""
    harness = ListenerHarness(address_quota=Quota(max_connections=1))
    first = SocketClient(harness)
    rejected = SocketClient.__new__(SocketClient)
    client_sock, listener_sock = socket.socketpair()
    client_sock.setblocking(False)
    listener_sock.setblocking(False)
    client_sock.send(message("r1") * 20)
    SocketClient.__init__(rejected, ListenerHarness())  # for its parser
    rejected.sock = client_sock
    harness.listener.acceptor.listening_socket.waiting.append((listener_sock, ("192.0.2.1", 1)))
    harness.listener.acceptor.accept()
    harness.turn()
    assert rejected.statuses() == [503]
    assert first.open
    harness.close()


def test_rejected_connections_receive_few_responses_at_once_and_none_above_the_rate():
    harness = ListenerHarness(most=1000, address_quota=Quota(max_connections=1))
    clients = [SocketClient(harness)]
    clients += [SocketClient(harness) for _ in range(MAX_PENDING_REJECTIONS + 10)]
    statuses = [client.statuses() for client in clients]
    assert statuses.count([503]) == MAX_PENDING_REJECTIONS
    assert statuses.count([]) == 11
    harness.close()
    harness = ListenerHarness(most=1000, address_quota=Quota(connections_per_s=1.0, burst=2.0))
    assert [client.open for client in [SocketClient(harness) for _ in range(5)]] == [
        True,
        True,
        False,
        False,
        False,
    ]
    harness.close()


def test_parked_connection_counts_for_its_address_until_it_is_closed():
    harness = ListenerHarness(address_quota=Quota(max_connections=2))
    clients = harness.parked(2)
    assert SocketClient(harness).statuses() == [503]
    clients[0].sock.close()
    harness.turn()
    another = SocketClient(harness)
    assert another.ask("again") == [200]
    assert clients[1].ask("woken") == [200]
    harness.pass_time(LINGER_TIME_MS + TICK_MS)
    assert SocketClient(harness).statuses() == [503]
    harness.pass_time(IDLING.idle_timeout + 2000.0)
    assert not harness.listener.connections
    assert SocketClient(harness).ask("later") == [200]
    harness.close()


def test_incomplete_messages_beyond_the_limit_are_rejected():
    harness = ListenerHarness(address_quota=Quota(max_incomplete_messages=2))
    slow = [SocketClient(harness).send(b"POST /safe") for _ in range(3)]
    harness.turn()
    assert [client.statuses() for client in slow] == [[], [], [503]]
    assert SocketClient(harness).ask("whole") == [200]
    slow[0].send(message("s")[10:])
    harness.turn()
    harness.work()
    assert slow[0].statuses() == [200]
    another = SocketClient(harness).send(b"P")
    harness.turn()
    assert not another.statuses()
    assert harness.admission.figures()["address_begun"] == 1
    harness.close()


def test_slow_heads_are_all_ended_at_their_time_limit():
    harness = ListenerHarness(most=1000, timeouts=MessageTimeouts(head=2000.0))
    clients = [SocketClient(harness) for _ in range(200)]
    for step in range(19):
        for client in clients:
            client.send(message("x")[step : step + 1])
        harness.turn(2)
        harness.pass_time(100.0)
    assert all(client.open for client in clients)
    assert SocketClient(harness).ask("other") == [200]
    harness.pass_time(150.0)
    harness.turn(30)
    assert [client.statuses() for client in clients] == [[408]] * 200
    assert harness.admission.figures()["slow_head"] == 200
    harness.close()


@pytest.mark.parametrize(("interval", "status"), [(10.0, 200), (200.0, 408)])
def test_body_below_the_minimum_rate_is_rejected(interval, status):
    harness = ListenerHarness(timeouts=MessageTimeouts(min_body_rate=50.0, body_grace=500.0))
    client = SocketClient(harness)
    head = message("r1").replace(b"Length: 1", b"Length: 100").removesuffix(b"b")
    client.send(head)
    harness.turn()
    for _ in range(100):
        if client.open:
            try:
                client.send(b"x")
            except OSError:
                break
        harness.turn(2)
        harness.pass_time(interval)
        if harness.listener.clock() > 1_000_000.0 + MESSAGE_TIMEOUT_MS:
            break
    harness.work()
    assert client.statuses() == [status]
    assert harness.admission.figures()["slow_body"] == (status == 408)
    harness.close()


def test_new_limits_apply_to_messages_that_have_begun():
    harness = ListenerHarness()
    client = SocketClient(harness).send(b"POST /safe")
    harness.turn()
    harness.pass_time(1000.0)
    harness.listener.set_admission(AdmissionSettings(timeouts=MessageTimeouts(head=1500.0)))
    harness.pass_time(490.0)
    assert not client.statuses()
    harness.pass_time(20.0)
    assert client.statuses() == [408]
    harness.close()


def test_overloaded_listener_closes_parked_connections_earlier():
    harness = ListenerHarness(
        most=10, descriptors=Watermarks(0.5, 0.3), overloaded_idle_timeout=5000.0, min_overload_time=100.0
    )
    parked = harness.parked(2)
    more = [SocketClient(harness) for _ in range(4)]
    harness.pass_time(200.0)
    more.append(SocketClient(harness))
    assert harness.admission.overloaded
    harness.pass_time(5000.0)
    assert not any(client.open for client in parked)
    harness.close()


def test_new_connection_while_memory_is_scarce_replaces_an_idle_one():
    harness = ListenerHarness(most=60)
    parked = harness.parked(20)
    harness.memory = 0.97
    harness.pass_time(200.0)
    new_client = SocketClient(harness)
    assert harness.admission.capacity == 20
    assert harness.listener.connections == 20
    assert new_client.ask("n") == [200]
    assert sum(client.open for client in parked) == 19
    harness.memory = 0.5
    harness.pass_time(2500.0)
    another = SocketClient(harness)
    assert harness.admission.capacity == 60
    assert another.open
    harness.close()


def test_adopt_connection_whose_client_has_left_raises_nothing():
    harness = ListenerHarness()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        client = socket.create_connection(listener.getsockname())
        theirs, _ = listener.accept()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    client.close()
    harness.listener.adopt_connection(theirs, ConnectionHandover(True, harness.dispatcher.now))
    harness.turn()
    harness.close()
