"""Settings of discovery: where the endpoint list comes from."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from eiderfield.config.address import Address


class DiscoveryKind(StrEnum):
    """Kind of source. `STATIC` is the list in the configuration alone."""

    PLATFORM = "platform"
    CONSUL = "consul"
    STATIC = "static"


class ConsulApi(StrEnum):
    """API of Consul that is queried; the catalogue knows of no health checks."""

    HEALTH = "health"
    CATALOG = "catalog"


@dataclass(frozen=True, slots=True)
class DiscoverySettings:
    """Source of the endpoint list.

    `service`, `api` and `token` are those of Consul. A static source has no address.
    """

    kind: DiscoveryKind
    address: Address | None
    service: str = ""
    api: str = ConsulApi.HEALTH
    token: str = ""
    wait_ms: float = 30_000.0  # for which Consul may hold back the answer to a blocking query
