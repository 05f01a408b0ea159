"""What is given back when clients make the process hold more than its memory budget allows (issue 54, a)."""

import pytest
from support.memory_dispatcher import Client, InMemoryDispatcher

from eiderfield.batch.job_table import JobTable
from eiderfield.batch.settings import JobLimits
from eiderfield.connections.admission import AdmissionControl, Reason
from eiderfield.net.clients import MemoryRelief, Phase
from eiderfield.net.clients.connection import MAX_PIPELINED_BYTES, STALLED_RESPONSE_MS
from eiderfield.net.memory_budget import (
    BYTES_PER_MB,
    CONNECTION_BYTES,
    MIN_LIMIT_BYTES,
    MemoryBudget,
    MemoryPart,
    budget_bytes,
)

LIMIT = 100_000
HEAD = "POST /safe/a HTTP/1.1\r\nX-Request-Id: {}\r\nContent-Length: {}\r\n\r\n"


@pytest.fixture
def dispatcher():
    """A dispatcher whose connections may hold `LIMIT` bytes."""
    found = InMemoryDispatcher()
    found.listener.admission = AdmissionControl()
    found.listener.memory.set_limit(LIMIT)
    MemoryRelief(found.listener.memory, lambda: found.listener.open_connections)
    return found


def begin_body(dispatcher, id_, received, length=60_000):
    """Return a client that has sent a part of a body."""
    client = Client(dispatcher)
    client.send(HEAD.format(id_, length).encode() + b"x" * received)
    return client


def statuses(client):
    return [status for status, *_ in client.answers()]


# Regression: the sum of what connections held had no bound, and the process passed its memory limit.
def test_messages_in_progress_never_hold_more_than_the_limit(dispatcher):
    clients = [begin_body(dispatcher, f"r{number}", 59_999) for number in range(20)]
    assert dispatcher.listener.memory.held <= LIMIT
    cut_off = [client for client in clients if statuses(client) == [503]]
    assert len(cut_off) == dispatcher.listener.admission.counts[Reason.MEMORY_MESSAGE.value] > 15


def test_message_with_the_most_bytes_and_the_longest_silence_is_ended_first(dispatcher):
    small_silent = begin_body(dispatcher, "r1", 100)
    large_silent = begin_body(dispatcher, "r2", 40_000)
    dispatcher.advance(100.0)
    large_active = begin_body(dispatcher, "r3", 45_000)
    newest = begin_body(dispatcher, "r4", 30_000)
    assert statuses(large_silent) == [503]
    assert not [*statuses(small_silent), *statuses(large_active), *statuses(newest)]


def test_complete_request_is_never_ended_for_memory(dispatcher):
    complete = begin_body(dispatcher, "r1", 50_000, length=50_000)
    for number in range(5):
        begin_body(dispatcher, f"s{number}", 59_999)
    assert not statuses(complete)
    dispatcher.dials[0].up().finish()
    assert statuses(complete) == [200]


def test_large_request_without_room_is_refused_and_a_small_one_is_accepted(dispatcher):
    for number in range(2):
        begin_body(dispatcher, f"r{number}", 30_000, length=30_000)
    refused = begin_body(dispatcher, "r2", 20_000, length=20_000)
    assert statuses(refused) == [503]
    assert dispatcher.listener.admission.counts[Reason.MEMORY_REQUEST.value] == 1
    assert dispatcher.exchange.pending_request_count == 2
    dispatcher.client(id_="r3")
    assert dispatcher.exchange.pending_request_count == 3


def test_room_for_a_complete_request_is_taken_from_messages_in_progress(dispatcher):
    slow = begin_body(dispatcher, "r1", 50_000)
    dispatcher.advance(10.0)
    complete = begin_body(dispatcher, "r2", 40_000, length=40_000)
    assert statuses(slow) == [503]
    assert not statuses(complete)
    assert dispatcher.exchange.pending_request_count == 1


def test_response_that_a_client_does_not_read_is_given_up_for_memory(dispatcher):
    client = dispatcher.client(id_="r1")
    client.pipe.stuck = True
    dispatcher.dials[0].up().finish(result="x" * 95_000)
    dispatcher.advance(STALLED_RESPONSE_MS / 2)
    begin_body(dispatcher, "r2", 20_000)
    assert client.pipe.open, "its client may still read it"
    dispatcher.advance(STALLED_RESPONSE_MS)
    begin_body(dispatcher, "r3", 20_000)
    assert not client.pipe.open
    assert dispatcher.listener.admission.counts[Reason.MEMORY_RESPONSE.value] == 1


# Regression: one read put 64 KB of later messages behind a request on each connection.
def test_bytes_that_a_client_sends_ahead_of_a_response_are_bounded(dispatcher):
    client = begin_body(dispatcher, "r1", 10_000, length=50_000)
    assert len(client.connection.get_buffer(-1)) == 40_000 + MAX_PIPELINED_BYTES
    client.send(b"x" * 40_000)
    assert len(client.connection.get_buffer(-1)) == MAX_PIPELINED_BYTES
    client.send(b"x" * (MAX_PIPELINED_BYTES + 1))
    assert client.pipe.paused


def test_bytes_sent_ahead_are_dropped_for_memory_and_their_connection_ends_after_its_response(dispatcher):
    dispatcher.listener.memory.set_limit(20_000)
    client = dispatcher.client(id_="r1")
    client.send(b"POST /safe/b HTTP/1.1\r\n" + b"a: b\r\n" * 4000)
    assert dispatcher.listener.memory.held <= 20_000
    dispatcher.dials[0].up().finish()
    [(status, head, _)] = client.answers()
    assert (status, head.get("connection")) == (200, "close")
    assert client.connection.phase is Phase.LINGERING


def test_response_of_a_worker_is_not_read_until_there_is_memory(dispatcher):
    dispatcher.side.memory.set_limit(10_000)
    dispatcher.client(id_="r1")
    end = dispatcher.dials[0].up()
    end.pipe.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffff\r\n" + b" " * 10_001)
    assert end.pipe.paused
    other = dispatcher.side.memory.open_account(MemoryPart.CLIENTS)
    dispatcher.side.memory.set_limit(20_000)
    other.update(1)
    assert not end.pipe.paused


def test_batch_jobs_may_take_half_of_the_budget():
    budget = MemoryBudget(100_000)
    limits = JobLimits(1000, 1000, 1000.0, max_bytes=1_000_000)
    table = JobTable(lambda: 0.0, limits, budget.open_account(MemoryPart.JOBS))
    assert table.free_memory(50_000)
    assert not table.free_memory(50_001)


def test_budget_is_halved_while_another_process_has_the_other_half():
    budget = MemoryBudget(100.0)
    budget.set_shared(True)
    assert budget.limit == 50.0
    budget.set_shared(False)
    assert budget.limit == 100.0


@pytest.mark.parametrize(
    ("memory_mb", "resident_mb", "connections", "expected"),
    [(192, 20, 0, 86 * BYTES_PER_MB), (24, 30, 1000, MIN_LIMIT_BYTES)],
)
def test_budget_is_half_of_what_the_program_and_its_connections_leave(
    memory_mb, resident_mb, connections, expected
):
    assert budget_bytes(memory_mb, resident_mb * BYTES_PER_MB, connections) == expected
    with_more = budget_bytes(memory_mb, resident_mb * BYTES_PER_MB, connections + 2)
    assert with_more == max(MIN_LIMIT_BYTES, expected - CONNECTION_BYTES)
