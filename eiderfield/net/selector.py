"""Selector of the event loop that retries registrations which fail for lack of system resources.

epoll_ctl may fail with ENOMEM, or with ENOSPC at the user's limit of epoll watches. asyncio does not handle
this: the callback that registers a connection fails, and the connection stays open but is never read again,
so that a request on it is never answered. This selector stores such a registration and retries it before
polls, at most once per `RETRY_DELAY_MS`, until it succeeds or is unregistered. Until then no events are
reported for its descriptor.

    register ──(success)──> registered
        └──(no resources)──> pending ──(after RETRY_DELAY_MS at the earliest)──> registered
                                └──(unregister)──> removed

Invariants: a registration is either in the kernel or in `_pending`. While one is pending, a poll waits for
at most `RETRY_DELAY_MS`.
"""

from __future__ import annotations

import asyncio
import selectors
import time
from contextlib import suppress
from typing import Any

from eiderfield.net.faults import RETRY_DELAY_MS, is_resource_shortage

_RETRY_DELAY_S = RETRY_DELAY_MS / 1000.0


class RetryingSelector(selectors.EpollSelector):
    """An epoll selector that retries registrations for which the system lacked resources."""

    def __init__(self) -> None:
        """Create a selector without registrations."""
        super().__init__()
        self._pending: dict[int, selectors.SelectorKey] = {}
        self._retry_at = 0.0

    def register(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        """Register a descriptor now, or as soon as the system has the resources."""
        try:
            return super().register(fileobj, events, data)
        except OSError as error:
            if not is_resource_shortage(error):
                raise
        key = selectors.SelectorKey(fileobj, _fileno(fileobj), events, data)
        if not self._pending:
            self._retry_at = time.monotonic() + _RETRY_DELAY_S
        self._pending[key.fd] = key
        return key

    def modify(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        """Change the events or the data of a registration.

        To change the events, the descriptor is unregistered and registered again: a modification that fails
        would leave the old events in the kernel.
        """
        if events == self.get_key(fileobj).events and _fileno(fileobj) not in self._pending:
            return super().modify(fileobj, events, data)
        self.unregister(fileobj)
        return self.register(fileobj, events, data)

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        """Remove a descriptor; raises `KeyError` if it is not registered."""
        pending = self._pending.pop(_fileno(fileobj), None)
        return pending if pending is not None else super().unregister(fileobj)

    def get_key(self, fileobj: Any) -> selectors.SelectorKey:
        """Return the registration of a descriptor; raises `KeyError` if there is none."""
        pending = self._pending.get(_fileno(fileobj))
        return pending if pending is not None else super().get_key(fileobj)

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Retry pending registrations, then poll; `timeout` is in s."""
        if self._pending:
            self._register_pending()
        if self._pending:
            timeout = _RETRY_DELAY_S if timeout is None else min(timeout, _RETRY_DELAY_S)
        return super().select(timeout)

    def _register_pending(self) -> None:
        now = time.monotonic()
        if now < self._retry_at:
            return
        self._retry_at = now + _RETRY_DELAY_S
        pending, self._pending = self._pending, {}
        for key in pending.values():
            with suppress(OSError, ValueError, KeyError):  # the owner has closed the descriptor meanwhile
                self.register(key.fileobj, key.events, key.data)


def new_event_loop() -> asyncio.AbstractEventLoop:
    """Return an event loop for a dispatcher."""
    return asyncio.SelectorEventLoop(RetryingSelector())


def _fileno(fileobj: Any) -> int:
    return fileobj if isinstance(fileobj, int) else int(fileobj.fileno())
