"""The table `custody` of a configuration. Times in ms."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from eiderfield.config import ConfigError, Tree
from eiderfield.interface import Settings

LOOKS = 12.0  # looks at the other members within a lease
DRIFT = 0.05  # share of a lease by which two steady clocks may part within it, and a look may come late


@dataclass(frozen=True, slots=True)
class Custody:
    """How work in hand is kept. `classes` are numbers of the settings' classes."""

    folder: Path
    classes: frozenset[int]
    lease: float = 3000.0
    keep: float = 600_000.0
    finished_most: int = 20_000
    bytes_most: int = 256 * 1024 * 1024
    queue_most: int = 2000
    takeover_rate: float = 200.0
    flush: bool = False

    @property
    def look(self) -> float:
        """From one look at the other members to the next, in ms."""
        return self.lease / LOOKS

    @property
    def margin(self) -> float:
        """How long before its end a lease counts as over at its holder, in ms."""
        return self.lease * DRIFT + self.look


def read(told: Tree, site: Settings) -> Custody:
    """The settings of custody; `ConfigError` begins with the faulty key."""
    usual = Custody(Path(), frozenset())
    folder = Path(told.text("folder"))
    if not folder.is_absolute():
        raise ConfigError(f"{told.key('folder')} is not an absolute path: {str(folder)!r}")
    names = {cls.name: number for number, cls in enumerate(site.classes)}
    raw = told.raw("classes")
    if not isinstance(raw, list) or not raw:
        raise ConfigError(f"{told.key('classes')} is not a list of classes: nothing would be kept")
    for name in raw:
        if name not in names:
            raise ConfigError(f"{told.key('classes')} names no class of the settings: {name!r}")
    found = Custody(
        folder,
        frozenset(names[name] for name in raw),
        told.number("lease_ms", usual.lease, 300.0, 600_000.0),
        told.number("keep_ms", usual.keep, 0.0, 30 * 86_400_000.0),
        told.whole("finished_most", usual.finished_most, 0, 10_000_000),
        told.whole("memory_mb", usual.bytes_most // 2**20, 1, 1_000_000) * 2**20,
        told.whole("queue_most", usual.queue_most, 1, 1_000_000),
        told.number("takeover_per_s", usual.takeover_rate, 1.0, 1_000_000.0),
        told.flag("flush", usual.flush),
    )
    shortest = min(site.classes[number].deadline for number in found.classes)
    if found.lease >= shortest:
        raise ConfigError(
            f"{told.key('lease_ms')} is not below the shortest give-up time of a kept class, {shortest:g}: "
            "what a lost dispatcher had could never be answered in time"
        )
    told.nothing_else()
    return found
