"""What idle connections cost: memory, processor, and the latency of jobs beside them.

Theory of operation. Two dispatchers run side by side. `calm` has no crowd; `crowded` has one of growing
size, each phone with one whole job behind it. Between steps both stand alone, so that memory and the
processor at rest can be read; then the same stream of jobs goes to one and the other in turn, A B A B, and
a ratio is formed within the run. At the end a part of the crowd wakes within one second, and then all of it
times out at once.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from eiderfield.lab.rig import Dispatcher, Phones, Rig, RigError, Stream, decode, wait_for
from eiderfield.lab.stream import histogram
from eiderfield.lab.usage import slab_memory, socket_memory

SOCKETS = 20_000  # descriptors of the dispatcher; what it needs beyond the crowd is in `SPARE`
SPARE = 900
WORKERS = 4
PARK_AFTER = 500.0  # ms
KEEP = 3_600_000.0  # ms
# Connections opened and closed again before the first figure: 6 s of jobs at full rate. What these leave for
# some seconds makes the heap grow once, at any number of connections, and is no part of a parked one's cost.
WARM = 8000
SETTLE = 6.0  # s after load until a dispatcher is at rest: the module's rates climb back for some seconds


@dataclass
class Plan:
    """What to measure."""

    steps: list[int]  # connections, growing
    processes: int = 2  # of phones
    rate: float = 300.0  # jobs a second
    window: float = 10.0  # s of a stream
    rounds: int = 2  # windows of each kind
    rest: float = 5.0  # s at rest
    wake: int = 1000  # connections woken within a second
    expire: int = 10_000  # connections whose time ends within a second
    connections: dict[str, Any] = field(default_factory=dict)  # settings of the crowded one
    say: Callable[[str], None] = lambda text: None


def percentiles(found: HdrHistogram) -> dict[str, float]:
    """In ms."""
    marks = {"p50": 50.0, "p99": 99.0, "p99.9": 99.9, "max": 100.0}
    return {name: found.get_value_at_percentile(at) / 1000.0 for name, at in marks.items()}


class Idle:
    """One run."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        if any(step > SOCKETS - SPARE for step in plan.steps):
            raise RigError(
                f"a process holds {SOCKETS} descriptors at the most, of which {SPARE} are not for the crowd"
            )
        self._plan = plan
        self._rig = Rig(folder)
        self._streams = 0

    def run(self) -> dict[str, Any]:
        """Measures; the result is in plain values."""
        plan = self._plan
        with self._rig:
            workers = self._rig.workers(WORKERS)
            calm = self._dispatcher("calm", workers)
            crowded = self._dispatcher("crowded", workers)
            crowd = [self._rig.phones(crowded.listen, number) for number in range(plan.processes)]
            for dispatcher in (calm, crowded):
                self._stream(dispatcher, 2.0)  # what is built at first use is built
            crowd[0].ask("open", count=WARM)
            wait_for("the first phones are parked", lambda: self._parked(crowded) >= WARM)
            crowd[0].ask("hang-up", count=WARM)
            wait_for("they have left", lambda: self._parked(crowded) == 0)
            time.sleep(1.0)
            control = self._in_turn(calm, crowded)  # with no crowd: what differs here is noise
            time.sleep(SETTLE)
            base = crowded.usage().private
            kernel = (slab_memory(), socket_memory())
            rows = []
            for step in sorted(plan.steps):
                rows.append(self._step(step, calm, crowded, crowd, base, kernel))
            woken = self._wake(crowded, crowd)
            for phones in crowd:
                phones.ask("hang-up", count=max(plan.steps))
            wait_for("the crowd has left", lambda: self._parked(crowded) == 0)
            expired = self._expire(calm, crowded, crowd)
            return {"rate": plan.rate, "control": control, "steps": rows, "wake": woken, "expire": expired}

    def _dispatcher(self, name: str, workers: list[str]) -> Dispatcher:
        connections = {"keep_ms": KEEP, "park_after_ms": PARK_AFTER, **self._plan.connections}
        limits = {"sockets": SOCKETS, "memory_mb": 2048, "worker_share": 0.04}
        return self._rig.dispatcher(name, {"limits": limits, "connections": connections}, workers)

    def _step(
        self, count: int, calm: Dispatcher, crowded: Dispatcher, crowd: list[Phones], base: int,
        kernel: tuple[int, int],
    ) -> dict[str, Any]:  # fmt: skip
        opened = self._open(count, crowded, crowd)
        time.sleep(SETTLE)
        private = crowded.usage().private
        slab, buffers = slab_memory() - kernel[0], socket_memory() - kernel[1]
        shares = self._at_rest(calm, crowded)
        latencies = self._in_turn(calm, crowded)
        return {
            "connections": count,
            "seconds to open": opened,
            "bytes each": (private - base) / count,
            "private bytes in all": private,
            "kernel bytes each, both ends": (slab + buffers) / count,
            "descriptors": crowded.usage().descriptors,
            "processor at rest": shares,
            "latency": latencies,
        }

    def _open(self, count: int, crowded: Dispatcher, crowd: list[Phones]) -> float:
        """Lets the crowd grow to so many and waits until all are parked."""
        start = time.monotonic()
        have = int(crowded.figures()["connections"]["parked"])
        share, rest = divmod(count - have, len(crowd))
        for number, phones in enumerate(crowd):
            phones.begin("open", count=share + (number < rest))
        for phones in crowd:
            told = phones.result()
            if set(told["statuses"]) - {"200", "503"} or told["open"] < 1:
                raise RigError(f"not every phone was served: {told['statuses']}")
        taken = time.monotonic() - start
        wait_for(f"{count} are parked", lambda: self._parked(crowded) >= count)
        self._plan.say(f"{count} connections are parked, {taken:.1f} s after the first of this step")
        return taken

    def _at_rest(self, calm: Dispatcher, crowded: Dispatcher) -> dict[str, float]:
        """The share of a core that each takes with nothing to do."""
        before = [dispatcher.usage().processor for dispatcher in (calm, crowded)]
        time.sleep(self._plan.rest)
        after = [dispatcher.usage().processor for dispatcher in (calm, crowded)]
        shares = [(b - a) / self._plan.rest for a, b in zip(before, after, strict=True)]
        return {"calm": shares[0], "crowded": shares[1]}

    def _in_turn(self, calm: Dispatcher, crowded: Dispatcher) -> dict[str, Any]:
        """The same stream to one and the other, in turn."""
        found = {"calm": histogram(), "crowded": histogram()}
        statuses: dict[str, int] = {}
        for _ in range(self._plan.rounds):
            for name, dispatcher in (("calm", calm), ("crowded", crowded)):
                told = self._stream(dispatcher, self._plan.window)
                found[name].add(decode(told["latencies"]))
                for status, times in told["statuses"].items():
                    statuses[status] = statuses.get(status, 0) + times
        result: dict[str, Any] = {name: percentiles(one) for name, one in found.items()}
        result["ratio"] = ratio(result["calm"], result["crowded"])
        result["statuses"] = statuses
        return result

    def _stream(self, dispatcher: Dispatcher, seconds: float) -> dict[str, Any]:
        return self._begin(dispatcher, seconds).result()

    def _begin(self, dispatcher: Dispatcher, seconds: float) -> Stream:
        self._streams += 1
        return self._rig.stream(dispatcher.listen, self._plan.rate, seconds, f"stream{self._streams}")

    def _wake(self, crowded: Dispatcher, crowd: list[Phones]) -> dict[str, Any]:
        """So many of the crowd speak within one second, beside the stream."""
        stream = self._begin(crowded, 4.0)
        time.sleep(1.0)
        share = self._plan.wake // len(crowd)
        for phones in crowd:
            phones.begin("wake", count=share, seconds=1.0)
        found = histogram()
        statuses: dict[str, dict[str, int]] = {"stream": {}, "woken": {}}
        for phones in crowd:
            told = phones.result()
            found.add(decode(told["latencies"]))
            for status, times in told["statuses"].items():
                statuses["woken"][status] = statuses["woken"].get(status, 0) + times
        told = stream.result()
        statuses["stream"] = told["statuses"]
        return {
            "woken": share * len(crowd), "statuses": statuses, "latency": percentiles(found),
            "latency of the stream": percentiles(decode(told["latencies"])),
        }  # fmt: skip

    def _expire(self, calm: Dispatcher, crowded: Dispatcher, crowd: list[Phones]) -> dict[str, Any]:
        """So many of the crowd time out at once, beside the stream, in turn with calm streams as long."""
        plan = self._plan
        found = {"calm": histogram(), "crowded": histogram()}
        statuses: dict[str, int] = {}
        seconds = []
        for _ in range(plan.rounds):
            self._open(plan.expire, crowded, crowd)
            found["calm"].add(decode(self._stream(calm, 4.0)["latencies"]))
            stream = self._begin(crowded, 4.0)
            time.sleep(0.5)
            start = time.monotonic()
            kept = crowded.config["connections"]
            crowded.reload(connections={**kept, "keep_ms": 1000.0})
            wait_for("the crowd's time has ended", lambda: self._parked(crowded) == 0)
            seconds.append(time.monotonic() - start)
            told = stream.result()
            crowded.reload(connections=kept)
            found["crowded"].add(decode(told["latencies"]))
            for status, times in told["statuses"].items():
                statuses[status] = statuses.get(status, 0) + times
        result: dict[str, Any] = {name: percentiles(one) for name, one in found.items()}
        result["ratio"] = ratio(result["calm"], result["crowded"])
        return {"expired": plan.expire, "rounds": plan.rounds, "seconds": max(seconds),
                "statuses": statuses, **result}  # fmt: skip

    @staticmethod
    def _parked(dispatcher: Dispatcher) -> int:
        return int(dispatcher.figures()["connections"]["parked"])


def ratio(calm: dict[str, float], crowded: dict[str, float]) -> dict[str, float]:
    """Crowded over calm, percentile by percentile."""
    return {name: crowded[name] / calm[name] if calm[name] else inf for name in calm}
