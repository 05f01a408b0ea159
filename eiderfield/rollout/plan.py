"""The plan of a rolling change: its dispatchers, its stages and the limits that make it stop.

`plan_file.py` reads a plan from TOML. Stages follow from the plan alone, so that `rollout plan` can show what
a change will do: canaries first, then growing shares of the fleet, then the rest. A stage never spans zones.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from math import ceil
from zlib import crc32

from eiderfield.config.address import Address


@dataclass(frozen=True, slots=True)
class Member:
    """A dispatcher of the fleet: the addresses of its consoles, and how it is started."""

    name: str
    console: Address
    zone: str
    start_command: tuple[str, ...]
    environment: Mapping[str, str] = field(default_factory=dict)
    spare_console: Address | None = None  # console of the process that takes over
    config_file: str = ""  # the dispatcher's own configuration file

    def consoles(self) -> tuple[Address, ...]:
        """Return the addresses at which the consoles of this dispatcher's processes listen."""
        return (self.console,) if self.spare_console is None else (self.console, self.spare_console)

    def digest_text(self) -> str:
        """Return the text that stands for this dispatcher in the plan's digest.

        Stored journals hold that digest: the text keeps its form when a field is renamed.
        """
        return (
            f"Member(name={self.name!r}, console={self.console!r}, zone={self.zone!r},"
            f" start={self.start_command!r}, environment={self.environment!r},"
            f" spare={self.spare_console!r}, config={self.config_file!r})"
        )


@dataclass(frozen=True, slots=True)
class WatchSettings:
    """How a stage is watched, and which differences between new and old dispatchers count as worse.

    Durations are in seconds, shares and error rates between 0 and 1.
    """

    max_duration: float = 120.0  # of one stage
    baseline_duration: float = 30.0  # watched before the first dispatcher changes
    poll_interval: float = 1.0  # between two polls of all consoles
    warm_up: float = 10.0  # after a process's start, before its figures count
    ready_timeout: float = 30.0  # from a process's start until it has to be ready
    in_time_drop: float = 0.05  # decrease of the share served in time that counts as worse
    latency_increase: float = 0.2  # relative increase of the mean latency that counts as worse
    false_positive_rate: float = 0.01  # probability that the change is undone although it is no worse
    false_negative_rate: float = 0.05  # probability that a stage goes on although it is worse
    max_descriptor_ratio: float = 1.5  # open descriptors, against the highest of the old dispatchers
    max_memory_ratio: float = 1.5  # resident memory, against the highest of the old dispatchers
    max_attempt_ratio: float = 1.3  # attempts at workers per request, against the old dispatchers
    max_cpu_ratio: float = 2.0  # CPU time per request, against the old dispatchers
    max_start_attempts: int = 3  # starts of one process before its dispatcher is given up


@dataclass(frozen=True, slots=True)
class Plan:
    """A checked plan. `stages` holds the names of dispatchers, in the order in which they change."""

    name: str
    program: str  # folder of the new program, "" if only settings change
    settings: str  # file of the new settings, "" if only the program changes
    members: tuple[Member, ...]
    stages: tuple[tuple[str, ...], ...]
    max_concurrent: int  # dispatchers that may be changing at once
    watch: WatchSettings
    previous_program: str = ""  # folder of the program that runs now

    @property
    def digest(self) -> str:
        """The plan's checksum (8 hexadecimal digits), which ties a journal to its plan."""
        members = ", ".join(member.digest_text() for member in self.members)
        if len(self.members) == 1:
            members += ","  # as a tuple of one is written
        text = f"({self.program!r}, {self.settings!r}, ({members}), {self.stages!r})"
        return f"{crc32(text.encode()):08x}"

    @property
    def uncompared_zones(self) -> tuple[str, ...]:
        """The zones that change in the last stage alone, where nothing is left to compare with."""
        zones = {member.name: member.zone for member in self.members}
        compared = {zones[name] for stage in self.stages[:-1] for name in stage}
        return tuple(sorted({zones[name] for name in self.stages[-1]} - compared))

    def member(self, name: str) -> Member:
        """Return the dispatcher called `name`."""
        return next(member for member in self.members if member.name == name)


def plan_stages(
    members: Sequence[Member], canaries: int, shares: Sequence[float]
) -> tuple[tuple[str, ...], ...]:
    """Return the names of the dispatchers of each stage.

    The first stage holds `canaries` dispatchers, each later one brings the fleet up to the next of `shares`,
    the last one brings it to the end. A stage that would span zones is split. Large zones change first.
    """
    zone_of = {member.name: member.zone for member in members}
    order = _order_by_zone(members)
    sizes = [canaries, *[ceil(share * len(order)) for share in shares], len(order)]
    stages: list[tuple[str, ...]] = []
    start = 0
    for size in sizes:
        stages += _split_by_zone(order[start:size], zone_of)
        start = max(start, size)
    return tuple(stages)


def _order_by_zone(members: Iterable[Member]) -> list[str]:
    names: dict[str, list[str]] = {}
    for member in members:
        names.setdefault(member.zone, []).append(member.name)
    return [name for zone_names in sorted(names.values(), key=len, reverse=True) for name in zone_names]


def _split_by_zone(names: Sequence[str], zone_of: Mapping[str, str]) -> list[tuple[str, ...]]:
    stages: dict[str, list[str]] = {}
    for name in names:
        stages.setdefault(zone_of[name], []).append(name)
    return [tuple(stage) for stage in stages.values()]
