"""Queues of the requests that wait here, by class and tenant.

Theory of operation. The design names two stages. A request first enters the global request buffer (GRB),
which bounds what is held in all; each class has its part of it. From there it moves to the second-level
buffer (SLB) of its class, which is short and from which requests are released at the class's rate, first come
first served. While an SLB is nearly full, its class stays in the GRB. What can be worth nothing any more
moves aside, so that it doesn't make what comes after it late as well.

What must never happen: a request in two queues; a request that is answered and still in one.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from itertools import islice

from eiderfield.interface import RequestClass, Settings
from eiderfield.policy.rate_control import FLOOR_REST, FLOOR_TOP, Pacer
from eiderfield.policy.request import QueuedRequest, QueueId

LEAST_RUN_MS = 1.0  # that a request of a class is taken to run before any has: an objective may be 0
SLB_SIZE = 8  # requests in a second-level buffer: enough to keep every worker fed between two events
NEAR_FULL = 0.75  # share of an SLB at which its class is held in the GRB


@dataclass(slots=True, eq=False)
class ClassQueue:
    """The buffers of one class and tenant, within or above its quota: a part of the GRB, and the SLB."""

    cls: RequestClass
    pacer: Pacer
    worth: float
    grb: OrderedDict[int, QueuedRequest] = field(default_factory=OrderedDict)
    slb: OrderedDict[int, QueuedRequest] = field(default_factory=OrderedDict)
    late: OrderedDict[int, QueuedRequest] = field(
        default_factory=OrderedDict
    )  # what can be worth nothing any more

    def room(self) -> bool:
        """Whether the SLB is not near-full. The SLB of a class with a high floor grows as its rate is cut."""
        size = float(SLB_SIZE)
        if self.pacer.rate is not None and self.pacer.floor_share == FLOOR_TOP:
            size *= max(1.0, self.pacer.uncut / self.pacer.rate)
        return len(self.slb) < NEAR_FULL * size

    def set_late_aside(self, now: float) -> None:
        """Moves what can be in time no more behind what can."""
        for queue in (self.slb, self.grb):
            late = [request for request in islice(queue.values(), SLB_SIZE) if now > request.timely]
            for request in late:
                request.queue = self.late
                self.late[request.id] = queue.pop(request.id)

    def fill_slb(self) -> None:
        """Moves requests from the GRB to the SLB while that has room."""
        while self.grb and self.room():
            _, request = self.grb.popitem(last=False)
            request.queue = self.slb
            self.slb[request.id] = request


class ClassQueues:
    """All queues of a dispatcher, highest worth first, and what is held in them."""

    def __init__(self, settings: Settings) -> None:
        floors = {max(cls.priority_weight for cls in settings.classes): FLOOR_TOP}
        runs = [max(LEAST_RUN_MS, 0.5 * cls.latency_objective_ms) for cls in settings.classes]
        floor_shares = [floors.get(cls.priority_weight, FLOOR_REST) for cls in settings.classes]
        self.pacers = [Pacer(*figures) for figures in zip(floor_shares, runs, strict=True)]
        self.by_id: dict[QueueId, ClassQueue] = {}
        for number, (cls, pacer) in enumerate(zip(settings.classes, self.pacers, strict=True)):
            for tenant in range(max(1, len(settings.tenants))):
                for over_quota in (False, True):
                    worth = cls.priority_weight * (settings.over_quota_weight if over_quota else 1.0)
                    self.by_id[QueueId(number, tenant, over_quota)] = ClassQueue(cls, pacer, worth)
        self.by_worth: list[ClassQueue] = []
        self._sort()
        self.held = 0  # requests that wait here
        self.held_run = 0.0  # their expected running time, in ms

    def adopt(self, settings: Settings) -> None:
        """Takes new numbers of the same classes and tenants. What came before keeps its class as it was."""
        fresh = ClassQueues(settings)
        for queue, new in zip(self.by_id.values(), fresh.by_id.values(), strict=True):
            queue.cls = new.cls
            queue.worth = new.worth
            queue.pacer.floor_share = new.pacer.floor_share
        self._sort()

    def learnt(self) -> list[tuple[float, float | None, float, float]]:
        """What rate control has learnt of each class, in plain values, for the next process."""
        return [(pacer.run, pacer.rate, pacer.uncut, pacer.next_at) for pacer in self.pacers]

    def resume(self, learnt: Iterable[tuple[float, float | None, float, float]]) -> None:
        """Goes on from what the process before had learnt."""
        for pacer, values in zip(self.pacers, learnt, strict=True):
            pacer.run, pacer.rate, pacer.uncut, pacer.next_at = values

    def add(self, request: QueuedRequest, queue: OrderedDict[int, QueuedRequest]) -> None:
        """Holds a request in a queue, behind the others."""
        request.queue = queue
        queue[request.id] = request
        self.held += 1
        self.held_run += request.run

    def add_first(self, request: QueuedRequest) -> None:
        """Holds a request that goes on before the others of its class: it has waited longest."""
        slb = self.by_id[request.queue_id].slb
        self.add(request, slb)
        slb.move_to_end(request.id, last=False)

    def remove(self, request: QueuedRequest) -> None:
        """Takes a request out of its queue, if it is in one."""
        if request.queue is None:
            return
        del request.queue[request.id]
        request.queue = None
        self.held -= 1
        self.held_run -= request.run

    def close_windows(self, now: float, window_ms: float) -> None:
        """Ends the windows of rate control that are over."""
        for pacer in self.pacers:
            if now >= pacer.start + window_ms:
                waiting = any(queue.slb or queue.grb for queue in self.by_worth if queue.pacer is pacer)
                pacer.close_window(now, waiting)

    def to_release(self) -> Iterator[tuple[ClassQueue, list[QueuedRequest]]]:
        """The first requests of each queue, in the order of release; late ones only while no other waits."""
        timely = any(queue.slb for queue in self.by_worth)
        for queue in self.by_worth:
            buffer = queue.slb if timely else queue.late
            yield queue, list(islice(buffer.values(), SLB_SIZE))

    def shed_order(self) -> Iterator[QueuedRequest]:
        """Yield held requests in the order in which they are shed.

        Late requests come first, then the lowest weight (the GRB before the SLB), the newest first.
        """
        by_worth = [(queue.worth, queue.grb) for queue in self.by_worth]
        by_worth += [(queue.worth, queue.slb) for queue in self.by_worth]
        by_worth.sort(key=lambda pair: pair[0])
        late = [queue.late for queue in self.by_worth]
        for buffer in late + [buffer for _, buffer in by_worth]:
            yield from reversed(buffer.values())

    def _sort(self) -> None:
        self.by_worth = sorted(self.by_id.values(), key=lambda queue: queue.worth, reverse=True)
