"""What a listener passes whole messages to."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from eiderfield.net.http import Head

if TYPE_CHECKING:
    from eiderfield.net.clients.connection import ClientConnection
    from eiderfield.net.clients.listener import Listener


class Front(Protocol):
    """Answers messages in the protocol of one listener."""

    def message(
        self, listener: Listener, connection: ClientConnection, head: Head, body: bytes
    ) -> Callable[[], None] | None:
        """Answers now, or later with `ClientConnection.answer`.

        Gives what to call when the client leaves before that, if anything."""
