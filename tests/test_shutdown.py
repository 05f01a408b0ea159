"""Shutdown of the whole program on real sockets, with a clock that the test advances.

Every request must be answered before the process may be killed.
"""

import select

import pytest
from support.running_program import RunningProgram

from eiderfield.net.shutdown_times import ACCEPT_TIME_MS, KILL_DELAY_MS, MAX_DEADLINE_MS

CONNECTING_TIME_MS = 400.0  # after SIGTERM, for which clients still connect (protocol page)
ERROR_DEADLINE_MS = 3000.0  # within which a misbehaving client must have an error or a close


@pytest.fixture
def start_program():
    programs = []

    def make(longest_deadline):
        programs.append(RunningProgram(longest_deadline))
        return programs[-1]

    yield make
    for each in programs:
        each.close()


@pytest.mark.parametrize("longest_deadline", [300, 900, 2000, 3000, 12_000])
def test_requests_sent_until_the_kill_are_answered_while_all_workers_hang(start_program, longest_deadline):
    """Each client sends a request with the longest deadline as soon as the previous one is answered."""
    running = start_program(longest_deadline)
    for _ in range(4):
        running.connect()
    sigterm_at = running.now
    kill_at = sigterm_at + min(longest_deadline, MAX_DEADLINE_MS) + KILL_DELAY_MS
    running.program.stop()
    while running.now < kill_at:
        if running.now < sigterm_at + min(CONNECTING_TIME_MS, ACCEPT_TIME_MS) and running.listener.listening:
            running.connect()
        for client in running.clients:
            if client.open and not client.awaits_response:
                running.request(client, longest_deadline)
        running.turn()
        running.step()
    for client in running.clients:
        sent, answered = len(client.sent_at), len(client.statuses)
        assert sent, "the client sent no request"
        late = sent > answered and client.sent_at[-1] > sigterm_at + 700.0
        assert not late, "sent long after SIGTERM and unanswered at SIGKILL"
        assert sent == answered or (client.open and longest_deadline > MAX_DEADLINE_MS), (
            "closed without a response"
        )
    assert not running.program.core.exchange.pending_request_count or longest_deadline > MAX_DEADLINE_MS


@pytest.mark.parametrize(
    "sent", [b"POST /echo/a HT", b"POST /echo/a HTTP/1.1\r\nX-Request-Id: h\r\nContent-Length: 9\r\n\r\nabc"]
)
@pytest.mark.parametrize("delay", [0.0, 300.0, 1400.0])
def test_client_that_stops_within_a_request_during_shutdown_has_an_error_or_a_close(
    start_program, sent, delay
):
    running = start_program(3000)
    client = running.connect()
    running.request(client, 50)
    until = running.now + 100.0
    while running.now < until:
        running.step()
    assert client.statuses in ([502], [503])
    sigterm_at = running.now
    running.program.stop()
    while running.now < sigterm_at + delay:
        running.step()
    client.sock.send(sent)
    started_at = running.now
    while running.now < started_at + ERROR_DEADLINE_MS and len(client.statuses) < 2 and client.open:
        running.step()
    assert client.statuses[1:] == [408] or not client.open


def test_program_whose_clients_have_all_disconnected_ends_before_a_kill(start_program):
    running = start_program(3000)
    clients = [running.connect() for _ in range(3)]
    for client in clients:
        running.request(client, 3000)
    running.turn()
    sigterm_at = running.now
    running.program.stop()
    for client in clients:
        client.close()
    while not running.program.ended.is_set() and running.now < sigterm_at + MAX_DEADLINE_MS + KILL_DELAY_MS:
        running.step()
    assert running.program.ended.is_set()
    assert all(peer_has_closed(sock) for sock in running.worker.connections), "an attempt was not cancelled"


def peer_has_closed(sock):
    """Return whether the other end has closed the connection."""
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return bool(poll.poll(0))
