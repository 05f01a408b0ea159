"""Deadlines and windows of attempts where the process is held up between reading its clock and writing."""

import socket
from dataclasses import replace

import pytest
from support.memory_dispatcher import SITE, Client, InMemoryDispatcher
from support.policy import KEYED, SAFE, UNSAFE
from support.real_sockets import ListenerHarness, SocketClient, message

from eiderfield.interface import MAX_WRITE_DELAY_MS, Effect, Scope, StartAttempt
from eiderfield.net.loop import Driver

SLACK = 150.0  # ms by which a worker may be told too much (standing test)
READING = 50.0  # ms that reading a request may take (protocol page)
WINDOW = 400.0  # ms in which workers discard the repeat of a keyed request


class Delays:
    """A dispatcher that is held up after each reading of its clock for a write."""

    def __init__(self, dispatcher):
        self.dispatcher = dispatcher
        self.sent = []  # how much longer than its client waits each worker was told that it would
        self.gives_up = {}  # by request, when its client gives up
        calls = dispatcher.side.calls
        message, calls.request_for = calls.request_for, self.message
        self._message = message

    def message(self, call):
        data = self._message(call)
        self.dispatcher.now += MAX_WRITE_DELAY_MS
        head = data.split(b"\r\n\r\n")[0].decode().lower()
        fields = dict(line.split(": ") for line in head.split("\r\n")[1:])
        left = self.gives_up[fields["x-request-id"]] - self.dispatcher.now
        self.sent.append(float(fields["x-deadline-ms"]) - left)
        return data

    def client(self, path, id_, wait, **headers):
        """A client whose request was sent `READING` before the dispatcher reads it."""
        self.gives_up[id_] = self.dispatcher.now - READING + wait
        client = Client(self.dispatcher)
        client.post(path=path, id_=id_, wait=wait, **headers)
        return client


def slow_site(**more):
    return replace(
        SITE, classes=tuple(replace(cls, deadline_ms=5000.0) for cls in (SAFE, UNSAFE, KEYED)), **more
    )


@pytest.mark.parametrize("wait", [1000, 400, 120])
def test_a_first_attempt_is_told_no_more_than_its_client_has_left(wait):
    """A dispatcher that was held up for all of the slack told its worker the time that reading took too."""
    dispatcher = InMemoryDispatcher(slow_site(), workers=1)
    delays = Delays(dispatcher)
    delays.client("/safe/a", "r1", wait)
    dispatcher.dials[0].up()
    assert len(delays.sent) == 1
    assert delays.sent[0] <= SLACK


@pytest.mark.parametrize("up_after", [0.0, 90.0])
def test_a_retry_is_told_what_is_left_when_it_is_written(up_after):
    dispatcher = InMemoryDispatcher(slow_site(), workers=2)
    delays = Delays(dispatcher)
    delays.client("/safe/a", "r1", 2000)
    dispatcher.dials[0].up().status(503, X_Not_Run="1")
    [dial] = dispatcher.dials
    dispatcher.advance(up_after)
    dial.up()
    assert len(delays.sent) == 2
    assert max(delays.sent) <= SLACK


def test_a_hedged_request_is_told_what_is_left_when_it_is_written():
    dispatcher = InMemoryDispatcher(slow_site(hedging_allowed=True, progress_interval_ms=100.0), workers=2)
    delays = Delays(dispatcher)
    delays.client("/safe/a", "r1", 3000)
    first = dispatcher.dials[0].up()
    first.take()
    first.say({"id": "r1", "from": "w", "state": "started"})
    while not dispatcher.dials and dispatcher.now < delays.gives_up["r1"]:
        dispatcher.advance(20.0)
    dispatcher.dials[0].up()
    assert first.pipe.open
    assert len(delays.sent) == 2
    assert max(delays.sent) <= SLACK


@pytest.mark.parametrize("path", ["/safe/a", "/unsafe/a", "/keyed/a"])
def test_an_attempt_whose_time_is_over_once_its_connection_is_up_is_not_begun(path):
    """Its timer may be late by as much as the process was held up."""
    dispatcher = InMemoryDispatcher(workers=1)
    client = Client(dispatcher)
    client.post(path=path, wait=60, Idempotency_Key="k")
    [dial] = dispatcher.dials
    dispatcher.now += 61.0  # no timer has gone off
    end = dial.up()
    assert not end.pipe.written
    dispatcher.advance(50.0)
    assert [status for status, *_ in client.answers()] == [503], "and it is known never to have run"


def keyed_site(scope=Scope.ALL):
    cls = replace(KEYED, repeat_window_ms=WINDOW, scope=scope)
    return replace(SITE, classes=(SAFE, UNSAFE, cls))


def first_attempt_breaks(dispatcher):
    """A keyed request whose first attempt may have run; gives the client, and when that attempt was sent."""
    client = dispatcher.client(path="/keyed/a", Idempotency_Key="k")
    sent = dispatcher.now
    end = dispatcher.dials[0].up()
    end.take()
    end.pipe.break_off()
    dispatcher.settle()
    return client, sent


@pytest.mark.parametrize("late", [0.0, 2.0])
def test_a_retry_that_comes_up_late_begins_in_the_window_though_it_is_held_up(late):
    """It was looked at when the retry was decided, up to 0.1 s of dialling before."""
    dispatcher = InMemoryDispatcher(keyed_site(), workers=2)
    client, sent = first_attempt_breaks(dispatcher)
    [dial] = dispatcher.dials
    dispatcher.now = sent + WINDOW - MAX_WRITE_DELAY_MS - 1.0 + late
    end = dial.up()
    assert bool(end.pipe.written) is (late == 0.0)
    if late:
        dispatcher.advance(20.0)
        assert [status for status, *_ in client.answers()] == [503], "the class is safe to send anew"


