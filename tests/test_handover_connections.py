"""Client connections that one process passes to the next."""

import socket

import pytest
from support.memory_dispatcher import Client, InMemoryDispatcher
from support.processes import post

from eiderfield.net.clients.acceptor import ACCEPTED_PER_TURN


@pytest.mark.parametrize("length", [0, 20, -1])
def test_passed_connection_keeps_buffered_part_of_request(length):
    """If it were closed instead, the request would be lost."""
    old, new = InMemoryDispatcher(), InMemoryDispatcher()
    here, there = socket.socketpair()
    with here, there:
        client = Client(old, sock=here)
        client.connection.proven = True
        message = post("r1")
        client.send(message[:length])
        if length == -1:
            assert client.connection.detach() is None, "its head is whole: this process takes the job"
            return
        detached = client.connection.detach()
        with socket.socket(fileno=detached.descriptor) as copy:
            assert not client.pipe.open
            assert not old.listener.connections
            assert detached.state.buffered == message[:length]
            there.sendall(b"x")
            assert copy.recv(1) == b"x", "the connection itself is open"
        successor = Client(new, handover=detached.state)
        successor.send(message[length:])
        assert successor.connection.proven, "it is one message"
        assert successor.answers()[0][0] == 404, "it is one message"


def test_connection_with_pending_response_is_not_passed():
    dispatcher = InMemoryDispatcher()
    client = dispatcher.client()
    assert client.connection.detach() is None
    assert client.pipe.open


def test_hand_over_some_passes_limited_number_of_connections():
    """Each holds a descriptor in both processes: all at once would exceed their limit."""
    dispatcher = InMemoryDispatcher(most=64)
    clients = [Client(dispatcher) for _ in range(ACCEPTED_PER_TURN + 5)]
    dispatcher.listener.successor = lambda detach: detach.__self__.abort() is None
    dispatcher.listener.hand_over_batch()
    assert sum(client.pipe.open for client in clients) == 5
    dispatcher.listener.hand_over_batch()
    assert not dispatcher.listener.connections
