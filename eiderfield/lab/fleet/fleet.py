"""A run: starts the processes, carries faults out, and leaves a folder that can be read without the program.

    scenario.json, workers.jsonl, clients.jsonl, nX.log, result.json, events.parquet, index.html

Everything that is started is a child of the run and ends with it. A dispatcher's program may be another
revision.
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

LEAD_S = 0.3  # from the clients' start to the first job
POLL_S = 0.005  # between two looks at the workers' log for an event
REST_TIMEOUT_S = 10.0  # in which a dispatcher comes to rest after the last answer
SCENARIO_FILE = "scenario.json"


class Ending(Protocol):
    """What is ended with a run."""

    def end(self) -> None:
        """Ends it at once."""


Kept = TypeVar("Kept", bound=Ending)


@dataclass(frozen=True, slots=True)
class DueFault:
    """A fault that begins or ends at a time of the monotonic clock."""

    at: float
    fault: Fault
    active: bool


class Fleet:
    """All processes of a run."""

    def __init__(
        self,
        scenario: Scenario,
        folder: Path,
        programs: Mapping[str, Program] | None = None,
        batch: bool = False,
    ) -> None:
        self.scenario = scenario
        self.folder = folder
        self.batch_addresses: dict[str, Address] = {}  # where each dispatcher takes batch jobs, with `batch`
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
            self._clients = self._keep(StandInProcess("clients", str(folder)))
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
        """Ends all that was started."""
        for dispatcher in self.dispatchers.values():
            with suppress(ProcessLookupError, AssertionError):
                dispatcher.signal(signal.SIGCONT)
        self._stack.close()

    def inject(self, fault: Fault, active: bool = True) -> None:
        """Begins a fault, or ends it."""
        self._injector.inject(fault, active)

    def wait_for_restarts(self) -> None:
        """Wait until the dispatchers that were restarted after a fault are ready, or have failed."""
        self._injector.wait_for_restarts()

    def stop_clients(self) -> None:
        """No more jobs: the run ends once those that were sent are over."""
        with suppress(OSError, ValueError):
            self._clients.send(StopClients())

    def play(
        self,
        between: Callable[[], None] = lambda: None,
        done: Callable[[], bool] = lambda: True,
        before_rest: Callable[[], None] = lambda: None,
    ) -> Result:
        """Plays the scenario.

        `between` is called again and again while clients ask, and until `done`; `before_rest` once, when all
        that was asked for is over and the dispatchers are still there.
        """
        start = time.monotonic() + LEAD_S
        clients_over = self._start_clients(start)
        schedule = FaultSchedule(self.scenario, start, EventLogReader(self.folder / WORKER_EVENTS))
        while not clients_over.is_set() or schedule.has_ends or not done():
            for due in schedule.take_due(time.monotonic()):
                self.inject(due.fault, due.active)
                schedule.add_end_of(due)
            for at, fault in self._injector.reached_failpoints():
                schedule.add(DueFault(at, fault, active=False))
            between()
            clients_over.wait(POLL_S)
        before_rest()
        final_states = [self._final_state(dispatcher) for dispatcher in self.dispatchers.values()]
        self._backends.end()
        self._injector.wait_for_restarts()
        return check_run(self.scenario, self.folder, start, self._injector.injected, final_states)

    def _keep(self, child: Kept) -> Kept:
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
        self._backends = self._keep(StandInProcess("backends", str(self.folder)))
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
        self._proxy = self._keep(StandInProcess("proxy"))
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
            self.dispatchers[name] = self._keep(dispatcher)

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
        """Starts the clients; the event is set once all their jobs are over."""
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
        longest = self.scenario.jobs / self.scenario.rate + deadline
        with suppress(LabError, ValueError):
            self._clients.wait_for(OVER, 2.0 * longest + ANNOUNCEMENT_TIMEOUT_S)
        over.set()

    def _final_state(self, dispatcher: Dispatcher) -> FinalState:
        """What a dispatcher still holds, once it has had time to come to rest; ends it."""
        dispatcher.find_process()
        if not dispatcher.alive:
            return FinalState(dispatcher.name, 0, 0, 0, 0, dispatcher.wait(0.0))
        held = [0, 0]

        def is_at_rest() -> bool:
            figures = dispatcher.figures()
            held[:] = [figures["inflight"], figures["connections"]["open"]]
            return held == [0, 0]

        with suppress(LabError, OSError, ValueError):
            # One that was started again a moment ago does not heed signals yet.
            wait_for(f"{dispatcher.name} is ready", dispatcher.ready)
            wait_for(f"{dispatcher.name} rests", is_at_rest, REST_TIMEOUT_S)
        descriptors = dispatcher.descriptors()
        dispatcher.signal(signal.SIGTERM)
        code = dispatcher.wait()
        inflight, connections = held
        return FinalState(
            dispatcher.name, inflight, connections, descriptors, dispatcher.descriptors_at_start, code
        )


class FaultSchedule:
    """The faults of a scenario that are still to begin or to end."""

    def __init__(self, scenario: Scenario, start: float, worker_events: EventLogReader) -> None:
        timed = [fault for fault in scenario.faults if not fault.on]
        self._due = [DueFault(start + float(fault.at or 0.0) + fault.after, fault, True) for fault in timed]
        self._on_event = [fault for fault in scenario.faults if fault.on]
        self._worker_events = worker_events
        self._begun: list[Event] = []

    @property
    def has_ends(self) -> bool:
        """Whether a fault that has begun is still to end."""
        return any(not due.active for due in self._due)

    def add(self, due: DueFault) -> None:
        """Adds a fault that begins or ends at a time."""
        self._due.append(due)

    def add_end_of(self, begun: DueFault) -> None:
        """Adds the end of a fault that has just begun, if it has one."""
        if begun.active and begun.fault.lasts:
            self.add(DueFault(begun.at + begun.fault.lasts, begun.fault, active=False))

    def take_due(self, now: float) -> list[DueFault]:
        """What has come due, by time or by event; the rest stays."""
        self._begun += [event for event in self._worker_events.read_new() if event["what"] == "began"]
        for fault in [fault for fault in self._on_event if has_come(fault, self._begun)]:
            self._on_event.remove(fault)
            self.add(DueFault(now + fault.after, fault, active=True))
        due = [each for each in self._due if each.at <= now]
        self._due = [each for each in self._due if each.at > now]
        return [DueFault(now, each.fault, each.active) for each in due]


def has_come(fault: Fault, begun: Sequence[Event]) -> bool:
    """Whether the event of a fault has come."""
    dispatcher, count = parse_event(fault.on)
    return sum(1 for event in begun if not dispatcher or event["by"] == dispatcher) >= count


def play(
    scenario: Scenario,
    folder: Path,
    programs: Mapping[str, Program] | None = None,
    between: Callable[[], None] = lambda: None,
) -> Result:
    """Plays a scenario in a folder."""
    with Fleet(scenario, folder, programs) as fleet:
        return fleet.play(between)
