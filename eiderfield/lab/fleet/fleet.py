"""A run of a scenario: starts the processes, injects the faults and writes the results to a folder.

The folder can be read without the program:

    scenario.json, workers.jsonl, clients.jsonl, nX.log, result.json, events.parquet, index.html

All processes that a run starts end with it. Each dispatcher may run another revision of the program.
"""

from __future__ import annotations

import json
import signal
import threading
import time
from collections.abc import Callable, Mapping, Sequence
from contextlib import ExitStack, suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Protocol, TypeVar

import structlog

from eiderfield.config.address import Address, parse_address
from eiderfield.lab.fleet.addresses import AddressPool
from eiderfield.lab.fleet.child import ANNOUNCEMENT_TIMEOUT_S, StandInProcess
from eiderfield.lab.fleet.commands import (
    LISTENING,
    OPEN,
    OVER,
    OpenBackends,
    OpenLinks,
    StartClients,
    StopClients,
    WorkerSettings,
)
from eiderfield.lab.fleet.dispatcher import Dispatcher, Program
from eiderfield.lab.fleet.dispatcher_config import dispatcher_config
from eiderfield.lab.fleet.event_log import WORKER_EVENTS, Event, EventLogReader
from eiderfield.lab.fleet.faults import FaultInjector
from eiderfield.lab.fleet.result import Result, check_run
from eiderfield.lab.fleet.rules import FinalState
from eiderfield.lab.fleet.scenario import Fault, Scenario, parse_event
from eiderfield.lab.fleet.scenario_draw import draw_jobs
from eiderfield.lab.fleet.topology import Topology
from eiderfield.lab.processes import LabError, wait_for

START_DELAY_S = 0.3  # between the start of the clients and the first job
POLL_S = 0.005  # interval at which the workers' log is polled for the events of faults
IDLE_TIMEOUT_S = 10.0  # for a dispatcher to close all connections after the last job
SCENARIO_FILE = "scenario.json"


class Stoppable(Protocol):
    """A process that is stopped at the end of a run."""

    def end(self) -> None:
        """Kill the process and wait for its end."""


StoppableT = TypeVar("StoppableT", bound=Stoppable)


@dataclass(frozen=True, slots=True)
class DueFault:
    """The start or the end of a fault; `at` is a time of the monotonic clock in s."""

    at: float
    fault: Fault
    active: bool


