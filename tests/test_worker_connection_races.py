"""Events that interleave with the steps of a connection to a worker."""

import asyncio
import errno
import json
from dataclasses import replace

import pytest
from support.memory_dispatcher import SITE, InMemoryDispatcher

from eiderfield.net.loop import Driver

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def line(id_, **told):
    text = json.dumps({"id": id_, "from": "w", **told}).encode() + b"\n"
    return b"%x\r\n%s\r\n" % (len(text), text)


def renamed(dispatcher, port):
    """Update the endpoint list with worker 1 at another address."""
    dispatcher.index += 1
    entry = {"name": "w1", "address": f"127.0.0.1:{port}", "status": "SERVING", "since_ms": 0}
    dispatcher.table.load({"index": dispatcher.index, "snapshot": False, "endpoints": [entry]})
    dispatcher.settle()


@pytest.mark.parametrize("dropped", [False, True])
def test_dial_of_a_worker_whose_address_changes_is_cancelled_and_repeated(dropped):
    """Another process may listen at the old address by now."""
    dispatcher = InMemoryDispatcher(workers=1)
    client = dispatcher.client(path="/unsafe/a")
    [old] = dispatcher.dials
    if dropped:
        gone = {"name": "w1", "status": "DELETED"}
        dispatcher.table.load({"index": 8, "snapshot": False, "endpoints": [gone]})
    renamed(dispatcher, 77)
    assert old.cancelled
    dispatcher.advance(50.0)
    [new] = dispatcher.dials
    assert new.address == ("127.0.0.1", 77)
    new.up().finish()
    assert client.answers()[0][0] == 200


def test_connection_established_after_its_attempt_was_cancelled_writes_nothing():
    dispatcher = InMemoryDispatcher(workers=1)
    client = dispatcher.client()
    [dial] = dispatcher.dials
    client.pipe.break_off()
    dispatcher.settle()
    dispatcher.dials.append(dial)  # it came up in the moment in which it was called off
    end = dial.up()
    assert not end.pipe.open
    assert not end.pipe.written


@pytest.mark.parametrize("path", ["/safe/a", "/unsafe/a"])
@pytest.mark.parametrize("half", [b"", b'20\r\n{"id": "r1", "state"', b'5\r\n{"id"\r\n'])
def test_reset_within_a_response_yields_no_result(path, half):
    dispatcher = InMemoryDispatcher(workers=2)
    client = dispatcher.client(path=path)
    end = dispatcher.dials[0].up()
    end.take()
    end.pipe.send(HEAD + line("r1", state="started") + half)
    end.pipe.break_off()
    dispatcher.settle()
    dispatcher.advance(50.0)
    if path == "/safe/a":
        assert not client.answers(), "it may be sent again"
        assert len(dispatcher.dials) == 1, "it may be sent again"
    else:
        assert client.answers()[0][0] == 502, "it may have run"
        assert not dispatcher.dials, "it may have run"


def test_unsolicited_response_on_an_idle_connection_closes_it():
    dispatcher = InMemoryDispatcher(workers=1)
    client = dispatcher.client()
    end = dispatcher.dials[0].up()
    end.finish()
    assert client.answers()[0][0] == 200
    assert end.pipe.open
    end.pipe.send(HEAD + line("r1", state="done", result="again") + b"0\r\n\r\n")
    assert not end.pipe.open


def test_unsolicited_response_during_the_next_request_is_not_its_result():
    dispatcher = InMemoryDispatcher(workers=1)
    first = dispatcher.client()
    end = dispatcher.dials[0].up()
    end.finish()
    assert first.answers()[0][0] == 200
    second = dispatcher.client(id_="r2")
    assert end.take() == ["r2"]
    end.pipe.send(HEAD + line("r1", state="done", result="again") + b"0\r\n\r\n")
    dispatcher.settle()
    assert not end.pipe.open
    assert not second.answers()
    assert any("reason=a line is not about" in text for text in dispatcher.logged)


@pytest.mark.parametrize("endless", [b"x" * 4000, line("r1", state="running", share=0.5), b"1\r\n\n\r\n"])
def test_endless_response_ends_at_the_length_limit_or_the_deadline(endless):
    dispatcher = InMemoryDispatcher(workers=1)
    client = dispatcher.client(path="/unsafe/a", wait=2000)
    end = dispatcher.dials[0].up()
    end.take()
    end.pipe.send(HEAD)
    for _ in range(200):
        if end.pipe.open:
            end.pipe.send(b"fa0\r\n%s\r\n" % endless if endless[:1] == b"x" else endless)
        dispatcher.advance(11.0)
    assert not end.pipe.open
    assert client.answers()[0][0] == 502


def test_drain_while_a_durable_attempt_waits_for_its_claim_writes_nothing():
    class Claiming:
        def __init__(self):
            self.go = None

        def claim(self, _leg, go):
            self.go = go

        def may_write(self, _leg):
            return True

        def attempt_ended(self, attempt):
            pass

        def finish(self, job, answer):
            job.on_answer(answer)

    dispatcher = InMemoryDispatcher(workers=1)
    claiming = Claiming()
    dispatcher.exchange.attach_durable_requests(claiming)
    front = dispatcher.listener.front
    submit = dispatcher.exchange.submit
    dispatcher.exchange.submit = lambda request, answer, **more: submit(request, answer, durable=True, **more)
    assert front is not None
    dispatcher.client()
    dispatcher.tell((1, "DRAINING"))
    claiming.go(True)
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
    end.pipe.send(HEAD + line("r1", state="started") + tail)
    dispatcher.settle()
    assert client.answers()[0][0] == 502
    assert not end.pipe.open
    assert dispatcher.exchange.metrics.malformed_responses == 1
    assert "exchange: malformed response " in dispatcher.logged[-1]


