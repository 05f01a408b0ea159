"""Durable requests, where the configuration has a table `custody`. What they need is imported only there."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from eiderfield.config import Config, ConfigError
from eiderfield.program.core import Core
from eiderfield.program.log import log
from eiderfield.program.part import DrainTimes, Figures, Part

if TYPE_CHECKING:
    from eiderfield.durable_requests.coordinator import DurableRequestCoordinator


class DurableRequests(Part):
    """Keeps the requests of some classes in a folder."""

    def __init__(self, coordinator: DurableRequestCoordinator, core: Core) -> None:
        """`coordinator` has begun."""
        self.coordinator = coordinator
        self._core = core

    async def start(self) -> None:
        """Takes up what is owed."""
        self.coordinator.start()

    def drain(self, times: DrainTimes) -> None:
        """Leaves the others once all that came here is answered."""
        self._core.driver.wheel.at(times.answered_by, self.coordinator.leave)

    @property
    def busy(self) -> bool:
        """Whether something is being written, or not handed on."""
        return not self.coordinator.idle

    def stop(self) -> None:
        """Closes the folder."""
        self.coordinator.close()

    def figures(self) -> Figures:
        """The coordinator's figures."""
        return {"custody": self.coordinator.figures()}


def make_durable_requests(
    config: Config, core: Core, loop: asyncio.AbstractEventLoop
) -> DurableRequests | None:
    """The part, if the configuration asks for it; a `ConfigError` if its folder cannot be used."""
    if config.custody is None:
        return None
    from eiderfield.durable_requests.coordinator import DurableRequestCoordinator
    from eiderfield.durable_requests.errors import DurableRequestsError

    try:
        coordinator = DurableRequestCoordinator(
            config.custody,
            config.name,
            core.exchange,
            core.ids,
            core.driver.wheel,
            core.clock,
            loop.call_soon_threadsafe,
            log,
        )
        coordinator.begin()
    except DurableRequestsError as error:
        raise ConfigError(str(error)) from None
    return DurableRequests(coordinator, core)
