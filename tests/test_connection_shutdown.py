"""Closing connections: no reset discards a response, and no request read after the close is forwarded."""

import asyncio

import pytest
from support.processes import endpoint_list, program_config
from support.real_sockets import IDLING, ListenerHarness, SocketClient, message

from eiderfield.config.loader import read
from eiderfield.connections.settings import IdleSettings
from eiderfield.lab.ports import free_port
from eiderfield.net.clients import Phase
from eiderfield.net.clients.connection import EVICTION_GRACE_MS, LINGER_TIME_MS
from eiderfield.net.shutdown_times import (
    ACCEPT_TIME_MS,
    KILL_DELAY_MS,
    KILL_MARGIN_MS,
    MAX_DEADLINE_MS,
    ShutdownTimes,
)
from eiderfield.net.wheel import TICK_MS
from eiderfield.program.program import Program

UNPARKED = IdleSettings(idle_timeout=60_000.0)  # no connection is parked


@pytest.fixture
def harness():
    harness = ListenerHarness(UNPARKED)
    yield harness
    harness.close()


def client_with_unread_response(harness, id_="r0"):
    """Return a client whose response has been written and that has not read it yet."""
    client = SocketClient(harness)
    client.send(message(id_))
    harness.turn()
    harness.work()
    return client


def read_to_end(client):
    """Read until the connection is closed; raises `ConnectionResetError` if it is reset."""
    data = b""
    while more := client.sock.recv(65536):
        data += more
    return data


@pytest.mark.parametrize("cause", ["shutdown", "idle timeout", "shorter idle timeout"])
def test_request_that_arrives_during_a_close_causes_no_reset_and_is_not_forwarded(harness, cause):
    """A request may arrive between the check for unread bytes and the close in the loop's next turn. The
    close would then be a reset, which discards the last response if the client has not read it yet."""
    client = client_with_unread_response(harness)
    if cause == "shutdown":
        harness.listener.keep_alive_disabled = True
        harness.listener.close_idle()
    elif cause == "shorter idle timeout":
        harness.dispatcher.now += 5000.0
        harness.listener.set_idle_limits(IdleSettings(idle_timeout=1000.0))
        harness.listener.set_admission(harness.admission.settings)
        harness.dispatcher.wheel.advance(harness.dispatcher.now)
    else:
        [connection] = harness.listener.open_connections
        harness.dispatcher.now += UNPARKED.idle_timeout
        connection.time_limit_reached()
    client.send(message("r1"))  # after the check for unread bytes, before the loop's next turn
    harness.turn()
    assert read_to_end(client).startswith(b"HTTP/1.1 200 ")
    assert not harness.dispatcher.exchange.pending_request_count
    assert [end.came for end in harness.dispatcher.ends] == [["r0"]]
    assert harness.listener.figures()["discarded"] == 1
    client.sock.close()
    harness.turn()
    assert not harness.listener.open_connections, "the client's own close ends it"


@pytest.mark.parametrize("cause", ["idle timeout", "eviction", "shutdown", "shorter idle timeout"])
def test_parked_connection_with_an_unread_request_is_not_closed(cause):
    """The request is in the socket, and the loop has not reported it yet."""
    harness = ListenerHarness(IDLING, most=1)
    [client] = harness.parked()
    client.send(message("late"))
    if cause == "idle timeout":
        harness.dispatcher.now += IDLING.idle_timeout + 2000.0
        harness.listener.parking.expire()
    elif cause == "eviction":
        assert not harness.listener.ensure_capacity()
    elif cause == "shutdown":
        harness.listener.keep_alive_disabled = True
        harness.listener.close_idle()
    else:
        harness.dispatcher.now += 10_000.0
        harness.listener.set_idle_limits(IdleSettings(idle_timeout=1000.0, park_after=IDLING.park_after))
        harness.listener.parking.expire()
    harness.turn()
    harness.work()
    assert client.statuses() == [200]
    harness.close()


def test_client_that_neither_reads_nor_closes_is_closed_after_the_linger_time(harness):
    client = client_with_unread_response(harness)
    harness.listener.close_idle()
    harness.turn()
    assert harness.listener.open_connections
    harness.pass_time(LINGER_TIME_MS + 2 * TICK_MS)
    assert not harness.listener.open_connections
    assert read_to_end(client).startswith(b"HTTP/1.1 200 ")


def test_lingering_connection_with_undelivered_response_is_not_evicted_within_the_grace_time():
    """At full capacity, clients that had just been sent an error response were evicted first and lost it."""
    harness = ListenerHarness(UNPARKED, most=1)
    client = SocketClient(harness)
    client.send(b"POST /none HTTP/1.1\r\nContent-Length: 0\r\n\r\n")
    harness.turn()
    [connection] = harness.listener.open_connections
    assert connection.phase == Phase.LINGERING
    assert not harness.listener.ensure_capacity(), "its response is not delivered yet"
    harness.pass_time(EVICTION_GRACE_MS + 2 * TICK_MS)
    assert harness.listener.ensure_capacity()
    harness.turn()
    assert client.statuses() == [404]
    harness.close()


def test_idle_connection_with_undelivered_response_is_not_evicted_within_the_grace_time():
    """If a request arrives during an immediate close, the close is a reset, which discards the response."""
    harness = ListenerHarness(UNPARKED, most=1)
    client = client_with_unread_response(harness)
    assert not harness.listener.ensure_capacity(), "its response is not delivered yet"
    assert client.statuses() == [200]
    assert harness.listener.ensure_capacity()
    harness.turn()
    assert not client.open
    harness.close()


