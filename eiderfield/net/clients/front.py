"""The interface between a listener and the protocol that it serves.

`Front` is implemented once for each protocol. `ListenerStatus` and `Responder` are what a front uses of the
listener and of the connection that a message came on.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from eiderfield.exchange.timers import Timers
from eiderfield.net.http import Head

ClientDisconnectCallback = Callable[[], object]  # called once if the client disconnects before its response


class ListenerStatus(Protocol):
    """The state of a listener that a front takes into account."""

    @property
    def timers(self) -> Timers:
        """Timers on the listener's clock."""

    @property
    def listening(self) -> bool:
        """Whether the socket is open."""

    @property
    def draining(self) -> bool:
        """Whether the process is shutting down."""

    @property
    def response_deadline(self) -> float:
        """When a message that arrives now must be answered, in ms on the listener's clock."""

    def clock(self) -> float:
        """Return the current time in ms."""


class Responder(Protocol):
    """The connection of one message: accepts the response to it."""

    proven: bool  # whether the client has sent an acceptable request; others are evicted first

    @property
    def client_connected(self) -> bool:
        """Whether the client is still connected, also where its close has not been read."""

    def answer(self, status: int, body: bytes = b"", **headers: str) -> None:
        """Write the response and keep the connection open if the client asks for that."""

    def reject(self, status: int, text: str, **headers: str) -> None:
        """Write an error response in plain text and close the connection."""

    def finish(self, status: int, body: bytes, **headers: str) -> None:
        """Write the response and close the connection."""


class Front(Protocol):
    """Handles the messages of one listener in one protocol."""

    def handle_message(
        self, listener: ListenerStatus, connection: Responder, head: Head, body: bytes
    ) -> ClientDisconnectCallback | None:
        """Respond on `connection`, now or later.

        Returns:
            What to call if the client disconnects before the response, None for nothing.

        Raises:
            MalformedMessageError: the message is rejected with the error's status.
        """