def test_a_retry_in_a_group_that_comes_up_after_the_window_fails():
    dispatcher = InMemoryDispatcher(keyed_site(Scope.ZONE), workers=4)
    client, sent = first_attempt_breaks(dispatcher)
    [dial] = dispatcher.dials
    dispatcher.now = sent + WINDOW - MAX_WRITE_DELAY_MS + 1.0
    end = dial.up()
    dispatcher.advance(20.0)
    assert not end.pipe.written
    assert [status for status, *_ in client.answers()] == [502]


@pytest.mark.parametrize(
    ("since", "again"),
    [(WINDOW - MAX_WRITE_DELAY_MS - 5.0, True), (WINDOW - MAX_WRITE_DELAY_MS + 5.0, False)],
)
def test_no_retry_is_decided_that_could_leave_after_its_window(since, again):
    dispatcher = InMemoryDispatcher(keyed_site(), workers=2)
    client = dispatcher.client(path="/keyed/a", Idempotency_Key="k")
    end = dispatcher.dials[0].up()
    end.take()
    end.say({"id": "r1", "from": "w", "state": "started"})
    dispatcher.advance(since)
    end.pipe.break_off()
    dispatcher.settle()
    assert bool(dispatcher.dials) is again
    assert bool(client.answers()) is not again


@pytest.mark.parametrize("path", ["/safe/a", "/unsafe/a", "/keyed/a"])
@pytest.mark.parametrize("wait", [0, 1, 3, 4, 5, 20, 60])
@pytest.mark.parametrize("worker", ["drops it", "hands it back", "never comes up"])
def test_with_very_little_time_left_there_is_one_answer_in_time(path, wait, worker):
    """Workers may drop such requests without a word."""
    dispatcher = InMemoryDispatcher(workers=2)
    client = Client(dispatcher)
    client.post(path=path, wait=wait, Idempotency_Key="k")
    for dial in list(dispatcher.dials) if worker != "never comes up" else ():
        end = dial.up()
        if worker == "hands it back" and end.take():
            end.status(504, X_Not_Run="1")
    dispatcher.advance(wait + SITE.answer_slack_ms + SITE.clock_resolution_ms)
    sent_unsafe = path == "/unsafe/a" and any(end.came for end in dispatcher.ends)
    statuses = [status for status, *_ in client.answers()]
    assert len(statuses) == 1
    assert statuses[0] in (502, 503)
    assert not (sent_unsafe and worker == "drops it" and statuses == [503]), "it may have run"
    assert not dispatcher.exchange.pending_request_count
    assert SITE.classes[1].effect == Effect.UNSAFE


class Discovery:
    """A watch on a real socket: a byte that comes on it tells that the worker drains."""

    def __init__(self, harness):
        self.ours, self.theirs = socket.socketpair()
        harness.loop.add_reader(self.theirs, self.heard)
        self.harness = harness

    def heard(self):
        self.harness.loop.remove_reader(self.theirs)
        self.harness.dispatcher.tell((1, "DRAINING"))

    def tell(self):
        self.ours.send(b"d")

    def close(self):
        self.harness.loop.remove_reader(self.theirs)
        self.ours.close()
        self.theirs.close()


@pytest.fixture
def harness():
    harness = ListenerHarness()
    harness.discovery = Discovery(harness)
    driver = Driver(harness.loop, harness.dispatcher.clock)
    harness.dispatcher.wake = driver.wake
    driver.turn = harness.dispatcher.exchange.turn
    yield harness
    harness.discovery.close()
    harness.close()


@pytest.mark.parametrize("first", ["request", "drain"])
def test_a_drain_that_lies_in_its_socket_is_heard_before_a_request_that_lies_in_another_is_sent(
    harness, first
):
    client = SocketClient(harness)
    client.send(message("r0"))
    harness.turn(12)
    harness.dispatcher.dials[0].up().finish()
    harness.turn(12)
    assert client.statuses() == [200]
    tell = [lambda: client.send(message("r1")), harness.discovery.tell]
    for call in tell if first == "request" else reversed(tell):
        call()
    harness.turn(12)
    [end] = harness.dispatcher.ends
    assert end.take() == []
    assert not harness.dispatcher.dials


def test_a_drain_told_while_a_turn_is_held_up_is_kept_within_its_grace(harness):
    """The decision, the drain, 0.15 s, the write: that is the last one that the draining worker gets."""
    client = SocketClient(harness)
    client.send(message("r0"))
    harness.turn(12)
    harness.dispatcher.dials[0].up().finish()
    harness.turn(12)
    dispatcher, told_at, sent_at = harness.dispatcher, [], []
    handle = dispatcher.exchange.dispatcher.handle

    def held_up(now, events):
        actions = handle(now, events)
        if any(isinstance(action, StartAttempt) for action in actions):
            harness.discovery.tell()
            told_at.append(dispatcher.now)
            dispatcher.now += MAX_WRITE_DELAY_MS
        return actions

    dispatcher.exchange.dispatcher.handle = held_up
    [end] = dispatcher.ends
    write, end.pipe.write = end.pipe.write, lambda data: (sent_at.append(dispatcher.now), write(data))
    clients = [SocketClient(harness) for _ in range(3)]
    for number, client in enumerate(clients):
        client.send(message(f"m{number}"))
        harness.turn(12)
    harness.pass_time(3000.0)
    assert len(told_at) == 1
    assert sent_at == [told_at[0] + MAX_WRITE_DELAY_MS]
    assert SITE.drain_grace_ms > MAX_WRITE_DELAY_MS
