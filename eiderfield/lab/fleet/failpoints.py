"""The dispatcher, made to fail once at a named point of its work on durable requests.

    EIDERFIELD_POINT=NAME:NUMBER:kill|stop:SECONDS python -m eiderfield.lab.fleet.failpoints --config FILE

The process kills or stops itself when it reaches the point NAME for the NUMBER-th time, as if its host had
failed there. The run that started it reads the marker file and starts or continues it SECONDS later. The
points are those of `Member.reach_failpoint` (`accept`, `claim`, `finish` before a change is stored,
`accept done` etc. after it, `adopt`, `adopt done`, `fence`) and `sent`, after the last byte of an attempt.
Part of the laboratory; the dispatcher does not import it.
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

VARIABLE = "EIDERFIELD_POINT"
MARKER = "point.json"  # the file that a process leaves in its $TMPDIR just before it fails


def fail_at(failpoint: str) -> None:
    """Replace methods of this process so that it fails at `failpoint`, the value of the variable."""
    target, number, how, seconds = failpoint.split(":")
    counts: Counter[str] = Counter()

    def point(name: str) -> None:
        counts[name] += 1
        if name == target and counts[name] == int(number):
            leave_marker(how, float(seconds))
            os.kill(os.getpid(), signal.SIGKILL if how == "kill" else signal.SIGSTOP)

    reports: Any = WorkerReports
    request_written = reports.request_written

    def request_written_then_point(self: Any, attempt: Any) -> None:
        request_written(self, attempt)
        point("sent")

    Member.reach_failpoint = staticmethod(point)
    reports.request_written = request_written_then_point


def leave_marker(how: str, seconds: float) -> None:
    """Write how this process fails, and for how many seconds, to the marker file in `$TMPDIR`."""
    marker = Path(tempfile.gettempdir()) / MARKER
    draft = marker.with_suffix(".draft")
    draft.write_text(json.dumps([how, seconds]))
    draft.replace(marker)


if __name__ == "__main__":
    fail_at(os.environ[VARIABLE])
    sys.exit(main())
