"""One small test for each way in which a client can be rude; the usual clients must not suffer."""

import errno
from dataclasses import replace

import pytest
from support.memory_dispatcher import SITE, Client, InMemoryDispatcher, Pipe

from eiderfield.connections.settings import IDLE_TIMEOUT_MS, MESSAGE_TIMEOUT_MS
from eiderfield.net.clients import ClientConnection, Phase
from eiderfield.net.clients.acceptor import ACCEPT_RETRY_MS, ACCEPTED_PER_TURN
from eiderfield.net.clients.connection import EVICTION_GRACE_MS, LINGER_TIME_MS, MAX_DISCARDED_BYTES
from eiderfield.net.wheel import TICK_MS, Wheel

OWED = 3000.0  # ms from connecting within which a rude client must have an error or a close


def served(dispatcher, client, id_="r0"):
    """Lets a client be a usual one: it has had a job served."""
    client.post(id_=id_)
    (dispatcher.dials[0].up() if dispatcher.dials else dispatcher.ends[-1]).finish()
    assert client.answers()[0][0] == 200
    return client


def test_a_new_connection_that_says_nothing_is_closed_and_a_usual_client_may_idle():
    dispatcher = InMemoryDispatcher()
    silent, usual = Client(dispatcher), served(dispatcher, Client(dispatcher))
    dispatcher.advance(OWED)
    assert not silent.pipe.open
    assert not silent.answers()
    assert usual.pipe.open
    dispatcher.advance(IDLE_TIMEOUT_MS)
    assert not usual.pipe.open


def test_dripped_bytes_extend_nothing():
    dispatcher = InMemoryDispatcher()
    client = Client(dispatcher)
    for _ in range(30):
        client.send(b"x")
        dispatcher.advance(OWED / 30)
    assert client.answers()[0][0] == 408


def test_a_usual_client_has_the_same_time_for_each_message():
    dispatcher = InMemoryDispatcher()
    client = served(dispatcher, Client(dispatcher))
    dispatcher.advance(60_000.0)
    client.send(b"POST /safe/a HTTP/1.1\r\n")
    dispatcher.advance(MESSAGE_TIMEOUT_MS / 2)
    client.send(b"X-Request-Id: r1\r\n")
    assert not client.answers()
    dispatcher.advance(MESSAGE_TIMEOUT_MS / 2 + 2 * TICK_MS)
    assert client.answers()[0][0] == 408


def test_who_sends_what_cannot_be_taken_keeps_no_descriptor():
    dispatcher = InMemoryDispatcher()
    client = Client(dispatcher)
    client.send(b"POST /none HTTP/1.1\r\n\r\nPOST /safe/a HTTP/1.1\r\nX-Request-Id: r1\r\n\r\n")
    assert [status for status, *_ in client.answers()] == [404]
    assert not dispatcher.dials
    dispatcher.advance(LINGER_TIME_MS + TICK_MS)
    assert not client.pipe.open


def test_most_of_a_huge_body_stays_unread():
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


@pytest.mark.parametrize("leg", ["held", "out"])
def test_the_id_of_an_open_job_is_not_taken_again(leg):
    dispatcher = InMemoryDispatcher(workers=1)
    first, second = dispatcher.client(), Client(dispatcher)
    end = dispatcher.dials[0].up() if leg == "out" else None
    second.post(body=b"another")
    assert second.answers()[0][0] == 409
    end = end or dispatcher.dials[0].up()
    assert end.take() == ["r1"]
    second.pipe.break_off()  # which must not withdraw the first one
    end.finish()
    assert first.answers()[0][0] == 200
    first.post()
    assert end.take() == ["r1"], "an id is free again once its job is over"


def test_an_id_stays_taken_while_a_leg_of_an_answered_job_is_out():
    dispatcher = InMemoryDispatcher(site=replace(SITE, cancellation_allowed=False), workers=1)
    client = dispatcher.client(path="/unsafe/a", wait=100)
    dispatcher.dials[0].up().take()
    [job] = dispatcher.exchange.pending_requests.values()
    job.attempts[0].timer.cancel()  # its leg outlives the job
    dispatcher.advance(110.0)
    assert client.answers()[0][0] == 502
    assert job.attempts[0].open
    client.post()
    assert client.answers()[0][0] == 409


