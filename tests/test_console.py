"""The console: its responses, and its figures compared with what was sent and received."""

import pytest
from support.console import CALLERS, Console
from support.memory_dispatcher import Client

from eiderfield.interface import EndpointState
from eiderfield.net.backoff import SOURCE_DIAL_TIMEOUT_MS
from eiderfield.net.clients.connection import EVICTION_GRACE_MS
from eiderfield.net.console import CALL_TIMEOUT_MS
from eiderfield.net.discovery.platform import PlatformWatch
from eiderfield.net.discovery.watch import HEARTBEAT_TIMEOUT_MS
from eiderfield.net.wheel import TICK_MS


def test_ready_returns_the_state_of_the_program():
    console = Console()
    assert console.call("/-/ready")[0] == 200
    console.ready = False
    assert console.call("/-/ready")[0] == 503


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [("GET", "/", 404), ("GET", "/-/drain", 404), ("POST", "/-/metrics", 405), ("POST", "/safe/a", 404)],
)
def test_unknown_call_is_rejected(method, path, status):
    assert Console().call(path, method)[0] == status


def test_in_time_counts_requests_served_within_the_latency_objective():
    console = Console(workers=1)
    dispatcher, objective = (
        console.dispatcher,
        console.dispatcher.exchange.settings.classes[0].latency_objective_ms,
    )
    for wait, in_time in ((objective / 2.0, 1), (2.0 * objective, 1)):
        dispatcher.client(id_=f"r{wait}")
        end = dispatcher.dials[0].up() if dispatcher.dials else dispatcher.ends[-1]
        dispatcher.advance(wait)
        end.finish()
        dispatcher.advance(5.0)
        assert console.figures()["in_time"]["safe"] == in_time
    assert console.figures()["success"]["safe"] == 2


def test_figures_count_requests_by_result_and_attempts_as_written():
    console = Console(workers=1)
    dispatcher = console.dispatcher
    zeros = {"safe": 0, "unsafe": 0, "keyed": 0}
    assert console.figures() == {
        "success": zeros,
        "busy": zeros,
        "failure": zeros,
        "backend_calls": 0,
        "inflight": 0,
        "called_off": {},
        "spoilt_answers": 0,
        "watches_reopened": {},
        "hosts_listed": 1,
        "hosts_down": 0,
        "hosts_doubted": 0,
        "entries_refused": 0,
        "hosts_banned": [],
        "in_time": zeros,
        "broken": {},
        "waits": {name: [0, 0.0, 0.0] for name in zeros},
        "connections": {
            "open": 0,
            "departed": 0,
            "discarded": 0,
            "parked": 0,
            "woken": 0,
            "expired": 0,
            "left": 0,
            "gave_way": 0,
            "lent": 0,
        },
    }
    first, end = dispatcher.client(), dispatcher.dials[0].up(stuck=True)
    assert console.figures()["backend_calls"] == 0, "its last byte is not sent yet"
    end.pipe.unstick()
    figures = console.figures()
    assert (figures["backend_calls"], figures["inflight"]) == (1, 1), (
        "counted when it is sent, not when it ends"
    )
    end.finish()
    dispatcher.client(path="/unsafe/a", id_="r2")
    end.finish("failed")
    dispatcher.tell((1, "DRAINING"))
    dispatcher.client(path="/keyed/a", id_="r3", wait=100, Idempotency_Key="k")
    dispatcher.advance(200.0)
    figures = console.figures()
    assert figures["success"] == {**zeros, "safe": 1}
    assert first.answers()[0][0] == 200
    assert figures["failure"] == {**zeros, "unsafe": 1}
    assert figures["busy"] == {**zeros, "keyed": 1}
    assert (figures["backend_calls"], figures["inflight"]) == (2, 0)


def test_hosts_down_counts_listed_workers_that_are_avoided():
    console = Console(workers=3)
    dispatcher = console.dispatcher
    dispatcher.client()
    dispatcher.dials[0].refuse()
    figures = console.figures()
    assert (figures["hosts_listed"], figures["hosts_down"]) == (3, 1)
    dispatcher.tell((1, "DELETED"), (2, "DELETED"))
    assert console.figures()["hosts_listed"] == 1
    dispatcher.tell((3, "DRAINING"))
    assert console.figures()["hosts_down"] == 1
    dispatcher.tell((1, "SERVING"), (3, "SERVING"), snapshot=True)
    assert console.figures()["hosts_listed"] == 2
    assert EndpointState.READY in dispatcher.exchange.endpoints.states.values()


def test_hosts_down_after_an_ejection_has_ended_does_not_count_the_worker():
    console = Console(workers=1)
    console.dispatcher.client(wait=100)
    console.dispatcher.dials[0].refuse()
    assert console.figures()["hosts_down"] == 1
    console.dispatcher.now += 10_000.0
    assert console.figures()["hosts_down"] == 0


def test_callers_with_incomplete_calls_do_not_block_others():
    console = Console()
    callers = [Client(console.dispatcher, console.listener) for _ in range(CALLERS)]
    for caller in callers:
        caller.send(b"GET /-/re")
    console.dispatcher.advance(EVICTION_GRACE_MS)
    assert console.listener.ensure_capacity()
    assert console.call("/-/ready")[0] == 200
    console.dispatcher.advance(CALL_TIMEOUT_MS + 2 * TICK_MS)
    assert all(not caller.pipe.open or caller.pipe.ended for caller in callers)


def test_figures_count_cancelled_attempts_and_malformed_responses_by_reason():
    console = Console(workers=1)
    dispatcher = console.dispatcher
    client, end = dispatcher.client(), dispatcher.dials[0].up()
    client.pipe.break_off()
    dispatcher.settle()
    dispatcher.advance(1000.0)
    dispatcher.client(path="/unsafe/a", id_="r2", wait=100)
    end = dispatcher.dials[0].up()
    end.take()
    dispatcher.advance(200.0)
    figures = console.figures()
    assert figures["called_off"] == {"nobody waits": 1, "decided": 1}
    assert figures["connections"]["departed"] == 1
    dispatcher.advance(1000.0)
    dispatcher.client(path="/unsafe/a", id_="r3")
    end = dispatcher.dials[0].up()
    end.take()
    end.say({"id": "another", "state": "done", "result": "x"})
    assert console.figures()["spoilt_answers"] == 1
    assert any("reason=a line is not about this" in line for line in dispatcher.logged)


def test_figures_count_reopened_watches_by_reason():
    console = Console(workers=1)
    dispatcher = console.dispatcher
    watcher = PlatformWatch(
        dispatcher.table,
        dispatcher.wheel,
        dispatcher.clock,
        dispatcher.dial,
        ("127.0.0.1", 8500),
        dispatcher.logged.append,
    )
    watcher.start()
    dispatcher.dials[0].refuse()
    dispatcher.advance(1000.0)
    dispatcher.dials[0].up().pipe.break_off()
    dispatcher.advance(1000.0)
    dispatcher.dials[0].up().pipe.send(b"nonsense\r\n\r\n")
    dispatcher.advance(1000.0)
    dispatcher.dials[0].up()
    dispatcher.advance(HEARTBEAT_TIMEOUT_MS + 10.0)
    dispatcher.advance(SOURCE_DIAL_TIMEOUT_MS + 10.0)
    assert console.figures()["watches_reopened"] == {
        "refused": 1,
        "broken": 1,
        "malformed": 1,
        "silent": 1,
        "unreachable": 1,
    }
