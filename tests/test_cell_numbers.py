"""Cells that discovery lists by name are the same cells in every process, whatever each has seen before."""

from __future__ import annotations

from dataclasses import replace

import pytest
from support.durable_process import DurableProcess
from support.handover import Pair
from support.memory_dispatcher import SITE
from support.policy import KEYED

from eiderfield.durable_requests.record import AttemptRecord
from eiderfield.exchange.request import Request
from eiderfield.idmap import FIRST_NAMED_CELL, IdMap
from eiderfield.interface import Scope

CELLULAR = replace(SITE, classes=(replace(KEYED, scope=Scope.CELL, repeat_window_ms=7500.0),))
CELL_OF_PORT = {10: "pod-a", 11: "pod-a", 20: "pod-b", 21: "pod-b", 30: "pod-c", 31: "pod-c"}
OLD_NUMBERS = {"pod-b": 0, "pod-c": 1, "pod-a": 2}  # by an earlier revision that saw pod-a last


def list_workers(dispatcher, index, *cells):
    """Apply a list of all workers in these cells."""
    endpoints = [
        {"name": f"w{port}", "address": f"127.0.0.1:{port}", "status": "SERVING", "group": cell}
        for cell in cells
        for port, cell_of_port in CELL_OF_PORT.items()
        if cell_of_port == cell
    ]
    dispatcher.table.load({"index": index, "snapshot": True, "endpoints": endpoints})
    dispatcher.settle()


@pytest.fixture
def processes(tmp_path):
    """A process that has seen pod-a last, and one that has seen it first."""
    first, successor = (
        DurableProcess(tmp_path / "custody", name, workers=0, site=CELLULAR) for name in ("a", "b")
    )
    list_workers(first.dispatcher, 10, "pod-b", "pod-c")
    list_workers(first.dispatcher, 11, "pod-b", "pod-c", "pod-a")
    list_workers(successor.dispatcher, 11, "pod-a", "pod-b", "pod-c")
    yield first, successor
    for process in (first, successor):
        process.close()


def send(process, count):
    """Send keyed requests to workers. Return the worker's port of each, by id."""
    submit(process, count)
    return ports_of_attempts(process)


def submit(process, count):
    """Submit keyed requests for clients that wait, also for those of a lost process that come back."""
    deadline = process.dispatcher.now + 5000.0
    for number in range(count):
        request = Request(f"j{number}", 0, deadline, "/keyed/x", idempotency_key=f"k{number}")
        process.coordinator.intake.accept(request, lambda _answer: None)


def ports_of_attempts(process):
    ports = {}
    process.run(20.0)
    while process.dispatcher.dials:
        end = process.dispatcher.dials[0].up()
        process.run(20.0)
        ports.update(dict.fromkeys(end.take(), end.worker))
    return ports


def test_keyed_requests_of_a_lost_dispatcher_stay_in_their_cells(processes):
    """Regression: a successor sent them to other cells, which had not seen their keys and ran them again."""
    first, successor = processes
    sent = send(first, 3)
    assert len(sent) == 3
    successor.fence("a.1")
    submit(successor, 3)
    repeated = ports_of_attempts(successor)
    assert repeated.keys() == sent.keys()
    for id_, port in repeated.items():
        assert CELL_OF_PORT[port] == CELL_OF_PORT[sent[id_]], f"{id_} was sent to another cell"


def test_record_of_an_earlier_revision_stays_in_the_cell_of_its_worker(processes, monkeypatch):
    """Regression: records that earlier revisions left hold numbers that only their processes could read."""
    first, successor = processes

    def record_old_number(number, worker, zone, _cell, sent_at):
        cell = CELL_OF_PORT[int(worker.removeprefix("w"))]
        return AttemptRecord(number, worker, zone, OLD_NUMBERS[cell], sent_at)

    monkeypatch.setattr("eiderfield.durable_requests.exchange_hooks.AttemptRecord", record_old_number)
    sent = send(first, 3)
    records = [first.coordinator.member.find(id_) for id_ in sent]
    assert {attempt.cell for record in records for attempt in record.attempts} <= set(OLD_NUMBERS.values())
    monkeypatch.undo()
    successor.fence("a.1")
    submit(successor, 3)
    repeated = ports_of_attempts(successor)
    assert repeated.keys() == sent.keys()
    assert all(CELL_OF_PORT[port] == CELL_OF_PORT[sent[id_]] for id_, port in repeated.items())


def test_record_of_an_earlier_revision_is_not_repeated_without_its_worker(processes, monkeypatch):
    """Regression: with the worker gone, the number alone may name any cell of the successor."""
    first, successor = processes
    monkeypatch.setattr(first.dispatcher.ids, "cell", OLD_NUMBERS.__getitem__)
    list_workers(first.dispatcher, 12, "pod-c")
    sent = send(first, 2)
    list_workers(successor.dispatcher, 12, "pod-a", "pod-b")
    successor.dispatcher.table.load(
        {
            "index": 13,
            "snapshot": False,
            "endpoints": [{"name": f"w{port}", "status": "DELETED"} for port in (30, 31)],
        }
    )
    successor.fence("a.1")
    submit(successor, 2)
    assert len(sent) == 2
    assert ports_of_attempts(successor) == {}


def test_new_process_knows_the_cells_of_the_old_one_by_name():
    """Regression: a handover passed numbers, and the next list then moved every worker to another cell."""
    pair = Pair()
    try:
        old, new = pair.old.dispatcher, pair.new.dispatcher
        list_workers(old, 10, "pod-b", "pod-c")
        list_workers(old, 11, "pod-b", "pod-c", "pod-a")
        new.ids.cell("pod-a")
        pair.go()
        cells = {name: new.exchange.endpoints.endpoint(new.ids.worker(name)).cell for name in ("w10", "w20")}
        list_workers(new, 12, "pod-a", "pod-b", "pod-c")
        for name, cell in cells.items():
            assert new.exchange.endpoints.endpoint(new.ids.worker(name)).cell == cell
    finally:
        pair.close()


def test_named_cell_has_one_number_that_no_numbered_cell_has():
    ids, other = IdMap(), IdMap()
    other.cell("pod-b")
    assert ids.cell("pod-a") == other.cell("pod-a") != other.cell("pod-b")
    assert ids.cell("3") != 3
    assert IdMap.is_named_cell(ids.cell(""))
    assert not IdMap.is_named_cell(FIRST_NAMED_CELL - 1)
    assert ids.cell_label(ids.cell("pod-a")) == "pod-a"
    assert ids.cell_label(3) == 3
