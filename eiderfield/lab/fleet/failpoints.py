"""Runs the dispatcher so that it fails once at a failpoint of its work on durable requests.

    EIDERFIELD_POINT=NAME:NUMBER:kill|stop:SECONDS python -m eiderfield.lab.fleet.failpoints --config FILE

The process kills or stops itself when it reaches the failpoint NAME for the NUMBER-th time, as if its host
had failed there. The run that started the process reads the marker file, and restarts or continues the
process SECONDS later. The failpoints are those of `Member.reach_failpoint` (`accept`, `claim` and `finish`
before a change is stored, `accept done` etc. after it, `adopt`, `adopt done`, `fence`) and `sent`, after the
last byte of an attempt was written. Only the laboratory uses this module; the dispatcher does not import it.
"""

from __future__ import annotations

import json
import os
import signal
import sys
import tempfile
from collections import Counter
from pathlib import Path
from typing import Any

from eiderfield.__main__ import main
from eiderfield.durable_requests.member import Member
from eiderfield.exchange.worker_reports import WorkerReports

FAILPOINT_VARIABLE = "EIDERFIELD_POINT"
MARKER_FILE = "point.json"  # written to the $TMPDIR of the process just before it fails


def fail_at(failpoint: str) -> None:
    """Patch the dispatcher's classes so that this process fails at `failpoint`, the variable's value."""
    target, number, action, seconds = failpoint.split(":")
    counts: Counter[str] = Counter()

    def reach_failpoint(name: str) -> None:
        counts[name] += 1
        if name == target and counts[name] == int(number):
            leave_marker(action, float(seconds))
            os.kill(os.getpid(), signal.SIGKILL if action == "kill" else signal.SIGSTOP)

    reports: Any = WorkerReports
    request_written = reports.request_written

    def request_written_with_failpoint(self: Any, attempt: Any) -> None:
        request_written(self, attempt)
        reach_failpoint("sent")

    Member.reach_failpoint = staticmethod(reach_failpoint)
    reports.request_written = request_written_with_failpoint


def leave_marker(action: str, seconds: float) -> None:
    """Write to the marker file how this process fails, and after how many seconds the run ends the fault."""
    marker = Path(tempfile.gettempdir()) / MARKER_FILE
    draft = marker.with_suffix(".draft")
    draft.write_text(json.dumps([action, seconds]))
    draft.replace(marker)


if __name__ == "__main__":
    fail_at(os.environ[FAILPOINT_VARIABLE])
    sys.exit(main())
