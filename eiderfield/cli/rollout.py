"""`eiderfield rollout`: the plan of a rolling change, its course, and how often its test errs.

The commands that lead a change end with 0 where all are new, 3 where it was undone, 4 where not all could be
brought back, 5 where it was not begun; 1 and 2 are errors, and a faulty call or plan.
"""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

if TYPE_CHECKING:
    from eiderfield.rollout.journal import Journal
    from eiderfield.rollout.state_machine import RolloutStateMachine

CODES = {"done": 0, "undone": 3, "stuck": 4, "refused": 5}
FILE: Any = click.Path(exists=True, dir_okay=False, path_type=Path)
FOLDER: Any = click.Path(exists=True, file_okay=False, path_type=Path)


@click.group()
def rollout() -> None:
    """A change of the program or its settings, a stage after the other."""


@rollout.command()
@click.argument("file", type=FILE)
@click.option("--json", "as_json", is_flag=True, help="for other tools")
def plan(file: Path, as_json: bool) -> None:
    """Checks the plan in FILE and shows what each stage will do. Exits with 2 and one line on a fault."""
    from eiderfield.config.errors import ConfigError
    from eiderfield.rollout.plan_file import parse_plan

    try:
        found = parse_plan(file.read_text())
    except ConfigError as error:
        raise click.UsageError(f"{file}: {error}") from None
    if as_json:
        click.echo(json.dumps({"name": found.name, "out": found.max_concurrent, "stages": found.stages}))
        return
    zones = {member.name: member.zone for member in found.members}
    what = [found.program or "the same program", found.settings or "the same settings"]
    click.echo(f"{found.name}: {', '.join(what)}")
    for number, stage in enumerate(found.stages, 1):
        title = "canary" if number == 1 else f"stage {number}"
        many = min(found.max_concurrent, len(stage))
        click.echo(f"{title}, zone {zones[stage[0]]}, {many} at once: {', '.join(stage)}")
    for zone in found.uncompared_zones:
        click.echo(
            f"zone {zone} changes in the last stage alone: what is worse only there is not compared with old "
            "ones; a further share in stages.shares would leave it some"
        )
    watch = found.watch
    click.echo(
        f"each watched for {watch.max_duration:g} s at the most; "
        f"undone where {watch.in_time_drop:.0%} less is served in time "
        f"(false stops {watch.false_positive_rate:.1%} of changes, missed {watch.false_negative_rate:.0%})"
    )


@rollout.command()
@click.argument("file", type=FILE)
@click.option(
    "--folder",
    required=True,
    type=click.Path(file_okay=False, path_type=Path),
    help="where its journal, logs and the files of both sides lie; a new one",
)
def start(file: Path, folder: Path) -> None:
    """Begins the change that FILE plans, and leads it to its end.

    An interrupted one stays where it is; `resume` and `undo` go on from there.
    """
    from eiderfield.config.errors import ConfigError
    from eiderfield.rollout.controller import begin
    from eiderfield.rollout.journal import JournalError

    try:
        begin(file, folder)
    except ConfigError as error:
        raise click.UsageError(f"{file}: {error}") from None
    except JournalError as error:
        raise click.ClickException(str(error)) from None
    _lead(folder)


@rollout.command()
@click.argument("folder", type=FOLDER)
@click.option("--json", "as_json", is_flag=True, help="for other tools")
def status(folder: Path, as_json: bool) -> None:
    """Shows where the change of FOLDER stands, and whether a controller leads it."""
    journal, led = _journal(folder), _led(folder)
    state = journal.state
    if as_json:
        click.echo(json.dumps({"led": led, "state": state.encode(), "said": journal.said}))
        return
    for entry in journal.said[-12:]:
        click.echo(f"{_clock(entry['t'])}  {entry['phase']:9} stage {entry['stage'] + 1}  {entry['why']}")
    paused = ", paused" if state.paused else ""
    click.echo(f"{state.phase}{paused}; {'a controller leads it' if led else 'nobody leads it'}")


@rollout.command()
@click.argument("folder", type=FOLDER)
def pause(folder: Path) -> None:
    """Begins nothing more until `resume`; what is begun is finished, and a fault still undoes."""
    _say(folder, "pause")


