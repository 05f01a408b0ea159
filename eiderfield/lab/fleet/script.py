"""What a run of the fleet is: how many of what, which jobs, and which faults at which moment.

A script is TOML, or drawn from a seed. A fault comes at a time (`at`, in s from the first job) or at an
event: `on = "begun:20"` is the moment the workers have begun 20 jobs in all, `on = "begun:n1:3"` the third
from dispatcher n1. Both may be followed by `after`. It ends by itself after `lasts`, where it has an end.

Whatever names a key that is not known, a fault that does not fit its target, or a target that is not there
is an error that begins with the key.
"""

from __future__ import annotations

import re
import tomllib
from collections.abc import Mapping
from dataclasses import asdict, dataclass, field, fields, replace
from math import isfinite
from random import Random
from typing import Any

# Faults by the kind of what they strike, and whether one ends after `lasts`.
FAULTS: dict[str, dict[str, bool]] = {
    "dispatcher": {
        "kill": True,
        "stop": True,
        "term": True,
        "descriptors": True,
        "memory": True,
        "disk": True,
    },
    "worker": {"drain": True, "gone": True, "restart": True, "fail": True, "silent": True, "slow": True},
    "link": {"cut": True, "delay": True, "drip": True, "reset": False, "half": False},
    "source": {"late": True, "silent": True},
}
LATER = ("descriptors", "memory", "disk")  # not drawn: what a seed drew before they came stays as it was
WAYS = ("both", "there", "back")
SOURCES = ("platform", "consul")
EFFECTS = ("retryable", "dedup", "fragile")
_EVENT = re.compile(r"(begun)(?::(n\d+))?:([1-9]\d*)\Z")
_LINK = re.compile(r"(c|n\d+|n\*)>(n\d+|n\*|w\d+|w\*|source)\Z")


class ScriptError(ValueError):
    """A key that is missing or wrong. The text begins with it."""


@dataclass(frozen=True, slots=True)
class JobKind:
    """A class of jobs; `run` is how long they run, from and to, in ms; `slots` how many they take meanwhile.
    `goal` and `stretch` are its aim: so many ms, and so many times its own running time more."""

    name: str
    effect: str
    share: float
    run: tuple[float, float]
    worth: float = 1.0
    deadline: float = 6000.0
    slots: tuple[int, int] = (1, 1)
    goal: float = 300.0
    stretch: float = 2.0
    asks_again: bool = True  # whether a client whose connection broke asks another dispatcher


KINDS = (
    JobKind("lookup", "retryable", 0.5, (40.0, 160.0)),
    JobKind("report", "dedup", 0.35, (60.0, 240.0), 3.0),
    JobKind("confirm", "fragile", 0.15, (80.0, 320.0), 2.0, asks_again=False),
)


@dataclass(frozen=True, slots=True)
class Fault:
    """Something that goes wrong. `value` is ms of a delay, bytes a second of a drip, a count of descriptors,
    MB that a process may take beyond what it has, bytes that a file which it writes may have (0: every write
    fails, more: a longer one is torn), or how many times slower; `way` is the direction in which a link is
    cut."""

    what: str
    who: str
    at: float | None = None
    on: str = ""
    after: float = 0.0
    lasts: float = 0.0
    way: str = "both"
    value: float = 0.0


@dataclass(frozen=True, slots=True)
class Script:
    """A run. Times are in s, but those of jobs and settings, which are in ms."""

    name: str = "plain"
    seed: int = 1
    dispatchers: int = 3
    workers: int = 6
    slots: int = 3
    queue: int = 8
    cell: int = 3  # workers of a group, which drop the repeat of a keyed job
    window: float = 4000.0
    jobs: int = 150
    rate: float = 50.0
    retries: int = 2
    notice: float = 1.0  # after which the front knows that a dispatcher is gone, or back
    zones: int = 1  # cells of workers, and dispatchers, take turns among them
    source: str = "platform"  # or consul: what lists the workers
    drain_grace: float = 500.0
    cold: float = 4000.0
    cold_share: float = 0.3
    fall: float = 1000.0
    fall_multiple: float = 2.5
    progress: float = 300.0
    floods: tuple[tuple[float, float, float], ...] = ()  # from, for so long, so many times the rate
    faults: tuple[Fault, ...] = ()
    kinds: tuple[JobKind, ...] = KINDS
    one_id: bool = False  # whether a client that asks again does so with the id of its first try
    asks_both: bool = False  # whether a client whose connection broke asks two dispatchers at once
    custody: Mapping[str, Any] = field(default_factory=dict)  # the dispatchers' table; empty: off
    settings: Mapping[str, Any] = field(default_factory=dict)  # of the dispatchers, over those of the script

    def names(self, what: str) -> list[str]:
        """The names of all dispatchers (`n`) or workers (`w`)."""
        return [f"{what}{number}" for number in range(self.dispatchers if what == "n" else self.workers)]


