"""The operators' benches played in turn for every deployment, each figure beside the journal's last one.

A bench is a command of the kit, which this repository does not hold; it is run as its page says and leaves a
snapshot in `journal/`. What is compared is read from these snapshots alone, within one panel: the same
command, site and days.
"""

from __future__ import annotations

import json
import subprocess
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from eiderfield.errors import EiderfieldError

MAX_FALL = 0.03  # of a figure within one panel, from which on the cause is sought
SHOWN_OUTPUT = 400  # last characters of a bench's output in an error
SCORE_COMMANDS = ("score", "real-score")
SITE = "SITE"  # stands for the site's file in a bench's arguments

# For each site of the kit, by the folder that its file is in: the benches that its regression plays.
BENCHES: dict[str, tuple[tuple[str, ...], ...]] = {
    "users": (("bin/lbsim", "score", SITE, "--quick"), ("real/bin/lbreal", "score", SITE, "--quick")),
    "sites": (
        ("bin/lbsim", "score", SITE, "--quick"),
        ("more/mass/bin/lbreal", "score", SITE, "--quick"),
        ("more/bin/lbreal", "score", SITE, "--quick"),
        ("more/bin/lbreal", "score", SITE, "--panel", "later", "--quick"),
    ),
}


@dataclass(frozen=True, slots=True)
class Panel:
    """What was played: figures of one panel alone are compared."""

    command: str
    site: str
    days: str


@dataclass(frozen=True, slots=True)
class Score:
    """A score: `figure` is None where none was printed, `gate` where the page has none."""

    id: str
    panel: Panel
    figure: float | None
    ok: bool
    gate: bool | None

    @property
    def failed(self) -> bool:
        """Whether a rule broke, the program crashed or a gate was not passed."""
        return not self.ok or self.gate is False


@dataclass(frozen=True, slots=True)
class Comparison:
    """A new score, and the one of its panel before it, if there is one."""

    now: Score
    before: Score | None

    @property
    def verdict(self) -> str:
        """`failed`, `fell` by more than MAX_FALL, or `kept`."""
        if self.now.failed or self.now.figure is None:
            return "failed"
        earlier = None if self.before is None else self.before.figure
        if earlier is not None and self.now.figure < earlier - MAX_FALL:
            return "fell"
        return "kept"


class BenchError(EiderfieldError, RuntimeError):
    """A bench left no score."""


def score_of(snapshot: dict[str, Any]) -> Score | None:
    """The score of a journal's snapshot, None if it is of anything else or of another program."""
    if snapshot.get("cmd") not in SCORE_COMMANDS or not snapshot.get("panel"):
        return None
    if not snapshot.get("policy"):  # a probe: what was played is not this program
        return None
    figures = snapshot.get("figures") or {}
    figure = figures.get("real_score", snapshot.get("score"))
    gate = figures.get("gate")
    return Score(
        id=str(snapshot.get("id")),
        panel=Panel(str(snapshot["cmd"]), str(snapshot.get("site")), str(snapshot["panel"])),
        figure=None if figure is None else float(figure),
        ok=bool(snapshot.get("ok")) and not has_broken_day(snapshot),
        gate=None if gate is None else gate >= 1.0,
    )


def has_broken_day(snapshot: dict[str, Any]) -> bool:
    """Whether a rule broke or the program crashed on a day of a snapshot."""
    days = snapshot.get("days") or []
    return any(day.get("fault") or any((day.get("rules") or {}).values()) for day in days)


def read_journal(folder: Path) -> dict[str, Score]:
    """All scores in a journal by file name, oldest first; what cannot be read is no score."""
    scores = {}
    for path in sorted(folder.glob("*.json")):
        try:
            snapshot = json.loads(path.read_text())
        except (OSError, ValueError):
            continue
        score = score_of(snapshot) if isinstance(snapshot, dict) else None
        if score is not None:
            scores[path.name] = score
    return scores


def latest_score(scores: Iterable[Score], panel: Panel) -> Score | None:
    """The last score of a panel that has a figure."""
    found = [score for score in scores if score.panel == panel and score.figure is not None]
    return found[-1] if found else None


def bench_commands(kit: Path, site: Path, why: str) -> list[list[str]]:
    """The benches of a site file's regression, as commands."""
    if site.parent.name not in BENCHES:
        raise ValueError(f"SITES: {site} is in none of the folders {', '.join(BENCHES)} of the kit")
    commands = []
    for program, *arguments in BENCHES[site.parent.name]:
        words = [str(site) if argument == SITE else argument for argument in arguments]
        commands.append([str(kit / program), *words, "--why", why])
    return commands


def run_benches(
    root: Path,
    kit: Path,
    sites: Sequence[Path],
    why: str,
    say: Callable[[str], None],
    run: Callable[..., Any] = subprocess.run,
) -> list[Comparison]:
    """Plays the sites in turn, one bench at a time; `say` is told each command.

    A bench that leaves no score raises `BenchError` with what it printed last.
    """
    comparisons = []
    for site in sites:
        for command in bench_commands(kit, site, why):
            say(" ".join(command[:-2]))
            comparisons.append(run_bench(root, command, run))
    return comparisons


def run_bench(root: Path, command: list[str], run: Callable[..., Any]) -> Comparison:
    """Plays one bench."""
    before = read_journal(root / "journal")
    ended = run(command, cwd=root, capture_output=True, text=True)
    after = read_journal(root / "journal")
    new = [score for name, score in after.items() if name not in before]
    if not new:
        output = (ended.stdout + ended.stderr)[-SHOWN_OUTPUT:]
        raise BenchError(f"{command[0]} left no score: {output}")
    return Comparison(new[-1], latest_score(before.values(), new[-1].panel))
