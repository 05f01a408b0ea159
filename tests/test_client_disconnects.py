"""Client disconnections: nothing more is sent to a worker for a client that has disconnected."""

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


def start_driver(harness):
    """Let a driver on the harness's loop run the turns of the exchange."""
    driver = Driver(harness.loop, harness.dispatcher.clock)
    harness.dispatcher.wake = driver.wake
    driver.turn = harness.dispatcher.exchange.turn
    return driver


def test_request_followed_by_close_in_the_socket_is_not_sent(harness):
    """A poll reports the request before the close. If the exchange's turn runs in between, the request must
    not be written to a worker on an idle connection."""
    first = SocketClient(harness)
    assert first.ask("r0") == [200]
    [end] = harness.dispatcher.ends
    start_driver(harness)
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
    assert first.send(message("r9")), "a client that stays connected is served"
    assert harness.turn(12) or end.take() == ["r9"], "a client that stays connected is served"


@pytest.mark.parametrize("how", ["closes", "half-closes", "resets"])
def test_disconnection_while_reading_is_paused_cancels_the_request(harness, how):
    """Reading pauses after 16 KiB of pipelined messages, and a transport that is not read reports no close.
    Without a separate watch the request stayed open, and the pipelined ones were sent to workers after it."""
    client = SocketClient(harness)
    client.send(message("r0"))
    harness.turn()
    [dial] = harness.dispatcher.dials
    end = dial.up()
    assert end.take() == ["r0"]
    number = 0
    while try_send(client, message(f"more{number}")) and number < 2 * MAX_PIPELINED_BYTES // len(message()):
        number += 1
        harness.turn(1)
    [connection] = harness.listener.open_connections
    assert not connection._transport.is_reading()
    if how == "closes":
        client.sock.close()
    elif how == "half-closes":
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


def try_send(client, data):
    try:
        client.send(data)
    except BlockingIOError:
        return False
    return True


def test_pipelining_client_that_stays_connected_receives_all_responses_and_is_watched_no_longer(harness):
    client, count, statuses = SocketClient(harness), 0, []
    while try_send(client, message(f"m{count}")):
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


def test_disconnection_while_writing_is_paused_cancels_the_request(harness):
    """Reading is paused, too, while the client does not read its responses."""
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


def test_disconnection_does_not_count_against_the_worker(harness):
    """The attempt is cancelled before the worker has started it. If this counted as a slow start, the worker
    would receive no requests for 0.4 s, and a burst of disconnections would take the workers from other
    clients."""
    for number in range(5):
        client = SocketClient(harness)
        client.send(message(f"r{number}"))
        harness.turn()
        [dial] = harness.dispatcher.dials
        assert dial.up().take() == [f"r{number}"]
        client.sock.close()
        harness.turn()
    assert not harness.dispatcher.exchange.pending_request_count
    assert SocketClient(harness).ask("other") == [200]


def disconnect_before_write(harness, client, call):
    """Close the client's socket between the policy's action `call` and its execution."""
    handle = harness.dispatcher.exchange.dispatcher.handle

    def decide(now, events):
        actions = handle(now, events)
        if any(isinstance(action, call) for action in actions):
            client.sock.close()
        return actions

    harness.dispatcher.exchange.dispatcher.handle = decide


def test_disconnection_between_decision_and_write_sends_nothing_on_an_idle_connection(harness):
    """The process may be delayed between the decision and the write, with the close unread in the socket."""
    first = SocketClient(harness)
    assert first.ask("r0") == [200]
    [end] = harness.dispatcher.ends
    client = SocketClient(harness)
    disconnect_before_write(harness, client, StartAttempt)
    client.send(message("r1"))
    harness.turn()
    assert end.take() == []
    assert end.came == ["r0"]
    assert not harness.dispatcher.exchange.pending_request_count
    assert end.pipe.open, "the worker connection can still be used"
    del harness.dispatcher.exchange.dispatcher.handle  # restore the method of the class
    assert first.ask("r2") == [200]
    assert end.came == ["r0", "r2"]


@pytest.mark.parametrize("how", ["closes", "half-closes", "resets"])
def test_worker_connection_established_before_the_disconnection_is_read_carries_nothing(harness, how):
    client = SocketClient(harness)
    client.send(message("r0"))
    harness.turn()
    [dial] = harness.dispatcher.dials
    disconnect(client, how)
    end = dial.up()  # before the loop's next turn, in which the close is read
    assert not end.pipe.written
    harness.turn()
    assert not harness.dispatcher.exchange.pending_request_count
    assert not harness.dispatcher.dials


def disconnect(client, how):
    if how == "closes":
        client.sock.close()
    elif how == "half-closes":
        client.sock.shutdown(socket.SHUT_WR)
    else:
        client.sock.shutdown(socket.SHUT_RDWR)


def run_until_retry(harness, client):
    """Run a request that its worker returns unstarted, until the timer of the retry has fired.

    The exchange's turn for the retry has not run yet. Returns the worker's end.
    """
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


@pytest.mark.parametrize("close_read", ["before the retry", "after the retry"])
def test_disconnection_when_the_retry_timer_fires_sends_nothing(harness, close_read):
    """The close is read before the exchange's turn, or is unread in the socket during it."""
    client = SocketClient(harness)
    end = run_until_retry(harness, client)
    client.sock.close()
    if close_read == "before the retry":
        harness.loop.call_soon(harness.loop.stop)
        harness.loop.run_forever()
    harness.dispatcher.settle()
    assert end.take() == []
    assert not harness.dispatcher.dials
    harness.pass_time(1000.0)
    assert end.came == ["r0"]
    assert not harness.dispatcher.exchange.pending_request_count


def test_retry_for_a_connected_client_is_sent_when_its_timer_fires(harness):
    """The counterpart of the previous test, which would otherwise also pass if no retry were ever sent."""
    client = SocketClient(harness)
    end = run_until_retry(harness, client)
    harness.dispatcher.settle()
    assert end.take() == ["r0"]
    assert client.open


def test_pipelined_request_is_not_sent_after_the_client_disconnects(harness):
    """The response to the first request and the client's close arrive in the same poll."""
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


def test_hedged_attempt_is_not_written_after_the_client_disconnects():
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
