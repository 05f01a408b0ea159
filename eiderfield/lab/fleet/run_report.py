"""The report of a run: its events as a Parquet file, and an HTML page with tables and a time line."""

from __future__ import annotations

import html
import io
import json
from pathlib import Path
from typing import Any

from eiderfield.lab.fleet.event_log import Event, read_events
from eiderfield.lab.fleet.fleet import SCENARIO_FILE
from eiderfield.lab.fleet.result import RESULT_FILE

COLUMNS = ("t", "book", "what", "id", "job", "kind", "at", "by", "worker", "group", "status", "result", "run")
LOGS = ("workers", "clients")
CLIENT_EVENT_COLORS = {
    "answered": "tab:green",
    "broke": "tab:red",
    "left": "black",
    "declined": "tab:orange",
    "failed": "tab:purple",
}
OUTCOMES_BY_STATUS: dict[int | None, str] = {200: "answered", 429: "declined", 503: "declined", 502: "failed"}
WORKER_EVENT_COLORS = {"began": "tab:blue", "lost": "tab:red", "failed": "tab:red"}
STYLE = "body{font:14px sans-serif;margin:2em}td{padding:2px 9px;border-bottom:1px solid #ddd}"

Row = list[object]


def read_run_events(folder: Path) -> list[Event]:
    """Return the events of both logs sorted by `t`, in s from the first job; `book` is the log's name."""
    start = json.loads((folder / RESULT_FILE).read_text())["start"]
    rows = []
    for log in LOGS:
        for event in read_events(folder / f"{log}.jsonl"):
            row = {name: event.get(name) for name in COLUMNS}
            rows.append({**row, "t": event["t"] - start, "book": log})
    return sorted(rows, key=lambda row: float(row["t"]))


def write_events(folder: Path) -> Path:
    """Write `events.parquet` with the columns `COLUMNS`, and return its path."""
    import pyarrow as pa
    import pyarrow.parquet as parquet

    numbers = {"t": pa.float64(), "run": pa.float64(), "group": pa.int64(), "status": pa.int64()}
    schema = pa.schema([(name, numbers.get(name, pa.string())) for name in COLUMNS])
    path = folder / "events.parquet"
    parquet.write_table(pa.Table.from_pylist(read_run_events(folder), schema=schema), path)
    return path


def write_page(folder: Path) -> Path:
    """Write `index.html`, which needs no other file, and return its path."""
    result = json.loads((folder / RESULT_FILE).read_text())
    scenario = json.loads((folder / SCENARIO_FILE).read_text())
    title = f"{html.escape(scenario['name'])}, seed {scenario['seed']}"
    findings = finding_rows(result)
    parts = [
        f"<!doctype html><meta charset=utf-8><title>{title}</title><style>{STYLE}</style><h1>{title}</h1>",
        html_table([[name, value] for name, value in result["counts"].items()]),
        "<h2>Faults</h2>",
        html_table(fault_rows(result)),
        "<h2>Findings</h2>",
        html_table(findings) if findings else "<p>No rule was broken.</p>",
        "<h2>Time line</h2>",
        time_line(result, read_run_events(folder)),
        "<h2>Final states of the dispatchers</h2>",
        html_table(final_state_rows(result)),
    ]
    page = folder / "index.html"
    page.write_text("".join(parts))
    return page


def html_table(rows: list[Row]) -> str:
    """Return the rows as an HTML table."""
    cells = ["".join(f"<td>{html.escape(str(cell))}</td>" for cell in row) for row in rows]
    return "<table>" + "".join(f"<tr>{row}</tr>" for row in cells) + "</table>"


def finding_rows(result: dict[str, Any]) -> list[Row]:
    """Return a table row for each breach of a rule: rule, job and text."""
    return [[finding["rule"], finding["job"], finding["text"]] for finding in result["findings"]]


def fault_rows(result: dict[str, Any]) -> list[Row]:
    """Return a table row for each injected fault, with its times in s from the first job."""
    start = result["start"]
    rows: list[Row] = []
    for fault in result["struck"]:
        until = "to the end" if fault["until"] is None else f"to {fault['until'] - start:.2f} s"
        rows.append([fault["what"], fault["who"], f"{fault['since'] - start:.2f} s", until])
    return rows


def final_state_rows(result: dict[str, Any]) -> list[Row]:
    """Return a table row for each dispatcher: its exit code, and its descriptors at the start and the end."""
    rows: list[Row] = []
    for state in result["rest"]:
        descriptors = f"descriptors {state['descriptors_at_start']} to {state['descriptors']}"
        rows.append([state["name"], f"exit code {state['code']}", descriptors])
    return rows


def time_line(result: dict[str, Any], events: list[Event]) -> str:
    """Return the time line of events and faults as an SVG element."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    names = [name for key in ("at", "worker") for name in sorted({row[key] for row in events if row[key]})]
    positions = {name: len(names) - number for number, name in enumerate(names)}
    figure, axes = pyplot.subplots(figsize=(13.0, 1.5 + 0.28 * len(names)))
    for event in events:
        plot_event(axes, event, positions)
    end = max([float(event["t"]) for event in events], default=1.0)
    for fault in result["struck"]:
        plot_fault(axes, fault, result["start"], end, positions)
    axes.set_yticks(list(positions.values()), list(positions))
    axes.set_xlabel("s from the first job; marks: ends of client attempts by dispatcher, attempts by worker")
    text = io.StringIO()
    figure.savefig(text, format="svg", bbox_inches="tight")
    pyplot.close(figure)
    return text.getvalue()[text.getvalue().index("<svg") :]


def plot_event(axes: Any, event: Event, positions: dict[str, int]) -> None:
    """Mark the end of a client's attempt at its dispatcher, or an attempt's start or loss at its worker."""
    if event["book"] == "clients" and event["what"] in CLIENT_EVENT_COLORS:
        what: str = event["what"]
        outcome = OUTCOMES_BY_STATUS.get(event["status"], what)
        axes.plot(event["t"], positions[event["at"]], "|", color=CLIENT_EVENT_COLORS[outcome], markersize=9)
    elif event["what"] in WORKER_EVENT_COLORS:
        color = WORKER_EVENT_COLORS[event["what"]]
        axes.plot(event["t"], positions[event["worker"]], ".", color=color, markersize=3)


def plot_fault(axes: Any, fault: dict[str, Any], start: float, end: float, positions: dict[str, int]) -> None:
    """Shade the interval of a fault, and label it at its target."""
    since = fault["since"] - start
    until = end if fault["until"] is None else fault["until"] - start
    axes.axvspan(since, max(until, since + 0.02), alpha=0.08, color="tab:red")
    position = positions.get(fault["who"].rpartition(">")[2])
    if position is not None:
        axes.text(since, position + 0.25, f"{fault['what']} {fault['who']}", fontsize=7, color="tab:red")
