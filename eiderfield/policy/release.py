"""Releases waiting requests to workers.

Requests move from the GRB to the SLBs and from there to workers: by priority weight, in the order of arrival
within a buffer, at the rate of their class.
"""

from __future__ import annotations

from eiderfield.policy.attempt_starter import AttemptStarter
from eiderfield.policy.completion import RequestCompletion
from eiderfield.policy.endpoint import Worker
from eiderfield.policy.fleet_state import FleetState
from eiderfield.policy.outlier_detection import OutlierDetector
from eiderfield.policy.queues import ClassQueue, ClassQueues
from eiderfield.policy.request import QueuedRequest
from eiderfield.policy.selection import EndpointSelector


class RequestReleaser:
    """Sends waiting requests to workers, as far as rates and free workers allow."""

    def __init__(
        self,
        state: FleetState,
        queues: ClassQueues,
        selector: EndpointSelector,
        outliers: OutlierDetector,
        completion: RequestCompletion,
        starter: AttemptStarter,
    ) -> None:
        """Create a releaser of the requests in `queues`."""
        self._fleet = state.fleet
        self._slow_start = state.slow_start
        self._reports = state.reports
        self._queues = queues
        self._selector = selector
        self._outliers = outliers
        self._completion = completion
        self._starter = starter

    def release(self, now: float) -> None:
        """Fill the SLBs and send requests from them, unless they have to wait for the answers to probes."""
        for queue in self._queues.by_weight:
            queue.move_late_requests(now)
            self._answer_late_under_load(queue, now)
            queue.fill_slb()
        self._fleet.reset_silence_count()
        self._slow_start.decay_served_rate(now)
        free: list[Worker] | None = None
        if self._reports.probing:
            free = [worker for worker in self._fleet.subset.workers if self._selector.is_free(worker, now)]
            if not self._has_reported_free_slot(free, now) and self._reports.probe(now):
                return
        for queue, requests in self._queues.release_order():
            free = self._release_from(queue, requests, free, now)

    def _answer_late_under_load(self, queue: ClassQueue, now: float) -> None:
        """Answer late requests that would only make other requests late."""
        late_under_load = [
            request for request in queue.late.values() if self._outliers.is_late_under_load(request, now)
        ]
        for request in late_under_load:
            self._completion.answer(request, self._outliers.mean_wait_ms)

    def _has_reported_free_slot(self, workers: list[Worker], now: float) -> bool:
        return any(self._reports.free_slot_evidence(worker, now) > 0.0 for worker in workers)

    def _release_from(
        self, queue: ClassQueue, requests: list[QueuedRequest], free: list[Worker] | None, now: float
    ) -> list[Worker] | None:
        """Send the first requests of one buffer, at the rate of its class.

        `free` are the workers that can take a request without a key, None if they have not been looked up.
        Returns the workers that are still free afterwards.
        """
        for request in requests:
            if queue.pacer.must_wait(now):
                break
            if not request.key:
                free = self._selector.free_workers(now) if free is None else free
                if not free:
                    break
            worker = self._selector.select(request, free or [], now)
            if worker is not None:
                self._starter.start(request, worker, now)
                if free and worker in free and not self._selector.is_free(worker, now):
                    free.remove(worker)
            elif not request.key and not request.attempts and request.slots <= 1.0:
                break  # the next request of this buffer is unlikely to find a worker either
        return free
