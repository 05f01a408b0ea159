"""Operators' bans: from `disable` to `enable`, across lists of discovery and across processes."""

import json

import pytest
from support.console import Console
from support.memory_dispatcher import Client

from eiderfield.interface import EndpointState


def endpoint_state(dispatcher, worker):
    return dispatcher.exchange.endpoints.states[dispatcher.ids.find_worker(f"w{worker}")]


def dialed_ports(dispatcher):
    return {dial.address[1] for dial in dispatcher.dials}


def call_console(console, call, worker="w1"):
    status, _ = console.call(f"/-/workers/{worker}/{call}", "POST")
    console.dispatcher.settle()
    return status


@pytest.mark.parametrize("update", ["nothing", "change", "whole list", "gone and back", "drain and back"])
def test_ban_holds_through_list_updates_until_enable(update):
    console = Console(workers=2)
    dispatcher = console.dispatcher
    assert [call_console(console, "disable"), call_console(console, "disable")] == [200, 200]
    if update == "change":
        dispatcher.tell((1, "SERVING"))
    elif update == "whole list":
        dispatcher.tell((1, "SERVING"), (2, "SERVING"), snapshot=True)
    elif update == "gone and back":
        dispatcher.tell((2, "SERVING"), snapshot=True)
        dispatcher.tell((1, "SERVING"))
    elif update == "drain and back":
        dispatcher.tell((1, "DRAINING"))
        dispatcher.tell((1, "SERVING"))
    assert endpoint_state(dispatcher, 1) == EndpointState.DRAINING
    assert console.figures()["hosts_down"] == 1
    for number in range(4):
        dispatcher.client(path="/safe", id_=f"r{number}")
    assert dialed_ports(dispatcher) == {2}
    assert [call_console(console, "enable"), call_console(console, "enable")] == [200, 200]
    assert endpoint_state(dispatcher, 1) == EndpointState.READY
    assert console.figures()["hosts_down"] == 0


def test_request_not_yet_sent_to_banned_worker_is_sent_to_other_worker():
    console = Console(workers=2)
    dispatcher = console.dispatcher
    client = dispatcher.client()
    [dial] = dispatcher.dials
    call_console(console, "disable", f"w{dial.address[1]}")
    end = dial.up()
    assert not end.take(), "a request was sent to the worker after its ban"
    [other_dial] = dispatcher.dials
    assert other_dial.address != dial.address
    other_dial.up().finish()
    assert client.answers()[0][0] == 200


def test_request_running_at_banned_worker_finishes_there():
    console = Console(workers=1)
    client, end = console.dispatcher.client(), console.dispatcher.dials[0].up()
    call_console(console, "disable")
    end.finish()
    assert client.answers()[0][0] == 200


def test_enable_restores_last_listed_state():
    console = Console(workers=2)
    call_console(console, "disable")
    console.dispatcher.tell((1, "DELETED"))
    call_console(console, "enable")
    assert endpoint_state(console.dispatcher, 1) == EndpointState.GONE
    console.dispatcher.tell((1, "SERVING"))
    assert endpoint_state(console.dispatcher, 1) == EndpointState.READY


@pytest.mark.parametrize("announced", [False, True])
def test_unbanned_worker_is_in_slow_start_unless_restart_was_announced(announced):
    """A worker may be restarted during its ban, which discovery announces seconds late."""
    console = Console(workers=2)
    dispatcher = console.dispatcher
    call_console(console, "disable")
    dispatcher.advance(100.0)
    started = dispatcher.now
    if announced:
        dispatcher.tell((1, "SERVING"), since=started)
    dispatcher.advance(3000.0)
    call_console(console, "enable")
    worker = dispatcher.exchange.dispatcher.workers[dispatcher.ids.find_worker("w1")]
    assert worker.entry.ready_at == (started if announced else dispatcher.now)
    dispatcher.tell((1, "SERVING"), since=started if announced else 0)  # a repeated announcement
    assert worker.entry.ready_at >= started
    dispatcher.tell((1, "SERVING"), since=started)
    assert worker.entry.ready_at == started


def test_disable_of_worker_never_listed_is_not_found():
    console = Console(workers=2)
    assert call_console(console, "disable", "w9") == 404
    assert call_console(console, "enable", "w9") == 404
    console.dispatcher.tell((2, "DELETED"))
    assert call_console(console, "disable", "w2") == 200, "a worker that was ever listed can be banned"
    assert console.call("/-/workers/w1/disable")[0] == 405
    assert console.call("/-/workers/w1/restart", "POST")[0] == 404


def test_worker_name_in_path_may_be_percent_encoded():
    console = Console(workers=1)
    assert call_console(console, "disable", "%77%31") == 200
    assert endpoint_state(console.dispatcher, 1) == EndpointState.DRAINING


def test_bans_persist_across_processes(tmp_path):
    first = Console(bans=tmp_path / "bans")
    call_console(first, "disable")
    second = Console(bans=tmp_path / "bans")
    assert endpoint_state(second.dispatcher, 1) == EndpointState.DRAINING
    call_console(second, "enable")
    assert endpoint_state(Console(bans=tmp_path / "bans").dispatcher, 1) == EndpointState.READY
    assert [file.name for file in tmp_path.iterdir()] == ["bans"], "a temporary file remains"


@pytest.mark.parametrize(
    "text", ["", "{", '{"banned": {"w1"', '{"banned": ["w1"]}', '{"banned": {"w1": "x"}}', "[" * 9999]
)
def test_malformed_file_is_ignored_and_replaced_by_next_ban(tmp_path, text):
    (tmp_path / "bans").write_text(text)
    console = Console(bans=tmp_path / "bans")
    assert "file ignored" in console.dispatcher.logged[0]
    assert endpoint_state(console.dispatcher, 1) == EndpointState.READY
    assert call_console(console, "disable") == 200
    assert json.loads((tmp_path / "bans").read_text())["banned"].keys() == {"w1"}


def test_ban_that_cannot_be_written_is_in_force_and_answered_with_error(tmp_path):
    console = Console(bans=tmp_path / "none" / "bans")
    assert call_console(console, "disable") == 500
    assert endpoint_state(console.dispatcher, 1) == EndpointState.DRAINING


def test_console_works_after_disconnect_of_caller():
    console = Console()
    caller = Client(console.dispatcher, console.listener)
    caller.send(b"POST /-/workers/w1/disa")
    caller.pipe.break_off()
    assert endpoint_state(console.dispatcher, 1) == EndpointState.READY
    assert call_console(console, "disable") == 200
