"""Load reports of workers: where they are read, and how malformed ones are treated."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from support.deployments import DEPLOYMENTS
from support.memory_dispatcher import InMemoryDispatcher
from support.policy import BASE, Node, sends

from eiderfield.interface import AttemptEnded, Endpoint, EndpointListKind, EndpointsUpdated, Outcome
from eiderfield.net.reports import parse_report_body, parse_text_report, report_from_mapping
from eiderfield.policy.dispatcher import Dispatcher

FIELDS = ("active", "rps", "x0")
NAN = math.nan


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("TEXT active=7, rps=2, x0=0.61", (7.0, 2.0, 0.61)),
        ("TEXT x0=3", (NAN, NAN, 3.0)),
        ("TEXT x0=3, x0=4, other=9", (NAN, NAN, 4.0)),
        ("x0 = 3 ,active=-1", (NAN, NAN, 3.0)),
        ("TEXT x0=many", ()),
        ("TEXT x0=inf", ()),
        ("TEXT x0=1e300", ()),
        ("", ()),
        ("TEXT", ()),
    ],
)
def test_from_text_returns_the_figures(text, expected):
    assert repr(parse_text_report(text, FIELDS)) == repr(expected)


@pytest.mark.parametrize(
    ("parsed", "expected"),
    [
        ({"active": 1, "rps": 2.5, "x0": 3}, (1.0, 2.5, 3.0)),
        ({"x0": True, "rps": "2"}, ()),
        ({"x0": None, "active": 4}, (4.0, NAN, NAN)),
        ([1, 2, 3], ()),
        (None, ()),
    ],
)
def test_from_object_returns_the_figures(parsed, expected):
    assert repr(report_from_mapping(parsed, FIELDS)) == repr(expected)


@hypothesis_settings(derandomize=True, database=None, deadline=None)
@given(st.binary(max_size=200))
def test_from_body_of_random_bytes_returns_only_valid_figures(body):
    for value in parse_report_body(body, FIELDS):
        assert math.isnan(value) or 0.0 <= value <= 1e6


def received_load_reports(monkeypatch, respond):
    """Return the load reports that the policy receives with the ends of attempts."""
    loads = []
    real = Dispatcher._attempt_ended

    def record_load_report(module, event, now):
        loads.append(event.load_report)
        return real(module, event, now)

    monkeypatch.setattr(Dispatcher, "_attempt_ended", record_load_report)
    dispatcher = InMemoryDispatcher(DEPLOYMENTS["admissions"])
    dispatcher.client(path="/safe")
    end = dispatcher.dials[0].up()
    respond(end, end.take()[0])
    return loads


def test_load_report_of_every_kind_of_end_reaches_the_policy(monkeypatch):
    load = {"active": 2, "rps": 1, "x0": 3}
    for state in ("done", "failed", "returned", "lost"):
        more = {"result": "r"} if state == "done" else {}
        line = {"from": "w", "state": state, "load": load, **more}
        received = received_load_reports(
            monkeypatch, lambda end, id_, line=line: end.say({"id": id_, **line}, end=True)
        )
        assert received[0] == (2, 1, 3)
    text = "TEXT active=2, rps=1, x0=3"
    received = received_load_reports(
        monkeypatch, lambda end, _id: end.status(503, X_Not_Run="1", X_Load=text)
    )
    assert received[0] == (2, 1, 3)


def test_malformed_load_report_leaves_its_response_valid(monkeypatch):
    line = {"from": "w", "state": "done", "result": "r", "load": {"x0": "all"}}
    assert received_load_reports(monkeypatch, lambda end, id_: end.say({"id": id_, **line}, end=True)) == [()]


def ended(node, id_, worker, load, outcome=Outcome.OK):
    return node.play(AttemptEnded(id_, 0, worker, outcome, 1.0, outcome == Outcome.OK, load_report=load))


def test_load_report_without_free_slots_changes_nothing():
    node = Node(replace(BASE, load_report_fields=FIELDS), workers=1)
    id_, _ = node.arrive()
    ended(node, id_, 1, (3.0, 1.0, NAN))
    assert node.dispatcher.workers[1].reported_at == -math.inf
    assert dict(node.dispatcher.learned_state().slots)[0] == 2.0


def test_free_slots_reported_by_a_full_worker_are_ignored():
    node = Node(replace(BASE, load_report_fields=FIELDS), workers=1)
    id_, _ = node.arrive()
    ended(node, id_, 1, (0.0, 0.0, 5.0), Outcome.FULL)
    assert not sends(node.arrive()[1]), "the worker has just answered 'full'"


def test_restarted_worker_loses_old_reports_and_errors():
    node = Node(replace(BASE, load_report_fields=FIELDS, slow_start_window_ms=0.0), workers=1)
    worker = node.dispatcher.workers[1]
    node.now = 100.0
    id_, _ = node.arrive()
    ended(node, id_, 1, (0.0, 0.0, 0.0))
    worker.error_score = 3.0
    worker.eject(node.now, failing=True)
    node.play(EndpointsUpdated(EndpointListKind.DELTA, 2, (Endpoint(1, ready_at=node.now),)))
    assert worker.reported_at == -math.inf
    assert not worker.failing
    assert not worker.error_score
    assert sends(node.arrive()[1])
