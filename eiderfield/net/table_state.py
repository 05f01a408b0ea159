"""What one process of a dispatcher tells the next of its routing table.

All times are of the clock of the process that holds it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class EndpointRecord:
    """A worker as discovery last listed it."""

    name: str
    address: str
    status: str
    zone: str
    kind: str
    group: int | str
    weight: float
    since_ms: float  # Unix time of its start, as announced
    started: float | None  # its start on this process's clock, if the other process told it

    def listed(self) -> dict[str, object]:
        """The worker in the form of discovery's lists."""
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
    """A worker that is taken to have been restarted while it was banned."""

    name: str
    banned: float
    unbanned: float


@dataclass(slots=True, frozen=True)
class RoutingTableState:
    """A routing table with all workers that were ever listed."""

    index: int
    endpoints: tuple[EndpointRecord, ...]
    unbanned: tuple[UnbannedWorker, ...]
    source_heard: float | None  # when discovery was last heard
    # By how much Unix time was ahead of this process's clock when starts were announced, as far as the other
    # process's clock shows that; None if it told the starts themselves.
    announced_offset: float | None = None
