"""The interface between a listener and the protocol that it serves.

`Front` is implemented once for each protocol. A front uses the listener as a `ListenerStatus`, and the
connection on which a message arrived as a `Responder`.
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
        """The time by which a message that arrives now must be answered, in ms on the listener's clock."""

    def clock(self) -> float:
        """Return the current time in ms."""


class Responder(Protocol):
    """The connection on which a message arrived: accepts the response to it."""

    proven: bool  # whether the client has sent an acceptable request; others are evicted first

    @property
    def client_connected(self) -> bool:
        """Whether the client is still connected; a disconnection that is not read yet is detected too."""

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
            The function to call if the client disconnects before the response, None for none.

        Raises:
            MalformedMessageError: the message is rejected with the error's status.
        """
