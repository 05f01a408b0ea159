"""The program, but it fails once at a named point of custody.

    EIDERFIELD_POINT=NAME:NUMBER:kill|stop:SECONDS python -m eiderfield.lab.fleet.pointed --config FILE

At the NUMBER-th time that it comes to NAME it kills or stops itself, as if its machine had failed just there;
whoever runs it starts or continues it SECONDS later. The points are those of `Member.point` (`accept`,
`claim`, `finish` before a change is written down, `accept done` and so on after that, `adopt`, `adopt done`,
`fence`) and `sent`, once the last byte of a leg has left. Of the laboratory alone.
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
from eiderfield.exchange import Exchange


def fail_at(text: str) -> None:
    """Makes this process fail at a point."""
    at, number, what, lasts = text.split(":")
    counts: Counter[str] = Counter()

    def point(name: str) -> None:
        counts[name] += 1
        if name == at and counts[name] == int(number):
            marker = Path(tempfile.gettempdir()) / "point.json"
            draft = marker.with_name("point.draft")
            draft.write_text(json.dumps([what, float(lasts)]))
            draft.replace(marker)
            os.kill(os.getpid(), signal.SIGKILL if what == "kill" else signal.SIGSTOP)

    wrote: Any = Exchange.wrote

    def tell(exchange: Any, leg: Any) -> None:
        wrote(exchange, leg)
        point("sent")

    Member.point = staticmethod(point)
    Exchange.wrote = tell  # type: ignore[method-assign, assignment]


if __name__ == "__main__":
    fail_at(os.environ["EIDERFIELD_POINT"])
    sys.exit(main())
