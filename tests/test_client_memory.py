"""The memory of a process stays under its limit, whatever its clients send (issue 54, picture a)."""

import asyncio
import signal
from collections import Counter

import pytest
from support.crowd import SoundClient, TimedWorker, many_headers, request, running_dispatcher, send_and_stop

pytestmark = [pytest.mark.real_time]

MEMORY_MB = 64
CLIENTS = 900  # more than the 590 that the listener of a process with 1,024 descriptors has
STOPPED_BODY = request("stopped", b"x" * 65_000, headers=many_headers(94))[:-1000]
STOPPED_HEAD = b"POST /echo/a HTTP/1.1\r\n" + many_headers(1800).encode()


async def play(folder, data, waves):
    """Send `data` from many clients at once, several times; return the dispatcher and a sound client."""
    workers = [TimedWorker(0.05) for _ in range(4)]
    async with running_dispatcher(folder, workers, MEMORY_MB) as dispatcher:
        sound, stop = SoundClient(dispatcher), asyncio.Event()
        await sound.request()
        task = asyncio.create_task(sound.run(stop))
        for _ in range(waves):
            async with asyncio.TaskGroup() as crowd:
                for _ in range(CLIENTS):
                    crowd.create_task(send_and_stop(dispatcher.port, data))
        stop.set()
        await task
        dispatcher.record_peak()
        assert dispatcher.running
        return dispatcher, sound


# Regression: 600 clients that stopped within a body took 208 MB of a limit of 192 MB.
def test_memory_stays_under_its_limit_while_a_crowd_stops_within_bodies(tmp_path):
    dispatcher, sound = asyncio.run(play(tmp_path, STOPPED_BODY, waves=2))
    assert dispatcher.peak_mb < MEMORY_MB
    assert sound.outcomes[200] > 10
    assert not sound.outcomes["lost"] + sound.outcomes["late"]


# Regression: heads of very many short fields were held by hundreds of connections at once.
def test_memory_stays_under_its_limit_while_a_crowd_stops_within_heads(tmp_path):
    dispatcher, sound = asyncio.run(play(tmp_path, STOPPED_HEAD, waves=1))
    assert dispatcher.peak_mb < MEMORY_MB
    assert not sound.outcomes["lost"] + sound.outcomes["late"]


# Regression: after a kill all clients sent their requests to the new process at once, which passed its limit.
def test_memory_stays_under_its_limit_when_a_crowd_comes_back_after_a_kill(tmp_path):
    async def restart_under_a_crowd():
        workers = [TimedWorker(0.01, result="x" * 60_000) for _ in range(4)]
        async with running_dispatcher(tmp_path, workers, MEMORY_MB) as dispatcher:
            await dispatcher.stop(signal.SIGKILL)
            crowd = [SoundClient(dispatcher, b"x" * 65_000) for _ in range(CLIENTS)]
            await dispatcher.start()
            async with asyncio.TaskGroup() as tasks:
                for client in crowd:
                    tasks.create_task(client.request())
            for client in crowd:
                client.close()
            dispatcher.record_peak()
            assert dispatcher.running
            return dispatcher.peak_mb, sum([client.outcomes for client in crowd], Counter())

    peak_mb, outcomes = asyncio.run(restart_under_a_crowd())
    assert peak_mb < MEMORY_MB
    assert set(outcomes) == {200, 503}
    assert outcomes.total() == CLIENTS
