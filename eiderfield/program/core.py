"""The parts that every request passes: the exchange, the connections to workers and the endpoint list."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from eiderfield.config.errors import ConfigError
from eiderfield.config.loader import Config
from eiderfield.exchange.exchange import Exchange
from eiderfield.idmap import IdMap
from eiderfield.net.bans import Bans
from eiderfield.net.begun_ids_file import open_begun_ids
from eiderfield.net.clock import WallClock
from eiderfield.net.descriptors import ConnectionLimits
from eiderfield.net.discovery.routing_table import RoutingTable
from eiderfield.net.file_operations import OperationRunner
from eiderfield.net.loop import Driver
from eiderfield.net.memory import resident_bytes
from eiderfield.net.memory_budget import MemoryBudget, budget_bytes
from eiderfield.net.worker_pool import WorkerPool
from eiderfield.program.log import log
from eiderfield.program.part import Figures, Part
from eiderfield.program.paths import state_path


@dataclass(slots=True, frozen=True)
class Core:
    """The objects that most parts use."""

    driver: Driver
    ids: IdMap
    exchange: Exchange
    workers: WorkerPool
    table: RoutingTable
    wall: WallClock
    memory: MemoryBudget

    @property
    def clock(self) -> Callable[[], float]:
        """The process's clock."""
        return self.driver.clock


def make_core(
    config: Config, driver: Driver, limits: ConnectionLimits, run_in_thread: OperationRunner
) -> Core:
    """Join exchange, workers and endpoint list. Raises `ConfigError` if the static endpoints are faulty."""
    wall = WallClock(driver.clock)
    ids = IdMap(config.zones, config.kinds)
    exchange = Exchange(config.policy_settings, config.seed, driver.wheel, driver.wake, log)
    exchange.attach_begun_ids(open_begun_ids(state_path(config.listen, "ids"), log))
    driver.turn = exchange.turn
    driver.on_pause = exchange.process_resumed
    memory = MemoryBudget(budget_bytes(config.memory_mb, resident_bytes(), limits.clients + limits.workers))
    workers = WorkerPool(
        exchange,
        driver.wheel,
        driver.clock,
        driver.dial,
        config.dial_timeout_ms,
        config.worker_idle_timeout_ms,
        limits.workers,
        memory,
    )
    path = state_path(config.listen, "bans.json")
    bans = Bans(path, log, driver.wheel, driver.clock, run_in_thread, wall)
    bans.load()
    table = RoutingTable(exchange, workers, ids, bans, driver.clock, wall)
    _load_known(config, table)
    return Core(driver, ids, exchange, workers, table, wall, memory)


def _load_known(config: Config, table: RoutingTable) -> None:
    if config.known_endpoints is None:
        return
    try:
        table.load(config.known_endpoints, cached=True)
    except ValueError as error:
        if config.discovery.kind == "static":
            raise ConfigError(f"known: {error}") from None
        log(
            f"known: list ignored, waiting for discovery (error={error})"
        )  # an old list is no reason not to serve


class CorePart(Part):
    """Requests and attempts, and the connections to workers."""

    def __init__(self, core: Core) -> None:
        """Reload and stop `core`."""
        self._core = core

    def reload(self, old: Config, new: Config) -> None:
        """Apply the policy's settings and the timeouts of the worker side."""
        if new.policy_settings != old.policy_settings:
            self._core.exchange.apply_settings(new.policy_settings)
        self._core.workers.set_timeouts(new.dial_timeout_ms, new.worker_idle_timeout_ms)

    def figures(self) -> Figures:
        """Return how many bytes peers make the process hold, by part."""
        return {"memory": self._core.memory.figures()}

    @property
    def busy(self) -> bool:
        """Whether a request has no answer yet."""
        return bool(self._core.exchange.pending_request_count)

    def stop(self) -> None:
        """Close the connections to workers."""
        self._core.workers.close()
