"""Tests of events that occur between the steps of a connection to a worker."""

import asyncio
import errno
import json
from dataclasses import replace

import pytest
from support.memory_dispatcher import SITE, InMemoryDispatcher

from eiderfield.net.loop import Driver

STREAM_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(id_, **fields):
    text = json.dumps({"id": id_, "from": "w", **fields}).encode() + b"\n"
    return b"%x\r\n%s\r\n" % (len(text), text)


def move_worker(dispatcher, port):
    """Update the endpoint list: worker 1 has another address."""
    dispatcher.index += 1
    entry = {"name": "w1", "address": f"127.0.0.1:{port}", "status": "SERVING", "since_ms": 0}
    dispatcher.table.load({"index": dispatcher.index, "snapshot": False, "endpoints": [entry]})
    dispatcher.settle()


@pytest.mark.parametrize("removed_first", [False, True])
def test_dial_of_a_worker_whose_address_changes_is_cancelled_and_repeated(removed_first):
    """Guards against sending the request to another process that listens at the old address now."""
    dispatcher = InMemoryDispatcher(workers=1)
    client = dispatcher.client(path="/unsafe/a")
    [old_dial] = dispatcher.dials
    if removed_first:
        removal = {"name": "w1", "status": "DELETED"}
        dispatcher.table.load({"index": 8, "snapshot": False, "endpoints": [removal]})
    move_worker(dispatcher, 77)
    assert old_dial.cancelled
    dispatcher.advance(50.0)
    [new_dial] = dispatcher.dials
    assert new_dial.address == ("127.0.0.1", 77)
    new_dial.up().finish()
    assert client.answers()[0][0] == 200


def test_connection_established_after_its_attempt_was_cancelled_writes_nothing():
    dispatcher = InMemoryDispatcher(workers=1)
    client = dispatcher.client()
    [dial] = dispatcher.dials
    client.pipe.break_off()
    dispatcher.settle()
    dispatcher.dials.append(dial)  # the connection is established just before the cancellation takes effect
    end = dial.up()
    assert not end.pipe.open
    assert not end.pipe.written


@pytest.mark.parametrize("path", ["/safe/a", "/unsafe/a"])
@pytest.mark.parametrize("partial_data", [b"", b'20\r\n{"id": "r1", "state"', b'5\r\n{"id"\r\n'])
def test_reset_within_a_response_yields_no_result(path, partial_data):
    dispatcher = InMemoryDispatcher(workers=2)
    client = dispatcher.client(path=path)
    end = dispatcher.dials[0].up()
    end.take()
    end.pipe.send(STREAM_HEAD + chunk("r1", state="started") + partial_data)
    end.pipe.break_off()
    dispatcher.settle()
    dispatcher.advance(50.0)
    if path == "/safe/a":
        assert not client.answers(), "a safe request is retried"
        assert len(dispatcher.dials) == 1, "a safe request is retried"
    else:
        assert client.answers()[0][0] == 502, "an unsafe request may have run"
        assert not dispatcher.dials, "an unsafe request may have run"


def test_unsolicited_response_on_an_idle_connection_closes_it():
    dispatcher = InMemoryDispatcher(workers=1)
    client = dispatcher.client()
    end = dispatcher.dials[0].up()
    end.finish()
    assert client.answers()[0][0] == 200
    assert end.pipe.open
    end.pipe.send(STREAM_HEAD + chunk("r1", state="done", result="again") + b"0\r\n\r\n")
    assert not end.pipe.open


def test_unsolicited_response_during_the_next_request_is_not_its_result():
    dispatcher = InMemoryDispatcher(workers=1)
    first = dispatcher.client()
    end = dispatcher.dials[0].up()
    end.finish()
    assert first.answers()[0][0] == 200
    second = dispatcher.client(id_="r2")
    assert end.take() == ["r2"]
    end.pipe.send(STREAM_HEAD + chunk("r1", state="done", result="again") + b"0\r\n\r\n")
    dispatcher.settle()
    assert not end.pipe.open
    assert not second.answers()
    assert any("reason=a line is not about" in text for text in dispatcher.logged)


@pytest.mark.parametrize(
    "repeated_data", [b"x" * 4000, chunk("r1", state="running", share=0.5), b"1\r\n\n\r\n"]
)
def test_endless_response_ends_at_the_length_limit_or_the_deadline(repeated_data):
    dispatcher = InMemoryDispatcher(workers=1)
    client = dispatcher.client(path="/unsafe/a", wait=2000)
    end = dispatcher.dials[0].up()
    end.take()
    end.pipe.send(STREAM_HEAD)
    for _ in range(200):
        if end.pipe.open:
            end.pipe.send(b"fa0\r\n%s\r\n" % repeated_data if repeated_data[:1] == b"x" else repeated_data)
        dispatcher.advance(11.0)
    assert not end.pipe.open
    assert client.answers()[0][0] == 502


