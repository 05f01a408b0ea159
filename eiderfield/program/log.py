"""The log of a dispatcher: lines on standard error."""

from __future__ import annotations

import sys
from contextlib import suppress


def log(text: str) -> None:
    """A line for the operators. On a full disk it is lost: what is being done must not be lost with it."""
    with suppress(OSError):
        print(f"eiderfield: {text}", file=sys.stderr, flush=True)
