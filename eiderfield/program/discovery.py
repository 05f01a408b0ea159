"""Follows the source of the endpoint list, and bounds how long a start waits for it."""

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

FIRST_LIST_TIMEOUT_MS = 5000.0  # half of the time in which a process has to be ready


class DiscoveryPart(Part):
    """Follows the source of endpoints that the configuration names."""

    def __init__(self, config: Config, core: Core, took_over: Callable[[], bool]) -> None:
        """`took_over` says whether the endpoint list is that of the process before."""
        self._config = config
        self._core = core
        self._took_over = took_over
        self._active_watch = ActiveWatch()

    async def start(self) -> None:
        """Follow the source, and wait for its first list unless one was handed over."""
        # That list may be of another source, which may have counted on its own.
        self._active_watch.follow(self._watch(self._config, needs_snapshot=self._took_over()))
        if not self._took_over():
            await self.first_list()

    async def first_list(self) -> None:
        """Wait for the first list of discovery before clients are accepted.

        What the agent knows is binding from the start of the process, while the list in the configuration is
        older. A drain binds after its grace period: then a silent agent is no longer waited for, and the
        list of the configuration is used. The wait is bounded, since a process must be ready in time.
        """
        if self._config.discovery.address is None:
            return
        listed = asyncio.Event()
        self._core.table.on_list_applied = listed.set
        wait = min(self._config.policy_settings.drain_grace_ms, FIRST_LIST_TIMEOUT_MS)
        self._core.driver.wheel.call_at(self._core.clock() + wait, listed.set)
        await listed.wait()

    def reload(self, old: Config, new: Config) -> None:
        """Follow another source if the configuration names one."""
        self._config = new
        if new.discovery != old.discovery:
            self._active_watch.follow(self._watch(new, needs_snapshot=True))

    def stop(self) -> None:
        """Stop all watches."""
        self._active_watch.stop()

    def _watch(self, config: Config, needs_snapshot: bool) -> Watch | None:
        """Return a watch of the source; `needs_snapshot` if its lists do not continue those of the table."""
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
