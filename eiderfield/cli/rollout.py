"""`eiderfield rollout`: plans, leads and controls rolling changes, and shows how often their analysis errs.

The commands that lead a change exit with 0 if all dispatchers are new, 3 if it was undone, 4 if some could
not be brought back, and 5 if it was not begun; 1 and 2 are errors, and a faulty call or plan.
"""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

if TYPE_CHECKING:
    from eiderfield.rollout.journal import Journal
    from eiderfield.rollout.plan import Plan
    from eiderfield.rollout.state import RolloutState
    from eiderfield.rollout.state_machine import RolloutStateMachine

EXIT_CODES = {"done": 0, "undone": 3, "stuck": 4, "refused": 5}  # by final phase
SHOWN_ENTRIES = 12  # of the journal, by `status`
FILE: Any = click.Path(exists=True, dir_okay=False, path_type=Path)
FOLDER: Any = click.Path(exists=True, file_okay=False, path_type=Path)


@click.group()
def rollout() -> None:
    """Change the program or the settings of a fleet, one stage after the other."""


@rollout.command()
@click.argument("file", type=FILE)
@click.option("--json", "as_json", is_flag=True, help="for other tools")
def plan(file: Path, as_json: bool) -> None:
    """Check the plan in FILE and show what each stage will do. Exits with 2 and one line on a fault."""
    from eiderfield.config.errors import ConfigError
    from eiderfield.rollout.plan_file import parse_plan

    try:
        parsed = parse_plan(file.read_text())
    except ConfigError as error:
        raise click.UsageError(f"{file}: {error}") from None
    if as_json:
        plain = {"name": parsed.name, "out": parsed.max_concurrent, "stages": parsed.stages}
        click.echo(json.dumps(plain))
    else:
        _show_plan(parsed)


def _show_plan(parsed: Plan) -> None:
    program = parsed.program or "the same program"
    settings = parsed.settings or "the same settings"
    click.echo(f"{parsed.name}: {program}, {settings}")
    for number, stage in enumerate(parsed.stages, 1):
        title = "canary" if number == 1 else f"stage {number}"
        concurrent = min(parsed.max_concurrent, len(stage))
        click.echo(f"{title}, zone {parsed.member(stage[0]).zone}, {concurrent} at once: {', '.join(stage)}")
    for zone in parsed.uncompared_zones:
        click.echo(
            f"zone {zone} changes in the last stage alone: what is worse only there is not compared with old "
            "ones; a further share in stages.shares would leave it some"
        )
    watch = parsed.watch
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
    help="a new folder, for the journal, the logs and both versions of all files",
)
def start(file: Path, folder: Path) -> None:
    """Begin the change that FILE plans, and lead it to its end.

    An interrupted change stays as it is; `resume` and `undo` continue from there.
    """
    from eiderfield.config.errors import ConfigError
    from eiderfield.rollout.controller import begin_change
    from eiderfield.rollout.errors import JournalError

    try:
        begin_change(file, folder)
    except ConfigError as error:
        raise click.UsageError(f"{file}: {error}") from None
    except JournalError as error:
        raise click.ClickException(str(error)) from None
    _lead(folder)


@rollout.command()
@click.argument("folder", type=FOLDER)
@click.option("--json", "as_json", is_flag=True, help="for other tools")
def status(folder: Path, as_json: bool) -> None:
    """Show where the change in FOLDER stands, and whether a controller leads it."""
    from eiderfield.rollout.journal_codec import encode_entry
    from eiderfield.rollout.state import encode_state

    journal, led = _read_journal(folder), _is_led(folder)
    state = journal.state
    if as_json:
        entries = [encode_entry(entry) for entry in journal.entries]
        click.echo(json.dumps({"led": led, "state": encode_state(state), "said": entries}))
        return
    for entry in journal.entries[-SHOWN_ENTRIES:]:
        click.echo(f"{_clock(entry.time)}  {entry.phase:9} stage {entry.stage + 1}  {entry.reason}")
    paused = ", paused" if state.paused else ""
    click.echo(f"{state.phase}{paused}; {'a controller leads it' if led else 'nobody leads it'}")


@rollout.command()
@click.argument("folder", type=FOLDER)
def pause(folder: Path) -> None:
    """Begin nothing more until `resume`; what is under way is finished, and a fault still undoes."""
    _apply_command(folder, "pause")


