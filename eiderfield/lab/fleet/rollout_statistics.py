"""Summarises the results of drawn changes: shares with confidence intervals, and jobs served in time."""

from __future__ import annotations

import math
from collections.abc import Sequence

from eiderfield.lab.fleet.faulty_programs import NO_FAULT
from eiderfield.lab.fleet.rollout_draw import DrawnRun, InTime

Z_95 = 1.96  # half-width of a 95% interval, in standard deviations
SECOND_STAGE = 1  # index


def wilson(hits: int, of: int) -> tuple[float, float]:
    """Return the 95% Wilson score interval of the share `hits / of`."""
    if not of:
        return 0.0, 1.0
    share = hits / of
    center = share + Z_95**2 / (2 * of)
    half = Z_95 * math.sqrt(share * (1 - share) / of + Z_95**2 / (4 * of**2))
    scale = 1 + Z_95**2 / of
    return max(0.0, (center - half) / scale), min(1.0, (center + half) / scale)


def summary(runs: Sequence[DrawnRun]) -> list[str]:
    """Return the lines that summarise drawn changes."""
    worse = [run for run in runs if run.kind != NO_FAULT]
    good = [run for run in runs if run.kind == NO_FAULT]
    stopped = [run for run in worse if run.phase == "undone" and run.stage <= SECOND_STAGE]
    undone = [run for run in good if run.phase in ("undone", "stuck")]
    held = [run for run in good if run.phase == "held"]
    return [
        share_line("worse changes undone within their second stage", len(stopped), len(worse)),
        share_line("good changes undone", len(undone), len(good)),
        share_line("good changes held", len(held), len(good)),
        good_line(good),
        f"bans kept in {sum(run.bans_kept for run in runs)} of {len(runs)}",
        f"something failed before the end of {sum(run.fault_came for run in runs)} of {len(runs)}",
        *in_time_lines(good),
        *undo_lines(worse),
    ]


def share_line(title: str, hits: int, of: int) -> str:
    """Return a line with a share and its 95% interval."""
    low, high = wilson(hits, of)
    return f"{title}: {hits} of {of} ({low:.0%} to {high:.0%})"


def good_line(good: Sequence[DrawnRun]) -> str:
    """Return a line with the totals of jobs and findings under good changes."""
    jobs = sum(run.jobs for run in good)
    served = sum(run.served for run in good)
    findings = sum(len(run.findings) for run in good)
    most = max((run.out_most for run in good), default=0)
    return (
        f"good changes: {jobs} jobs, {served} served, {findings} findings; "
        f"most dispatchers out at once {most}"
    )


def undo_lines(worse: Sequence[DrawnRun]) -> list[str]:
    """Return a line with the median and maximum duration of undos; empty if there was no undo."""
    undos = sorted(run.undo_seconds for run in worse if run.undo_seconds is not None)
    if not undos:
        return []
    median = undos[len(undos) // 2]
    return [
        f"from the first watch to the undo's end: {median:.1f} s in the middle, {undos[-1]:.1f} s at most"
    ]


def in_time_lines(good: Sequence[DrawnRun]) -> list[str]:
    """Return lines that compare the shares of jobs in time before and during good changes.

    Runs with and without faults have a line each, unless there are no jobs to compare.
    """
    lines = []
    for fault_came, title in ((False, "without faults"), (True, "amid faults")):
        runs = [run for run in good if run.fault_came is fault_came]
        before = total([run.before for run in runs])
        during = total([run.during for run in runs])
        if before.jobs and during.jobs and before.served:
            ratio = (during.served / during.jobs) / (before.served / before.jobs)
            lines.append(
                f"good changes {title}: in time {before.served} of {before.jobs} before, "
                f"{during.served} of {during.jobs} during, ratio {ratio:.4f}"
            )
    return lines


def total(parts: Sequence[InTime | None]) -> InTime:
    """Return the sum over runs; failed runs (None) count as zero."""
    played = [part for part in parts if part is not None]
    return InTime(sum(part.jobs for part in played), sum(part.served for part in played))
