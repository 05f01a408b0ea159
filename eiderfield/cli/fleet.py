"""`eiderfield lab fleet`: many real processes, faults between them, and the rules judged from event logs."""

from __future__ import annotations

import json
import tempfile
from collections.abc import Callable, Iterable
from dataclasses import asdict
from pathlib import Path
from typing import TYPE_CHECKING, Any, TypeVar

import click

from eiderfield.cli.aliases import add_hidden_alias

if TYPE_CHECKING:
    from rich.console import Console

    from eiderfield.lab.fleet.durable_draw import DrawnDurableRun
    from eiderfield.lab.fleet.result import Result
    from eiderfield.lab.fleet.rollout_draw import DrawnRun
    from eiderfield.lab.fleet.scenario import Scenario

CONSOLE_WIDTH = 150
SHOWN_FINDINGS = 5

Command = TypeVar("Command", bound=Callable[..., Any])


@click.group()
def fleet() -> None:
    """Plays many processes of the program while parts of the system fail."""


def _out_option(text: str) -> Callable[[Command], Command]:
    kind: Any = click.Path(file_okay=False, path_type=Path)
    return click.option("--out", type=kind, help=text)


def _jobs_option(command: Command) -> Command:
    kind = click.IntRange(1, 16)
    return click.option("--jobs", type=kind, default=3, show_default=True, help="runs at once")(command)


def _console() -> Console:
    from rich.console import Console

    return Console(width=CONSOLE_WIDTH, highlight=False)


def _folder(out: Path | None, prefix: str) -> Path:
    return out or Path(tempfile.mkdtemp(prefix=f"eiderfield-{prefix}-"))


def _seed_range(text: str) -> range:
    """The seeds of `0-9` or `3`; none for an empty text."""
    if not text:
        return range(0)
    first, _, last = text.partition("-")
    try:
        return range(int(first), int(last or first) + 1)
    except ValueError:
        raise click.BadParameter(f"not a seed or a range: {text!r}", param_hint="--seeds") from None


def _checkout(text: str) -> tuple[str, Path]:
    name, _, folder = text.partition("=")
    if not folder or not (Path(folder) / "eiderfield").is_dir():
        raise click.BadParameter(f"not NAME=FOLDER with the package in it: {text!r}")
    return name, Path(folder).resolve()


