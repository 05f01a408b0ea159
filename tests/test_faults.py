"""Classification of failed system calls, and retries of failed dials, accepts and registrations."""

from __future__ import annotations

import asyncio
import errno
import os
import selectors
import socket
from functools import partial
from pathlib import Path

import pytest
from support.failing_calls import Call, Failure, failing_calls
from support.memory_dispatcher import InMemoryDispatcher

from eiderfield.config.errors import ConfigError
from eiderfield.interface import Outcome
from eiderfield.net.clients.acceptor import ACCEPTED_PER_TURN
from eiderfield.net.faults import (
    RETRY_DELAY_MS,
    Cause,
    classify_accept_error,
    classify_dial_error,
    classify_loss,
)
from eiderfield.net.link import Link
from eiderfield.net.link_socket import LinkListener
from eiderfield.net.selector import RetryingSelector, new_event_loop
from eiderfield.net.wheel import TICK_MS
from eiderfield.program.listeners import BoundListener, Opener

DIAL_TIMEOUT_MS = 100.0  # the default of `InMemoryDispatcher`


def os_error(number):
    return OSError(number, os.strerror(number))


@pytest.mark.parametrize(
    ("error", "cause"),
    [
        (os_error(errno.EMFILE), Cause.LOCAL),
        (os_error(errno.EADDRNOTAVAIL), Cause.LOCAL),
        (os_error(errno.ENOSPC), Cause.LOCAL),
        (os_error(errno.ENETUNREACH), Cause.ROUTE),
        (os_error(errno.EPERM), Cause.ROUTE),
        (os_error(errno.EHOSTUNREACH), Cause.CONNECTION),
        (os_error(errno.ECONNREFUSED), Cause.CONNECTION),
        (os_error(errno.ETIMEDOUT), Cause.CONNECTION),
        (OSError("Multiple exceptions: several addresses"), Cause.CONNECTION),
        (ValueError("no address"), Cause.CONNECTION),
        (socket.gaierror(socket.EAI_AGAIN, "try again"), Cause.LOCAL),
        (socket.gaierror(socket.EAI_NONAME, "unknown"), Cause.CONNECTION),
    ],
)
def test_cause_of_dial_distinguishes_host_route_and_connection(error, cause):
    assert classify_dial_error(error) is cause


@pytest.mark.parametrize(
    ("number", "cause"),
    [
        (errno.ECONNABORTED, Cause.CONNECTION),
        (errno.EPERM, Cause.CONNECTION),
        (errno.EPROTO, Cause.CONNECTION),
        (errno.ENETUNREACH, Cause.CONNECTION),
        (errno.EMFILE, Cause.LOCAL),
        (errno.ENFILE, Cause.LOCAL),
        (errno.EBADF, Cause.LOCAL),
        (errno.ENOMEM, Cause.LOCAL),
    ],
)
def test_cause_of_accept_distinguishes_host_and_connection(number, cause):
    assert classify_accept_error(os_error(number)) is cause


def test_cause_of_loss_without_a_local_error_is_the_connection():
    assert classify_loss(None) is Cause.CONNECTION
    assert classify_loss(os_error(errno.EPIPE)) is Cause.CONNECTION
    assert classify_loss(os_error(errno.ENOBUFS)) is Cause.LOCAL


@pytest.fixture
def dispatcher():
    """Return a dispatcher whose attribute `outcomes` collects the outcomes of attempts."""
    dispatcher = InMemoryDispatcher(workers=2)
    dispatcher.outcomes = []
    attempt_ended = dispatcher.exchange.worker_reports.attempt_ended

    def record_outcome(attempt, outcome, load=()):
        if attempt.open:
            dispatcher.outcomes.append(outcome)
        attempt_ended(attempt, outcome, load)

    dispatcher.exchange.worker_reports.attempt_ended = record_outcome
    return dispatcher


def test_dial_that_fails_for_lack_of_descriptors_does_not_eject_the_worker(dispatcher):
    """Guards against counting failed dials against workers: a shortage of one second ejected every worker."""
    client = dispatcher.client(path="/unsafe/a")
    [dial] = dispatcher.dials
    for _ in range(int(DIAL_TIMEOUT_MS / RETRY_DELAY_MS)):
        dial.on_delayed(Cause.LOCAL)
        dispatcher.advance(RETRY_DELAY_MS)
    dispatcher.advance(RETRY_DELAY_MS)
    assert dial.cancelled
    assert dispatcher.outcomes == [Outcome.NOT_SENT]
    assert not dispatcher.exchange.snapshot(dispatcher.now).avoided_workers
    dispatcher.advance(RETRY_DELAY_MS)
    dispatcher.dials[0].up().finish()
    assert client.answers()[0][0] == 200


