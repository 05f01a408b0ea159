"""The log of a dispatcher: lines on standard error."""

from __future__ import annotations

import sys
from contextlib import suppress


def log(text: str) -> None:
    """Write a line for the operators to standard error; errors are ignored, such as that of a full disk."""
    with suppress(OSError):
        print(f"eiderfield: {text}", file=sys.stderr, flush=True)
