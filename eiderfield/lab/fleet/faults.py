"""Carries faults out: signals and limits of dispatchers, commands to the proxy and to the backends.

What was carried out is kept with its times, for the rules excuse what a fault explains. The front before the
clients learns some time later that a dispatcher is gone, or back.
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

USUAL_DESCRIPTORS = 4096  # a dispatcher's limit where no fault lowers it
MEGABYTE = 2**20
MOMENTARY = ("reset", "half")  # faults of links that are over at once


class FaultInjector:
    """Begins and ends faults of a run."""

    def __init__(
        self,
        dispatchers: Mapping[str, Dispatcher],
        links: Sequence[str],
        proxy: StandInProcess,
        backends: StandInProcess,
        clients: StandInProcess,
        notice: float,
        log: Any,
    ) -> None:
        self.injected: list[InjectedFault] = []
        self._dispatchers = dispatchers
        self._links = links
        self._proxy = proxy
        self._backends = backends
        self._clients = clients
        self._notice = notice  # s after which the front knows that a dispatcher is gone, or back
        self._log = log
        self._gone: set[str] = set()  # dispatchers that the front holds for dead
        self._restarts: list[threading.Thread] = []  # which wait for dispatchers that were started again
        self._failpoints = [name for name, each in dispatchers.items() if each.program.failpoint]
        self._dispatcher_faults: dict[str, Callable[[Dispatcher, Fault, bool], None]] = {
            "stop": set_stopped,
            "descriptors": set_descriptor_limit,
            "disk": set_file_size_limit,
            "memory": set_memory_limit,
        }

    def inject(self, fault: Fault, active: bool = True) -> None:
        """Begins a fault, or ends it."""
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

        Each comes with the time at which it is to be ended, when a killed dispatcher is started again.
        """
        found: list[tuple[float, Fault]] = []
        for name in [name for name in self._failpoints if self._dispatchers[name].failpoint_marker.exists()]:
            self._failpoints.remove(name)
            how, lasts = json.loads(self._dispatchers[name].failpoint_marker.read_text())
            self._record(how, name, True)
            self._tell_front_later(name, gone=True)
            found.append((time.monotonic() + lasts, Fault(how, name, at=0.0)))
        return found

    def wait_for_restarts(self) -> None:
        """Waits until the dispatchers that were started again are ready, or have failed."""
        for thread in self._restarts:
            thread.join()

    def _set_link_fault(self, fault: Fault, active: bool) -> None:
        links = [name for name in self._links if fnmatchcase(name, fault.who)]
        self._proxy.send(SetLinkFault(fault.what, links, active, fault.way, fault.value))
        for name in links:
            self._record(fault.what, name, active, momentary=fault.what in MOMENTARY)

    def _begin_dispatcher_fault(self, dispatcher: Dispatcher, fault: Fault) -> None:
        dispatcher.find_process()
        if fault.what != "disk":  # which excuses nothing
            self._record(fault.what, dispatcher.name, True)
        if fault.what == "kill":
            dispatcher.signal(signal.SIGKILL)
            dispatcher.wait()
        elif fault.what == "term":
            dispatcher.signal(signal.SIGTERM)
        else:
            self._dispatcher_faults[fault.what](dispatcher, fault, True)
        if fault.what not in RESOURCE_FAULTS:
            self._tell_front_later(dispatcher.name, gone=True)

    def _end_dispatcher_fault(self, dispatcher: Dispatcher, fault: Fault) -> None:
        if fault.what in ("kill", "term"):
            self._restart(dispatcher, fault)
            return
        self._dispatcher_faults[fault.what](dispatcher, fault, False)
        self._record(fault.what, dispatcher.name, False)
        if fault.what not in RESOURCE_FAULTS:
            self._tell_front_later(dispatcher.name, gone=False)

    def _restart(self, dispatcher: Dispatcher, fault: Fault) -> None:
        dispatcher.wait()
        dispatcher.start(wait=False)
        thread = threading.Thread(target=self._wait_until_back, args=(dispatcher, fault), daemon=True)
        self._restarts.append(thread)
        thread.start()

    def _wait_until_back(self, dispatcher: Dispatcher, fault: Fault) -> None:
        """One that was started again is gone until it is ready: amid other faults that may be never."""
        with suppress(LabError):
            wait_for(f"{dispatcher.name} is ready", dispatcher.ready)
        self._record(fault.what, dispatcher.name, False)
        self._tell_front(dispatcher.name, gone=False)

    def _record(self, what: str, target: str, active: bool, momentary: bool = False) -> None:
        now = time.monotonic()
        if active:
            self.injected.append(InjectedFault(what, target, now, now if momentary else inf))
            return
        for place, fault in enumerate(self.injected):
            if fault.what == what and fault.who == target and fault.until == inf:
                self.injected[place] = InjectedFault(what, target, fault.since, now)

    def _tell_front_later(self, name: str, gone: bool) -> None:
        timer = threading.Timer(self._notice, self._tell_front, (name, gone))
        timer.daemon = True
        timer.start()

    def _tell_front(self, name: str, gone: bool) -> None:
        if gone:
            self._gone.add(name)
        else:
            self._gone.discard(name)
        healthy = [each for each in self._dispatchers if each not in self._gone]
        with suppress(OSError, ValueError):  # the run may be over
            self._clients.send(SetHealthyDispatchers(healthy))


def set_stopped(dispatcher: Dispatcher, _fault: Fault, active: bool) -> None:
    """Stops a process, or continues it."""
    dispatcher.signal(signal.SIGSTOP if active else signal.SIGCONT)


def set_descriptor_limit(dispatcher: Dispatcher, fault: Fault, active: bool) -> None:
    """Limits how many descriptors a process may open."""
    limit = int(fault.value) if active else USUAL_DESCRIPTORS
    set_limit(dispatcher.pid, resource.RLIMIT_NOFILE, limit, USUAL_DESCRIPTORS)


def set_file_size_limit(dispatcher: Dispatcher, fault: Fault, active: bool) -> None:
    """Limits how long a file may be that a process writes."""
    limit = int(fault.value) if active else resource.RLIM_INFINITY
    set_limit(dispatcher.pid, resource.RLIMIT_FSIZE, limit)


def set_memory_limit(dispatcher: Dispatcher, fault: Fault, active: bool) -> None:
    """Limits how much memory a process may take beyond what it has."""
    with suppress(psutil.Error):
        used = psutil.Process(dispatcher.pid).memory_info().vms
        limit = used + int(fault.value * MEGABYTE) if active else resource.RLIM_INFINITY
        set_limit(dispatcher.pid, resource.RLIMIT_AS, limit)


def set_limit(pid: int, kind: int, soft: int, hard: int = resource.RLIM_INFINITY) -> None:
    """Sets a limit of a process, if it is there."""
    with suppress(ProcessLookupError):
        resource.prlimit(pid, kind, (soft, hard))
