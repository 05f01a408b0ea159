"""Deadlines and repeat windows of attempts with a process that is delayed between clock and write."""

import socket
from dataclasses import replace

import pytest
from support.memory_dispatcher import SITE, Client, InMemoryDispatcher
from support.policy import KEYED, SAFE, UNSAFE
from support.real_sockets import ListenerHarness, SocketClient, message

from eiderfield.interface import MAX_WRITE_DELAY_MS, Effect, Scope, StartAttempt
from eiderfield.net.loop import Driver
from eiderfield.net.wheel import TICK_MS

SLACK_MS = 150.0  # by which a deadline announced to a worker may exceed the client's (standing test)
READING_MS = 50.0  # time that reading a request may take (protocol page)
REPEAT_WINDOW_MS = 400.0  # time in which workers discard the repeat of a keyed request


class WriteDelays:
    """Delays a dispatcher after each time that it reads its clock for a write."""

    def __init__(self, dispatcher):
        self.dispatcher = dispatcher
        self.excess_ms = []  # by how much each deadline announced to a worker exceeds the client's
        self.client_deadlines = {}  # by request id
        calls = dispatcher.side.calls
        message, calls.request_for = calls.request_for, self.message
        self._message = message

    def message(self, call):
        data = self._message(call)
        self.dispatcher.now += MAX_WRITE_DELAY_MS
        head = data.split(b"\r\n\r\n")[0].decode().lower()
        fields = dict(line.split(": ") for line in head.split("\r\n")[1:])
        left = self.client_deadlines[fields["x-request-id"]] - self.dispatcher.now
        self.excess_ms.append(float(fields["x-deadline-ms"]) - left)
        return data

    def client(self, path, id_, wait, **headers):
        """Return a client whose request was sent `READING_MS` before the dispatcher reads it."""
        self.client_deadlines[id_] = self.dispatcher.now - READING_MS + wait
        client = Client(self.dispatcher)
        client.post(path=path, id_=id_, wait=wait, **headers)
        return client


def settings_with_long_deadlines(**more):
    return replace(
        SITE, classes=tuple(replace(cls, deadline_ms=5000.0) for cls in (SAFE, UNSAFE, KEYED)), **more
    )


@pytest.mark.parametrize("wait", [1000, 400, 120])
def test_first_attempt_announces_at_most_the_time_left_to_its_client(wait):
    """A dispatcher that was delayed for all of the slack did not subtract the time that reading took."""
    dispatcher = InMemoryDispatcher(settings_with_long_deadlines(), workers=1)
    delays = WriteDelays(dispatcher)
    delays.client("/safe/a", "r1", wait)
    dispatcher.dials[0].up()
    assert len(delays.excess_ms) == 1
    assert delays.excess_ms[0] <= SLACK_MS


@pytest.mark.parametrize("up_after", [0.0, 90.0])
def test_retry_announces_the_time_left_when_it_is_written(up_after):
    dispatcher = InMemoryDispatcher(settings_with_long_deadlines(), workers=2)
    delays = WriteDelays(dispatcher)
    delays.client("/safe/a", "r1", 2000)
    dispatcher.dials[0].up().status(503, X_Not_Run="1")
    [dial] = dispatcher.dials
    dispatcher.advance(up_after)
    dial.up()
    assert len(delays.excess_ms) == 2
    assert max(delays.excess_ms) <= SLACK_MS


def test_hedged_attempt_announces_the_time_left_when_it_is_written():
    dispatcher = InMemoryDispatcher(
        settings_with_long_deadlines(hedging_allowed=True, progress_interval_ms=100.0), workers=2
    )
    delays = WriteDelays(dispatcher)
    delays.client("/safe/a", "r1", 3000)
    first = dispatcher.dials[0].up()
    first.take()
    first.say({"id": "r1", "from": "w", "state": "started"})
    while not dispatcher.dials and dispatcher.now < delays.client_deadlines["r1"]:
        dispatcher.advance(20.0)
    dispatcher.dials[0].up()
    assert first.pipe.open
    assert len(delays.excess_ms) == 2
    assert max(delays.excess_ms) <= SLACK_MS


@pytest.mark.parametrize("path", ["/safe/a", "/unsafe/a", "/keyed/a"])
def test_attempt_past_its_deadline_is_not_written_to_a_new_connection(path):
    """The attempt's timer may fire late by as much as the process was delayed."""
    dispatcher = InMemoryDispatcher(workers=1)
    client = Client(dispatcher)
    client.post(path=path, wait=60, Idempotency_Key="k")
    [dial] = dispatcher.dials
    dispatcher.now += 61.0  # no timer has fired
    end = dial.up()
    assert not end.pipe.written
    dispatcher.advance(50.0)
    assert [status for status, *_ in client.answers()] == [503], "the request is known not to have run"


def settings_with_repeat_window(scope=Scope.ALL):
    cls = replace(KEYED, repeat_window_ms=REPEAT_WINDOW_MS, scope=scope)
    return replace(SITE, classes=(SAFE, UNSAFE, cls))


def first_attempt_breaks(dispatcher):
    """Send a keyed request whose first attempt may have run; return its client and when it was sent."""
    client = dispatcher.client(path="/keyed/a", Idempotency_Key="k")
    sent_at = dispatcher.now
    end = dispatcher.dials[0].up()
    end.take()
    end.pipe.break_off()
    dispatcher.settle()
    return client, sent_at


