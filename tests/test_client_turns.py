"""One client's input never keeps the loop from the other clients (issue 54, picture b)."""

import asyncio

import pytest
from support.crowd import SoundClient, TimedWorker, read_response, running_dispatcher

pytestmark = [pytest.mark.real_time]

WORK_MS = 50.0
LATE_MS = 400.0  # tolerated beside any one peer, with margin for a machine that runs other tests
PLAY_S = 4.0
TINY_CHUNKS = b"1\r\nx\r\n" * 60_000 + b"0\r\n\r\n"
CHUNKED_HEAD = b"POST /echo/a HTTP/1.1\r\nX-Request-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n"
EMPTY_LINES = b"\r\n" * 8000
TRAILER = b"1\r\nx\r\n0\r\n" + b"a:\r\n" * 8000 + b"\r\n"


async def flood(dispatcher, payload, stop):
    """Send a request with `payload` as its framed body on a new connection, again and again."""
    while not stop.is_set():
        reader, writer = await asyncio.open_connection("127.0.0.1", dispatcher.port)
        try:
            writer.write(CHUNKED_HEAD % dispatcher.new_id().encode() + payload)
            await read_response(reader)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


@pytest.mark.parametrize("payload", [TINY_CHUNKS, TRAILER, EMPTY_LINES], ids=["chunks", "trailer", "lines"])
# Regression: 20 connections with bodies in chunks of one byte kept other clients from any answer for 6 s.
def test_other_clients_are_served_in_time_beside_a_client_with_tiny_elements(tmp_path, payload):
    async def play():
        workers = [TimedWorker(WORK_MS / 1000) for _ in range(4)]
        async with running_dispatcher(tmp_path, workers) as dispatcher:
            sound, stop = SoundClient(dispatcher), asyncio.Event()
            await sound.request()
            floods = [asyncio.create_task(flood(dispatcher, payload, stop)) for _ in range(20)]
            task = asyncio.create_task(sound.run(stop))
            await asyncio.wait([task], timeout=PLAY_S)
            stop.set()
            await task
            for each in floods:
                each.cancel()
            return sound

    sound = asyncio.run(play())
    assert set(sound.outcomes) == {200}
    assert sound.outcomes[200] > PLAY_S * 1000 / LATE_MS
    assert max(sound.times_ms) < WORK_MS + LATE_MS
