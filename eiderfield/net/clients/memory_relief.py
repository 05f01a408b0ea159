"""Gives back bytes of client connections when the process holds more than its memory budget allows.

Connections are ended in this order, until enough is given back:

1. incomplete messages, first the one with the most bytes that has been silent for longest;
2. responses that their clients have not read for some time;
3. messages that clients have sent ahead of a response: they are dropped, and the connection ends after it.

A client of the first kind receives a 503 response. A complete request is never ended.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

from eiderfield.net.clients.connection import ClientConnection
from eiderfield.net.memory_budget import MemoryBudget


class MemoryRelief:
    """Relieves the memory budget of a process from the connections of its listeners."""

    def __init__(self, memory: MemoryBudget, connections: Callable[[], Iterable[ClientConnection]]) -> None:
        """Relieve `memory` from now on; `connections` returns the open connections of all listeners."""
        self._memory = memory
        self._connections = connections
        memory.relievers.append(self.relieve)

    def relieve(self, allowed: int) -> None:
        """Give back bytes until at most `allowed` are held, or nothing is left that can be given back."""
        connections = list(self._connections())
        for connection in connections:  # accounts are not updated while a client reads its response
            connection.update_held_bytes()
        for give_back in _in_order(connections):
            if self._memory.held <= allowed:
                return
            give_back()


def _in_order(connections: list[ClientConnection]) -> Iterator[Callable[[], None]]:
    """Yield what can be called to give back bytes."""
    weights = [(connection.message_weight, connection) for connection in connections]
    weights.sort(key=lambda pair: pair[0], reverse=True)
    for weight, connection in weights:
        if weight > 0.0:
            yield connection.end_message
    for connection in connections:
        if connection.stalls_response:
            yield connection.give_up_response
    for connection in sorted(connections, key=_pipelined_bytes, reverse=True):
        if connection.pipelined_bytes:
            yield connection.drop_pipelined


def _pipelined_bytes(connection: ClientConnection) -> int:
    return connection.pipelined_bytes
