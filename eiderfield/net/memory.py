"""Measures the memory that this process uses."""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path

_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_MEMORY_STATUS = Path("/proc/self/statm")


def memory_share_of(limit_mb: int) -> Callable[[], float]:
    """Return a function that returns resident memory as a share of a limit in MB, 0 if it is unknown."""
    return lambda: resident_bytes() / (limit_mb * 1024 * 1024)


def resident_bytes() -> int:
    """Return the resident memory of this process, 0 if it is unknown."""
    try:
        with _MEMORY_STATUS.open("rb", buffering=0) as file:
            return int(file.read(128).split()[1]) * _PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return 0
