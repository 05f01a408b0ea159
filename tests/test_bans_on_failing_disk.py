"""Bans on a disk that fails temporarily, writes partially or is slow.

A call succeeds only if the ban is in the file, and no ban is lost.
"""

import json
import threading

import pytest
from support.console import Console
from support.failing_files import ERRORS, failing_files
from support.memory_dispatcher import Client
from test_bans import call_console, endpoint_state

from eiderfield.interface import EndpointState
from eiderfield.net.bans import RETRY_INTERVAL_MS, Bans
from eiderfield.net.console import CALL_TIMEOUT_MS
from eiderfield.net.file_operations import result_of, thread_runner
from eiderfield.net.table_state import RoutingTableState

# The kinds of operations that make up a write of the file.
OPERATION_KINDS = ["open", "write", "sync", "rename", "unlink"]
BAN_CALLS = [("disable", "w1"), ("disable", "w2"), ("enable", "w1"), ("disable", "w3")]


def banned_on_file(path):
    """Return the workers that a process starting now would ban; None if it would reject the file."""
    logged = []
    bans = Bans(path, logged.append)
    bans.load()
    return None if logged else set(bans.since)


@pytest.mark.parametrize("code", ERRORS, ids=["ENOSPC", "EIO"])
@pytest.mark.parametrize("kind", OPERATION_KINDS)
@pytest.mark.parametrize("first", range(1, 10))
def test_successful_answer_means_ban_is_on_file_and_failed_writes_are_retried(
    kind, first, code, tmp_path, monkeypatch
):
    """All operations of a kind fail from the `first`-th on, until the disk works again."""
    path = tmp_path / "bans"
    console = Console(workers=3, bans=path)
    in_force = set()
    with failing_files(tmp_path, monkeypatch) as faults:
        faults.fail(kind, code, first)
        for call, worker in BAN_CALLS:
            status = call_console(console, call, worker)
            in_force = in_force | {worker} if call == "disable" else in_force - {worker}
            assert set(console.dispatcher.table.bans.since) == in_force, "a ban must not depend on the disk"
            assert status in (200, 500)
            with faults.paused():
                if status == 200:
                    assert banned_on_file(path) == in_force, "success without the ban in the file"
                assert banned_on_file(path) is not None, "malformed file"
        assert faults.failed or first > len(BAN_CALLS), "a write performs no operation of this kind"
        faults.heal()
        console.dispatcher.advance(2.0 * RETRY_INTERVAL_MS)
        assert banned_on_file(path) == in_force, "not written after the disk worked again"
    assert not [line for line in console.dispatcher.logged if "file ignored" in line]


def test_successful_answer_follows_sync_of_file_and_folder(tmp_path, monkeypatch):
    console = Console(workers=2, bans=tmp_path / "bans")
    with failing_files(tmp_path, monkeypatch) as faults:
        for folder_only in (0, 1):
            faults.fail("sync", ERRORS[1], first=1 + folder_only, times=1)
            assert call_console(console, "disable", "w1") == 500
            assert faults.failed == 1
        faults.heal()
        assert call_console(console, "disable", "w1") == 200


@pytest.mark.parametrize("code", ERRORS, ids=["ENOSPC", "EIO"])
def test_partial_write_leaves_file_unchanged(code, tmp_path, monkeypatch):
    path = tmp_path / "bans"
    console = Console(workers=2, bans=path)
    assert call_console(console, "disable", "w1") == 200
    with failing_files(tmp_path, monkeypatch) as faults:
        faults.partly = True
        faults.fail("write", code)
        assert call_console(console, "disable", "w2") == 500
        assert banned_on_file(path) == {"w1"}
    assert [file.name for file in tmp_path.iterdir()] == ["bans"], "a temporary file remains"


def test_file_truncated_at_any_byte_is_ignored_and_logged(tmp_path):
    path = tmp_path / "bans"
    console = Console(workers=2, bans=path)
    call_console(console, "disable", "w1")
    call_console(console, "disable", "w2")
    content = path.read_bytes()
    for size in range(len(content)):
        path.write_bytes(content[:size])
        assert banned_on_file(path) is None
        restarted = Console(workers=2, bans=path)
        assert endpoint_state(restarted.dispatcher, 1) == EndpointState.READY
    path.write_bytes(content)
    assert banned_on_file(path) == {"w1", "w2"}


def test_retries_and_recovery_are_logged_once_each(tmp_path, monkeypatch):
    console = Console(workers=2, bans=tmp_path / "bans")
    with failing_files(tmp_path, monkeypatch) as faults:
        faults.fail("sync", ERRORS[0])
        call_console(console, "disable", "w1")
        console.dispatcher.advance(10.0 * RETRY_INTERVAL_MS)
        assert faults.failed > 5, "the write is not retried"
        assert len([line for line in console.dispatcher.logged if "file not written" in line]) == 1
        faults.heal()
        console.dispatcher.advance(2.0 * RETRY_INTERVAL_MS)
    assert len([line for line in console.dispatcher.logged if "written again" in line]) == 1


