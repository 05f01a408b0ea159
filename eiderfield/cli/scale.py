"""`eiderfield lab scale`: whether what a dispatcher needs grows too far with its fleet."""

from __future__ import annotations

import json
from pathlib import Path

import click

PACKAGE_ROOT = Path(__file__).resolve().parents[2]


@click.command()
@click.option(
    "--workers",
    type=click.IntRange(1, 10_000),
    nargs=2,
    default=(200, 3200),
    show_default=True,
    help="sizes of the small and the large fleet",
)
@click.option(
    "--rate", type=click.FloatRange(0.1, 1000.0), default=24.0, show_default=True, help="requests a second"
)
@click.option(
    "--seconds", type=click.FloatRange(0.5, 600.0), default=30.0, show_default=True, help="length of a day"
)
@click.option(
    "--changes",
    type=click.FloatRange(0.01, 60.0),
    default=0.25,
    show_default=True,
    help="seconds between two changes of the list, each of which replaces a worker",
)
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option(
    "--checkout",
    type=click.Path(exists=True, file_okay=False, path_type=Path),
    default=PACKAGE_ROOT,
    help="folder of the version to measure; by default this one",
)
@click.option(
    "--json", "file", type=click.Path(dir_okay=False, path_type=Path), help="writes figures and bounds there"
)
@click.option(
    "--profile",
    type=click.Path(dir_okay=False, path_type=Path),
    help="writes cProfile figures of the dispatcher beside the large fleet there",
)
def scale(
    workers: tuple[int, int],
    rate: float,
    seconds: float,
    changes: float,
    seed: int,
    checkout: Path,
    file: Path | None,
    profile: Path | None,
) -> None:
    """Plays the same day beside a small and a large fleet, and compares what one dispatcher needs.

    Exits with 1 if a figure of the large fleet is over its bound. With --profile the figures of the large
    fleet include the profiler's own cost.
    """
    from eiderfield.lab.processes import LabError
    from eiderfield.lab.report import show_scale
    from eiderfield.lab.scale.bounds import as_json, check
    from eiderfield.lab.scale.day import play_day
    from eiderfield.lab.scale.plan import DayPlan

    small_size, large_size = workers
    try:
        small = play_day(DayPlan(small_size, rate, seconds, changes, seed, checkout.resolve()))
        large = play_day(DayPlan(large_size, rate, seconds, changes, seed, checkout.resolve(), profile))
    except LabError as error:
        raise click.ClickException(str(error)) from None
    results = check(small, large)
    if file is not None:
        file.write_text(json.dumps(as_json([small, large], results), indent=1) + "\n")
    show_scale(small, large, results)
    if not all(result.kept for result in results):
        raise SystemExit(1)
