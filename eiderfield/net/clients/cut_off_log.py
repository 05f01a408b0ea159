"""Log of the connections that a listener ends for a reason of its own, at a bounded rate.

A flood of such connections must not become a flood of lines: beyond `MAX_LINES` in `INTERVAL_MS` they are
only counted, and the first line of the next interval says how many were left out.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from math import inf

MAX_LINES = 10  # in an interval
INTERVAL_MS = 1000.0


@dataclass(slots=True, frozen=True)
class CutOff:
    """A connection that is cut off.

    Attributes:
        reason: a value of `connections.admission.Reason`.
        address: the client's address, empty if it is not known any more.
        held: the bytes that the connection made the process hold.
        silent_ms: time since its last byte arrived.
    """

    reason: str
    address: str
    held: int
    silent_ms: float


class CutOffLog:
    """Writes a line for each connection that is cut off, up to a limit."""

    def __init__(self, log: Callable[[str], None], clock: Callable[[], float]) -> None:
        """Write lines by `log`; `clock` gives the time in ms."""
        self._log = log
        self._clock = clock
        self._interval_began = -inf
        self._lines = 0
        self._left_out = 0

    def write(self, cut_off: CutOff) -> None:
        """Log a connection, unless the interval has its lines already."""
        now = self._clock()
        if now >= self._interval_began + INTERVAL_MS:
            self._interval_began, self._lines = now, 0
        if self._lines >= MAX_LINES:
            self._left_out += 1
            return
        self._lines += 1
        left_out, self._left_out = self._left_out, 0
        self._log(
            f"clients: connection cut off (reason={cut_off.reason} address={cut_off.address} "
            f"held={cut_off.held} silent_ms={cut_off.silent_ms:.0f} not_logged={left_out})"
        )
