"""The settings of durable requests: the table `custody` of a configuration."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from eiderfield.config.reader import TableReader
from eiderfield.interface import Settings

TICKS_PER_LEASE = 12.0
CLOCK_DRIFT = 0.05  # share of a lease by which monotonic clocks may drift within it, or a tick be late
MEBIBYTE = 2**20


@dataclass(frozen=True, slots=True)
class DurableRequestSettings:
    """Which classes of requests are durable, and the limits that apply to them."""

    folder: Path
    classes: frozenset[int]  # class indexes
    lease_ms: float = 3000.0
    retention_ms: float = 600_000.0  # how long a final answer is kept
    max_final_records: int = 20_000
    max_bytes: int = 256 * MEBIBYTE  # total size of bodies and results in a store
    max_waiting_operations: int = 2000  # with more of them, new requests are rejected
    takeovers_per_second: float = 200.0
    flush: bool = False  # whether a commit waits until the data is on the disk

    @property
    def tick_interval_ms(self) -> float:
        """The time between two ticks of a member."""
        return self.lease_ms / TICKS_PER_LEASE

    @property
    def lease_margin_ms(self) -> float:
        """How long before the end of its lease a holder stops sending."""
        return self.lease_ms * CLOCK_DRIFT + self.tick_interval_ms


def read(table: TableReader, settings: Settings) -> DurableRequestSettings:
    """Return the settings of a table. Raises `ConfigError`, whose message starts with the faulty key."""
    defaults = DurableRequestSettings(Path(), frozenset())
    durable = DurableRequestSettings(
        folder=_folder(table),
        classes=_classes(table, settings),
        lease_ms=table.number("lease_ms", defaults.lease_ms, 300.0, 600_000.0),
        retention_ms=table.number("keep_ms", defaults.retention_ms, 0.0, 30 * 86_400_000.0),
        max_final_records=table.integer("finished_most", defaults.max_final_records, 0, 10_000_000),
        max_bytes=table.integer("memory_mb", defaults.max_bytes // MEBIBYTE, 1, 1_000_000) * MEBIBYTE,
        max_waiting_operations=table.integer("queue_most", defaults.max_waiting_operations, 1, 1_000_000),
        takeovers_per_second=table.number("takeover_per_s", defaults.takeovers_per_second, 1.0, 1_000_000.0),
        flush=table.flag("flush", defaults.flush),
    )
    _check_lease(table, durable, settings)
    table.reject_unknown_keys()
    return durable


def _check_lease(table: TableReader, durable: DurableRequestSettings, settings: Settings) -> None:
    """Raise `ConfigError` if a request could never be answered in time after its dispatcher was lost."""
    shortest = min(settings.classes[index].deadline_ms for index in durable.classes)
    if durable.lease_ms >= shortest:
        problem = (
            f"is not below the shortest give-up time of a kept class, {shortest:g}: "
            "what a lost dispatcher had could never be answered in time"
        )
        raise table.error("lease_ms", problem)


def _folder(table: TableReader) -> Path:
    folder = Path(table.text("folder"))
    if not folder.is_absolute():
        raise table.error("folder", f"is not an absolute path: {str(folder)!r}")
    return folder


def _classes(table: TableReader, settings: Settings) -> frozenset[int]:
    indexes = {each.name: index for index, each in enumerate(settings.classes)}
    names = table.raw("classes")
    if not isinstance(names, list) or not names:
        raise table.error("classes", "is not a list of classes: nothing would be kept")
    for name in names:
        if name not in indexes:
            raise table.error("classes", f"names no class of the settings: {name!r}")
    return frozenset(indexes[name] for name in names)
