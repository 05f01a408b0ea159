"""Work in hand on real processes: kills, stops and cuts under load, judged from the books.

`play_custody` plays one script and adds up what the dispatchers' consoles say of custody, for the table; what
is right or wrong is said by the rules alone (`rules.py`). `draw` makes scripts from seeds.
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Mapping, Sequence
from contextlib import suppress
from dataclasses import dataclass, field, replace
from pathlib import Path
from random import Random
from typing import Any

from eiderfield.durable_requests.folder import Folder
from eiderfield.lab.fleet.book import Event, read
from eiderfield.lab.fleet.rules import Finding, Struck
from eiderfield.lab.fleet.run import Dispatcher, Fleet, Program
from eiderfield.lab.fleet.script import Fault, JobKind, Script, checked
from eiderfield.lab.rig import RigError

KINDS = (
    JobKind("lookup", "retryable", 0.4, (150.0, 500.0)),
    JobKind("report", "dedup", 0.35, (200.0, 600.0), 3.0),
    JobKind("confirm", "fragile", 0.25, (200.0, 600.0), 2.0),
)
POINTS = ("accept", "accept done", "claim", "claim done", "sent", "finish", "finish done")
AFTER, BEFORE = 10.0, 0.5  # s after a kill, and before it, in which jobs are counted
PATIENCE = 0.3  # s for a console: one that has just been stopped must not hold the run's other faults up
ASKED = 0.25  # s between two looks at the consoles


@dataclass
class Kept:
    """What came of a run. `custody` adds up the consoles' figures over all processes of the run."""

    findings: list[Finding]
    struck: list[Struck]
    counts: dict[str, int]
    custody: dict[str, float]
    fences: Counter[str]  # by why, how many lives were fenced
    unanswered: int  # jobs that no try got an answer for
    may_have_run: int  # jobs that ended as failed
    takeovers: list[float] = field(default_factory=list)  # s from a kill to a job's next leg or answer
    after: tuple[int, int] = (0, 0)  # jobs first asked for in the 10 s after a kill, and those in time


class _Consoles:
    """Adds up counts of processes that come and go: a later life counts anew."""

    def __init__(self, dispatchers: Mapping[str, Dispatcher]) -> None:
        self._dispatchers = dispatchers
        self._last: dict[tuple[str, int], dict[str, Any]] = {}
        self._next = 0.0

    def look(self, now: bool = False) -> None:
        """Asks those that run."""
        if not now and time.monotonic() < self._next:
            return
        self._next = time.monotonic() + ASKED
        for name, dispatcher in self._dispatchers.items():
            if dispatcher.running:
                with suppress(OSError, ValueError, LookupError, RigError):
                    self._last[name, dispatcher.pid] = dispatcher.figures(PATIENCE)["custody"]

    def sums(self) -> dict[str, float]:
        """All counts, added."""
        total: Counter[str] = Counter()
        for told in self._last.values():
            total.update({name: value for name, value in told.items() if isinstance(value, int | float)})
        return dict(total)


def play_custody(script: Script, folder: Path, programs: Mapping[str, Program]) -> Kept:
    """Plays a script whose dispatchers keep their work."""
    with Fleet(script, folder, programs) as fleet:
        consoles = _Consoles(fleet.dispatchers)
        result = fleet.play(consoles.look, before_rest=lambda: consoles.look(now=True))
        clients, workers = (read(folder / f"{name}.jsonl") for name in ("clients", "workers"))
        return Kept(
            result.findings,
            result.struck,
            result.counts,
            consoles.sums(),
            fences(folder / "custody"),
            unanswered(clients),
            sum(statuses == {502} for statuses in _statuses(clients).values()),
            takeovers(clients, workers, result.struck),
            after_kills(script, clients, workers, result.struck),
        )


def fences(folder: Path) -> Counter[str]:
    """By why, how many lives were fenced."""
    if not (folder / "form").exists():
        return Counter()
    shared = Folder(folder, make=False)
    return Counter(str(shared.why(life)["why"]) for life in shared.fences())


def _statuses(clients: Sequence[Event]) -> dict[str, set[int]]:
    """By job, the final statuses that its tries got; none for a job that was never answered finally."""
    found: dict[str, set[int]] = {event["job"]: set() for event in clients if event["what"] == "asked"}
    for event in clients:
        if event["what"] == "answered" and event["status"] not in (429, 503):
            found[event["job"]].add(event["status"])
    return found


def unanswered(clients: Sequence[Event]) -> int:
    """How many jobs got no final answer at any try."""
    return sum(not statuses for statuses in _statuses(clients).values())


def takeovers(clients: Sequence[Event], workers: Sequence[Event], struck: Sequence[Struck]) -> list[float]:
    """For each job whose try broke with a dispatcher that was lost: s until it was heard of again, as a leg
    that came to a worker from another one or as an answer to its client."""
    found = []
    for event in clients:
        if event["what"] != "broke":
            continue
        kills = [s for s in struck if s.who == event["at"] and s.what == "kill"]
        lost = [s for s in kills if s.since <= event["t"] + 0.5]
        if not lost:
            continue
        since = lost[-1].since
        again = [e["t"] for e in workers if e["what"] == "came" and e["job"] == event["job"]
                 and e["by"] != event["at"] and e["t"] > since]  # fmt: skip
        again += [e["t"] for e in clients if e["what"] == "answered" and e["job"] == event["job"]]
        if again:
            found.append(min(again) - since)
    return found


