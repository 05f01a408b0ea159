"""Admission control: tenant quotas, and when a request has to be shed.

The GRB is bounded in the number of requests and in the time that they would wait. Bounded by number alone it
held seconds of work for latency objectives of half a second (incident i1da742).
"""

from __future__ import annotations

from eiderfield.policy.context import Context
from eiderfield.policy.queues import SLB_SIZE, ClassQueues

GRB_PER_WORKER = 4  # requests in the GRB for each worker
GRB_WAIT = 4.0  # the GRB is full when the wait exceeds this multiple of the newest request's slack
MIN_WORKERS = 4  # for which the GRB has room, even if there are fewer
QUOTA_SECONDS = 2.0  # of a tenant's quota that can be saved up
MS_PER_S = 1000.0


class TenantQuotas:
    """Token buckets for this dispatcher's share of each tenant's quota."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._shares: list[float] = []  # requests per second
        self.apply_settings()
        self._credit = [(0.0, share) for share in self._shares]  # time of the last update, requests left

    def __len__(self) -> int:
        return len(self._shares)

    def apply_settings(self) -> None:
        """Apply new settings."""
        settings = self._context.settings
        self._shares = [tenant.quota_per_s / settings.dispatcher_count for tenant in settings.tenants]

    def is_over(self, tenant: int, client_retry: bool, now: float) -> bool:
        """Return whether a tenant is above its quota, of which a client's retry uses nothing."""
        if tenant >= len(self._shares):
            return bool(self._shares)  # a tenant that the settings do not list has no quota
        share, (since, tokens) = self._shares[tenant], self._credit[tenant]
        tokens = min(QUOTA_SECONDS * share, tokens + (now - since) * share / MS_PER_S)
        is_over = tokens < 1.0
        self._credit[tenant] = (now, tokens if is_over or client_retry else tokens - 1.0)
        return is_over


def expected_wait(queues: ClassQueues, open_attempts: int) -> float:
    """Return how long a request would wait behind all held ones, in ms, with `open_attempts` in progress."""
    return queues.held_duration_ms / max(1, open_attempts)


def is_full(queues: ClassQueues, wait: float, slack: float, workers: int) -> bool:
    """Return whether a request has to be shed, given the slack and the expected wait of the newest one."""
    most = GRB_PER_WORKER * max(MIN_WORKERS, workers)
    return queues.held_count > most or (queues.held_count > SLB_SIZE and wait > GRB_WAIT * slack)
