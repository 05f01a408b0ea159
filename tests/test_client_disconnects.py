"""Clients that go: nothing is sent for them from then on, whatever the dispatcher was doing with them."""

import socket
from dataclasses import replace

import pytest
from support.memory_dispatcher import SITE
from support.real_sockets import ListenerHarness, SocketClient, message

from eiderfield.interface import StartAttempt, TimerFired
from eiderfield.net.clients.connection import MAX_PIPELINED_BYTES, MESSAGES_PER_TURN
from eiderfield.net.loop import Driver


@pytest.fixture
def harness():
    harness = ListenerHarness()
    yield harness
    harness.close()


def driven(harness):
    """The harness's exchange is given its turns by the driver, on the harness's loop."""
    driver = Driver(harness.loop, harness.dispatcher.clock)
    harness.dispatcher.wake = driver.wake
    driver.turn = harness.dispatcher.exchange.turn
    return driver


def test_a_request_whose_client_has_gone_behind_it_is_not_sent(harness):
    """Request and close were both in the socket. The poll told of one at a time, and the turn came between:
    the request was written to a worker on an idle connection for somebody who had gone."""
    first = SocketClient(harness)
    assert first.ask("r0") == [200]
    [end] = harness.dispatcher.ends
    driven(harness)
    for number in range(3):
        ours, theirs = socket.socketpair()
        theirs.setblocking(False)
        ours.send(message(f"r{number + 1}"))
        ours.close()
        harness.listener.acceptor.listening_socket.waiting.append((theirs, ("192.0.2.1", 1)))
        harness.listener.acceptor.accept()
        harness.turn(12)
    assert not harness.dispatcher.dials
    assert end.take() == []
    assert not harness.dispatcher.exchange.pending_request_count
    assert harness.listener.figures()["departed"] == 3
    assert first.send(message("r9")), "who stays is served"
    assert harness.turn(12) or end.take() == ["r9"], "who stays is served"


@pytest.mark.parametrize("how", ["closes", "ends its sending", "resets"])
def test_a_client_that_goes_with_much_unread_is_noticed_while_it_is_not_read(harness, how):
    """With 16 KiB of further messages waiting the connection was not read, and a connection that is not read
    tells of no close: the job stayed out, and all that waited behind it was sent on for nobody."""
    client = SocketClient(harness)
    client.send(message("r0"))
    harness.turn()
    [dial] = harness.dispatcher.dials
    end = dial.up()
    assert end.take() == ["r0"]
    number = 0
    while client_takes(client, message(f"more{number}")) and number < 2 * MAX_PIPELINED_BYTES // len(
        message()
    ):
        number += 1
        harness.turn(1)
    [connection] = harness.listener.open_connections
    assert not connection._transport.is_reading()
    if how == "closes":
        client.sock.close()
    elif how == "ends its sending":
        client.sock.shutdown(socket.SHUT_WR)
    else:
        client.sock.shutdown(socket.SHUT_RDWR)
    harness.turn()
    assert not end.pipe.open
    assert not harness.dispatcher.exchange.pending_request_count
    assert not harness.listener.open_connections
    harness.pass_time(2000.0)
    assert not harness.dispatcher.dials
    assert end.came == ["r0"]


def client_takes(client, data):
    try:
        client.send(data)
    except BlockingIOError:
        return False
    return True


def test_who_sends_much_and_stays_is_answered_whole_and_watched_no_more(harness):
    client, count, statuses = SocketClient(harness), 0, []
    while client_takes(client, message(f"m{count}")):
        count += 1
        harness.turn(count % MESSAGES_PER_TURN == 0)
    assert count * len(message()) > MAX_PIPELINED_BYTES
    assert harness.listener.departures._watched
    while len(statuses) < count:
        harness.work()
        harness.pass_time(5.0)
        statuses += client.statuses()
    assert statuses == [200] * count
    assert client.open
    assert not harness.listener.departures._watched
    client.sock.close()
    harness.turn()
    assert not harness.listener.open_connections


def test_a_client_that_leaves_its_answer_unread_and_goes_is_noticed(harness):
    """While its writes stand still it is not read either."""
    client = SocketClient(harness)
    client.send(message("r0"))
    harness.turn()
    end = harness.dispatcher.dials[0].up()
    [connection] = harness.listener.open_connections
    connection.pause_writing()
    client.sock.close()
    harness.turn()
    assert not harness.listener.open_connections
    assert not harness.dispatcher.exchange.pending_request_count
    assert not end.pipe.open


def test_a_departure_says_nothing_of_the_worker_that_had_the_job(harness):
    """Its attempt was called off unstarted, and the worker was left alone for 0.4 s as if it had kept the job
    waiting too long: a burst of clients that left took the workers from those that stayed."""
    for number in range(5):
        client = SocketClient(harness)
        client.send(message(f"r{number}"))
        harness.turn()
        [dial] = harness.dispatcher.dials
        assert dial.up().take() == [f"r{number}"]
        client.sock.close()
        harness.turn()
    assert not harness.dispatcher.exchange.pending_request_count
    assert SocketClient(harness).ask("stays") == [200]


