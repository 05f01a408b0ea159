"""What a run leaves for people and other tools: its events as Parquet, and a page with the time line."""

from __future__ import annotations

import html
import io
import json
from pathlib import Path
from typing import Any

from eiderfield.lab.fleet.book import read

COLUMNS = ("t", "book", "what", "id", "job", "kind", "at", "by", "worker", "group", "status", "result", "run")
_SEEN = {
    "answered": "tab:green", "broke": "tab:red", "left": "black", "declined": "tab:orange",
    "failed": "tab:purple",
}  # fmt: skip


def events_of(folder: Path) -> list[dict[str, Any]]:
    """The events of both books in order; `t` in s from the first job."""
    start = json.loads((folder / "result.json").read_text())["start"]
    found = []
    for book in ("workers", "clients"):
        for event in read(folder / f"{book}.jsonl"):
            row = {name: event.get(name) for name in COLUMNS}
            found.append({**row, "t": event["t"] - start, "book": book})
    return sorted(found, key=lambda row: float(row["t"]))


def write_events(folder: Path) -> Path:
    """Writes `events.parquet`, with the columns `COLUMNS`."""
    import pyarrow as pa
    import pyarrow.parquet as parquet

    numbers = {"t": pa.float64(), "run": pa.float64(), "group": pa.int64(), "status": pa.int64()}
    schema = pa.schema([(name, numbers.get(name, pa.string())) for name in COLUMNS])
    path = folder / "events.parquet"
    parquet.write_table(pa.Table.from_pylist(events_of(folder), schema=schema), path)
    return path


def _picture(folder: Path, told: dict[str, Any], events: list[dict[str, Any]]) -> str:
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    end = max([float(row["t"]) for row in events], default=1.0)
    names = [name for key in ("at", "worker") for name in sorted({row[key] for row in events if row[key]})]
    places = {name: len(names) - number for number, name in enumerate(names)}
    figure, axes = pyplot.subplots(figsize=(13.0, 1.5 + 0.28 * len(names)))
    for row in events:
        if row["book"] == "clients" and row["what"] in _SEEN:
            what = {503: "declined", 429: "declined", 200: "answered"}.get(row["status"], row["what"])
            what = "failed" if row["status"] == 502 else what
            axes.plot(row["t"], places[row["at"]], "|", color=_SEEN[what], markersize=9)
        elif row["what"] in ("began", "lost", "failed"):
            color = "tab:blue" if row["what"] == "began" else "tab:red"
            axes.plot(row["t"], places[row["worker"]], ".", color=color, markersize=3)
    for struck in told["struck"]:
        since = struck["since"] - told["start"]
        until = end if struck["until"] is None else struck["until"] - told["start"]
        target = struck["who"].rpartition(">")[2] if ">" in struck["who"] else struck["who"]
        place = places.get(target)
        axes.axvspan(since, max(until, since + 0.02), alpha=0.08, color="tab:red")
        if place is not None:
            axes.text(since, place + 0.25, f"{struck['what']} {struck['who']}", fontsize=7, color="tab:red")
    axes.set_yticks(list(places.values()), list(places))
    axes.set_xlabel("s from the first job; marks: answers by dispatcher, begun legs by worker")
    text = io.StringIO()
    figure.savefig(text, format="svg", bbox_inches="tight")
    pyplot.close(figure)
    return text.getvalue()[text.getvalue().index("<svg") :]


def write_page(folder: Path) -> Path:
    """Writes `index.html`: counts, faults, findings and the time line, in one file."""
    told = json.loads((folder / "result.json").read_text())
    script = json.loads((folder / "script.json").read_text())
    events = events_of(folder)

    def table(rows: list[list[Any]]) -> str:
        cells = ["".join(f"<td>{html.escape(str(cell))}</td>" for cell in row) for row in rows]
        return "<table>" + "".join(f"<tr>{row}</tr>" for row in cells) + "</table>"

    findings = [[f["rule"], f["job"], f["text"]] for f in told["findings"]]
    faults = [
        [s["what"], s["who"], f"{s['since'] - told['start']:.2f} s",
         "to the end" if s["until"] is None else f"to {s['until'] - told['start']:.2f} s"]
        for s in told["struck"]
    ]  # fmt: skip
    rest = [
        [r["name"], f"ended with {r['code']}", f"descriptors {r['descriptors_first']} to {r['descriptors']}"]
        for r in told["rest"]
    ]
    page = folder / "index.html"
    page.write_text(
        "<!doctype html><meta charset=utf-8><title>" + html.escape(script["name"]) + "</title>"
        "<style>body{font:14px sans-serif;margin:2em}td{padding:2px 9px;border-bottom:1px solid #ddd}"
        "</style>"
        f"<h1>{html.escape(script['name'])}, seed {script['seed']}</h1>"
        + table([[name, value] for name, value in told["counts"].items()])
        + "<h2>Faults</h2>" + table(faults)
        + "<h2>Findings</h2>" + (table(findings) if findings else "<p>none: every rule was kept</p>")
        + "<h2>Time line</h2>" + _picture(folder, told, events)
        + "<h2>At rest</h2>" + table(rest)
    )  # fmt: skip
    return page
