"""A dispatcher's process and Consul on real sockets: lists that are interrupted or malformed."""

import asyncio
import json
import signal
import time

import pytest
from support.consul_server import SERVICE, ConsulServer, consul_play

pytestmark = [pytest.mark.real_time]

WATCHED_S = 2.0  # after the first list without the workers; the fault lasted for 10 s


async def shrink_while_disconnected(folder, remaining, index=None, has_leader=True):
    """Break the connection in the moment in which workers leave; return the play and the late requests."""
    async with consul_play(folder) as play:
        await play.send_until(time.monotonic() + 0.3)
        began = time.monotonic()
        await play.consul.close()
        play.consul.has_leader = has_leader
        await play.consul.set_listed(play.workers[:remaining], index)
        await play.consul.open()
        answered_at = await play.consul.wait_for_answer(began)
        await play.send_until(answered_at + WATCHED_S)
        gone = play.workers[remaining:]
        assert all(worker.received_at for worker in gone)
        return play, play.late_requests(gone, answered_at)


# Regression: a list on a new connection was set aside for 10 s, and omitted workers got requests (review/3).
@pytest.mark.parametrize(
    "source", [{}, {"index": 3}, {"has_leader": False}], ids=["index forward", "index back", "no leader"]
)
def test_workers_that_left_during_an_interruption_get_no_requests_after_the_grace(tmp_path, source):
    play, late = asyncio.run(shrink_while_disconnected(tmp_path, 5, **source))
    assert late == []
    assert all(client.outcomes == {200: len(client.times_ms)} for client in play.clients)


# Regression: an empty list with a forward index was set aside for 10 s on a new connection (review/3).
def test_empty_list_with_forward_index_ends_requests_to_all_workers(tmp_path):
    play, late = asyncio.run(shrink_while_disconnected(tmp_path, 0))
    assert late == []
    assert set().union(*[client.outcomes for client in play.clients]) == {200, 503}


async def shrink_beside_malformed_entry(folder, entry):
    """Remove workers in a list with a malformed entry; return the late requests and the console's figures."""
    async with consul_play(folder) as play:
        await play.send_until(time.monotonic() + 0.3)
        began = time.monotonic()
        play.consul.extra_entries = [entry]
        await play.consul.set_listed(play.workers[:5])
        answered_at = await play.consul.wait_for_answer(began)
        await play.send_until(answered_at + WATCHED_S)
        return play.late_requests(play.workers[5:], answered_at), await play.dispatcher.figures()


# Regression: one malformed entry set aside what a list says of all other workers, without end (review/3).
@pytest.mark.parametrize(
    "entry",
    [
        {"Node": {"Node": "n"}, "Service": {"ID": "x", "Port": "80"}, "Checks": []},
        {"Node": {}, "Service": {"ID": "x"}, "Checks": []},
    ],
    ids=["no address", "no name"],
)
def test_workers_that_left_get_no_requests_after_the_grace_beside_a_malformed_entry(tmp_path, entry):
    late, figures = asyncio.run(shrink_beside_malformed_entry(tmp_path, entry))
    assert late == []
    assert figures["hosts_listed"] == 5
    assert figures["entries_refused"] == 1


async def shrink_by_reload(folder):
    """Move the discovery by SIGHUP to another Consul, which lists fewer workers; return the late requests."""
    async with consul_play(folder) as play:
        other = ConsulServer(play.workers[:5])
        await other.open()
        await play.send_until(time.monotonic() + 0.3)
        config = json.loads((folder / "config.json").read_text())
        config["discovery"] = {"kind": "consul", "address": f"127.0.0.1:{other.port}", "service": SERVICE}
        (folder / "config.json").write_text(json.dumps(config))
        play.dispatcher.process.send_signal(signal.SIGHUP)
        answered_at = await other.wait_for_answer(0.0)
        await play.send_until(answered_at + WATCHED_S)
        await other.close()
        return play.late_requests(play.workers[5:], answered_at)


# Regression: the first list after a SIGHUP was set aside for 10 s, since its connection was new (review/3).
def test_workers_that_another_consul_omits_get_no_requests_after_the_grace(tmp_path):
    assert asyncio.run(shrink_by_reload(tmp_path)) == []


async def shrink_during_upgrade(folder):
    """Let workers leave while the next process takes over; return the late requests and the clients."""
    async with consul_play(folder) as play:
        await play.send_until(time.monotonic() + 0.3)
        await play.consul.close()
        await play.consul.set_listed(play.workers[:5])
        previous = play.dispatcher.process
        await play.dispatcher.start_next()
        previous.send_signal(signal.SIGTERM)
        await previous.wait()
        began = time.monotonic()
        await play.consul.open()
        answered_at = await play.consul.wait_for_answer(began)
        await play.send_until(answered_at + WATCHED_S)
        return play.late_requests(play.workers[5:], answered_at), play.clients


# Regression: the next process set its first list aside for 10 s, since its connection was new (review/3).
def test_workers_that_left_during_an_upgrade_get_no_requests_after_the_grace(tmp_path):
    late, clients = asyncio.run(shrink_during_upgrade(tmp_path))
    assert late == []
    assert all(client.outcomes[200] and not client.outcomes["lost"] for client in clients)
