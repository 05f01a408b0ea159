"""State of the routing table that one process of a dispatcher hands over to the next.

All times are in ms on the clock of the process that holds the state.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class EndpointRecord:
    """A worker as it was listed last."""

    name: str
    address: str
    status: str
    zone: str
    kind: str
    group: int | str
    weight: float
    since_ms: float  # Unix time of the worker's start as announced
    started_at: float | None  # the start on this process's clock, None if it was not included in the message

    def to_platform_form(self) -> dict[str, object]:
        """Return the worker in the form of the platform's lists."""
        return {
            "name": self.name,
            "address": self.address,
            "status": self.status,
            "zone": self.zone,
            "type": self.kind,
            "group": self.group,
            "weight": self.weight,
            "since_ms": self.since_ms,
        }


@dataclass(slots=True, frozen=True)
class UnbannedWorker:
    """A worker whose ban was lifted and that may have been restarted during the ban."""

    name: str
    banned_at: float
    unbanned_at: float


@dataclass(slots=True, frozen=True)
class SourceState:
    """What is known of the source whose list was applied last, see `SourceHistory`.

    Attributes:
        source: Identifies the source.
        accepted_index: The index of its last list that was applied as a whole, None if there is none.
        kept_since: Since when workers are kept that its lists omit, None if none are.
    """

    source: str
    accepted_index: int | None
    kept_since: float | None


@dataclass(slots=True, frozen=True)
class RoutingTableState:
    """A routing table with all workers that were ever listed.

    Attributes:
        index: The version of the last list.
        endpoints: The workers as they were listed last.
        unbanned_workers: The workers that count as started when their ban ended.
        source_contact_at: When discovery last sent a list or a heartbeat, None if it is unknown.
        announced_offset: An estimate of Unix time minus this process's clock, in ms, at the time when the
            starts were announced; None if the state holds the converted starts.
        source: The state of the source, None if it has none or the sender does not pass it on.
    """

    index: int
    endpoints: tuple[EndpointRecord, ...]
    unbanned_workers: tuple[UnbannedWorker, ...]
    source_contact_at: float | None
    announced_offset: float | None = None
    source: SourceState | None = None
