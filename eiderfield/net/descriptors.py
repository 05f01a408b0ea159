"""How many connections fit within the descriptors that the system allows this process.

The settings say how many descriptors the dispatcher may take (`limits.sockets`). The system may allow it
fewer (RLIMIT_NOFILE). Clients would then fill all of them, since a listener accepts up to its own bound, and
no connection to a worker could come up for those who wait: so both bounds shrink by the same share, and what
is reserved for the loop, the listeners and discovery stays.
"""

from __future__ import annotations

import resource
from dataclasses import dataclass
from math import inf

from eiderfield.config.limits import reserved_descriptors
from eiderfield.config.loader import Config


@dataclass(slots=True, frozen=True)
class ConnectionLimits:
    """How many connections there may be at once, at least one of each kind."""

    clients: int
    workers: int

    @classmethod
    def of(cls, config: Config, allowed: float) -> ConnectionLimits:
        """The limits of a configuration where the system allows `allowed` descriptors."""
        wanted = config.client_connections + config.worker_connections
        reserved = reserved_descriptors(config.console is not None, config.durable_requests is not None)
        free = int(max(2, min(wanted, allowed - reserved)))
        workers = max(1, config.worker_connections * free // wanted)
        return cls(free - workers, workers)


def allowed_descriptors() -> float:
    """How many descriptors the system allows this process now."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return inf if soft == resource.RLIM_INFINITY else soft
