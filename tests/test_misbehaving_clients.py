"""Misbehaving clients: one test for each kind of misbehaviour. Well-behaved clients must not be affected."""

import errno
from dataclasses import replace

import pytest
from support.memory_dispatcher import SITE, Client, InMemoryDispatcher, Pipe

from eiderfield.connections.settings import IDLE_TIMEOUT_MS, MESSAGE_TIMEOUT_MS
from eiderfield.net.clients import ClientConnection, Phase
from eiderfield.net.clients.acceptor import ACCEPT_RETRY_MS, ACCEPTED_PER_TURN
from eiderfield.net.clients.connection import EVICTION_GRACE_MS, LINGER_TIME_MS, MAX_DISCARDED_BYTES
from eiderfield.net.wheel import TICK_MS, Wheel

ERROR_DEADLINE_MS = 3000.0  # from connecting; a misbehaving client must have an error or a close by then


def serve_one_request(dispatcher, client, id_="r0"):
    """Serve one request of a client, which makes its connection a proven one; return the client."""
    client.post(id_=id_)
    (dispatcher.dials[0].up() if dispatcher.dials else dispatcher.ends[-1]).finish()
    assert client.answers()[0][0] == 200
    return client


def test_new_connection_without_a_request_is_closed_and_a_proven_one_may_idle():
    dispatcher = InMemoryDispatcher()
    silent, proven = Client(dispatcher), serve_one_request(dispatcher, Client(dispatcher))
    dispatcher.advance(ERROR_DEADLINE_MS)
    assert not silent.pipe.open
    assert not silent.answers()
    assert proven.pipe.open
    dispatcher.advance(IDLE_TIMEOUT_MS)
    assert not proven.pipe.open


def test_message_sent_byte_by_byte_is_ended_at_its_time_limit():
    dispatcher = InMemoryDispatcher()
    client = Client(dispatcher)
    for _ in range(30):
        client.send(b"x")
        dispatcher.advance(ERROR_DEADLINE_MS / 30)
    assert client.answers()[0][0] == 408


def test_proven_connection_has_the_same_time_limit_for_each_message():
    dispatcher = InMemoryDispatcher()
    client = serve_one_request(dispatcher, Client(dispatcher))
    dispatcher.advance(60_000.0)
    client.send(b"POST /safe/a HTTP/1.1\r\n")
    dispatcher.advance(MESSAGE_TIMEOUT_MS / 2)
    client.send(b"X-Request-Id: r1\r\n")
    assert not client.answers()
    dispatcher.advance(MESSAGE_TIMEOUT_MS / 2 + 2 * TICK_MS)
    assert client.answers()[0][0] == 408


def test_rejected_message_closes_its_connection():
    dispatcher = InMemoryDispatcher()
    client = Client(dispatcher)
    client.send(b"POST /none HTTP/1.1\r\n\r\nPOST /safe/a HTTP/1.1\r\nX-Request-Id: r1\r\n\r\n")
    assert [status for status, *_ in client.answers()] == [404]
    assert not dispatcher.dials
    dispatcher.advance(LINGER_TIME_MS + TICK_MS)
    assert not client.pipe.open


def test_body_that_is_too_long_is_not_read_beyond_the_discard_limit():
    dispatcher = InMemoryDispatcher()
    client = Client(dispatcher)
    client.send(b"POST /safe/a HTTP/1.1\r\nX-Request-Id: r1\r\nContent-Length: 60000000\r\n\r\n")
    assert client.answers()[0][0] == 413
    client.send(b"x" * (MAX_DISCARDED_BYTES - 1000))
    assert not client.pipe.paused
    client.send(b"x" * 2000)
    assert client.pipe.paused
    dispatcher.advance(LINGER_TIME_MS + TICK_MS)
    assert not client.pipe.open


@pytest.mark.parametrize("attempt", ["dialling", "sent"])
def test_request_with_the_id_of_an_open_request_is_rejected(attempt):
    dispatcher = InMemoryDispatcher(workers=1)
    first, second = dispatcher.client(), Client(dispatcher)
    end = dispatcher.dials[0].up() if attempt == "sent" else None
    second.post(body=b"another")
    assert second.answers()[0][0] == 409
    end = end or dispatcher.dials[0].up()
    assert end.take() == ["r1"]
    second.pipe.break_off()  # this must not cancel the first request
    end.finish()
    assert first.answers()[0][0] == 200
    first.post()
    assert end.take() == ["r1"], "an id may be used again after its request has ended"


