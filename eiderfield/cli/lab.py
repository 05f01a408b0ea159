"""`eiderfield lab`: measurements on loopback addresses."""

from __future__ import annotations

import json
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

import click

from eiderfield.cli.aliases import add_hidden_alias
from eiderfield.cli.fleet import fleet
from eiderfield.cli.scale import scale


@click.group()
def lab() -> None:
    """Measures on stand-ins, on this machine's loopback addresses."""


lab.add_command(fleet)
lab.add_command(scale)


@lab.group("durable-requests")
def durable_requests() -> None:
    """Measures what durable requests cost."""


add_hidden_alias(lab, durable_requests, "custody")


@durable_requests.command()
@click.option("--dispatchers", type=click.IntRange(1, 32), default=4, show_default=True)
@click.option(
    "--rate", type=click.FloatRange(1.0, 1000.0), default=150.0, show_default=True, help="jobs a second"
)
@click.option(
    "--seconds", type=click.FloatRange(1.0, 600.0), default=8.0, show_default=True, help="of each part"
)
@click.option("--rounds", type=click.IntRange(1, 20), default=2, show_default=True)
def cost(dispatchers: int, rate: float, seconds: float, rounds: int) -> None:
    """Runs the same jobs off, on, off, on; half of them belong to a class that is durable where it is on."""
    from eiderfield.lab.durable_requests.comparison import compare

    folder = Path(tempfile.mkdtemp(prefix="eiderfield-cost-"))
    for part in compare(dispatchers, rate, seconds, folder, rounds):
        times = ", ".join(f"{n} p50 {part.p50[n]:.1f} p99 {part.p99[n]:.1f} ms" for n in part.p50)
        kept = f", {part.bytes_each:.0f} B a kept job" if part.on else ""
        click.echo(
            f"{'on ' if part.on else 'off'}: {part.served} of {part.jobs} served, "
            f"{part.served / part.seconds:.0f} a second, {times}, "
            f"{1000.0 * part.processor / part.jobs:.2f} ms of processor a job{kept}"
        )


@durable_requests.command()
@click.option("--seconds", type=click.FloatRange(0.1, 600.0), default=3.0, show_default=True)
def commits(seconds: float) -> None:
    """Lets one member accept, claim and answer requests, each step in a commit of its own."""
    from eiderfield.lab.durable_requests.throughput import commits as commits_

    rate = commits_(seconds, Path(tempfile.mkdtemp(prefix="eiderfield-commits-")))
    click.echo(f"{rate:.0f} jobs a second, three commits each")


@durable_requests.command()
@click.option("--processes", type=click.IntRange(2, 64), multiple=True, default=(4, 16), show_default=True)
@click.option("--seconds", type=click.FloatRange(0.5, 60.0), default=3.0, show_default=True)
def ways(processes: tuple[int, ...], seconds: float) -> None:
    """Lets processes write records into a store each and into one store, also with one process stopped."""
    from eiderfield.lab.durable_requests.store_writes import ways as ways_

    for row in ways_(processes, seconds, Path(tempfile.mkdtemp(prefix="eiderfield-ways-"))):
        click.echo(
            f"{row.way}, {row.processes} processes: {row.commits_per_s:.0f} commits a second, "
            f"p50 {row.p50:.2f} ms, p99 {row.p99:.2f} ms, longest {row.gap:.0f} ms"
        )


@durable_requests.command()
@click.option(
    "--records", type=click.IntRange(1, 5_000_000), multiple=True, default=(10_000,), show_default=True
)
@click.option("--seconds", type=click.FloatRange(0.5, 600.0), default=5.0, show_default=True)
def recovery(records: tuple[int, ...], seconds: float) -> None:
    """Lets a successor take over the records of a lost incarnation, as fast as it can."""
    from eiderfield.lab.durable_requests.throughput import recovery as recovery_

    for number in records:
        found = recovery_(number, seconds, Path(tempfile.mkdtemp(prefix="eiderfield-recovery-")))
        click.echo(
            f"{found.records} records, {found.megabytes:.1f} MB: known after {found.read:.2f} s, the first "
            f"taken over after {found.first:.2f} s, {found.adopted} within {seconds:g} s, "
            f"{found.per_s:.0f} a second"
        )


@lab.command("explore")
@click.option("--members", type=click.IntRange(2, 4), default=3, show_default=True)
@click.option("--jobs", type=click.IntRange(1, 3), default=1, show_default=True)
@click.option("--faults", type=click.IntRange(0, 4), default=2, show_default=True)
@click.option(
    "--plans", type=click.IntRange(0, 3), default=0, show_default=True, help="planned ends, departures"
)
@click.option("--most", type=click.IntRange(1), default=3_000_000, show_default=True, help="states")
@click.option("--slip", default="", help="plants a fault, to see that it is found")
def explore_(members: int, jobs: int, faults: int, plans: int, most: int, slip: str) -> None:
    """Searches all interleavings of the protocol of durable requests. Exits with 1 if one breaks a rule."""
    from eiderfield.lab.durable_requests.protocol_model import SLIPS, SLIPS_WITH_PLANS, Machine, start
    from eiderfield.lab.explore import explore

    try:
        machine = Machine(slip)
    except ValueError as error:
        raise click.UsageError(f"{error}; there are {', '.join((*SLIPS, *SLIPS_WITH_PLANS))}") from None
    found = explore(start(members, jobs, faults, plans=plans), machine.steps, machine.wrong, most)
    seen = "all of them" if found.complete else "not all"
    click.echo(f"{found.states} states, {found.steps} steps, {found.depth} deep, {found.ends} ends; {seen}")
    if found.fault:
        click.echo(f"{found.fault}: {'; '.join(found.trace)}")
        raise SystemExit(1)


