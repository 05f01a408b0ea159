"""The port to other dispatchers, where the configuration has one."""

from __future__ import annotations

import asyncio

from eiderfield.config.loader import Config
from eiderfield.machine import unix_ms
from eiderfield.net.peers import PeerPort
from eiderfield.program.core import Core
from eiderfield.program.log import log
from eiderfield.program.part import Figures, Part


class PeersPart(Part):
    """Exchanges load reports with the other dispatchers."""

    def __init__(self, peers: PeerPort) -> None:
        """`peers` is not open yet."""
        self.peers = peers

    async def start(self) -> None:
        """Open the port unless it was handed over."""
        if self.peers.sock is None:
            self.peers.open()

    def stop(self) -> None:
        """Close the port."""
        self.peers.close()

    def figures(self) -> Figures:
        """Return counts of messages by what happened to them."""
        return {"peers": dict(self.peers.counters)}


def make_peers(config: Config, core: Core, loop: asyncio.AbstractEventLoop) -> PeersPart | None:
    """Return the part, or None if the configuration does not use it."""
    settings = config.peers
    if settings is None:
        return None
    peers = PeerPort(
        loop,
        settings,
        config.policy_settings.dispatcher_index,
        core.clock,
        core.exchange.peer_report_received,
        log,
        unix_ms,
    )
    core.exchange.attach_peer_channel(peers)
    return PeersPart(peers)
