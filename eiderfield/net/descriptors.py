"""Limits of connections within the file descriptors that the system allows this process.

The settings limit the dispatcher's descriptors (`limits.sockets`), but the system may allow fewer
(RLIMIT_NOFILE). Clients would then use all of them, since a listener accepts connections up to its own
limit, and no connection to a worker could be opened. Therefore both limits are reduced by the same share,
while the descriptors reserved for the loop, the listeners and discovery remain.
"""

from __future__ import annotations

import resource
from dataclasses import dataclass
from math import inf

from eiderfield.config.limits import reserved_descriptors
from eiderfield.config.loader import Config


@dataclass(slots=True, frozen=True)
class ConnectionLimits:
    """The numbers of connections from clients and to workers, at least one of each."""

    clients: int
    workers: int

    @classmethod
    def of(cls, config: Config, allowed: float) -> ConnectionLimits:
        """Return the limits of a configuration if the system allows `allowed` descriptors."""
        wanted = config.client_connections + config.worker_connections
        reserved = reserved_descriptors(config.console is not None, config.durable_requests is not None)
        free = int(max(2, min(wanted, allowed - reserved)))
        workers = max(1, config.worker_connections * free // wanted)
        return cls(free - workers, workers)


def allowed_descriptors() -> float:
    """Return how many descriptors the system allows this process now; infinity for no limit."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return inf if soft == resource.RLIM_INFINITY else soft