Command = TypeVar("Command", bound=Callable[..., Any])


def _option(name: str, kind: Any, default: float, text: str) -> Callable[[Command], Command]:
    return click.option(name, type=kind, default=default, show_default=True, help=text)


def _json() -> Callable[[Command], Command]:
    kind: Any = click.Path(dir_okay=False, path_type=Path)
    return click.option("--json", "file", type=kind, help="writes the result there")


@lab.command()
@click.option(
    "--connections",
    "steps",
    type=click.IntRange(1),
    multiple=True,
    default=(1000, 3000),
    show_default=True,
    help="how many idle ones; give it again for each step",
)
@_option("--processes", click.IntRange(1, 32), 2, "processes of idle clients")
@_option("--rate", click.FloatRange(1.0, 5000.0), 300.0, "jobs a second")
@_option("--window", click.FloatRange(1.0, 600.0), 10.0, "seconds of a stream")
@_option("--rounds", click.IntRange(1, 100), 2, "streams to each dispatcher, in turn")
@_option("--rest", click.FloatRange(1.0, 60.0), 5.0, "seconds at rest")
@_option("--wake", click.IntRange(1), 1000, "connections woken within one second")
@_option("--expire", click.IntRange(1, 19_000), 10_000, "connections whose time ends within one second")
@_json()
def idle(steps: tuple[int, ...], file: Path | None, **more: Any) -> None:
    """What idle connections cost: memory, processor, and latency of jobs beside them.

    Two dispatchers run side by side, one with many idle connections. The same stream of jobs goes to
    one and the other in turn. Exits with 1 if a process did not do its part.
    """
    from eiderfield.lab.idle_cost import IdleCost, Plan
    from eiderfield.lab.processes import LabError
    from eiderfield.lab.report import show_idle

    plan = Plan(list(steps), **more, say=lambda text: click.echo(text, err=True))
    with tempfile.TemporaryDirectory(prefix="eiderfield-lab-") as folder:
        try:
            result: dict[str, Any] = IdleCost(plan, Path(folder)).run()
        except LabError as error:
            raise click.ClickException(str(error)) from None
    if file is not None:
        file.write_text(json.dumps(result, indent=1) + "\n")
    show_idle(result)


@lab.command()
@_option("--connections", click.IntRange(1), 10_000, "parked ones")
@_option("--processes", click.IntRange(1, 32), 2, "processes of idle clients")
@_option("--rate", click.FloatRange(1.0, 5000.0), 100.0, "jobs a second meanwhile")
@click.option("--kill", is_flag=True, help="kills the new process half-way: all others must be back")
@_json()
def restart(connections: int, processes: int, rate: float, kill: bool, file: Path | None) -> None:
    """A new version takes over idle connections: the time, and whom it loses.

    Exits with 1 if a client is lost that the dead process was not reading from.
    """
    from eiderfield.lab.processes import LabError
    from eiderfield.lab.report import show_plain
    from eiderfield.lab.restart import Restart

    with tempfile.TemporaryDirectory(prefix="eiderfield-lab-") as folder:
        try:
            result = Restart(connections, processes, rate, kill, Path(folder)).run()
        except LabError as error:
            raise click.ClickException(str(error)) from None
    if file is not None:
        file.write_text(json.dumps(result, indent=1) + "\n")
    show_plain(result, "A restart with idle connections")
    if result["lost"]:
        raise click.ClickException(f"{result['lost']} clients were lost")


@lab.command()
@click.option(
    "--kit", type=click.Path(exists=True, file_okay=False, path_type=Path), required=True, help="where it is"
)
@click.option("--why", required=True, help="one plain sentence that names the change")
@click.argument(
    "sites", nargs=-1, required=True, type=click.Path(exists=True, dir_okay=False, path_type=Path)
)
def regression(kit: Path, why: str, sites: tuple[Path, ...]) -> None:
    """Plays the operators' benches for each SITE in turn, beside the journal's last figures.

    Exits with 1 if a gate or rule failed or a figure fell by more than 0.03 within its panel.
    """
    from eiderfield.lab.regression import run_benches
    from eiderfield.lab.report import show_regression

    try:
        rows = run_benches(Path.cwd(), kit, sites, why, lambda text: click.echo(text, err=True))
    except (RuntimeError, ValueError, OSError) as error:
        raise click.ClickException(str(error)) from None
    show_regression(rows)
    if any(row.verdict != "kept" for row in rows):
        raise SystemExit(1)