def test_drain_while_a_durable_attempt_waits_for_its_claim_writes_nothing():
    class DurableRequestsStub:
        def __init__(self):
            self.on_claimed = None

        def claim(self, _attempt, on_claimed):
            self.on_claimed = on_claimed

        def may_write(self, _attempt):
            return True

        def attempt_ended(self, attempt):
            pass

        def finish(self, pending, answer):
            pending.on_answer(answer)

    dispatcher = InMemoryDispatcher(workers=1)
    durable_requests = DurableRequestsStub()
    dispatcher.exchange.attach_durable_requests(durable_requests)
    front = dispatcher.listener.front
    submit = dispatcher.exchange.submit
    dispatcher.exchange.submit = lambda request, answer, **more: submit(request, answer, durable=True, **more)
    assert front is not None
    dispatcher.client()
    dispatcher.tell((1, "DRAINING"))
    durable_requests.on_claimed(True)
    dispatcher.settle()
    for dial in list(dispatcher.dials):
        end = dial.up()
        assert end.take() == []
        assert not end.pipe.written


@pytest.mark.parametrize("tail", [b"0\r\n\r\n", b'5\r\n{"id"\r\n0\r\n\r\n', b"2\r\n{\n\r\n0\r\n\r\n"])
def test_response_without_its_last_line_is_malformed_and_logged(tail):
    dispatcher = InMemoryDispatcher(workers=1)
    client = dispatcher.client(path="/unsafe/a")
    end = dispatcher.dials[0].up()
    end.take()
    end.pipe.send(STREAM_HEAD + chunk("r1", state="started") + tail)
    dispatcher.settle()
    assert client.answers()[0][0] == 502
    assert not end.pipe.open
    assert dispatcher.exchange.metrics.malformed_responses == 1
    assert "exchange: malformed response " in dispatcher.logged[-1]


@pytest.mark.parametrize(
    ("errnos", "expected"),
    [
        ([errno.EMFILE, errno.ENFILE], []),
        ([errno.ECONNREFUSED], ["refused"]),
        ([errno.EMFILE, errno.EHOSTUNREACH], ["refused"]),
    ],
)
def test_dial_without_free_descriptors_is_retried_without_a_failure(errnos, expected, monkeypatch):
    """Guards against counting such a dial as refused by the worker, which was then ejected."""
    loop, calls, failures = asyncio.new_event_loop(), [], []

    async def connect(_factory, *address):
        calls.append(address)
        if len(calls) <= len(errnos):
            raise OSError(errnos[len(calls) - 1], "no")

    monkeypatch.setattr(loop, "create_connection", connect)
    driver = Driver(loop, lambda: 1e6)
    task = driver.dial(asyncio.BufferedProtocol(), ("127.0.0.1", 9), lambda: failures.append("refused"))
    loop.run_until_complete(task)
    loop.close()
    assert failures == expected
    assert len(calls) == len(errnos) + (not expected)


def test_dial_waiting_for_a_descriptor_can_be_cancelled(monkeypatch):
    loop, failures = asyncio.new_event_loop(), []

    async def connect(_factory, *_address):
        raise OSError(errno.EMFILE, "no")

    monkeypatch.setattr(loop, "create_connection", connect)
    driver = Driver(loop, lambda: 1e6)
    task = driver.dial(asyncio.BufferedProtocol(), ("127.0.0.1", 9), lambda: failures.append(1))
    loop.call_soon(loop.call_soon, task.cancel)
    with pytest.raises(asyncio.CancelledError):
        loop.run_until_complete(task)
    loop.close()
    assert not failures


def start_hedged_request(dispatcher, id_="r1"):
    """Send a request whose first attempt starts and becomes silent, until a hedged attempt is dialled.

    Returns the client and the worker's end of the first attempt.
    """
    client = dispatcher.client(id_=id_)
    first = dispatcher.dials[0].up()
    first.take()
    first.say({"id": id_, "from": "w", "state": "started"})
    while not dispatcher.dials:
        dispatcher.advance(20.0)
    return client, first


