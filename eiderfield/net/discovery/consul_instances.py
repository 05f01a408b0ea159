"""Parser for the instances in responses of Consul's health and catalogue API.

An instance is serving while all its checks pass or warn, draining while any check is critical (which includes
maintenance mode), and deleted once it is not listed. Its service metadata may hold `zone`, `type`, `group`
and `since_ms`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from math import isfinite

from eiderfield.config.address import PORT_COUNT
from eiderfield.net.discovery.endpoint_list import EndpointListError, EndpointStatus, ListedEndpoint

JsonObject = Mapping[str, object]


@dataclass(slots=True, frozen=True)
class _Instance:
    """The fields of an instance that both APIs return, under different names."""

    node: object
    service_id: object
    host: object
    port: object
    datacenter: object
    meta: JsonObject
    status: EndpointStatus
    weight: object


def parse_health_entry(entry: object) -> ListedEndpoint:
    """Parse an entry of `/v1/health/service`; raises `EndpointListError`."""
    node, service = _object_at(entry, "Node"), _object_at(entry, "Service")
    checks = entry.get("Checks") if isinstance(entry, Mapping) else None
    if not isinstance(checks, list) or not all(isinstance(check, Mapping) for check in checks):
        raise EndpointListError("Checks is not a list")
    statuses = {check.get("Status") for check in checks}
    healthy = statuses <= {"passing", "warning"}
    weights = _object_at(service, "Weights")
    return _endpoint(
        _Instance(
            node=node.get("Node"),
            service_id=service.get("ID"),
            host=service.get("Address") or node.get("Address"),
            port=service.get("Port"),
            datacenter=node.get("Datacenter"),
            meta=_object_at(service, "Meta"),
            status=EndpointStatus.SERVING if healthy else EndpointStatus.DRAINING,
            weight=weights.get("Warning" if "warning" in statuses else "Passing", 1),
        )
    )


def parse_catalog_entry(entry: object) -> ListedEndpoint:
    """Parse an entry of `/v1/catalog/service`, which has no checks; raises `EndpointListError`."""
    if not isinstance(entry, Mapping):
        raise EndpointListError("an instance is not an object")
    return _endpoint(
        _Instance(
            node=entry.get("Node"),
            service_id=entry.get("ServiceID"),
            host=entry.get("ServiceAddress") or entry.get("Address"),
            port=entry.get("ServicePort"),
            datacenter=entry.get("Datacenter"),
            meta=_object_at(entry, "ServiceMeta"),
            status=EndpointStatus.SERVING,
            weight=_object_at(entry, "ServiceWeights").get("Passing", 1),
        )
    )


def _endpoint(instance: _Instance) -> ListedEndpoint:
    node, service_id, host, port = instance.node, instance.service_id, instance.host, instance.port
    if not isinstance(node, str) or not isinstance(service_id, str) or not service_id:
        raise EndpointListError("an instance has no Node or no ID")
    name = f"{node}/{service_id}"  # an ID is unique only on its node
    if not isinstance(host, str) or not host or not isinstance(port, int) or not 0 < port < PORT_COUNT:
        raise EndpointListError("no address or port", endpoint=name)
    meta, weight = instance.meta, instance.weight
    return ListedEndpoint(
        name=name,
        status=instance.status,
        address=(host, port),
        zone=str(meta.get("zone") or instance.datacenter or ""),
        kind=str(meta.get("type", "")),
        group=str(meta.get("group", "")),
        weight=float(weight) if isinstance(weight, int | float) else 1.0,
        since_ms=_parse_since(meta.get("since_ms"), name),
    )


def _object_at(container: object, key: str) -> JsonObject:
    if not isinstance(container, Mapping):
        raise EndpointListError(f"{key} is missing")
    value = container.get(key) or {}
    if not isinstance(value, Mapping):
        raise EndpointListError(f"{key} is not an object")
    return value


def _parse_since(text: object, name: str) -> float:
    """Return the start time in an instance's metadata, 0 if there is none; metadata values are strings."""
    if text is None:
        return 0.0
    try:
        since = float(str(text))
    except ValueError:
        since = -1.0
    if not isfinite(since) or since < 0.0:
        raise EndpointListError("since_ms is not a number", endpoint=name)
    return since
