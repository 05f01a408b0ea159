"""The program, but it fails once at a named point of custody.

    EIDERFIELD_POINT=NAME:NUMBER:kill|stop:SECONDS python -m eiderfield.lab.fleet.failpoints --config FILE

At the NUMBER-th time that it comes to NAME it kills or stops itself, as if its machine had failed just
there; whoever runs it starts or continues it SECONDS later. The points are those of `Member.point`
(`accept`, `claim`, `finish` before a change is written down, `accept done` and so on after that, `adopt`,
`adopt done`, `fence`) and `sent`, once the last byte of an attempt has left. Of the laboratory alone.
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
from eiderfield.exchange.exchange import Exchange

VARIABLE = "EIDERFIELD_POINT"
MARKER = "point.json"  # the file that a process leaves in its $TMPDIR just before it fails


def fail_at(failpoint: str) -> None:
    """Makes this process fail at a point."""
    target, number, how, lasts = failpoint.split(":")
    counts: Counter[str] = Counter()

    def point(name: str) -> None:
        counts[name] += 1
        if name == target and counts[name] == int(number):
            leave_marker(how, float(lasts))
            os.kill(os.getpid(), signal.SIGKILL if how == "kill" else signal.SIGSTOP)

    exchange_class: Any = Exchange
    wrote = exchange_class.request_written

    def wrote_then_point(exchange: Any, attempt: Any) -> None:
        wrote(exchange, attempt)
        point("sent")

    Member.point = staticmethod(point)
    exchange_class.request_written = wrote_then_point


def leave_marker(how: str, lasts: float) -> None:
    """Tells the run how this process fails, and for how long."""
    marker = Path(tempfile.gettempdir()) / MARKER
    draft = marker.with_suffix(".draft")
    draft.write_text(json.dumps([how, lasts]))
    draft.replace(marker)


if __name__ == "__main__":
    fail_at(os.environ[VARIABLE])
    sys.exit(main())