def zone_of(script: Script, name: str) -> str:
    """The zone of a dispatcher or worker."""
    if script.zones == 1:
        return "here"
    number = int(name[1:]) if name[0] == "n" else int(name[1:]) // script.cell
    return f"z{number % script.zones}"


def zones_of(script: Script) -> list[str]:
    """All zones."""
    return ["here"] if script.zones == 1 else [f"z{number}" for number in range(script.zones)]


def kind_of(who: str) -> str:
    """What a name of a target is."""
    if ">" in who:
        return "link"
    return {"n": "dispatcher", "w": "worker", "s": "source"}.get(who[:1], "")


def read(text: str) -> Script:
    """A script out of TOML."""
    try:
        told = tomllib.loads(text)
    except ValueError as error:
        raise ScriptError(f"not TOML: {error}") from None
    faults, jobs = told.pop("fault", []), told.pop("job", None)
    for key, value in (("fault", faults), ("job", [] if jobs is None else jobs)):
        if not isinstance(value, list):
            raise ScriptError(f"{key} is not a list of tables")
    known = {f.name: f for f in fields(Script) if f.name not in ("faults", "kinds", "floods")}
    for key, value in told.items():
        if key not in known:
            raise ScriptError(f"{key} is not a known key")
        default = getattr(Script(), key)
        if isinstance(default, Mapping):
            fits = isinstance(value, Mapping)
        elif isinstance(default, str | bool):
            fits = type(value) is type(default)
        else:
            whole = isinstance(default, int)
            fits = isinstance(value, int) if whole else isinstance(value, int | float)
            fits = fits and not isinstance(value, bool) and isfinite(value)
        if not fits:
            raise ScriptError(f"{key} is not of the kind of {default!r}: {value!r}")
    found = [_fault(number, fault) for number, fault in enumerate(faults)]
    kinds = KINDS if jobs is None else tuple(_job(number, job) for number, job in enumerate(jobs))
    return checked(Script(**told, faults=tuple(found), kinds=kinds))


def _job(number: int, told: object) -> JobKind:
    at = f"job.{number}"
    if not isinstance(told, Mapping):
        raise ScriptError(f"{at} is not a table")
    known = {f.name: f for f in fields(JobKind)}
    for key in told:
        if key not in known:
            raise ScriptError(f"{at}.{key} is not a known key")
    for key in ("name", "effect", "share", "run"):
        if key not in told:
            raise ScriptError(f"{at}.{key} is missing")
    given: dict[str, Any] = dict(told)
    if not isinstance(given["name"], str) or not re.fullmatch(r"[a-z][a-z0-9-]*", given["name"]):
        raise ScriptError(f"{at}.name is not a word: {given['name']!r}")
    if given["effect"] not in EFFECTS:
        raise ScriptError(f"{at}.effect is none of {', '.join(EFFECTS)}: {given['effect']!r}")
    for key in ("run", "slots"):
        pair = given.get(key, [1, 1])
        fits = isinstance(pair, list) and len(pair) == 2 and all(type(x) in (int, float) for x in pair)
        whole = key != "slots" or all(type(x) is int for x in pair)
        if not fits or not 0.0 < pair[0] <= pair[1] or not whole:
            raise ScriptError(f"{at}.{key} is not a pair that rises from above 0: {pair!r}")
        given[key] = (pair[0], pair[1])
    for key in ("share", "worth", "deadline", "goal", "stretch"):
        value = given.get(key, 1.0)
        if type(value) not in (int, float) or not isfinite(value) or value < 0.0:
            raise ScriptError(f"{at}.{key} is not a number from 0: {value!r}")
    if not isinstance(given.get("asks_again", True), bool):
        raise ScriptError(f"{at}.asks_again is not true or false: {given['asks_again']!r}")
    return JobKind(**given)


def _fault(number: int, told: object) -> Fault:
    at = f"fault.{number}"
    if not isinstance(told, Mapping):
        raise ScriptError(f"{at} is not a table")
    known = {f.name for f in fields(Fault)}
    for key, value in told.items():
        if key not in known:
            raise ScriptError(f"{at}.{key} is not a known key")
        words = key in ("what", "who", "on", "way")
        if words != isinstance(value, str) or isinstance(value, bool):
            raise ScriptError(f"{at}.{key} is not a {'text' if words else 'number'}: {value!r}")
    for key in ("what", "who"):
        if key not in told:
            raise ScriptError(f"{at}.{key} is missing")
    return Fault(**told)