def test_request_with_the_id_of_an_answered_request_with_an_open_attempt_is_rejected():
    dispatcher = InMemoryDispatcher(site=replace(SITE, cancellation_allowed=False), workers=1)
    client = dispatcher.client(path="/unsafe/a", wait=100)
    dispatcher.dials[0].up().take()
    [request] = dispatcher.exchange.pending_requests.values()
    request.attempts[0].timer.cancel()  # the attempt stays open after the request is answered
    dispatcher.advance(110.0)
    assert client.answers()[0][0] == 502
    assert request.attempts[0].open
    client.post()
    assert client.answers()[0][0] == 409


@pytest.mark.parametrize("path", ["/safe/a", "/unsafe/a"])
@pytest.mark.parametrize("status", [400, 404, 413])
def test_request_that_a_worker_rejects_as_invalid_is_rejected_without_retry(path, status):
    """Retried, it would occupy each worker in turn, and its errors would count against healthy workers."""
    dispatcher = InMemoryDispatcher(workers=2)
    client = dispatcher.client(path=path)
    end = dispatcher.dials[0].up()
    end.status(status)
    assert client.answers()[0][0] == 400
    assert not dispatcher.dials
    assert not dispatcher.exchange.pending_request_count
    assert all(not w.ejections for w in dispatcher.exchange.dispatcher.workers.values())


@pytest.mark.parametrize("status", [408, 429])
def test_request_that_a_worker_answers_with_a_timeout_or_overload_status_is_not_rejected(status):
    dispatcher = InMemoryDispatcher(workers=2)
    client = dispatcher.client()
    dispatcher.dials[0].up().status(status)
    assert not client.answers()
    assert dispatcher.exchange.pending_request_count


@pytest.mark.parametrize(
    "extras", ["slots=-1", "memory=-0.5", "slots=1e300", "memory=nan", "slots=1,slots", "slots=\xff"]
)
def test_request_with_invalid_resource_needs_is_rejected_before_an_attempt(extras):
    dispatcher = InMemoryDispatcher()
    client = Client(dispatcher)
    client.post(X_Extras=extras)
    assert client.answers()[0][0] == 400
    assert not dispatcher.dials


@pytest.mark.parametrize(
    "headers", [{"id_": "a b"}, {"id_": "\xe9"}, {"id_": "x" * 300}, {"Idempotency_Key": "a\tb"}]
)
def test_request_with_a_malformed_id_is_rejected(headers):
    dispatcher = InMemoryDispatcher()
    client = Client(dispatcher)
    headers = {"Idempotency_Key": "k", **headers}
    lines = f"POST /keyed/a HTTP/1.1\r\nX-Request-Id: {headers.pop('id_', 'r1')}\r\n"
    client.send((lines + f"Idempotency-Key: {headers['Idempotency_Key']}\r\n\r\n").encode("latin-1"))
    assert client.answers()[0][0] == 400
    assert not dispatcher.dials


def test_reading_pauses_while_the_client_does_not_read_responses():
    dispatcher = InMemoryDispatcher()
    client = Client(dispatcher)
    client.pipe.stuck = True
    client.send(b"GET /ready HTTP/1.1\r\n\r\n" * 10)
    assert client.pipe.paused
    assert len(client.answers()) == 1
    client.pipe.unstick()
    assert not client.pipe.paused
    assert len(client.answers()) == 9


def test_client_that_never_reads_its_last_response_is_closed_after_the_linger_time():
    dispatcher = InMemoryDispatcher()
    client = Client(dispatcher)
    client.pipe.stuck = True
    client.send(b"GET /ready HTTP/1.1\r\n\r\n")
    client.connection.close()
    assert client.pipe.open
    dispatcher.advance(LINGER_TIME_MS + TICK_MS)
    assert not client.pipe.open


def test_connection_evicted_before_it_has_a_transport_is_closed_when_it_gets_one():
    """Otherwise its descriptor leaks, until none is left and every accept fails."""
    dispatcher = InMemoryDispatcher(most=1)
    connection = ClientConnection(dispatcher.listener)
    dispatcher.listener.open_connections.add(connection)
    assert dispatcher.listener.ensure_capacity()
    assert connection.phase == Phase.CLOSED

    pipe = Pipe(connection)
    connection.connection_made(pipe)
    assert not pipe.open


