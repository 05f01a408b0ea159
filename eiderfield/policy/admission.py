"""Admission control: tenant quotas and load shedding.

The GRB is bounded both in the number of requests and in the time that they would wait. When it was bounded
by number alone, it held seconds of work for latency objectives of half a second (incident i1da742).
"""

from __future__ import annotations

from math import inf

from eiderfield.interface import RequestReceived
from eiderfield.policy.completion import RequestCompletion
from eiderfield.policy.context import Context
from eiderfield.policy.fleet import Fleet
from eiderfield.policy.queues import SLB_SIZE, ClassQueues
from eiderfield.policy.request import QueuedRequest, QueueId
from eiderfield.policy.request_table import RequestTable
from eiderfield.policy.retry_rules import may_reject

GRB_REQUESTS_PER_WORKER = 4  # requests that the GRB may hold for each worker
MAX_GRB_WAIT_FACTOR = 4.0  # the GRB is full when the wait exceeds this multiple of the newest request's slack
MIN_GRB_WORKERS = 4  # number of workers for which the GRB has room at least
QUOTA_BURST_S = 2.0  # seconds of its quota that a tenant can accumulate
MS_PER_S = 1000.0


class TenantQuotas:
    """Token buckets for this dispatcher's share of each tenant's quota."""

    def __init__(self, context: Context) -> None:
        """Create buckets that each hold the quota of one second."""
        self._context = context
        self._shares: list[float] = []  # requests per second
        self.apply_settings()
        self._credit = [(0.0, share) for share in self._shares]  # time of the last update, requests left

    def __len__(self) -> int:
        """Return the number of tenants with a quota."""
        return len(self._shares)

    def apply_settings(self) -> None:
        """Apply new settings."""
        settings = self._context.settings
        self._shares = [tenant.quota_per_s / settings.dispatcher_count for tenant in settings.tenants]

    def is_over(self, tenant: int, client_retry: bool, now: float) -> bool:
        """Return whether a tenant is above its quota; a client's retry does not use any of the quota."""
        if tenant >= len(self._shares):
            return bool(self._shares)  # a tenant that the settings do not list has no quota
        share, (since, tokens) = self._shares[tenant], self._credit[tenant]
        tokens = min(QUOTA_BURST_S * share, tokens + (now - since) * share / MS_PER_S)
        is_over = tokens < 1.0
        self._credit[tenant] = (now, tokens if is_over or client_retry else tokens - 1.0)
        return is_over


def expected_wait(queues: ClassQueues, open_attempts: int) -> float:
    """Return how long a request would wait behind all held requests, in ms, with so many open attempts."""
    return queues.held_duration_ms / max(1, open_attempts)


def is_full(queues: ClassQueues, wait: float, slack: float, workers: int) -> bool:
    """Return whether a request has to be shed, given the newest request's slack and expected wait."""
    max_held = GRB_REQUESTS_PER_WORKER * max(MIN_GRB_WORKERS, workers)
    return queues.held_count > max_held or (
        queues.held_count > SLB_SIZE and wait > MAX_GRB_WAIT_FACTOR * slack
    )


class AdmissionController:
    """Creates the records of received requests, and sheds requests while the buffers are full."""

    def __init__(
        self,
        context: Context,
        fleet: Fleet,
        requests: RequestTable,
        queues: ClassQueues,
        completion: RequestCompletion,
    ) -> None:
        """Create a controller that has not yet counted any request against a quota."""
        self._fleet = fleet
        self._requests = requests
        self._queues = queues
        self._completion = completion
        self._quotas = TenantQuotas(context)

    def apply_settings(self) -> None:
        """Apply new settings to the tenant quotas."""
        self._quotas.apply_settings()

    def create_request(self, event: RequestReceived, now: float) -> QueuedRequest:
        """Return the record of a received request, with its queue, expected duration and slack."""
        queue_id = self._queue_id(event, now)
        queue = self._queues.by_id[queue_id]
        request_class, pacer = queue.request_class, queue.pacer
        duration = pacer.expected_duration_ms(event.expected_work)
        time_left = event.deadline - now
        pacer.longest_time_limit_ms = max(pacer.longest_time_limit_ms, time_left)
        # A client's retry states only the time that it has left; its objective counts from the first attempt.
        age = pacer.longest_time_limit_ms - time_left if event.is_client_retry else 0.0
        work = event.expected_work or duration
        objective = request_class.latency_objective_ms + request_class.objective_stretch * work - age
        slack = min(objective, time_left) - duration
        return QueuedRequest(
            id=event.request_id,
            key=event.affinity_key,
            deadline=event.deadline,
            expected_work=event.expected_work,
            queue_id=queue_id,
            pacer=pacer,
            request_class=request_class,
            budget_cost=work,
            expected_duration_ms=duration,
            slack_ms=slack,
            latest_useful_start=inf if request_class.late_weight else now + slack,
            slots=event.slots or 1.0,
            released_attempts=event.released_attempts,
        )

    def shed_if_full(self, newest: QueuedRequest) -> None:
        """Reject one held request if the GRB is full after `newest` has been added to it."""
        wait = expected_wait(self._queues, self._requests.open_attempts)
        if not is_full(self._queues, wait, newest.slack_ms, len(self._fleet.subset)):
            return
        for request in self._queues.shed_order():
            if may_reject(request) and not request.has_open_attempt():
                self._completion.answer(request, wait)
                return

    def _queue_id(self, event: RequestReceived, now: float) -> QueueId:
        over_quota = self._quotas.is_over(event.tenant_index, event.is_client_retry, now)
        tenant = event.tenant_index if event.tenant_index < len(self._quotas) else 0
        return QueueId(event.class_index, tenant, over_quota)
