"""Settings of the datagrams between the dispatchers of a tier."""

from __future__ import annotations

from dataclasses import dataclass

from eiderfield.config.address import Address


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """Where the dispatchers reach each other."""

    listen: Address
    peers: tuple[Address, ...]  # by `Settings.dispatcher_index`
    broadcast: Address | None  # reaches all peers at once
