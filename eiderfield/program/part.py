"""The interface between the program and each of its parts.

    made ──(start)──> running ──(drain)──> draining ──(nothing is busy any more: stop)──> stopped
                         └──(reload, any number of times)──> running

What must never happen: a part that is stopped while another one is busy; a `reload` or `stop` that raises.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from eiderfield.config.loader import Config

Figures = Mapping[str, Mapping[str, object]]  # by section of the console's metrics


@dataclass(slots=True, frozen=True)
class DrainTimes:
    """The times of a graceful shutdown, on the process's clock in ms."""

    close_listeners_at: float  # new connections are accepted until then
    send_away_at: float  # clients may stay on their connections until then
    answered_by: float  # all accepted requests are answered by then


class Part:
    """A part that does nothing: each overrides what it needs."""

    async def start(self) -> None:
        """Start; parts start in the order in which the program lists them."""

    def reload(self, old: Config, new: Config) -> None:
        """Apply a valid configuration."""

    def drain(self, times: DrainTimes) -> None:
        """Prepare for the end of the process."""

    @property
    def busy(self) -> bool:
        """Whether the process must not end yet."""
        return False

    def stop(self) -> None:
        """Stop; called once no part is busy."""

    def figures(self) -> Figures:
        """Return the figures of this part by section of the console's metrics."""
        return {}
