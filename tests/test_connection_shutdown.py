"""Closing: bytes that cross it take no answer along, and nothing that is read after it is sent on."""

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

KEPT = IdleSettings(idle_timeout=60_000.0)  # nobody is parked


@pytest.fixture
def harness():
    harness = ListenerHarness(KEPT)
    yield harness
    harness.close()


def served(harness, id_="r0"):
    """A client whose answer has left and is not read by it yet."""
    client = SocketClient(harness)
    client.send(message(id_))
    harness.turn()
    harness.work()
    return client


def rest(client):
    """All that comes until the end; raises `ConnectionResetError` where that is a reset."""
    data = b""
    while more := client.sock.recv(65536):
        data += more
    return data


@pytest.mark.parametrize(
    "why", ["the program ends", "it has idled for too long", "new settings let it idle no more"]
)
def test_a_request_that_crosses_a_close_resets_nothing_and_is_not_sent_on(harness, why):
    """Looked at for unread bytes, closed in the loop's next turn: a request in between made the close a
    reset, which took the last answer along where the client had not read it yet."""
    client = served(harness)
    if why == "the program ends":
        harness.listener.keep_alive_disabled = True
        harness.listener.close_idle()
    elif why == "new settings let it idle no more":
        harness.dispatcher.now += 5000.0
        harness.listener.set_idle_limits(IdleSettings(idle_timeout=1000.0))
        harness.listener.set_admission(harness.admission.settings)
        harness.dispatcher.wheel.advance(harness.dispatcher.now)
    else:
        [connection] = harness.listener.open_connections
        harness.dispatcher.now += KEPT.idle_timeout
        connection.time_limit_reached()
    client.send(message("r1"))  # after the look, before the loop's next turn
    harness.turn()
    assert rest(client).startswith(b"HTTP/1.1 200 ")
    assert not harness.dispatcher.exchange.pending_request_count
    assert [end.came for end in harness.dispatcher.ends] == [["r0"]]
    assert harness.listener.figures()["discarded"] == 1
    client.sock.close()
    harness.turn()
    assert not harness.listener.open_connections, "the client's own close ends it"


@pytest.mark.parametrize("why", ["idle", "make room", "end", "crowded"])
def test_a_request_that_has_come_keeps_a_parked_connection_whatever_was_to_end_it(why):
    """It lies in the socket, and the loop has not told of it yet."""
    harness = ListenerHarness(IDLING, most=1)
    [client] = harness.parked()
    client.send(message("late"))
    if why == "idle":
        harness.dispatcher.now += IDLING.idle_timeout + 2000.0
        harness.listener.parking.expire()
    elif why == "make room":
        assert not harness.listener.ensure_capacity()
    elif why == "end":
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


def test_who_neither_reads_nor_closes_is_closed_after_the_lingering(harness):
    client = served(harness)
    harness.listener.close_idle()
    harness.turn()
    assert harness.listener.open_connections
    harness.pass_time(LINGER_TIME_MS + 2 * TICK_MS)
    assert not harness.listener.open_connections
    assert rest(client).startswith(b"HTTP/1.1 200 ")


def test_a_last_answer_that_is_on_its_way_gives_way_to_nobody_for_a_while():
    """A full harness closed first who was being told why it may not stay."""
    harness = ListenerHarness(KEPT, most=1)
    client = SocketClient(harness)
    client.send(b"POST /none HTTP/1.1\r\nContent-Length: 0\r\n\r\n")
    harness.turn()
    [connection] = harness.listener.open_connections
    assert connection.phase == Phase.LINGERING
    assert not harness.listener.ensure_capacity(), "its answer has not arrived"
    harness.pass_time(EVICTION_GRACE_MS + 2 * TICK_MS)
    assert harness.listener.ensure_capacity()
    harness.turn()
    assert client.statuses() == [404]
    harness.close()


def test_an_idle_connection_whose_answer_is_on_its_way_gives_way_to_nobody_for_a_while():
    """Closed at once, with a request that crosses the close it is a reset, which takes the answer along."""
    harness = ListenerHarness(KEPT, most=1)
    client = served(harness)
    assert not harness.listener.ensure_capacity(), "its answer has not arrived"
    assert client.statuses() == [200]
    assert harness.listener.ensure_capacity()
    harness.turn()
    assert not client.open
    harness.close()


def test_an_idle_connection_that_never_reads_its_answer_gives_way_after_a_while():
    harness = ListenerHarness(KEPT, most=1)
    client = served(harness)
    harness.pass_time(EVICTION_GRACE_MS + 2 * TICK_MS)
    assert harness.listener.ensure_capacity()
    client.sock.close()
    harness.close()


