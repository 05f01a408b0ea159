"""Connection to a source of workers."""

from __future__ import annotations

import asyncio
from enum import StrEnum
from typing import Protocol

from eiderfield.net.http import Head, Parser

FIRST_FINAL_STATUS = 200  # a lower status is followed by another response

_READ_BUFFER = memoryview(bytearray(65536))  # shared by all connections: data is parsed as soon as it is read


class LossReason(StrEnum):
    """Reason why a connection was lost or given up. The values are the keys of the console's counters."""

    SILENT = "silent"
    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    BROKEN = "broken"
    MALFORMED = "malformed"


class ConnectionOwner(Protocol):
    """The interface of the watch that opened a connection."""

    def next_request(self) -> bytes:
        """Return the next request."""

    def on_connected(self, connection: WatchConnection) -> None:
        """Handle an established connection."""

    def on_head(self, head: Head) -> None:
        """Handle a response head; raises `ValueError`."""

    def on_body(self, data: bytes) -> None:
        """Handle a part of a response body; raises `ValueError`."""

    def on_end(self) -> None:
        """Handle the end of a response; raises `ValueError`."""

    def on_lost(self, connection: WatchConnection, reason: LossReason, detail: str) -> None:
        """Handle a connection that was lost or has to be given up."""


class WatchConnection(asyncio.BufferedProtocol):
    """One connection to a source of workers."""

    def __init__(self, owner: ConnectionOwner) -> None:
        """Create a connection that reports to `owner` until it is closed."""
        self._owner = owner
        self._parser = Parser(responses=True, max_body=0)
        self._transport: asyncio.Transport | None = None
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the first request."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if self.closed:
            transport.abort()
            return
        self._owner.on_connected(self)
        self.send_request()

    def get_buffer(self, _size_hint: int) -> memoryview:
        """Return the buffer for the next bytes."""
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Parse the bytes in the buffer; report a malformed response as a loss."""
        if self.closed:
            return
        self._parser.feed(_READ_BUFFER[:nbytes])
        try:
            while not self.closed and (part := self._parser.poll()) is not None:
                self._deliver(part)
        except (ValueError, RecursionError) as error:
            self._owner.on_lost(self, LossReason.MALFORMED, str(error))

    def _deliver(self, part: object) -> None:
        if isinstance(part, Head):
            if part.status >= FIRST_FINAL_STATUS:
                self._owner.on_head(part)
        elif isinstance(part, bytes):
            if part:
                self._owner.on_body(part)
        else:
            self._owner.on_end()

    def connection_lost(self, _error: Exception | None) -> None:
        """Report a connection that the source or the network has closed."""
        if not self.closed:
            self._owner.on_lost(self, LossReason.BROKEN, "connection closed")

    def send_request(self) -> None:
        """Send the owner's next request."""
        if self._transport is not None:
            self._transport.write(self._owner.next_request())

    def close(self) -> None:
        """Close the connection; nothing is reported afterwards."""
        self.closed = True
        if self._transport is not None:
            self._transport.abort()