def test_worker_is_not_silent_while_this_host_delays_its_dial(dispatcher):
    client = dispatcher.client(path="/unsafe/a", wait=4900)
    dispatcher.side.set_timeouts(5000.0, 10_000.0)
    dispatcher.exchange.cancel_request(1)
    del client
    dispatcher.advance(100.0)
    dispatcher.client(path="/unsafe/a", id_="r2", wait=4900)
    [dial] = dispatcher.dials
    for _ in range(200):
        dial.on_delayed(Cause.LOCAL)
        dispatcher.settle()
        dispatcher.advance(RETRY_DELAY_MS)
    assert not [line for line in dispatcher.logged if "silent" in line]


def test_dial_without_a_route_counts_against_the_worker_once_others_respond(dispatcher):
    """Guards against attempts that each wait for the full time limit of a dial to an unreachable worker."""
    dispatcher.client(path="/unsafe/a")
    [first] = dispatcher.dials
    first.on_delayed(Cause.ROUTE)
    dispatcher.settle()
    assert not dispatcher.outcomes, "the missing route may be a fault of this host"
    dispatcher.client(path="/unsafe/a", id_="r2")
    [other] = [dial for dial in dispatcher.dials if dial is not first]
    assert other.connection.worker != first.connection.worker
    dispatcher.advance(1.0)
    other.up().finish()
    first.on_delayed(Cause.ROUTE)
    dispatcher.settle()
    assert dispatcher.outcomes.count(Outcome.CONNECT_FAILED) == 1
    assert dispatcher.exchange.snapshot(dispatcher.now).avoided_workers == {first.connection.worker}


@pytest.mark.parametrize(
    ("stuck", "outcome", "status"),
    [
        (True, Outcome.NOT_SENT, None),
        (False, Outcome.CANCELLED, 502),
    ],
)
def test_loss_for_lack_of_buffers_does_not_count_against_the_worker(dispatcher, stuck, outcome, status):
    client = dispatcher.client(path="/unsafe/a")
    end = dispatcher.dials[0].up(stuck)
    end.pipe.open = False
    end.connection.connection_lost(os_error(errno.ENOBUFS))
    dispatcher.settle()
    assert dispatcher.outcomes == [outcome]
    assert not dispatcher.exchange.snapshot(dispatcher.now).avoided_workers
    assert [answer[0] for answer in client.answers()] == ([status] if status else [])


def run_iterations(loop, count):
    for _ in range(count):
        loop.call_soon(loop.stop)
        loop.run_forever()


@pytest.fixture
def listener_harness():
    """Return a dispatcher that listens on a real port, to which a client has connected."""

    class ListenerHarness:
        def __init__(self):
            self.dispatcher = InMemoryDispatcher()
            self.loop = new_event_loop()
            self.listener = self.dispatcher.listener
            self.listener.listen(self.loop, ("127.0.0.1", 0))
            self.client = socket.create_connection(self.listener.acceptor.listening_socket.getsockname())

        def run_iterations(self, count=8):
            run_iterations(self.loop, count)
            self.dispatcher.settle()

        def close(self):
            self.client.close()
            self.listener.close()
            self.run_iterations()
            self.loop.close()

    listener_harness = ListenerHarness()
    yield listener_harness
    listener_harness.close()


@pytest.mark.parametrize("number", [errno.EMFILE, errno.ENOMEM, errno.EBADF])
def test_accept_that_keeps_failing_pauses_the_listener(listener_harness, monkeypatch, number):
    with failing_calls(monkeypatch, Failure(Call.ACCEPT, 1, number, count=5)) as failing:
        failing.start()
        for attempts in range(1, 6):
            listener_harness.run_iterations(40)
            assert failing.calls[Call.ACCEPT] == attempts, "accept is called in a busy loop"
            assert listener_harness.listener.has_waiting_clients, (
                "a port that closes now would reset the client"
            )
            listener_harness.dispatcher.advance(RETRY_DELAY_MS + TICK_MS)
        listener_harness.run_iterations()
        assert listener_harness.listener.connections == 1
        assert not listener_harness.listener.has_waiting_clients


def test_accept_errors_of_connections_do_not_delay_the_next_ones(listener_harness, monkeypatch):
    with failing_calls(
        monkeypatch, Failure(Call.ACCEPT, 1, errno.EPERM, count=ACCEPTED_PER_TURN - 1)
    ) as failing:
        failing.start()
        listener_harness.run_iterations()
        assert listener_harness.listener.connections == 1


