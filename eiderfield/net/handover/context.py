"""The parts of a dispatcher that take part in a handover."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from eiderfield.exchange.exchange import Exchange
from eiderfield.exchange.timers import Timers
from eiderfield.net.clients import Listener
from eiderfield.net.discovery.routing_table import RoutingTable
from eiderfield.net.peers import PeerPort
from eiderfield.net.worker_pool import WorkerPool


@dataclass(slots=True)
class HandoverContext:
    """The parts of a dispatcher that both roles of a handover use."""

    loop: asyncio.AbstractEventLoop
    exchange: Exchange
    table: RoutingTable
    workers: WorkerPool
    listeners: Mapping[str, Listener]  # listeners to be handed over; both processes use the same names
    timers: Timers
    clock: Callable[[], float]
    log: Callable[[str], None]
    peers: PeerPort | None = None  # port for messages of other dispatchers, if one is configured