def after_kills(
    script: Script, clients: Sequence[Event], workers: Sequence[Event], struck: Sequence[Struck]
) -> tuple[int, int]:
    """Jobs that were first asked for within `AFTER` of a kill, or were in hand then, and how many of them
    were served within their aims."""
    aims = {kind.name: (kind.goal / 1000.0, kind.stretch / 1000.0) for kind in script.kinds}
    runs = {event["job"]: event["run"] for event in workers if event["what"] == "came"}
    kills = [s.since for s in struck if s.what == "kill"]
    first: dict[str, Event] = {}
    for event in clients:
        if event["what"] == "asked":
            first.setdefault(event["job"], event)
    counted = {
        job: event for job, event in first.items()
        if any(since - BEFORE <= event["t"] <= since + AFTER for since in kills)
    }  # fmt: skip
    good = set()
    for event in clients:
        if event["what"] == "answered" and event["status"] == 200 and event["job"] in counted:
            goal, stretch = aims[event["kind"]]
            took = event["t"] - counted[event["job"]]["t"]
            if took <= goal + stretch * runs.get(event["job"], 0.0):
                good.add(event["job"])
    return len(counted), len(good)


def draw(
    seed: int, dispatchers: int = 4, jobs: int = 300, custody: bool = True
) -> tuple[Script, dict[str, Program]]:
    """A script from a seed: one to three dispatchers are killed, stopped or cut off from workers, at times or
    at points of custody."""
    rng = Random(f"eiderfield custody {seed}")
    script = Script(
        name=f"custody-{seed}", seed=seed, dispatchers=dispatchers, workers=2 * dispatchers, slots=4, cell=4,
        jobs=jobs, rate=50.0, notice=0.5, retries=10, one_id=True, kinds=KINDS,
        custody={"lease_ms": 1000} if custody else {},
    )  # fmt: skip
    names = rng.sample(script.names("n"), rng.randint(1, 3))
    faults: list[Fault] = []
    programs: dict[str, Program] = {}
    for name in names:
        what = rng.choice(["kill", "kill", "kill", "stop", "point", "cut"])
        when: dict[str, Any] = {"on": f"begun:{rng.randint(20, jobs // 2)}"}
        if what == "kill":
            faults.append(Fault("kill", name, lasts=round(rng.uniform(0.5, 3.0), 2), **when))
        elif what == "stop":
            faults.append(Fault("stop", name, lasts=round(rng.uniform(0.5, 3.0), 2), **when))
        elif what == "cut":
            faults.append(Fault("cut", f"{name}>w*", lasts=round(rng.uniform(0.5, 2.0), 2), **when))
        else:
            end = rng.choice(["kill", "stop"])
            point = f"{rng.choice(POINTS)}:{rng.randint(3, 30)}:{end}:{rng.uniform(1.5, 3.0):.2f}"
            programs[name] = Program(point=point)
    return checked(replace(script, faults=tuple(faults))), programs


def play_drawn(seed: int, folder: str, custody: bool = True) -> dict[str, Any]:
    """Plays the script of a seed, and gives a row of what came of it."""
    script, programs = draw(seed, custody=custody)
    what = [f"{f.what} {f.who}" for f in script.faults] + [f"{n} {p.point}" for n, p in programs.items()]
    try:
        kept = play_custody(script, Path(folder), programs)
    except RigError as error:
        return {"seed": seed, "what": what, "failed": str(error)}
    kills = sum(struck.what == "kill" for struck in kept.struck)
    return {
        "seed": seed, "what": what, "failed": "", "kills": kills,
        "stops": sum(struck.what == "stop" for struck in kept.struck), "jobs": kept.counts["jobs"],
        "served": kept.counts["served"], "begun_twice": kept.counts["begun_twice"],
        "unanswered": kept.unanswered, "may_have_run": kept.may_have_run,
        "taken_over": kept.custody.get("taken_over", 0), "fenced": kept.custody.get("fenced", 0),
        "findings": [f"{found.rule}: {found.text}" for found in kept.findings], "takeovers": kept.takeovers,
        "after": list(kept.after),
    }  # fmt: skip


def summary(rows: Sequence[Mapping[str, Any]]) -> list[str]:
    """What drawn runs showed, in lines."""
    played = [row for row in rows if not row["failed"]]
    names = ("jobs", "served", "kills", "stops", "taken_over", "fenced", "may_have_run", "unanswered",
             "begun_twice")  # fmt: skip
    total = {name: int(sum(row[name] for row in played)) for name in names}
    times = sorted(time_ for row in played for time_ in row["takeovers"])
    lines = [
        f"{len(played)} of {len(rows)} runs played; " + ", ".join(f"{k} {v}" for k, v in total.items()),
        f"findings {sum(len(row['findings']) for row in played)}",
    ]
    asked, good = (sum(row["after"][place] for row in played) for place in (0, 1))
    if asked:
        lines.append(f"within {AFTER:g} s of a kill: {good} of {asked} jobs in time ({good / asked:.4f})")
    if times:
        at = [times[min(len(times) - 1, int(share * len(times)))] for share in (0.5, 0.99)]
        lines.append(
            f"from a kill until the job was heard of again: p50 {at[0]:.2f} s, p99 {at[1]:.2f} s, "
            f"{len(times)} jobs"
        )
    return lines
