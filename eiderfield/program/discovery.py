"""Discovery: whom the endpoint list is taken from, and how long a start waits for it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

from eiderfield.config.loader import Config
from eiderfield.net.backoff import Backoff
from eiderfield.net.discovery.active_watch import ActiveWatch
from eiderfield.net.discovery.consul import ConsulWatch
from eiderfield.net.discovery.platform import PlatformWatch
from eiderfield.net.discovery.settings import DiscoverySettings
from eiderfield.net.discovery.watch import Watch
from eiderfield.program.core import Core
from eiderfield.program.log import log
from eiderfield.program.part import Part

FIRST_LIST_TIMEOUT = 5000.0  # ms: half of the time in which a process has to be ready


class DiscoveryPart(Part):
    """Follows the source of endpoints that the configuration names."""

    def __init__(self, config: Config, core: Core, took_over: Callable[[], bool]) -> None:
        """`took_over` says whether the endpoint list is that of the process before."""
        self._config = config
        self._core = core
        self._took_over = took_over
        self._active_watch = ActiveWatch()

    async def start(self) -> None:
        """Follows the source, and waits for its first list where there is none of a process before."""
        # That list may be of another source, which may have counted on its own.
        self._active_watch.follow(self._watch(self._config, needs_snapshot=self._took_over()))
        if not self._took_over():
            await self.first_list()

    async def first_list(self) -> None:
        """Waits for discovery's first list before anybody is served.

        What the agent holds counts as told from a process's first moment, and the list that the configuration
        names is as old as that. A drain binds after its grace: an agent that is silent for so long can't be
        asked, and the known list has to do. However long the grace is, a process has to be ready in time.
        """
        if self._config.discovery.address is None:
            return
        listed = asyncio.Event()
        self._core.table.on_list_applied = listed.set
        wait = min(self._config.policy_settings.drain_grace_ms, FIRST_LIST_TIMEOUT)
        self._core.driver.wheel.at(self._core.clock() + wait, listed.set)
        await listed.wait()

    def reload(self, old: Config, new: Config) -> None:
        """Moves to another source if there is one."""
        self._config = new
        if new.discovery != old.discovery:
            self._active_watch.follow(self._watch(new, needs_snapshot=True))

    def stop(self) -> None:
        """Ends all watches."""
        self._active_watch.stop()

    def _watch(self, config: Config, needs_snapshot: bool) -> Watch | None:
        """What follows the source; `needs_snapshot` for one whose lists need not continue the table's."""
        source = config.discovery
        if source.address is None:
            return None
        watch = self._consul(source) if source.kind == "consul" else self._platform(source, needs_snapshot)
        settings = config.policy_settings
        watch.backoff = Backoff(
            settings.dispatcher_count, settings.dispatcher_index, Random(config.seed), settings.drain_grace_ms
        )
        return watch

    def _consul(self, source: DiscoverySettings) -> Watch:
        core = self._core
        return ConsulWatch(core.table, core.driver.wheel, core.clock, core.driver.dial, source, log)

    def _platform(self, source: DiscoverySettings, needs_snapshot: bool) -> Watch:
        assert source.address is not None
        core = self._core
        watch = PlatformWatch(
            core.table, core.driver.wheel, core.clock, core.driver.dial, source.address, log
        )
        watch.needs_snapshot = needs_snapshot
        return watch
