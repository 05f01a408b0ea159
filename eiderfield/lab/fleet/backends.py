"""The process that runs all simulated workers and the discovery that lists them.

python -m eiderfield.lab.fleet.backends FOLDER        reads commands as JSON lines
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from functools import partial
from pathlib import Path

from eiderfield.config.address import parse_address
from eiderfield.lab.fleet.commands import (
    OPEN,
    READY,
    Command,
    OpenBackends,
    SetBackendFault,
    WorkerSettings,
    announce,
    serve_commands,
)
from eiderfield.lab.fleet.consul import ConsulDiscovery
from eiderfield.lab.fleet.discovery import Discovery
from eiderfield.lab.fleet.event_log import WORKER_EVENTS, EventLogWriter
from eiderfield.lab.fleet.scenario import DISCOVERY, ONLY_ZONE
from eiderfield.lab.fleet.workers import DELETED, DRAINING, SERVING, Worker, WorkerConnection, WorkerGroup

BACKLOG = 256  # connections that wait to be accepted by a worker


class Backends:
    """All workers of a run, and discovery."""

    def __init__(self, folder: Path) -> None:
        self._log = EventLogWriter(folder / WORKER_EVENTS)
        self._workers: dict[str, Worker] = {}
        self._discovery = Discovery({}, {}, self._log)
        self._tasks: set[asyncio.Task[None]] = set()
        self._worker_faults: dict[str, Callable[[Worker, bool, float], None]] = {
            "drain": self._set_draining,
            "gone": self._set_gone,
            "restart": self._set_restarting,
            "fail": set_failing,
            "silent": set_silent,
            "slow": set_slow,
        }

    def execute(self, command: Command) -> None:
        """Execute a command."""
        if isinstance(command, OpenBackends):
            task = asyncio.get_running_loop().create_task(self._open(command))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        elif isinstance(command, SetBackendFault) and command.target == DISCOVERY:
            self._set_discovery_fault(command)
        elif isinstance(command, SetBackendFault):
            worker = self._workers[command.target]
            self._log.write("fault" if command.active else "mended", fault=command.fault, worker=worker.name)
            self._worker_faults[command.fault](worker, command.active, command.value)

    async def _open(self, command: OpenBackends) -> None:
        """Create the workers and discovery, and listen on the ports of the command."""
        self._create_workers(command)
        discovery_class = ConsulDiscovery if command.discovery_kind == "consul" else Discovery
        self._discovery = discovery_class(self._workers, command.addresses, self._log)
        loop = asyncio.get_running_loop()
        for dispatcher, ports in command.ports.items():
            for name, address in ports.items():
                host, port = parse_address(address, name)
                create_connection = partial(WorkerConnection, self._workers[name], dispatcher)
                await loop.create_server(create_connection, host, port, backlog=BACKLOG)
        for dispatcher, address in command.discovery_ports.items():
            host, port = parse_address(address, dispatcher)
            await asyncio.start_server(partial(self._discovery.serve, dispatcher), host, port)
        announce(OPEN)

    def _create_workers(self, command: OpenBackends) -> None:
        settings = command.settings
        groups: dict[int, WorkerGroup] = {}
        for number, name in enumerate(command.workers):
            group_number = number // settings.cell
            group = groups.setdefault(group_number, WorkerGroup(group_number))
            zone = zone_of_group(group_number, settings)
            self._workers[name] = Worker(name, zone, settings, group, self._log)

    def _set_discovery_fault(self, command: SetBackendFault) -> None:
        if command.fault == "late":
            self._discovery.delay = command.value / 1000.0 if command.active else 0.0
        else:
            self._discovery.is_silent = command.active

    def _set_draining(self, worker: Worker, active: bool, _value: float) -> None:
        worker.status = DRAINING if active else SERVING
        self._discovery.worker_changed(worker.name)

    def _set_gone(self, worker: Worker, active: bool, _value: float) -> None:
        worker.status = DELETED if active else SERVING
        if active:
            worker.stop_process()
        else:
            worker.start_process()
        self._discovery.worker_changed(worker.name)

    def _set_restarting(self, worker: Worker, active: bool, _value: float) -> None:
        if active:
            worker.stop_process()
            return
        worker.start_process()
        self._discovery.worker_changed(worker.name)


def zone_of_group(number: int, settings: WorkerSettings) -> str:
    """Return the zone of a group's workers."""
    return ONLY_ZONE if settings.zones == 1 else f"z{number % settings.zones}"


def set_failing(worker: Worker, active: bool, _value: float) -> None:
    """Have a worker fail every request, or end this fault."""
    worker.is_failing = active


def set_silent(worker: Worker, active: bool, _value: float) -> None:
    """Have a worker's machine neither read nor send, or end this fault and reset its connections."""
    worker.is_silent = active
    if not active:
        worker.reset_connections()


def set_slow(worker: Worker, active: bool, value: float) -> None:
    """Have a worker's jobs take `value` times as long, or end this fault."""
    worker.slowdown = value if active else 1.0


async def serve(folder: Path) -> None:
    """Run the workers and discovery until the end of the input."""
    backends = Backends(folder)
    announce(READY)
    await serve_commands(backends.execute)


if __name__ == "__main__":
    asyncio.run(serve(Path(sys.argv[1])))