@rollout.command()
@click.argument("folder", type=FOLDER)
def resume(folder: Path) -> None:
    """Continue a change that is paused, held, being undone, or whose controller is lost."""
    _apply_command(folder, "resume")


@rollout.command()
@click.argument("folder", type=FOLDER)
def undo(folder: Path) -> None:
    """Bring every dispatcher back to its old version, whatever phase the change is in."""
    _apply_command(folder, "undo")


def _read_journal(folder: Path) -> Journal:
    from eiderfield.rollout.controller import load_plan
    from eiderfield.rollout.errors import JournalError
    from eiderfield.rollout.journal import read_journal

    try:
        return read_journal(folder, load_plan(folder).plan)
    except JournalError as error:
        raise click.ClickException(str(error)) from None


def _is_led(folder: Path) -> bool:
    """Return whether a controller holds the locks of the change in `folder`."""
    from eiderfield.rollout.controller import load_plan
    from eiderfield.rollout.errors import RolloutError
    from eiderfield.rollout.locks import DispatcherLocks

    try:
        DispatcherLocks(load_plan(folder).plan).close()
    except RolloutError:
        return True
    return False


def _apply_command(folder: Path, command: str) -> None:
    """Send a command to the controller of a change, or lead the change here if there is none."""
    state = _read_journal(folder).state
    if _is_led(folder):
        _send_command(folder, command)
        click.echo(f"sent to the controller: {command}")
        return
    if command == "pause":
        raise click.ClickException("nobody leads this change: nothing is begun until it is resumed")
    if command == "undo" or not _was_interrupted(state):  # an interrupted change continues without a command
        _send_command(folder, command)
    _lead(folder)


def _was_interrupted(state: RolloutState) -> bool:
    """Return whether a change without a controller continues by itself once it is led again."""
    return state.phase not in EXIT_CODES and not state.paused and state.phase not in ("held", "undoing")


def _send_command(folder: Path, command: str) -> None:
    from eiderfield.rollout.errors import JournalError
    from eiderfield.rollout.operator_command import send_command

    try:
        send_command(folder, command)
    except JournalError as error:
        raise click.ClickException(f"not sent: {error}") from None


def _lead(folder: Path) -> None:
    """Lead the change in `folder` to its end, and exit with the code of its final phase."""
    from eiderfield.rollout.controller import Controller
    from eiderfield.rollout.errors import RolloutError

    try:
        controller = Controller(folder)
    except RolloutError as error:
        raise click.ClickException(str(error)) from None
    try:
        phase = controller.run(_Progress().show)
    except KeyboardInterrupt:
        click.echo(f"left as it is; go on with: eiderfield rollout resume {folder}")
        raise SystemExit(1) from None
    finally:
        controller.close()
    raise SystemExit(EXIT_CODES[phase])


class _Progress:
    """Prints a line whenever the state of a change differs from the one that was printed last."""

    def __init__(self) -> None:
        self._shown = ""

    def show(self, machine: RolloutStateMachine) -> None:
        """Print the state of a change if it is another one."""
        state = machine.state
        stage = f"stage {state.stage + 1} of {len(machine.plan.stages)}"
        paused = " (paused)" if state.paused else ""
        line = f"{state.phase:9}{paused} {stage}  {state.reason}"
        if line != self._shown:
            self._shown = line
            click.echo(f"{_clock(time.time())}  {line}")


def _clock(at: float) -> str:
    """Return a Unix time as hours, minutes and seconds of local time."""
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
    """Simulate rollouts and show how often three tests undo, hold and let go on."""
    from rich.console import Console
    from rich.table import Table

    from eiderfield.rollout.power_analysis import decision_shares

    table = Table(title=f"{rollouts} rollouts, dispatchers unlike by {unlike:g}")
    for title in ("test", "worse by", "undone", "held", "gone on"):
        table.add_column(title, justify="left" if title == "test" else "right")
    for amount in worse:
        for name, shares in decision_shares(rollouts, amount, unlike).items():
            cells = [f"{shares[decision]:.1%}" for decision in ("undo", "hold", "go on")]
            table.add_row(name, f"{amount:.0%}", *cells)
    Console(width=100).print(table)
