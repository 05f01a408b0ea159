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

FALL = 0.03  # of a figure within one panel, from which on the cause is sought

# For each site of the kit, by the folder that its file is in: the benches that its regression plays.
BENCHES: dict[str, tuple[tuple[str, ...], ...]] = {
    "users": (("bin/lbsim", "score", "SITE", "--quick"), ("real/bin/lbreal", "score", "SITE", "--quick")),
    "sites": (
        ("bin/lbsim", "score", "SITE", "--quick"),
        ("more/mass/bin/lbreal", "score", "SITE", "--quick"),
        ("more/bin/lbreal", "score", "SITE", "--quick"),
        ("more/bin/lbreal", "score", "SITE", "--panel", "later", "--quick"),
    ),
}


@dataclass(frozen=True, slots=True)
class Played:
    """One snapshot of a score: `figure` is None where none was printed, `gate` where the page has none."""

    id: str
    panel: tuple[str, str, str]  # command, site, days
    figure: float | None
    ok: bool
    gate: bool | None

    @property
    def failed(self) -> bool:
        """Whether a rule broke, the program crashed or a gate was not passed."""
        return not self.ok or self.gate is False


def snapshot_of(told: dict[str, Any]) -> Played | None:
    """What a journal's file says of a score, None if it is of anything else or of another program."""
    if told.get("cmd") not in ("score", "real-score") or not told.get("panel"):
        return None
    if not told.get("policy"):  # a probe: what was played is not this program
        return None
    figures = told.get("figures") or {}
    figure = figures.get("real_score", told.get("score"))
    gate = figures.get("gate")
    panel = (str(told["cmd"]), str(told.get("site")), str(told["panel"]))
    broken = any(day.get("fault") or any((day.get("rules") or {}).values()) for day in told.get("days") or [])
    return Played(
        str(told.get("id")), panel, None if figure is None else float(figure),
        bool(told.get("ok")) and not broken, None if gate is None else gate >= 1.0,
    )  # fmt: skip


def read_journal(folder: Path) -> dict[str, Played]:
    """All scores in a journal by file name, oldest first; what cannot be read is no score."""
    found = {}
    for path in sorted(folder.glob("*.json")):
        try:
            told = json.loads(path.read_text())
        except (OSError, ValueError):
            continue
        if isinstance(told, dict) and (played := snapshot_of(told)) is not None:
            found[path.name] = played
    return found


def last_of(journal: Iterable[Played], panel: tuple[str, str, str]) -> Played | None:
    """The last whole score of a panel."""
    found = [played for played in journal if played.panel == panel and played.figure is not None]
    return found[-1] if found else None


def verdict(now: Played, before: Played | None) -> str:
    """`failed`, `fell` by more than FALL, or `kept`."""
    if now.failed or now.figure is None:
        return "failed"
    if before is not None and before.figure is not None and now.figure < before.figure - FALL:
        return "fell"
    return "kept"


def commands(kit: Path, site: Path, why: str) -> list[list[str]]:
    """The benches of a site file's regression, as commands."""
    if site.parent.name not in BENCHES:
        raise ValueError(f"SITES: {site} is in none of the folders {', '.join(BENCHES)} of the kit")
    return [
        [str(kit / bench[0]), *[str(site) if word == "SITE" else word for word in bench[1:]], "--why", why]
        for bench in BENCHES[site.parent.name]
    ]


def play(
    root: Path, kit: Path, sites: Sequence[Path], why: str, say: Callable[[str], None],
    run: Callable[..., Any] = subprocess.run,
) -> list[tuple[Played, Played | None]]:  # fmt: skip
    """Plays the sites in turn, one bench at a time; gives each new score with the one before it.

    A bench that leaves no score raises RuntimeError with what it printed last.
    """
    rows = []
    for site in sites:
        for command in commands(kit, site, why):
            before = read_journal(root / "journal")
            say(" ".join(command[:-2]))
            ended = run(command, cwd=root, capture_output=True, text=True)
            after = read_journal(root / "journal")
            new = [played for name, played in after.items() if name not in before]
            if not new:
                raise RuntimeError(f"{command[0]} left no score: {(ended.stdout + ended.stderr)[-400:]}")
            rows.append((new[-1], last_of(before.values(), new[-1].panel)))
    return rows
