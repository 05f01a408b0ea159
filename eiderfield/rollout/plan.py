"""What a rolling change is to do: which dispatchers, in which stages, and what counts as worse.

    name = "release-42"
    [change]
    program = "releases/42"               # folder of the new program, and of the one that runs now
    before = "releases/41"
    settings = "classes.toml"             # laid over each dispatcher's own file; or this alone
    [watch]
    seconds = 120.0                       # a stage is watched for at the most
    worse = 0.05                          # a share served in time that is lower by so much is worse
    [stages]
    canary = 1
    shares = [0.25, 0.5]
    out = 2                               # dispatchers that may be changing at once
    [[dispatcher]]
    name = "n0"
    console = "127.0.0.1:8070"            # of the process that runs; the next one has the other of the two
    spare = "127.0.0.1:8170"
    zone = "kochi"
    config = "n0.toml"                    # its own file
    start = ["{program}/.venv/bin/python", "-m", "eiderfield", "--config", "{config}"]
    [dispatcher.environment]
    TMPDIR = "run"

Every error begins with its key. Stages are made from this alone, so that a plan shows what a change will
do: one canary, then shares of the whole, then the rest, with no two zones in one stage.
"""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field
from math import ceil
from zlib import crc32

from eiderfield.config import Address, ConfigError, Tree

MOST = 1000  # dispatchers of one change
PLACES = ("program", "config", "console")  # in the words of a start, and in its environment


@dataclass(frozen=True, slots=True)
class Member:
    """A dispatcher of the fleet: where its consoles are, and how it is started."""

    name: str
    console: Address
    zone: str
    start: tuple[str, ...]
    environment: Mapping[str, str] = field(default_factory=dict)
    spare: Address | None = None  # a console for the process that takes over
    config: str = ""  # its own file

    def consoles(self) -> tuple[Address, ...]:
        """The addresses at which its processes can be asked."""
        return (self.console,) if self.spare is None else (self.console, self.spare)


@dataclass(frozen=True, slots=True)
class Watching:
    """How a stage is watched, and what counts as worse. Times in s, shares of 1."""

    seconds: float = 120.0
    before: float = 30.0  # in which all are watched before anything changes
    look: float = 1.0  # from one look at all consoles to the next
    settle: float = 10.0  # after its start, in which a dispatcher's figures do not count: it is cold
    ready: float = 30.0  # in which it has to be ready
    worse: float = 0.05
    slower: float = 0.2  # served jobs that take longer by so much, in the mean, are worse
    false_stop: float = 0.01  # chance, of the whole change, to stop one that is no worse
    missed: float = 0.05  # chance to go on with one that is worse by `worse`
    descriptors: float = 1.5  # times as many as the most of the old ones
    memory: float = 1.5
    legs: float = 1.3  # times as many legs a job as the old ones
    processor: float = 2.0  # times as much of it a job as the old ones
    trials: int = 3  # starts of one process, before it counts as not to be reached


@dataclass(frozen=True, slots=True)
class Plan:
    """A checked plan. `stages` holds names of dispatchers, in the order in which they change."""

    name: str
    program: str
    settings: str
    members: tuple[Member, ...]
    stages: tuple[tuple[str, ...], ...]
    out: int
    watching: Watching
    before: str = ""  # the folder of the program that runs now

    @property
    def digest(self) -> str:
        """Names this plan: a journal belongs to one."""
        return f"{crc32(repr((self.program, self.settings, self.members, self.stages)).encode()):08x}"

    @property
    def uncompared(self) -> tuple[str, ...]:
        """Zones of which no dispatcher changes before the last stage, where no old ones are left."""
        zones = {member.name: member.zone for member in self.members}
        early = {zones[name] for stage in self.stages[:-1] for name in stage}
        return tuple(sorted({zones[name] for name in self.stages[-1]} - early))

    def member(self, name: str) -> Member:
        """The dispatcher of a name."""
        return next(member for member in self.members if member.name == name)


def read(text: str) -> Plan:
    """A plan out of TOML; `ConfigError` begins with the faulty key."""
    try:
        tree = Tree(tomllib.loads(text))
    except ValueError as error:
        raise ConfigError(f"not TOML: {error}") from None
    name = tree.text("name")
    program, before, settings = _change(tree.table("change"))
    watching = _watching(tree.table("watch"))
    members = _members(tree, program, settings)
    stages = tree.table("stages")
    out = stages.whole("out", 1, 1, MOST)
    if out >= len(members) > 1:
        raise ConfigError(f"stages.out is not below the {len(members)} dispatchers: nobody would serve")
    canary = stages.whole("canary", 1, 1, MOST)
    found = _stages(members, canary, _shares(stages))
    stages.nothing_else()
    tree.nothing_else()
    return Plan(name, program, settings, members, found, out, watching, before)


def _change(change: Tree) -> tuple[str, str, str]:
    """What is changed: the new program, the present one, and the new settings; '' for what is not."""
    program, settings = change.text("program", ""), change.text("settings", "")
    if not program and not settings:
        raise ConfigError("change names neither program nor settings: nothing would change")
    before = change.text("before", "")
    if program and not before:
        raise ConfigError("change.before is missing: without the present program nothing can be undone")
    if before and not program:
        raise ConfigError("change.before says nothing without change.program")
    change.nothing_else()
    return program, before, settings