@pytest.mark.parametrize("path", ["/safe/a", "/unsafe/a"])
@pytest.mark.parametrize("status", [400, 404, 413])
def test_a_job_that_a_worker_cannot_use_is_rejected_at_once(path, status):
    """Sent on, it would waste every worker's time, and its errors would speak against healthy workers."""
    dispatcher = InMemoryDispatcher(workers=2)
    client = dispatcher.client(path=path)
    end = dispatcher.dials[0].up()
    end.status(status)
    assert client.answers()[0][0] == 400
    assert not dispatcher.dials
    assert not dispatcher.exchange.pending_request_count
    assert all(not w.ejections for w in dispatcher.exchange.dispatcher.workers.values())


@pytest.mark.parametrize("status", [408, 429])
def test_a_workers_word_about_time_or_load_does_not_reject_the_job(status):
    dispatcher = InMemoryDispatcher(workers=2)
    client = dispatcher.client()
    dispatcher.dials[0].up().status(status)
    assert not client.answers()
    assert dispatcher.exchange.pending_request_count


@pytest.mark.parametrize(
    "extras", ["slots=-1", "memory=-0.5", "slots=1e300", "memory=nan", "slots=1,slots", "slots=\xff"]
)
def test_needs_that_no_worker_meets_are_rejected_before_a_leg(extras):
    dispatcher = InMemoryDispatcher()
    client = Client(dispatcher)
    client.post(X_Extras=extras)
    assert client.answers()[0][0] == 400
    assert not dispatcher.dials


@pytest.mark.parametrize(
    "headers", [{"id_": "a b"}, {"id_": "\xe9"}, {"id_": "x" * 300}, {"Idempotency_Key": "a\tb"}]
)
def test_ids_that_are_no_plain_words_are_rejected(headers):
    dispatcher = InMemoryDispatcher()
    client = Client(dispatcher)
    headers = {"Idempotency_Key": "k", **headers}
    lines = f"POST /keyed/a HTTP/1.1\r\nX-Request-Id: {headers.pop('id_', 'r1')}\r\n"
    client.send((lines + f"Idempotency-Key: {headers['Idempotency_Key']}\r\n\r\n").encode("latin-1"))
    assert client.answers()[0][0] == 400
    assert not dispatcher.dials


def test_a_client_that_does_not_read_is_not_read_either():
    dispatcher = InMemoryDispatcher()
    client = Client(dispatcher)
    client.pipe.stuck = True
    client.send(b"GET /ready HTTP/1.1\r\n\r\n" * 10)
    assert client.pipe.paused
    assert len(client.answers()) == 1
    client.pipe.unstick()
    assert not client.pipe.paused
    assert len(client.answers()) == 9


def test_a_client_that_never_reads_its_last_answer_keeps_no_descriptor():
    dispatcher = InMemoryDispatcher()
    client = Client(dispatcher)
    client.pipe.stuck = True
    client.send(b"GET /ready HTTP/1.1\r\n\r\n")
    client.connection.close()
    assert client.pipe.open
    dispatcher.advance(LINGER_TIME_MS + TICK_MS)
    assert not client.pipe.open


def test_a_connection_that_gave_way_before_it_was_up_is_closed_when_it_comes_up():
    """Its descriptor leaked, until none was left and accepting failed on and on."""
    dispatcher = InMemoryDispatcher(most=1)
    connection = ClientConnection(dispatcher.listener)
    dispatcher.listener.open_connections.add(connection)
    assert dispatcher.listener.ensure_capacity()
    assert connection.phase == Phase.CLOSED

    pipe = Pipe(connection)
    connection.connection_made(pipe)
    assert not pipe.open


def test_who_has_proved_nothing_gives_way_before_an_idle_usual_client():
    dispatcher = InMemoryDispatcher(most=3)
    usual = served(dispatcher, Client(dispatcher))
    silent, half = Client(dispatcher), Client(dispatcher)
    half.send(b"POST /safe")
    assert dispatcher.listener.ensure_capacity()
    assert not silent.pipe.open
    assert usual.pipe.open
    dispatcher.advance(EVICTION_GRACE_MS)
    busy = dispatcher.client(id_="r7")
    assert dispatcher.listener.ensure_capacity()
    assert not half.pipe.open
    assert usual.pipe.open
    Client(dispatcher).post(id_="r8")
    assert dispatcher.listener.ensure_capacity()
    assert not usual.pipe.open
    assert busy.pipe.open


class Loop:
    """The loop's part in accepting."""

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


class Port:
    """A port with so many in its backlog, or one that fails."""

    def __init__(self, waiting=0, fault=None):
        self.waiting, self.fault, self.asked = waiting, fault, 0

    def accept(self):
        self.asked += 1
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


