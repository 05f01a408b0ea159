"""The table `custody` of a configuration. Times in ms."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from eiderfield.config.errors import ConfigError
from eiderfield.config.reader import TableReader
from eiderfield.interface import Settings

TICKS = 12.0  # ticks of a member within a lease
DRIFT = 0.05  # share of a lease by which two monotonic clocks may drift within it, and a tick may come late
MEBIBYTE = 2**20


@dataclass(frozen=True, slots=True)
class DurableRequestSettings:
    """Which requests are durable, and how. `classes` are numbers of the settings' classes."""

    folder: Path
    classes: frozenset[int]
    lease: float = 3000.0
    keep: float = 600_000.0  # for which a final answer is kept
    most_final: int = 20_000
    most_bytes: int = 256 * MEBIBYTE
    most_waiting: int = 2000  # operations that wait to be written
    takeover_rate: float = 200.0  # requests a second
    flush: bool = False

    @property
    def tick(self) -> float:
        """From one tick of a member to the next, in ms."""
        return self.lease / TICKS

    @property
    def margin(self) -> float:
        """How long before its end a lease counts as over at its holder, in ms."""
        return self.lease * DRIFT + self.tick


def read(table: TableReader, site: Settings) -> DurableRequestSettings:
    """The settings out of the table; `ConfigError` begins with the faulty key."""
    usual = DurableRequestSettings(Path(), frozenset())
    found = DurableRequestSettings(
        folder=_folder(table),
        classes=_classes(table, site),
        lease=table.number("lease_ms", usual.lease, 300.0, 600_000.0),
        keep=table.number("keep_ms", usual.keep, 0.0, 30 * 86_400_000.0),
        most_final=table.integer("finished_most", usual.most_final, 0, 10_000_000),
        most_bytes=table.integer("memory_mb", usual.most_bytes // MEBIBYTE, 1, 1_000_000) * MEBIBYTE,
        most_waiting=table.integer("queue_most", usual.most_waiting, 1, 1_000_000),
        takeover_rate=table.number("takeover_per_s", usual.takeover_rate, 1.0, 1_000_000.0),
        flush=table.flag("flush", usual.flush),
    )
    shortest = min(site.classes[number].deadline_ms for number in found.classes)
    if found.lease >= shortest:
        raise ConfigError(
            f"{table.key('lease_ms')} is not below the shortest give-up time of a kept class, {shortest:g}: "
            "what a lost dispatcher had could never be answered in time"
        )
    table.reject_unknown_keys()
    return found


def _folder(table: TableReader) -> Path:
    folder = Path(table.text("folder"))
    if not folder.is_absolute():
        raise ConfigError(f"{table.key('folder')} is not an absolute path: {str(folder)!r}")
    return folder


def _classes(table: TableReader, site: Settings) -> frozenset[int]:
    numbers = {cls.name: number for number, cls in enumerate(site.classes)}
    names = table.raw("classes")
    if not isinstance(names, list) or not names:
        raise ConfigError(f"{table.key('classes')} is not a list of classes: nothing would be kept")
    for name in names:
        if name not in numbers:
            raise ConfigError(f"{table.key('classes')} names no class of the settings: {name!r}")
    return frozenset(numbers[name] for name in names)