def _members(tree: Tree, program: str, settings: str) -> tuple[Member, ...]:
    raw = tree.raw("dispatcher")
    if not isinstance(raw, list) or not raw:
        raise ConfigError("dispatcher is missing: a change needs dispatchers")
    if len(raw) > MOST:
        raise ConfigError(f"dispatcher names more than {MOST}")
    members = tuple(_member(Tree(told, f"dispatcher.{number}")) for number, told in enumerate(raw))
    _distinct(members)
    for number, member in enumerate(members):
        if program and member.spare is None:
            raise ConfigError(f"dispatcher.{number}.spare is missing: the next process needs its own console")
        if settings and not member.config:
            raise ConfigError(f"dispatcher.{number}.config is missing: new settings are laid over it")
    return members


def _distinct(members: tuple[Member, ...]) -> None:
    names: set[str] = set()
    consoles: set[Address] = set()
    for number, member in enumerate(members):
        if member.name in names:
            raise ConfigError(f"dispatcher.{number}.name is that of another dispatcher: {member.name!r}")
        names.add(member.name)
        for what, address in (("console", member.console), ("spare", member.spare)):
            if address is not None and address in consoles:
                raise ConfigError(f"dispatcher.{number}.{what} is an address that the plan names already")
            if address is not None:
                consoles.add(address)


def _member(told: Tree) -> Member:
    start = told.raw("start")
    if not isinstance(start, list) or not start or not all(isinstance(word, str) and word for word in start):
        raise ConfigError(f"{told.key('start')} is not a list of words: a command is needed")
    for word in start:
        _fills(word, told.key("start"))
    environment = told.raw("environment") or {}
    if not isinstance(environment, Mapping) or not all(isinstance(v, str) for v in environment.values()):
        raise ConfigError(f"{told.key('environment')} is not a table of texts")
    for name, value in environment.items():
        _fills(value, f"{told.key('environment')}.{name}")
    found = Member(
        told.text("name"),
        told.address("console"),
        told.text("zone", "-"),
        tuple(start),
        dict(environment),
        told.address("spare") if told.has("spare") else None,
        told.text("config", ""),
    )
    told.nothing_else()
    return found


def _fills(word: str, key: str) -> None:
    """Refuses a word with a place that nothing fills."""
    try:
        word.format(**dict.fromkeys(PLACES, ""))
    except (LookupError, ValueError, AttributeError):
        places = ", ".join(f"{{{place}}}" for place in PLACES)
        raise ConfigError(f"{key} has a place other than {places}: {word!r}") from None


def _watching(told: Tree) -> Watching:
    usual = Watching()
    found = Watching(
        seconds=told.number("seconds", usual.seconds, 1.0, 86_400.0),
        before=told.number("before", usual.before, 0.0, 86_400.0),
        look=told.number("look", usual.look, 0.05, 60.0),
        settle=told.number("settle", usual.settle, 0.0, 3600.0),
        ready=told.number("ready", usual.ready, 0.1, 3600.0),
        worse=told.number("worse", usual.worse, 0.005, 0.5),
        slower=told.number("slower", usual.slower, 0.02, 10.0),
        false_stop=told.number("false_stop", usual.false_stop, 0.0001, 0.2),
        missed=told.number("missed", usual.missed, 0.0001, 0.2),
        descriptors=told.number("descriptors", usual.descriptors, 1.0, 100.0),
        memory=told.number("memory", usual.memory, 1.0, 100.0),
        legs=told.number("legs", usual.legs, 1.0, 100.0),
        processor=told.number("processor", usual.processor, 1.0, 100.0),
        trials=told.whole("trials", usual.trials, 1, 100),
    )
    if found.settle >= found.seconds:
        raise ConfigError(f"{told.key('settle')} is not below seconds: nothing would be watched")
    told.nothing_else()
    return found


def _shares(told: Tree) -> list[float]:
    raw = told.raw("shares")
    if raw is None:
        return [0.25, 0.5]
    told_ = raw if isinstance(raw, list) else [None]
    shares = [x for x in told_ if isinstance(x, int | float) and not isinstance(x, bool)]
    if len(shares) != len(told_) or not all(0.0 < share < 1.0 for share in shares):
        raise ConfigError(f"{told.key('shares')} is not a list of shares between 0 and 1: {raw!r}")
    if sorted(set(shares)) != shares:
        raise ConfigError(f"{told.key('shares')} does not rise: {raw!r}")
    return [float(share) for share in shares]


def _stages(members: tuple[Member, ...], canary: int, shares: list[float]) -> tuple[tuple[str, ...], ...]:
    """The canary, then up to each share of the whole, then the rest; a stage that spans zones is split."""
    zones: dict[str, list[str]] = {}
    for member in members:
        zones.setdefault(member.zone, []).append(member.name)
    order = [name for names in sorted(zones.values(), key=len, reverse=True) for name in names]
    zone_of = {member.name: member.zone for member in members}
    marks = [canary, *[ceil(share * len(order)) for share in shares], len(order)]
    stages: list[tuple[str, ...]] = []
    at = 0
    for mark in marks:
        rest = order[at:mark]
        at = max(at, mark)
        while rest:
            zone = zone_of[rest[0]]
            stage = tuple(name for name in rest if zone_of[name] == zone)
            stages.append(stage)
            rest = [name for name in rest if zone_of[name] != zone]
    return tuple(stages)
