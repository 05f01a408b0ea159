"""The parts of the exchange, each by itself."""

from math import e, exp

import pytest
from support.memory_dispatcher import InMemoryDispatcher

from eiderfield.exchange.endpoint_table import EndpointTable
from eiderfield.exchange.errors import RequestIdInUseError
from eiderfield.exchange.event_queue import EventQueue
from eiderfield.exchange.metrics import Metrics, ResponseTimes
from eiderfield.exchange.other_process import OtherProcessState
from eiderfield.exchange.request import Request
from eiderfield.interface import (
    Endpoint,
    EndpointListKind,
    EndpointState,
    EndpointsUpdated,
    SiblingReportReceived,
    TimerFired,
)

READY, DRAINING, GONE = EndpointState.READY, EndpointState.DRAINING, EndpointState.GONE


def ignore_answer(answer):
    """Takes an answer that the test does not look at."""


@pytest.fixture
def woken():
    return []


@pytest.fixture
def events(woken):
    return EventQueue(lambda: woken.append(True))


@pytest.fixture
def endpoints():
    table = EndpointTable()
    table.update(EndpointListKind.FULL, [Endpoint(1, state=READY), Endpoint(2, state=DRAINING)])
    return table


def test_response_times_are_summed_as_logarithms():
    times = ResponseTimes()
    times.record(e)
    times.record(exp(3.0))
    assert times.count == 2
    assert times.sum == pytest.approx(4.0)
    assert times.sum_of_squares == pytest.approx(10.0)


def test_a_response_time_below_a_millisecond_counts_as_one():
    times = ResponseTimes()
    times.record(0.2)
    assert (times.count, times.sum) == (1, 0.0)


def test_a_class_that_served_nothing_has_empty_sums():
    assert Metrics().response_time_sums(0) == (0, 0.0, 0.0)


def test_an_event_wakes_the_event_loop(events, woken):
    events.post(TimerFired(1))
    assert woken == [True]


def test_changes_of_the_endpoint_list_precede_all_other_events(events):
    events.post(TimerFired(1))
    events.post_endpoint_update(EndpointsUpdated(EndpointListKind.DELTA, 1, ()))
    assert [type(event) for event in events.pending()] == [EndpointsUpdated, TimerFired]


def test_events_are_taken_once(events):
    events.post(TimerFired(1))
    assert events.take_all() == [TimerFired(1)]
    assert events.take_all() == []


def test_a_whole_list_removes_the_workers_that_it_leaves_out(endpoints):
    endpoints.update(EndpointListKind.FULL, [Endpoint(2, state=READY)])
    assert endpoints.states == {1: GONE, 2: READY}


def test_a_change_of_the_list_keeps_the_workers_that_it_leaves_out(endpoints):
    endpoints.update(EndpointListKind.DELTA, [Endpoint(2, state=GONE)])
    assert endpoints.states == {1: READY, 2: GONE}


def test_a_list_of_draining_workers_has_none_that_is_ready(endpoints):
    assert endpoints.any_ready
    endpoints.update(EndpointListKind.DELTA, [Endpoint(1, state=DRAINING)])
    assert not endpoints.any_ready


def test_a_worker_that_was_never_listed_is_gone(endpoints):
    assert endpoints.endpoint(1).state == READY
    assert endpoints.endpoint(9).state == GONE


def test_the_attempts_of_the_other_process_end_with_it(events):
    other_process = OtherProcessState(events)
    other_process.update_request_ids(["a", "b"], [])
    other_process.update_attempts(1, 2, 5.0)
    events.take_all()
    other_process.detach()
    assert other_process.request_ids == set()
    assert events.take_all() == [SiblingReportReceived(1, 0, 0.0)]


def test_an_id_that_the_other_process_released_is_free(events):
    other_process = OtherProcessState(events)
    other_process.update_request_ids(["a", "b"], [])
    other_process.update_request_ids([], ["a"])
    assert other_process.request_ids == {"b"}


def test_an_id_in_use_is_refused_by_an_error_that_names_it():
    exchange = InMemoryDispatcher().exchange
    request = Request("r1", 0, InMemoryDispatcher.START + 100.0, "/safe/k1")
    exchange.submit(request, ignore_answer)
    with pytest.raises(RequestIdInUseError) as refused:
        exchange.submit(request, ignore_answer)
    assert refused.value.id == "r1"


def test_an_id_in_use_by_the_other_process_is_refused():
    exchange = InMemoryDispatcher().exchange
    exchange.other_process.update_request_ids(["r1"], [])
    with pytest.raises(RequestIdInUseError):
        exchange.submit(Request("r1", 0, InMemoryDispatcher.START + 100.0, "/safe/k1"), ignore_answer)
