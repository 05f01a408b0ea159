"""How much of the memory that it may have this process takes."""

from __future__ import annotations

import os
from collections.abc import Callable

_PAGE = os.sysconf("SC_PAGE_SIZE")


def share_of(limit_mb: int) -> Callable[[], float]:
    """Tells the share of a limit that is resident now; 0 where the system does not say."""

    def share() -> float:
        try:
            with open("/proc/self/statm", "rb", buffering=0) as file:
                resident = int(file.read(128).split()[1]) * _PAGE
        except (OSError, ValueError, IndexError):
            return 0.0
        return resident / (limit_mb * 1024 * 1024)

    return share
