"""The standing test's table of growth: what a dispatcher may need more beside a larger fleet.

Each row has a factor on the small fleet's figure, a constant, and a part for each thousand workers of the
larger fleet.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Any

MEGABYTE = 1024 * 1024
KILOBYTE = 1024
LEAST_SERVED_SHARE = 0.85  # of the small fleet's share


@dataclass(frozen=True, slots=True)
class Measurement:
    """What one dispatcher needed on one day."""

    workers: int
    processor_seconds: float
    peak_memory: int  # bytes
    peak_descriptors: int
    connections: int  # made to workers
    list_bytes: int  # from discovery, from the first change on
    served_share: float
    p50_ms: float
    p99_ms: float
    statuses: dict[str, int]
    client_lateness_ms: float


@dataclass(frozen=True, slots=True)
class GrowthBound:
    """An upper bound on a figure of the larger fleet, by the figure of the small one."""

    title: str
    figure: Callable[[Measurement], float]
    factor: float
    constant: float
    per_thousand: float = 0.0
    unit: float = 1.0  # what the figure is divided by when it is shown

    def limit(self, small: Measurement, large: Measurement) -> float:
        """The most that the larger fleet's figure may be."""
        growth = self.constant + self.per_thousand * large.workers / 1000.0
        return self.factor * self.figure(small) + growth


@dataclass(frozen=True, slots=True)
class BoundResult:
    """A row of the table with its verdict; figures in the units of its title."""

    title: str
    small: float
    large: float
    limit: float
    kept: bool


GROWTH_BOUNDS = (
    GrowthBound("CPU, s", lambda m: m.processor_seconds, 1.4, 0.02, 0.12),
    GrowthBound("peak memory, MB", lambda m: m.peak_memory, 1.5, 8 * MEGABYTE, 4 * MEGABYTE, MEGABYTE),
    GrowthBound("descriptors", lambda m: m.peak_descriptors, 2.0, 40.0),
    GrowthBound("connections to workers", lambda m: m.connections, 2.5, 40.0),
    GrowthBound("bytes of lists, KB", lambda m: m.list_bytes, 2.0, 64 * KILOBYTE, 500 * KILOBYTE, KILOBYTE),
)


def check(small: Measurement, large: Measurement) -> list[BoundResult]:
    """All rows of the table."""
    results = []
    for bound in GROWTH_BOUNDS:
        limit = bound.limit(small, large)
        results.append(
            BoundResult(
                bound.title,
                small=bound.figure(small) / bound.unit,
                large=bound.figure(large) / bound.unit,
                limit=limit / bound.unit,
                kept=bound.figure(large) <= limit,
            )
        )
    results.append(check_served_share(small, large))
    return results


def check_served_share(small: Measurement, large: Measurement) -> BoundResult:
    """The one row whose bound is a least value."""
    least = LEAST_SERVED_SHARE * small.served_share
    kept = large.served_share >= least
    return BoundResult("share served", small.served_share, large.served_share, least, kept)


def as_json(measurements: list[Measurement], results: list[BoundResult]) -> dict[str, Any]:
    """Figures and verdicts in plain values."""
    return {
        "measurements": [asdict(measurement) for measurement in measurements],
        "bounds": [asdict(result) for result in results],
    }
