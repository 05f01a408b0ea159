"""Bans hold from the yes until enable, whatever the list says and whichever process runs."""

import json

import pytest
from support.console import Console
from support.memory_dispatcher import Client

from eiderfield.interface import EndpointState


def state(dispatcher, worker):
    return dispatcher.exchange.endpoints.states[dispatcher.ids.find_worker(f"w{worker}")]


def sent_to(dispatcher):
    return {dial.address[1] for dial in dispatcher.dials}


def ask(console, call, worker="w1"):
    status, _ = console.call(f"/-/workers/{worker}/{call}", "POST")
    console.dispatcher.settle()
    return status


@pytest.mark.parametrize("news", ["nothing", "change", "whole list", "gone and back", "drain and back"])
def test_a_ban_holds_whatever_the_list_says_until_one_call_back(news):
    console = Console(workers=2)
    dispatcher = console.dispatcher
    assert [ask(console, "disable"), ask(console, "disable")] == [200, 200]
    if news == "change":
        dispatcher.tell((1, "SERVING"))
    elif news == "whole list":
        dispatcher.tell((1, "SERVING"), (2, "SERVING"), snapshot=True)
    elif news == "gone and back":
        dispatcher.tell((2, "SERVING"), snapshot=True)
        dispatcher.tell((1, "SERVING"))
    elif news == "drain and back":
        dispatcher.tell((1, "DRAINING"))
        dispatcher.tell((1, "SERVING"))
    assert state(dispatcher, 1) == EndpointState.DRAINING
    assert console.figures()["hosts_down"] == 1
    for n in range(4):
        dispatcher.client(path="/safe", id_=f"r{n}")
    assert sent_to(dispatcher) == {2}
    assert [ask(console, "enable"), ask(console, "enable")] == [200, 200]
    assert state(dispatcher, 1) == EndpointState.READY
    assert console.figures()["hosts_down"] == 0


def test_what_was_about_to_be_sent_to_a_banned_worker_goes_elsewhere():
    console = Console(workers=2)
    dispatcher = console.dispatcher
    client = dispatcher.client()
    [dial] = dispatcher.dials
    ask(console, "disable", f"w{dial.address[1]}")
    end = dial.up()
    assert not end.take(), "begun after the yes"
    [other] = dispatcher.dials
    assert other.address != dial.address
    other.up().finish()
    assert client.answers()[0][0] == 200


def test_a_job_that_runs_at_a_banned_worker_may_end_there():
    console = Console(workers=1)
    client, end = console.dispatcher.client(), console.dispatcher.dials[0].up()
    ask(console, "disable")
    end.finish()
    assert client.answers()[0][0] == 200


def test_enable_gives_back_what_discovery_last_said():
    console = Console(workers=2)
    ask(console, "disable")
    console.dispatcher.tell((1, "DELETED"))
    ask(console, "enable")
    assert state(console.dispatcher, 1) == EndpointState.GONE
    console.dispatcher.tell((1, "SERVING"))
    assert state(console.dispatcher, 1) == EndpointState.READY


@pytest.mark.parametrize("told", [False, True])
def test_a_worker_given_back_is_cold_unless_discovery_has_told_of_its_start(told):
    """It is restarted while it is banned, and discovery tells of that seconds late."""
    console = Console(workers=2)
    dispatcher = console.dispatcher
    ask(console, "disable")
    dispatcher.advance(100.0)
    started = dispatcher.now
    if told:
        dispatcher.tell((1, "SERVING"), since=started)
    dispatcher.advance(3000.0)
    ask(console, "enable")
    worker = dispatcher.exchange.dispatcher.workers[dispatcher.ids.find_worker("w1")]
    assert worker.entry.ready_at == (started if told else dispatcher.now)
    dispatcher.tell((1, "SERVING"), since=started if told else 0)  # what was told already, once more
    assert worker.entry.ready_at >= started
    dispatcher.tell((1, "SERVING"), since=started)
    assert worker.entry.ready_at == started


def test_only_what_was_ever_listed_can_be_banned():
    console = Console(workers=2)
    assert ask(console, "disable", "w9") == 404
    assert ask(console, "enable", "w9") == 404
    console.dispatcher.tell((2, "DELETED"))
    assert ask(console, "disable", "w2") == 200, "it was listed once"
    assert console.call("/-/workers/w1/disable")[0] == 405
    assert console.call("/-/workers/w1/restart", "POST")[0] == 404


def test_names_may_be_written_in_percents():
    console = Console(workers=1)
    assert ask(console, "disable", "%77%31") == 200
    assert state(console.dispatcher, 1) == EndpointState.DRAINING


def test_bans_outlive_the_process(tmp_path):
    first = Console(bans=tmp_path / "bans")
    ask(first, "disable")
    second = Console(bans=tmp_path / "bans")
    assert state(second.dispatcher, 1) == EndpointState.DRAINING
    ask(second, "enable")
    assert state(Console(bans=tmp_path / "bans").dispatcher, 1) == EndpointState.READY
    assert [file.name for file in tmp_path.iterdir()] == ["bans"], "no draft stays behind"


@pytest.mark.parametrize(
    "text", ["", "{", '{"banned": {"w1"', '{"banned": ["w1"]}', '{"banned": {"w1": "x"}}', "[" * 9999]
)
def test_a_torn_file_stops_nothing(tmp_path, text):
    (tmp_path / "bans").write_text(text)
    console = Console(bans=tmp_path / "bans")
    assert "file ignored" in console.dispatcher.logged[0]
    assert state(console.dispatcher, 1) == EndpointState.READY
    assert ask(console, "disable") == 200
    assert json.loads((tmp_path / "bans").read_text())["banned"].keys() == {"w1"}


def test_a_ban_that_cannot_be_written_is_in_force_and_says_so(tmp_path):
    console = Console(bans=tmp_path / "none" / "bans")
    assert ask(console, "disable") == 500
    assert state(console.dispatcher, 1) == EndpointState.DRAINING


def test_a_caller_that_goes_away_leaves_the_console_working():
    console = Console()
    caller = Client(console.dispatcher, console.listener)
    caller.send(b"POST /-/workers/w1/disa")
    caller.pipe.break_off()
    assert state(console.dispatcher, 1) == EndpointState.READY
    assert ask(console, "disable") == 200
