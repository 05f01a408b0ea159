"""The program's part for durable requests. Their package is imported only if the table `custody` is set."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from eiderfield.config.errors import ConfigError
from eiderfield.config.loader import Config
from eiderfield.program.core import Core
from eiderfield.program.log import log
from eiderfield.program.part import DrainTimes, Figures, Part

if TYPE_CHECKING:
    from eiderfield.durable_requests.coordinator import DurableRequestCoordinator


class DurableRequests(Part):
    """Starts and ends the coordinator of durable requests."""

    def __init__(self, coordinator: DurableRequestCoordinator, core: Core) -> None:
        """Run a coordinator that has begun."""
        self.coordinator = coordinator
        self._core = core

    async def start(self) -> None:
        """Start the commit thread."""
        self.coordinator.start()

    def drain(self, times: DrainTimes) -> None:
        """Leave the other members once all clients of this process are answered."""
        self._core.driver.wheel.call_at(times.answered_by, self.coordinator.leave)

    @property
    def busy(self) -> bool:
        """Whether requests are unanswered or operations unwritten."""
        return not self.coordinator.idle

    def stop(self) -> None:
        """End the commit thread and close the folder."""
        self.coordinator.close()

    def figures(self) -> Figures:
        """Return the figures of durable requests."""
        return {"custody": self.coordinator.figures().encode()}


def make_durable_requests(
    config: Config, core: Core, loop: asyncio.AbstractEventLoop
) -> DurableRequests | None:
    """Return the part, or None if the configuration has no table `custody`.

    Raises `ConfigError` if the folder cannot be used.
    """
    if config.durable_requests is None:
        return None
    from eiderfield.durable_requests.coordinator import DurableRequestCoordinator
    from eiderfield.durable_requests.errors import DurableRequestsError
    from eiderfield.durable_requests.loop_context import ProcessServices

    services = ProcessServices(
        exchange=core.exchange,
        ids=core.ids,
        timers=core.driver.wheel,
        clock=core.clock,
        call_in_loop=loop.call_soon_threadsafe,
        log=log,
    )
    try:
        coordinator = DurableRequestCoordinator(config.durable_requests, config.name, services)
        coordinator.begin()
    except DurableRequestsError as error:
        raise ConfigError(str(error), key=error.key) from None
    return DurableRequests(coordinator, core)