@rollout.command()
@click.argument("folder", type=FOLDER)
def resume(folder: Path) -> None:
    """Goes on: a paused change, a held stage, one that was being undone, or one whose controller is lost."""
    _say(folder, "resume")


@rollout.command()
@click.argument("folder", type=FOLDER)
def undo(folder: Path) -> None:
    """Brings every dispatcher back to what it was, whatever phase the change is in."""
    _say(folder, "undo")


def _journal(folder: Path) -> Journal:
    from eiderfield.rollout.controller import plan_of
    from eiderfield.rollout.journal import JournalError, read

    try:
        return read(folder, plan_of(folder)[0])
    except JournalError as error:
        raise click.ClickException(str(error)) from None


def _led(folder: Path) -> bool:
    from eiderfield.rollout.controller import plan_of
    from eiderfield.rollout.journal import JournalError, Locks

    try:
        Locks(plan_of(folder)[0]).close()
    except JournalError:
        return True
    return False


def _say(folder: Path, word: str) -> None:
    state = _journal(folder).state
    lost = state.phase not in CODES and not state.paused and state.phase not in ("held", "undoing")
    if _led(folder):
        _ask(folder, word)
        click.echo(f"told the controller that leads it: {word}")
        return
    if word == "pause":
        raise click.ClickException("nobody leads this change: nothing is begun until it is resumed")
    if word == "undo" or not lost:  # one whose controller was lost just goes on
        _ask(folder, word)
    _lead(folder)


def _ask(folder: Path, word: str) -> None:
    from eiderfield.rollout.journal import JournalError, ask

    try:
        ask(folder, word)
    except JournalError as error:
        raise click.ClickException(f"not told: {error}") from None


def _lead(folder: Path) -> None:
    from eiderfield.rollout.controller import Controller
    from eiderfield.rollout.journal import JournalError

    said: list[object] = []

    def told(course: RolloutStateMachine) -> None:
        state = course.state
        now = [state.phase, state.stage, state.why, state.paused]
        if now != said:
            said[:] = now
            stage = f"stage {state.stage + 1} of {len(course.plan.stages)}"
            paused = " (paused)" if state.paused else ""
            click.echo(f"{_clock(time.time())}  {state.phase:9}{paused} {stage}  {state.why}")

    try:
        controller = Controller(folder)
    except JournalError as error:
        raise click.ClickException(str(error)) from None
    try:
        phase = controller.run(told)
    except KeyboardInterrupt:
        click.echo(f"left as it is; go on with: eiderfield rollout resume {folder}")
        raise SystemExit(1) from None
    finally:
        controller.close()
    raise SystemExit(CODES[phase])


def _clock(at: float) -> str:
    return time.strftime("%H:%M:%S", time.localtime(at))


@rollout.command()
@click.option("--rollouts", type=click.IntRange(1, 100_000), default=1000, show_default=True, help="how many")
@click.option(
    "--unlike",
    type=click.FloatRange(0.0, 0.2),
    default=0.01,
    show_default=True,
    help="how much dispatchers differ by themselves, as a share",
)
@click.option(
    "--worse",
    type=click.FloatRange(0.0, 0.9),
    multiple=True,
    default=(0.0, 0.05),
    show_default=True,
    help="by how much the change is worse",
)
def weigh(rollouts: int, unlike: float, worse: tuple[float, ...]) -> None:
    """Simulates rollouts and shows how often three tests undo, hold and let go on."""
    from rich.console import Console
    from rich.table import Table

    from eiderfield.rollout.power_analysis import weigh as weighed

    table = Table(title=f"{rollouts} rollouts, dispatchers unlike by {unlike:g}")
    for title in ("test", "worse by", "undone", "held", "gone on"):
        table.add_column(title, justify="left" if title == "test" else "right")
    for amount in worse:
        for name, shares in weighed(rollouts, amount, unlike).items():
            cells = [f"{shares[word]:.1%}" for word in ("undo", "hold", "go on")]
            table.add_row(name, f"{amount:.0%}", *cells)
    Console(width=100).print(table)
