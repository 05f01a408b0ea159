"""What is known of a source that numbers its lists, and which of its lists may be incomplete.

A connection ends at each interruption, at a change of the configuration and at a handover. The source does
not, so its history outlives all of these: a new connection is no evidence about the list received on it. A
list may be incomplete if it lists no worker that is ready, and in addition its index is lower than before,
as after a loss of the source's state, or one of its entries names no worker. Every other list is complete,
however few workers it lists.

    no list ──(a list)──> complete ──(an incomplete list)──> unconfirmed
                             ^  ^──────(a complete list)──────────┤
                             └──────────(time limit)──────────────┘

The routing table stores since when it keeps workers that lists omit, and `ConsulWatch` enforces the limit.
The module performs no I/O and reads no clock.
"""

from __future__ import annotations

from dataclasses import dataclass

FIRST_INDEX = 1  # Consul's indexes are positive; a lower one stands for a source without state


@dataclass(slots=True)
class SourceHistory:
    """The lists of one source so far.

    Attributes:
        source: Identifies the source: its kind, address and service.
        accepted_index: The index of the last list that was applied as a whole, None before the first one.
    """

    source: str
    accepted_index: int | None = None

    def has_gone_back(self, index: int) -> bool:
        """Return whether the index of a list is lower than that of an earlier list of the source."""
        return index < max(FIRST_INDEX, self.accepted_index or 0)

    def may_be_incomplete(self, index: int, lists_ready_worker: bool, has_nameless_entry: bool) -> bool:
        """Return whether workers that a list omits may still be running.

        `has_nameless_entry` is whether a malformed entry may stand for any of them.
        """
        return not lists_ready_worker and (self.has_gone_back(index) or has_nameless_entry)
