"""Queues of the requests that wait in this dispatcher, by class and tenant.

A request waits in two stages. It first enters the global request buffer (GRB), whose total size is bounded
and in which each class has its own part. From there it moves to the second-level buffer (SLB) of its class,
which is short; requests are released from it in the order of arrival, at the rate of the class. While an SLB
is nearly full, requests of its class stay in the GRB. Requests that can only be answered too late to be
useful move to a third buffer, so that they do not delay the requests behind them.

Invariants: a request is in at most one buffer; an answered request is in none.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from itertools import islice

from eiderfield.interface import RequestClass, Settings
from eiderfield.model.learned_state import PacerState
from eiderfield.policy.rate_control import OTHER_CLASS_FLOOR_SHARE, TOP_CLASS_FLOOR_SHARE, Pacer
from eiderfield.policy.request import QueuedRequest, QueueId

MIN_DEFAULT_DURATION_MS = 1.0  # least duration assumed before any request has run: an objective may be 0
SLB_SIZE = 8  # requests in a second-level buffer: enough to keep workers busy between two events
NEARLY_FULL_SHARE = 0.75  # share of the SLB's size from which requests of the class stay in the GRB


@dataclass(slots=True, eq=False)
class ClassQueue:
    """The buffers of one class and tenant, within or above the tenant's quota."""

    request_class: RequestClass
    pacer: Pacer
    weight: float
    grb: OrderedDict[int, QueuedRequest] = field(default_factory=OrderedDict)
    slb: OrderedDict[int, QueuedRequest] = field(default_factory=OrderedDict)
    late: OrderedDict[int, QueuedRequest] = field(
        default_factory=OrderedDict
    )  # can only be answered too late to be useful

    def has_room(self) -> bool:
        """Return whether the SLB is not nearly full; that of a top class grows as its rate is reduced."""
        size = float(SLB_SIZE)
        if self.pacer.rate is not None and self.pacer.floor_share == TOP_CLASS_FLOOR_SHARE:
            size *= max(1.0, self.pacer.uncut_rate / self.pacer.rate)
        return len(self.slb) < NEARLY_FULL_SHARE * size

    def move_late_requests(self, now: float) -> None:
        """Move requests that can no longer be answered in time to the buffer of late requests."""
        for queue in (self.slb, self.grb):
            late = [
                request for request in islice(queue.values(), SLB_SIZE) if now > request.latest_useful_start
            ]
            for request in late:
                request.queue = self.late
                self.late[request.id] = queue.pop(request.id)

    def fill_slb(self) -> None:
        """Move requests from the GRB to the SLB while it has room."""
        while self.grb and self.has_room():
            _, request = self.grb.popitem(last=False)
            request.queue = self.slb
            self.slb[request.id] = request


class ClassQueues:
    """All queues of a dispatcher, and the number and expected running time of the requests in them."""

    def __init__(self, settings: Settings) -> None:
        """Create empty queues for each class and tenant of the settings."""
        floors = {max(cls.priority_weight for cls in settings.classes): TOP_CLASS_FLOOR_SHARE}
        durations = [max(MIN_DEFAULT_DURATION_MS, 0.5 * cls.latency_objective_ms) for cls in settings.classes]
        floor_shares = [floors.get(cls.priority_weight, OTHER_CLASS_FLOOR_SHARE) for cls in settings.classes]
        self.pacers = [Pacer(*parameters) for parameters in zip(floor_shares, durations, strict=True)]
        self.by_id: dict[QueueId, ClassQueue] = {}
        for class_index, (request_class, pacer) in enumerate(zip(settings.classes, self.pacers, strict=True)):
            for tenant in range(max(1, len(settings.tenants))):
                for over_quota in (False, True):
                    share = settings.over_quota_weight if over_quota else 1.0
                    queue = ClassQueue(request_class, pacer, share * request_class.priority_weight)
                    self.by_id[QueueId(class_index, tenant, over_quota)] = queue
        self.by_weight: list[ClassQueue] = []
        self._sort()
        self.held_count = 0
        self.held_duration_ms = 0.0  # the sum of expected running times

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings with the same classes and tenants; held requests keep the old class settings."""
        new_queues = ClassQueues(settings)
        for queue, new in zip(self.by_id.values(), new_queues.by_id.values(), strict=True):
            queue.request_class = new.request_class
            queue.weight = new.weight
            queue.pacer.floor_share = new.pacer.floor_share
        self._sort()

    def pacer_states(self) -> tuple[PacerState, ...]:
        """Return the state of each class's rate control."""
        return tuple(
            PacerState(pacer.mean_duration, pacer.rate, pacer.uncut_rate, pacer.next_release_at)
            for pacer in self.pacers
        )

    def resume(self, states: Iterable[PacerState]) -> None:
        """Continue with the rate control state of the previous process, class by class.

        Raises:
            ValueError: The number of classes is different.
        """
        for pacer, state in zip(self.pacers, states, strict=True):
            pacer.mean_duration = state.mean_duration
            pacer.rate = state.rate
            pacer.uncut_rate = state.uncut_rate
            pacer.next_release_at = state.next_release_at

    def add(self, request: QueuedRequest, queue: OrderedDict[int, QueuedRequest]) -> None:
        """Append a request to a buffer."""
        request.queue = queue
        queue[request.id] = request
        self.held_count += 1
        self.held_duration_ms += request.expected_duration_ms

    def add_first(self, request: QueuedRequest) -> None:
        """Put a request that is retried at the head of its class's SLB, because it has waited longest."""
        slb = self.by_id[request.queue_id].slb
        self.add(request, slb)
        slb.move_to_end(request.id, last=False)

    def remove(self, request: QueuedRequest) -> None:
        """Remove a request from its buffer, if it is in one."""
        if request.queue is None:
            return
        del request.queue[request.id]
        request.queue = None
        self.held_count -= 1
        self.held_duration_ms -= request.expected_duration_ms

    def close_windows(self, now: float, window_ms: float) -> None:
        """Close the rate control windows that have ended."""
        for pacer in self.pacers:
            if now >= pacer.window_start + window_ms:
                waiting = any(queue.slb or queue.grb for queue in self.by_weight if queue.pacer is pacer)
                pacer.close_window(now, waiting)

    def release_order(self) -> Iterator[tuple[ClassQueue, list[QueuedRequest]]]:
        """Yield the first requests of each queue, in the order of release.

        Late requests are yielded only if no SLB holds a request.
        """
        in_time = any(queue.slb for queue in self.by_weight)
        for queue in self.by_weight:
            buffer = queue.slb if in_time else queue.late
            yield queue, list(islice(buffer.values(), SLB_SIZE))

    def shed_order(self) -> Iterator[QueuedRequest]:
        """Yield held requests in the order in which they are shed.

        Late requests come first, then those of the lowest weight (GRB before SLB); of each, the newest first.
        """
        buffers = [(queue.weight, queue.grb) for queue in self.by_weight]
        buffers += [(queue.weight, queue.slb) for queue in self.by_weight]
        buffers.sort(key=lambda pair: pair[0])
        late = [queue.late for queue in self.by_weight]
        for buffer in late + [buffer for _, buffer in buffers]:
            yield from reversed(buffer.values())

    def _sort(self) -> None:
        self.by_weight = sorted(self.by_id.values(), key=lambda queue: queue.weight, reverse=True)