@pytest.mark.parametrize("fault", ["refused", "reset", "500", "not run"])
def test_failure_of_a_hedged_attempt_leaves_the_first_attempt_open(fault):
    dispatcher = InMemoryDispatcher(
        replace(SITE, hedging_allowed=True, progress_interval_ms=100.0), workers=2
    )
    client, first = start_hedged_request(dispatcher)
    if fault == "refused":
        dispatcher.dials[0].refuse()
    else:
        second = dispatcher.dials[0].up()
        second.take()
        if fault == "reset":
            second.pipe.break_off()
            dispatcher.settle()
        else:
            second.status(500 if fault == "500" else 503, **({} if fault == "500" else {"X_Not_Run": "1"}))
    assert first.pipe.open
    assert not client.answers()
    first.say({"id": "r1", "from": "w", "state": "done", "result": "first"}, head=False, end=True)
    assert [(status, body) for status, _, body in client.answers()] == [(200, b"first")]
    dispatcher.advance(1000.0)
    assert not client.answers()
    assert not dispatcher.dials
    assert not dispatcher.exchange.pending_request_count


def test_failure_of_both_attempts_in_one_turn_yields_one_response():
    dispatcher = InMemoryDispatcher(
        replace(SITE, hedging_allowed=True, progress_interval_ms=100.0, max_attempts=2), workers=2
    )
    client, first = start_hedged_request(dispatcher)
    second = dispatcher.dials[0].up()
    second.take()
    first.pipe.break_off()
    second.pipe.break_off()
    dispatcher.settle()
    dispatcher.advance(6000.0)
    assert [status for status, *_ in client.answers()] == [503], "the client may retry a safe request"
    assert not dispatcher.exchange.pending_request_count


@pytest.mark.parametrize("path", ["/safe/a", "/unsafe/a", "/keyed/a"])
@pytest.mark.parametrize("fault", ["refused", "not run", "500", "reset"])
def test_retries_that_all_fail_yield_one_response_within_max_attempts(path, fault):
    dispatcher = InMemoryDispatcher(workers=2)
    client = dispatcher.client(path=path, Idempotency_Key="k")
    for _ in range(3 * SITE.max_attempts):
        for dial in list(dispatcher.dials):
            if fault == "refused":
                dial.refuse()
                continue
            end = dial.up()
            end.take()
            if fault == "reset":
                end.pipe.break_off()
                dispatcher.settle()
            else:
                end.status(500 if fault == "500" else 503, **({} if fault == "500" else {"X_Not_Run": "1"}))
        for end in dispatcher.ends:
            if end.pipe.open and end.take():
                end.status(500 if fault == "500" else 503, **({} if fault == "500" else {"X_Not_Run": "1"}))
        dispatcher.advance(500.0)
    [(status, *_)] = client.answers()
    may_have_run = fault in ("500", "reset")
    assert status == (502 if path == "/unsafe/a" and may_have_run else 503)
    request_count = sum(len(end.came) for end in dispatcher.ends)
    assert request_count <= (1 if path == "/unsafe/a" and may_have_run else SITE.max_attempts)
    assert not dispatcher.exchange.pending_request_count


@pytest.mark.parametrize("path", ["/safe/a", "/keyed/a", "/unsafe/a"])
@pytest.mark.parametrize("loss", ["end of file", "reset", "reset by the next request"])
@pytest.mark.parametrize("idle_ms", [10.0, 5000.0])
def test_idle_connection_closed_by_the_worker_costs_no_response(path, loss, idle_ms):
    """A connection that the worker has closed or reset is not reused.

    If the worker has lost the state of the connection, the next request resets it.
    """
    dispatcher = InMemoryDispatcher(workers=1)
    first = dispatcher.client(path=path, Idempotency_Key="k1")
    idle = dispatcher.dials[0].up()
    idle.finish()
    assert first.answers()[0][0] == 200
    dispatcher.advance(idle_ms)
    if loss == "end of file":
        idle.connection.eof_received()
    elif loss == "reset":
        idle.pipe.break_off()
    client = dispatcher.client(path=path, id_="r2", Idempotency_Key="k2")
    if loss == "reset by the next request":
        assert idle.take() == ["r2"]
        idle.pipe.break_off()
        dispatcher.settle()
        dispatcher.advance(250.0)
    else:
        assert "r2" not in idle.came
    if loss == "reset by the next request" and path == "/unsafe/a":
        assert [status for status, *_ in client.answers()] == [502], "an unsafe request may have run"
        return
    [dial] = dispatcher.dials
    dial.up().finish()
    assert [status for status, *_ in client.answers()] == [200]