def checked(script: Script) -> Script:
    """The script, if it can be played."""
    for key, low, high in (
        ("dispatchers", 1, 60), ("workers", 1, 200), ("slots", 1, 64), ("queue", 0, 1000), ("cell", 1, 200),
        ("zones", 1, 20), ("jobs", 1, 100_000),
        ("rate", 0.1, 2000.0), ("retries", 0, 10), ("notice", 0.0, 60.0),
        ("cold_share", 0.01, 1.0), ("fall_multiple", 1.0, 100.0), ("fall", 1.0, 60_000.0),
    ):  # fmt: skip
        if not low <= getattr(script, key) <= high:
            raise ScriptError(f"{key} is not from {low:g} to {high:g}: {getattr(script, key)!r}")
    if script.source not in SOURCES:
        raise ScriptError(f"source is none of {', '.join(SOURCES)}: {script.source!r}")
    names = [kind.name for kind in script.kinds]
    if not names or len(set(names)) < len(names):
        raise ScriptError(f"job names none, or one twice: {names!r}")
    if sum(kind.share for kind in script.kinds) <= 0.0:
        raise ScriptError("job has no share above 0: nothing would be asked for")
    for number, kind in enumerate(script.kinds):
        if kind.slots[1] > script.slots:
            raise ScriptError(f"job.{number}.slots is more than a worker's {script.slots}: {kind.slots[1]}")
    for number, fault in enumerate(script.faults):
        _check(f"fault.{number}", fault, script)
    return script


def _check(at: str, fault: Fault, script: Script) -> None:
    kind = kind_of(fault.who)
    if kind not in FAULTS:
        raise ScriptError(f"{at}.who is no dispatcher, worker, link or source: {fault.who!r}")
    if fault.what not in FAULTS[kind]:
        raise ScriptError(f"{at}.what is none of {', '.join(FAULTS[kind])} for a {kind}: {fault.what!r}")
    if kind == "link":
        if not _LINK.match(fault.who):
            raise ScriptError(f"{at}.who is no link such as c>n0, n0>w1, n*>w* or n0>source: {fault.who!r}")
    elif kind != "source" and fault.who not in script.names(fault.who[0]):
        raise ScriptError(f"{at}.who is not there: {fault.who!r}")
    if (fault.at is None) == (not fault.on):
        raise ScriptError(f"{at} needs one of at and on")
    if fault.on:
        match = _EVENT.match(fault.on)
        if match is None or (match[2] and match[2] not in script.names("n")):
            raise ScriptError(f"{at}.on is no event such as begun:20 or begun:n0:1: {fault.on!r}")
    if fault.lasts and not FAULTS[kind][fault.what]:
        raise ScriptError(f"{at}.lasts says nothing: a {fault.what} has no end")
    if fault.way not in WAYS:
        raise ScriptError(f"{at}.way is none of {', '.join(WAYS)}: {fault.way!r}")
    if min(fault.after, fault.lasts, fault.value, fault.at or 0.0) < 0.0:
        raise ScriptError(f"{at} has a time or value below 0")


def event(text: str) -> tuple[str, int]:
    """The dispatcher of an event ('' for all) and the count at which it comes."""
    match = _EVENT.match(text)
    assert match is not None
    return match[2] or "", int(match[3])


def draw(seed: int, dispatchers: int = 3, workers: int = 6, most: int = 3) -> Script:
    """A script from a seed: the same one for ever. The load is that which the healthy fleet bears."""
    rng = Random(f"eiderfield fleet {seed}")
    plain = Script(name=f"seed-{seed}", seed=seed, dispatchers=dispatchers, workers=workers)
    faults: list[Fault] = []
    for _ in range(rng.randint(1, most)):
        kind = rng.choice(["dispatcher", "dispatcher", "worker", "link", "link", "source"])
        what = rng.choice([what for what in FAULTS[kind] if what not in LATER])
        n, w = f"n{rng.randrange(dispatchers)}", f"w{rng.randrange(workers)}"
        who = {
            "dispatcher": n, "worker": w, "source": "source",
            "link": rng.choice([f"{n}>{w}", f"{n}>w*", f"n*>{w}", f"c>{n}", f"{n}>source"]),
        }[kind]  # fmt: skip
        lasts = round(rng.uniform(0.5, 2.5), 2) if FAULTS[kind][what] else 0.0
        value = {"delay": 80.0, "late": 1500.0, "drip": 2000.0, "slow": 4.0}.get(what, 0.0)
        when: dict[str, Any] = {"at": round(rng.uniform(0.3, 2.0), 2)}
        if rng.random() < 0.4:
            when = {"on": f"begun:{rng.randint(5, 60)}"}
        way = rng.choice(WAYS) if what == "cut" else "both"
        faults.append(Fault(what, who, lasts=lasts, value=value, way=way, **when))
    return checked(replace(plain, faults=tuple(faults)))


def told(script: Script) -> dict[str, Any]:
    """A script as plain values, for the run's folder."""
    plain = asdict(script)
    plain["settings"], plain["custody"] = dict(script.settings), dict(script.custody)
    return plain
