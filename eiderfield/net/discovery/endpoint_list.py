"""List of workers in typed form, and the parser for the platform's JSON form.

A list is parsed completely before any of it is applied, so that a malformed list changes nothing. In a list
that a source has sent, a malformed entry is refused alone: the list may drain or remove other workers. Such a
list is malformed as a whole only if none of its entries names a worker.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from math import isfinite

from eiderfield.config.address import Address, parse_address
from eiderfield.config.errors import ConfigError
from eiderfield.errors import EiderfieldError
from eiderfield.idmap import FIRST_NAMED_CELL


class EndpointStatus(Enum):
    """Status of a worker. The values are those of the platform's lists."""

    SERVING = "SERVING"
    DRAINING = "DRAINING"
    DELETED = "DELETED"


class EndpointListError(EiderfieldError, ValueError):
    """A list is malformed.

    Attributes:
        endpoint: Name of the malformed endpoint, empty if it has none or the list itself is malformed.
        status: Status of the malformed endpoint, None if it is malformed too.
    """

    def __init__(self, problem: str, *, endpoint: str = "", status: EndpointStatus | None = None) -> None:
        """Create an error; its text begins with the name of the endpoint if there is one."""
        super().__init__(f"endpoint {endpoint}: {problem}" if endpoint else problem)
        self.endpoint = endpoint
        self.status = status


@dataclass(slots=True, frozen=True)
class ListedEndpoint:
    """A worker as listed by a source."""

    name: str
    status: EndpointStatus
    address: Address | None  # None if deleted
    zone: str = ""
    kind: str = ""
    group: int | str = 0
    weight: float = 1.0
    since_ms: float = 0.0  # Unix time of the worker's start; 0 if it is unknown or long ago
    first_seen: float = 0.0  # time of the first listing on this process's clock, used if `since_ms` is 0


@dataclass(slots=True, frozen=True)
class RefusedEntry:
    """A malformed entry of a list. A worker that it names is listed; a status other than SERVING applies.

    Attributes:
        name: The name of the worker, empty if it is malformed too.
        status: The status of the worker, None if it is malformed.
        problem: What is malformed.
    """

    name: str
    status: EndpointStatus | None
    problem: str


@dataclass(slots=True, frozen=True)
class EndpointList:
    """All endpoints at version `index` if `snapshot` is true, else those that have changed up to it."""

    index: int
    snapshot: bool
    endpoints: tuple[ListedEndpoint, ...]
    refused: tuple[RefusedEntry, ...] = ()


@dataclass(slots=True, frozen=True)
class ParsedEntries:
    """The entries of a list."""

    endpoints: tuple[ListedEndpoint, ...]
    refused: tuple[RefusedEntry, ...]


class EntryParser:
    """Parses the entries of a list one by one."""

    def __init__(self, parse: Callable[[object], ListedEndpoint]) -> None:
        """Create a parser; `parse` raises `EndpointListError` for a malformed entry."""
        self._parse = parse
        self._endpoints: list[ListedEndpoint] = []
        self._refused: list[RefusedEntry] = []
        self._first_error: EndpointListError | None = None

    def add(self, entry: object) -> None:
        """Parse an entry, or refuse it alone."""
        try:
            self._endpoints.append(self._parse(entry))
        except EndpointListError as error:
            self._refused.append(RefusedEntry(error.endpoint, error.status, str(error)))
            self._first_error = self._first_error or error

    def finish(self) -> ParsedEntries:
        """Return all entries; raises `EndpointListError` if there are some, but none names a worker."""
        names_worker = self._endpoints or any(entry.name for entry in self._refused)
        if self._first_error is not None and not names_worker:
            raise self._first_error
        return ParsedEntries(tuple(self._endpoints), tuple(self._refused))


def parse_endpoint_list(document: object) -> EndpointList:
    """Parse a list in the platform's form; raises `EndpointListError` if anything in it is malformed."""
    index, is_snapshot, entries = _parse_frame(document)
    return EndpointList(index, is_snapshot, tuple([_parse_endpoint(entry) for entry in entries]))


def parse_received_list(document: object) -> EndpointList:
    """Parse a list that the platform has sent, and refuse malformed entries alone.

    Raises `EndpointListError` if the list itself is malformed, or no entry names a worker.
    """
    index, is_snapshot, entries = _parse_frame(document)
    parser = EntryParser(_parse_endpoint)
    for entry in entries:
        parser.add(entry)
    parsed = parser.finish()
    return EndpointList(index, is_snapshot, parsed.endpoints, parsed.refused)


def _parse_frame(document: object) -> tuple[int, bool, list[object]]:
    """Return the index of a list, whether it is a snapshot, and its entries."""
    if not isinstance(document, dict) or not isinstance(document.get("endpoints"), list):
        raise EndpointListError("a list without endpoints")
    index = document.get("index")
    if not isinstance(index, int) or isinstance(index, bool):
        raise EndpointListError("index is not a whole number")
    return index, bool(document.get("snapshot")), document["endpoints"]


def _parse_endpoint(fields: object) -> ListedEndpoint:
    if not isinstance(fields, Mapping):
        raise EndpointListError("an endpoint is not an object")
    name = fields.get("name")
    if not isinstance(name, str) or not name:
        raise EndpointListError("an endpoint has no name")
    status = _parse_status(fields.get("status"), name)
    try:
        return _parse_fields(fields, name, status)
    except EndpointListError as error:
        raise EndpointListError(str(error), endpoint=name, status=status) from None


def _parse_fields(fields: Mapping[str, object], name: str, status: EndpointStatus) -> ListedEndpoint:
    group = fields.get("group", 0)
    return ListedEndpoint(
        name=name,
        status=status,
        address=_parse_address(fields.get("address")) if status != EndpointStatus.DELETED else None,
        zone=str(fields.get("zone", "")),
        kind=str(fields.get("type", "")),
        group=group if isinstance(group, int) and group < FIRST_NAMED_CELL else str(group),
        weight=_parse_number(fields.get("weight", 1.0), "weight"),
        since_ms=_parse_number(fields.get("since_ms", 0), "since_ms"),
    )


def _parse_status(value: object, name: str) -> EndpointStatus:
    try:
        return EndpointStatus(value)
    except ValueError:
        raise EndpointListError(f"unknown status {value!r}", endpoint=name) from None


def _parse_address(value: object) -> Address:
    try:
        return parse_address(str(value), "address")
    except ConfigError as error:
        raise EndpointListError(str(error)) from None


def _parse_number(value: object, field: str) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not isfinite(value):
        raise EndpointListError(f"{field} is not a number")
    return float(value)
