"""Injects faults: signals and resource limits for dispatchers, commands to the proxy and to the backends.

Injected faults are recorded with their times, because the rules excuse what a fault explains. The load
balancer of the clients (`Front`) learns only after a delay that a dispatcher has failed or recovered.
"""

from __future__ import annotations

import json
import resource
import signal
import threading
import time
from collections.abc import Callable, Mapping, Sequence
from contextlib import suppress
from fnmatch import fnmatchcase
from math import inf
from typing import Any

import psutil

from eiderfield.lab.fleet.child import StandInProcess
from eiderfield.lab.fleet.commands import SetBackendFault, SetHealthyDispatchers, SetLinkFault
from eiderfield.lab.fleet.dispatcher import Dispatcher
from eiderfield.lab.fleet.rules import InjectedFault
from eiderfield.lab.fleet.scenario import RESOURCE_FAULTS, Fault, target_kind
from eiderfield.lab.processes import LabError, wait_for

DEFAULT_DESCRIPTOR_LIMIT = 4096  # of a dispatcher without a `descriptors` fault
MEGABYTE = 2**20
INSTANT_LINK_FAULTS = ("reset", "half")  # these have no duration


class FaultInjector:
    """Begins and ends the faults of a run."""

    def __init__(
        self,
        dispatchers: Mapping[str, Dispatcher],
        links: Sequence[str],
        proxy: StandInProcess,
        backends: StandInProcess,
        clients: StandInProcess,
        detection_delay: float,
        log: Any,
    ) -> None:
        self.injected: list[InjectedFault] = []
        self._dispatchers = dispatchers
        self._links = links
        self._proxy = proxy
        self._backends = backends
        self._clients = clients
        self._detection_delay = detection_delay  # s until the front learns of a failure or a recovery
        self._log = log
        self._failed: set[str] = set()  # dispatchers reported to the front as failed
        self._restarts: list[threading.Thread] = []  # each waits for a restarted dispatcher to become ready
        self._failpoints = [name for name, each in dispatchers.items() if each.program.failpoint]
        self._dispatcher_faults: dict[str, Callable[[Dispatcher, Fault, bool], None]] = {
            "stop": set_stopped,
            "descriptors": set_descriptor_limit,
            "disk": set_file_size_limit,
            "memory": set_memory_limit,
        }

    def inject(self, fault: Fault, active: bool = True) -> None:
        """Begin the fault, or end it if not `active`."""
        self._log.info("fault" if active else "mended", what=fault.what, who=fault.who)
        kind = target_kind(fault.who)
        if kind == "dispatcher" and active:
            self._begin_dispatcher_fault(self._dispatchers[fault.who], fault)
        elif kind == "dispatcher":
            self._end_dispatcher_fault(self._dispatchers[fault.who], fault)
        elif kind == "link":
            self._set_link_fault(fault, active)
        else:
            self._backends.send(SetBackendFault(fault.what, fault.who, active, fault.value))
            self._record(fault.what, fault.who, active)

    def reached_failpoints(self) -> list[tuple[float, Fault]]:
        """Return the faults of dispatchers that failed at a failpoint since the last call.

        Each comes with the time at which it must be ended: a killed dispatcher is then restarted, a stopped
        one continued.
        """
        reached: list[tuple[float, Fault]] = []
        for name in [name for name in self._failpoints if self._dispatchers[name].failpoint_marker.exists()]:
            self._failpoints.remove(name)
            what, duration = json.loads(self._dispatchers[name].failpoint_marker.read_text())
            self._record(what, name, True)
            self._notify_front_later(name, failed=True)
            reached.append((time.monotonic() + duration, Fault(what, name, at=0.0)))
        return reached

    def wait_for_restarts(self) -> None:
        """Wait until each restarted dispatcher is ready or its wait has timed out."""
        for thread in self._restarts:
            thread.join()

    def _set_link_fault(self, fault: Fault, active: bool) -> None:
        links = [name for name in self._links if fnmatchcase(name, fault.who)]
        self._proxy.send(SetLinkFault(fault.what, links, active, fault.way, fault.value))
        for name in links:
            self._record(fault.what, name, active, is_instant=fault.what in INSTANT_LINK_FAULTS)

    def _begin_dispatcher_fault(self, dispatcher: Dispatcher, fault: Fault) -> None:
        dispatcher.find_process()
        if fault.what != "disk":  # excuses no breach of a rule, so that it is not recorded
            self._record(fault.what, dispatcher.name, True)
        if fault.what == "kill":
            dispatcher.signal(signal.SIGKILL)
            dispatcher.wait()
        elif fault.what == "term":
            dispatcher.signal(signal.SIGTERM)
        else:
            self._dispatcher_faults[fault.what](dispatcher, fault, True)
        if fault.what not in RESOURCE_FAULTS:
            self._notify_front_later(dispatcher.name, failed=True)

    def _end_dispatcher_fault(self, dispatcher: Dispatcher, fault: Fault) -> None:
        if fault.what in ("kill", "term"):
            self._restart(dispatcher, fault)
            return
        self._dispatcher_faults[fault.what](dispatcher, fault, False)
        self._record(fault.what, dispatcher.name, False)
        if fault.what not in RESOURCE_FAULTS:
            self._notify_front_later(dispatcher.name, failed=False)

    def _restart(self, dispatcher: Dispatcher, fault: Fault) -> None:
        dispatcher.wait()
        dispatcher.start(wait=False)
        thread = threading.Thread(target=self._wait_for_restart, args=(dispatcher, fault), daemon=True)
        self._restarts.append(thread)
        thread.start()

    def _wait_for_restart(self, dispatcher: Dispatcher, fault: Fault) -> None:
        """Record the end of a fault once the restarted dispatcher is ready.

        Under other faults it may never become ready; the fault then ends with the time-out of the wait.
        """
        with suppress(LabError):
            wait_for(f"{dispatcher.name} is ready", dispatcher.ready)
        self._record(fault.what, dispatcher.name, False)
        self._notify_front(dispatcher.name, failed=False)

    def _record(self, what: str, target: str, active: bool, is_instant: bool = False) -> None:
        now = time.monotonic()
        if active:
            self.injected.append(InjectedFault(what, target, now, now if is_instant else inf))
            return
        for index, fault in enumerate(self.injected):
            if fault.what == what and fault.who == target and fault.until == inf:
                self.injected[index] = InjectedFault(what, target, fault.since, now)

    def _notify_front_later(self, name: str, failed: bool) -> None:
        timer = threading.Timer(self._detection_delay, self._notify_front, (name, failed))
        timer.daemon = True
        timer.start()

    def _notify_front(self, name: str, failed: bool) -> None:
        if failed:
            self._failed.add(name)
        else:
            self._failed.discard(name)
        healthy = [each for each in self._dispatchers if each not in self._failed]
        with suppress(OSError, ValueError):  # the clients' process may have ended with the run
            self._clients.send(SetHealthyDispatchers(healthy))


