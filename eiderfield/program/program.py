"""One dispatcher: builds its parts and joins them.

A further part is made in `Program.__init__` and put into `_before_clients`, which start before anybody is
served, or into `_with_clients`, which start once the endpoint list is known.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TypeVar

from eiderfield.batch.front import BatchFront
from eiderfield.batch.registry import JobRegistry
from eiderfield.config.loader import Config
from eiderfield.net.clients import Listener, RequestFront
from eiderfield.net.descriptors import ConnectionLimits, allowed_descriptors
from eiderfield.net.file_operations import thread_runner
from eiderfield.net.handover import Handover, HandoverContext
from eiderfield.net.loop import Driver
from eiderfield.net.memory_budget import MemoryPart
from eiderfield.program.batch import BatchJobs
from eiderfield.program.core import Core, CorePart, make_core
from eiderfield.program.discovery import DiscoveryPart
from eiderfield.program.durable_requests import DurableRequests, make_durable_requests
from eiderfield.program.listeners import (
    BoundListener,
    ClientListeners,
    ConsolePart,
    Opener,
    make_client_listener,
)
from eiderfield.program.log import log
from eiderfield.program.part import Figures, Part
from eiderfield.program.paths import state_path
from eiderfield.program.peers import make_peers
from eiderfield.program.settings import RunningSettings
from eiderfield.program.shutdown import Shutdown
from eiderfield.program.takeover import SuccessorPart, TakeoverPart

PartType = TypeVar("PartType")


class Program:
    """Starts, reloads and stops the parts of one dispatcher together."""

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop, clock: Callable[[], float]) -> None:
        """Build all parts. Raises `ConfigError` where the configuration cannot be used."""
        self.ended = asyncio.Event()
        self._settled = False  # whether all parts have started
        limits = _connection_limits(config)
        driver = Driver(loop, clock)
        self.core = make_core(config, driver, limits, thread_runner(loop.call_soon_threadsafe, "bans"))
        self.settings = RunningSettings(config, self.core.exchange)
        socket_path = state_path(config.listen, "sock")
        opener = Opener(loop, socket_path)

        durable = make_durable_requests(config, self.core, loop)
        bound, batch = _bind_listeners(config, self.core, durable, limits)
        self._clients = ClientListeners(bound, opener, self.core.memory)
        console = ConsolePart(config, self.core, opener, self.is_ready, self._figures, self.settings.report)
        peers = make_peers(config, self.core, loop)
        handover = _make_handover(self.core, loop, [*bound, *_present(console.bound)])
        handover.peers = None if peers is None else peers.peers
        takeover = TakeoverPart(loop, handover, socket_path)
        self.discovery = DiscoveryPart(config, self.core, lambda: takeover.took_over)
        successor = SuccessorPart(loop, handover, socket_path, handover.peers)

        self._before_clients: list[Part] = [
            *_present(durable),
            CorePart(self.core),
            takeover,
            console,
            self.discovery,
        ]
        self._with_clients: list[Part] = [self._clients, *_present(batch), *_present(peers), successor]
        self.shutdown = Shutdown(
            driver,
            self.core.exchange,
            self._parts,
            self._clients.listeners,
            handover,
            self.ended.set,
            is_kept=_keeps_none if batch is None else batch.keeps,
        )

    @property
    def _parts(self) -> list[Part]:
        return [*self._before_clients, *self._with_clients]

    async def start(self) -> None:
        """Take over from a process that serves already, if there is one, and open the listeners."""
        for part in self._before_clients:
            await part.start()
        if self.shutdown.begun:  # the shutdown began before a client was accepted
            return
        for part in self._with_clients:
            await part.start()
        self._settled = True

    def reload(self, load: Callable[[], Config]) -> None:
        """Apply a new configuration. The endpoint list and all requests stay, whatever it contains."""
        old = self.settings.current
        if not self.settings.take(load, self._apply_static_endpoints):
            return
        new = self.settings.current
        for part in self._parts:
            part.reload(old, new)
        log(f"configuration: reloaded (discovery={new.discovery.address})")

    def stop(self) -> None:
        """Begin the graceful shutdown: accepted requests are answered, idle clients are disconnected."""
        classes = self.settings.current.policy_settings.classes
        self.shutdown.begin(max(each.deadline_ms for each in classes))

    def _apply_static_endpoints(self, config: Config) -> None:
        if config.discovery.kind == "static" and config.known_endpoints is not None:
            self.core.table.load(config.known_endpoints)

    def is_ready(self) -> bool:
        """Whether this process accepts clients."""
        return self._settled and self.core.table.index is not None and self._clients.accepting

    def _figures(self) -> Figures:
        return {name: section for part in self._parts for name, section in part.figures().items()}


def _present(part: PartType | None) -> list[PartType]:
    """Return a list of the part, empty if the configuration leaves it out."""
    return [] if part is None else [part]


def _connection_limits(config: Config) -> ConnectionLimits:
    limits = ConnectionLimits.of(config, allowed_descriptors())
    if limits.clients < config.client_connections:
        log(
            "descriptors: system limit is below limits.sockets "
            f"(client_connections={limits.clients} worker_connections={limits.workers})"
        )
    return limits


def _bind_listeners(
    config: Config, core: Core, durable: DurableRequests | None, limits: ConnectionLimits
) -> tuple[list[BoundListener], BatchJobs | None]:
    """Return the listeners for clients, which share the limit of client connections, and the batch part."""
    intake = None if durable is None else durable.coordinator.intake
    lookup = None if durable is None else durable.coordinator.lookup
    share = limits.clients if config.batch is None else max(1, limits.clients // 2)
    front = RequestFront(core.exchange, core.ids, core.clock, intake)
    bound = [BoundListener("listen", make_client_listener(config, core, front, share), config.listen)]
    if (batch := config.batch) is not None:
        account = core.memory.open_account(MemoryPart.JOBS)
        registry = JobRegistry(core.exchange, core.clock, config.name, batch.limits, intake, account)
        batch_front = BatchFront(registry, lookup, core.wall.to_unix)
        listener = make_client_listener(config, core, batch_front, share)
        bound.append(BoundListener("batch.listen", listener, batch.listen))
        return bound, BatchJobs(batch_front.drain, listener, core)
    return bound, None


def _keeps_none(_listener: Listener) -> bool:
    """Return that no listener has to stay open: there are no batch jobs."""
    return False


def _make_handover(core: Core, loop: asyncio.AbstractEventLoop, bound: list[BoundListener]) -> Handover:
    context = HandoverContext(
        loop=loop,
        exchange=core.exchange,
        table=core.table,
        workers=core.workers,
        listeners={each.name: each.listener for each in bound},
        timers=core.driver.wheel,
        clock=core.clock,
        log=log,
    )
    return Handover(context, core.wall)
