"""What the program asks of each of its parts.

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
    """When a graceful shutdown does what, on the process's clock."""

    close_listeners_at: float  # new connections are accepted until then
    send_away_at: float  # clients may stay on their connections until then
    answered_by: float  # all that has come is answered by then


class Part:
    """A part that does nothing: each overrides what it needs."""

    async def start(self) -> None:
        """Begins; parts start in the order in which the program lists them."""

    def reload(self, old: Config, new: Config) -> None:
        """Takes a configuration that was found good."""

    def drain(self, times: DrainTimes) -> None:
        """The process has been told to end."""

    @property
    def busy(self) -> bool:
        """Whether the process must not end yet."""
        return False

    def stop(self) -> None:
        """Ends: nothing is busy any more."""

    def figures(self) -> Figures:
        """What the console tells of this part."""
        return {}
