"""The table `connections`: how long idle connections of clients are kept, and when they are parked."""

from __future__ import annotations

from math import inf

from eiderfield.config.reader import TableReader
from eiderfield.connections.settings import IDLE_TIMEOUT_MS, PARK_AFTER_MS, IdleSettings

MAX_IDLE_MS = 86_400_000.0  # one day


def read_connections(table: TableReader, strict: bool) -> IdleSettings:
    """Read the table."""
    idle_timeout = table.number("keep_ms", IDLE_TIMEOUT_MS, 1000.0, MAX_IDLE_MS)
    park = table.flag("park", True)
    park_after = table.number("park_after_ms", PARK_AFTER_MS, 10.0, MAX_IDLE_MS)
    # Copies count twice where the descriptors of both processes are counted together, as on the platform.
    keep_copies = table.flag("copies", strict)
    if strict:
        table.reject_unknown_keys()
        if park and table.has("park_after_ms") and park_after >= idle_timeout:
            raise table.error("park_after_ms", "is not below keep_ms: no connection would be parked")
    return IdleSettings(idle_timeout, park_after if park else inf, keep_copies)