def test_accept_errors_of_a_whole_turn_pause_the_listener(listener_harness, monkeypatch):
    with failing_calls(monkeypatch, Failure(Call.ACCEPT, 1, errno.EPERM, count=10**6)) as failing:
        failing.start()
        listener_harness.run_iterations(40)
        assert failing.calls[Call.ACCEPT] == ACCEPTED_PER_TURN
        failing.failure = None
        listener_harness.dispatcher.advance(RETRY_DELAY_MS + TICK_MS)
        listener_harness.run_iterations()
        assert listener_harness.listener.connections == 1


def test_closing_listener_accepts_connections_after_an_aborted_one(listener_harness, monkeypatch):
    with failing_calls(monkeypatch, Failure(Call.ACCEPT, 1, errno.ECONNABORTED)) as failing:
        failing.start()
        listener_harness.listener.stop_listening()
        assert listener_harness.listener.connections == 1


@pytest.fixture
def selector_harness(monkeypatch):
    """Return a selector whose registrations fail, its clock, and both ends of a connection."""

    class SelectorHarness:
        now = 100.0

    harness = SelectorHarness()
    monkeypatch.setattr("eiderfield.net.selector.time.monotonic", lambda: harness.now)
    harness.near, harness.far = socket.socketpair()
    with failing_calls(monkeypatch, Failure(Call.REGISTER, 1, errno.ENOMEM, count=10**6)) as failing:
        harness.failing = failing
        harness.selector = RetryingSelector()
        failing.start()
        yield harness
        harness.selector.close()
    harness.near.close()
    harness.far.close()


def test_register_without_resources_is_retried_and_reports_earlier_data(selector_harness):
    fd = selector_harness.near.fileno()
    selector_harness.selector.register(selector_harness.near, selectors.EVENT_READ, "data")
    assert selector_harness.selector.get_key(fd).data == "data"
    selector_harness.far.send(b"x")
    assert selector_harness.selector.select(0) == []
    attempts = selector_harness.failing.calls[Call.REGISTER]
    selector_harness.selector.select(0)
    assert selector_harness.failing.calls[Call.REGISTER] == attempts, "retried within RETRY_DELAY_MS"
    selector_harness.failing.failure = None
    selector_harness.now += RETRY_DELAY_MS / 1000.0
    [(key, events)] = selector_harness.selector.select(0)
    assert (key.fd, key.data, events) == (fd, "data", selectors.EVENT_READ)


def test_select_with_a_pending_registration_waits_until_the_next_retry_at_most(selector_harness, monkeypatch):
    waits = []
    monkeypatch.setattr(selectors.EpollSelector, "select", lambda _self, timeout: waits.append(timeout) or [])
    selector_harness.selector.register(selector_harness.near, selectors.EVENT_READ)
    for timeout in (None, 5.0, 0.0):
        selector_harness.selector.select(timeout)
    assert waits == [RETRY_DELAY_MS / 1000.0, RETRY_DELAY_MS / 1000.0, 0.0]


def test_pending_registration_can_be_modified_and_unregistered(selector_harness):
    selector_harness.selector.register(selector_harness.near, selectors.EVENT_READ, 1)
    selector_harness.selector.modify(selector_harness.near, selectors.EVENT_WRITE, 2)
    assert selector_harness.selector.get_key(selector_harness.near).data == 2
    selector_harness.selector.unregister(selector_harness.near)
    with pytest.raises(KeyError):
        selector_harness.selector.get_key(selector_harness.near)


def test_modify_without_resources_is_retried(selector_harness):
    selector_harness.failing.failure, failure = None, selector_harness.failing.failure
    selector_harness.selector.register(selector_harness.near, selectors.EVENT_READ, 1)
    selector_harness.failing.failure = failure
    selector_harness.selector.modify(selector_harness.near, selectors.EVENT_READ | selectors.EVENT_WRITE, 2)
    assert selector_harness.selector.select(0) == [], "events of the old mask must not be reported"
    selector_harness.failing.failure = None
    selector_harness.now += RETRY_DELAY_MS / 1000.0
    [(key, events)] = selector_harness.selector.select(0)
    assert (key.data, events) == (2, selectors.EVENT_WRITE)


def test_pending_registration_of_a_closed_descriptor_is_removed(selector_harness):
    selector_harness.selector.register(selector_harness.near.fileno(), selectors.EVENT_READ)
    selector_harness.near.close()
    selector_harness.failing.failure = None
    selector_harness.now += RETRY_DELAY_MS / 1000.0
    assert selector_harness.selector.select(0) == []


class FailingSocket:
    """A wrapper of a socket of which one method fails a number of times."""

    def __init__(self, sock, call, number, times):
        self._sock, self._call = sock, call
        self._errors = [os_error(number)] * times
        self.calls = 0

    def __getattr__(self, name):
        if name == self._call:
            self.calls += 1
            if self._errors:
                raise self._errors.pop()
        return getattr(self._sock, name)


