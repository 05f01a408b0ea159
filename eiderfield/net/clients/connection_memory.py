"""Counts the bytes that a client's connection makes the process hold."""

from __future__ import annotations

import asyncio

from eiderfield.net.clients.message_reader import MessageReader
from eiderfield.net.memory_budget import MemoryBudget, MemoryPart

SMALL_REQUEST_BYTES = 4096  # requests up to this size are accepted also while memory is scarce


class ConnectionMemory:
    """The bytes of one connection: received, of the request without a response, and not yet sent."""

    def __init__(self, budget: MemoryBudget, reader: MessageReader) -> None:
        """Open an account in `budget`; `reader` holds the bytes that have arrived."""
        self._budget = budget
        self._account = budget.open_account(MemoryPart.CLIENTS)
        self._reader = reader
        self._transport: asyncio.Transport | None = None
        self._request_bytes = 0
        self._closed = False

    def open(self, transport: asyncio.Transport) -> None:
        """Count the bytes that `transport` has not sent yet, too."""
        self._transport = transport
        self.update()

    def close(self) -> None:
        """Count nothing from now on."""
        self._closed = True
        self.update()

    @property
    def unsent_bytes(self) -> int:
        """Bytes of responses that wait in the transport."""
        return 0 if self._transport is None else self._transport.get_write_buffer_size()

    @property
    def held_bytes(self) -> int:
        """All bytes, whether or not they are still counted."""
        return self._reader.held_bytes + self._request_bytes + self.unsent_bytes

    def update(self) -> None:
        """Report the bytes to the budget."""
        self._account.update(0 if self._closed else self.held_bytes)

    def has_room_for_request(self, size: int) -> bool:
        """Count a request of `size` bytes, and return whether there is memory to pass it to the front."""
        self._request_bytes = size
        self.update()
        return size <= SMALL_REQUEST_BYTES or self._budget.make_room_for_requests()

    def end_request(self) -> None:
        """Count a request no longer: its response is written."""
        self._request_bytes = 0
        self.update()