def test_unproven_connections_are_evicted_before_idle_proven_ones():
    dispatcher = InMemoryDispatcher(most=3)
    proven = serve_one_request(dispatcher, Client(dispatcher))
    silent, slow = Client(dispatcher), Client(dispatcher)
    slow.send(b"POST /safe")
    assert dispatcher.listener.ensure_capacity()
    assert not silent.pipe.open
    assert proven.pipe.open
    dispatcher.advance(EVICTION_GRACE_MS)
    busy = dispatcher.client(id_="r7")
    assert dispatcher.listener.ensure_capacity()
    assert not slow.pipe.open
    assert proven.pipe.open
    Client(dispatcher).post(id_="r8")
    assert dispatcher.listener.ensure_capacity()
    assert not proven.pipe.open
    assert busy.pipe.open


class FakeLoop:
    """An event loop that records whether the listening socket is watched, and the tasks created."""

    def __init__(self):
        self.reading = True
        self.tasks = []

    def add_reader(self, _listener, _call):
        self.reading = True

    def remove_reader(self, _listener):
        self.reading = False

    def create_task(self, coroutine):
        coroutine.close()
        self.tasks.append(coroutine)
        return self

    def add_done_callback(self, call):
        pass


class FakeListeningSocket:
    """A listening socket with `waiting` connections in its backlog, or whose accept fails with `fault`."""

    def __init__(self, waiting=0, fault=None):
        self.waiting, self.fault, self.accept_calls = waiting, fault, 0

    def accept(self):
        self.accept_calls += 1
        if self.fault is not None:
            raise OSError(self.fault, "no")
        if not self.waiting:
            raise BlockingIOError
        self.waiting -= 1
        return self, None

    def setblocking(self, flag):
        pass

    def fileno(self):
        return -1


def test_accept_without_free_descriptors_pauses_accepting():
    dispatcher = InMemoryDispatcher()
    loop, listener = FakeLoop(), FakeListeningSocket(fault=errno.EMFILE)
    dispatcher.listener.adopt(loop, listener)
    dispatcher.listener.acceptor.accept()
    assert listener.accept_calls == 1
    assert not loop.reading
    dispatcher.advance(ACCEPT_RETRY_MS + TICK_MS)
    assert loop.reading


def test_accept_takes_a_bounded_number_per_turn_and_pauses_at_full_capacity():
    dispatcher = InMemoryDispatcher(most=ACCEPTED_PER_TURN + 2)
    loop = FakeLoop()
    dispatcher.listener.adopt(loop, FakeListeningSocket(waiting=500))
    dispatcher.listener.acceptor.client_waits_in_backlog = lambda: True
    busy = [dispatcher.client(id_=f"r{n}") for n in range(2)]
    dispatcher.listener.acceptor.accept()
    assert len(loop.tasks) == ACCEPTED_PER_TURN
    assert loop.reading
    dispatcher.listener.max_connections = 2
    for connection in dispatcher.listener.open_connections.between_requests():
        connection.abort()
    dispatcher.listener.acceptor.accept()
    assert not loop.reading
    assert all(client.pipe.open for client in busy)
    busy[0].pipe.break_off()
    assert loop.reading


def test_wheel_calls_on_earlier_timer_only_for_a_timer_earlier_than_all_others():
    calls = []
    wheel = Wheel(0.0, on_earlier_timer=lambda: calls.append(1))
    wheel.call_at(100.0, list)
    wheel.next_wakeup()
    wheel.call_at(200.0, list)
    assert len(calls) == 1
    wheel.call_at(50.0, list)
    assert len(calls) == 2


def test_slow_sender_is_evicted_after_one_that_has_stopped_sending():
    """Among many incomplete requests, the oldest were evicted first, even if they were still arriving."""
    dispatcher = InMemoryDispatcher(most=2)
    slow, stopped = Client(dispatcher), Client(dispatcher)
    for client in (slow, stopped):
        client.send(b"POST /sa")
    dispatcher.advance(EVICTION_GRACE_MS)
    slow.send(b"fe/a HTTP/1.1\r\n")
    assert dispatcher.listener.ensure_capacity()
    assert slow.pipe.open
    assert not stopped.pipe.open
    other = Client(dispatcher)
    other.send(b"POST")
    assert not dispatcher.listener.ensure_capacity(), "a message whose bytes have just arrived is not evicted"
    assert slow.pipe.open
    assert other.pipe.open
    dispatcher.advance(MESSAGE_TIMEOUT_MS - EVICTION_GRACE_MS - 100.0)
    slow.send(b"X-Request-Id: r1\r\n\r\n")
    assert dispatcher.dials, "a request may take that long to arrive"


