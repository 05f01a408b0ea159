"""Results as tables on the terminal."""

from __future__ import annotations

from typing import Any

from rich.console import Console
from rich.table import Table

from eiderfield.lab.regression import Comparison, Score
from eiderfield.lab.scale.bounds import BoundResult, Measurement


def _ms(figures: dict[str, float]) -> str:
    return " / ".join(f"{figures[name]:.1f}" for name in ("p50", "p99", "p99.9"))


def _ratio(figures: dict[str, float]) -> str:
    return " / ".join(f"{figures[name]:.2f}" for name in ("p50", "p99", "p99.9"))


def show_idle(result: dict[str, Any], console: Console | None = None) -> None:
    """The result of `eiderfield lab idle`."""
    console = console or Console(width=120)
    table = Table(title=f"Idle connections, {result['rate']:g} jobs a second; latencies p50 / p99 / p99.9")
    titles = "idle", "B each", "kernel B each", "at rest, calm", "crowded", "calm, ms", "crowded, ms", "ratio"
    for title in titles:
        table.add_column(title, justify="right")
    control = result["control"]
    table.add_row(
        "none", "", "", "", "", _ms(control["calm"]), _ms(control["crowded"]), _ratio(control["ratio"])
    )
    for row in result["steps"]:
        shares, latency = row["processor at rest"], row["latency"]
        table.add_row(
            f"{row['connections']:,}",
            f"{row['bytes each']:.0f}",
            f"{row['kernel bytes each, both ends']:.0f}",
            f"{shares['calm']:.1%}",
            f"{shares['crowded']:.1%}",
            _ms(latency["calm"]),
            _ms(latency["crowded"]),
            _ratio(latency["ratio"]),
        )
    console.print(table)
    woken, expired = result["wake"], result["expire"]
    statuses = woken["statuses"]
    console.print(
        f"{woken['woken']:,} woke within 1 s: {statuses['woken']}, {_ms(woken['latency'])} ms; "
        f"the stream {_ms(woken['latency of the stream'])} ms, {statuses['stream']}"
    )
    console.print(
        f"{expired['expired']:,} timed out within {expired['seconds']:.2f} s, {expired['rounds']} times: "
        f"the stream {_ms(expired['crowded'])} ms against {_ms(expired['calm'])} calm, "
        f"ratio {_ratio(expired['ratio'])}, {expired['statuses']}"
    )


def show_plain(result: dict[str, Any], title: str, console: Console | None = None) -> None:
    """A result of a few figures, one in a row."""
    table = Table(title=title, show_header=False)
    for name, value in result.items():
        table.add_row(name, f"{value:.2f}" if isinstance(value, float) else str(value))
    (console or Console(width=120)).print(table)


def show_regression(rows: list[Comparison], console: Console | None = None) -> None:
    """The result of `eiderfield lab regression`."""
    console = console or Console(width=120)
    table = Table(title="Benches in turn, beside the journal's last figures of the same panel")
    for title in ("site", "days", "now", "before", "gate", "", "snapshot"):
        table.add_column(title, justify="right" if title in ("now", "before") else "left")
    for row in rows:
        panel = row.now.panel
        days = panel.days if panel.command == "real-score" else "simulator"
        figures = [_figure(row.now), _figure(row.before)]
        table.add_row(panel.site, days, *figures, _gate(row.now), row.verdict, row.now.id)
    console.print(table)


def _figure(score: Score | None) -> str:
    return "-" if score is None or score.figure is None else f"{score.figure:.3f}"


def _gate(score: Score) -> str:
    if score.gate is None:
        return ""
    return "passed" if score.gate else "failed"


def show_scale(
    small: Measurement, large: Measurement, results: list[BoundResult], console: Console | None = None
) -> None:
    """The result of `eiderfield lab scale`."""
    console = console or Console(width=120)
    table = Table(title="What one dispatcher needs, by the size of its fleet")
    table.add_column("figure")
    for title in (f"{small.workers:,} workers", f"{large.workers:,} workers", "bound", "verdict"):
        table.add_column(title, justify="right")
    for row in results:
        verdict_text = "kept" if row.kept else "OVER"
        table.add_row(row.title, f"{row.small:,.2f}", f"{row.large:,.2f}", f"{row.limit:,.2f}", verdict_text)
    table.add_row("p50, ms", f"{small.p50_ms:.1f}", f"{large.p50_ms:.1f}", "", "")
    table.add_row("p99, ms", f"{small.p99_ms:.1f}", f"{large.p99_ms:.1f}", "", "")
    console.print(table)
    for day in (small, large):
        console.print(
            f"{day.workers:,} workers: answers {day.statuses}, "
            f"clients late by {day.client_lateness_ms:.1f} ms at most"
        )
