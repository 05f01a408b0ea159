"""The move from one source of workers to the next.

The old source is followed, and opened anew where it breaks, until the new one has told a list: in between a
drain may be told, and the new one may never speak.

    idle ──(follow)──> one watch ──(follow another)──> two watches ──(the new one's first list)──> one watch

What must never happen: a time in which no source is followed though one is configured.
"""

from __future__ import annotations

from eiderfield.net.discovery.watch import Watch


class ActiveWatch:
    """The watch in force and, after a new configuration, the one that is to take its place."""

    def __init__(self) -> None:
        """Nothing is followed yet."""
        self._current: Watch | None = None
        self._next: Watch | None = None

    def follow(self, watch: Watch | None) -> None:
        """Moves to another source; None for none."""
        if self._next is not None:  # a further configuration came before that one had told anything
            self._next.stop()
            self._next = None
        if self._current is None or watch is None:
            self.stop()
            self._current = watch
        else:
            self._next = watch
            watch.on_first_list = self._promote_next
        if watch is not None:
            watch.start_in_turn()

    def stop(self) -> None:
        """Ends all watches."""
        for watch in (self._current, self._next):
            if watch is not None:
                watch.stop()
        self._current = self._next = None

    def _promote_next(self) -> None:
        if self._current is not None:
            self._current.stop()
        self._current, self._next = self._next, None