def incomplete_message_behind_request(dispatcher, after):
    """Let a proven client send an incomplete message while its request is at a worker.

    Returns the client and the worker's end.
    """
    client = serve_one_request(dispatcher, Client(dispatcher))
    client.post(id_="r1", path="/unsafe/a")  # unsafe: it is not retried or hedged at another worker
    [end] = dispatcher.ends
    dispatcher.advance(after)
    client.send(b"POST /safe/a HTTP/1.1\r\nX-Request")
    return client, end


@pytest.mark.parametrize("answered_after", [0.0, 1000.0, 2500.0])
def test_time_limit_of_a_pipelined_message_counts_from_its_first_byte(answered_after):
    """Counted from the previous response, it let 408 come up to 5 s after the client had stopped sending."""
    dispatcher = InMemoryDispatcher()
    client, end = incomplete_message_behind_request(dispatcher, 500.0)
    dispatcher.advance(answered_after)
    end.finish()
    assert [status for status, *_ in client.answers()] == [200]
    dispatcher.advance(ERROR_DEADLINE_MS - answered_after)
    assert [status for status, *_ in client.answers()] == [408]


def test_pipelined_message_past_its_time_limit_may_be_completed_when_the_previous_response_is_written():
    dispatcher = InMemoryDispatcher()
    client, end = incomplete_message_behind_request(dispatcher, 0.0)
    dispatcher.advance(4000.0)
    end.finish()
    client.send(b"-Id: r2\r\nContent-Length: 0\r\n\r\n")
    assert [status for status, *_ in client.answers()] == [200]
    assert dispatcher.exchange.has_request("r2"), "accepted"


def test_each_pipelined_message_has_its_own_time_limit():
    dispatcher = InMemoryDispatcher()
    client = serve_one_request(dispatcher, Client(dispatcher))
    [end] = dispatcher.ends
    client.post(id_="r1", path="/unsafe/a")
    client.send(b"GET /ready HTTP/1.1\r\n\r\n")
    dispatcher.advance(2000.0)
    client.send(b"POST /safe/a HTTP/1.1\r\n")
    dispatcher.advance(500.0)
    end.finish()
    assert [status for status, *_ in client.answers()] == [200, 503], "not ready: no listening socket is open"
    dispatcher.advance(MESSAGE_TIMEOUT_MS - 600.0)
    assert not client.answers(), "its first byte arrived 2 s after the previous message"
    client.send(b"X-Request-Id: r3\r\nContent-Length: 0\r\n\r\n")
    assert dispatcher.exchange.has_request("r3")


def test_time_limit_of_bytes_received_before_a_pause_counts_from_its_end():
    """Reading pauses after 16 KiB of pipelined messages, and the client cannot send the rest meanwhile."""
    dispatcher = InMemoryDispatcher()
    client = serve_one_request(dispatcher, Client(dispatcher))
    [end] = dispatcher.ends
    client.post(id_="r1", path="/unsafe/a")
    client.send(b"POST /safe/a HTTP/1.1\r\nContent-Length: 20000\r\nX-Request-Id: r2\r\n\r\n" + b"x" * 17_000)
    assert client.pipe.paused
    dispatcher.advance(4000.0)
    end.finish()
    assert [status for status, *_ in client.answers()] == [200]
    assert not client.pipe.paused
    dispatcher.advance(MESSAGE_TIMEOUT_MS / 2)
    client.send(b"x" * 3000)
    assert dispatcher.exchange.has_request("r2")


# Regression: a sound client that connected together with a crowd was closed before it could send.
def test_new_connection_is_not_evicted_before_its_first_request_is_overdue():
    dispatcher = InMemoryDispatcher(most=1)
    client = Client(dispatcher)
    assert dispatcher.listener.next_eviction_is_new
    dispatcher.advance(EVICTION_GRACE_MS)
    assert not dispatcher.listener.next_eviction_is_new
    assert client.pipe.open
    assert dispatcher.listener.ensure_capacity()
    assert not client.pipe.open