def set_stopped(dispatcher: Dispatcher, _fault: Fault, active: bool) -> None:
    """Stop the process (SIGSTOP), or continue it if not `active`."""
    dispatcher.signal(signal.SIGSTOP if active else signal.SIGCONT)


def set_descriptor_limit(dispatcher: Dispatcher, fault: Fault, active: bool) -> None:
    """Limit the number of open descriptors of the process, or restore the default."""
    limit = int(fault.value) if active else DEFAULT_DESCRIPTOR_LIMIT
    set_limit(dispatcher.pid, resource.RLIMIT_NOFILE, limit, DEFAULT_DESCRIPTOR_LIMIT)


def set_file_size_limit(dispatcher: Dispatcher, fault: Fault, active: bool) -> None:
    """Limit the size of the files that the process writes, or lift the limit."""
    limit = int(fault.value) if active else resource.RLIM_INFINITY
    set_limit(dispatcher.pid, resource.RLIMIT_FSIZE, limit)


def set_memory_limit(dispatcher: Dispatcher, fault: Fault, active: bool) -> None:
    """Limit the growth of the process's address space to `fault.value` MB, or lift the limit."""
    with suppress(psutil.Error):
        used = psutil.Process(dispatcher.pid).memory_info().vms
        limit = used + int(fault.value * MEGABYTE) if active else resource.RLIM_INFINITY
        set_limit(dispatcher.pid, resource.RLIMIT_AS, limit)


def set_limit(pid: int, kind: int, soft: int, hard: int = resource.RLIM_INFINITY) -> None:
    """Set a resource limit of a process; do nothing if the process has ended."""
    with suppress(ProcessLookupError):
        resource.prlimit(pid, kind, (soft, hard))