@fleet.command()
@click.argument("scripts", nargs=-1, type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--seeds", default="", help="scenarios drawn from these, as 0-9 or 3")
@_out_option("where the runs' folders go")
@click.option("--program", "programs", multiple=True, help="n0=FOLDER: that dispatcher runs another revision")
def run(scripts: tuple[Path, ...], seeds: str, out: Path | None, programs: tuple[str, ...]) -> None:
    """Plays SCRIPTS (scenarios in TOML) and scenarios drawn from seeds, one after the other.

    Prints a row for each as it ends. Exits with 1 if a rule was broken in any, 2 if a scenario is faulty.
    """
    from eiderfield.lab.fleet.dispatcher import Program
    from eiderfield.lab.fleet.fleet import play
    from eiderfield.lab.fleet.run_report import write_events, write_page
    from eiderfield.lab.processes import LabError

    others = {name: Program(folder) for name, folder in map(_checkout, programs)}
    scenarios = _scenarios(scripts, seeds)
    folder, console, broken = _folder(out, "fleet"), _console(), 0
    for number, scenario in enumerate(scenarios):
        place = folder / f"{number:03d}-{scenario.name}"
        try:
            result = play(scenario, place, others)
        except LabError as error:
            raise click.ClickException(str(error)) from None
        write_events(place)
        write_page(place)
        broken += not result.kept
        _show_result(console, scenario, result)
    console.print(f"{len(scenarios) - broken} of {len(scenarios)} kept every rule; {folder}")
    if broken:
        raise SystemExit(1)


def _scenarios(files: Iterable[Path], seeds: str) -> list[Scenario]:
    from eiderfield.lab.fleet.scenario import ScenarioError
    from eiderfield.lab.fleet.scenario_draw import draw_scenario
    from eiderfield.lab.fleet.scenario_file import parse_scenario

    drawn = [draw_scenario(seed) for seed in _seed_range(seeds)]
    try:
        scenarios = [parse_scenario(path.read_text()) for path in files] + drawn
    except ScenarioError as error:
        raise click.UsageError(str(error)) from None
    if not scenarios:
        raise click.UsageError("neither a script nor --seeds was given")
    return scenarios


def _show_result(console: Console, scenario: Scenario, result: Result) -> None:
    counts = " ".join(f"{name} {value}" for name, value in result.counts.items())
    console.print(f"{scenario.name}: {'kept' if result.kept else 'BROKEN'}; {counts}")
    for finding in result.findings[:SHOWN_FINDINGS]:
        console.print(f"    {finding.rule}: {finding.text}", markup=False)


@fleet.command()
@click.option("--seeds", default="0-3", show_default=True, help="changes drawn from these, as 0-9 or 3")
@_jobs_option
@_out_option("where the runs' folders go")
@click.option(
    "--before",
    type=click.Path(exists=True, file_okay=False, path_type=Path),
    help="the folder of another revision, which runs at first",
)
def rollouts(seeds: str, jobs: int, out: Path | None, before: Path | None) -> None:
    """Plays rolling changes drawn from seeds, half of them good and half worse, amid faults.

    Prints a row for each as it ends, then shares with intervals (Wilson, 95%). Exits with 1 if any came to
    a wrong end.
    """
    from concurrent.futures import ProcessPoolExecutor, as_completed

    from eiderfield.lab.fleet.rollout_draw import RIGHT, play_drawn
    from eiderfield.lab.fleet.rollout_statistics import summary

    numbers = _seed_range(seeds)
    if before is not None and not (before / "eiderfield").is_dir():
        raise click.BadParameter(f"no package eiderfield in {before}", param_hint="--before")
    first_program = "" if before is None else str(before.resolve())
    folder, console = _folder(out, "rollouts"), _console()
    rows: list[DrawnRun] = []
    with ProcessPoolExecutor(jobs) as pool:
        runs = [pool.submit(play_drawn, seed, str(folder / f"{seed:03d}"), first_program) for seed in numbers]
        for played in as_completed(runs):
            rows.append(played.result())
            _show_rollout(console, rows[-1])
    _write_rows(folder / "rollouts.json", sorted(rows, key=lambda row: row.seed))
    for line in [*summary(rows), str(folder)]:
        console.print(line)
    if any(row.verdict != RIGHT for row in rows):
        raise SystemExit(1)


def _show_rollout(console: Console, row: DrawnRun) -> None:
    took = "" if row.undo_seconds is None else f", undone {row.undo_seconds:.1f} s after it served"
    console.print(
        f"{row.seed:3} {row.kind:9} {row.fault or '-':8} {row.phase:7} "
        f"stage {row.stage + 1}{took}: {row.verdict}; {row.why}",
        markup=False,
    )


def _write_rows(path: Path, rows: Iterable[DrawnRun] | Iterable[DrawnDurableRun]) -> None:
    path.write_text(json.dumps([asdict(row) for row in rows], indent=1))


@fleet.command("durable-requests")
@click.option(
    "--kills",
    type=click.IntRange(1),
    default=10,
    show_default=True,
    help="runs are drawn until so many dispatchers were killed",
)
@click.option("--first", type=click.IntRange(0), default=0, show_default=True, help="the first seed")
@_jobs_option
@click.option("--off", is_flag=True, help="the same without durable requests, to compare")
@_out_option("where the runs' folders go")
def durable_requests(kills: int, first: int, jobs: int, off: bool, out: Path | None) -> None:
    """Runs durable requests under load, with dispatchers killed, stopped and cut off as seeds draw it.

    Prints a row for each run and a summary. Exits with 1 if any run broke a rule.
    """
    from concurrent.futures import ProcessPoolExecutor

    from eiderfield.lab.fleet.durable_draw import play_drawn, summary

    folder, console = _folder(out, "durable-requests"), _console()
    rows: list[DrawnDurableRun] = []
    next_seed = first
    with ProcessPoolExecutor(jobs) as pool:
        while sum(row.kills for row in rows) < kills:
            seeds = range(next_seed, next_seed + jobs)
            next_seed += jobs
            folders = [str(folder / f"{seed:03d}") for seed in seeds]
            for row in pool.map(play_drawn, seeds, folders, [not off] * jobs):
                rows.append(row)
                _show_durable_run(console, row)
    _write_rows(folder / "custody.json", rows)
    for line in [*summary(rows), str(folder)]:
        console.print(line)
    if not all(row.kept for row in rows):
        raise SystemExit(1)


add_hidden_alias(fleet, durable_requests, "custody")


def _show_durable_run(console: Console, row: DrawnDurableRun) -> None:
    outcome = row.failed or (
        f"{row.served} of {row.jobs} served, {row.taken_over} taken over, "
        f"{row.may_have_run} may have run, {row.unanswered} unanswered; "
        + ("kept" if not row.findings else f"BROKEN {row.findings[:2]}")
    )
    console.print(f"{row.seed:3} {'; '.join(row.what)}: {outcome}", markup=False)


@fleet.command()
@click.option("--dispatchers", type=click.IntRange(3, 60), default=40, show_default=True)
@click.option(
    "--rate", type=click.FloatRange(10.0, 400.0), default=100.0, show_default=True, help="jobs a second"
)
@_out_option("where the run's folder goes")
def controller(dispatchers: int, rate: float, out: Path | None) -> None:
    """Plays one good change of many dispatchers, and prints what its controller costs.

    Exits with 1 if the change does not come to its good end.
    """
    from eiderfield.lab.fleet.rollout_draw import RIGHT, play_large, verdict

    folder = _folder(out, "controller")
    change, result = play_large(dispatchers, rate, folder)
    consoles = result.looks * dispatchers / result.seconds
    click.echo(
        f"{dispatchers} dispatchers, {result.phase} after {result.seconds:.1f} s: {result.looks} looks, "
        f"{consoles:.0f} consoles' figures a second, {result.cpu_seconds / result.seconds:.1%} of a core, "
        f"{result.memory_mb:.0f} MB at the most; {result.counts['served']} of {result.counts['jobs']} "
        "jobs served"
    )
    click.echo(str(folder))
    why = verdict(change, result)
    if why != RIGHT:
        raise click.ClickException(why)


@fleet.command()
@click.argument("seed", type=int)
def draw(seed: int) -> None:
    """Shows the scenario that a seed draws."""
    from eiderfield.lab.fleet.scenario_draw import draw_scenario

    click.echo(json.dumps(draw_scenario(seed).to_plain(), indent=1))
