"""The settings and adapters shared by the parts of the exchange."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from eiderfield.exchange.begun_ids import BegunIds
from eiderfield.exchange.protocols import DurableRequests, PeerChannel, WorkerSide
from eiderfield.exchange.timers import Timers
from eiderfield.interface import Settings


@dataclass(slots=True)
class Context:
    """The current settings, and the adapters. An adapter is None if it is not attached."""

    settings: Settings
    timers: Timers
    log: Callable[[str], None]
    worker_side: WorkerSide | None = None
    durable_requests: DurableRequests | None = None
    peer_channel: PeerChannel | None = None
    begun_ids: BegunIds = field(default_factory=BegunIds)
