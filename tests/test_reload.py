"""A new configuration under load: the watch moves, the table and every job stay."""

import json
import signal
import socket

import pytest
from support.memory_dispatcher import InMemoryDispatcher
from support.processes import CONFIG, DiscoveryServer, HoldingWorker, ask, running_program

from eiderfield.config.errors import ConfigError
from eiderfield.config.loader import load
from eiderfield.interface import EndpointState
from eiderfield.lab.ports import free_port
from eiderfield.net.backoff import MAX_UNSCALED_WAIT_MS, SOURCE_DIAL_TIMEOUT_MS
from eiderfield.net.discovery.active_watch import ActiveWatch
from eiderfield.net.discovery.platform import PlatformWatch


class Moving:
    """A dispatcher that follows a source at port 8500 and may be told of others."""

    def __init__(self):
        self.dispatcher = InMemoryDispatcher(workers=1)
        self.following = ActiveWatch()
        self.move(8500, whole=False)

    def move(self, port, whole=True):
        dispatcher, address = self.dispatcher, ("127.0.0.1", port)
        watcher = PlatformWatch(
            dispatcher.table,
            dispatcher.wheel,
            dispatcher.clock,
            dispatcher.dial,
            address,
            dispatcher.logged.append,
        )
        watcher.needs_snapshot = whole
        self.following.follow(watcher)

    def dials(self, port):
        return [dial for dial in self.dispatcher.dials if dial.address[1] == port]

    def up(self, port):
        return self.dials(port)[-1].up()

    @property
    def states(self):
        return list(self.dispatcher.exchange.endpoints.states.values())


def news(status="SERVING", index=7, snapshot=True):
    endpoint = {"name": "w1", "address": "127.0.0.1:1", "status": status, "since_ms": 0}
    return {"index": index, "snapshot": snapshot, "endpoints": [endpoint]}


def test_the_old_source_is_heard_until_the_new_one_has_told_its_list():
    moving = Moving()
    client = moving.dispatcher.client()
    worker, old = moving.up(1), moving.up(8500)
    old.say(news())
    moving.move(8600)
    new = moving.up(8600)
    assert b"after" not in new.pipe.written, "another source may count on its own"
    old.say(news("DRAINING", 8, snapshot=False), head=False)
    assert old.pipe.open
    assert moving.states == [EndpointState.DRAINING]
    new.say(news("SERVING", 3))
    assert not old.pipe.open
    assert moving.states == [EndpointState.READY]
    new.pipe.break_off()
    moving.dispatcher.advance(150.0)
    assert b"after=3 " in moving.up(8600).pipe.written
    assert not moving.dials(8500)
    worker.finish()
    assert client.answers()[0][0] == 200


def test_an_old_source_that_ends_is_followed_anew_until_the_new_one_has_told_its_list():
    """It was not dialled again: with a new one that refused, nobody told of a drain any more."""
    moving = Moving()
    old = moving.up(8500)
    old.say(news())
    moving.move(8600)
    old.pipe.break_off()
    for _ in range(3):
        moving.dials(8600)[-1].refuse()
        moving.dispatcher.advance(MAX_UNSCALED_WAIT_MS)
    again = moving.up(8500)
    again.say(news("DRAINING", 8, snapshot=False))
    assert moving.states == [EndpointState.DRAINING]
    moving.up(8600).say(news("SERVING", 3))
    assert moving.states == [EndpointState.READY]
    assert not again.pipe.open
    moving.dispatcher.advance(20_000.0)
    assert not moving.dials(8500)


def test_a_dial_that_never_comes_up_is_tried_again_well_within_the_time_to_be_told():
    moving = Moving()
    first = moving.dials(8500)
    moving.dispatcher.advance(SOURCE_DIAL_TIMEOUT_MS + 150.0)
    assert first[0].cancelled
    assert len(moving.dials(8500)) == 1


