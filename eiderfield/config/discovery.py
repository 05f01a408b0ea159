"""The key `discovery`: an address of the platform's discovery, or a table."""

from __future__ import annotations

from collections.abc import Mapping

from eiderfield.config.address import parse_address
from eiderfield.config.reader import TableReader
from eiderfield.net.discovery.settings import ConsulApi, DiscoveryKind, DiscoverySettings

ENVIRONMENT_VARIABLE = "LB_DISCOVERY"
DEFAULT_WAIT_MS = 30_000.0


def read_discovery(root: TableReader, environ: Mapping[str, str], reload: bool) -> DiscoverySettings:
    """Read where the endpoint list comes from.

    The environment has precedence over the file. When the file is read again it is the other way round,
    because the environment is as old as the process.
    """
    value = root.raw("discovery")
    if ENVIRONMENT_VARIABLE in environ and (value is None or not reload):
        address = parse_address(environ[ENVIRONMENT_VARIABLE], ENVIRONMENT_VARIABLE)
        return DiscoverySettings(DiscoveryKind.PLATFORM, address)
    if isinstance(value, str):
        return DiscoverySettings(DiscoveryKind.PLATFORM, parse_address(value, "discovery"))
    if value is None:
        raise root.error("discovery", "is missing")
    return _read_table(root.table("discovery"))


def _read_table(table: TableReader) -> DiscoverySettings:
    kind = table.text("kind")
    if kind not in list(DiscoveryKind):
        raise table.error("kind", f"is not one of {', '.join(DiscoveryKind)}: {kind!r}")
    address = None if kind == DiscoveryKind.STATIC else table.address("address")
    if kind == DiscoveryKind.CONSUL:
        settings = DiscoverySettings(
            DiscoveryKind.CONSUL,
            address,
            service=table.text("service"),
            api=table.text("api", ConsulApi.HEALTH),
            token=table.text("token", ""),
            wait_ms=table.number("wait_ms", DEFAULT_WAIT_MS, 100.0, 600_000.0),
        )
        if settings.api not in list(ConsulApi):
            raise table.error("api", f"is not one of {', '.join(ConsulApi)}: {settings.api!r}")
    else:
        settings = DiscoverySettings(DiscoveryKind(kind), address, wait_ms=0.0)
    table.reject_unknown_keys()
    return settings


def require_static_endpoints(root: TableReader, discovery: DiscoverySettings) -> None:
    """Raise `ConfigError` if the static endpoint list is needed and absent."""
    if discovery.kind == DiscoveryKind.STATIC and root.raw("known") is None:
        raise root.error("known", 'is missing: with discovery.kind = "static" it is the routing table')
