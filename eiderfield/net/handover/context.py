"""The parts of a dispatcher that a handover concerns."""

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
    """What both roles of a handover work with."""

    loop: asyncio.AbstractEventLoop
    exchange: Exchange
    table: RoutingTable
    workers: WorkerPool
    listeners: Mapping[str, Listener]  # those that are passed on, by names that both processes know
    timers: Timers
    clock: Callable[[], float]
    log: Callable[[str], None]
    peers: PeerPort | None = None  # the socket for other dispatchers, if there is one
