"""Measures the share of its memory limit that this process uses."""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path

_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_MEMORY_STATUS = Path("/proc/self/statm")


def memory_share_of(limit_mb: int) -> Callable[[], float]:
    """Return a function that returns resident memory as a share of a limit in MB, 0 if it is unknown."""

    def share() -> float:
        try:
            with _MEMORY_STATUS.open("rb", buffering=0) as file:
                resident = int(file.read(128).split()[1]) * _PAGE_BYTES
        except (OSError, ValueError, IndexError):
            return 0.0
        return resident / (limit_mb * 1024 * 1024)

    return share