def test_idle_connection_that_never_reads_its_response_is_evicted_after_the_grace_time():
    harness = ListenerHarness(UNPARKED, most=1)
    client = client_with_unread_response(harness)
    harness.pass_time(EVICTION_GRACE_MS + 2 * TICK_MS)
    assert harness.listener.ensure_capacity()
    client.sock.close()
    harness.close()


@pytest.mark.parametrize("rest_sent", [False, True])
def test_incomplete_request_whose_rest_is_unread_in_the_socket_is_not_evicted(rest_sent):
    """At full capacity it was evicted after 0.5 s without a check for unread bytes, and had no response."""
    harness = ListenerHarness(UNPARKED, most=1)
    client = SocketClient(harness)
    whole = message("r0")
    client.send(whole[:20])
    harness.turn()
    harness.pass_time(EVICTION_GRACE_MS + 2 * TICK_MS)
    if rest_sent:
        client.send(whole[20:])  # the loop has not read it yet
    assert harness.listener.ensure_capacity() is not rest_sent
    harness.turn()
    harness.work()
    assert client.statuses() == ([200] if rest_sent else [])
    client.sock.close()
    harness.turn()
    harness.close()


def test_lingering_connection_with_delivered_response_is_evicted_at_once():
    harness = ListenerHarness(UNPARKED, most=1)
    client = SocketClient(harness)
    client.send(b"POST /none HTTP/1.1\r\nContent-Length: 0\r\n\r\n")
    harness.turn()
    assert client.statuses() == [404]
    assert harness.listener.ensure_capacity()
    harness.close()


def test_close_idle_closes_parked_connections():
    harness = ListenerHarness(IDLING)
    [client] = harness.parked()
    harness.listener.keep_alive_disabled = True
    harness.listener.close_idle()
    client.sock.settimeout(0)
    harness.turn()
    assert read_to_end(client) == b""
    assert not harness.listener.connections
    harness.close()


@pytest.mark.parametrize("longest", [50.0, 200.0, 500.0, 1000.0, 2000.0, 3000.0, 12_000.0, 600_000.0])
def test_shutdown_times_end_before_a_kill_for_any_deadline(longest):
    """SIGKILL follows SIGTERM after the longest deadline (at most 3 s) plus 0.7 s. The timetable ignored the
    settings and was always that of deadlines of 3 s and more."""
    end = ShutdownTimes.of(longest)
    kill = min(longest, MAX_DEADLINE_MS) + KILL_DELAY_MS
    assert 0.0 < end.close_listeners_after <= end.disable_keep_alive_after < end.answered_after < kill
    assert kill - end.answered_after >= min(KILL_MARGIN_MS, 0.2 * kill)
    assert end.close_listeners_after <= ACCEPT_TIME_MS
    if longest >= MAX_DEADLINE_MS:
        assert end == ShutdownTimes(700.0, 1500.0, 3200.0)


class FakeListener:
    """A listener with clients in its backlog for whom there is no capacity."""

    def __init__(self):
        self.has_waiting_clients, self.closed, self.connections, self.response_deadline = True, False, 1, None

    def stop_listening(self):
        self.closed = True


@pytest.mark.parametrize("ending", [False, True])
def test_listener_at_full_capacity_stays_open_while_clients_wait_in_its_backlog(ending):
    """Closing it would reset the clients in the backlog. It is closed nevertheless after keep-alive has been
    disabled, as the program is about to end."""
    config = read(program_config(free_port(), "127.0.0.1:9", known=endpoint_list(8080)), {})
    loop = asyncio.new_event_loop()
    program = Program(config, loop, lambda: 1e6)
    full, other = FakeListener(), FakeListener()
    other.has_waiting_clients = False
    shutdown = program.shutdown
    shutdown._listeners = [full, other]
    shutdown._ending = ending
    shutdown.close_listeners(5.0)
    assert full.response_deadline == other.response_deadline == 5.0, (
        "requests that arrive from now on are answered by then"
    )
    assert full.closed == other.closed == ending
    full.has_waiting_clients = False
    shutdown.close_listeners(5.0)
    assert full.closed
    assert other.closed
    loop.close()


def test_has_waiting_clients_at_full_capacity_is_true_until_a_connection_closes():
    harness = ListenerHarness(UNPARKED, most=1)
    client = client_with_unread_response(harness)
    assert not harness.listener.has_waiting_clients, "the backlog is empty"
    harness.listener.acceptor.listening_socket.waiting.append(None)
    assert harness.listener.has_waiting_clients
    client.sock.close()
    harness.turn()
    assert not harness.listener.has_waiting_clients, "there is capacity"
    harness.listener.acceptor.listening_socket.waiting.clear()
    harness.close()


class FailingFront:
    """A front that raises for POST and answers other requests."""

    def handle_message(self, _listener, connection, head, _body):
        if head.method == "POST":
            raise OSError("no")
        connection.answer(200, b"well\n")


def test_request_whose_front_raises_is_answered_500_and_the_error_is_reported(harness):
    """Raised to asyncio, the error would close the connection, and the request would have no response."""
    faults = []
    harness.loop.set_exception_handler(lambda _, context: faults.append(context["exception"]))
    harness.listener.front = FailingFront()
    client = SocketClient(harness)
    client.send(message("r0"))
    harness.turn()
    assert client.statuses() == [500]
    assert [str(fault) for fault in faults] == ["no"]
    harness.turn()
    assert not client.open, "an error response is the last one"
    other = SocketClient(harness)
    other.send(b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")
    harness.turn()
    assert other.statuses() == [200]
