"""`eiderfield jobs`: the durable requests of a host, as its dispatchers have recorded them."""

from __future__ import annotations

import json
import time
from http import HTTPStatus
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from eiderfield.machine import unix_offset

if TYPE_CHECKING:
    from eiderfield.durable_requests.inspection import Inspection
    from eiderfield.durable_requests.record import Record

FOLDER: Any = click.Path(exists=True, file_okay=False, path_type=Path)
TABLE_WIDTH = 160  # characters
REQUEUE_TIMEOUT_S = 600.0

Row = dict[str, object]


@click.group()
def jobs() -> None:
    """Shows and checks the jobs in a folder of durable requests, cancels a job or submits one again.

    Every command reads the stores while the dispatchers go on. Exits with 2 if FOLDER is not such a folder.
    """


def _inspect(folder: Path) -> Inspection:
    from eiderfield.durable_requests.errors import FolderError
    from eiderfield.durable_requests.inspection import Inspection

    try:
        return Inspection(folder)
    except FolderError as error:
        raise click.UsageError(str(error)) from None


def _print(rows: list[Row], as_json: bool, columns: tuple[str, ...]) -> None:
    from rich.console import Console
    from rich.table import Table

    if as_json:
        for row in rows:
            click.echo(json.dumps(row))
        return
    table = Table(*columns, box=None)
    for row in rows:
        table.add_row(*[_cell(row[name]) for name in columns])
    Console(width=TABLE_WIDTH).print(table, highlight=False)


def _cell(value: object) -> str:
    return json.dumps(value) if isinstance(value, list | dict) else str(value)


_JSON = click.option("--json", "as_json", is_flag=True, help="a JSON object a line")
_COLUMNS = ("id", "class", "state", "owner", "taken_over", "may_have_run", "why")


@jobs.command("list")
@click.argument("folder", type=FOLDER)
@click.option("--class", "class_name", default="", help="only jobs of this class")
@click.option("--state", default="", help="accepted, claimed, served, failed, declined, terminated or open")
@_JSON
def list_(folder: Path, class_name: str, state: str, as_json: bool) -> None:
    """Lists all jobs, each once, with the incarnation that owns it."""
    inspection = _inspect(folder)
    rows = []
    for job in inspection.requests():
        has_state = state in ("", job.state) or (state == "open" and not job.record.verdict)
        if has_state and class_name in ("", job.record.class_name):
            rows.append(job.row(unix_offset()))
    _print(rows, as_json, _COLUMNS)
    for fault in inspection.faults:
        click.echo(f"not read: {fault}", err=True)


@jobs.command()
@click.argument("folder", type=FOLDER)
@click.argument("id_", metavar="ID")
def show(folder: Path, id_: str) -> None:
    """Shows a job: its attempts, the incarnations that it has belonged to, its answer."""
    job = _inspect(folder).request(id_)
    if job is None:
        raise click.ClickException(f"job {id_!r} is not known")
    row = {**job.row(unix_offset()), "chain": list(job.chain)}
    if job.record.verdict == "served":
        row["result"] = job.record.result.decode("utf-8", "replace")
    click.echo(json.dumps(row, indent=1))


@jobs.command()
@click.argument("folder", type=FOLDER)
@_JSON
def members(folder: Path, as_json: bool) -> None:
    """Lists the incarnations: alive, lost, left, or gone and not fenced yet."""
    rows = [incarnation.row() for incarnation in _inspect(folder).incarnations()]
    _print(rows, as_json, ("life", "state", "open", "answered", "bytes", "pid", "why", "heirs"))


@jobs.command()
@click.argument("folder", type=FOLDER)
@_JSON
def dead(folder: Path, as_json: bool) -> None:
    """Lists jobs that ended without a result, and whether they may have run."""
    rows = [job.row(unix_offset()) for job in _inspect(folder).requests() if job.is_dead]
    _print(rows, as_json, _COLUMNS)


@jobs.command()
@click.argument("folder", type=FOLDER)
@click.argument("id_", metavar="ID")
def cancel(folder: Path, id_: str) -> None:
    """Requests the end of a job. Its owner ends it, unless the job has its answer first."""
    inspection = _inspect(folder)
    job = inspection.request(id_)
    if job is None:
        raise click.ClickException(f"job {id_!r} is not known")
    if job.record.verdict:
        raise click.ClickException(f"job {id_!r} is over: {job.state}")
    inspection.folder.end_requests.add(id_)
    click.echo("asked for")


@jobs.command()
@click.argument("folder", type=FOLDER)
@click.argument("id_", metavar="ID")
@click.option("--to", "address", required=True, metavar="HOST:PORT", help="a dispatcher's clients' address")
@click.option("--anyway", is_flag=True, help="although it may have run")
def requeue(folder: Path, id_: str, address: str, anyway: bool) -> None:
    """Submits a dead job once more to a dispatcher, as a new job.

    A job that may have run is refused without --anyway: only the operator knows whether a second run does
    harm. Prints the status of the answer; exits with 1 if it is not 200.
    """
    job = _inspect(folder).request(id_)
    if job is None or not job.is_dead:
        state = "not known" if job is None else job.state
        raise click.ClickException(f"job {id_!r} is {state}, not dead")
    if job.record.may_have_run and not anyway:
        raise click.ClickException(f"job {id_!r} may have run: --anyway asks for it all the same")
    now = int(time.time())
    new_id = f"{id_}~{job.record.generation}.{now}"
    status = _submit(address, job.record, new_id, f"{job.record.key}~{now}" if job.record.key else "")
    click.echo(f"{new_id}: {status}")
    if status != HTTPStatus.OK:
        raise SystemExit(1)


def _submit(address: str, record: Record, new_id: str, new_key: str) -> int:
    """Submit a recorded request under another id and key. Return the status of the answer."""
    import http.client

    from eiderfield.config.address import parse_address
    from eiderfield.config.errors import ConfigError

    try:
        host, port = parse_address(address, "--to")
    except ConfigError as error:
        raise click.UsageError(str(error)) from None
    headers = {"X-Request-Id": new_id, "Content-Length": str(len(record.body))}
    if new_key:
        headers["Idempotency-Key"] = new_key
    try:
        connection = http.client.HTTPConnection(host, port, timeout=REQUEUE_TIMEOUT_S)
        connection.request("POST", record.head.target, record.body, headers)
        return connection.getresponse().status
    except OSError as error:
        raise click.ClickException(f"{address}: {error}") from None


@jobs.command()
@click.argument("folder", type=FOLDER)
@click.argument("file", type=click.Path(dir_okay=False, path_type=Path))
def export(folder: Path, file: Path) -> None:
    """Writes all jobs into FILE as columns (Parquet), without their bodies and results."""
    import pyarrow
    import pyarrow.parquet as parquet

    rows = [job.row(unix_offset()) for job in _inspect(folder).requests()]
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
    """Reads every record of every store. Prints a line for each fault; exits with 1 if there is one."""
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
    """Copies FOLDER into the new folder COPY while the dispatchers go on."""
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
    """Restores the new folder FOLDER from a snapshot. Dispatchers that start on it take over open jobs."""
    from eiderfield.durable_requests.errors import FolderError
    from eiderfield.durable_requests.snapshot import copy_folder

    try:
        click.echo(f"{copy_folder(copy, folder)} jobs")
    except (FolderError, OSError) as error:
        raise click.ClickException(str(error)) from None
