"""Settings of the datagrams between the dispatchers of a tier."""

from __future__ import annotations

from dataclasses import dataclass

from eiderfield.config.address import Address


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """Where the dispatchers reach each other.

    Attributes:
        listen: the address of this dispatcher's port.
        peers: the addresses of all dispatchers, by `Settings.dispatcher_index`.
        broadcast: an address that reaches all peers at once.
    """

    listen: Address
    peers: tuple[Address, ...]
    broadcast: Address | None