@pytest.mark.parametrize("rest_comes", [False, True])
def test_a_half_sent_request_whose_rest_lies_in_the_socket_does_not_give_way(rest_comes):
    """A full harness closed it after half a second without a look, and what had been read had no answer."""
    harness = ListenerHarness(KEPT, most=1)
    client = SocketClient(harness)
    whole = message("r0")
    client.send(whole[:20])
    harness.turn()
    harness.pass_time(EVICTION_GRACE_MS + 2 * TICK_MS)
    if rest_comes:
        client.send(whole[20:])  # the loop has not read it yet
    assert harness.listener.ensure_capacity() is not rest_comes
    harness.turn()
    harness.work()
    assert client.statuses() == ([200] if rest_comes else [])
    client.sock.close()
    harness.turn()
    harness.close()


def test_a_lingering_connection_whose_answer_has_arrived_gives_way_at_once():
    harness = ListenerHarness(KEPT, most=1)
    client = SocketClient(harness)
    client.send(b"POST /none HTTP/1.1\r\nContent-Length: 0\r\n\r\n")
    harness.turn()
    assert client.statuses() == [404]
    assert harness.listener.ensure_capacity()
    harness.close()


def test_parked_connections_are_closed_as_others_are():
    harness = ListenerHarness(IDLING)
    [client] = harness.parked()
    harness.listener.keep_alive_disabled = True
    harness.listener.close_idle()
    client.sock.settimeout(0)
    harness.turn()
    assert rest(client) == b""
    assert not harness.listener.connections
    harness.close()


@pytest.mark.parametrize("longest", [50.0, 200.0, 500.0, 1000.0, 2000.0, 3000.0, 12_000.0, 600_000.0])
def test_whatever_the_deadlines_are_all_is_answered_before_a_kill_may_come(longest):
    """SIGKILL follows SIGTERM after the longest deadline, 3 s at the most, and 0.7 s: the times of the end
    were those of deadlines of 3 s and more, whatever the settings said."""
    end = ShutdownTimes.of(longest)
    kill = min(longest, MAX_DEADLINE_MS) + KILL_DELAY_MS
    assert 0.0 < end.close_listeners_after <= end.disable_keep_alive_after < end.answered_after < kill
    assert kill - end.answered_after >= min(KILL_MARGIN_MS, 0.2 * kill)
    assert end.close_listeners_after <= ACCEPT_TIME_MS
    if longest >= MAX_DEADLINE_MS:
        assert end == ShutdownTimes(700.0, 1500.0, 3200.0)


class Port:
    """A listener of which somebody waits for room."""

    def __init__(self):
        self.has_waiting_clients, self.closed, self.connections, self.response_deadline = True, False, 1, None

    def stop_listening(self):
        self.closed = True


@pytest.mark.parametrize("ending", [False, True])
def test_a_port_stays_open_while_somebody_waits_behind_a_full_house(ending):
    """Closed, it resets who is connected and was not taken for want of room. Once clients were sent away, and
    the program is about to end, it closes all the same."""
    config = read(program_config(free_port(), "127.0.0.1:9", known=endpoint_list(8080)), {})
    loop = asyncio.new_event_loop()
    program = Program(config, loop, lambda: 1e6)
    full, other = Port(), Port()
    other.has_waiting_clients = False
    shutdown = program.shutdown
    shutdown._listeners = [full, other]
    shutdown._ending = ending
    shutdown.close_listeners(5.0)
    assert full.response_deadline == other.response_deadline == 5.0, (
        "what comes from now on is answered by then"
    )
    assert full.closed == other.closed == ending
    full.has_waiting_clients = False
    shutdown.close_listeners(5.0)
    assert full.closed
    assert other.closed
    loop.close()


def test_a_full_house_with_somebody_at_the_port_is_waited_for():
    harness = ListenerHarness(KEPT, most=1)
    client = served(harness)
    assert not harness.listener.has_waiting_clients, "nobody is there"
    harness.listener.acceptor.listening_socket.waiting.append(None)
    assert harness.listener.has_waiting_clients
    client.sock.close()
    harness.turn()
    assert not harness.listener.has_waiting_clients, "there is room"
    harness.listener.acceptor.listening_socket.waiting.clear()
    harness.close()


class FailingFront:
    """A front that fails for one kind of message and answers the others."""

    def handle_message(self, _listener, connection, head, _body):
        if head.method == "POST":
            raise OSError("no")
        connection.answer(200, b"well\n")


def test_a_request_whose_front_fails_has_its_answer_and_the_fault_is_reported(harness):
    """The error closed the connection: what had been read had no answer."""
    faults = []
    harness.loop.set_exception_handler(lambda _, context: faults.append(context["exception"]))
    harness.listener.front = FailingFront()
    client = SocketClient(harness)
    client.send(message("r0"))
    harness.turn()
    assert client.statuses() == [500]
    assert [str(fault) for fault in faults] == ["no"]
    harness.turn()
    assert not client.open, "it was the last answer"
    other = SocketClient(harness)
    other.send(b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")
    harness.turn()
    assert other.statuses() == [200]
