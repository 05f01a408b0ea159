"""Unit tests of the parts of the exchange."""

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
    """Ignore an answer."""


@pytest.fixture
def wakeups():
    return []


@pytest.fixture
def event_queue(wakeups):
    return EventQueue(lambda: wakeups.append(True))


@pytest.fixture
def endpoints():
    table = EndpointTable()
    table.update(EndpointListKind.FULL, [Endpoint(1, state=READY), Endpoint(2, state=DRAINING)])
    return table


def test_response_times_record_sums_logarithms():
    times = ResponseTimes()
    times.record(e)
    times.record(exp(3.0))
    assert times.count == 2
    assert times.sum == pytest.approx(4.0)
    assert times.sum_of_squares == pytest.approx(10.0)


def test_response_times_record_below_1_ms_counts_as_1_ms():
    times = ResponseTimes()
    times.record(0.2)
    assert (times.count, times.sum) == (1, 0.0)


def test_response_time_sums_of_a_class_without_responses_are_zero():
    assert Metrics().response_time_sums(0) == (0, 0.0, 0.0)


def test_posted_event_wakes_the_event_loop(event_queue, wakeups):
    event_queue.post(TimerFired(1))
    assert wakeups == [True]


def test_endpoint_updates_precede_all_other_events(event_queue):
    event_queue.post(TimerFired(1))
    event_queue.post_endpoint_update(EndpointsUpdated(EndpointListKind.DELTA, 1, ()))
    assert [type(event) for event in event_queue.pending()] == [EndpointsUpdated, TimerFired]


def test_take_all_removes_the_events(event_queue):
    event_queue.post(TimerFired(1))
    assert event_queue.take_all() == [TimerFired(1)]
    assert event_queue.take_all() == []


def test_full_list_sets_workers_that_it_omits_to_gone(endpoints):
    endpoints.update(EndpointListKind.FULL, [Endpoint(2, state=READY)])
    assert endpoints.states == {1: GONE, 2: READY}


def test_delta_keeps_workers_that_it_omits(endpoints):
    endpoints.update(EndpointListKind.DELTA, [Endpoint(2, state=GONE)])
    assert endpoints.states == {1: READY, 2: GONE}


def test_any_ready_with_only_draining_workers_is_false(endpoints):
    assert endpoints.any_ready
    endpoints.update(EndpointListKind.DELTA, [Endpoint(1, state=DRAINING)])
    assert not endpoints.any_ready


def test_endpoint_of_a_worker_never_listed_is_gone(endpoints):
    assert endpoints.endpoint(1).state == READY
    assert endpoints.endpoint(9).state == GONE


def test_detach_removes_the_ids_and_attempts_of_the_other_process(event_queue):
    other_process = OtherProcessState(event_queue)
    other_process.update_request_ids(["a", "b"], [])
    other_process.update_attempts(1, 2, 5.0)
    event_queue.take_all()
    other_process.detach()
    assert other_process.request_ids == set()
    assert event_queue.take_all() == [SiblingReportReceived(1, 0, 0.0)]


def test_id_released_by_the_other_process_is_not_in_use(event_queue):
    other_process = OtherProcessState(event_queue)
    other_process.update_request_ids(["a", "b"], [])
    other_process.update_request_ids([], ["a"])
    assert other_process.request_ids == {"b"}


def test_submit_with_an_id_in_use_raises_an_error_that_names_it():
    exchange = InMemoryDispatcher().exchange
    request = Request("r1", 0, InMemoryDispatcher.START + 100.0, "/safe/k1")
    exchange.submit(request, ignore_answer)
    with pytest.raises(RequestIdInUseError) as caught:
        exchange.submit(request, ignore_answer)
    assert caught.value.id == "r1"


def test_submit_with_an_id_in_use_by_the_other_process_raises_an_error():
    exchange = InMemoryDispatcher().exchange
    exchange.other_process.update_request_ids(["r1"], [])
    with pytest.raises(RequestIdInUseError):
        exchange.submit(Request("r1", 0, InMemoryDispatcher.START + 100.0, "/safe/k1"), ignore_answer)