def leaves_in_the_turn(harness, client, call):
    """The client closes between the module's decision and the write; its close has not been read."""
    handle = harness.dispatcher.exchange.dispatcher.handle

    def decide(now, events):
        actions = handle(now, events)
        if any(isinstance(action, call) for action in actions):
            client.sock.close()
        return actions

    harness.dispatcher.exchange.dispatcher.handle = decide


def test_a_client_that_leaves_while_a_turn_is_held_up_is_sent_nothing_on_an_idle_connection(harness):
    """Between the decision and the write the process may be held up, and the close lies unread meanwhile."""
    first = SocketClient(harness)
    assert first.ask("r0") == [200]
    [end] = harness.dispatcher.ends
    client = SocketClient(harness)
    leaves_in_the_turn(harness, client, StartAttempt)
    client.send(message("r1"))
    harness.turn()
    assert end.take() == []
    assert end.came == ["r0"]
    assert not harness.dispatcher.exchange.pending_request_count
    assert end.pipe.open, "the connection is as good as before"
    del harness.dispatcher.exchange.dispatcher.handle  # from now on the class's own decides
    assert first.ask("r2") == [200]
    assert end.came == ["r0", "r2"]


@pytest.mark.parametrize("how", ["closes", "ends its sending", "resets"])
def test_a_connection_that_comes_up_in_the_poll_of_the_clients_close_carries_nothing(harness, how):
    client = SocketClient(harness)
    client.send(message("r0"))
    harness.turn()
    [dial] = harness.dispatcher.dials
    depart(client, how)
    end = dial.up()  # before the loop's next turn, in which the close is read
    assert not end.pipe.written
    harness.turn()
    assert not harness.dispatcher.exchange.pending_request_count
    assert not harness.dispatcher.dials


def depart(client, how):
    if how == "closes":
        client.sock.close()
    elif how == "ends its sending":
        client.sock.shutdown(socket.SHUT_WR)
    else:
        client.sock.shutdown(socket.SHUT_RDWR)


def until_the_retry(harness, client):
    """A request that its worker handed back unstarted; its retry's timer has just gone off, and the turn that
    this asks for has not come. Gives the worker's end."""
    client.send(message("r0"))
    harness.turn()
    dispatcher = harness.dispatcher
    end = dispatcher.dials[0].up()
    end.status(503, X_Not_Run="1")
    [worker] = dispatcher.exchange.dispatcher.workers.values()
    while True:
        dispatcher.now = max(dispatcher.now, dispatcher.wheel.next_wakeup())
        dispatcher.wheel.advance(dispatcher.now)
        if dispatcher.now >= worker.full_until and any(
            isinstance(event, TimerFired) for event in dispatcher.exchange.pending_events
        ):
            break
        dispatcher.settle()
    assert end.pipe.open
    assert dispatcher.exchange.pending_request_count == 1
    return end


@pytest.mark.parametrize("read", ["in its turn", "after it"])
def test_a_departure_in_the_turn_of_a_retrys_timer_sends_nothing(harness, read):
    """The close is read in the turn of the timer, or lies in the socket when the retry is written."""
    client = SocketClient(harness)
    end = until_the_retry(harness, client)
    client.sock.close()
    if read == "in its turn":
        harness.loop.call_soon(harness.loop.stop)
        harness.loop.run_forever()
    harness.dispatcher.settle()
    assert end.take() == []
    assert not harness.dispatcher.dials
    harness.pass_time(1000.0)
    assert end.came == ["r0"]
    assert not harness.dispatcher.exchange.pending_request_count


def test_the_retry_of_a_client_that_stays_is_sent_at_that_moment(harness):
    """Or the test before would show nothing."""
    client = SocketClient(harness)
    end = until_the_retry(harness, client)
    harness.dispatcher.settle()
    assert end.take() == ["r0"]
    assert client.open


def test_a_request_behind_another_is_not_sent_for_a_client_that_has_left_both(harness):
    """The first one's answer and the close come in one poll."""
    client = SocketClient(harness)
    client.send(message("r0") + message("r1"))
    harness.turn()
    end = harness.dispatcher.dials[0].up()
    assert end.take() == ["r0"]
    client.sock.close()
    end.finish()  # before the close is read
    harness.turn()
    assert end.take() == []
    assert end.came == ["r0"]
    assert not harness.dispatcher.exchange.pending_request_count


def test_a_hedged_request_is_not_begun_for_a_client_that_has_left():
    harness = ListenerHarness(site=replace(SITE, hedging_allowed=True, progress_interval_ms=100.0), workers=2)
    client = SocketClient(harness)
    client.send(message("r0"))
    harness.turn()
    first = harness.dispatcher.dials[0].up()
    first.take()
    first.say({"id": "r0", "from": "w", "state": "started"})
    while not harness.dispatcher.dials:
        harness.pass_time(20.0)
    client.sock.close()
    second = harness.dispatcher.dials[0].up()
    assert not second.pipe.written
    harness.turn()
    assert not first.pipe.open
    assert not harness.dispatcher.exchange.pending_request_count
    harness.close()
