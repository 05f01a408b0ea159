"""Opens connections on the event loop, and retries dials that fail because of a fault of this host."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from eiderfield.config.address import Address
from eiderfield.net.faults import RETRY_DELAY_MS, Cause, classify_dial_error

_RETRY_DELAY_S = RETRY_DELAY_MS / 1000.0


class Dialer:
    """Opens connections on one event loop. The method `dial` implements `dialing.Dial`."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Create a dialer that uses `loop`."""
        self._loop = loop
        self._tasks: set[asyncio.Task[None]] = (
            set()
        )  # keeps the tasks alive: the loop has only weak references

    def dial(
        self,
        protocol: asyncio.BufferedProtocol,
        address: Address,
        on_failed: Callable[[], None],
        on_delayed: Callable[[Cause], None] = lambda _cause: None,
    ) -> asyncio.Task[None]:
        """Connect `protocol` to an address, or call `on_failed`.

        After a fault of this host, `on_delayed` is called instead, and the dial is retried until the caller
        cancels the returned task.
        """
        task = self._loop.create_task(self._connect(protocol, address, on_failed, on_delayed))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _connect(
        self,
        protocol: asyncio.BufferedProtocol,
        address: Address,
        on_failed: Callable[[], None],
        on_delayed: Callable[[Cause], None],
    ) -> None:
        while True:
            try:
                await self._loop.create_connection(lambda: protocol, *address)
                return
            except (OSError, ValueError) as error:
                cause = classify_dial_error(error)
            if cause is Cause.CONNECTION:
                on_failed()
                return
            on_delayed(cause)
            await asyncio.sleep(_RETRY_DELAY_S)