@pytest.mark.parametrize("late", [0.0, 2.0])
def test_retry_on_a_late_connection_is_written_only_within_the_repeat_window(late):
    """The window was checked only when the retry was decided, up to 0.1 s before its connection was open."""
    dispatcher = InMemoryDispatcher(settings_with_repeat_window(), workers=2)
    client, sent_at = first_attempt_breaks(dispatcher)
    [dial] = dispatcher.dials
    dispatcher.now = sent_at + REPEAT_WINDOW_MS - MAX_WRITE_DELAY_MS - 1.0 + late
    end = dial.up()
    assert bool(end.pipe.written) is (late == 0.0)
    if late:
        dispatcher.advance(20.0)
        assert [status for status, *_ in client.answers()] == [503], "the client may safely repeat it"


def test_zone_scoped_retry_after_the_repeat_window_fails():
    dispatcher = InMemoryDispatcher(settings_with_repeat_window(Scope.ZONE), workers=4)
    client, sent_at = first_attempt_breaks(dispatcher)
    [dial] = dispatcher.dials
    dispatcher.now = sent_at + REPEAT_WINDOW_MS - MAX_WRITE_DELAY_MS + 1.0
    end = dial.up()
    dispatcher.advance(20.0)
    assert not end.pipe.written
    assert [status for status, *_ in client.answers()] == [502]


@pytest.mark.parametrize(
    ("since", "again"),
    [
        (REPEAT_WINDOW_MS - MAX_WRITE_DELAY_MS - 5.0, True),
        (REPEAT_WINDOW_MS - MAX_WRITE_DELAY_MS + 5.0, False),
    ],
)
def test_retry_that_could_leave_after_the_repeat_window_is_not_started(since, again):
    dispatcher = InMemoryDispatcher(settings_with_repeat_window(), workers=2)
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
@pytest.mark.parametrize("worker", ["drops the request", "declines the request", "is unreachable"])
def test_request_with_little_time_left_gets_one_answer_in_time(path, wait, worker):
    """Workers may drop such requests without an answer."""
    dispatcher = InMemoryDispatcher(workers=2)
    client = Client(dispatcher)
    client.post(path=path, wait=wait, Idempotency_Key="k")
    for dial in list(dispatcher.dials) if worker != "is unreachable" else ():
        end = dial.up()
        if worker == "declines the request" and end.take():
            end.status(504, X_Not_Run="1")
    dispatcher.advance(wait + SITE.answer_slack_ms + SITE.clock_resolution_ms)
    sent_unsafe = path == "/unsafe/a" and any(end.came for end in dispatcher.ends)
    statuses = [status for status, *_ in client.answers()]
    assert len(statuses) == 1
    assert statuses[0] in (502, 503)
    assert not (sent_unsafe and worker == "drops it" and statuses == [503]), "it may have run"
    assert not dispatcher.exchange.pending_request_count
    assert SITE.classes[1].effect == Effect.UNSAFE


# Regression: a request that was never sent got 502 where the policy's rejection was due in the same moment.
@pytest.mark.parametrize("late", [0.0, 2.0, 10.0, 140.0])
@pytest.mark.parametrize("answer_slack", [0.0, 8.0])
@pytest.mark.parametrize("offset", [0.0, 1.0, 2.0, 3.0])
def test_waiting_request_is_rejected_at_its_deadline_even_if_the_process_is_late(offset, answer_slack, late):
    site = replace(SITE, clock_resolution_ms=1.0, answer_slack_ms=answer_slack)
    dispatcher = InMemoryDispatcher(site, workers=0)
    dispatcher.tell((1, "DRAINING"), snapshot=True)
    dispatcher.advance(offset)
    client = dispatcher.client(wait=1000)
    dispatcher.advance(990.0)
    assert not client.answers()
    dispatcher.now += 10.0 + answer_slack + late  # no timer is called meanwhile
    for _ in range(3):
        dispatcher.wheel.advance(dispatcher.now)
        dispatcher.settle()
        dispatcher.now += TICK_MS
    [(status, _, body)] = client.answers()
    assert (status, body) == (503, b"declined\n")
    assert not dispatcher.exchange.metrics.prevented_violations
    assert dispatcher.logged == []


class Discovery:
    """A watch on a real socket; a byte that arrives on it reports that the worker drains."""

    def __init__(self, harness):
        self.ours, self.theirs = socket.socketpair()
        harness.loop.add_reader(self.theirs, self.on_readable)
        self.harness = harness

    def on_readable(self):
        self.harness.loop.remove_reader(self.theirs)
        self.harness.dispatcher.tell((1, "DRAINING"))

    def send_drain(self):
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
def test_pending_drain_is_read_before_a_pending_request_is_sent(harness, first):
    client = SocketClient(harness)
    client.send(message("r0"))
    harness.turn(12)
    harness.dispatcher.dials[0].up().finish()
    harness.turn(12)
    assert client.statuses() == [200]
    calls = [lambda: client.send(message("r1")), harness.discovery.send_drain]
    for action in calls if first == "request" else reversed(calls):
        action()
    harness.turn(12)
    [end] = harness.dispatcher.ends
    assert end.take() == []
    assert not harness.dispatcher.dials


def test_drain_during_a_delayed_turn_is_obeyed_within_its_grace(harness):
    """The drain arrives after the decision, and the write follows 0.15 s later.

    That attempt must be the last one that the draining worker gets.
    """
    client = SocketClient(harness)
    client.send(message("r0"))
    harness.turn(12)
    harness.dispatcher.dials[0].up().finish()
    harness.turn(12)
    dispatcher, drained_at, sent_at = harness.dispatcher, [], []
    handle = dispatcher.exchange.dispatcher.handle

    def held_up(now, events):
        actions = handle(now, events)
        if any(isinstance(action, StartAttempt) for action in actions):
            harness.discovery.send_drain()
            drained_at.append(dispatcher.now)
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
    assert len(drained_at) == 1
    assert sent_at == [drained_at[0] + MAX_WRITE_DELAY_MS]
    assert SITE.drain_grace_ms > MAX_WRITE_DELAY_MS
