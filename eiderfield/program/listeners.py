"""The listeners of a dispatcher: for requests, for batch jobs and for operators."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path

from eiderfield.config.address import Address
from eiderfield.config.errors import ConfigError
from eiderfield.config.limits import CONSOLE_DESCRIPTORS
from eiderfield.config.loader import Config
from eiderfield.connections.admission import AdmissionControl
from eiderfield.net.clients import ClientConnection, Front, Listener, MemoryRelief
from eiderfield.net.console import CALL_TIMEOUT_MS, ConsoleFront
from eiderfield.net.faults import RETRY_DELAY_MS, is_resource_shortage
from eiderfield.net.memory import memory_share_of
from eiderfield.net.memory_budget import MemoryBudget
from eiderfield.program.core import Core
from eiderfield.program.log import log
from eiderfield.program.part import Figures, Part

CLIENTS = "listen "  # prefix of the name of the listener for requests


@dataclass(slots=True, frozen=True)
class BoundListener:
    """A listener and where it opens."""

    kind: str  # the key of the configuration that names its address
    listener: Listener
    address: Address

    @property
    def name(self) -> str:
        """The name by which two processes of a dispatcher know the listener."""
        return f"{self.kind} {self.address[0]}:{self.address[1]}"


def make_client_listener(config: Config, core: Core, front: Front, connections: int) -> Listener:
    """Return a listener for clients that accepts up to `connections`."""
    listener = Listener(
        front,
        core.driver.wheel,
        core.clock,
        connections,
        config.admission.timeouts.message,
        config.idling,
        AdmissionControl(config.admission, connections),
        memory_share_of(config.memory_mb),
        core.memory,
    )
    listener.log_cut_offs(log)
    listener.parking.log = log
    return listener


class Opener:
    """Opens listeners that no other process has handed over."""

    def __init__(self, loop: asyncio.AbstractEventLoop, socket_path: Path) -> None:
        """`socket_path` is that of the previous process, if there is one."""
        self._loop = loop
        self._process_before = socket_path.exists()

    async def open(self, bound: BoundListener, may_share: bool = True) -> None:
        """Open a listener unless it is open. Raises `ConfigError` if the system refuses.

        With `may_share` it may share its address with a process that left its socket and does not hand over,
        which must not block the start. A shortage of this host (`net/faults.py`) is waited out.
        """
        host, port = bound.address
        waiting = False
        while not bound.listener.listening and not bound.listener.draining:
            try:
                self._listen(bound, may_share)
            except OSError as error:
                text = f"{bound.kind}: cannot listen on {host}:{port} ({error})"
                if not is_resource_shortage(error):
                    raise ConfigError(text) from None
                if not waiting:
                    log(f"{text}; trying again until it can")
                waiting = True
                await asyncio.sleep(RETRY_DELAY_MS / 1000.0)

    def _listen(self, bound: BoundListener, may_share: bool) -> None:
        try:
            bound.listener.listen(self._loop, bound.address)
        except OSError as error:
            if is_resource_shortage(error) or not (may_share and self._process_before):
                raise
            bound.listener.listen(self._loop, bound.address, share=True)


class ClientListeners(Part):
    """The listeners for clients."""

    def __init__(self, listeners: Sequence[BoundListener], opener: Opener, memory: MemoryBudget) -> None:
        """`listeners` begin with that for requests; `memory` is relieved from their connections."""
        self._bound = listeners
        self._opener = opener
        MemoryRelief(memory, self._open_connections)

    @property
    def listeners(self) -> list[Listener]:
        """The listeners without their addresses."""
        return [bound.listener for bound in self._bound]

    def _open_connections(self) -> list[ClientConnection]:
        return [connection for listener in self.listeners for connection in listener.open_connections]

    @property
    def accepting(self) -> bool:
        """Whether all listeners accept clients."""
        return all(listener.listening and not listener.draining for listener in self.listeners)

    async def start(self) -> None:
        """Open the listeners that were not handed over."""
        for bound in self._bound:
            await self._opener.open(bound)

    def reload(self, _old: Config, new: Config) -> None:
        """Apply the limits of the new configuration."""
        for listener in self.listeners:
            listener.set_idle_limits(new.idling)
            listener.set_admission(new.admission)

    @property
    def busy(self) -> bool:
        """Whether a client is connected."""
        return any(listener.connections for listener in self.listeners)

    def figures(self) -> Figures:
        """Return the figures of connections and admission, summed over the listeners, and of their turns."""
        connections: Counter[str] = Counter()
        admission: Counter[str] = Counter()
        for listener in self.listeners:
            connections.update(listener.figures())
            if listener.admission is not None:
                admission.update(listener.admission.figures())
        return {
            "connections": dict(connections),
            "admission": dict(admission),
            "turns": {bound.kind: bound.listener.turns.figures() for bound in self._bound},
        }


class ConsolePart(Part):
    """The listener for operators, if the configuration names one."""

    def __init__(
        self,
        config: Config,
        core: Core,
        opener: Opener,
        ready: Callable[[], bool],
        figures: Callable[[], Figures],
        settings: Callable[[], dict[str, object]],
    ) -> None:
        """`ready`, `figures` and `settings` return what the console responds with."""
        front = ConsoleFront(core.exchange, core.table, core.clock, ready, figures, settings)
        self._opener = opener
        self._listener = Listener(front, core.driver.wheel, core.clock, CONSOLE_DESCRIPTORS, CALL_TIMEOUT_MS)
        self.bound: BoundListener | None = None
        if config.console is not None:
            self.bound = BoundListener("console", self._listener, config.console)

    async def start(self) -> None:
        """Open the console's listener; the program starts it before parts that wait."""
        if self.bound is not None:
            await self._opener.open(self.bound, may_share=False)

    def stop(self) -> None:
        """Close the console's listener."""
        self._listener.close()
