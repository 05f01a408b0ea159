"""`eiderfield jobs`: the work in hand of a host, as its dispatchers have written it down."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any

import click

from eiderfield.machine import unix_offset

FOLDER: Any = click.Path(exists=True, file_okay=False, path_type=Path)


@click.group()
def jobs() -> None:
    """Shows and checks the work in hand in a custody folder; asks for the end of a job, or for one again.

    Every call reads the stores while the dispatchers go on. Exits with 2 and one line if FOLDER is none.
    """


def _inspect(folder: Path) -> Any:
    from eiderfield.durable_requests.errors import FolderError
    from eiderfield.durable_requests.inspection import Inspection

    try:
        return Inspection(folder)
    except FolderError as error:
        raise click.UsageError(str(error)) from None


def _print(rows: list[dict[str, Any]], as_json: bool, columns: tuple[str, ...]) -> None:
    from rich.console import Console
    from rich.table import Table

    if as_json:
        for row in rows:
            click.echo(json.dumps(row))
        return
    table = Table(*columns, box=None)
    for row in rows:
        table.add_row(*[_cell(row[name]) for name in columns])
    Console(width=160).print(table, highlight=False)


def _cell(value: object) -> str:
    return json.dumps(value) if isinstance(value, list | dict) else str(value)


_JSON = click.option("--json", "as_json", is_flag=True, help="a JSON object a line")
_COLUMNS = ("id", "class", "state", "owner", "taken_over", "may_have_run", "why")


@jobs.command("list")
@click.argument("folder", type=FOLDER)
@click.option("--class", "cls", default="", help="of this class alone")
@click.option("--state", default="", help="accepted, claimed, served, failed, declined, terminated or open")
@_JSON
def list_(folder: Path, cls: str, state: str, as_json: bool) -> None:
    """Lists all jobs, each once, with the life that owns it."""
    inspection = _inspect(folder)
    rows = []
    for known in inspection.jobs():
        fits = state in ("", known.state) or (state == "open" and not known.record.verdict)
        if fits and cls in ("", known.record.class_name):
            rows.append(known.row(unix_offset()))
    _print(rows, as_json, _COLUMNS)
    for fault in inspection.faults:
        click.echo(f"not read: {fault}", err=True)


@jobs.command()
@click.argument("folder", type=FOLDER)
@click.argument("id_", metavar="ID")
def show(folder: Path, id_: str) -> None:
    """Shows a job: its legs, the lives it went through, its answer."""
    known = _inspect(folder).job(id_)
    if known is None:
        raise click.ClickException(f"job {id_!r} is not known")
    told = {**known.row(unix_offset()), "chain": list(known.chain)}
    if known.record.verdict == "served":
        told["result"] = known.record.result.decode("utf-8", "replace")
    click.echo(json.dumps(told, indent=1))


@jobs.command()
@click.argument("folder", type=FOLDER)
@_JSON
def members(folder: Path, as_json: bool) -> None:
    """Lists the lives: alive, lost, left, or gone and not fenced yet."""
    rows = [incarnation.row() for incarnation in _inspect(folder).incarnations()]
    _print(rows, as_json, ("life", "state", "open", "answered", "bytes", "pid", "why", "heirs"))


@jobs.command()
@click.argument("folder", type=FOLDER)
@_JSON
def dead(folder: Path, as_json: bool) -> None:
    """Lists jobs that ended without a result, with whether they may have run."""
    rows = [known.row(unix_offset()) for known in _inspect(folder).jobs() if known.is_dead]
    _print(rows, as_json, _COLUMNS)


@jobs.command()
@click.argument("folder", type=FOLDER)
@click.argument("id_", metavar="ID")
def cancel(folder: Path, id_: str) -> None:
    """Asks for the end of a job. Its owner ends it, unless it has its answer first: that one wins."""
    inspection = _inspect(folder)
    known = inspection.job(id_)
    if known is None:
        raise click.ClickException(f"job {id_!r} is not known")
    if known.record.verdict:
        raise click.ClickException(f"job {id_!r} is over: {known.state}")
    inspection.folder.end_requests.add(id_)
    click.echo("asked for")


@jobs.command()
@click.argument("folder", type=FOLDER)
@click.argument("id_", metavar="ID")
@click.option("--to", "address", required=True, metavar="HOST:PORT", help="a dispatcher's clients' address")
@click.option("--anyway", is_flag=True, help="although it may have run")
def requeue(folder: Path, id_: str, address: str, anyway: bool) -> None:
    """Asks a dispatcher for a dead job once more, as a job of its own.

    One that may have run is refused unless you say so: whether that does harm, who runs the jobs knows.
    Prints the status of the answer; exits with 1 if that is not 200.
    """
    import http.client

    from eiderfield.config.address import parse_address
    from eiderfield.config.errors import ConfigError

    known = _inspect(folder).job(id_)
    if known is None or not known.is_dead:
        state = "not known" if known is None else known.state
        raise click.ClickException(f"job {id_!r} is {state}, not dead")
    record = known.record
    if record.may_have_run and not anyway:
        raise click.ClickException(f"job {id_!r} may have run: --anyway asks for it all the same")
    try:
        host, port = parse_address(address, "--to")
    except ConfigError as error:
        raise click.UsageError(str(error)) from None
    again = f"{id_}~{record.generation}.{int(time.time())}"
    headers = {"X-Request-Id": again, "Content-Length": str(len(record.body))}
    if record.key:
        headers["Idempotency-Key"] = f"{record.key}~{int(time.time())}"
    try:
        connection = http.client.HTTPConnection(host, port, timeout=600.0)
        connection.request("POST", record.head.target, record.body, headers)
        answer = connection.getresponse()
    except OSError as error:
        raise click.ClickException(f"{address}: {error}") from None
    click.echo(f"{again}: {answer.status}")
    if answer.status != 200:
        raise SystemExit(1)


@jobs.command()
@click.argument("folder", type=FOLDER)
@click.argument("file", type=click.Path(dir_okay=False, path_type=Path))
def export(folder: Path, file: Path) -> None:
    """Writes all jobs into FILE as columns (Parquet), without their bodies and results."""
    import pyarrow
    import pyarrow.parquet as parquet

    rows = [known.row(unix_offset()) for known in _inspect(folder).jobs()]
    rows = [{**row, "legs": json.dumps(row["legs"])} for row in rows]
    schema = pyarrow.schema(
        [
            ("id", pyarrow.string()),
            ("class", pyarrow.string()),
            ("state", pyarrow.string()),
            ("owner", pyarrow.string()),
            ("taken_over", pyarrow.int32()),
            ("front", pyarrow.string()),
            ("accepted_ms", pyarrow.float64()),
            ("due_ms", pyarrow.float64()),
            ("finished_ms", pyarrow.float64()),
            ("may_have_run", pyarrow.bool_()),
            ("legs", pyarrow.string()),
            ("why", pyarrow.string()),
            ("key", pyarrow.string()),
            ("target", pyarrow.string()),
            ("bytes", pyarrow.int64()),
        ]
    )
    parquet.write_table(pyarrow.Table.from_pylist(rows, schema), file)
    click.echo(f"{len(rows)} jobs")


@jobs.command()
@click.argument("folder", type=FOLDER)
def verify(folder: Path) -> None:
    """Reads every record of every store. Prints what is wrong, a line each; exits with 1 if anything is."""
    found = _inspect(folder).verify()
    for line in found:
        click.echo(line)
    if found:
        raise SystemExit(1)
    click.echo("in order")


@jobs.command()
@click.argument("folder", type=FOLDER)
@click.argument("copy", type=click.Path(file_okay=False, path_type=Path))
def snapshot(folder: Path, copy: Path) -> None:
    """Copies what is kept into the new folder COPY while the dispatchers go on."""
    from eiderfield.durable_requests.errors import FolderError
    from eiderfield.durable_requests.snapshot import copy_folder

    try:
        click.echo(f"{copy_folder(folder, copy)} jobs")
    except (FolderError, OSError) as error:
        raise click.ClickException(str(error)) from None


@jobs.command()
@click.argument("copy", type=FOLDER)
@click.argument("folder", type=click.Path(file_okay=False, path_type=Path))
def restore(copy: Path, folder: Path) -> None:
    """Makes the new folder FOLDER out of a snapshot. Dispatchers that start on it take over what is open."""
    from eiderfield.durable_requests.errors import FolderError
    from eiderfield.durable_requests.snapshot import copy_folder

    try:
        click.echo(f"{copy_folder(copy, folder)} jobs")
    except (FolderError, OSError) as error:
        raise click.ClickException(str(error)) from None
