"""Client connections that one process of a dispatcher passes to the next."""

import socket

import pytest
from support.memory_dispatcher import Client, InMemoryDispatcher
from support.processes import post

from eiderfield.net.clients.acceptor import ACCEPTED_PER_TURN


@pytest.mark.parametrize("length", [0, 20, -1])
def test_passed_connection_keeps_buffered_part_of_request(length):
    """A connection that is closed instead loses the request."""
    old, new = InMemoryDispatcher(), InMemoryDispatcher()
    here, there = socket.socketpair()
    with here, there:
        client = Client(old, sock=here)
        client.connection.proven = True
        message = post("r1")
        client.send(message[:length])
        if length == -1:
            assert client.connection.detach() is None, "this process serves a request with a complete head"
            return
        detached = client.connection.detach()
        with socket.socket(fileno=detached.descriptor) as copy:
            assert not client.pipe.open
            assert not old.listener.connections
            assert detached.state.buffered == message[:length]
            there.sendall(b"x")
            assert copy.recv(1) == b"x", "the connection was closed"
        successor = Client(new, handover=detached.state)
        successor.send(message[length:])
        assert successor.connection.proven, "the two parts were not joined to one request"
        assert successor.answers()[0][0] == 404, "the two parts were not joined to one request"


def test_connection_with_pending_response_is_not_passed():
    dispatcher = InMemoryDispatcher()
    client = dispatcher.client()
    assert client.connection.detach() is None
    assert client.pipe.open


def test_hand_over_some_passes_limited_number_of_connections():
    """A passed connection briefly uses a descriptor in both processes, whose number is limited."""
    dispatcher = InMemoryDispatcher(most=64)
    clients = [Client(dispatcher) for _ in range(ACCEPTED_PER_TURN + 5)]
    dispatcher.listener.successor = lambda detach: detach.__self__.abort() is None
    dispatcher.listener.hand_over_batch()
    assert sum(client.pipe.open for client in clients) == 5
    dispatcher.listener.hand_over_batch()
    assert not dispatcher.listener.connections