@pytest.mark.parametrize("state", ["dialling", "backing off", "up", "between"])
def test_a_move_is_safe_whatever_the_feeds_do(state):
    moving = Moving()
    if state == "backing off":
        moving.dials(8500)[0].refuse()
    elif state != "dialling":
        moving.up(8500)
    if state == "between":  # the second move comes before the first has told anything
        moving.move(8550)
    moving.move(8600)
    moving.dispatcher.advance(50.0)
    assert not moving.dials(8550)
    moving.up(8600).say(news("DRAINING"))
    moving.dispatcher.advance(20_000.0)
    assert moving.states == [EndpointState.DRAINING]
    assert not moving.dials(8500)
    assert not moving.dials(8550)


@pytest.mark.parametrize("ports", [(8600, 8700, 8800), (8600, 8500), (8600, 8700, 8600), (8600, 8600)])
@pytest.mark.parametrize("between", ["dialling", "up and silent", "refused", "has told"])
def test_of_new_configurations_in_a_row_the_last_one_counts_and_the_source_in_force_is_heard(ports, between):
    """What the source in force tells before the last one has told its list binds as well."""
    moving = Moving()
    old, version = moving.up(8500), 1
    old.say(news(index=version))
    for port in ports:
        moving.move(port)
        new = moving.dials(port)[-1]
        if between == "refused":
            new.refuse()
        elif between != "dialling" and port != ports[-1]:
            end = new.up()
            if between == "has told":
                end.say(news("SERVING", 40 + port))
                old = end
    version = 9000
    if old.pipe.open:
        old.say(news("DRAINING", version, snapshot=False), head=False)
        assert moving.states == [EndpointState.DRAINING]
    while not moving.dials(ports[-1]):
        moving.dispatcher.advance(50.0)
    moving.up(ports[-1]).say(news("SERVING", 3))
    assert moving.states == [EndpointState.READY]
    moving.dispatcher.advance(1.0)
    assert not moving.dispatcher.dials
    assert sum(end.pipe.open for end in moving.dispatcher.ends) == 1


def test_a_program_that_ends_ends_both_feeds():
    moving = Moving()
    old = moving.up(8500)
    moving.move(8600)
    moving.following.stop()
    moving.dispatcher.advance(20_000.0)
    assert not old.pipe.open
    assert not moving.dials(8600)


def test_a_file_read_again_wins_over_the_environment_in_where_discovery_is(tmp_path):
    """The environment is as old as the process: heeded again, it would undo every move."""
    path = tmp_path / "config.json"
    environ = {"LB_CONFIG": str(path), "LB_DISCOVERY": "127.0.0.1:3"}
    path.write_text(json.dumps(CONFIG))
    assert load(environ).discovery.address == ("127.0.0.1", 3)
    assert load(environ, reload=True).discovery.address == ("127.0.0.1", 2)
    path.write_text(json.dumps({**CONFIG, "discovery": "nowhere"}))
    with pytest.raises(ConfigError, match=r"^discovery "):
        load(environ, reload=True)


def test_the_program_moves_on_sighup_and_keeps_the_job_that_is_out(tmp_path):
    worker = HoldingWorker()
    old, new, port, path = (
        DiscoveryServer(worker.port),
        DiscoveryServer(worker.port),
        free_port(),
        tmp_path / "config.json",
    )
    told = {**CONFIG, "listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{old.port}"}
    path.write_text(json.dumps(told))
    with running_program(path, LB_DISCOVERY=told["discovery"]) as process:
        assert b"watch=1" in old.asked.get(timeout=30)
        with socket.create_connection(("127.0.0.1", port)) as sock:
            sock.sendall(b"POST /echo/a HTTP/1.1\r\nX-Request-Id: 1\r\nContent-Length: 3\r\n\r\nabc")
            assert worker.came.wait(30)
            path.write_text(json.dumps({**told, "discovery": 5}))
            process.send_signal(signal.SIGHUP)
            assert "configuration: rejected (error=discovery is not a table" in process.stderr.readline()
            path.write_text(json.dumps({**told, "discovery": f"127.0.0.1:{new.port}"}))
            process.send_signal(signal.SIGHUP)
            assert b"watch=1" in new.asked.get(timeout=30)
            assert old.ended.get(timeout=30)
            worker.let.set()
            assert ask(sock, b"")[0] == 200
        process.send_signal(signal.SIGTERM)
        assert process.wait(30) == 0
