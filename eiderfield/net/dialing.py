"""Interfaces for opening connections. `net/dialer.py` implements them with sockets."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from eiderfield.config.address import Address
from eiderfield.net.faults import Cause


class PendingDial(Protocol):
    """An attempt to establish a connection."""

    def cancel(self) -> object:
        """Cancel the dial. The protocol is still connected if the connection was established already."""


class Dial(Protocol):
    """Function that connects a protocol to an address, or calls `on_failed`, after it has returned."""

    def __call__(
        self,
        protocol: asyncio.BufferedProtocol,
        address: Address,
        on_failed: Callable[[], None],
        on_delayed: Callable[[Cause], None] = ...,
    ) -> PendingDial:
        """Start a dial. `on_delayed` is called each time it fails because of a fault of this host."""