def test_a_lack_of_descriptors_does_not_spin_the_loop():
    dispatcher = InMemoryDispatcher()
    loop, listener = Loop(), Port(fault=errno.EMFILE)
    dispatcher.listener.adopt(loop, listener)
    dispatcher.listener.acceptor.accept()
    assert listener.asked == 1
    assert not loop.reading
    dispatcher.advance(ACCEPT_RETRY_MS + TICK_MS)
    assert loop.reading


def test_a_burst_of_connections_is_taken_in_turns_and_a_full_house_waits():
    dispatcher = InMemoryDispatcher(most=ACCEPTED_PER_TURN + 2)
    loop = Loop()
    dispatcher.listener.adopt(loop, Port(waiting=500))
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


def test_only_a_timer_earlier_than_all_asks_the_loop_for_another_time():
    asked = []
    wheel = Wheel(0.0, on_earlier_timer=lambda: asked.append(1))
    wheel.call_at(100.0, list)
    wheel.next_wakeup()
    wheel.call_at(200.0, list)
    assert len(asked) == 1
    wheel.call_at(50.0, list)
    assert len(asked) == 2


def test_who_writes_slowly_gives_way_after_who_has_stopped_writing():
    """In a crowd of half-written requests those that still come in were closed on, being the oldest."""
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
    assert not dispatcher.listener.ensure_capacity(), "what has just come in is not given up for want of room"
    assert slow.pipe.open
    assert other.pipe.open
    dispatcher.advance(MESSAGE_TIMEOUT_MS - EVICTION_GRACE_MS - 100.0)
    slow.send(b"X-Request-Id: r1\r\n\r\n")
    assert dispatcher.dials, "a job may take that long to come in"


def half_behind_a_request(dispatcher, after):
    """A usual client that sends half a message while its request is at a worker; the worker's end."""
    client = served(dispatcher, Client(dispatcher))
    client.post(id_="r1", path="/unsafe/a")  # at one worker alone, however long it takes
    [end] = dispatcher.ends
    dispatcher.advance(after)
    client.send(b"POST /safe/a HTTP/1.1\r\nX-Request")
    return client, end


@pytest.mark.parametrize("answered_after", [0.0, 1000.0, 2500.0])
def test_half_a_message_behind_a_request_has_its_time_from_its_first_byte(answered_after):
    """It had the whole time from the answer before: 408 came up to 5 s after the client had stopped."""
    dispatcher = InMemoryDispatcher()
    client, end = half_behind_a_request(dispatcher, 500.0)
    dispatcher.advance(answered_after)
    end.finish()
    assert [status for status, *_ in client.answers()] == [200]
    dispatcher.advance(OWED - answered_after)
    assert [status for status, *_ in client.answers()] == [408]


def test_half_a_message_behind_a_request_that_takes_long_may_be_completed_in_the_moment_of_its_answer():
    dispatcher = InMemoryDispatcher()
    client, end = half_behind_a_request(dispatcher, 0.0)
    dispatcher.advance(4000.0)
    end.finish()
    client.send(b"-Id: r2\r\nContent-Length: 0\r\n\r\n")
    assert [status for status, *_ in client.answers()] == [200]
    assert dispatcher.exchange.has_request("r2"), "taken"


def test_each_of_several_messages_behind_one_another_has_its_own_time():
    dispatcher = InMemoryDispatcher()
    client = served(dispatcher, Client(dispatcher))
    [end] = dispatcher.ends
    client.post(id_="r1", path="/unsafe/a")
    client.send(b"GET /ready HTTP/1.1\r\n\r\n")
    dispatcher.advance(2000.0)
    client.send(b"POST /safe/a HTTP/1.1\r\n")
    dispatcher.advance(500.0)
    end.finish()
    assert [status for status, *_ in client.answers()] == [200, 503], "it is not ready, for no port is open"
    dispatcher.advance(MESSAGE_TIMEOUT_MS - 600.0)
    assert not client.answers(), "its first byte came 2 s after those of the one before"
    client.send(b"X-Request-Id: r3\r\nContent-Length: 0\r\n\r\n")
    assert dispatcher.exchange.has_request("r3")


def test_bytes_that_wait_behind_a_pause_count_from_its_end():
    """Reading stands still with 16 KiB of further messages: the client could not send the rest."""
    dispatcher = InMemoryDispatcher()
    client = served(dispatcher, Client(dispatcher))
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
