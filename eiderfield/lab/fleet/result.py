"""The result of a run: rule breaches, injected faults, counts of events and the dispatchers' final states."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Sequence
from dataclasses import asdict, dataclass, field
from http import HTTPStatus
from math import inf
from pathlib import Path
from typing import Any

from eiderfield.lab.fleet.event_log import CLIENT_EVENTS, WORKER_EVENTS, Event, read_events
from eiderfield.lab.fleet.rules import FinalState, Finding, InjectedFault, check_rules, slow_start_usage
from eiderfield.lab.fleet.scenario import Scenario

RESULT_FILE = "result.json"


@dataclass
class Result:
    """The result of a run, as it is written to `result.json`."""

    findings: list[Finding]
    faults: list[InjectedFault]
    counts: dict[str, int]
    start: float
    final_states: list[FinalState] = field(default_factory=list)

    @property
    def kept(self) -> bool:
        """Return whether no rule was broken."""
        return not self.findings

    def to_plain(self) -> dict[str, Any]:
        """Return the result as JSON values; `until` is null for a fault that lasted to the end of the run."""
        faults = [
            {**asdict(fault), "until": None if fault.until == inf else fault.until} for fault in self.faults
        ]
        return {
            "findings": [asdict(finding) for finding in self.findings],
            "counts": self.counts,
            "start": self.start,
            "struck": faults,
            "rest": [asdict(state) for state in self.final_states],
        }


def check_run(
    scenario: Scenario,
    folder: Path,
    start: float,
    faults: list[InjectedFault],
    final_states: list[FinalState],
) -> Result:
    """Check the event logs in the folder of a run against the rules, and write the result there."""
    workers = read_events(folder / WORKER_EVENTS)
    clients = read_events(folder / CLIENT_EVENTS)
    findings = check_rules(scenario, workers, clients, faults, final_states)
    counts = count_events(workers, clients)
    usage = [used for _, used, _ in slow_start_usage(scenario, workers)]
    counts["cold_used"] = round(100.0 * max(usage, default=0.0))
    result = Result(findings, faults, counts, start, final_states)
    (folder / RESULT_FILE).write_text(json.dumps(result.to_plain(), indent=1))
    return result


def count_events(workers: Sequence[Event], clients: Sequence[Event]) -> dict[str, int]:
    """Return counts of jobs, answers and attempts in the event logs."""
    worker_counts = Counter(event["what"] for event in workers)
    client_counts = Counter(event["what"] for event in clients)
    begun = Counter(event["job"] for event in workers if event["what"] == "began")
    answered = [event for event in clients if event["what"] == "answered"]
    statuses = Counter(event["status"] for event in answered)
    return {
        "jobs": len({event["job"] for event in clients}),
        "served": len({event["job"] for event in answered if event["status"] == HTTPStatus.OK}),
        "tries": client_counts["asked"],
        "declined": statuses[429] + statuses[503],
        "failed": statuses[502],
        "broke": client_counts["broke"],
        "left": client_counts["left"],
        "begun": begun.total(),
        "begun_twice": sum(count > 1 for count in begun.values()),
        "unread": worker_counts["unread"],
    }
