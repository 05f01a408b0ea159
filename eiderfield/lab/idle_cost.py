"""What idle connections cost: memory, processor, and the latency of jobs beside them.

Theory of operation. Two dispatchers run side by side. `calm` holds no idle connections; `loaded` holds a
growing number, each with one whole job behind it. Between steps both stand alone, so that memory and the
processor at rest can be read; then the same stream of jobs goes to one and the other in turn, A B A B, and
a ratio is formed within the run. At the end a part of the idle clients wakes within one second, and then
all of them time out at once.
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from eiderfield.lab.experiment import (
    Dispatcher,
    Experiment,
    StreamProcess,
    split_evenly,
)
from eiderfield.lab.idle_commands import Connect, HangUp, Wake
from eiderfield.lab.processes import LabError, wait_for
from eiderfield.lab.stream import StreamReport, histogram
from eiderfield.lab.usage import slab_memory, socket_memory

SOCKETS = 20_000  # descriptors of the dispatcher; what it needs beyond idle connections is in `SPARE`
SPARE = 900
MEMORY_MB = 2048
WORKER_SHARE = 0.04
WORKERS = 4
PARK_AFTER_MS = 500.0
KEEP_MS = 3_600_000.0
EXPIRED_KEEP_MS = 1000.0  # to which the time is cut, so that all time out at once
# Connections opened and closed again before the first figure: 6 s of jobs at full rate. What these leave for
# some seconds makes the heap grow once, at any number of connections, and is no part of a parked one's cost.
WARM_UP_CONNECTIONS = 8000
WARM_UP_S = 2.0
SETTLE_S = 6.0  # after load until a dispatcher is at rest: the policy's rates climb back for some seconds
SHORT_STREAM_S = 4.0
PERCENTILES = {"p50": 50.0, "p99": 99.0, "p99.9": 99.9, "max": 100.0}


@dataclass
class Plan:
    """What to measure."""

    steps: list[int]  # connections, growing
    processes: int = 2  # of idle clients
    rate: float = 300.0  # jobs a second
    window: float = 10.0  # s of a stream
    rounds: int = 2  # windows of each kind
    rest: float = 5.0  # s at rest
    wake: int = 1000  # connections woken within a second
    expire: int = 10_000  # connections whose time ends within a second
    connections: dict[str, Any] = field(default_factory=dict)  # settings of the loaded one
    say: Callable[[str], None] = lambda _text: None


@dataclass(frozen=True, slots=True)
class KernelMemory:
    """Bytes that the kernel holds, for all sockets of this machine."""

    slab: int
    buffers: int

    @classmethod
    def now(cls) -> KernelMemory:
        """What it holds now."""
        return cls(slab_memory(), socket_memory())

    def since(self, before: KernelMemory) -> int:
        """What it holds more than before."""
        return self.slab - before.slab + self.buffers - before.buffers


@dataclass(frozen=True, slots=True)
class Baseline:
    """What was held before the first idle connection."""

    private: int  # bytes of the loaded dispatcher
    kernel: KernelMemory


class IdleCost:
    """One run."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        check_connections(max(plan.steps))
        self._plan = plan
        self._experiment = Experiment(folder)
        self._streams = 0

    def run(self) -> dict[str, Any]:
        """Measures; the result is in plain values."""
        with self._experiment:
            workers = self._experiment.start_workers(WORKERS)
            self._calm = self._start_dispatcher("calm", workers)
            self._loaded = self._start_dispatcher("crowded", workers)
            self._clients = [
                self._experiment.start_idle_clients(self._loaded.listen, number)
                for number in range(self._plan.processes)
            ]
            self._warm_up()
            control = self._stream_in_turn()  # without idle connections: what differs here is noise
            time.sleep(SETTLE_S)
            baseline = Baseline(self._loaded.usage().private, KernelMemory.now())
            rows = [self._step(count, baseline) for count in sorted(self._plan.steps)]
            woken = self._wake()
            self._hang_up(max(self._plan.steps))
            expired = self._expire()
        return {
            "rate": self._plan.rate,
            "control": control,
            "steps": rows,
            "wake": woken,
            "expire": expired,
        }

    def _start_dispatcher(self, name: str, workers: list[str]) -> Dispatcher:
        connections = {"keep_ms": KEEP_MS, "park_after_ms": PARK_AFTER_MS, **self._plan.connections}
        config = {"limits": idle_limits(), "connections": connections}
        return self._experiment.start_dispatcher(name, config, workers)

    def _warm_up(self) -> None:
        """Builds what is built at first use."""
        for dispatcher in (self._calm, self._loaded):
            self._start_stream(dispatcher, WARM_UP_S).report()
        first = self._clients[0]
        first.run(Connect(WARM_UP_CONNECTIONS))
        wait_for("the first connections are parked", lambda: self._parked() >= WARM_UP_CONNECTIONS)
        first.run(HangUp(WARM_UP_CONNECTIONS))
        wait_for("they have left", lambda: self._parked() == 0)
        time.sleep(1.0)

    def _step(self, count: int, baseline: Baseline) -> dict[str, Any]:
        opened = self._connect(count)
        time.sleep(SETTLE_S)
        private = self._loaded.usage().private
        kernel = KernelMemory.now().since(baseline.kernel)
        shares = self._processor_at_rest()
        latencies = self._stream_in_turn()
        return {
            "connections": count,
            "seconds to open": opened,
            "bytes each": (private - baseline.private) / count,
            "private bytes in all": private,
            "kernel bytes each, both ends": kernel / count,
            "descriptors": self._loaded.usage().descriptors,
            "processor at rest": shares,
            "latency": latencies,
        }

    def _connect(self, count: int) -> float:
        """Opens connections until there are so many and all are parked; s until the last was open."""
        start = time.monotonic()
        shares = split_evenly(count - self._parked(), len(self._clients))
        for clients, share in zip(self._clients, shares, strict=True):
            clients.begin(Connect(share))
        for clients in self._clients:
            report = clients.report()
            if set(report.statuses) - {"200", "503"} or report.open < 1:
                raise LabError(f"not every client was served: {report.statuses}")
        taken = time.monotonic() - start
        wait_for(f"{count} are parked", lambda: self._parked() >= count)
        self._plan.say(f"{count} connections are parked, {taken:.1f} s after the first of this step")
        return taken

    def _hang_up(self, count: int) -> None:
        for clients in self._clients:
            clients.run(HangUp(count))
        wait_for("the idle clients have left", lambda: self._parked() == 0)

    def _processor_at_rest(self) -> dict[str, float]:
        """The share of a core that each takes with nothing to do."""
        dispatchers = {"calm": self._calm, "crowded": self._loaded}
        before = {name: dispatcher.usage().processor for name, dispatcher in dispatchers.items()}
        time.sleep(self._plan.rest)
        after = {name: dispatcher.usage().processor for name, dispatcher in dispatchers.items()}
        return {name: (after[name] - before[name]) / self._plan.rest for name in dispatchers}

    def _stream_in_turn(self) -> dict[str, Any]:
        """The same stream to one and the other, in turn."""
        calm, loaded = Latencies(), Latencies()
        for _ in range(self._plan.rounds):
            calm.add(self._start_stream(self._calm, self._plan.window).report())
            loaded.add(self._start_stream(self._loaded, self._plan.window).report())
        statuses = Counter(calm.statuses)
        statuses.update(loaded.statuses)
        return {**compared(calm, loaded), "statuses": dict(statuses)}

    def _start_stream(self, dispatcher: Dispatcher, seconds: float) -> StreamProcess:
        self._streams += 1
        name = f"stream{self._streams}"
        return self._experiment.start_stream(dispatcher.listen, self._plan.rate, seconds, name)

    def _wake(self) -> dict[str, Any]:
        """So many idle clients speak within one second, beside the stream."""
        stream = self._start_stream(self._loaded, SHORT_STREAM_S)
        time.sleep(1.0)
        share = self._plan.wake // len(self._clients)
        for clients in self._clients:
            clients.begin(Wake(share, seconds=1.0))
        latencies, statuses = histogram(), Counter[str]()
        for clients in self._clients:
            report = clients.report()
            latencies.add(report.histogram())
            statuses.update(report.statuses)
        stream_report = stream.report()
        return {
            "woken": share * len(self._clients),
            "statuses": {"stream": stream_report.statuses, "woken": dict(statuses)},
            "latency": percentiles(latencies),
            "latency of the stream": percentiles(stream_report.latency_histogram()),
        }

    def _expire(self) -> dict[str, Any]:
        """So many idle clients time out at once, beside the stream, in turn with calm streams as long."""
        calm, loaded = Latencies(), Latencies()
        seconds = []
        for _ in range(self._plan.rounds):
            self._connect(self._plan.expire)
            calm.add(self._start_stream(self._calm, SHORT_STREAM_S).report())
            stream = self._start_stream(self._loaded, SHORT_STREAM_S)
            time.sleep(0.5)
            seconds.append(self._time_out_all())
            loaded.add(stream.report())
        return {
            "expired": self._plan.expire,
            "rounds": self._plan.rounds,
            "seconds": max(seconds),
            "statuses": dict(loaded.statuses),
            **compared(calm, loaded),
        }

    def _time_out_all(self) -> float:
        """Cuts the time that connections may be idle until all have left; how many s that took."""
        start = time.monotonic()
        kept = self._loaded.config["connections"]
        self._loaded.reload(connections={**kept, "keep_ms": EXPIRED_KEEP_MS})
        wait_for("the idle clients' time has ended", lambda: self._parked() == 0)
        taken = time.monotonic() - start
        self._loaded.reload(connections=kept)
        return taken

    def _parked(self) -> int:
        return self._loaded.connections("parked")


