"""`eiderfield rollout`: the plan of a rolling change, and how often its test errs."""

from __future__ import annotations

import json
from pathlib import Path

import click


@click.group()
def rollout() -> None:
    """A change of the program or its settings, a stage after the other."""


@rollout.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="for other tools")
def plan(file: Path, as_json: bool) -> None:
    """Checks the plan in FILE and shows what each stage will do. Exits with 2 and one line on a fault."""
    from eiderfield.config import ConfigError
    from eiderfield.rollout.plan import read

    try:
        found = read(file.read_text())
    except ConfigError as error:
        raise click.UsageError(f"{file}: {error}") from None
    if as_json:
        click.echo(json.dumps({"name": found.name, "out": found.out, "stages": found.stages}))
        return
    zones = {member.name: member.zone for member in found.members}
    what = [found.program or "the same program", found.settings or "the same settings"]
    click.echo(f"{found.name}: {', '.join(what)}")
    for number, stage in enumerate(found.stages, 1):
        title = "canary" if number == 1 else f"stage {number}"
        many = min(found.out, len(stage))
        click.echo(f"{title}, zone {zones[stage[0]]}, {many} at once: {', '.join(stage)}")
    w = found.watching
    click.echo(
        f"each watched for {w.seconds:g} s at the most; undone where {w.worse:.0%} less is served in time "
        f"(false stops {w.false_stop:.1%} of changes, missed {w.missed:.0%})"
    )


@rollout.command()
@click.option("--rollouts", type=click.IntRange(1, 100_000), default=1000, show_default=True, help="how many")
@click.option("--unlike", type=click.FloatRange(0.0, 0.2), default=0.01, show_default=True,
              help="how much dispatchers differ by themselves, as a share")  # fmt: skip
@click.option("--worse", type=click.FloatRange(0.0, 0.9), multiple=True, default=(0.0, 0.05),
              show_default=True, help="by how much the change is worse")  # fmt: skip
def weigh(rollouts: int, unlike: float, worse: tuple[float, ...]) -> None:
    """Simulates rollouts and shows how often three tests undo, hold and let go on."""
    from rich.console import Console
    from rich.table import Table

    from eiderfield.rollout.weigh import weigh as weighed

    table = Table(title=f"{rollouts} rollouts, dispatchers unlike by {unlike:g}")
    for title in ("test", "worse by", "undone", "held", "gone on"):
        table.add_column(title, justify="left" if title == "test" else "right")
    for amount in worse:
        for name, shares in weighed(rollouts, amount, unlike).items():
            cells = [f"{shares[word]:.1%}" for word in ("undo", "hold", "go on")]
            table.add_row(name, f"{amount:.0%}", *cells)
    Console(width=100).print(table)
