"""Admission and load shedding: what is within a tenant's quota, and when the buffers are full.

The GRB is bounded in count, and in the time that what is held would wait: bounded by count alone, it held
seconds of work for latency objectives of half a second (incident i1da742).
"""

from __future__ import annotations

from eiderfield.policy.context import Context
from eiderfield.policy.queues import SLB_SIZE, ClassQueues

GRB_PER_WORKER = 4  # requests in the GRB for each worker: about as long as clients find an answer useful
GRB_WAIT = 4.0  # the GRB is full when what is held would wait so many times the newest request's slack
FEWEST_WORKERS = 4  # that the GRB is meant for
QUOTA_SECONDS = 2.0  # of a tenant's quota that may be saved up
MS_PER_S = 1000.0


class TenantQuotas:
    """This dispatcher's part of each tenant's quota."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._shares: list[float] = []  # requests a second
        self.adopt()
        self._credit = [(0.0, share) for share in self._shares]  # when it was reckoned, and requests left

    def __len__(self) -> int:
        return len(self._shares)

    def adopt(self) -> None:
        """Takes new settings."""
        settings = self._context.settings
        self._shares = [tenant.quota_per_s / settings.dispatcher_count for tenant in settings.tenants]

    def is_over(self, tenant: int, client_retry: bool, now: float) -> bool:
        """Whether a tenant is above its quota, which clients' retries do not use."""
        if tenant >= len(self._shares):
            return bool(self._shares)  # who is not of the settings' tenants has no quota
        share, (since, tokens) = self._shares[tenant], self._credit[tenant]
        tokens = min(QUOTA_SECONDS * share, tokens + (now - since) * share / MS_PER_S)
        is_over = tokens < 1.0
        self._credit[tenant] = (now, tokens if is_over or client_retry else tokens - 1.0)
        return is_over


def expected_wait(queues: ClassQueues, out: int) -> float:
    """The ms that a request would wait behind all that is held, with so many attempts out."""
    return queues.held_run / max(1, out)


def is_full(queues: ClassQueues, wait: float, slack: float, workers: int) -> bool:
    """Whether a request has to be shed, when the newest one has so much slack and would wait so long."""
    most = GRB_PER_WORKER * max(FEWEST_WORKERS, workers)
    return queues.held > most or (queues.held > SLB_SIZE and wait > GRB_WAIT * slack)