class Latencies:
    """The latencies of several streams, and how their jobs were answered."""

    def __init__(self) -> None:
        self.histogram = histogram()
        self.statuses: Counter[str] = Counter()

    def add(self, report: StreamReport) -> None:
        """Adds a stream."""
        self.histogram.add(report.latency_histogram())
        self.statuses.update(report.statuses)


def check_connections(count: int) -> None:
    """Raises `LabError` for more connections than a dispatcher can hold."""
    if count > SOCKETS - SPARE:
        raise LabError(
            f"a process holds {SOCKETS} descriptors at the most, of which {SPARE} are not for idle clients"
        )


def idle_limits() -> dict[str, float]:
    """The limits of a dispatcher that holds many idle connections."""
    return {"sockets": SOCKETS, "memory_mb": MEMORY_MB, "worker_share": WORKER_SHARE}


def percentiles(latencies: HdrHistogram) -> dict[str, float]:
    """In ms."""
    return {
        name: latencies.get_value_at_percentile(percent) / 1000.0 for name, percent in PERCENTILES.items()
    }


def compared(calm: Latencies, loaded: Latencies) -> dict[str, Any]:
    """The percentiles of both, and their ratios."""
    shown = {"calm": percentiles(calm.histogram), "crowded": percentiles(loaded.histogram)}
    return {**shown, "ratio": ratio(shown["calm"], shown["crowded"])}


def ratio(calm: dict[str, float], loaded: dict[str, float]) -> dict[str, float]:
    """Loaded over calm, percentile by percentile."""
    return {name: loaded[name] / calm[name] if calm[name] else inf for name in calm}
