"""The settings and the adapters that the parts of the exchange share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from eiderfield.exchange.protocols import DurableRequests, PeerChannel, WorkerSide
from eiderfield.exchange.timers import Timers
from eiderfield.interface import Settings


@dataclass(slots=True)
class Context:
    """The settings in force, and the adapters; those that are optional or not attached yet are None."""

    settings: Settings
    timers: Timers
    log: Callable[[str], None]
    worker_side: WorkerSide | None = None
    durable_requests: DurableRequests | None = None
    peer_channel: PeerChannel | None = None
