"""Durable requests, where the configuration has a table `custody`. What they need is imported only there."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from eiderfield.config import Config, ConfigError
from eiderfield.program.core import Core
from eiderfield.program.log import log
from eiderfield.program.part import DrainTimes, Figures, Part

if TYPE_CHECKING:
    from eiderfield.durable_requests.keeper import Keeper


class DurableRequests(Part):
    """Keeps the requests of some classes in a folder."""

    def __init__(self, keeper: Keeper, core: Core) -> None:
        """`keeper` has begun."""
        self.keeper = keeper
        self._core = core

    async def start(self) -> None:
        """Takes up what is owed."""
        self.keeper.start()

    def drain(self, times: DrainTimes) -> None:
        """Leaves the others once all that came here is answered."""
        self._core.driver.wheel.at(times.answered_by, self.keeper.leave)

    @property
    def busy(self) -> bool:
        """Whether something is being written, or not handed on."""
        return not self.keeper.idle

    def stop(self) -> None:
        """Closes the folder."""
        self.keeper.close()

    def figures(self) -> Figures:
        """The keeper's figures."""
        return {"custody": self.keeper.figures()}


def make_durable_requests(
    config: Config, core: Core, loop: asyncio.AbstractEventLoop
) -> DurableRequests | None:
    """The part, if the configuration asks for it; a `ConfigError` if its folder cannot be used."""
    if config.custody is None:
        return None
    from eiderfield.durable_requests.folder import FolderError
    from eiderfield.durable_requests.keeper import Keeper
    from eiderfield.durable_requests.store import StoreError

    try:
        keeper = Keeper(
            config.custody,
            config.name,
            core.exchange,
            core.ids,
            core.driver.wheel,
            core.clock,
            loop.call_soon_threadsafe,
            log,
        )
        keeper.begin()
    except (FolderError, StoreError) as error:
        raise ConfigError(str(error)) from None
    return DurableRequests(keeper, core)