class Fleet:
    """The processes of a run."""

    def __init__(
        self,
        scenario: Scenario,
        folder: Path,
        programs: Mapping[str, Program] | None = None,
        batch: bool = False,
    ) -> None:
        self.scenario = scenario
        self.folder = folder
        self.batch_addresses: dict[str, Address] = {}  # by dispatcher; empty without `batch`
        self.dispatchers: dict[str, Dispatcher] = {}
        folder.mkdir(parents=True, exist_ok=True)
        (folder / SCENARIO_FILE).write_text(json.dumps(scenario.to_plain(), indent=1))
        self._stack = ExitStack()
        self._log = structlog.wrap_logger(
            structlog.WriteLogger((folder / "run.log").open("a", buffering=1)),
            processors=[structlog.processors.add_log_level, structlog.processors.JSONRenderer()],
        )
        self._pool = AddressPool()
        self._stack.callback(self._pool.close)
        self._topology = Topology.of(scenario, self._pool)
        try:
            self._start_backends()
            self._start_proxy()
            self._make_dispatchers(programs or {}, batch)
            self._start_dispatchers()
            self._clients = self._stop_at_close(StandInProcess("clients", str(folder)))
            self._injector = FaultInjector(
                self.dispatchers,
                list(self._topology.links),
                self._proxy,
                self._backends,
                self._clients,
                scenario.notice,
                self._log,
            )
        except BaseException:
            self.close()
            raise

    def __enter__(self) -> Fleet:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def close(self) -> None:
        """Stop all processes of the run."""
        for dispatcher in self.dispatchers.values():
            with suppress(ProcessLookupError, AssertionError):
                dispatcher.signal(signal.SIGCONT)
        self._stack.close()

    def inject(self, fault: Fault, active: bool = True) -> None:
        """Begin a fault, or end it if `active` is false."""
        self._injector.inject(fault, active)

    def wait_for_restarts(self) -> None:
        """Wait until the dispatchers that were restarted after a fault are ready, or have failed."""
        self._injector.wait_for_restarts()

    def stop_clients(self) -> None:
        """Have the clients send no further jobs; the run ends once those already sent are over."""
        with suppress(OSError, ValueError):
            self._clients.send(StopClients())

    def play(
        self,
        on_poll: Callable[[], None] = lambda: None,
        is_done: Callable[[], bool] = lambda: True,
        before_shutdown: Callable[[], None] = lambda: None,
    ) -> Result:
        """Run the scenario and return its result.

        The run lasts until all jobs are over, the faults that have begun and have a duration have ended, and
        `is_done` returns true. `on_poll` is called repeatedly until then; `before_shutdown` is called once
        afterwards, while the dispatchers still run.
        """
        start = time.monotonic() + START_DELAY_S
        clients_over = self._start_clients(start)
        schedule = FaultSchedule(self.scenario, start, EventLogReader(self.folder / WORKER_EVENTS))
        while not clients_over.is_set() or schedule.has_pending_ends or not is_done():
            for due in schedule.take_due(time.monotonic()):
                self.inject(due.fault, due.active)
                schedule.schedule_end(due)
            for at, fault in self._injector.reached_failpoints():
                schedule.add(DueFault(at, fault, active=False))
            on_poll()
            clients_over.wait(POLL_S)
        before_shutdown()
        final_states = [self._final_state(dispatcher) for dispatcher in self.dispatchers.values()]
        self._backends.end()
        self._injector.wait_for_restarts()
        return check_run(self.scenario, self.folder, start, self._injector.injected, final_states)

    def _stop_at_close(self, child: StoppableT) -> StoppableT:
        self._stack.callback(child.end)
        return child

    def _start_backends(self) -> None:
        scenario, topology = self.scenario, self._topology
        settings = WorkerSettings(
            slots=scenario.slots,
            queue=scenario.queue,
            cell=scenario.cell,
            zones=scenario.zones,
            window=scenario.window,
            cold=scenario.cold,
            cold_share=scenario.cold_share,
            progress=scenario.progress,
        )
        self._backends = self._stop_at_close(StandInProcess("backends", str(self.folder)))
        self._backends.send(
            OpenBackends(
                settings=settings,
                discovery_kind=scenario.source,
                workers=scenario.worker_names,
                ports=topology.worker_ports,
                addresses=topology.worker_addresses,
                discovery_ports=topology.discovery_ports,
            )
        )
        self._backends.wait_for(OPEN)

    def _start_proxy(self) -> None:
        self._proxy = self._stop_at_close(StandInProcess("proxy"))
        self._proxy.send(OpenLinks(self._topology.links))
        self._proxy.wait_for(LISTENING)

    def _make_dispatchers(self, programs: Mapping[str, Program], batch: bool) -> None:
        for name in self.scenario.dispatcher_names:
            config = dispatcher_config(
                self.scenario,
                name,
                listen=self._topology.listen[name],
                console=self._pool.take(),
                discovery=self._topology.discovery_address(name),
                folder=self.folder,
            )
            if batch:
                config["batch"] = self._batch_config(name)
            program = programs.get(name, Program())
            dispatcher = Dispatcher(name, program, config, self.folder, spare_console=self._pool.take())
            self.dispatchers[name] = self._stop_at_close(dispatcher)

    def _batch_config(self, name: str) -> dict[str, Any]:
        address = self._pool.take()
        self.batch_addresses[name] = parse_address(address, name)
        return {"enabled": True, "listen": address}

    def _start_dispatchers(self) -> None:
        threads = [
            threading.Thread(target=self._start_dispatcher, args=(dispatcher,))
            for dispatcher in self.dispatchers.values()
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        if not all(dispatcher.alive for dispatcher in self.dispatchers.values()):
            raise LabError("a dispatcher did not start; see its log")

    def _start_dispatcher(self, dispatcher: Dispatcher) -> None:
        try:
            dispatcher.start()
        except LabError as error:
            self._log.error("start", who=dispatcher.name, why=str(error))
            dispatcher.end()

    def _start_clients(self, start: float) -> threading.Event:
        """Start the clients and return an event that is set once all their jobs are over."""
        self._clients.send(
            StartClients(
                jobs=draw_jobs(self.scenario),
                start=start,
                retries=self.scenario.retries,
                addresses=self._topology.client_addresses(),
                one_id=self.scenario.one_id,
                asks_both=self.scenario.asks_both,
            )
        )
        over = threading.Event()
        threading.Thread(target=self._wait_for_clients, args=(over,), daemon=True).start()
        return over

    def _wait_for_clients(self, over: threading.Event) -> None:
        deadline = max(job_class.deadline for job_class in self.scenario.job_classes) / 1000.0
        duration_s = self.scenario.jobs / self.scenario.rate + deadline
        with suppress(LabError, ValueError):
            self._clients.wait_for(OVER, 2.0 * duration_s + ANNOUNCEMENT_TIMEOUT_S)
        over.set()

    def _final_state(self, dispatcher: Dispatcher) -> FinalState:
        """Wait up to `IDLE_TIMEOUT_S` until a dispatcher is idle, stop it and return what it still held."""
        dispatcher.find_process()
        if not dispatcher.alive:
            return FinalState(dispatcher.name, 0, 0, 0, 0, dispatcher.wait(0.0))
        counts = [0, 0]

        def is_idle() -> bool:
            figures = dispatcher.figures()
            counts[:] = [figures["inflight"], figures["connections"]["open"]]
            return counts == [0, 0]

        with suppress(LabError, OSError, ValueError):
            # A dispatcher that has just restarted does not handle SIGTERM before it is ready.
            wait_for(f"{dispatcher.name} is ready", dispatcher.ready)
            wait_for(f"{dispatcher.name} is idle", is_idle, IDLE_TIMEOUT_S)
        descriptors = dispatcher.descriptors()
        dispatcher.signal(signal.SIGTERM)
        code = dispatcher.wait()
        inflight, connections = counts
        return FinalState(
            dispatcher.name, inflight, connections, descriptors, dispatcher.descriptors_at_start, code
        )


class FaultSchedule:
    """The pending starts and ends of a scenario's faults."""

    def __init__(self, scenario: Scenario, start: float, worker_events: EventLogReader) -> None:
        timed = [fault for fault in scenario.faults if not fault.on]
        self._due = [DueFault(start + float(fault.at or 0.0) + fault.after, fault, True) for fault in timed]
        self._on_event = [fault for fault in scenario.faults if fault.on]
        self._worker_events = worker_events
        self._begun: list[Event] = []

    @property
    def has_pending_ends(self) -> bool:
        """Return whether the end of a fault that has begun is pending."""
        return any(not due.active for due in self._due)

    def add(self, due: DueFault) -> None:
        """Schedule the start or the end of a fault."""
        self._due.append(due)

    def schedule_end(self, begun: DueFault) -> None:
        """Schedule the end of a fault that has just begun, if the fault has a duration."""
        if begun.active and begun.fault.lasts:
            self.add(DueFault(begun.at + begun.fault.lasts, begun.fault, active=False))

    def take_due(self, now: float) -> list[DueFault]:
        """Remove and return the starts and ends that are due, by time or by event."""
        self._begun += [event for event in self._worker_events.read_new() if event["what"] == "began"]
        for fault in [fault for fault in self._on_event if has_occurred(fault, self._begun)]:
            self._on_event.remove(fault)
            self.add(DueFault(now + fault.after, fault, active=True))
        due = [due_fault for due_fault in self._due if due_fault.at <= now]
        self._due = [due_fault for due_fault in self._due if due_fault.at > now]
        return [DueFault(now, due_fault.fault, due_fault.active) for due_fault in due]


def has_occurred(fault: Fault, begun: Sequence[Event]) -> bool:
    """Return whether the event that triggers a fault has occurred."""
    dispatcher, count = parse_event(fault.on)
    return sum(1 for event in begun if not dispatcher or event["by"] == dispatcher) >= count


def play(
    scenario: Scenario,
    folder: Path,
    programs: Mapping[str, Program] | None = None,
    on_poll: Callable[[], None] = lambda: None,
) -> Result:
    """Run a scenario, write its files to a folder and return its result."""
    with Fleet(scenario, folder, programs) as fleet:
        return fleet.play(on_poll)
