"""One client's input never keeps the loop from the other clients (issue 54, picture b)."""

import asyncio

import pytest
from support.crowd import SoundClient, TimedWorker, read_response, running_dispatcher
from support.memory_dispatcher import Client, InMemoryDispatcher

from eiderfield.connections.settings import MESSAGE_TIMEOUT_MS
from eiderfield.net.clients.connection import ELEMENTS_PER_TURN
from eiderfield.net.clients.deferred_reads import MAX_ELEMENTS_PER_TICK
from eiderfield.net.http import MalformedMessageError, Parser
from eiderfield.net.http.parser import MAX_ELEMENTS_PER_POLL, MAX_EMPTY_LINE_BYTES
from eiderfield.net.wheel import TICK_MS

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


@pytest.mark.real_time
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


def chunked(id_, chunks, end=b"0\r\n\r\n"):
    head = f"POST /safe/a HTTP/1.1\r\nX-Request-Id: {id_}\r\nTransfer-Encoding: chunked\r\n\r\n"
    return head.encode() + b"1\r\nx\r\n" * chunks + end


def test_message_of_many_chunks_is_parsed_over_several_turns():
    dispatcher = InMemoryDispatcher()
    client = Client(dispatcher)
    client.send(chunked("r1", 3 * ELEMENTS_PER_TURN))
    assert dispatcher.listener.turns.elements <= ELEMENTS_PER_TURN + MAX_ELEMENTS_PER_POLL
    assert not dispatcher.dials
    dispatcher.advance(10 * TICK_MS)
    dispatcher.dials[0].up().finish()
    assert client.answers()[0][0] == 200


def test_work_of_a_tick_is_bounded_over_all_connections():
    dispatcher = InMemoryDispatcher()
    clients = [Client(dispatcher) for _ in range(50)]
    for number, client in enumerate(clients):
        client.send(chunked(f"r{number}", ELEMENTS_PER_TURN))
    deferred = len(dispatcher.listener.deferred_reads)
    assert deferred == 50
    dispatcher.advance(TICK_MS)
    done = deferred - len(dispatcher.listener.deferred_reads)
    assert done <= MAX_ELEMENTS_PER_TICK / ELEMENTS_PER_TURN
    dispatcher.advance(100 * TICK_MS)
    declined = sum(len(client.answers()) for client in clients)
    assert dispatcher.exchange.pending_request_count + declined == 50, "each message was completed"


def test_one_deferred_message_has_all_the_work_of_a_tick():
    dispatcher = InMemoryDispatcher()
    Client(dispatcher).send(chunked("r1", MAX_ELEMENTS_PER_TICK // 2))
    dispatcher.advance(2 * TICK_MS)
    assert dispatcher.dials


# Regression guard: a message that is parsed over many turns must not get a new time limit with each of them.
def test_deferred_message_keeps_its_time_limit():
    dispatcher = InMemoryDispatcher()
    client = Client(dispatcher)
    client.send(chunked("r1", 1, end=b""))
    dispatcher.advance(MESSAGE_TIMEOUT_MS - 20 * TICK_MS)
    client.send(b"1\r\nx\r\n" * 2 * ELEMENTS_PER_TURN)
    dispatcher.advance(30 * TICK_MS)
    assert client.answers()[0][0] == 408


def test_message_whose_client_disconnects_while_it_is_deferred_is_dropped():
    dispatcher = InMemoryDispatcher()
    client = Client(dispatcher)
    client.send(chunked("r1", 3 * ELEMENTS_PER_TURN))
    client.pipe.break_off()
    dispatcher.advance(10 * TICK_MS)
    assert not dispatcher.dials
    assert not len(dispatcher.listener.deferred_reads)


def test_work_of_a_poll_is_bounded():
    parser = Parser()
    parser.feed(chunked("r1", 10, end=b"0\r\n" + b"a:\r\n" * 500 + b"\r\n"))
    parser.poll()
    while not parser.at_boundary:
        before = parser.elements
        parser.poll()
        assert parser.elements - before <= MAX_ELEMENTS_PER_POLL


def test_empty_lines_before_a_start_line_are_bounded():
    parser = Parser()
    parser.feed(b"\r\n" * 100 + b"GET / HTTP/1.1\r\n\r\n")
    assert parser.poll() is not None
    parser.poll()
    parser.feed(b"\r\n" * MAX_EMPTY_LINE_BYTES)
    with pytest.raises(MalformedMessageError):
        parser.poll()
