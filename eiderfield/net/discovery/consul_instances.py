"""Parser for the instances in responses of Consul's health and catalogue API.

An instance is serving while all its checks pass or warn, draining while any check is critical (which includes
maintenance mode), and deleted once it is not listed. Its service metadata may hold `zone`, `type`, `group`
and `since_ms`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from math import isfinite
from typing import TypeGuard

from eiderfield.config.address import PORT_COUNT
from eiderfield.net.discovery.endpoint_list import EndpointListError, EndpointStatus, ListedEndpoint

JsonObject = Mapping[str, object]

DEFAULT_WEIGHT = 1.0  # of an instance without a valid one


@dataclass(slots=True, frozen=True)
class _Instance:
    """The fields of an instance that both APIs return, under different names."""

    name: str
    status: EndpointStatus
    host: object
    port: object
    datacenter: object
    meta: object
    weights: object
    weight_key: str


def parse_health_entry(entry: object) -> ListedEndpoint:
    """Parse an entry of `/v1/health/service`; raises `EndpointListError`."""
    node, service = _object_at(entry, "Node"), _object_at(entry, "Service")
    name = _parse_name(node.get("Node"), service.get("ID"))
    checks = _parse_checks(entry, name)
    healthy = checks <= {"passing", "warning"}
    return _endpoint(
        _Instance(
            name=name,
            status=EndpointStatus.SERVING if healthy else EndpointStatus.DRAINING,
            host=service.get("Address") or node.get("Address"),
            port=service.get("Port"),
            datacenter=node.get("Datacenter"),
            meta=service.get("Meta"),
            weights=service.get("Weights"),
            weight_key="Warning" if "warning" in checks else "Passing",
        )
    )


def parse_catalog_entry(entry: object) -> ListedEndpoint:
    """Parse an entry of `/v1/catalog/service`, which has no checks; raises `EndpointListError`."""
    if not isinstance(entry, Mapping):
        raise EndpointListError("an instance is not an object")
    return _endpoint(
        _Instance(
            name=_parse_name(entry.get("Node"), entry.get("ServiceID")),
            status=EndpointStatus.SERVING,
            host=entry.get("ServiceAddress") or entry.get("Address"),
            port=entry.get("ServicePort"),
            datacenter=entry.get("Datacenter"),
            meta=entry.get("ServiceMeta"),
            weights=entry.get("ServiceWeights"),
            weight_key="Passing",
        )
    )


def _endpoint(instance: _Instance) -> ListedEndpoint:
    host, port = instance.host, instance.port
    if not isinstance(host, str) or not host or not isinstance(port, int) or not 0 < port < PORT_COUNT:
        raise _error("no address or port", instance)
    meta = _table_of(instance, instance.meta, "Meta")
    weight = _table_of(instance, instance.weights, "Weights").get(instance.weight_key)
    return ListedEndpoint(
        name=instance.name,
        status=instance.status,
        address=(host, port),
        zone=str(meta.get("zone") or instance.datacenter or ""),
        kind=str(meta.get("type", "")),
        group=str(meta.get("group", "")),
        weight=float(weight) if _is_finite_number(weight) else DEFAULT_WEIGHT,
        since_ms=_parse_since(meta.get("since_ms"), instance),
    )


def _error(problem: str, instance: _Instance) -> EndpointListError:
    return EndpointListError(problem, endpoint=instance.name, status=instance.status)


def _object_at(container: object, key: str) -> JsonObject:
    if not isinstance(container, Mapping):
        raise EndpointListError(f"{key} is missing")
    value = container.get(key) or {}
    if not isinstance(value, Mapping):
        raise EndpointListError(f"{key} is not an object")
    return value


def _parse_name(node: object, service_id: object) -> str:
    """Return the name of an instance, whose ID is unique only on its node."""
    if not isinstance(node, str) or not isinstance(service_id, str) or not service_id:
        raise EndpointListError("an instance has no Node or no ID")
    return f"{node}/{service_id}"


def _parse_checks(entry: object, name: str) -> set[object]:
    """Return the statuses of an instance's checks."""
    checks = entry.get("Checks") if isinstance(entry, Mapping) else None
    if not isinstance(checks, list) or not all(isinstance(check, Mapping) for check in checks):
        raise EndpointListError("Checks is not a list", endpoint=name)
    statuses = [check.get("Status") for check in checks]
    if not all(isinstance(status, str) for status in statuses):
        raise EndpointListError("Status of a check is not a string", endpoint=name)
    return set(statuses)


def _table_of(instance: _Instance, value: object, key: str) -> JsonObject:
    """Return a table of an instance, which may be missing or null."""
    table = value or {}
    if not isinstance(table, Mapping):
        raise _error(f"{key} is not an object", instance)
    return table


def _is_finite_number(value: object) -> TypeGuard[int | float]:
    return not isinstance(value, bool) and isinstance(value, int | float) and isfinite(value)


def _parse_since(text: object, instance: _Instance) -> float:
    """Return the start time in an instance's metadata, 0 if there is none; metadata values are strings."""
    if text is None:
        return 0.0
    try:
        since = float(str(text))
    except ValueError:
        since = -1.0
    if not isfinite(since) or since < 0.0:
        raise _error("since_ms is not a number", instance)
    return since
