"""Parsing of the platform's list of workers: strict for configured lists, by entry for received ones."""

import pytest
from support.memory_dispatcher import InMemoryDispatcher

from eiderfield.net.discovery.endpoint_list import (
    EndpointList,
    EndpointListError,
    EndpointStatus,
    ListedEndpoint,
    RefusedEntry,
    parse_endpoint_list,
    parse_received_list,
)

WORKER = {
    "name": "s-5be2a07c",
    "address": "10.1.0.18:8080",
    "zone": "a",
    "type": "m2",
    "group": 3,
    "status": "SERVING",
    "weight": 1.5,
    "since_ms": 12,
}


def document(**changes):
    endpoint = {key: value for key, value in {**WORKER, **changes}.items() if value is not None}
    return {"index": 41, "snapshot": True, "endpoints": [endpoint]}


def test_list_with_all_fields_is_parsed():
    address = ("10.1.0.18", 8080)
    endpoint = ListedEndpoint(
        "s-5be2a07c", EndpointStatus.SERVING, address, "a", "m2", 3, weight=1.5, since_ms=12.0
    )
    assert parse_endpoint_list(document()) == EndpointList(41, True, (endpoint,))


def test_missing_optional_fields_have_defaults():
    minimal = {"index": 2, "endpoints": [{"name": "w", "status": "DRAINING", "address": "h:1"}]}
    assert parse_endpoint_list(minimal) == EndpointList(
        2, False, (ListedEndpoint("w", EndpointStatus.DRAINING, ("h", 1)),)
    )


def test_deleted_endpoint_needs_no_address():
    [endpoint] = parse_endpoint_list(document(status="DELETED", address=None)).endpoints
    assert endpoint.status is EndpointStatus.DELETED
    assert endpoint.address is None


@pytest.mark.parametrize(
    ("changes", "message"),
    [
        ({"name": ""}, "no name"),
        ({"status": "RESTING"}, "unknown status 'RESTING'"),
        ({"status": ["SERVING"]}, "unknown status"),
        ({"address": "nowhere"}, "endpoint s-5be2a07c: address"),
        ({"weight": "heavy"}, "weight is not a number"),
        ({"since_ms": True}, "since_ms is not a number"),
        ({"since_ms": float("inf")}, "since_ms is not a number"),
    ],
)
def test_error_names_faulty_field(changes, message):
    with pytest.raises(EndpointListError, match=message):
        parse_endpoint_list(document(**changes))


@pytest.mark.parametrize(
    "faulty",
    [
        None,
        [],
        {"endpoints": []},
        {"index": True, "endpoints": []},
        {"index": 1, "endpoints": {}},
        {"index": 1, "endpoints": [5]},
    ],
)
def test_malformed_list_is_rejected(faulty):
    with pytest.raises(EndpointListError):
        parse_endpoint_list(faulty)


def test_list_with_one_faulty_endpoint_leaves_table_unchanged():
    dispatcher = InMemoryDispatcher(workers=2)
    before = dispatcher.table.index, dispatcher.table.listed_workers, dispatcher.table.ready_workers
    faulty = {"index": 9, "snapshot": True, "endpoints": [{**WORKER}, {**WORKER, "name": "x", "status": 1}]}
    with pytest.raises(EndpointListError):
        dispatcher.table.load(faulty)
    assert (dispatcher.table.index, dispatcher.table.listed_workers, dispatcher.table.ready_workers) == before


@pytest.mark.parametrize(
    ("changes", "status", "problem"),
    [
        ({"status": "RESTING"}, None, "endpoint x: unknown status 'RESTING'"),
        ({"address": 5, "status": "DRAINING"}, EndpointStatus.DRAINING, "endpoint x: address"),
        ({"weight": "heavy"}, EndpointStatus.SERVING, "endpoint x: weight is not a number"),
    ],
)
def test_malformed_entry_of_received_list_is_refused_alone(changes, status, problem):
    entries = [{**WORKER}, {**WORKER, "name": "x", **changes}]
    received = parse_received_list({"index": 9, "snapshot": True, "endpoints": entries})
    assert [endpoint.name for endpoint in received.endpoints] == [WORKER["name"]]
    [refused] = received.refused
    assert refused == RefusedEntry("x", status, refused.problem)
    assert refused.problem.startswith(problem)


@pytest.mark.parametrize("entries", [[5], [{}], [{"name": 5}, "x"]])
def test_received_list_without_any_name_is_malformed(entries):
    with pytest.raises(EndpointListError):
        parse_received_list({"index": 9, "snapshot": True, "endpoints": entries})