def test_ban_taken_over_is_written_by_new_process(tmp_path):
    console = Console(workers=2, bans=tmp_path / "bans")
    console.dispatcher.table.take_over(RoutingTableState(1, (), (), None), {"w2": 5.0})
    assert banned_on_file(tmp_path / "bans") == {"w2"}


def test_ban_of_other_process_is_written_here_too(tmp_path):
    console = Console(workers=2, bans=tmp_path / "bans")
    console.dispatcher.table.apply_ban("w2", 5.0)
    console.dispatcher.advance(2.0 * RETRY_INTERVAL_MS)
    assert banned_on_file(tmp_path / "bans") == {"w2"}


@pytest.mark.parametrize("code", ERRORS, ids=["ENOSPC", "EIO"])
def test_file_unreadable_at_start_is_read_later_and_not_replaced_before(code, tmp_path, monkeypatch):
    path = tmp_path / "bans"
    before = Console(workers=4, bans=path)
    for worker in ("w1", "w2"):
        assert call_console(before, "disable", worker) == 200
    with failing_files(tmp_path, monkeypatch) as faults:
        faults.fail("open", code)
        console = Console(workers=4, bans=path)
        assert endpoint_state(console.dispatcher, 1) == EndpointState.READY, (
            "an unreadable file must not prevent the start"
        )
        assert call_console(console, "enable", "w2") == 500
        assert call_console(console, "disable", "w3") == 500
        console.dispatcher.advance(5.0 * RETRY_INTERVAL_MS)
        faults.heal()
        console.dispatcher.advance(2.0 * RETRY_INTERVAL_MS)
    assert endpoint_state(console.dispatcher, 1) == EndpointState.DRAINING
    assert endpoint_state(console.dispatcher, 2) == EndpointState.READY
    assert banned_on_file(path) == {"w1", "w3"}


class ManualRunner:
    """A runner whose operations run when the test calls `finish_next`."""

    def __init__(self):
        self.operations = []

    def run(self, operation, on_done):
        self.operations.append((operation, on_done))

    def finish_next(self):
        operation, on_done = self.operations.pop(0)
        on_done(result_of(operation))


def test_ban_during_slow_write_is_answered_after_next_write(tmp_path):
    disk, results = ManualRunner(), []
    bans = Bans(tmp_path / "bans", print, run=disk.run)
    for worker in ("w1", "w2", "w3"):
        bans.since[worker] = 1.0
        bans.save(lambda written, worker=worker: results.append((worker, written)))
    assert len(disk.operations) == 1
    assert results == []
    disk.finish_next()
    assert results == [("w1", True)]
    assert banned_on_file(tmp_path / "bans") == {"w1"}
    disk.finish_next()
    assert results == [("w1", True), ("w2", True), ("w3", True)]
    assert banned_on_file(tmp_path / "bans") == {"w1", "w2", "w3"}
    assert disk.operations == []


@pytest.mark.parametrize("write_ends", ["in time", "late"])
def test_console_answers_within_timeout_during_slow_write(tmp_path, write_ends):
    """A console call must be answered within 1 s, although a sync may take longer."""
    console, disk = Console(bans=tmp_path / "bans"), ManualRunner()
    console.dispatcher.table.bans._run = disk.run
    caller = Client(console.dispatcher, console.listener)
    caller.send(b"POST /-/workers/w1/disable HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
    console.dispatcher.settle()
    assert caller.answers() == []
    if write_ends == "in time":
        disk.finish_next()
    console.dispatcher.advance(CALL_TIMEOUT_MS)
    assert [status for status, *_ in caller.answers()] == [200 if write_ends == "in time" else 500]
    if write_ends == "late":
        disk.finish_next()
        console.dispatcher.advance(CALL_TIMEOUT_MS)
    assert len(caller.answers()) == 0
    assert banned_on_file(tmp_path / "bans") == {"w1"}


def test_thread_runner_reports_result_through_loop(tmp_path):
    calls, call_received = [], threading.Event()

    def call_in_loop(call):
        calls.append(call)
        call_received.set()

    results = []
    bans = Bans(tmp_path / "bans", print, run=thread_runner(call_in_loop, "bans"))
    bans.since["w1"] = 1.0
    bans.save(results.append)
    assert call_received.wait(30.0)
    assert results == []
    calls.pop()()
    assert results == [True]
    assert json.loads((tmp_path / "bans").read_text()) == {"banned": {"w1": 1.0}}
