"""The bytes that connections make the process hold are counted by part until they are given back."""

import gc
import weakref

from support.memory_dispatcher import Client, InMemoryDispatcher
from support.real_sockets import ListenerHarness, SocketClient

from eiderfield.connections.admission import Reason
from eiderfield.connections.settings import MESSAGE_TIMEOUT_MS
from eiderfield.net.clients import Phase
from eiderfield.net.clients.connection import LINGER_TIME_MS
from eiderfield.net.clients.cut_off_log import INTERVAL_MS, MAX_LINES, CutOff, CutOffLog
from eiderfield.net.memory_budget import MemoryBudget, MemoryPart
from eiderfield.net.wheel import TICK_MS

BODY = b"x" * 30_000


def client_bytes(dispatcher):
    return dispatcher.listener.memory.figures()["clients"]


def test_held_bytes_follow_a_request_from_its_first_byte_to_its_response():
    dispatcher = InMemoryDispatcher()
    client = Client(dispatcher)
    client.send(b"POST /safe/a HTTP/1.1\r\nX-Request-Id: r1\r\nContent-Length: 30000\r\n\r\n" + BODY[:-1])
    assert len(BODY) <= client_bytes(dispatcher) < 2 * len(BODY)
    client.send(BODY[-1:])
    assert len(BODY) <= client_bytes(dispatcher) < 2 * len(BODY), "the request waits for its response"
    dispatcher.dials[0].up().finish()
    assert client.answers()[0][0] == 200
    client.pipe.break_off()
    assert client_bytes(dispatcher) == 0


def test_held_bytes_of_a_client_that_disconnects_are_given_back():
    dispatcher = InMemoryDispatcher()
    client = Client(dispatcher)
    client.send(b"POST /safe/a HTTP/1.1\r\n" + b"a: b\r\n" * 50)
    assert client_bytes(dispatcher) > 0
    client.pipe.break_off()
    assert client_bytes(dispatcher) == 0
    assert dispatcher.listener.memory.peak > 0


def test_bytes_that_a_worker_does_not_read_are_counted():
    dispatcher = InMemoryDispatcher()
    dispatcher.client(body=BODY)
    end = dispatcher.dials[0].up(stuck=True)
    memory = dispatcher.side.memory
    assert memory.figures()["workers"] >= len(BODY)
    end.pipe.unstick()
    assert memory.figures()["workers"] == 0


def test_budget_sums_its_accounts_by_part():
    budget = MemoryBudget()
    first, second = budget.open_account(MemoryPart.CLIENTS), budget.open_account(MemoryPart.JOBS)
    first.update(100)
    second.update(50)
    first.update(30)
    assert budget.figures() == {
        "limit": 0,
        "held": 80,
        "peak": 150,
        "clients": 30,
        "workers": 0,
        "jobs": 50,
    }


def test_slow_message_is_logged_with_its_reason_and_its_bytes():
    dispatcher = InMemoryDispatcher()
    lines = []
    dispatcher.listener.log_cut_offs(lines.append)
    Client(dispatcher)
    dispatcher.listener.report_cut_off(next(iter(dispatcher.listener.open_connections)), Reason.SLOW_HEAD)
    assert lines == [
        "clients: connection cut off (reason=slow_head address= held=0 silent_ms=0 not_logged=0)"
    ]


def test_lines_of_connections_that_are_cut_off_are_bounded():
    lines, now = [], [0.0]
    log = CutOffLog(lines.append, lambda: now[0])
    for _ in range(3 * MAX_LINES):
        log.write(CutOff("slow_head", "127.0.0.1", 10, 20.0))
    assert len(lines) == MAX_LINES
    now[0] += INTERVAL_MS
    log.write(CutOff("slow_head", "127.0.0.1", 10, 20.0))
    assert lines[-1].endswith(f"not_logged={2 * MAX_LINES})")


# Regression: a closed connection and its bytes stayed until the garbage collector found the cycle.
def test_connection_that_is_cut_off_is_freed_without_garbage_collection():
    harness = ListenerHarness()
    client = SocketClient(harness).send(b"POST /safe/a HTTP/1.1\r\n")
    harness.turn()
    connection = weakref.ref(next(iter(harness.listener.open_connections)))
    gc.disable()
    try:
        harness.pass_time(MESSAGE_TIMEOUT_MS + 2 * LINGER_TIME_MS)
        assert client.statuses() == [408]
        assert connection() is None
    finally:
        gc.enable()
    harness.close()


# Regression: a connection that was cut off kept the bytes of its message until the end of lingering.
def test_lingering_connection_holds_no_bytes_of_its_message():
    dispatcher = InMemoryDispatcher()
    client = Client(dispatcher)
    client.send(b"POST /safe/a HTTP/1.1\r\nX-Request-Id: r1\r\nContent-Length: 30000\r\n\r\n" + BODY[:-1])
    dispatcher.advance(MESSAGE_TIMEOUT_MS + 2 * TICK_MS)
    assert client.answers()[0][0] == 408
    assert client.connection.phase is Phase.LINGERING
    assert client_bytes(dispatcher) == 0