@pytest.mark.parametrize(
    ("faults", "failed"),
    [
        ([errno.EMFILE, errno.ENFILE], []),
        ([errno.ECONNREFUSED], ["refused"]),
        ([errno.EMFILE, errno.EHOSTUNREACH], ["refused"]),
    ],
)
def test_dial_without_free_descriptors_is_retried_without_a_failure(faults, failed, monkeypatch):
    """Such a dial once counted as refused by the worker, which was ejected."""
    loop, calls, heard = asyncio.new_event_loop(), [], []

    async def connect(_factory, *address):
        calls.append(address)
        if len(calls) <= len(faults):
            raise OSError(faults[len(calls) - 1], "no")

    monkeypatch.setattr(loop, "create_connection", connect)
    driver = Driver(loop, lambda: 1e6)
    task = driver.dial(asyncio.BufferedProtocol(), ("127.0.0.1", 9), lambda: heard.append("refused"))
    loop.run_until_complete(task)
    loop.close()
    assert heard == failed
    assert len(calls) == len(faults) + (not failed)


def test_dial_waiting_for_a_descriptor_can_be_cancelled(monkeypatch):
    loop, heard = asyncio.new_event_loop(), []

    async def connect(_factory, *_address):
        raise OSError(errno.EMFILE, "no")

    monkeypatch.setattr(loop, "create_connection", connect)
    driver = Driver(loop, lambda: 1e6)
    task = driver.dial(asyncio.BufferedProtocol(), ("127.0.0.1", 9), lambda: heard.append(1))
    loop.call_soon(loop.call_soon, task.cancel)
    with pytest.raises(asyncio.CancelledError):
        loop.run_until_complete(task)
    loop.close()
    assert not heard


def may_hedge(dispatcher, id_="r1"):
    """Return a client whose first attempt has started and is silent, with a hedged attempt being dialled."""
    client = dispatcher.client(id_=id_)
    first = dispatcher.dials[0].up()
    first.take()
    first.say({"id": id_, "from": "w", "state": "started"})
    while not dispatcher.dials:
        dispatcher.advance(20.0)
    return client, first


@pytest.mark.parametrize("fault", ["refused", "reset", "500", "handed back"])
def test_failure_of_a_hedged_attempt_leaves_the_first_attempt_open(fault):
    dispatcher = InMemoryDispatcher(
        replace(SITE, hedging_allowed=True, progress_interval_ms=100.0), workers=2
    )
    client, first = may_hedge(dispatcher)
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
    client, first = may_hedge(dispatcher)
    second = dispatcher.dials[0].up()
    second.take()
    first.pipe.break_off()
    second.pipe.break_off()
    dispatcher.settle()
    dispatcher.advance(6000.0)
    assert [status for status, *_ in client.answers()] == [503], "safe, so that a rejection does no harm"
    assert not dispatcher.exchange.pending_request_count


@pytest.mark.parametrize("path", ["/safe/a", "/unsafe/a", "/keyed/a"])
@pytest.mark.parametrize("fault", ["refused", "handed back", "500", "reset"])
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
    ran = fault in ("500", "reset")
    assert status == (502 if path == "/unsafe/a" and ran else 503)
    came = sum(len(end.came) for end in dispatcher.ends)
    assert came <= (1 if path == "/unsafe/a" and ran else SITE.max_attempts)
    assert not dispatcher.exchange.pending_request_count


@pytest.mark.parametrize("path", ["/safe/a", "/keyed/a", "/unsafe/a"])
@pytest.mark.parametrize("how", ["closes", "resets", "forgets"])
@pytest.mark.parametrize("quiet", [10.0, 5000.0])
def test_idle_connection_closed_by_the_worker_costs_no_response(path, how, quiet):
    """A closed or reset one is not reused; one the worker has forgotten is reset by the next request."""
    dispatcher = InMemoryDispatcher(workers=1)
    first = dispatcher.client(path=path, Idempotency_Key="k1")
    kept = dispatcher.dials[0].up()
    kept.finish()
    assert first.answers()[0][0] == 200
    dispatcher.advance(quiet)
    if how == "closes":
        kept.connection.eof_received()
    elif how == "resets":
        kept.pipe.break_off()
    client = dispatcher.client(path=path, id_="r2", Idempotency_Key="k2")
    if how == "forgets":
        assert kept.take() == ["r2"]
        kept.pipe.break_off()
        dispatcher.settle()
        dispatcher.advance(250.0)
    else:
        assert "r2" not in kept.came
    if how == "forgets" and path == "/unsafe/a":
        assert [status for status, *_ in client.answers()] == [502], "it may have run"
        return
    [dial] = dispatcher.dials
    dial.up().finish()
    assert [status for status, *_ in client.answers()] == [200]
