"""Settings of discovery: where the endpoint list comes from."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from eiderfield.config.address import Address


class DiscoveryKind(StrEnum):
    """Kind of source. `STATIC` means that the list in the configuration is the only one."""

    PLATFORM = "platform"
    CONSUL = "consul"
    STATIC = "static"


class ConsulApi(StrEnum):
    """API of Consul that is queried. The catalogue has no health checks."""

    HEALTH = "health"
    CATALOG = "catalog"


@dataclass(frozen=True, slots=True)
class DiscoverySettings:
    """Source of the endpoint list.

    `service`, `api`, `token` and `wait_ms` are used for Consul only. A static source has no address.
    """

    kind: DiscoveryKind
    address: Address | None
    service: str = ""
    api: str = ConsulApi.HEALTH
    token: str = ""
    wait_ms: float = 30_000.0  # for which Consul may delay the response to a blocking query

    @property
    def source(self) -> str:
        """What identifies the source, whatever the token and the times of the calls to it are."""
        host, port = self.address or ("", 0)
        return f"{self.kind}:{host}:{port}/{self.api}/{self.service}"
