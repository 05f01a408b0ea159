"""How connections are opened: what whoever dials may rely on. `net/loop.py` does it on real sockets."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from eiderfield.config.address import Address
from eiderfield.net.faults import Cause


class PendingDial(Protocol):
    """A connection that is coming up and may be called off."""

    def cancel(self) -> object:
        """Calls it off."""


class Dial(Protocol):
    """Connects a protocol to an address, or calls `failed`; neither within the call itself."""

    def __call__(
        self,
        protocol: asyncio.BufferedProtocol,
        address: Address,
        failed: Callable[[], None],
        delayed: Callable[[Cause], None] = ...,
    ) -> PendingDial:
        """Begins a dial. Each time that a fault of this host holds it up, `delayed` is called and it goes
        on."""
