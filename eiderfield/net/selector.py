"""The poll set of the event loop, which outlasts a system that has no room in it.

epoll_ctl fails with ENOMEM, or with ENOSPC at the user's limit of watches. asyncio lets that pass: a callback
of its own fails, and a connection stays open that is never read again, so that whatever was accepted on it is
never answered. Here such a registration is kept and made again, before a poll and at most every
`RETRY_MS`, until it succeeds or is withdrawn; in between its descriptor brings no events.

    register ──(the system takes it)──> registered
        └──(no room)──> pending ──(no sooner than RETRY_MS later)──> registered
                           └──(unregister)──> forgotten

What must never happen: an interest that its owner believes registered and that neither the kernel nor
`_pending` holds; a poll that waits for longer than `RETRY_MS` while something is pending.
"""

from __future__ import annotations

import asyncio
import selectors
import time
from contextlib import suppress
from typing import Any

from eiderfield.net.faults import RETRY_MS, is_shortage

_RETRY_S = RETRY_MS / 1000.0


class RetryingSelector(selectors.EpollSelector):
    """An epoll selector that makes registrations again for which the system had no room."""

    def __init__(self) -> None:
        """Opens the poll set."""
        super().__init__()
        self._pending: dict[int, selectors.SelectorKey] = {}
        self._retry_at = 0.0

    def register(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        """Registers a descriptor now, or as soon as there is room."""
        try:
            return super().register(fileobj, events, data)
        except OSError as error:
            if not is_shortage(error):
                raise
        key = selectors.SelectorKey(fileobj, _descriptor(fileobj), events, data)
        if not self._pending:
            self._retry_at = time.monotonic() + _RETRY_S
        self._pending[key.fd] = key
        return key

    def modify(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        """Changes what is waited for. A changed mask is registered anew, since a modification that fails
        would leave the old mask in the kernel."""
        if events == self.get_key(fileobj).events and _descriptor(fileobj) not in self._pending:
            return super().modify(fileobj, events, data)
        self.unregister(fileobj)
        return self.register(fileobj, events, data)

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        """Forgets a descriptor."""
        pending = self._pending.pop(_descriptor(fileobj), None)
        return pending if pending is not None else super().unregister(fileobj)

    def get_key(self, fileobj: Any) -> selectors.SelectorKey:
        """The registration of a descriptor; `KeyError` if there is none."""
        pending = self._pending.get(_descriptor(fileobj))
        return pending if pending is not None else super().get_key(fileobj)

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Polls, after another try for what is pending."""
        if self._pending:
            self._register_pending()
        if self._pending:
            timeout = _RETRY_S if timeout is None else min(timeout, _RETRY_S)
        return super().select(timeout)

    def _register_pending(self) -> None:
        now = time.monotonic()
        if now < self._retry_at:
            return
        self._retry_at = now + _RETRY_S
        pending, self._pending = self._pending, {}
        for key in pending.values():
            with suppress(OSError, ValueError, KeyError):  # it was closed meanwhile, by whoever owned it
                self.register(key.fileobj, key.events, key.data)


def new_event_loop() -> asyncio.AbstractEventLoop:
    """The event loop of a dispatcher."""
    return asyncio.SelectorEventLoop(RetryingSelector())


def _descriptor(fileobj: Any) -> int:
    return fileobj if isinstance(fileobj, int) else int(fileobj.fileno())
