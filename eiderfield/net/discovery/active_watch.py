"""Switch from one source of workers to another.

The old source is followed, and its watch reopened after losses, until the new source has sent a list:
meanwhile the old source may announce a drain, and the new one may never answer.

    no watch ──(follow)──> one watch ──(follow)──> two watches ──(first list of the new source)──> one watch

Invariant: while a source is configured, at least one source is followed.
"""

from __future__ import annotations

from eiderfield.net.discovery.watch import Watch


class ActiveWatch:
    """The watch in use and, after a change of the configuration, the one that replaces it."""

    def __init__(self) -> None:
        """Create an object that follows no source."""
        self._current: Watch | None = None
        self._next: Watch | None = None

    def follow(self, watch: Watch | None) -> None:
        """Switch to another source; None stops discovery."""
        if self._next is not None:  # the configuration changed again before the next source sent a list
            self._next.stop()
            self._next = None
        if self._current is None or watch is None:
            self.stop()
            self._current = watch
        else:
            self._next = watch
            watch.on_first_list = self._promote_next
        if watch is not None:
            watch.start()

    def stop(self) -> None:
        """Stop all watches."""
        for watch in (self._current, self._next):
            if watch is not None:
                watch.stop()
        self._current = self._next = None

    def _promote_next(self) -> None:
        if self._current is not None:
            self._current.stop()
        self._current, self._next = self._next, None
