"""Protocols for opening connections. `net/dialer.py` implements them on real sockets."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from eiderfield.config.address import Address
from eiderfield.net.faults import Cause


class PendingDial(Protocol):
    """A connection that is being established."""

    def cancel(self) -> object:
        """Cancel the dial; the protocol may still be connected if this comes too late."""


class Dial(Protocol):
    """Connects a protocol to an address, or calls `on_failed`; neither within the call itself."""

    def __call__(
        self,
        protocol: asyncio.BufferedProtocol,
        address: Address,
        on_failed: Callable[[], None],
        on_delayed: Callable[[Cause], None] = ...,
    ) -> PendingDial:
        """Start a dial; `on_delayed` is called each time that a fault of this host delays it."""
