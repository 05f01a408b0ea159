"""Settings for messages between the dispatchers of a tier."""

from __future__ import annotations

from dataclasses import dataclass

from eiderfield.config.address import Address


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """The addresses at which the dispatchers of a tier receive messages.

    Attributes:
        listen: The address of this dispatcher.
        peers: The addresses of all dispatchers, by `Settings.dispatcher_index`.
        broadcast: An address by which all peers receive one datagram; None if there is none.
    """

    listen: Address
    peers: tuple[Address, ...]
    broadcast: Address | None