class DeferredCalls:
    """Replaces `call_later` of a loop; `run` makes the deferred calls."""

    def __init__(self, monkeypatch, loop):
        self.calls = []
        monkeypatch.setattr(
            loop, "call_later", lambda wait, call, *args: self.calls.append((wait, call, args))
        )

    def run(self):
        calls, self.calls = self.calls, []
        for wait, call, args in calls:
            assert wait == RETRY_DELAY_MS / 1000.0
            call(*args)


def test_handover_accept_without_free_descriptors_waits_without_spinning(tmp_path, monkeypatch):
    loop, links = new_event_loop(), []
    deferred_calls = DeferredCalls(monkeypatch, loop)
    link_listener = LinkListener(loop, tmp_path / "socket", links.append)
    link_listener.open()
    link_listener._listener = sock = FailingSocket(link_listener._listener, "accept", errno.EMFILE, 2)
    client = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    client.connect(str(tmp_path / "socket"))
    for attempts in (1, 2):
        run_iterations(loop, 10)
        assert sock.calls == attempts
        assert not links
        deferred_calls.run()
    run_iterations(loop, 10)
    assert len(links) == 1
    links[0].close()
    link_listener.close(unlink=True)
    client.close()
    loop.close()


@pytest.mark.parametrize("number", [errno.ETOOMANYREFS, errno.ENOBUFS])
def test_link_send_without_resources_is_retried(number, monkeypatch):
    loop, events = new_event_loop(), []
    deferred_calls = DeferredCalls(monkeypatch, loop)
    near, far = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    sender, receiver = Link(loop, near), Link(loop, far)
    receiver.on_message = lambda message, _fds: events.append(message)
    sender.on_lost = lambda: events.append("lost")
    errors, send_fds = [os_error(number)] * 2, socket.send_fds

    def failing_send_fds(*args):
        if errors:
            raise errors.pop()
        return send_fds(*args)

    monkeypatch.setattr(socket, "send_fds", failing_send_fds)
    sender.send({"number": 1})
    for _ in range(2):
        run_iterations(loop, 10)
        assert not events
        assert not sender.flushed
        deferred_calls.run()
    run_iterations(loop, 10)
    assert events == [{"number": 1}]
    assert sender.flushed
    sender.close()
    receiver.close()
    loop.close()


def test_program_runs_on_the_retrying_selector(monkeypatch):
    from eiderfield import __main__ as program

    selectors_used = []

    async def serve(*_):
        selectors_used.append(asyncio.get_running_loop()._selector)

    monkeypatch.setattr(program, "serve", serve)
    monkeypatch.setattr(program, "load", lambda *_, **__: None)
    assert program.main([]) == 0
    assert isinstance(selectors_used[0], RetryingSelector)


@pytest.fixture
def opening(monkeypatch):
    """Return a listener, and an event loop on which `open` opens it."""

    class Opening:
        def __init__(self):
            self.loop = new_event_loop()
            self.listener = InMemoryDispatcher().listener
            self.logged = []
            monkeypatch.setattr("eiderfield.program.listeners.log", self.logged.append)

        def open(self, address=("127.0.0.1", 0)):
            bound = BoundListener("listen", self.listener, address)
            opener = Opener(self.loop, Path("/no/process/before"))
            self.loop.run_until_complete(opener.open(bound))

        def close(self):
            self.listener.close()
            self.loop.close()

    opening = Opening()
    yield opening
    opening.close()


@pytest.mark.parametrize("number", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM])
def test_start_without_resources_for_a_listener_is_retried(opening, monkeypatch, number):
    """Guards against a program that exits at its start because of a short shortage of resources."""
    with failing_calls(monkeypatch, Failure(Call.SOCKET, 1, number, count=3)) as failing:
        failing.start()
        opening.open()
    assert opening.listener.listening
    assert len(failing.failed) == 3
    assert len(opening.logged) == 1
    assert "trying again" in opening.logged[0]


def test_start_on_an_address_in_use_fails_at_once(opening):
    with socket.create_server(("127.0.0.1", 0)) as other, pytest.raises(ConfigError, match="cannot listen"):
        opening.open(other.getsockname())
    assert not opening.logged


def test_start_that_waits_for_descriptors_can_be_stopped(opening, monkeypatch):
    with failing_calls(monkeypatch, Failure(Call.SOCKET, 1, errno.EMFILE, count=10**6)) as failing:
        failing.start()
        stop = partial(setattr, opening.listener, "draining", True)
        monkeypatch.setattr("eiderfield.program.listeners.log", lambda _text: stop())
        opening.open()
    assert not opening.listener.listening
    assert failing.failed
